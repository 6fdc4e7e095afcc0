//! What the keepers know together about the regions that have entry instances for callers.
//!
//! Each keeper hears the entry instances over its own links. A keeper that has just started, was
//! stalled, or is cut off from a region hears none of the instances there, as if they were gone. So no
//! keeper concludes alone that a region is empty: keepers report to each other in which regions they
//! hear instances, and a region counts as empty once a majority of them hears none there, and none hears
//! one. Instances that start or leave count: they take callers again in a moment.

use std::{net::SocketAddr, time::Duration};

use crate::{
    gateway::{
        contacts::{Contacts, SILENCE_TIMEOUT},
        stall_detector::StallDetector,
    },
    ids::RegionId,
    time::Time,
};

/// Time between two reports of a keeper.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(800);
/// Age up to which a report counts: two intervals, and the time in which it arrives.
const REPORT_LIFETIME: Duration = Duration::from_millis(2_000);
/// Shortest stall after which contacts may look silent only because their messages were not read.
const STALL_LIMIT: Duration = Duration::from_millis(1_500);
/// Time for which a keeper has to listen before its view shows who is silent.
const LISTENING_TIME: Duration = SILENCE_TIMEOUT;

/// The reports of the other keepers, and whether this one has listened for long enough to report.
#[derive(Debug, Clone)]
pub struct RegionReports {
    started: Time,
    stall: StallDetector,
    /// The newest report of each keeper, sorted by its address.
    reports: Vec<Report>,
}

#[derive(Debug, Clone)]
struct Report {
    keeper: SocketAddr,
    made: Time,
    /// Regions with entry instances, sorted.
    regions: Vec<RegionId>,
}

impl RegionReports {
    /// The reports known to a keeper that starts now.
    pub fn new(now: Time) -> RegionReports {
        RegionReports { started: now, stall: StallDetector::new(STALL_LIMIT), reports: Vec::new() }
    }

    /// Has to be called more often than every 1.5 s; a longer pause counts as a stall.
    pub fn tick(&mut self, now: Time) {
        self.stall.tick(now);
    }

    /// Records a report of another keeper that was made `age` ago.
    pub fn record(
        &mut self,
        now: Time,
        keeper: SocketAddr,
        mut regions: Vec<RegionId>,
        age: Duration,
    ) {
        regions.sort();
        let report = Report { keeper, made: now.saturating_sub(age), regions };
        match self.reports.binary_search_by(|it| it.keeper.cmp(&keeper)) {
            Ok(at) => self.reports[at] = report,
            Err(at) => self.reports.insert(at, report),
        }
        self.reports.retain(|it| now - it.made <= REPORT_LIFETIME);
    }

    /// The regions in which this keeper hears entry instances, sorted; `None` while it has not listened
    /// for long enough since its start or its last stall.
    pub fn own(&self, now: Time, contacts: &Contacts) -> Option<Vec<RegionId>> {
        let since = self.stall.last_resumed(now).map_or(self.started, |it| it.max(self.started));
        if now - since < LISTENING_TIME {
            return None;
        }
        let heard = contacts.all().iter().filter(|it| it.holds_region(now));
        let mut regions: Vec<&RegionId> = heard.map(|it| &it.info.region).collect();
        regions.sort();
        regions.dedup();
        Some(regions.into_iter().cloned().collect())
    }

    /// Whether `regions` have no entry instance: a majority of the keepers' group hears none there, this
    /// keeper among them, and no keeper hears one. `others` are the other members of the group.
    pub fn are_empty(
        &self,
        now: Time,
        contacts: &Contacts,
        others: &[SocketAddr],
        regions: &[&RegionId],
    ) -> bool {
        let Some(own) = self.own(now, contacts) else { return false };
        let hears_none = |heard: &[RegionId]| !regions.iter().any(|it| heard.contains(it));
        let fresh = self.reports.iter().filter(|it| now - it.made <= REPORT_LIFETIME);
        let fresh: Vec<&Report> = fresh.collect();
        let members = 1 + fresh.iter().filter(|it| others.contains(&it.keeper)).count();
        hears_none(&own)
            && fresh.iter().all(|it| hears_none(&it.regions))
            && members > others.len().div_ceil(2)
    }
}

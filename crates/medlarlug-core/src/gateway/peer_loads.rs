//! In-flight load of the other entry instances of the region at each upstream, as they report it.
//!
//! Reports come from single instances or aggregate several of them, see
//! [`load_exchange`](super::load_exchange). Each report replaces the previous one from the same
//! source. The total is updated with every report, since it is read for each candidate of each
//! call.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{InstanceId, UpstreamId, ZoneId},
    time::Time,
};

/// Age after which a report no longer counts: a few report intervals.
pub const REPORT_LIFETIME: Duration = Duration::from_millis(1_200);

/// Identifies an upstream in reports by a hash of its id, which is shorter. In a deployment of a
/// thousand upstreams, two of them have the same key with a probability of one in ten thousand;
/// they then count as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamKey(u32);

impl UpstreamKey {
    /// The key of the upstream with `id`.
    pub fn new(id: &UpstreamId) -> UpstreamKey {
        // FNV-1a.
        let hash = id
            .as_str()
            .bytes()
            .fold(0x811c_9dc5_u32, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193));
        UpstreamKey(hash)
    }
}

impl fmt::Display for UpstreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// In-flight load of one or several instances at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Key of the upstream.
    pub upstream: UpstreamKey,
    /// Calls that run.
    pub running: u32,
    /// Prompt tokens that were sent and that the engine has not read yet.
    #[serde(rename = "unread")]
    pub prefill_tokens: u32,
    /// The part of `prefill_tokens` that belongs to calls of priority 0.
    #[serde(rename = "urgent")]
    pub urgent_tokens: u32,
    /// Prompt tokens of calls that wait for prefill admission at the upstream and were not sent
    /// yet.
    #[serde(rename = "waiting")]
    pub queued_tokens: u32,
}

impl LoadReport {
    /// The load of an idle upstream.
    pub fn idle(upstream: UpstreamKey) -> LoadReport {
        LoadReport { upstream, running: 0, prefill_tokens: 0, urgent_tokens: 0, queued_tokens: 0 }
    }

    fn is_idle(&self) -> bool {
        self.running == 0
            && self.prefill_tokens == 0
            && self.urgent_tokens == 0
            && self.queued_tokens == 0
    }

    fn saturating_add(self, other: LoadReport) -> LoadReport {
        LoadReport {
            upstream: self.upstream,
            running: self.running.saturating_add(other.running),
            prefill_tokens: self.prefill_tokens.saturating_add(other.prefill_tokens),
            urgent_tokens: self.urgent_tokens.saturating_add(other.urgent_tokens),
            queued_tokens: self.queued_tokens.saturating_add(other.queued_tokens),
        }
    }

    fn saturating_sub(self, other: LoadReport) -> LoadReport {
        LoadReport {
            upstream: self.upstream,
            running: self.running.saturating_sub(other.running),
            prefill_tokens: self.prefill_tokens.saturating_sub(other.prefill_tokens),
            urgent_tokens: self.urgent_tokens.saturating_sub(other.urgent_tokens),
            queued_tokens: self.queued_tokens.saturating_sub(other.queued_tokens),
        }
    }
}

/// Where a report comes from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportSource {
    /// One instance, about its own calls.
    Peer(InstanceId),
    /// A collector of another zone, about all instances of that zone.
    Zone(ZoneId),
    /// A collector of the own zone, about all other instances of the region.
    Collector,
}

#[derive(Debug, Clone)]
struct SourceReport {
    source: ReportSource,
    received_at: Time,
    /// Number of instances whose calls are included.
    instances: usize,
    /// Sorted by upstream.
    loads: Vec<LoadReport>,
}

/// The newest report of each source, and their total.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    /// Sorted by source.
    reports: Vec<SourceReport>,
    /// Sum of all `reports`, sorted by upstream.
    total: Vec<LoadReport>,
}

impl PeerLoads {
    /// Applies a full report about the calls of `instances` instances; `loads` is sorted by
    /// upstream.
    ///
    /// A collector's aggregate includes all other instances, so it replaces all other reports, and
    /// any other report replaces it.
    pub fn apply_report(
        &mut self,
        now: Time,
        source: ReportSource,
        instances: usize,
        loads: Vec<LoadReport>,
    ) {
        let is_aggregate = source == ReportSource::Collector;
        self.retain(|it| {
            now - it.received_at < REPORT_LIFETIME
                && (it.source == ReportSource::Collector) == is_aggregate
        });
        let report = SourceReport { source, received_at: now, instances, loads };
        match self.reports.binary_search_by(|it| it.source.cmp(&report.source)) {
            Ok(at) => {
                let old = std::mem::replace(&mut self.reports[at], report.clone());
                self.subtract(&old.loads);
            }
            Err(at) => self.reports.insert(at, report.clone()),
        }
        self.add(&report.loads);
    }

    /// Applies the load of a source at one upstream. It is ignored for a source without a full
    /// report, since it says nothing about other upstreams.
    pub fn apply_change(&mut self, source: &ReportSource, change: LoadReport) {
        let Ok(at) = self.reports.binary_search_by(|it| it.source.cmp(source)) else { return };
        let loads = &mut self.reports[at].loads;
        match loads.binary_search_by(|it| it.upstream.cmp(&change.upstream)) {
            Ok(at) => {
                let old = std::mem::replace(&mut loads[at], change);
                self.subtract(&[old]);
            }
            Err(at) => loads.insert(at, change),
        }
        self.add(&[change]);
    }

    /// The load of the others at an upstream, and the number of instances that it includes.
    pub fn load_at(&self, now: Time, upstream: UpstreamKey) -> (LoadReport, usize) {
        let is_fresh = |it: &&SourceReport| now - it.received_at < REPORT_LIFETIME;
        let fresh = self.reports.iter().filter(is_fresh);
        let instances = fresh.clone().map(|it| it.instances).sum();
        if fresh.clone().count() == self.reports.len() {
            return (load_of(&self.total, upstream), instances);
        }
        let loads = fresh.map(|it| load_of(&it.loads, upstream));
        (loads.fold(LoadReport::idle(upstream), LoadReport::saturating_add), instances)
    }

    /// Drops reports older than [`REPORT_LIFETIME`].
    pub fn drop_expired(&mut self, now: Time) {
        self.retain(|it| now - it.received_at < REPORT_LIFETIME);
    }

    /// The sum of the own load and that of all sources except those that `is_excluded` matches, and
    /// the number of instances that it includes.
    pub fn aggregate(
        &self,
        own: &[LoadReport],
        is_excluded: impl Fn(&ReportSource) -> bool,
    ) -> (usize, Vec<LoadReport>) {
        let mut sum = PeerLoads { reports: Vec::new(), total: self.total.clone() };
        let mut instances = 1;
        for report in &self.reports {
            match is_excluded(&report.source) {
                true => sum.subtract(&report.loads),
                false => instances += report.instances,
            }
        }
        sum.add(own);
        (instances, sum.total)
    }

    fn retain(&mut self, keep: impl Fn(&SourceReport) -> bool) {
        if self.reports.iter().all(&keep) {
            return;
        }
        let (kept, dropped) = std::mem::take(&mut self.reports).into_iter().partition(keep);
        self.reports = kept;
        dropped.iter().for_each(|it: &SourceReport| self.subtract(&it.loads));
    }

    fn add(&mut self, loads: &[LoadReport]) {
        for load in loads {
            match self.total.binary_search_by(|it| it.upstream.cmp(&load.upstream)) {
                Ok(at) => self.total[at] = self.total[at].saturating_add(*load),
                Err(at) => self.total.insert(at, *load),
            }
        }
    }

    fn subtract(&mut self, loads: &[LoadReport]) {
        for load in loads {
            if let Ok(at) = self.total.binary_search_by(|it| it.upstream.cmp(&load.upstream)) {
                self.total[at] = self.total[at].saturating_sub(*load);
            }
        }
        // Upstreams come and go; idle ones are not kept.
        self.total.retain(|it| !it.is_idle());
    }
}

/// The load at one upstream in `loads`, which is sorted by upstream.
pub fn load_of(loads: &[LoadReport], upstream: UpstreamKey) -> LoadReport {
    let at = loads.binary_search_by(|it| it.upstream.cmp(&upstream));
    at.map_or(LoadReport::idle(upstream), |at| loads[at])
}

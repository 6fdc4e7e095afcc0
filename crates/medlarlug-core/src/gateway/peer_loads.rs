//! What the other entry instances of the region have under way at each upstream, as they tell.
//!
//! Reports come from single instances, or are sums over several, see [`load_exchange`](super::load_exchange).
//! Each replaces the one before from the same source. The total is kept up to date with every
//! report, since it is asked for each candidate of each call.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{InstanceId, UpstreamId, ZoneId},
    time::Time,
};

/// Age after which a report counts no more: a few times the interval between two of them.
pub const REPORT_LIFETIME: Duration = Duration::from_millis(1_200);

/// Names an upstream in reports: a hash of its id, which is shorter. Two of a thousand upstreams have
/// the same key once in ten thousand deployments, and then count as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamKey(u32);

impl UpstreamKey {
    /// The key of an upstream.
    pub fn of(id: &UpstreamId) -> UpstreamKey {
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

/// What one or several instances have under way at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Calls that run.
    pub running: u32,
    /// Prompt tokens sent and not yet read.
    pub unread: u32,
    /// Those of them that have rank 0.
    pub urgent: u32,
    /// Prompt tokens of calls that wait for their turn there, and were not sent yet.
    pub waiting: u32,
}

impl LoadReport {
    /// An idle upstream.
    pub fn idle(upstream: UpstreamKey) -> LoadReport {
        LoadReport { upstream, running: 0, unread: 0, urgent: 0, waiting: 0 }
    }

    fn is_idle(&self) -> bool {
        self.running == 0 && self.unread == 0 && self.urgent == 0 && self.waiting == 0
    }

    fn plus(self, other: LoadReport) -> LoadReport {
        LoadReport {
            upstream: self.upstream,
            running: self.running.saturating_add(other.running),
            unread: self.unread.saturating_add(other.unread),
            urgent: self.urgent.saturating_add(other.urgent),
            waiting: self.waiting.saturating_add(other.waiting),
        }
    }

    fn minus(self, other: LoadReport) -> LoadReport {
        LoadReport {
            upstream: self.upstream,
            running: self.running.saturating_sub(other.running),
            unread: self.unread.saturating_sub(other.unread),
            urgent: self.urgent.saturating_sub(other.urgent),
            waiting: self.waiting.saturating_sub(other.waiting),
        }
    }
}

/// Where a report comes from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// One instance that tells of its own calls.
    Peer(InstanceId),
    /// A collector of another zone, with the sum over that zone.
    Zone(ZoneId),
    /// A collector of the own zone, with the sum over all other instances.
    Collector,
}

#[derive(Debug, Clone)]
struct Told {
    source: Source,
    heard: Time,
    /// Instances whose calls the loads are.
    instances: usize,
    /// Sorted by upstream.
    loads: Vec<LoadReport>,
}

/// The newest report of each source, and their total.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    /// Sorted by source.
    told: Vec<Told>,
    /// Sum of all `told`, sorted by upstream.
    total: Vec<LoadReport>,
}

impl PeerLoads {
    /// Takes in a whole report over the calls of `instances` instances; `loads` is sorted by upstream.
    ///
    /// A collector's sum holds everything, so it replaces all other reports, and any other report
    /// replaces it.
    pub fn hear(&mut self, now: Time, source: Source, instances: usize, loads: Vec<LoadReport>) {
        let is_sum = source == Source::Collector;
        self.retain(|it| {
            now - it.heard < REPORT_LIFETIME && (it.source == Source::Collector) == is_sum
        });
        let told = Told { source, heard: now, instances, loads };
        match self.told.binary_search_by(|it| it.source.cmp(&told.source)) {
            Ok(at) => {
                let old = std::mem::replace(&mut self.told[at], told.clone());
                self.subtract(&old.loads);
            }
            Err(at) => self.told.insert(at, told.clone()),
        }
        self.add(&told.loads);
    }

    /// Takes in what a source has under way at one upstream. It says nothing of other upstreams, so it
    /// is left out for a source without a whole report.
    pub fn hear_change(&mut self, source: &Source, change: LoadReport) {
        let Ok(at) = self.told.binary_search_by(|it| it.source.cmp(source)) else { return };
        let loads = &mut self.told[at].loads;
        match loads.binary_search_by(|it| it.upstream.cmp(&change.upstream)) {
            Ok(at) => {
                let old = std::mem::replace(&mut loads[at], change);
                self.subtract(&[old]);
            }
            Err(at) => loads.insert(at, change),
        }
        self.add(&[change]);
    }

    /// What others have under way at an upstream, and for how many instances that was told.
    pub fn at(&self, now: Time, upstream: UpstreamKey) -> (LoadReport, usize) {
        let is_fresh = |it: &&Told| now - it.heard < REPORT_LIFETIME;
        let fresh = self.told.iter().filter(is_fresh);
        let instances = fresh.clone().map(|it| it.instances).sum();
        if fresh.clone().count() == self.told.len() {
            return (find(&self.total, upstream), instances);
        }
        let loads = fresh.map(|it| find(&it.loads, upstream));
        (loads.fold(LoadReport::idle(upstream), LoadReport::plus), instances)
    }

    /// Drops reports that count no more.
    pub fn forget(&mut self, now: Time) {
        self.retain(|it| now - it.heard < REPORT_LIFETIME);
    }

    /// The sum over the own calls and those of all sources but the ones that `is_left_out`, and the
    /// instances that it stands for.
    pub fn sum(
        &self,
        own: &[LoadReport],
        is_left_out: impl Fn(&Source) -> bool,
    ) -> (usize, Vec<LoadReport>) {
        let mut sum = PeerLoads { told: Vec::new(), total: self.total.clone() };
        let mut instances = 1;
        for told in &self.told {
            match is_left_out(&told.source) {
                true => sum.subtract(&told.loads),
                false => instances += told.instances,
            }
        }
        sum.add(own);
        (instances, sum.total)
    }

    fn retain(&mut self, keep: impl Fn(&Told) -> bool) {
        if self.told.iter().all(&keep) {
            return;
        }
        let (kept, dropped) = std::mem::take(&mut self.told).into_iter().partition(keep);
        self.told = kept;
        dropped.iter().for_each(|it: &Told| self.subtract(&it.loads));
    }

    fn add(&mut self, loads: &[LoadReport]) {
        for load in loads {
            match self.total.binary_search_by(|it| it.upstream.cmp(&load.upstream)) {
                Ok(at) => self.total[at] = self.total[at].plus(*load),
                Err(at) => self.total.insert(at, *load),
            }
        }
    }

    fn subtract(&mut self, loads: &[LoadReport]) {
        for load in loads {
            if let Ok(at) = self.total.binary_search_by(|it| it.upstream.cmp(&load.upstream)) {
                self.total[at] = self.total[at].minus(*load);
            }
        }
        // Upstreams come and go; those that nobody uses are not kept.
        self.total.retain(|it| !it.is_idle());
    }
}

/// What `loads`, sorted by upstream, hold of one.
pub fn find(loads: &[LoadReport], upstream: UpstreamKey) -> LoadReport {
    let at = loads.binary_search_by(|it| it.upstream.cmp(&upstream));
    at.map_or(LoadReport::idle(upstream), |at| loads[at])
}

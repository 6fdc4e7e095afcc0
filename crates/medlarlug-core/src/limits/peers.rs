//! The demand of the region's other entry instances, according to the last reports received.

use crate::{
    ids::{Incarnation, InstanceId},
    limits::{DemandEntry, DemandLevel, DemandReport, REPORTS_PER_CHANGE, TeamKey},
    time::Time,
};

#[derive(Debug, Clone)]
struct Peer {
    id: InstanceId,
    incarnation: Incarnation,
    sequence: u64,
    sent_at: Time,
    synced: bool,
    entries: Vec<DemandEntry>,
}

/// The part of the known demand that a report changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Change {
    /// Nothing: the report was outdated or a duplicate.
    None,
    /// The demand of the teams that the report lists.
    Entries,
    /// Possibly the demand of every team; `resync` is set if reports are missing and a full one is needed.
    Everything { resync: bool },
}

/// The other instances, sorted by id.
#[derive(Debug, Clone, Default)]
pub(super) struct Peers {
    peers: Vec<Peer>,
}

impl Peers {
    /// Number of live peers.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Applies a report that was sent at `sent_at`, by the local clock.
    pub fn apply_report(&mut self, sent_at: Time, report: &DemandReport) -> Change {
        let place = match self.peers.binary_search_by(|it| it.id.cmp(&report.from)) {
            Ok(found) if self.peers[found].is_up_to_date_with(report) => return Change::None,
            Ok(found) if self.peers[found].follows(report) => {
                return self.peers[found].update(sent_at, report);
            }
            Ok(found) => {
                self.peers.remove(found);
                found
            }
            Err(place) => place,
        };
        let synced = report.is_full();
        let peer = Peer {
            id: report.from.clone(),
            incarnation: report.incarnation,
            sequence: report.sequence,
            sent_at,
            synced,
            entries: if synced { sorted(&report.entries) } else { Vec::new() },
        };
        self.peers.insert(place, peer);
        Change::Everything { resync: !synced }
    }

    /// Drops a peer; returns whether it was known.
    pub fn drop_peer(&mut self, id: &InstanceId) -> bool {
        let count = self.peers.len();
        self.peers.retain(|it| it.id != *id);
        self.peers.len() < count
    }

    /// Drops the peers whose last report is from before `limit`; returns whether there were any.
    pub fn drop_expired(&mut self, limit: Time) -> bool {
        let count = self.peers.len();
        self.peers.retain(|it| it.sent_at >= limit);
        self.peers.len() < count
    }

    /// Sum of the weights of all peers for a team with this rate and base weight, in requests per
    /// second. A peer with missing reports counts with the largest possible weight.
    pub fn weight(&self, team: TeamKey, rate: f64, base: f64) -> f64 {
        let weight = |it: &Peer| match it.synced {
            true => base + it.level(team).demand().min(rate),
            false => base + rate,
        };
        self.peers.iter().map(weight).sum()
    }
}

impl Peer {
    /// Whether the report is outdated or a duplicate.
    fn is_up_to_date_with(&self, report: &DemandReport) -> bool {
        let known = (self.incarnation, self.sequence);
        let reported = (report.incarnation, report.sequence);
        reported < known || (reported == known && (self.synced || !report.is_full()))
    }

    /// Whether the report lists every change since the last one received.
    fn follows(&self, report: &DemandReport) -> bool {
        let is_within_window = report.sequence <= self.sequence + REPORTS_PER_CHANGE;
        let has_same_base = report.incarnation == self.incarnation && report.base <= self.sequence;
        self.synced && has_same_base && is_within_window
    }

    fn update(&mut self, sent_at: Time, report: &DemandReport) -> Change {
        self.sequence = report.sequence;
        self.sent_at = self.sent_at.max(sent_at);
        for entry in &report.entries {
            match self.entries.binary_search_by_key(&entry.team, |it| it.team) {
                Ok(found) => self.entries[found].level = entry.level,
                Err(place) => self.entries.insert(place, *entry),
            }
        }
        self.entries.retain(|it| it.level > DemandLevel(0));
        Change::Entries
    }

    fn level(&self, team: TeamKey) -> DemandLevel {
        match self.entries.binary_search_by_key(&team, |it| it.team) {
            Ok(found) => self.entries[found].level,
            Err(_) => DemandLevel(0),
        }
    }
}

fn sorted(entries: &[DemandEntry]) -> Vec<DemandEntry> {
    let mut entries = entries.to_vec();
    entries.sort_by_key(|it| it.team);
    entries
}

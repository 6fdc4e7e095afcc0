//! The demand of the region's other entry instances, as last heard.

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
    heard: Time,
    synced: bool,
    entries: Vec<DemandEntry>,
}

/// What a report changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Change {
    /// Nothing; the report was old.
    None,
    /// The demand of the teams that it lists.
    Entries,
    /// The demand of any team; `resync` tells whether reports are missing.
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

    /// Takes a report in.
    pub fn hear(&mut self, heard: Time, report: &DemandReport) -> Change {
        let place = match self.peers.binary_search_by(|it| it.id.cmp(&report.from)) {
            Ok(found) if self.peers[found].is_newer(report) => return Change::None,
            Ok(found) if self.peers[found].follows(report) => {
                return self.peers[found].update(heard, report);
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
            heard,
            synced,
            entries: if synced { sorted(&report.entries) } else { Vec::new() },
        };
        self.peers.insert(place, peer);
        Change::Everything { resync: !synced }
    }

    /// Drops a peer; tells whether it was there.
    pub fn drop_peer(&mut self, id: &InstanceId) -> bool {
        let count = self.peers.len();
        self.peers.retain(|it| it.id != *id);
        self.peers.len() < count
    }

    /// Drops the peers last heard before `limit`; tells whether there were any.
    pub fn drop_silent(&mut self, limit: Time) -> bool {
        let count = self.peers.len();
        self.peers.retain(|it| it.heard >= limit);
        self.peers.len() < count
    }

    /// Sum of the weights of all peers for a team with this rate and base weight, in requests a
    /// second. A peer whose reports are missing counts with the largest weight possible.
    pub fn weight(&self, team: TeamKey, rate: f64, base: f64) -> f64 {
        let weight = |it: &Peer| match it.synced {
            true => base + it.level(team).demand().min(rate),
            false => base + rate,
        };
        self.peers.iter().map(weight).sum()
    }
}

impl Peer {
    /// Whether the report is older than what is known, or known already.
    fn is_newer(&self, report: &DemandReport) -> bool {
        let known = (self.incarnation, self.sequence);
        let told = (report.incarnation, report.sequence);
        told < known || (told == known && (self.synced || !report.is_full()))
    }

    /// Whether the report lists every change since the last one heard.
    fn follows(&self, report: &DemandReport) -> bool {
        let is_near = report.sequence <= self.sequence + REPORTS_PER_CHANGE;
        let is_same = report.incarnation == self.incarnation && report.base <= self.sequence;
        self.synced && is_same && is_near
    }

    fn update(&mut self, heard: Time, report: &DemandReport) -> Change {
        self.sequence = report.sequence;
        self.heard = self.heard.max(heard);
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

//! The other instances: heartbeats, connection time-outs and failure detection.

use std::time::Duration;

use crate::{
    ids::{Incarnation, InstanceId},
    membership::{
        Effect, Heartbeat, InstanceKind, Notice, Seed, Status,
        timing::{
            CONNECTION_TIMEOUT, DEAD_RECONNECT_INTERVAL, DIGEST_MISMATCHES,
            LARGE_GROUP_PERIOD_FACTOR, RECONNECT_TIMEOUT, SMALL_GROUP_PEERS,
        },
    },
    time::Time,
};

/// State of a watched instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Id, role and location.
    pub seed: Seed,
    /// Highest incarnation that it has reported; 0 before its first heartbeat.
    pub incarnation: Incarnation,
    /// Load and state by its latest heartbeat.
    pub status: Status,
    /// Whether it counts as alive, by its messages.
    pub state: PeerState,
    last_received: Time,
    /// For an instance that was never seen: when a new connection to it was last requested, or else
    /// when it was first checked.
    last_reconnect: Option<Time>,
    digest_mismatches: u8,
}

/// Liveness of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// No message from it has arrived since this instance started.
    NeverSeen,
    /// Messages from it arrive.
    Up,
    /// Its connection was unresponsive and has been replaced.
    Reconnecting {
        /// When the new connection was requested.
        since: Time,
    },
    /// The new connection was unresponsive as well.
    Dead {
        /// When a new connection was last requested.
        last_reconnect: Time,
    },
}

impl Peer {
    /// Whether it counts as alive.
    pub fn is_live(&self) -> bool {
        matches!(self.state, PeerState::Up | PeerState::Reconnecting { .. })
    }

    /// Time since its last message; `None` if none has arrived.
    pub fn age(&self, now: Time) -> Option<Duration> {
        (self.state != PeerState::NeverSeen).then(|| now - self.last_received)
    }

    /// Whether callers can be sent to it: it is live, is not leaving and is an entry instance.
    pub fn accepts_callers(&self) -> bool {
        self.is_live() && !self.status.leaving && self.seed.kind == InstanceKind::Entry
    }
}

/// The instances that are watched, sorted by id.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerTable {
    peers: Vec<Peer>,
}

impl PeerTable {
    pub(super) fn new(seeds: Vec<Seed>) -> PeerTable {
        let mut peers: Vec<Peer> = seeds.into_iter().map(Peer::never_seen).collect();
        peers.sort_by(|a, b| a.seed.id.cmp(&b.seed.id));
        PeerTable { peers }
    }

    pub(super) fn all(&self) -> &[Peer] {
        &self.peers
    }

    pub(super) fn get(&self, id: &InstanceId) -> Option<&Peer> {
        Some(&self.peers[self.find(id)?])
    }

    fn get_mut(&mut self, id: &InstanceId) -> Option<&mut Peer> {
        let index = self.find(id)?;
        Some(&mut self.peers[index])
    }

    fn find(&self, id: &InstanceId) -> Option<usize> {
        self.peers.binary_search_by(|it| it.seed.id.cmp(id)).ok()
    }

    /// Records that any message from an instance arrived.
    pub(super) fn record_received(&mut self, now: Time, id: &InstanceId, out: &mut Vec<Effect>) {
        let Some(peer) = self.get_mut(id) else {
            return;
        };
        peer.last_received = now;
        if !peer.is_live() {
            out.push(Effect::Notice(Notice::PeerUp(id.clone())));
        }
        peer.state = PeerState::Up;
    }

    /// Applies a heartbeat; returns whether the full view should be sent to its sender.
    pub(super) fn record_heartbeat(
        &mut self,
        id: &InstanceId,
        heartbeat: Heartbeat,
        digest: u32,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(peer) = self.get_mut(id) else {
            return false;
        };
        if heartbeat.incarnation < peer.incarnation {
            return false;
        }
        let was_leaving = peer.status.leaving && heartbeat.incarnation == peer.incarnation;
        peer.incarnation = heartbeat.incarnation;
        peer.status =
            Status { leaving: was_leaving || heartbeat.status.leaving, ..heartbeat.status };
        if peer.status.leaving && !was_leaving {
            out.push(Effect::Notice(Notice::PeerLeaving(id.clone())));
        }
        peer.digest_mismatches =
            if heartbeat.digest == digest { 0 } else { peer.digest_mismatches.saturating_add(1) };
        peer.digest_mismatches >= DIGEST_MISMATCHES
    }

    /// Resets the count of differing digests, after the full view was sent.
    pub(super) fn reset_mismatches(&mut self, id: &InstanceId) {
        if let Some(peer) = self.get_mut(id) {
            peer.digest_mismatches = 0;
        }
    }

    /// Factor of the heartbeat interval and of the time-outs, which bounds the bytes of heartbeats
    /// in a zone with many instances. Instances of a zone watch each other, so all of them apply
    /// the same factor.
    pub(super) fn period_factor(&self) -> u32 {
        if self.peers.len() > SMALL_GROUP_PEERS { LARGE_GROUP_PERIOD_FACTOR } else { 1 }
    }

    /// Checks the time-outs of all connections.
    pub(super) fn check_timeouts(&mut self, now: Time, out: &mut Vec<Effect>) {
        let factor = self.period_factor();
        let (connection_timeout, reconnect_timeout) =
            (CONNECTION_TIMEOUT * factor, RECONNECT_TIMEOUT * factor);
        for peer in &mut self.peers {
            let id = &peer.seed.id;
            match peer.state {
                PeerState::NeverSeen
                    if now - *peer.last_reconnect.get_or_insert(now) >= DEAD_RECONNECT_INTERVAL =>
                {
                    peer.last_reconnect = Some(now);
                    out.push(Effect::Reconnect { peer: id.clone() });
                }
                PeerState::Up if now - peer.last_received >= connection_timeout => {
                    peer.state = PeerState::Reconnecting { since: now };
                    out.push(Effect::Reconnect { peer: id.clone() });
                }
                PeerState::Reconnecting { since } if now - since >= reconnect_timeout => {
                    peer.state = PeerState::Dead { last_reconnect: now };
                    out.push(Effect::Notice(Notice::PeerDead(id.clone())));
                }
                PeerState::Dead { last_reconnect }
                    if now - last_reconnect >= DEAD_RECONNECT_INTERVAL =>
                {
                    peer.state = PeerState::Dead { last_reconnect: now };
                    out.push(Effect::Reconnect { peer: id.clone() });
                }
                _ => {}
            }
        }
    }
}

impl Peer {
    fn never_seen(seed: Seed) -> Peer {
        Peer {
            seed,
            incarnation: Incarnation(0),
            status: Status::default(),
            state: PeerState::NeverSeen,
            last_received: Time::ZERO,
            last_reconnect: None,
            digest_mismatches: 0,
        }
    }
}

//! The other instances: heartbeats, silent connections and suspicion.

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

/// What is known of another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Who it is and where it runs.
    pub seed: Seed,
    /// Its incarnation, as far as heard.
    pub incarnation: Incarnation,
    /// Its latest status.
    pub status: Status,
    /// Whether it is there.
    pub state: PeerState,
    heard: Time,
    /// When an unheard instance was last asked for a new connection, or first waited for.
    tried: Option<Time>,
    mismatches: u8,
}

/// Whether an instance is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// Nothing was heard of it since the own start.
    NeverSeen,
    /// It was heard lately.
    Up,
    /// Its connection was silent and has been replaced.
    Reconnecting {
        /// When the new connection was asked for.
        since: Time,
    },
    /// The new connection was silent as well.
    Dead {
        /// When the last new connection was asked for.
        last_reconnect: Time,
    },
}

impl Peer {
    /// Whether it counts as alive.
    pub fn is_live(&self) -> bool {
        matches!(self.state, PeerState::Up | PeerState::Reconnecting { .. })
    }

    /// Time since it was heard; `None` if it never was.
    pub fn age(&self, now: Time) -> Option<Duration> {
        (self.state != PeerState::NeverSeen).then(|| now - self.heard)
    }

    /// Whether callers can be sent to it.
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
        let mut peers: Vec<Peer> = seeds.into_iter().map(Peer::unheard).collect();
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
        let place = self.find(id)?;
        Some(&mut self.peers[place])
    }

    fn find(&self, id: &InstanceId) -> Option<usize> {
        self.peers.binary_search_by(|it| it.seed.id.cmp(id)).ok()
    }

    /// Notes that any message of an instance arrived.
    pub(super) fn hear(&mut self, now: Time, id: &InstanceId, out: &mut Vec<Effect>) {
        let Some(peer) = self.get_mut(id) else {
            return;
        };
        peer.heard = now;
        if !peer.is_live() {
            out.push(Effect::Notice(Notice::PeerUp(id.clone())));
        }
        peer.state = PeerState::Up;
    }

    /// Takes a heartbeat in; answers whether the whole view should be sent to its sender.
    pub(super) fn beat(
        &mut self,
        id: &InstanceId,
        beat: Heartbeat,
        digest: u32,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(peer) = self.get_mut(id) else {
            return false;
        };
        if beat.incarnation < peer.incarnation {
            return false;
        }
        let was_leaving = peer.status.leaving && beat.incarnation == peer.incarnation;
        peer.incarnation = beat.incarnation;
        peer.status = Status { leaving: was_leaving || beat.status.leaving, ..beat.status };
        if peer.status.leaving && !was_leaving {
            out.push(Effect::Notice(Notice::PeerLeaving(id.clone())));
        }
        peer.mismatches = if beat.digest == digest { 0 } else { peer.mismatches.saturating_add(1) };
        peer.mismatches >= DIGEST_MISMATCHES
    }

    /// Starts the count of differing digests again, after the whole view was sent.
    pub(super) fn synced(&mut self, id: &InstanceId) {
        if let Some(peer) = self.get_mut(id) {
            peer.mismatches = 0;
        }
    }

    /// Factor of the heartbeat's period and of the silences, so that the bytes of heartbeats stay
    /// bounded in a zone with many instances. Instances of a zone watch each other, so that they
    /// reckon with the same factor.
    pub(super) fn period_factor(&self) -> u32 {
        if self.peers.len() > SMALL_GROUP_PEERS { LARGE_GROUP_PERIOD_FACTOR } else { 1 }
    }

    /// Looks for silent connections.
    pub(super) fn check(&mut self, now: Time, out: &mut Vec<Effect>) {
        let factor = self.period_factor();
        let (link_silence, peer_silence) =
            (CONNECTION_TIMEOUT * factor, RECONNECT_TIMEOUT * factor);
        for peer in &mut self.peers {
            let id = &peer.seed.id;
            match peer.state {
                PeerState::NeverSeen
                    if now - *peer.tried.get_or_insert(now) >= DEAD_RECONNECT_INTERVAL =>
                {
                    peer.tried = Some(now);
                    out.push(Effect::Reconnect { peer: id.clone() });
                }
                PeerState::Up if now - peer.heard >= link_silence => {
                    peer.state = PeerState::Reconnecting { since: now };
                    out.push(Effect::Reconnect { peer: id.clone() });
                }
                PeerState::Reconnecting { since } if now - since >= peer_silence => {
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
    fn unheard(seed: Seed) -> Peer {
        Peer {
            seed,
            incarnation: Incarnation(0),
            status: Status::default(),
            state: PeerState::NeverSeen,
            heard: Time::ZERO,
            tried: None,
            mismatches: 0,
        }
    }
}

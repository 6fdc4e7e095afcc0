//! Reports of dead entry instances to keepers that don't watch them.
//!
//! In a large deployment an instance watches its own zone only, while the voters of a home group may
//! run anywhere. The speaker of a zone reports to them which entry instances of its zone are dead, at
//! once and periodically. Nothing is sent while all live, so the cost is bounded by the number of
//! dead instances and keepers. If a whole zone fails, no instance is left to report it.

use crate::{
    ids::ZoneId,
    membership::{
        DeadPeer, Effect, InstanceKind, Message, Notice, PeerState, Seed,
        core::Membership,
        timing::{DEAD_REPORT_INTERVAL, DEAD_REPORT_LIFETIME},
    },
    time::Time,
};

/// Dead instances of zones that this instance doesn't watch, as the speakers of those zones report
/// them.
#[derive(Debug, Clone, Default)]
pub(super) struct ReportedDead {
    peers: Vec<DeadPeer>,
    received_at: Vec<Time>,
}

impl ReportedDead {
    pub(super) fn all(&self) -> &[DeadPeer] {
        &self.peers
    }

    /// Adds a reported instance; returns whether its death is new.
    fn apply(&mut self, now: Time, peer: DeadPeer) -> bool {
        let Some(index) = self.peers.iter().position(|it| it.id == peer.id) else {
            self.peers.push(peer);
            self.received_at.push(now);
            return true;
        };
        let known = &mut self.peers[index];
        let is_new = peer.incarnation > known.incarnation;
        known.incarnation = known.incarnation.max(peer.incarnation);
        self.received_at[index] = now;
        is_new
    }

    fn expire(&mut self, now: Time) {
        for index in (0..self.peers.len()).rev() {
            if now - self.received_at[index] >= DEAD_REPORT_LIFETIME {
                self.peers.remove(index);
                self.received_at.remove(index);
            }
        }
    }
}

impl Membership {
    pub(super) fn apply_dead_report(
        &mut self,
        now: Time,
        dead: Vec<DeadPeer>,
        out: &mut Vec<Effect>,
    ) {
        let own = &self.settings.own.id;
        let is_unwatched = |it: &DeadPeer| it.id != *own && self.peer(&it.id).is_none();
        let dead: Vec<DeadPeer> = dead.into_iter().filter(is_unwatched).collect();
        for peer in dead {
            let id = peer.id.clone();
            if self.reported_dead.apply(now, peer) {
                out.push(Effect::Notice(Notice::PeerDead(id)));
            }
        }
    }

    /// Reports the dead entry instances of the zone to keepers that don't watch it: at once when
    /// `is_urgent`, otherwise periodically.
    pub(super) fn report_dead_peers(&mut self, now: Time, is_urgent: bool, out: &mut Vec<Effect>) {
        self.reported_dead.expire(now);
        if !is_urgent && now < self.next_report {
            return;
        }
        self.next_report = now + DEAD_REPORT_INTERVAL;
        let dead = self.dead_entries();
        if dead.is_empty() || !self.is_speaker() {
            return;
        }
        for keeper in self.unwatched_keepers() {
            let message = Message::DeadPeers(dead.clone());
            out.push(Effect::Send { to: keeper.id.clone(), message });
        }
    }

    fn dead_entries(&self) -> Vec<DeadPeer> {
        let zone: &ZoneId = &self.settings.own.zone;
        let is_dead = |state| matches!(state, PeerState::Dead { .. });
        let peers = self.peers.all().iter();
        let dead = peers.filter(|it| {
            it.seed.zone == *zone && it.seed.kind == InstanceKind::Entry && is_dead(it.state)
        });
        dead.map(|it| DeadPeer { id: it.seed.id.clone(), incarnation: it.incarnation }).collect()
    }

    fn unwatched_keepers(&self) -> impl Iterator<Item = &Seed> {
        let seeds = self.settings.peers.iter().filter(|it| it.kind == InstanceKind::Keeper);
        seeds.filter(|it| self.peer(&it.id).is_none())
    }
}

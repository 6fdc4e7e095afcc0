//! Dead entry instances, told to keepers that don't watch them.
//!
//! In a large deployment an instance watches its own zone only, while the voters of a home group may
//! run anywhere. The speaker of a zone tells them which entry instances of its zone are dead, at once
//! and from time to time. Nothing is sent while all live, so the cost is bounded by the number of
//! dead instances and keepers. A zone that is lost as a whole has nobody who tells.

use crate::{
    ids::ZoneId,
    membership::{
        Effect, InstanceKind, LostPeer, Message, Notice, PeerState, Seed,
        core::Membership,
        timing::{LOST_LIFETIME, LOST_PERIOD},
    },
    time::Time,
};

/// Dead instances of other zones, as others tell.
#[derive(Debug, Clone, Default)]
pub(super) struct LostTable {
    peers: Vec<LostPeer>,
    heard: Vec<Time>,
}

impl LostTable {
    pub(super) fn all(&self) -> &[LostPeer] {
        &self.peers
    }

    /// Takes news in; answers whether the instance was not known to be dead.
    fn learn(&mut self, now: Time, peer: LostPeer) -> bool {
        let Some(place) = self.peers.iter().position(|it| it.id == peer.id) else {
            self.peers.push(peer);
            self.heard.push(now);
            return true;
        };
        let known = &mut self.peers[place];
        let is_new = peer.incarnation > known.incarnation;
        known.incarnation = known.incarnation.max(peer.incarnation);
        self.heard[place] = now;
        is_new
    }

    fn expire(&mut self, now: Time) {
        for place in (0..self.peers.len()).rev() {
            if now - self.heard[place] >= LOST_LIFETIME {
                self.peers.remove(place);
                self.heard.remove(place);
            }
        }
    }
}

impl Membership {
    pub(super) fn learn_lost(&mut self, now: Time, lost: Vec<LostPeer>, out: &mut Vec<Effect>) {
        let own = &self.settings.own.id;
        let is_news = |it: &LostPeer| it.id != *own && self.peer(&it.id).is_none();
        let lost: Vec<LostPeer> = lost.into_iter().filter(is_news).collect();
        for peer in lost {
            let id = peer.id.clone();
            if self.lost.learn(now, peer) {
                out.push(Effect::Notice(Notice::PeerDead(id)));
            }
        }
    }

    /// Tells of the dead instances of the zone, at once when `is_new` and from time to time.
    pub(super) fn tell_lost(&mut self, now: Time, is_new: bool, out: &mut Vec<Effect>) {
        self.lost.expire(now);
        if !is_new && now < self.next_lost {
            return;
        }
        self.next_lost = now + LOST_PERIOD;
        let dead = self.dead_entries();
        if dead.is_empty() || !self.is_speaker() {
            return;
        }
        for keeper in self.unwatched_keepers() {
            let message = Message::Lost(dead.clone());
            out.push(Effect::Send { to: keeper.id.clone(), message });
        }
    }

    fn dead_entries(&self) -> Vec<LostPeer> {
        let zone: &ZoneId = &self.settings.own.zone;
        let is_dead = |state| matches!(state, PeerState::Dead { .. });
        let peers = self.peers.all().iter();
        let dead = peers.filter(|it| {
            it.seed.zone == *zone && it.seed.kind == InstanceKind::Entry && is_dead(it.state)
        });
        dead.map(|it| LostPeer { id: it.seed.id.clone(), incarnation: it.incarnation }).collect()
    }

    fn unwatched_keepers(&self) -> impl Iterator<Item = &Seed> {
        let seeds = self.settings.peers.iter().filter(|it| it.kind == InstanceKind::Keeper);
        seeds.filter(|it| self.peer(&it.id).is_none())
    }
}

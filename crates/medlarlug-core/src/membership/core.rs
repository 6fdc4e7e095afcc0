//! The membership core: takes events in and returns effects.

use std::hash::Hash;

use crate::{
    announcement::Announcement,
    ids::{InstanceId, UpstreamId},
    membership::{
        Effect, Event, Heartbeat, InstanceKind, Message, Notice, Seed, Settings, Status, Target,
        UpstreamKey, UpstreamUpdate,
        dead_peers::ReportedDead,
        hash::StableHasher,
        peers::{Peer, PeerTable},
        speaker::RelayQueue,
        timing::{FULL_MESH_INSTANCES, FULL_SYNC_INTERVAL, HEARTBEAT_INTERVAL, SUMMARY_INTERVAL},
        upstreams::{Change, UpstreamTable},
        zones::{Outbox, ZoneTable},
    },
    time::Time,
};

/// Whether the instance is not the default speaker, a hash, and the id as a tie-breaker.
type Rank<'a> = (bool, u32, &'a InstanceId);

/// One instance's view of the upstreams, instances and zones.
///
/// ```
/// use medlarlug_core::{
///     ids::Incarnation,
///     membership::{Event, InstanceKind, Membership, Seed, Settings},
///     time::Time,
/// };
///
/// let seed = |id: &str| Seed {
///     id: id.parse().unwrap(),
///     kind: InstanceKind::Entry,
///     zone: "riga-a".parse().unwrap(),
///     region: "riga".parse().unwrap(),
/// };
/// let settings =
///     Settings { own: seed("e1"), incarnation: Incarnation(1), peers: vec![seed("e2")] };
/// let mut membership = Membership::new(Time::ZERO, settings);
/// let mut effects = Vec::new();
/// membership.handle(Time::from_millis(250), Event::Tick, &mut effects);
/// assert!(!effects.is_empty());
/// ```
#[derive(Debug, Clone)]
pub struct Membership {
    pub(super) settings: Settings,
    /// The entry instance of the zone with the lowest id, whether alive or not.
    default_speaker: InstanceId,
    pub(super) status: Status,
    pub(super) upstreams: UpstreamTable,
    pub(super) peers: PeerTable,
    pub(super) zones: ZoneTable,
    pub(super) region_outbox: Outbox,
    pub(super) remote_outbox: Outbox,
    pub(super) relay_queue: RelayQueue,
    pub(super) reported_targets: Vec<Target>,
    pub(super) contact_rotation: usize,
    pub(super) next_heartbeat: Time,
    pub(super) next_summary: Time,
    pub(super) next_sync: Time,
    pub(super) reported_dead: ReportedDead,
    pub(super) next_report: Time,
}

impl Membership {
    /// Creates a view without upstreams, in which no other instance has been seen.
    pub fn new(now: Time, mut settings: Settings) -> Membership {
        let own = &settings.own;
        settings.peers.retain(|it| it.id != own.id);
        let watches_all = settings.peers.len() < FULL_MESH_INSTANCES;
        let is_watched = |it: &&Seed| watches_all || it.zone == own.zone;
        let watched = settings.peers.iter().filter(is_watched).cloned().collect();
        let entries: Vec<Seed> =
            settings.peers.iter().filter(|it| it.kind == InstanceKind::Entry).cloned().collect();
        let zones = ZoneTable::new(own, &entries);
        let region_zones = zones.all().iter().filter(|it| it.region == own.region).count();
        let cross_region_zones = zones.all().len() - region_zones;
        let in_zone = entries.iter().filter(|it| it.zone == own.zone).map(|it| &it.id);
        let default_speaker = in_zone.chain([&own.id]).min().expect("the own id").clone();
        let seed = own.id.as_str().bytes().fold(0, |sum, byte| sum + usize::from(byte));
        Membership {
            default_speaker,
            status: Status::default(),
            upstreams: UpstreamTable::default(),
            peers: PeerTable::new(watched),
            zones,
            region_outbox: Outbox::within_region(region_zones),
            remote_outbox: Outbox::cross_region(cross_region_zones),
            relay_queue: RelayQueue::default(),
            reported_targets: Vec::new(),
            contact_rotation: seed,
            next_heartbeat: now,
            next_summary: now,
            next_sync: now,
            reported_dead: ReportedDead::default(),
            next_report: now,
            settings,
        }
    }

    /// Handles one event; effects are appended to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Announced(announcement) => self.on_announcement(now, announcement, out),
            Event::Message { from, message } => self.on_message(now, &from, message, out),
            Event::Status(status) => self.on_status(now, status, out),
            Event::Tick => self.on_tick(now, out),
        }
    }

    fn on_announcement(&mut self, now: Time, announcement: Announcement, out: &mut Vec<Effect>) {
        let id = announcement.id.clone();
        if announcement.zone != self.settings.own.zone {
            out.push(Effect::Notice(Notice::ForeignZone(id)));
            return;
        }
        let change = self.upstreams.announce(now, announcement);
        push_notice(&id, change, out);
        if change == Change::Leaving {
            self.send_updates(now, out);
        }
    }

    fn on_message(
        &mut self,
        now: Time,
        from: &InstanceId,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        self.peers.record_received(now, from, out);
        match message {
            Message::Heartbeat(heartbeat) => self.on_heartbeat(now, from, heartbeat, out),
            Message::Upstreams(updates) => self.apply_updates(now, from, updates, out),
            Message::Pull(keys) => self.on_pull(now, from, &keys, out),
            Message::Summaries(summaries) => self.apply_summaries(now, summaries, out),
            Message::DeadPeers(dead) => self.apply_dead_report(now, dead, out),
        }
    }

    fn on_heartbeat(
        &mut self,
        now: Time,
        from: &InstanceId,
        mut heartbeat: Heartbeat,
        out: &mut Vec<Effect>,
    ) {
        self.apply_updates(now, from, std::mem::take(&mut heartbeat.updates), out);
        let is_zone_entry = self.zone_entry_peers().any(|it| it.seed.id == *from);
        let digest = if is_zone_entry { self.upstreams.digest() } else { heartbeat.digest };
        let is_outdated = self.peers.record_heartbeat(from, heartbeat, digest, out);
        if is_outdated && now >= self.next_sync {
            self.next_sync = now + FULL_SYNC_INTERVAL;
            self.peers.reset_mismatches(from);
            let message = Message::Upstreams(self.upstreams.full_view(now));
            out.push(Effect::Send { to: from.clone(), message });
        }
    }

    fn apply_updates(
        &mut self,
        now: Time,
        from: &InstanceId,
        updates: Vec<UpstreamUpdate>,
        out: &mut Vec<Effect>,
    ) {
        let mut unknown = Vec::new();
        let mut corrections = Vec::new();
        for it in updates {
            let id = match self.upstreams.upstream_of(&it) {
                Ok(id) => id,
                Err(key) => {
                    unknown.push(key);
                    continue;
                }
            };
            let is_preferred = self.rank(&id, from) > self.rank(&id, &self.settings.own.id);
            let change = self.upstreams.apply(now, it, is_preferred);
            push_notice(&id, change, out);
            if change == Change::Outdated {
                corrections.extend(self.upstreams.current_update(now, &id));
            }
        }
        if !unknown.is_empty() {
            out.push(Effect::Send { to: from.clone(), message: Message::Pull(unknown) });
        }
        if !corrections.is_empty() {
            out.push(Effect::Send { to: from.clone(), message: Message::Upstreams(corrections) });
        }
    }

    fn on_pull(
        &mut self,
        now: Time,
        from: &InstanceId,
        keys: &[UpstreamKey],
        out: &mut Vec<Effect>,
    ) {
        let updates: Vec<_> =
            keys.iter().filter_map(|key| self.upstreams.full_update(now, *key)).collect();
        if !updates.is_empty() {
            out.push(Effect::Send { to: from.clone(), message: Message::Upstreams(updates) });
        }
    }

    fn on_status(&mut self, now: Time, status: Status, out: &mut Vec<Effect>) {
        let is_urgent = status.leaving && !self.status.leaving;
        self.status = Status { leaving: self.status.leaving || status.leaving, ..status };
        if is_urgent {
            self.send_heartbeats(now, out);
        }
    }

    fn on_tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        for id in self.upstreams.expire(now) {
            out.push(Effect::Notice(Notice::UpstreamDead(id)));
        }
        let start = out.len();
        self.peers.check_timeouts(now, out);
        let is_dead_notice = |it: &Effect| matches!(it, Effect::Notice(Notice::PeerDead(_)));
        let has_new_death = out[start..].iter().any(is_dead_notice);
        self.report_dead_peers(now, has_new_death, out);
        if now >= self.next_heartbeat {
            self.send_heartbeats(now, out);
        } else if self.upstreams.has_urgent_updates() {
            self.send_updates(now, out);
        }
        if now >= self.next_summary {
            self.next_summary = now + SUMMARY_INTERVAL;
            self.send_due_summaries(now, out);
        }
    }

    fn send_heartbeats(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.next_heartbeat = now + HEARTBEAT_INTERVAL * self.peers.period_factor();
        let digest = self.upstreams.digest();
        let (incarnation, status) = (self.settings.incarnation, self.status);
        let updates = self.upstreams.take_updates(now);
        for peer in self.peers.all() {
            let updates =
                if self.shares_upstreams_with(peer) { updates.clone() } else { Vec::new() };
            let message = Message::Heartbeat(Heartbeat { incarnation, status, digest, updates });
            out.push(Effect::Send { to: peer.seed.id.clone(), message });
        }
    }

    fn send_updates(&mut self, now: Time, out: &mut Vec<Effect>) {
        let updates = self.upstreams.take_updates(now);
        if updates.is_empty() {
            return;
        }
        for peer in self.zone_entry_peers() {
            let message = Message::Upstreams(updates.clone());
            out.push(Effect::Send { to: peer.seed.id.clone(), message });
        }
    }

    /// Rank of an instance among those that may relay the renewals of an upstream; the highest one
    /// does. The default speaker has the lowest rank, since it usually sends the summaries already.
    fn rank<'a>(&self, upstream: &UpstreamId, instance: &'a InstanceId) -> Rank<'a> {
        let mut hasher = StableHasher::new();
        (upstream, instance).hash(&mut hasher);
        (*instance != self.default_speaker, hasher.short(), instance)
    }

    pub(super) fn accepts_callers(&self) -> bool {
        self.settings.own.kind == InstanceKind::Entry && !self.status.leaving
    }

    pub(super) fn zone_peers(&self) -> impl Iterator<Item = &Peer> {
        let zone = &self.settings.own.zone;
        self.peers.all().iter().filter(move |it| it.seed.zone == *zone)
    }

    /// The instances that are sent the upstreams of the zone: other entry instances, since only
    /// these send requests to upstreams.
    fn zone_entry_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.all().iter().filter(|it| self.shares_upstreams_with(it))
    }

    fn shares_upstreams_with(&self, peer: &Peer) -> bool {
        let own = &self.settings.own;
        let are_entries = [own.kind, peer.seed.kind] == [InstanceKind::Entry; 2];
        are_entries && peer.seed.zone == own.zone
    }
}

fn push_notice(id: &UpstreamId, change: Change, out: &mut Vec<Effect>) {
    match change {
        Change::Up => out.push(Effect::Notice(Notice::UpstreamUp(id.clone()))),
        Change::Leaving => out.push(Effect::Notice(Notice::UpstreamLeaving(id.clone()))),
        Change::None | Change::Outdated => {}
    }
}

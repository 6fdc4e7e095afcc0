//! The membership core: events in, effects out.

use std::hash::Hash;

use crate::{
    announcement::Announcement,
    ids::{InstanceId, UpstreamId},
    membership::{
        Effect, Event, Heartbeat, InstanceKind, Message, Notice, Seed, Settings, Status, Target,
        UpstreamKey, UpstreamNews,
        dead_peers::LostTable,
        hash::StableHasher,
        peers::{Peer, PeerTable},
        speaker::Held,
        timing::{HEARTBEAT, SUMMARY_PERIOD, SYNC_INTERVAL, WATCH_ALL},
        upstreams::{Change, UpstreamTable},
        zones::{Outbox, ZoneTable},
    },
    time::Time,
};

/// Whether an instance goes before the usual speaker, a hash, and the instance itself.
type Rank<'a> = (bool, u32, &'a InstanceId);

/// The view that one instance has of upstreams, instances and zones.
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
    /// The lowest entry instance of the zone, alive or not.
    first: InstanceId,
    pub(super) status: Status,
    pub(super) upstreams: UpstreamTable,
    pub(super) peers: PeerTable,
    pub(super) zones: ZoneTable,
    pub(super) near: Outbox,
    pub(super) far: Outbox,
    pub(super) held: Held,
    pub(super) told: Vec<Target>,
    pub(super) turn: usize,
    pub(super) next_beat: Time,
    pub(super) next_summary: Time,
    pub(super) next_sync: Time,
    pub(super) lost: LostTable,
    pub(super) next_lost: Time,
}

impl Membership {
    /// The view at the start: no upstream, and every instance unheard.
    pub fn new(now: Time, mut settings: Settings) -> Membership {
        let own = &settings.own;
        settings.peers.retain(|it| it.id != own.id);
        let watches_all = settings.peers.len() < WATCH_ALL;
        let is_watched = |it: &&Seed| watches_all || it.zone == own.zone;
        let watched = settings.peers.iter().filter(is_watched).cloned().collect();
        let entries: Vec<Seed> =
            settings.peers.iter().filter(|it| it.kind == InstanceKind::Entry).cloned().collect();
        let zones = ZoneTable::new(own, &entries);
        let near = zones.all().iter().filter(|it| it.region == own.region).count();
        let far = zones.all().len() - near;
        let in_zone = entries.iter().filter(|it| it.zone == own.zone).map(|it| &it.id);
        let first = in_zone.chain([&own.id]).min().expect("the own id").clone();
        let seed = own.id.as_str().bytes().fold(0, |sum, byte| sum + usize::from(byte));
        Membership {
            first,
            status: Status::default(),
            upstreams: UpstreamTable::default(),
            peers: PeerTable::new(watched),
            zones,
            near: Outbox::near(near),
            far: Outbox::far(far),
            held: Held::default(),
            told: Vec::new(),
            turn: seed,
            next_beat: now,
            next_summary: now,
            next_sync: now,
            lost: LostTable::default(),
            next_lost: now,
            settings,
        }
    }

    /// Feeds one event in; effects are appended to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Announced(announcement) => self.announced(now, announcement, out),
            Event::Message { from, message } => self.received(now, &from, message, out),
            Event::Status(status) => self.set_status(now, status, out),
            Event::Tick => self.tick(now, out),
        }
    }

    fn announced(&mut self, now: Time, announcement: Announcement, out: &mut Vec<Effect>) {
        let id = announcement.id.clone();
        if announcement.zone != self.settings.own.zone {
            out.push(Effect::Notice(Notice::ForeignZone(id)));
            return;
        }
        let change = self.upstreams.announce(now, announcement);
        notice_change(&id, change, out);
        if change == Change::Leaving {
            self.share_news(now, out);
        }
    }

    fn received(&mut self, now: Time, from: &InstanceId, message: Message, out: &mut Vec<Effect>) {
        self.peers.hear(now, from, out);
        match message {
            Message::Heartbeat(beat) => self.beaten(now, from, beat, out),
            Message::Upstreams(news) => self.learn_upstreams(now, from, news, out),
            Message::Pull(keys) => self.answer_pull(now, from, &keys, out),
            Message::Summaries(summaries) => self.learn_zones(now, summaries, out),
            Message::Lost(lost) => self.learn_lost(now, lost, out),
        }
    }

    fn beaten(&mut self, now: Time, from: &InstanceId, mut beat: Heartbeat, out: &mut Vec<Effect>) {
        self.learn_upstreams(now, from, std::mem::take(&mut beat.news), out);
        let shares_upstreams = self.zone_entry_peers().any(|it| it.seed.id == *from);
        let digest = if shares_upstreams { self.upstreams.digest() } else { beat.digest };
        let differs = self.peers.beat(from, beat, digest, out);
        if differs && now >= self.next_sync {
            self.next_sync = now + SYNC_INTERVAL;
            self.peers.synced(from);
            let message = Message::Upstreams(self.upstreams.whole_view(now));
            out.push(Effect::Send { to: from.clone(), message });
        }
    }

    fn learn_upstreams(
        &mut self,
        now: Time,
        from: &InstanceId,
        news: Vec<UpstreamNews>,
        out: &mut Vec<Effect>,
    ) {
        let mut unknown = Vec::new();
        let mut void = Vec::new();
        for it in news {
            let id = match self.upstreams.subject(&it) {
                Ok(id) => id,
                Err(key) => {
                    unknown.push(key);
                    continue;
                }
            };
            let is_preferred = self.rank(&id, from) > self.rank(&id, &self.settings.own.id);
            let change = self.upstreams.learn(now, it, is_preferred);
            notice_change(&id, change, out);
            if change == Change::Void {
                void.extend(self.upstreams.answer(now, &id));
            }
        }
        if !unknown.is_empty() {
            out.push(Effect::Send { to: from.clone(), message: Message::Pull(unknown) });
        }
        if !void.is_empty() {
            out.push(Effect::Send { to: from.clone(), message: Message::Upstreams(void) });
        }
    }

    fn answer_pull(
        &mut self,
        now: Time,
        from: &InstanceId,
        keys: &[UpstreamKey],
        out: &mut Vec<Effect>,
    ) {
        let news: Vec<_> =
            keys.iter().filter_map(|key| self.upstreams.answer_key(now, *key)).collect();
        if !news.is_empty() {
            out.push(Effect::Send { to: from.clone(), message: Message::Upstreams(news) });
        }
    }

    fn set_status(&mut self, now: Time, status: Status, out: &mut Vec<Effect>) {
        let is_urgent = status.leaving && !self.status.leaving;
        self.status = Status { leaving: self.status.leaving || status.leaving, ..status };
        if is_urgent {
            self.send_beats(now, out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        for id in self.upstreams.expire(now) {
            out.push(Effect::Notice(Notice::UpstreamDead(id)));
        }
        let noted = out.len();
        self.peers.check(now, out);
        let is_death = |it: &Effect| matches!(it, Effect::Notice(Notice::PeerDead(_)));
        let has_died = out[noted..].iter().any(is_death);
        self.tell_lost(now, has_died, out);
        if now >= self.next_beat {
            self.send_beats(now, out);
        } else if self.upstreams.has_urgent_news() {
            self.share_news(now, out);
        }
        if now >= self.next_summary {
            self.next_summary = now + SUMMARY_PERIOD;
            self.summarize(now, out);
        }
    }

    fn send_beats(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.next_beat = now + HEARTBEAT * self.peers.period_factor();
        let digest = self.upstreams.digest();
        let (incarnation, status) = (self.settings.incarnation, self.status);
        let news = self.upstreams.take_news(now);
        for peer in self.peers.all() {
            let news = if self.shares_upstreams(peer) { news.clone() } else { Vec::new() };
            let message = Message::Heartbeat(Heartbeat { incarnation, status, digest, news });
            out.push(Effect::Send { to: peer.seed.id.clone(), message });
        }
    }

    fn share_news(&mut self, now: Time, out: &mut Vec<Effect>) {
        let news = self.upstreams.take_news(now);
        if news.is_empty() {
            return;
        }
        for peer in self.zone_entry_peers() {
            let message = Message::Upstreams(news.clone());
            out.push(Effect::Send { to: peer.seed.id.clone(), message });
        }
    }

    /// Rank of an instance among those that may pass an upstream's renewals on. The lowest entry
    /// instance of the zone has the lowest rank, since it usually is the speaker and sends the
    /// summaries.
    fn rank<'a>(&self, upstream: &UpstreamId, instance: &'a InstanceId) -> Rank<'a> {
        let mut hasher = StableHasher::new();
        (upstream, instance).hash(&mut hasher);
        (*instance != self.first, hasher.short(), instance)
    }

    pub(super) fn is_open(&self) -> bool {
        self.settings.own.kind == InstanceKind::Entry && !self.status.leaving
    }

    pub(super) fn zone_peers(&self) -> impl Iterator<Item = &Peer> {
        let zone = &self.settings.own.zone;
        self.peers.all().iter().filter(move |it| it.seed.zone == *zone)
    }

    /// The instances that learn of the zone's upstreams; none but entry instances send work there.
    fn zone_entry_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.all().iter().filter(|it| self.shares_upstreams(it))
    }

    fn shares_upstreams(&self, peer: &Peer) -> bool {
        let own = &self.settings.own;
        let are_entries = [own.kind, peer.seed.kind] == [InstanceKind::Entry; 2];
        are_entries && peer.seed.zone == own.zone
    }
}

fn notice_change(id: &UpstreamId, change: Change, out: &mut Vec<Effect>) {
    match change {
        Change::Up => out.push(Effect::Notice(Notice::UpstreamUp(id.clone()))),
        Change::Leaving => out.push(Effect::Notice(Notice::UpstreamLeaving(id.clone()))),
        Change::None | Change::Void => {}
    }
}

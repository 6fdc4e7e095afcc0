//! Summaries between zones: what the speaker of a zone sends, and what receivers hand on.

use std::time::Duration;

use crate::{
    ids::{InstanceId, Revision},
    membership::{
        Effect, EntryLoad, InstanceKind, Message, Peer, QueueTime, Scope, Sketch, Summaries,
        TargetSummary, Upstream, ZoneUpdate,
        core::Membership,
        load::{free_slots, queueing_time},
        timing::SUMMARY_ENTRIES,
    },
    time::Time,
};

impl Membership {
    /// Sends the own summary, if this is the speaker and it is due, and what is handed on.
    pub(super) fn summarize(&mut self, now: Time, out: &mut Vec<Effect>) {
        let chained = release(&mut self.held.zone, now);
        if let (Some(next), false) = (self.next_in_chain(), chained.is_empty()) {
            let hops = self.live_entries().saturating_sub(2);
            send_summaries(vec![next], Scope::Chain(hops), chained, out);
        }
        let mut near = release(&mut self.held.region, now);
        if self.is_speaker() {
            near.extend(self.summarize_own(now, out));
        }
        if !near.is_empty() {
            let contacts = self.zones.contacts(now, &self.settings.own.region);
            send_summaries(contacts, Scope::Zone, near, out);
        }
    }

    /// Sends the own summary to other regions, and gives what is due within the region.
    fn summarize_own(&mut self, now: Time, out: &mut Vec<Effect>) -> Option<ZoneUpdate> {
        let rows = self.own_rows(now);
        let entries = self.zone_entries();
        self.turn += 1;
        let near = self.near.take(now, &rows, &entries);
        let near = near.map(|rows| self.own_news(entries.clone(), rows));
        if let Some(rows) = self.far.take(now, &rows, &entries) {
            let news = self.own_news(entries, rows);
            let turn = self.turn;
            let contacts = self.zones.far_contacts(now, &self.settings.own.region, turn);
            send_summaries(contacts, Scope::Region, vec![news], out);
        }
        near
    }

    fn own_news(&self, entries: Vec<EntryLoad>, rows: Vec<TargetSummary>) -> ZoneUpdate {
        let in_zone = self.zone_peers().filter(|it| it.is_live()).map(|it| it.status.revision);
        let revision = in_zone.chain([self.status.revision]).max().unwrap_or(Revision(0));
        let (zone, speaker) = (self.settings.own.zone.clone(), self.settings.own.id.clone());
        ZoneUpdate { zone, speaker, age: Default::default(), revision, entries, rows }
    }

    fn own_rows(&mut self, now: Time) -> Vec<TargetSummary> {
        let mut rows: Vec<TargetSummary> =
            self.told.iter().cloned().map(TargetSummary::empty).collect();
        for upstream in self.upstreams.all().iter().filter(|it| it.is_usable(now)) {
            for target in upstream.targets() {
                let place = match rows.binary_search_by(|it| it.target.cmp(&target)) {
                    Ok(place) => place,
                    Err(place) => {
                        rows.insert(place, TargetSummary::empty(target));
                        place
                    }
                };
                add_upstream(&mut rows[place], upstream);
            }
        }
        self.told = rows.iter().map(|it| it.target.clone()).collect();
        rows
    }

    pub(super) fn learn_zones(&mut self, now: Time, summaries: Summaries, out: &mut Vec<Effect>) {
        let Summaries { scope, zones } = summaries;
        let mut fresh = zones;
        fresh.retain(|news| self.zones.learn(now, news));
        if fresh.is_empty() || self.settings.own.kind != InstanceKind::Entry {
            return;
        }
        let hops = match scope {
            Scope::Region => {
                hold(&mut self.held.region, now, fresh.clone());
                return hold(&mut self.held.zone, now, fresh);
            }
            Scope::Zone => return hold(&mut self.held.zone, now, fresh),
            Scope::Chain(hops) => hops,
        };
        if let (Some(next), 1..) = (self.next_in_chain(), hops) {
            send_summaries(vec![next], Scope::Chain(hops - 1), fresh, out);
        }
    }

    fn live_entries(&self) -> u8 {
        let open = self.zone_peers().filter(|it| is_live_entry(it)).count();
        u8::try_from(open + 1).unwrap_or(u8::MAX)
    }

    fn next_in_chain(&self) -> Option<InstanceId> {
        let own = &self.settings.own.id;
        let ids: Vec<&InstanceId> =
            self.zone_peers().filter(|it| is_live_entry(it)).map(|it| &it.seed.id).collect();
        let next = ids.iter().find(|id| **id > own).or(ids.first());
        next.map(|id| InstanceId::clone(id))
    }

    fn zone_entries(&self) -> Vec<EntryLoad> {
        let own = EntryLoad { id: self.settings.own.id.clone(), load: self.status.load };
        let open = self.zone_peers().filter(|it| it.accepts_callers());
        let open = open.map(|it| EntryLoad { id: it.seed.id.clone(), load: it.status.load });
        let mut entries: Vec<EntryLoad> = open.collect();
        if self.accepts_callers() {
            entries.push(own);
        }
        entries.sort_by(|a, b| (a.load, &a.id).cmp(&(b.load, &b.id)));
        entries.truncate(SUMMARY_ENTRIES);
        entries
    }
}

/// Summaries that arrived from other zones and are handed on together, with the next own summary.
#[derive(Debug, Clone, Default)]
pub(super) struct Held {
    /// For the other zones of the region.
    region: Vec<(Time, ZoneUpdate)>,
    /// For the other entry instances of the zone.
    zone: Vec<(Time, ZoneUpdate)>,
}

fn hold(held: &mut Vec<(Time, ZoneUpdate)>, now: Time, zones: Vec<ZoneUpdate>) {
    held.extend(zones.into_iter().map(|it| (now, it)));
}

/// Takes the held news out, dated by its age now.
fn release(held: &mut Vec<(Time, ZoneUpdate)>, now: Time) -> Vec<ZoneUpdate> {
    let aged = |(since, news): (Time, ZoneUpdate)| {
        let age = Duration::from(news.age) + (now - since);
        ZoneUpdate { age: age.into(), ..news }
    };
    std::mem::take(held).into_iter().map(aged).collect()
}

fn is_live_entry(peer: &Peer) -> bool {
    peer.is_live() && peer.seed.kind == InstanceKind::Entry
}

fn send_summaries(
    contacts: Vec<InstanceId>,
    scope: Scope,
    zones: Vec<ZoneUpdate>,
    out: &mut Vec<Effect>,
) {
    for to in contacts {
        let message = Message::Summaries(Summaries { scope, zones: zones.clone() });
        out.push(Effect::Send { to, message });
    }
}

fn add_upstream(row: &mut TargetSummary, upstream: &Upstream) {
    let announcement = &upstream.announcement;
    let millis = u32::try_from(queueing_time(announcement).as_millis()).unwrap_or(u32::MAX);
    let sum = u64::from(row.queueing.0) * u64::from(row.upstreams) + u64::from(millis);
    let mean = sum / (u64::from(row.upstreams) + 1);
    row.queueing = QueueTime(u32::try_from(mean).unwrap_or(u32::MAX));
    row.upstreams = row.upstreams.saturating_add(1);
    row.free = row.free.saturating_add(free_slots(announcement));
    row.speed = row.speed.saturating_add(announcement.load.speed as u32);
    for print in upstream.warm.newest(Sketch::PREFIXES) {
        row.warm.insert(print);
    }
}

//! Summaries between zones: those that the speaker of a zone sends, and those that receivers
//! forward.

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
    /// Forwards the queued summaries, and sends the own one if this instance is the speaker and it
    /// is due.
    pub(super) fn send_due_summaries(&mut self, now: Time, out: &mut Vec<Effect>) {
        let for_zone = dequeue(&mut self.relay_queue.zone, now);
        if let (Some(next), false) = (self.next_in_chain(), for_zone.is_empty()) {
            let hops = self.live_entries().saturating_sub(2);
            send_summaries(vec![next], Scope::Chain(hops), for_zone, out);
        }
        let mut for_region = dequeue(&mut self.relay_queue.region, now);
        if self.is_speaker() {
            for_region.extend(self.summarize_own_zone(now, out));
        }
        if !for_region.is_empty() {
            let contacts = self.zones.contacts(now, &self.settings.own.region);
            send_summaries(contacts, Scope::Zone, for_region, out);
        }
    }

    /// Sends the own summary to other regions if it is due there, and returns the one that is due
    /// within the region.
    fn summarize_own_zone(&mut self, now: Time, out: &mut Vec<Effect>) -> Option<ZoneUpdate> {
        let rows = self.own_rows(now);
        let entries = self.zone_entries();
        self.contact_rotation += 1;
        let for_region = self.region_outbox.take(now, &rows, &entries);
        let for_region = for_region.map(|rows| self.own_update(entries.clone(), rows));
        if let Some(rows) = self.remote_outbox.take(now, &rows, &entries) {
            let update = self.own_update(entries, rows);
            let rotation = self.contact_rotation;
            let contacts =
                self.zones.cross_region_contacts(now, &self.settings.own.region, rotation);
            send_summaries(contacts, Scope::Region, vec![update], out);
        }
        for_region
    }

    fn own_update(&self, entries: Vec<EntryLoad>, rows: Vec<TargetSummary>) -> ZoneUpdate {
        let in_zone = self.zone_peers().filter(|it| it.is_live()).map(|it| it.status.revision);
        let revision = in_zone.chain([self.status.revision]).max().unwrap_or(Revision(0));
        let (zone, speaker) = (self.settings.own.zone.clone(), self.settings.own.id.clone());
        ZoneUpdate { zone, speaker, age: Default::default(), revision, entries, rows }
    }

    fn own_rows(&mut self, now: Time) -> Vec<TargetSummary> {
        let mut rows: Vec<TargetSummary> =
            self.reported_targets.iter().cloned().map(TargetSummary::empty).collect();
        for upstream in self.upstreams.all().iter().filter(|it| it.is_usable(now)) {
            for target in upstream.targets() {
                let index = match rows.binary_search_by(|it| it.target.cmp(&target)) {
                    Ok(index) => index,
                    Err(index) => {
                        rows.insert(index, TargetSummary::empty(target));
                        index
                    }
                };
                add_upstream(&mut rows[index], upstream);
            }
        }
        self.reported_targets = rows.iter().map(|it| it.target.clone()).collect();
        rows
    }

    pub(super) fn apply_summaries(
        &mut self,
        now: Time,
        summaries: Summaries,
        out: &mut Vec<Effect>,
    ) {
        let Summaries { scope, zones } = summaries;
        let mut newer = zones;
        newer.retain(|update| self.zones.apply(now, update));
        if newer.is_empty() || self.settings.own.kind != InstanceKind::Entry {
            return;
        }
        let hops = match scope {
            Scope::Region => {
                enqueue(&mut self.relay_queue.region, now, newer.clone());
                return enqueue(&mut self.relay_queue.zone, now, newer);
            }
            Scope::Zone => return enqueue(&mut self.relay_queue.zone, now, newer),
            Scope::Chain(hops) => hops,
        };
        if let (Some(next), 1..) = (self.next_in_chain(), hops) {
            send_summaries(vec![next], Scope::Chain(hops - 1), newer, out);
        }
    }

    fn live_entries(&self) -> u8 {
        let others = self.zone_peers().filter(|it| is_live_entry(it)).count();
        u8::try_from(others + 1).unwrap_or(u8::MAX)
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
        let accepting = self.zone_peers().filter(|it| it.accepts_callers());
        let accepting =
            accepting.map(|it| EntryLoad { id: it.seed.id.clone(), load: it.status.load });
        let mut entries: Vec<EntryLoad> = accepting.collect();
        if self.accepts_callers() {
            entries.push(own);
        }
        entries.sort_by(|a, b| (a.load, &a.id).cmp(&(b.load, &b.id)));
        entries.truncate(SUMMARY_ENTRIES);
        entries
    }
}

/// Summaries from other zones that are queued to be forwarded together, with the next own summary.
#[derive(Debug, Clone, Default)]
pub(super) struct RelayQueue {
    /// For the other zones of the region.
    region: Vec<(Time, ZoneUpdate)>,
    /// For the other entry instances of the zone.
    zone: Vec<(Time, ZoneUpdate)>,
}

fn enqueue(queue: &mut Vec<(Time, ZoneUpdate)>, now: Time, zones: Vec<ZoneUpdate>) {
    queue.extend(zones.into_iter().map(|it| (now, it)));
}

/// Takes all updates out of the queue, and sets their ages as of `now`.
fn dequeue(queue: &mut Vec<(Time, ZoneUpdate)>, now: Time) -> Vec<ZoneUpdate> {
    let aged = |(since, update): (Time, ZoneUpdate)| {
        let age = Duration::from(update.age) + (now - since);
        ZoneUpdate { age: age.into(), ..update }
    };
    std::mem::take(queue).into_iter().map(aged).collect()
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
    let total = u64::from(row.queueing.0) * u64::from(row.upstreams) + u64::from(millis);
    let mean = total / (u64::from(row.upstreams) + 1);
    row.queueing = QueueTime(u32::try_from(mean).unwrap_or(u32::MAX));
    row.upstreams = row.upstreams.saturating_add(1);
    row.free = row.free.saturating_add(free_slots(announcement));
    row.speed = row.speed.saturating_add(announcement.load.speed as u32);
    for print in upstream.warm.newest(Sketch::PREFIXES) {
        row.warm.insert(print);
    }
}

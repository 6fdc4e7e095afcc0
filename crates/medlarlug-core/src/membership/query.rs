//! Read access to the membership view.

use crate::{
    ids::{InstanceId, RegionId, Revision, UpstreamId, ZoneId},
    membership::{
        DeadPeer, InstanceKind, Peer, Seed, Status, Upstream, ZoneView, core::Membership,
    },
    time::Time,
};

/// An entry instance that accepts callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryView {
    /// Id of the instance.
    pub id: InstanceId,
    /// Zone that the instance runs in: the own zone or another one.
    pub zone: ZoneId,
    /// Region of that zone.
    pub region: RegionId,
    /// Requests in progress, by its latest heartbeat or the latest summary of its zone.
    pub load: u32,
    /// Whether it has just started. Always false for instances that are not watched, since
    /// summaries don't include it.
    pub settling: bool,
}

impl Membership {
    /// This instance, as its settings describe it.
    pub fn own(&self) -> &Seed {
        &self.settings.own
    }

    /// Upstreams of the own zone that accept new requests, sorted by id.
    pub fn upstreams(&self, now: Time) -> impl Iterator<Item = &Upstream> {
        self.upstreams.all().iter().filter(move |it| it.is_usable(now))
    }

    /// Every known upstream of the own zone, sorted by id; check [`Upstream::is_usable`] before
    /// use.
    pub fn all_upstreams(&self) -> &[Upstream] {
        self.upstreams.all()
    }

    /// Increases whenever an upstream is added, is removed or changes what it serves. Positions in
    /// [`Membership::all_upstreams`] are stable in between.
    pub fn generation(&self) -> u64 {
        self.upstreams.generation()
    }

    /// The upstream with this id, if it accepts new requests.
    pub fn upstream(&self, now: Time, id: &UpstreamId) -> Option<&Upstream> {
        self.upstreams.get(id).filter(|it| it.is_usable(now))
    }

    /// Number of tombstones, of upstreams that left or whose lease expired.
    pub fn tombstones(&self) -> usize {
        self.upstreams.tombstones()
    }

    /// The other zones, sorted by id.
    pub fn zones(&self) -> &[ZoneView] {
        self.zones.all()
    }

    /// Another zone; `None` for the own one and for zones without an entry instance in the
    /// settings.
    pub fn zone(&self, zone: &ZoneId) -> Option<&ZoneView> {
        self.zones.get(zone)
    }

    /// The instances that are watched, sorted by id.
    pub fn peers(&self) -> &[Peer] {
        self.peers.all()
    }

    /// A watched instance; `None` if it isn't watched.
    pub fn peer(&self, id: &InstanceId) -> Option<&Peer> {
        self.peers.get(id)
    }

    /// Dead instances of zones that this instance doesn't watch, as the speakers of those zones
    /// report them.
    pub fn reported_dead(&self) -> &[DeadPeer] {
        self.reported_dead.all()
    }

    /// The highest configuration revision reported by a live instance, a zone or this instance.
    pub fn highest_revision(&self) -> Revision {
        let peers = self.peers.all().iter().filter(|it| it.is_live());
        let peers = peers.map(|it| it.status.revision);
        let zones = self.zones.all().iter().map(|it| it.revision);
        peers.chain(zones).chain([self.status.revision]).max().unwrap_or_default()
    }

    /// Number of entry instances of the own zone that accept callers, including this one.
    pub fn accepting_entries(&self) -> u32 {
        let others = self.zone_peers().filter(|it| it.accepts_callers()).count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(u32::from(self.accepts_callers()))
    }

    /// Whether this instance sends the summaries of its zone: it is the one with the lowest id
    /// among the entry instances that accept callers.
    pub fn is_speaker(&self) -> bool {
        let own = &self.settings.own.id;
        self.accepts_callers()
            && !self.zone_peers().any(|it| it.accepts_callers() && it.seed.id < *own)
    }

    /// The entry instances of all zones that accept callers, sorted by id: those that are live and
    /// not leaving.
    pub fn entries(&self, now: Time) -> Vec<EntryView> {
        let mut entries: Vec<EntryView> = Vec::new();
        if self.accepts_callers() {
            entries.push(entry_view(&self.settings.own, self.status));
        }
        let watched = self.peers.all();
        let accepting = watched.iter().filter(|it| it.accepts_callers());
        entries.extend(accepting.map(|it| entry_view(&it.seed, it.status)));
        for zone in self.zones.all().iter().filter(|it| it.has_fresh_summary(now)) {
            entries.extend(self.unwatched_entries(zone, false));
        }
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        entries
    }

    /// The entry instances of all zones that this instance doesn't hear now and that have not said that
    /// they leave, sorted by id. They may be gone, or only cut off from this instance, so they are
    /// shown as settling.
    pub fn silent_entries(&self, now: Time) -> Vec<EntryView> {
        let watched = self.peers.all().iter();
        let silent = watched.filter(|it| {
            !it.is_live() && !it.status.leaving && it.seed.kind == InstanceKind::Entry
        });
        let silent = silent
            .map(|it| EntryView { settling: true, ..entry_view(&it.seed, Status::default()) });
        let mut entries: Vec<EntryView> = silent.collect();
        for zone in self.zones.all().iter().filter(|it| !it.has_fresh_summary(now)) {
            entries.extend(self.unwatched_entries(zone, true));
        }
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        entries
    }

    fn unwatched_entries(
        &self,
        zone: &ZoneView,
        settling: bool,
    ) -> impl Iterator<Item = EntryView> {
        let unwatched = zone.entries.iter().filter(|it| self.peer(&it.id).is_none());
        unwatched.map(move |it| EntryView {
            id: it.id.clone(),
            zone: zone.zone.clone(),
            region: zone.region.clone(),
            load: it.load,
            settling,
        })
    }
}

fn entry_view(seed: &Seed, status: Status) -> EntryView {
    let Seed { id, zone, region, .. } = seed.clone();
    let Status { load, settling, .. } = status;
    EntryView { id, zone, region, load, settling }
}

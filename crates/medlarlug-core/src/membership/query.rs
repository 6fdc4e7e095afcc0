//! Questions to the view.

use crate::{
    ids::{InstanceId, RegionId, Revision, UpstreamId, ZoneId},
    membership::{DeadPeer, Peer, Seed, Status, Upstream, ZoneView, core::Membership},
    time::Time,
};

/// An entry instance that callers may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryView {
    /// The instance.
    pub id: InstanceId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Its load, as far as known.
    pub load: u32,
    /// Whether it has just started; not known of instances of other zones that are not watched.
    pub settling: bool,
}

impl Membership {
    /// The instance itself.
    pub fn own(&self) -> &Seed {
        &self.settings.own
    }

    /// Upstreams of the zone that take new work, sorted by id.
    pub fn upstreams(&self, now: Time) -> impl Iterator<Item = &Upstream> {
        self.upstreams.all().iter().filter(move |it| it.is_usable(now))
    }

    /// Every known upstream of the zone, sorted by id; ask [`Upstream::is_usable`] before use.
    pub fn all_upstreams(&self) -> &[Upstream] {
        self.upstreams.all()
    }

    /// Rises whenever an upstream enters, goes or changes what it serves; the places in
    /// [`Membership::all_upstreams`] stay the same in between.
    pub fn generation(&self) -> u64 {
        self.upstreams.generation()
    }

    /// The upstream with this id, when it takes new work.
    pub fn upstream(&self, now: Time, id: &UpstreamId) -> Option<&Upstream> {
        self.upstreams.get(id).filter(|it| it.is_usable(now))
    }

    /// Number of tombstones that are kept.
    pub fn tombstones(&self) -> usize {
        self.upstreams.tombstones()
    }

    /// The other zones, sorted by id.
    pub fn zones(&self) -> &[ZoneView] {
        self.zones.all()
    }

    /// Another zone.
    pub fn zone(&self, zone: &ZoneId) -> Option<&ZoneView> {
        self.zones.get(zone)
    }

    /// The instances that are watched, sorted by id.
    pub fn peers(&self) -> &[Peer] {
        self.peers.all()
    }

    /// A watched instance; `None` if it is not watched.
    pub fn peer(&self, id: &InstanceId) -> Option<&Peer> {
        self.peers.get(id)
    }

    /// The dead instances of zones that aren't watched, as far as others tell.
    pub fn reported_dead(&self) -> &[DeadPeer] {
        self.lost.all()
    }

    /// The highest configuration revision that a live instance or a zone has told of.
    pub fn highest_revision(&self) -> Revision {
        let peers = self.peers.all().iter().filter(|it| it.is_live());
        let peers = peers.map(|it| it.status.revision);
        let zones = self.zones.all().iter().map(|it| it.revision);
        peers.chain(zones).chain([self.status.revision]).max().unwrap_or_default()
    }

    /// Entry instances of the own zone that callers may use, this one included.
    pub fn accepting_entries(&self) -> u32 {
        let others = self.zone_peers().filter(|it| it.accepts_callers()).count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(u32::from(self.accepts_callers()))
    }

    /// Whether this instance sends the summaries of its zone: the lowest live entry instance.
    pub fn is_speaker(&self) -> bool {
        let own = &self.settings.own.id;
        self.accepts_callers()
            && !self.zone_peers().any(|it| it.accepts_callers() && it.seed.id < *own)
    }

    /// The entry instances that callers may use, sorted by id: live and not leaving.
    pub fn entries(&self, now: Time) -> Vec<EntryView> {
        let mut entries: Vec<EntryView> = Vec::new();
        if self.accepts_callers() {
            entries.push(entry_view(&self.settings.own, self.status));
        }
        let watched = self.peers.all();
        let open = watched.iter().filter(|it| it.accepts_callers());
        entries.extend(open.map(|it| entry_view(&it.seed, it.status)));
        for zone in self.zones.all().iter().filter(|it| it.has_fresh_summary(now)) {
            let far = zone.entries.iter().filter(|it| self.peer(&it.id).is_none());
            entries.extend(far.map(|it| EntryView {
                id: it.id.clone(),
                zone: zone.zone.clone(),
                region: zone.region.clone(),
                load: it.load,
                settling: false,
            }));
        }
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        entries
    }
}

fn entry_view(seed: &Seed, status: Status) -> EntryView {
    let Seed { id, zone, region, .. } = seed.clone();
    let Status { load, settling, .. } = status;
    EntryView { id, zone, region, load, settling }
}

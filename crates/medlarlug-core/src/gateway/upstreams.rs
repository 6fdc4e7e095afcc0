//! Upstreams as they announce themselves, ordered by incarnation and sequence number.
//!
//! An announcement may arrive late, twice, or through several keepers. The pair of birth and
//! sequence number decides: a younger incarnation replaces an older one, and within an incarnation
//! a higher sequence number wins. Leaving is final for an incarnation: an announcement that was
//! sent before it and arrives after it does not bring the upstream back.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    gateway::{software_version::SoftwareVersion, table::ServiceName},
    ids::{UpstreamId, ZoneId},
    time::Time,
};

/// Start of an upstream's incarnation, in Unix milliseconds of its own clock. It is only compared
/// with other births of the same upstream or address.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Birth(pub u64);

/// Whether an upstream accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum UpstreamState {
    /// It accepts requests.
    Ready,
    /// It finishes the requests that it has, and then leaves.
    Draining,
    /// It has left.
    Gone,
}

/// An announcement: what an upstream says about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Id of the upstream; a new incarnation may reuse it.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// The availability zone that it runs in.
    pub zone: ZoneId,
    /// Its incarnation.
    pub birth: Birth,
    /// Number of the announcement within the incarnation.
    pub sequence: u64,
    /// Whether it accepts new requests.
    pub state: UpstreamState,
    /// Requests that it works on concurrently.
    pub slots: u32,
    /// Time from the announcement on for which it stays cold; zero if it is warm.
    pub cold: Duration,
    /// The software that it runs; `None` if it did not say. It is not part of the serialized form,
    /// which earlier builds read as well.
    #[serde(skip)]
    pub software: Option<SoftwareVersion>,
}

impl Upstream {
    /// The announcement as a process has to treat it that reads it up to `age` late: its cold time
    /// ends no earlier than if the announcement were new.
    pub fn extend_cold(self, age: Duration) -> Upstream {
        let cold = match self.cold {
            Duration::ZERO => Duration::ZERO,
            cold => cold + age,
        };
        Upstream { cold, ..self }
    }

    /// Whether this is the newest announcement, `old`, with the software version that a process of an
    /// earlier build has left out.
    fn completes(&self, old: &Upstream) -> bool {
        self.software.is_some()
            && old.software.is_none()
            && *old == Upstream { software: None, cold: old.cold, ..self.clone() }
    }

    /// The announcement with the software version of an earlier one of the same incarnation, if it
    /// holds none itself.
    fn completed_by(self, old: &Upstream) -> Upstream {
        let earlier = old.software.as_ref().filter(|_| old.birth == self.birth);
        Upstream { software: self.software.or_else(|| earlier.cloned()), ..self }
    }
}

/// A known upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownUpstream {
    /// Its newest announcement.
    pub upstream: Upstream,
    /// When that announcement was made, as far as known.
    pub announced_at: Time,
    /// Number of the last change, see [`Upstreams::changed_since`].
    change: u64,
    /// Number of the last renewal, see [`Upstreams::renewed_since`].
    renewal: u64,
    /// Whether the upstream announced itself to this process.
    pub is_local: bool,
    /// Keepers that have sent this incarnation to this process.
    keepers: Vec<SocketAddr>,
}

impl KnownUpstream {
    /// Applies an announcement made at `announced_at` that changes nothing else.
    fn renew(&mut self, announced_at: Time) {
        // The remaining cold time counts from the announcement that contained it. It is not over
        // before an announcement says so, which arrives as a change.
        if !self.upstream.cold.is_zero() {
            let left = self.upstream.cold.saturating_sub(announced_at - self.announced_at);
            self.upstream.cold = left.max(Duration::from_millis(1));
        }
        self.announced_at = self.announced_at.max(announced_at);
    }

    /// Time for which the upstream stays cold from `now` on.
    pub fn cold_remaining(&self, now: Time) -> Duration {
        self.upstream.cold.saturating_sub(now - self.announced_at)
    }

    /// Whether the upstream may still be cold, judging by its announcements. A longer cold time is
    /// forwarded as a change only if it differs by more than the jitter, so the jitter is added.
    pub fn may_be_cold(&self, now: Time) -> bool {
        let cold = self.upstream.cold;
        !cold.is_zero() && now - self.announced_at < cold + COLD_JITTER
    }

    /// Whether an announcement made at `announced_at` says that the upstream stays cold for longer
    /// than the last announcement did.
    fn is_cold_longer(&self, upstream: &Upstream, announced_at: Time) -> bool {
        announced_at + upstream.cold > self.announced_at + self.upstream.cold + COLD_JITTER
    }
}

/// Effect of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// It was out of date.
    Ignored,
    /// The upstream is alive and unchanged.
    Renewed,
    /// The upstream is new or has changed.
    Changed,
}

/// Time without announcements after which an upstream is forgotten: long enough to bridge a
/// partition between upstreams and keepers.
pub const FORGET_AFTER: Duration = Duration::from_secs(40);

/// Time by which the end of a cold time may seem to move from one announcement to the next: the
/// delay of an announcement with a lost packet.
const COLD_JITTER: Duration = Duration::from_millis(300);

/// Highest sequence number with which a new incarnation is accepted if its predecessor left without
/// a known birth.
const MAX_FIRST_SEQUENCE: u64 = 3;

/// The upstreams that a process knows, sorted by id.
#[derive(Debug, Clone, Default)]
pub struct Upstreams {
    known: Vec<KnownUpstream>,
    change: u64,
    renewal: u64,
    /// Software of earlier incarnations of known upstreams, and when it was replaced.
    replaced: Vec<(ServiceName, Option<SoftwareVersion>, Time)>,
}

/// The renewal of a known upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Its incarnation.
    pub birth: Birth,
    /// Number of the announcement within the incarnation.
    pub sequence: u64,
    /// Age of the announcement, in milliseconds.
    pub age_ms: u32,
}

/// Age of an announcement up to which its upstream is not named in a [`Heartbeat`]. Upstreams
/// announce themselves every 1.2 s, and keepers forward that to each other within half a second.
const HEARTBEAT_MAX_AGE: Duration = Duration::from_millis(1_800);
/// Time without an announcement after which a heartbeat does not renew an upstream: the keeper may
/// have forgotten it.
const HEARTBEAT_RENEWAL_LIMIT: Duration = Duration::from_secs(20);

/// What a keeper reports about all upstreams that it has sent on a link: all of them were heard
/// recently, except those that are named. Its size does not grow with the number of upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Maximum age of the announcements of upstreams that are not named, in milliseconds.
    pub age_ms: u32,
    /// Upstreams whose announcements are older.
    pub late: Vec<Renewal>,
}

impl Upstreams {
    /// The heartbeat about all known upstreams.
    pub fn heartbeat(&self, now: Time) -> Heartbeat {
        self.heartbeat_beyond(now, HEARTBEAT_MAX_AGE)
    }

    fn heartbeat_beyond(&self, now: Time, max_age: Duration) -> Heartbeat {
        let late = self.known.iter().filter(|it| now - it.announced_at >= max_age);
        let late = late.filter(|it| it.upstream.state != UpstreamState::Gone);
        let late = late.map(|it| Renewal {
            id: it.upstream.id.clone(),
            birth: it.upstream.birth,
            sequence: it.upstream.sequence,
            age_ms: u32::try_from((now - it.announced_at).as_millis()).unwrap_or(u32::MAX),
        });
        Heartbeat { age_ms: max_age.as_millis() as u32, late: late.collect() }
    }

    /// The heartbeat with the exact age of each announcement, for a process that has just started: it
    /// relies on announcements since its start only.
    pub fn exact_heartbeat(&self, now: Time) -> Heartbeat {
        self.heartbeat_beyond(now, Duration::ZERO)
    }

    /// Records that `keeper` has sent an incarnation of an upstream, new or not.
    pub fn record_keeper(&mut self, keeper: SocketAddr, id: &UpstreamId, birth: Birth) {
        let Ok(at) = self.index_of(id) else { return };
        let known = &mut self.known[at];
        if known.upstream.birth == birth && !known.keepers.contains(&keeper) {
            known.keepers.push(keeper);
        }
    }

    /// Handles a new link to `keeper`: what the keeper sent on an earlier link says nothing about
    /// what it knows now.
    pub fn forget_keeper(&mut self, keeper: SocketAddr) {
        self.known.iter_mut().for_each(|known| known.keepers.retain(|it| *it != keeper));
    }

    /// Applies the heartbeat of `keeper`. It renews only upstreams that this keeper has sent:
    /// another keeper may have heard an upstream that has been unresponsive since, of which this
    /// keeper does not know.
    pub fn apply_heartbeat(&mut self, now: Time, keeper: SocketAddr, heartbeat: &Heartbeat) {
        let announced_at = now.saturating_sub(Duration::from_millis(heartbeat.age_ms.into()));
        let mut late: Vec<&Renewal> = heartbeat.late.iter().collect();
        late.sort_by(|a, b| a.id.cmp(&b.id));
        for known in &mut self.known {
            let is_late = late.binary_search_by(|it| it.id.cmp(&known.upstream.id)).is_ok();
            let is_from_keeper = known.keepers.contains(&keeper);
            let is_present = known.upstream.state != UpstreamState::Gone;
            if is_from_keeper
                && is_present
                && !is_late
                && now - known.announced_at <= HEARTBEAT_RENEWAL_LIMIT
            {
                known.renew(announced_at.max(known.announced_at));
            }
        }
        for renewal in late {
            self.renew(now, renewal);
        }
    }

    /// Applies an announcement that another process received `age` before `now`.
    pub fn announce(&mut self, now: Time, upstream: Upstream, age: Duration) -> Effect {
        self.apply(now, upstream, age, false)
    }

    /// Applies an announcement that an upstream made to this process, which reads it up to `age`
    /// late.
    pub fn announce_local(&mut self, now: Time, upstream: Upstream, age: Duration) -> Effect {
        self.apply(now, upstream.extend_cold(age), age, true)
    }

    fn apply(&mut self, now: Time, upstream: Upstream, age: Duration, is_local: bool) -> Effect {
        let announced_at = now.saturating_sub(age);
        if self.is_superseded(&upstream) {
            return Effect::Ignored;
        }
        let at = match self.index_of(&upstream.id) {
            Ok(at) => at,
            Err(at) => {
                self.change += 1;
                self.renewal += 1;
                let (change, renewal) = (self.change, self.renewal);
                let keepers = Vec::new();
                let known =
                    KnownUpstream { upstream, announced_at, change, renewal, is_local, keepers };
                self.known.insert(at, known);
                return Effect::Changed;
            }
        };
        let known = &mut self.known[at];
        let old = &known.upstream;
        let completes = upstream.completes(old);
        if !is_newer(&upstream, old) && !completes {
            return Effect::Ignored;
        }
        let upstream = upstream.completed_by(old);
        let is_same = old.birth == upstream.birth
            && old.state == upstream.state
            && old.address == upstream.address
            && old.service == upstream.service
            && old.software == upstream.software
            && old.cold.is_zero() == upstream.cold.is_zero()
            && (upstream.cold.is_zero() || !known.is_cold_longer(&upstream, announced_at));
        self.renewal += 1;
        if old.birth != upstream.birth {
            known.keepers.clear();
        }
        let is_completed = old.birth == upstream.birth && old.software.is_none();
        if !is_completed && (old.software != upstream.software || old.service != upstream.service) {
            self.replaced.push((old.service.clone(), old.software.clone(), now));
        }
        known.announced_at = announced_at.max(known.announced_at);
        known.upstream = upstream;
        known.renewal = self.renewal;
        known.is_local = is_local;
        if is_same {
            return Effect::Renewed;
        }
        self.change += 1;
        known.change = self.change;
        Effect::Changed
    }

    /// Applies a renewal. It is ignored for an incarnation that is not known yet: its full
    /// announcement is still to arrive.
    pub fn renew(&mut self, now: Time, renewal: &Renewal) -> Effect {
        let Ok(at) = self.index_of(&renewal.id) else { return Effect::Ignored };
        let known = &mut self.known[at];
        let is_same = known.upstream.birth == renewal.birth;
        if !is_same || renewal.sequence <= known.upstream.sequence {
            return Effect::Ignored;
        }
        let announced_at = now.saturating_sub(Duration::from_millis(renewal.age_ms.into()));
        known.renew(announced_at);
        known.upstream.sequence = renewal.sequence;
        known.is_local = false;
        self.renewal += 1;
        known.renewal = self.renewal;
        Effect::Renewed
    }

    /// Incarnations that crashed according to an announcement: older ones with the same id or
    /// address that accepted requests until then.
    pub fn crashed_predecessors(&self, upstream: &Upstream) -> Vec<(UpstreamId, Birth)> {
        let is_replaced = |known: &&KnownUpstream| {
            let old = &known.upstream;
            (old.id == upstream.id || old.address == upstream.address)
                && old.birth < upstream.birth
                && old.state == UpstreamState::Ready
        };
        let replaced = self.known.iter().filter(is_replaced);
        replaced.map(|it| (it.upstream.id.clone(), it.upstream.birth)).collect()
    }

    /// Records that an incarnation has said in an answer that it is leaving. Later announcements of
    /// the same incarnation do not take it back.
    pub fn mark_draining(&mut self, id: &UpstreamId, birth: Birth) -> Effect {
        let Ok(at) = self.index_of(id) else { return Effect::Ignored };
        let known = &mut self.known[at];
        if known.upstream.birth != birth || known.upstream.state != UpstreamState::Ready {
            return Effect::Ignored;
        }
        known.upstream.state = UpstreamState::Draining;
        known.is_local = true;
        self.change += 1;
        known.change = self.change;
        Effect::Changed
    }

    /// Records that the current incarnation of `id` has left.
    pub fn mark_gone(&mut self, id: &UpstreamId) -> Effect {
        let Ok(at) = self.index_of(id) else { return Effect::Ignored };
        let known = &mut self.known[at];
        if known.upstream.state == UpstreamState::Gone {
            return Effect::Ignored;
        }
        known.upstream.state = UpstreamState::Gone;
        known.is_local = true;
        self.change += 1;
        known.change = self.change;
        Effect::Changed
    }

    /// Records that an upstream has left, whatever its incarnation. An upstream that is not known
    /// yet is added as gone, with an unknown birth.
    pub fn mark_unknown_gone(&mut self, now: Time, upstream: Upstream) -> Effect {
        if self.index_of(&upstream.id).is_ok() {
            return self.mark_gone(&upstream.id);
        }
        let gone = Upstream { state: UpstreamState::Gone, birth: Birth(0), ..upstream };
        self.apply(now, gone, Duration::ZERO, true)
    }

    /// Forgets upstreams without an announcement for [`FORGET_AFTER`], and returns their ids.
    pub fn forget_expired(&mut self, now: Time) -> Vec<UpstreamId> {
        let is_old = |known: &KnownUpstream| now - known.announced_at > FORGET_AFTER;
        let ids = self.known.iter().filter(|it| is_old(it)).map(|it| it.upstream.id.clone());
        let ids = ids.collect();
        self.known.retain(|known| !is_old(known));
        self.replaced.retain(|it| now - it.2 <= FORGET_AFTER);
        ids
    }

    /// The upstream with `id`, in any state.
    pub fn get(&self, id: &UpstreamId) -> Option<&KnownUpstream> {
        self.index_of(id).ok().map(|at| &self.known[at])
    }

    /// All known upstreams, sorted by id.
    pub fn all(&self) -> &[KnownUpstream] {
        &self.known
    }

    /// The upstreams of `service`.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a KnownUpstream> {
        self.known.iter().filter(move |known| known.upstream.service == *service)
    }

    /// The software versions of the upstreams of `service` that announced themselves within
    /// [`FORGET_AFTER`], whatever became of them; sorted, each once. `None` stands for upstreams that
    /// name no version.
    pub fn software_versions<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> Vec<Option<&'a SoftwareVersion>> {
        let known = self.of_service(service).map(|known| known.upstream.software.as_ref());
        let replaced = self.replaced.iter().filter(|it| it.0 == *service);
        let mut versions: Vec<Option<&SoftwareVersion>> =
            known.chain(replaced.map(|it| it.1.as_ref())).collect();
        versions.sort();
        versions.dedup();
        versions
    }

    /// Number of the last change.
    pub fn last_change(&self) -> u64 {
        self.change
    }

    /// The upstreams that changed after the change with number `change`.
    pub fn changed_since(&self, change: u64) -> impl Iterator<Item = &KnownUpstream> {
        self.known.iter().filter(move |known| known.change > change)
    }

    /// Number of the last renewal.
    pub fn last_renewal(&self) -> u64 {
        self.renewal
    }

    /// The upstreams that were renewed after the renewal with number `renewal`.
    pub fn renewed_since(&self, renewal: u64) -> impl Iterator<Item = &KnownUpstream> {
        self.known.iter().filter(move |known| known.renewal > renewal)
    }

    fn index_of(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.known.binary_search_by(|known| known.upstream.id.cmp(id))
    }

    /// Whether a younger upstream has the address of this one.
    fn is_superseded(&self, upstream: &Upstream) -> bool {
        let has_address = |known: &&KnownUpstream| {
            known.upstream.address == upstream.address
                && known.upstream.id != upstream.id
                && known.upstream.state != UpstreamState::Gone
        };
        let is_younger = |known: &KnownUpstream| known.upstream.birth > upstream.birth;
        self.known.iter().filter(has_address).any(is_younger)
    }
}

/// Whether `new` replaces `old`, an announcement of the same upstream.
fn is_newer(new: &Upstream, old: &Upstream) -> bool {
    if new.birth != old.birth {
        let is_unknown = old.birth == Birth(0) && old.state == UpstreamState::Gone;
        return match is_unknown {
            true => new.sequence <= MAX_FIRST_SEQUENCE,
            false => new.birth > old.birth,
        };
    }
    match (old.state, new.state) {
        (UpstreamState::Gone, _) => false,
        (_, UpstreamState::Gone) => true,
        (UpstreamState::Draining, UpstreamState::Ready) => false,
        // An answer may have said so between two announcements.
        (UpstreamState::Ready, UpstreamState::Draining) => true,
        _ => new.sequence > old.sequence,
    }
}

//! Upstreams as they announce themselves, ordered by incarnation and sequence.
//!
//! An announcement may arrive late, twice, or through several keepers. What counts is the pair of
//! birth and sequence: a younger incarnation replaces an older one, and within an incarnation a
//! higher sequence number wins. Leaving is final for an incarnation: an announcement that arrives
//! after it, and was sent before, does not bring the upstream back.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    gateway::table::ServiceName,
    ids::{UpstreamId, ZoneId},
    time::Time,
};

/// Start of an upstream's incarnation, in Unix milliseconds of its own clock. Only compared with
/// other births of the same upstream or address.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Birth(pub u64);

/// Whether an upstream takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum UpstreamState {
    /// Takes requests.
    Ready,
    /// Finishes what it has and leaves.
    Draining,
    /// Has left.
    Gone,
}

/// What an upstream tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its id.
    pub id: UpstreamId,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its incarnation.
    pub birth: Birth,
    /// Counts its announcements.
    pub sequence: u64,
    /// Whether it takes new requests.
    pub state: UpstreamState,
    /// Requests that it works on at once.
    pub slots: u32,
    /// For how long it stays cold from the announcement on.
    pub cold: Duration,
}

impl Upstream {
    /// What it tells, read up to `age` late: its cold time ends no earlier than if it were new.
    pub fn extend_cold(self, age: Duration) -> Upstream {
        let cold = match self.cold {
            Duration::ZERO => Duration::ZERO,
            cold => cold + age,
        };
        Upstream { cold, ..self }
    }
}

/// A known upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownUpstream {
    /// Its newest announcement.
    pub upstream: Upstream,
    /// When that was made, as far as known.
    pub announced_at: Time,
    /// Number of the last change, see [`Upstreams::changed_since`].
    change: u64,
    /// Number of the last renewal, see [`Upstreams::renewed_since`].
    renewal: u64,
    /// Whether the upstream announced itself to this process.
    pub is_local: bool,
    /// Keepers that have told this process of this incarnation.
    tellers: Vec<SocketAddr>,
}

impl KnownUpstream {
    /// It was heard again at `heard`, and has told nothing new.
    fn renew(&mut self, heard: Time) {
        // The time that is left to be cold counts from the announcement that told it.
        // It is not over before an announcement says so, which is told as a change.
        if !self.upstream.cold.is_zero() {
            let left = self.upstream.cold.saturating_sub(heard - self.announced_at);
            self.upstream.cold = left.max(Duration::from_millis(1));
        }
        self.announced_at = self.announced_at.max(heard);
    }

    /// How long the upstream still is cold.
    pub fn cold_left(&self, now: Time) -> Duration {
        self.upstream.cold.saturating_sub(now - self.announced_at)
    }

    /// Whether the upstream may still be cold, by what it has announced: a longer time is passed on
    /// only if it differs by more than the jitter.
    pub fn may_be_cold(&self, now: Time) -> bool {
        let cold = self.upstream.cold;
        !cold.is_zero() && now - self.announced_at < cold + COLD_JITTER
    }

    /// Whether an announcement that was heard at `heard` says that it stays cold for longer than
    /// the last one said.
    fn is_cold_longer(&self, upstream: &Upstream, heard: Time) -> bool {
        heard + upstream.cold > self.announced_at + self.upstream.cold + COLD_JITTER
    }
}

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// It was old news.
    Ignored,
    /// The upstream lives on as it was.
    Renewed,
    /// The upstream is new or has changed.
    Changed,
}

/// Time after which an upstream is forgotten that announces nothing: long enough to bridge a
/// partition between upstreams and keepers.
pub const FORGET_AFTER: Duration = Duration::from_secs(40);

/// Time by which the end of a cold time may seem to move from one announcement to the next: the
/// way of one with a lost packet.
const COLD_JITTER: Duration = Duration::from_millis(300);

/// Sequence numbers with which an incarnation whose predecessor left without a known birth may
/// begin.
const FIRST_SEQUENCES: u64 = 3;

/// The upstreams that a process knows, sorted by id.
#[derive(Debug, Clone, Default)]
pub struct Upstreams {
    known: Vec<KnownUpstream>,
    change: u64,
    renewal: u64,
}

/// The renewal of an upstream that is known already.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The upstream.
    pub id: UpstreamId,
    /// Its incarnation.
    pub birth: Birth,
    /// Counts its announcements.
    pub sequence: u64,
    /// Age of the announcement, in milliseconds.
    pub age_ms: u32,
}

/// Age up to which an upstream is part of a [`Heartbeat`] without being named: it announces itself each
/// 1.2 s, and keepers tell each other within half a second.
const PULSE_AGE: Duration = Duration::from_millis(1_800);
/// Silence after which a pulse does not renew an upstream: the keeper may have forgotten it.
const PULSE_LIMIT: Duration = Duration::from_secs(20);

/// What a keeper tells of all upstreams that it has told of on a link: that each was heard lately, but
/// for some. Its size does not grow with the upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Age of what was heard of those that are not named, at most, in milliseconds.
    pub age_ms: u32,
    /// Those that are silent for longer.
    pub late: Vec<Renewal>,
}

impl Upstreams {
    /// The pulse of all known upstreams.
    pub fn heartbeat(&self, now: Time) -> Heartbeat {
        let late = self.known.iter().filter(|it| now - it.announced_at > PULSE_AGE);
        let late = late.filter(|it| it.upstream.state != UpstreamState::Gone);
        let late = late.map(|it| Renewal {
            id: it.upstream.id.clone(),
            birth: it.upstream.birth,
            sequence: it.upstream.sequence,
            age_ms: u32::try_from((now - it.announced_at).as_millis()).unwrap_or(u32::MAX),
        });
        Heartbeat { age_ms: PULSE_AGE.as_millis() as u32, late: late.collect() }
    }

    /// Takes in that `keeper` has told of an incarnation of an upstream, new or not.
    pub fn record_keeper(&mut self, keeper: SocketAddr, id: &UpstreamId, birth: Birth) {
        let Ok(at) = self.place(id) else { return };
        let known = &mut self.known[at];
        if known.upstream.birth == birth && !known.tellers.contains(&keeper) {
            known.tellers.push(keeper);
        }
    }

    /// The link to `keeper` is a new one: what it told before says nothing of what it knows now.
    pub fn forget_keeper(&mut self, keeper: SocketAddr) {
        self.known.iter_mut().for_each(|it| it.tellers.retain(|teller| *teller != keeper));
    }

    /// Takes in the pulse of `keeper`. It renews what that keeper has told of: another one may have
    /// heard of an upstream that is silent since, which this keeper does not know.
    pub fn apply_heartbeat(&mut self, now: Time, keeper: SocketAddr, pulse: &Heartbeat) {
        let heard = now.saturating_sub(Duration::from_millis(pulse.age_ms.into()));
        let mut late: Vec<&Renewal> = pulse.late.iter().collect();
        late.sort_by(|a, b| a.id.cmp(&b.id));
        for known in &mut self.known {
            let is_late = late.binary_search_by(|it| it.id.cmp(&known.upstream.id)).is_ok();
            let is_told = known.tellers.contains(&keeper);
            let is_here = known.upstream.state != UpstreamState::Gone;
            if is_told && is_here && !is_late && now - known.announced_at <= PULSE_LIMIT {
                known.renew(heard.max(known.announced_at));
            }
        }
        for renewal in late {
            self.renew(now, renewal);
        }
    }

    /// Takes in what another process heard an upstream announce `age` before `now`.
    pub fn announce(&mut self, now: Time, upstream: Upstream, age: Duration) -> Effect {
        self.take(now, upstream, age, false)
    }

    /// Takes in what an upstream announced to this process, which reads it up to `age` late.
    pub fn announce_local(&mut self, now: Time, upstream: Upstream, age: Duration) -> Effect {
        self.take(now, upstream.extend_cold(age), age, true)
    }

    fn take(&mut self, now: Time, upstream: Upstream, age: Duration, is_local: bool) -> Effect {
        let heard = now.saturating_sub(age);
        if self.is_superseded(&upstream) {
            return Effect::Ignored;
        }
        let at = match self.place(&upstream.id) {
            Ok(at) => at,
            Err(at) => {
                self.change += 1;
                self.renewal += 1;
                let (change, renewal) = (self.change, self.renewal);
                let tellers = Vec::new();
                let known = KnownUpstream {
                    upstream,
                    announced_at: heard,
                    change,
                    renewal,
                    is_local,
                    tellers,
                };
                self.known.insert(at, known);
                return Effect::Changed;
            }
        };
        let known = &mut self.known[at];
        let old = &known.upstream;
        if !is_newer(&upstream, old) {
            return Effect::Ignored;
        }
        let is_same = old.birth == upstream.birth
            && old.state == upstream.state
            && old.address == upstream.address
            && old.service == upstream.service
            && old.cold.is_zero() == upstream.cold.is_zero()
            && (upstream.cold.is_zero() || !known.is_cold_longer(&upstream, heard));
        self.renewal += 1;
        if old.birth != upstream.birth {
            known.tellers.clear();
        }
        known.announced_at = heard.max(known.announced_at);
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

    /// Takes in that an upstream has renewed itself. Ignored for an incarnation that is not known
    /// yet: its whole announcement is on its way.
    pub fn renew(&mut self, now: Time, renewal: &Renewal) -> Effect {
        let Ok(at) = self.place(&renewal.id) else { return Effect::Ignored };
        let known = &mut self.known[at];
        let is_same = known.upstream.birth == renewal.birth;
        if !is_same || renewal.sequence <= known.upstream.sequence {
            return Effect::Ignored;
        }
        let heard = now.saturating_sub(Duration::from_millis(renewal.age_ms.into()));
        known.renew(heard);
        known.upstream.sequence = renewal.sequence;
        known.is_local = false;
        self.renewal += 1;
        known.renewal = self.renewal;
        Effect::Renewed
    }

    /// Incarnations that an announcement shows to have crashed: an older one with the same id or
    /// address that took requests until then.
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

    /// Takes in that an incarnation has said in an answer that it is leaving. Later announcements of the
    /// same incarnation do not take it back.
    pub fn mark_draining(&mut self, id: &UpstreamId, birth: Birth) -> Effect {
        let Ok(at) = self.place(id) else { return Effect::Ignored };
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

    /// Takes in that the present incarnation of `id` has left.
    pub fn mark_gone(&mut self, id: &UpstreamId) -> Effect {
        let Ok(at) = self.place(id) else { return Effect::Ignored };
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

    /// Takes in that an upstream has left of which nothing else is known.
    pub fn mark_unknown_gone(&mut self, now: Time, upstream: Upstream) -> Effect {
        if self.place(&upstream.id).is_ok() {
            return self.mark_gone(&upstream.id);
        }
        let gone = Upstream { state: UpstreamState::Gone, birth: Birth(0), ..upstream };
        self.take(now, gone, Duration::ZERO, true)
    }

    /// Forgets upstreams that have announced nothing for [`FORGET_AFTER`], and returns their ids.
    pub fn forget(&mut self, now: Time) -> Vec<UpstreamId> {
        let is_old = |known: &KnownUpstream| now - known.announced_at > FORGET_AFTER;
        let ids = self.known.iter().filter(|it| is_old(it)).map(|it| it.upstream.id.clone());
        let ids = ids.collect();
        self.known.retain(|known| !is_old(known));
        ids
    }

    /// The upstream with `id`.
    pub fn get(&self, id: &UpstreamId) -> Option<&KnownUpstream> {
        self.place(id).ok().map(|at| &self.known[at])
    }

    /// All known upstreams, sorted by id.
    pub fn all(&self) -> &[KnownUpstream] {
        &self.known
    }

    /// The upstreams of `service`.
    pub fn of<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a KnownUpstream> {
        self.known.iter().filter(move |known| known.upstream.service == *service)
    }

    /// Number of the last change.
    pub fn change(&self) -> u64 {
        self.change
    }

    /// The upstreams that changed after the change with number `change`.
    pub fn changed_since(&self, change: u64) -> impl Iterator<Item = &KnownUpstream> {
        self.known.iter().filter(move |known| known.change > change)
    }

    /// Number of the last renewal.
    pub fn renewal(&self) -> u64 {
        self.renewal
    }

    /// The upstreams that renewed themselves after the renewal with number `renewal`.
    pub fn renewed_since(&self, renewal: u64) -> impl Iterator<Item = &KnownUpstream> {
        self.known.iter().filter(move |known| known.renewal > renewal)
    }

    fn place(&self, id: &UpstreamId) -> Result<usize, usize> {
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
            true => new.sequence <= FIRST_SEQUENCES,
            false => new.birth > old.birth,
        };
    }
    match (old.state, new.state) {
        (UpstreamState::Gone, _) => false,
        (_, UpstreamState::Gone) => true,
        (UpstreamState::Draining, UpstreamState::Ready) => false,
        // An answer may have told it between two announcements.
        (UpstreamState::Ready, UpstreamState::Draining) => true,
        _ => new.sequence > old.sequence,
    }
}

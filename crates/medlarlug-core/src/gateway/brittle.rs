//! Brittle upstreams: upstreams that crash when they have to refuse more than a few requests in a
//! second for want of room, and say so in their answers.
//!
//! While a service is brittle, the entry instances of a region together keep no more calls at an
//! upstream than it has slots, so that it has nothing to refuse. Each instance may hold its
//! [`Part`] of the slots, and beyond that takes, one by one, slots that the reported loads show to be
//! free.
//! Other calls wait in the [`SlotQueue`] of their instance, or are refused at once.
//!
//! A service is brittle from the first answer that says so, whichever upstream sent it. An upstream
//! is exempt once it has answered a later request without saying so. What is known belongs to an
//! incarnation, so an upstream that crashed and returned is brittle until it answers.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    gateway::{pace::Part, table::ServiceName, upstreams::Birth},
    ids::UpstreamId,
    time::Time,
};

/// Time after the last answer that said so after which a service no longer counts as brittle.
const BRITTLE_LIFETIME: Duration = Duration::from_secs(60);
/// Time after which other instances are notified again: an instance that has just started learns of
/// it within this time.
const REPUBLISH_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the calls held at a refusal that the upstream is then taken to have room for.
const ROOM_AFTER_REFUSAL: f64 = 0.75;
/// Time in which further refusals belong to the same excess.
const REFUSAL_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which the room of an upstream grows by one call again.
const ROOM_RECOVERY_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the room that is left to calls which other instances have sent since their last report.
const RESERVED_SHARE: f64 = 0.25;
/// Time between two tries of an instance to take such a slot: in this time the others have been told
/// of the calls that were sent.
const TRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a call whose caller has left counts as held: not every upstream stops at once.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Number of requests that an upstream can refuse within a second without crashing.
///
/// ```
/// use medlarlug_core::gateway::brittle::RefusalTolerance;
///
/// assert_eq!("5".parse::<RefusalTolerance>().unwrap().to_string(), "5");
/// assert!("-1".parse::<RefusalTolerance>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RefusalTolerance(u32);

/// Returned for a text that is not a whole number of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected a whole number of requests")]
pub struct ToleranceError;

impl RefusalTolerance {
    /// The upstream can refuse no request at all.
    pub const NONE: RefusalTolerance = RefusalTolerance(0);
}

impl FromStr for RefusalTolerance {
    type Err = ToleranceError;

    fn from_str(text: &str) -> Result<RefusalTolerance, ToleranceError> {
        text.trim().parse().map(RefusalTolerance).map_err(|_| ToleranceError)
    }
}

impl fmt::Display for RefusalTolerance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What an answer says about its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrittleHeader {
    /// The upstream is brittle.
    Brittle(RefusalTolerance),
    /// The upstream is brittle, and its tolerance can't be parsed.
    Invalid,
    /// The upstream does not say that it is brittle.
    Absent,
}

/// The upstream that an answer comes from, and when its request was sent.
#[derive(Debug, Clone, Copy)]
pub struct Answered<'a> {
    /// Service of the upstream.
    pub service: &'a ServiceName,
    /// Id of the upstream.
    pub id: &'a UpstreamId,
    /// Incarnation of the upstream.
    pub birth: Birth,
    /// When the request was sent.
    pub sent: Time,
}

/// Notifies other instances of what an upstream has answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleNotice {
    /// Service of the upstream.
    pub service: ServiceName,
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream.
    pub birth: Birth,
    /// Its tolerance; `None` if it is no longer brittle.
    pub tolerance: Option<RefusalTolerance>,
    /// Calls that it is taken to have room for after a refusal.
    pub room: Option<u32>,
}

#[derive(Debug, Clone)]
struct UpstreamRecord {
    id: UpstreamId,
    birth: Birth,
    /// When an answer last said that the upstream is brittle.
    named_at: Option<Time>,
    /// Whether a later answer did not say so.
    is_exempt: bool,
    /// Calls that it has room for, as of a refusal.
    room: Option<(u32, Time)>,
}

#[derive(Debug, Clone)]
struct BrittleService {
    service: ServiceName,
    tolerance: RefusalTolerance,
    began: Time,
    named_at: Time,
    published_at: Time,
    upstreams: Vec<UpstreamRecord>,
}

impl BrittleService {
    /// The record of an incarnation; `None` if a newer one is known.
    fn record_mut(&mut self, id: &UpstreamId, birth: Birth) -> Option<&mut UpstreamRecord> {
        let empty =
            UpstreamRecord { id: id.clone(), birth, named_at: None, is_exempt: false, room: None };
        let at = match self.upstreams.binary_search_by(|it| it.id.cmp(id)) {
            Ok(at) => at,
            Err(at) => {
                self.upstreams.insert(at, empty.clone());
                at
            }
        };
        let record = &mut self.upstreams[at];
        if record.birth > birth {
            return None;
        }
        if record.birth < birth {
            *record = empty;
        }
        Some(record)
    }

    fn record(&self, id: &UpstreamId, birth: Birth) -> Option<&UpstreamRecord> {
        let at = self.upstreams.binary_search_by(|it| it.id.cmp(id)).ok()?;
        Some(&self.upstreams[at]).filter(|it| it.birth == birth)
    }
}

/// The services that are brittle, as far as this instance knows.
///
/// ```
/// use medlarlug_core::{
///     gateway::{
///         brittle::{Answered, BrittleHeader, BrittleServices},
///         table::ServiceName,
///         upstreams::Birth,
///     },
///     time::Time,
/// };
///
/// let (mut services, service) = (BrittleServices::default(), ServiceName("medlar".into()));
/// let id = "engine-1".parse().unwrap();
/// let answered = Answered { service: &service, id: &id, birth: Birth(1), sent: Time::ZERO };
/// let header = BrittleHeader::Brittle("5".parse().unwrap());
/// services.record_answer(Time::from_millis(10), answered, header);
/// assert_eq!(services.room(Time::from_millis(20), &service, &id, Birth(1), 16), Some(16));
/// ```
#[derive(Debug, Clone, Default)]
pub struct BrittleServices {
    services: Vec<BrittleService>,
    /// Calls whose callers have left, and until when they count as held.
    lingering: Vec<(UpstreamId, Time)>,
    tries: Vec<SlotTry>,
}

/// The newest try of this instance to take a slot that other instances leave free.
#[derive(Debug, Clone)]
struct SlotTry {
    id: UpstreamId,
    at: Time,
    /// Whether it succeeded, and no call has used the slot.
    has_slot: bool,
}

impl BrittleServices {
    /// Whether no service is brittle.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Applies the head of an answer. Returns what other instances have to be notified of.
    pub fn record_answer(
        &mut self,
        now: Time,
        answered: Answered,
        header: BrittleHeader,
    ) -> Option<BrittleNotice> {
        let Answered { service, id, birth, sent } = answered;
        let known = self.services.iter().position(|it| it.service == *service);
        let tolerance = match (header, known) {
            (BrittleHeader::Absent, None) => return None,
            (BrittleHeader::Absent, Some(at)) => {
                let known = &mut self.services[at];
                let began = known.began;
                let record = known.record_mut(id, birth)?;
                if record.is_exempt || sent <= record.named_at.unwrap_or(began) {
                    return None;
                }
                (record.is_exempt, record.named_at) = (true, None);
                return Some(self.notice(service, id, birth, None, None));
            }
            (BrittleHeader::Brittle(tolerance), _) => tolerance,
            (BrittleHeader::Invalid, known) => {
                known.map_or(RefusalTolerance::NONE, |at| self.services[at].tolerance)
            }
        };
        let is_news = self.set_brittle(now, service, id, birth, tolerance)?;
        let known = self.service_mut(service)?;
        if !is_news && now - known.published_at < REPUBLISH_INTERVAL {
            return None;
        }
        known.published_at = now;
        Some(self.notice(service, id, birth, Some(tolerance), None))
    }

    /// Records that an upstream refused a request while the region held `held` calls there. Returns
    /// what other instances have to be notified of.
    pub fn record_refusal(
        &mut self,
        now: Time,
        answered: Answered,
        held: u32,
    ) -> Option<BrittleNotice> {
        let Answered { service, id, birth, .. } = answered;
        let known = self.service_mut(service)?;
        let tolerance = known.tolerance;
        let record = known.record_mut(id, birth)?;
        let is_same = record.room.is_some_and(|(_, at)| now - at < REFUSAL_INTERVAL);
        if record.is_exempt || is_same {
            return None;
        }
        let room = ((f64::from(held) * ROOM_AFTER_REFUSAL) as u32).max(1);
        record.room = Some((room, now));
        Some(self.notice(service, id, birth, Some(tolerance), Some(room)))
    }

    /// Applies what another instance was answered.
    pub fn apply(&mut self, now: Time, notice: &BrittleNotice) {
        let BrittleNotice { service, upstream, birth, tolerance, room } = notice;
        if let Some(tolerance) = tolerance {
            self.set_brittle(now, service, upstream, *birth, *tolerance);
        }
        let Some(known) = self.service_mut(service) else { return };
        if tolerance.is_some() {
            known.published_at = now;
        }
        let Some(record) = known.record_mut(upstream, *birth) else { return };
        match tolerance {
            None => (record.is_exempt, record.named_at) = (true, None),
            Some(_) => record.room = room.map(|room| (room, now)).or(record.room),
        }
    }

    /// Calls that all instances of the region may hold at an upstream with this number of slots;
    /// `None` if it is not brittle.
    pub fn room(
        &self,
        now: Time,
        service: &ServiceName,
        id: &UpstreamId,
        birth: Birth,
        slots: u32,
    ) -> Option<u32> {
        let known = self.services.iter().find(|it| it.service == *service)?;
        let Some(record) = known.record(id, birth) else { return Some(slots) };
        if record.is_exempt {
            return None;
        }
        let Some((room, at)) = record.room else { return Some(slots) };
        let recovered = (now - at).as_secs_f64() / ROOM_RECOVERY_INTERVAL.as_secs_f64();
        Some(room.saturating_add(recovered as u32).min(slots))
    }

    /// Whether this instance may send another call to an upstream; `draw` is a random number below
    /// one.
    ///
    /// All instances see the same free slots, and reports are some time old. So each tries to take
    /// one only at intervals, and succeeds with its share of the probability.
    pub fn may_send(&mut self, now: Time, id: &UpstreamId, slots: SlotUse, draw: f64) -> bool {
        if slots.has_part() {
            return true;
        }
        let free = slots.free();
        if !slots.is_settled || free < 1.0 {
            return false;
        }
        let at = match self.tries.iter().position(|it| it.id == *id) {
            Some(at) => at,
            None => {
                self.tries.push(SlotTry { id: id.clone(), at: Time::ZERO, has_slot: false });
                self.tries.len() - 1
            }
        };
        let newest = &mut self.tries[at];
        if now - newest.at >= TRY_INTERVAL {
            newest.at = now;
            newest.has_slot = draw * (slots.part.instances as f64) < free;
        }
        newest.has_slot
    }

    /// Records that a call was sent to an upstream.
    pub fn record_sent(&mut self, id: &UpstreamId) {
        if let Some(newest) = self.tries.iter_mut().find(|it| it.id == *id) {
            newest.has_slot = false;
        }
    }

    /// Records that a call ended whose upstream may go on with it.
    pub fn record_abandoned(&mut self, now: Time, id: &UpstreamId) {
        self.lingering.retain(|it| it.1 > now);
        self.lingering.push((id.clone(), now + LINGER_TIME));
    }

    /// Calls at an upstream that have ended here and that it may still be working on.
    pub fn lingering(&self, now: Time, id: &UpstreamId) -> u32 {
        let count = self.lingering.iter().filter(|it| it.0 == *id && it.1 > now).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Forgets services of which no answer has said for a while that they are brittle, and returns
    /// them.
    pub fn expire(&mut self, now: Time) -> Vec<ServiceName> {
        self.lingering.retain(|it| it.1 > now);
        self.tries.retain(|it| now - it.at < BRITTLE_LIFETIME);
        let expired =
            self.services.extract_if(.., |known| now - known.named_at >= BRITTLE_LIFETIME);
        expired.map(|it| it.service).collect()
    }

    fn service_mut(&mut self, service: &ServiceName) -> Option<&mut BrittleService> {
        self.services.iter_mut().find(|it| it.service == *service)
    }

    /// Returns whether this is new; `None` if a newer incarnation is known.
    fn set_brittle(
        &mut self,
        now: Time,
        service: &ServiceName,
        id: &UpstreamId,
        birth: Birth,
        tolerance: RefusalTolerance,
    ) -> Option<bool> {
        let is_first = self.service_mut(service).is_none();
        if is_first {
            self.services.push(BrittleService {
                service: service.clone(),
                tolerance,
                began: now,
                named_at: now,
                published_at: now,
                upstreams: Vec::new(),
            });
        }
        let known = self.service_mut(service)?;
        let record = known.record_mut(id, birth)?;
        let was_exempt = std::mem::take(&mut record.is_exempt);
        record.named_at = Some(now);
        let has_changed = known.tolerance != tolerance;
        (known.tolerance, known.named_at) = (tolerance, now);
        Some(is_first || was_exempt || has_changed)
    }

    fn notice(
        &self,
        service: &ServiceName,
        upstream: &UpstreamId,
        birth: Birth,
        tolerance: Option<RefusalTolerance>,
        room: Option<u32>,
    ) -> BrittleNotice {
        let (service, upstream) = (service.clone(), upstream.clone());
        BrittleNotice { service, upstream, birth, tolerance, room }
    }
}

/// What an instance knows about the calls at a brittle upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotUse {
    /// Calls that the region may hold there.
    pub room: u32,
    /// The instance among those of the region.
    pub part: Part,
    /// Calls that the instance holds there.
    pub own: u32,
    /// Calls that the region holds there, as reported.
    pub region: f64,
    /// Whether the instance sees the other instances of the region.
    pub is_settled: bool,
}

impl SlotUse {
    /// Whether the instance may send another call there as one of its part.
    ///
    /// The parts of all instances add up to the room. An instance that doesn't see the others takes
    /// one slot, if it has a part.
    ///
    /// ```
    /// use medlarlug_core::gateway::{brittle::SlotUse, pace::Part};
    ///
    /// let part = Part { rank: 0, instances: 3 };
    /// let held = SlotUse { room: 16, part, own: 5, region: 5.0, is_settled: true };
    /// assert!(held.has_part());
    /// assert!(!SlotUse { own: 6, ..held }.has_part());
    /// assert!(!SlotUse { is_settled: false, ..held }.has_part());
    /// ```
    pub fn has_part(self) -> bool {
        let share = self.part.share(self.room);
        match self.is_settled {
            true => self.own < share && self.region < f64::from(self.room),
            false => self.own < share.min(1),
        }
    }

    /// Slots that other instances leave free, beyond a reserve.
    fn free(self) -> f64 {
        let reserve = f64::from(self.room) * RESERVED_SHARE;
        (f64::from(self.room) - self.region - reserve).floor().max(0.0)
    }
}

/// Identifies a call in a [`SlotQueue`]; calls of more urgent routes come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    priority: u8,
    number: u64,
}

/// The calls of one instance that wait for slots of the upstreams of a service, in order.
#[derive(Debug, Clone)]
pub struct SlotQueue {
    waiting: Vec<Ticket>,
    next: u64,
    /// Mean time for which a call holds a slot.
    hold: Duration,
}

/// Time for which a call is taken to hold a slot until some have ended.
const INITIAL_HOLD: Duration = Duration::from_secs(1);
/// Weight of the newest call in the mean time for which a slot is held.
const HOLD_WEIGHT: f64 = 0.05;
/// Calls at the front of the queue that may take a slot: several may become free at once.
const FRONT: usize = 4;

impl Default for SlotQueue {
    fn default() -> SlotQueue {
        SlotQueue { waiting: Vec::new(), next: 0, hold: INITIAL_HOLD }
    }
}

impl SlotQueue {
    /// Adds a call with a route of this priority, where 0 is the most urgent.
    pub fn enqueue(&mut self, priority: u8) -> Ticket {
        self.next += 1;
        let ticket = Ticket { priority, number: self.next };
        let at = self.waiting.partition_point(|it| *it < ticket);
        self.waiting.insert(at, ticket);
        ticket
    }

    /// Removes a call.
    pub fn remove(&mut self, ticket: Ticket) {
        self.waiting.retain(|it| *it != ticket);
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether a waiting call may take a slot that is free now.
    pub fn is_next(&self, ticket: Ticket) -> bool {
        self.waiting.iter().take(FRONT).any(|it| *it == ticket)
    }

    /// Records how long a call held a slot.
    pub fn record_hold(&mut self, held: Duration) {
        self.hold = self.hold.mul_f64(1.0 - HOLD_WEIGHT) + held.mul_f64(HOLD_WEIGHT);
    }

    /// Expected time until a new call with this priority gets one of the `slots` that the instance
    /// may use.
    ///
    /// ```
    /// use std::time::Duration;
    /// use medlarlug_core::gateway::brittle::SlotQueue;
    ///
    /// assert_eq!(SlotQueue::default().expected_wait(0, 4.0), Duration::from_millis(250));
    /// ```
    pub fn expected_wait(&self, priority: u8, slots: f64) -> Duration {
        let ahead = self.waiting.iter().filter(|it| it.priority <= priority).count();
        self.hold.mul_f64((ahead + 1) as f64 / slots.max(1.0))
    }
}

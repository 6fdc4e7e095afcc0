//! Ramp-up of upstreams that started or recovered.
//!
//! After its cold time, an evacuation, a backoff or a restart, an upstream is in its ramp: all entry
//! instances of its region together may hold a window of calls there. The window begins with one
//! call and grows with each first token that comes within the predicted time, so that the calls
//! without a first token double with each round trip. The first sign of strain halves it; from then
//! on it grows by one a window. An upstream that crashed in its ramp doubles in the next one only up
//! to half of the window at which it crashed.
//!
//! The window belongs to the owner, the upstream's
//! [designated sender](super::cold::designated_sender). The owner sends it to the other instances of
//! the region, and they report to the owner what they observe ([`RampNotice`]). Each instance holds
//! its part of the window by its rank, so that the parts of instances with the same view add up to
//! the window. While no owner is heard, an instance keeps its part for [`OWNER_SILENCE`] and then
//! ramps up alone, beginning with one call of its own.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    gateway::{placement::rendezvous_rank, upstreams::Birth},
    ids::{InstanceId, UpstreamId},
    time::Time,
};

/// Calls that all instances together may hold at the beginning of a ramp.
const FIRST_WINDOW: f64 = 1.0;
/// Smallest window at which a ramp ends. Warm upstreams may be idle at that moment, and a window of
/// one call shows nothing about the next minute.
const MIN_TARGET: f64 = 4.0;
/// A first token that takes longer than this multiple of the predicted time is a sign of strain.
const LATE_RATIO: u32 = 2;
/// Predicted time below which a first token is not late: one long step of an engine delays it by
/// 54 to 132 ms, at any load.
const MIN_LATE_TIME: Duration = Duration::from_millis(200);
/// Longest ramp. After it the upstream gets its share, and placement and backoff bound its load:
/// predictions that are wrong for good must not leave it idle.
pub const MAX_RAMP: Duration = Duration::from_secs(30);
/// Time without a message of the owner after which an instance ramps up alone: the next instance in
/// rank becomes the owner after 2.5 s, see
/// [`LIVENESS_TIMEOUT`](super::contacts::LIVENESS_TIMEOUT), and needs a message to be heard.
pub const OWNER_SILENCE: Duration = Duration::from_secs(4);
/// Time for which an instance that sees an upstream for the first time assumes a ramp that it has
/// not heard of: two repetitions of the owner's message.
const FIRST_LOOK: Duration = Duration::from_secs(1);
/// Steps that one message may add to a window: more calls than an upstream holds.
const MAX_STEPS: u32 = 1_000;
/// Time between two messages about a ramp if nothing has changed.
const NOTICE_INTERVAL: Duration = Duration::from_millis(400);

/// Why an upstream is in its ramp.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RampCause {
    /// It was cold.
    Cold,
    /// Its zone was evacuated.
    Evacuated,
    /// It wanted no requests for some time.
    Backoff,
    /// A new incarnation announced itself.
    Restarted,
    /// Another instance has reported it.
    Reported,
}

impl fmt::Display for RampCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RampCause::Cold => "cold",
            RampCause::Evacuated => "evacuated",
            RampCause::Backoff => "backoff",
            RampCause::Restarted => "restarted",
            RampCause::Reported => "reported",
        })
    }
}

/// A change of a ramp, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RampChange {
    /// The upstream may get calls again, within a window.
    Began {
        /// Why it has a ramp.
        cause: RampCause,
    },
    /// The upstream gets its full share.
    Ended {
        /// The last window.
        window: u32,
        /// Duration of the ramp.
        took: Duration,
        /// Whether it ended because it took [`MAX_RAMP`].
        is_late: bool,
    },
}

/// What an instance sees of an upstream of its region.
#[derive(Debug, Clone, Copy)]
pub struct Sight<'a> {
    /// Id of the upstream.
    pub id: &'a UpstreamId,
    /// Its incarnation.
    pub birth: Birth,
    /// Why it can't get its share now; `None` if it can.
    pub hold: Option<RampCause>,
    /// What this instance holds of a window.
    pub part: Part,
    /// Whether this instance owns the window: it has rank 0 and a settled view.
    pub is_owner: bool,
    /// Window at which the ramp ends: the mean number of calls that warm upstreams hold.
    pub target: f64,
}

/// Position of an instance among those that share a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Number of instances that rank higher for the upstream.
    pub rank: usize,
    /// Number of instances.
    pub instances: usize,
}

impl Part {
    /// The position of `own` among `instances`, which include it. Rank 0 is the designated sender.
    ///
    /// ```
    /// use medlarlug_core::gateway::{cold::designated_sender, pace::Part};
    ///
    /// let instances = ["entry-1".parse().unwrap(), "entry-2".parse().unwrap()];
    /// let engine = "engine-1".parse().unwrap();
    /// let first = designated_sender(&engine, &instances).unwrap();
    /// assert_eq!(Part::of(first, &engine, &instances).rank, 0);
    /// ```
    pub fn of(own: &InstanceId, upstream: &UpstreamId, instances: &[InstanceId]) -> Part {
        let rank_of = |it: &InstanceId| rendezvous_rank(it.as_str(), upstream.as_str());
        let own_rank = rank_of(own);
        let higher = instances.iter().filter(|it| rank_of(it) > own_rank);
        Part { rank: higher.count(), instances: instances.len().max(1) }
    }

    /// The calls of a window that the instance may hold. Over all ranks they add up to the window.
    ///
    /// ```
    /// use medlarlug_core::gateway::pace::Part;
    ///
    /// let parts = (0..3).map(|rank| Part { rank, instances: 3 }.share(7));
    /// assert_eq!(parts.collect::<Vec<_>>(), [3, 2, 2]);
    /// ```
    pub fn share(self, window: u32) -> u32 {
        let instances = u32::try_from(self.instances.max(1)).unwrap_or(u32::MAX);
        let has_rest = self.rank < (window % instances) as usize;
        window / instances + u32::from(has_rest)
    }
}

/// A message about a ramp: from its owner the window, from another instance what it has observed
/// since its last message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RampNotice {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Its incarnation.
    pub birth: Birth,
    /// Number of the ramp within the incarnation.
    pub round: u32,
    /// The window that the sender knows.
    pub window: u32,
    /// Whether the sender owns the window.
    pub is_owner: bool,
    /// Whether the ramp is over.
    pub is_over: bool,
    /// Steps by which the window has to grow, for first tokens in time.
    pub steps: u32,
    /// Whether there was a sign of strain.
    pub is_strained: bool,
}

/// A first token that has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstToken {
    /// When the call was sent.
    pub sent: Time,
    /// Time that was predicted for the token.
    pub predicted: Duration,
    /// Calls that this instance holds at the upstream, this one included.
    pub held: u64,
    /// Whether the call goes on after the token.
    pub is_stream: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Ramp {
    began: Time,
    /// Calls that all instances together may hold.
    window: f64,
    /// Calls that this instance may hold while no owner is heard.
    alone: f64,
    /// Whether there was a sign of strain, after which an instance that is alone grows slowly.
    has_strained: bool,
    /// When the window last became smaller.
    reduced_at: Option<Time>,
    /// When an owner was last heard, this instance included.
    heard_at: Time,
    /// Steps of growth that were not reported yet.
    steps: u32,
    /// The window in which an unreported sign of strain was observed.
    strained_at: Option<u32>,
    /// The window that was last sent, and when.
    sent: Option<(u32, Time)>,
}

impl Ramp {
    fn new(now: Time, window: f64) -> Ramp {
        Ramp {
            began: now,
            window,
            alone: FIRST_WINDOW,
            has_strained: false,
            reduced_at: None,
            heard_at: now,
            steps: 0,
            strained_at: None,
            sent: None,
        }
    }

    fn grow(&mut self, steps: u32, ceiling: f64) {
        for _ in 0..steps {
            self.window += if self.window >= ceiling { 1.0 / self.window } else { 1.0 };
        }
    }

    fn grow_alone(&mut self, steps: u32) {
        for _ in 0..steps {
            self.alone += if self.has_strained { 1.0 / self.alone } else { 1.0 };
        }
    }

    /// Halves the window, which is the new ceiling.
    fn reduce(&mut self, now: Time, ceiling: &mut f64) {
        self.has_strained = true;
        self.reduced_at = Some(now);
        self.window = (self.window / 2.0).max(FIRST_WINDOW);
        *ceiling = self.window;
        self.alone = (self.alone / 2.0).max(FIRST_WINDOW);
    }

    fn is_alone(&self, now: Time, round: u32) -> bool {
        round == 0 || now - self.heard_at > OWNER_SILENCE
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    /// It gets no calls, or those that a cold upstream tolerates.
    Held(RampCause),
    Ramp(Ramp),
    /// It gets its full share. `is_asked` if another instance does not know that yet.
    Warm {
        is_asked: bool,
    },
}

#[derive(Debug, Clone)]
struct Record {
    id: UpstreamId,
    birth: Birth,
    /// Number of the newest ramp of the incarnation; 0 before one is known.
    round: u32,
    phase: Phase,
    part: Part,
    is_owner: bool,
    /// Window from which on it grows slowly. It outlasts an incarnation, until a ramp ends.
    ceiling: f64,
}

impl Record {
    /// Calls that this instance may hold; `None` for no limit.
    fn allowed(&self, now: Time) -> Option<u32> {
        match &self.phase {
            Phase::Warm { .. } => None,
            Phase::Held(_) => Some(self.part.share(FIRST_WINDOW as u32)),
            Phase::Ramp(ramp) if ramp.is_alone(now, self.round) => Some(ramp.alone as u32),
            Phase::Ramp(ramp) => Some(self.part.share(ramp.window as u32)),
        }
    }

    fn end(&mut self, now: Time) -> Option<RampChange> {
        let Phase::Ramp(ramp) = self.phase else { return None };
        self.phase = Phase::Warm { is_asked: self.is_owner };
        self.ceiling = f64::INFINITY;
        let took = now - ramp.began;
        let window = ramp.window as u32;
        let ended = RampChange::Ended { window, took, is_late: took >= MAX_RAMP };
        // Round 0 is no ramp that anyone has seen.
        (self.round > 0).then_some(ended)
    }
}

/// The ramps of the upstreams of a region, as one instance knows them; sorted by upstream.
///
/// ```
/// use medlarlug_core::{
///     gateway::{pace::{Part, RampCause, Ramps, Sight}, upstreams::Birth},
///     time::Time,
/// };
///
/// let (mut ramps, id) = (Ramps::default(), "engine-1".parse().unwrap());
/// let part = Part { rank: 0, instances: 3 };
/// let cold = Some(RampCause::Cold);
/// let sight =
///     Sight { id: &id, birth: Birth(1), hold: cold, part, is_owner: true, target: 30.0 };
/// ramps.observe(Time::ZERO, sight);
/// ramps.observe(Time::from_millis(100), Sight { hold: None, ..sight });
/// assert_eq!(ramps.allowed(Time::from_millis(100), &id, Birth(1)), Some(1));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Ramps {
    known: Vec<Record>,
}

impl Ramps {
    /// Updates the ramp of an upstream with what this instance sees of it now. Has to be called for
    /// each upstream of the region a few times a second.
    pub fn observe(&mut self, now: Time, sight: Sight) -> Option<RampChange> {
        let Sight { id, birth, hold, part, is_owner, target } = sight;
        let at = match self.index_of(id) {
            Ok(at) => at,
            Err(at) => {
                let phase = Phase::Ramp(Ramp::new(now, FIRST_WINDOW));
                let ceiling = f64::INFINITY;
                let id = id.clone();
                let record = Record { id, birth, round: 0, phase, part, is_owner, ceiling };
                self.known.insert(at, record);
                at
            }
        };
        let record = &mut self.known[at];
        (record.part, record.is_owner) = (part, is_owner);
        if record.birth < birth {
            if let Phase::Ramp(ramp) = &mut record.phase
                && record.round > 0
            {
                ramp.reduce(now, &mut record.ceiling);
            }
            record.birth = birth;
            record.round = 1;
            record.phase = Phase::Held(hold.unwrap_or(RampCause::Restarted));
        }
        match (&mut record.phase, hold) {
            (Phase::Held(cause), Some(hold)) => *cause = hold,
            (Phase::Ramp(_) | Phase::Warm { .. }, Some(hold)) => {
                record.round += 1;
                record.phase = Phase::Held(hold);
            }
            (Phase::Held(cause), None) => {
                let cause = *cause;
                record.phase = Phase::Ramp(Ramp::new(now, FIRST_WINDOW));
                return Some(RampChange::Began { cause });
            }
            (Phase::Ramp(ramp), None) => {
                if is_owner {
                    ramp.heard_at = now;
                }
                let is_alone = ramp.is_alone(now, record.round);
                let window = match is_alone {
                    true => ramp.alone * part.instances as f64,
                    false => ramp.window,
                };
                let decides = is_owner || is_alone;
                let age = now - ramp.began;
                let is_unknown = record.round == 0 && age >= FIRST_LOOK;
                let has_share = decides && record.round > 0 && window >= target.max(MIN_TARGET);
                if is_unknown || has_share || age >= MAX_RAMP {
                    return record.end(now);
                }
            }
            (Phase::Warm { .. }, None) => {}
        }
        None
    }

    /// Whether an incarnation gets its full share and no instance has to be told so.
    pub fn is_warm(&self, id: &UpstreamId, birth: Birth) -> bool {
        let record = self.index_of(id).ok().map(|at| &self.known[at]);
        record.is_some_and(|it| it.birth == birth && it.phase == Phase::Warm { is_asked: false })
    }

    /// Whether the ramp of an upstream is open.
    pub fn is_ramping(&self, id: &UpstreamId) -> bool {
        self.index_of(id).is_ok_and(|at| matches!(self.known[at].phase, Phase::Ramp(_)))
    }

    /// Drops the upstreams that `is_known` does not name.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.known.retain(|it| is_known(&it.id));
    }

    /// Calls that this instance may hold at an incarnation; `None` for no limit. An incarnation that
    /// [`Ramps::observe`] has not seen yet gets none if an older one is known.
    pub fn allowed(&self, now: Time, id: &UpstreamId, birth: Birth) -> Option<u32> {
        let record = &self.known[self.index_of(id).ok()?];
        match record.birth < birth {
            true => Some(0),
            false => record.allowed(now),
        }
    }

    /// Number of upstreams in their ramp, and the sum of their windows.
    pub fn open(&self) -> (usize, u32) {
        let ramps = self.known.iter().filter_map(|record| match &record.phase {
            Phase::Ramp(ramp) if record.round > 0 => Some(ramp.window as u32),
            _ => None,
        });
        ramps.fold((0, 0), |(count, sum), window| (count + 1, sum + window))
    }

    /// Records the first token of a call. Returns whether it was so late that the window was
    /// reduced.
    pub fn record_first_token(&mut self, now: Time, id: &UpstreamId, token: FirstToken) -> bool {
        let FirstToken { sent, predicted, held, is_stream } = token;
        let took = now - sent;
        if is_late(took, predicted) {
            return self.record_strain(now, id, sent);
        }
        let Ok(at) = self.index_of(id) else { return false };
        let record = &mut self.known[at];
        let allowed = record.allowed(now);
        let (is_owner, round) = (record.is_owner, record.round);
        let Phase::Ramp(ramp) = &mut record.phase else { return false };
        // A window that is not used shows nothing about a larger one.
        let is_used = allowed.is_some_and(|allowed| held * 2 >= u64::from(allowed));
        if took > predicted.max(MIN_LATE_TIME / LATE_RATIO) || sent < ramp.began || !is_used {
            return false;
        }
        // A stream keeps its place in the window, so it has to make room for two calls if those
        // without a first token are to double.
        let steps = if is_stream { 2 } else { 1 };
        if ramp.is_alone(now, round) {
            ramp.grow_alone(steps);
        }
        match is_owner {
            true => ramp.grow(steps, record.ceiling),
            false => ramp.steps += steps,
        }
        false
    }

    /// Records a refusal, a late first token or a broken connection of a call that was sent at
    /// `sent`. Returns whether the window was reduced: once for all calls that were sent before.
    pub fn record_strain(&mut self, now: Time, id: &UpstreamId, sent: Time) -> bool {
        let Ok(at) = self.index_of(id) else { return false };
        let record = &mut self.known[at];
        let Phase::Ramp(ramp) = &mut record.phase else { return false };
        if sent < ramp.began || ramp.reduced_at.is_some_and(|reduced_at| sent < reduced_at) {
            return false;
        }
        if !record.is_owner {
            ramp.strained_at = Some(ramp.window as u32);
        }
        ramp.reduce(now, &mut record.ceiling);
        true
    }

    /// The messages to send now: those of an owner go to all other instances of the region, the others
    /// to the owner.
    pub fn due_notices(&mut self, now: Time) -> Vec<RampNotice> {
        let due = self.known.iter_mut().filter_map(|record| {
            let notice = RampNotice {
                upstream: record.id.clone(),
                birth: record.birth,
                round: record.round,
                window: 0,
                is_owner: record.is_owner,
                is_over: false,
                steps: 0,
                is_strained: false,
            };
            match &mut record.phase {
                Phase::Warm { is_asked } => {
                    let is_due = std::mem::take(is_asked) && record.is_owner;
                    is_due.then_some(RampNotice { is_over: true, ..notice })
                }
                Phase::Ramp(ramp) if record.round > 0 => {
                    let window = ramp.strained_at.unwrap_or(ramp.window as u32);
                    let is_due = ramp.sent.is_none_or(|(_, when)| now - when >= NOTICE_INTERVAL);
                    let has_changed = match record.is_owner {
                        true => ramp.sent.is_none_or(|(sent, _)| sent != window),
                        false => ramp.steps > 0 || ramp.strained_at.is_some(),
                    };
                    if !is_due && !has_changed {
                        return None;
                    }
                    ramp.sent = Some((window, now));
                    let is_strained = ramp.strained_at.take().is_some();
                    let steps = std::mem::take(&mut ramp.steps);
                    Some(RampNotice { window, steps, is_strained, ..notice })
                }
                _ => None,
            }
        });
        due.collect()
    }

    /// Applies a message of another instance.
    pub fn apply(&mut self, now: Time, notice: &RampNotice) -> Option<RampChange> {
        let at = self.index_of(&notice.upstream).ok()?;
        let record = &mut self.known[at];
        if record.birth != notice.birth || notice.round < record.round {
            return None;
        }
        let window = f64::from(notice.window).max(FIRST_WINDOW);
        if notice.round > record.round {
            record.round = notice.round;
            match (&record.phase, notice.is_over) {
                // It is not over here before this instance sees it so itself.
                (Phase::Held(_), _) => return None,
                (_, true) => record.phase = Phase::Warm { is_asked: false },
                (_, false) => {
                    record.phase = Phase::Ramp(Ramp::new(now, window));
                    return Some(RampChange::Began { cause: RampCause::Reported });
                }
            }
            return None;
        }
        let is_owner = record.is_owner;
        match &mut record.phase {
            Phase::Warm { is_asked } => *is_asked |= !notice.is_owner,
            Phase::Held(_) => {}
            Phase::Ramp(ramp) if notice.is_owner => {
                ramp.heard_at = now;
                if notice.is_over {
                    return record.end(now);
                }
                if window < ramp.window {
                    ramp.reduced_at = Some(now);
                    ramp.has_strained = true;
                    record.ceiling = window;
                }
                // Two instances with different views may both consider themselves the owner.
                if !is_owner || window < ramp.window {
                    ramp.window = window;
                }
            }
            Phase::Ramp(ramp) if is_owner => {
                if !notice.is_strained {
                    ramp.grow(notice.steps.min(MAX_STEPS), record.ceiling);
                } else if window <= ramp.window {
                    // A larger window at the sender means that it has not heard of a reduction.
                    ramp.reduce(now, &mut record.ceiling);
                }
            }
            Phase::Ramp(_) => {}
        }
        None
    }

    fn index_of(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.known.binary_search_by(|it| it.id.cmp(id))
    }
}

/// Whether a call that has no first token after `waited` shows strain.
pub fn is_late(waited: Duration, predicted: Duration) -> bool {
    waited > (predicted * LATE_RATIO).max(MIN_LATE_TIME)
}

//! Shares of teams while the engines of a service have too little room.
//!
//! Each instance counts the tokens of the calls that it admits for each team; the counts decay
//! within a few seconds. While calls wait for admission, the team with the fewest of them goes
//! first. The forecast refuses a team that has had more than its equal part at a lower predicted
//! wait than the others, and one that has had less only if its call can't be answered in time.
//! Instances decide alone: callers of a team reach several of them, and the engines that they share
//! are full at all of them at the same time.

use std::time::Duration;

use crate::{
    gateway::{
        prefill_queue::{self, PrefillDecision},
        table::ServiceName,
        teams::TeamName,
    },
    ids::UpstreamId,
    time::Time,
};

/// Time in which the count of admitted tokens falls to 1/e (about a third): a few times the
/// duration of a call.
const DECAY_TIME: Duration = Duration::from_secs(6);
/// Time since its last call after which a team no longer has a part.
const ACTIVE_TIME: Duration = Duration::from_secs(8);
/// Standard deviations of the number of calls by which a team may be above its equal part without
/// counting as over it. An instance admits few calls of a team within [`DECAY_TIME`]; in a trial with a
/// tolerance of one call, up to 15 % of the calls of teams that asked for less than their part were not
/// admitted, and 6 % with this one.
const TOLERANCE: f64 = 2.0;
/// Share of its latency objective that a call waits for room at most; the rest is for its prefill.
const MAX_WAIT_SHARE: f64 = 0.6;
/// Scaled counts are computed relative to a moment that is moved before they become too large for
/// their type.
const MAX_LANDMARK_AGE: Duration = Duration::from_secs(400);

/// A team in a service; `None` for callers without a team.
pub type Holder = (ServiceName, Option<TeamName>);

/// How much of the recently admitted tokens a team has had, compared with its equal part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Not more than its part, while another team is over its part.
    Below,
    /// No team is over its part, or nothing was admitted.
    Even,
    /// More than its part, by more than chance explains.
    Over,
}

/// A call that waits for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter {
    /// The call's service and team.
    pub holder: Holder,
    /// Priority of the call.
    pub priority: u8,
    /// The engine that it waits for; `None` if it takes room at any.
    pub engine: Option<UpstreamId>,
}

#[derive(Debug, Clone)]
struct Count {
    holder: Holder,
    /// Admitted tokens, multiplied by the growth since the landmark instead of being divided by the
    /// decay, so that counts of different moments can be compared.
    scaled: f64,
    /// The number of these calls, scaled in the same way.
    calls: f64,
    last_call: Time,
    last_admitted: Option<Time>,
}

/// Recently admitted tokens of each team, and the calls that wait.
///
/// ```
/// use medlarlug_core::{gateway::fair_share::{FairShare, Standing}, time::Time};
///
/// let team = |name: &str| ("chat".parse().unwrap(), Some(name.parse().unwrap()));
/// let (hot, calm) = (team("hot"), team("calm"));
/// let mut shares = FairShare::default();
/// (0..30).for_each(|_| shares.record_admitted(Time::ZERO, &hot, 1_000));
/// shares.record_admitted(Time::ZERO, &calm, 1_000);
/// assert_eq!(shares.standing(Time::ZERO, &hot), Standing::Over);
/// assert_eq!(shares.standing(Time::ZERO, &calm), Standing::Below);
/// ```
#[derive(Debug, Clone, Default)]
pub struct FairShare {
    landmark: Time,
    /// Sorted by holder.
    counts: Vec<Count>,
    waiting: Vec<Waiter>,
}

impl FairShare {
    /// Records that a call has arrived.
    pub fn record_call(&mut self, now: Time, holder: &Holder) {
        self.count_mut(now, holder).last_call = now;
    }

    /// Counts a call that is sent to an engine.
    pub fn record_admitted(&mut self, now: Time, holder: &Holder, tokens: u64) {
        self.prune(now);
        let growth = self.growth(now);
        let count = self.count_mut(now, holder);
        count.scaled += tokens.max(1) as f64 * growth;
        count.calls += growth;
        (count.last_call, count.last_admitted) = (now, Some(now));
    }

    /// Adds a call that waits for admission.
    pub fn enqueue(&mut self, waiter: Waiter) {
        self.waiting.push(waiter);
    }

    /// Removes a call that no longer waits.
    pub fn dequeue(&mut self, waiter: &Waiter) {
        if let Some(at) = self.waiting.iter().position(|it| it == waiter) {
            self.waiting.swap_remove(at);
        }
    }

    /// Compares what a team has had with its equal part.
    pub fn standing(&self, now: Time, holder: &Holder) -> Standing {
        let (mut total, mut calls, mut teams, mut own, mut most) = (0.0, 0.0, 0, 0.0, 0.0_f64);
        let mut is_admitting = false;
        for count in self.of_service(&holder.0).iter().filter(|it| it.is_active(now)) {
            (total, calls, teams) = (total + count.scaled, calls + count.calls, teams + 1);
            most = most.max(count.scaled);
            is_admitting |= count.last_admitted.is_some_and(|it| now - it < DECAY_TIME);
            if count.holder == *holder {
                own = count.scaled;
            }
        }
        if !is_admitting || calls <= 0.0 {
            return Standing::Even;
        }
        // The number of calls of a part, without the growth since the landmark.
        let part_calls = calls / f64::from(teams) / self.growth(now);
        let over_from = (part_calls + TOLERANCE * part_calls.max(1.0).sqrt())
            * self.growth(now)
            * (total / calls);
        match own > over_from {
            true => Standing::Over,
            false if most > over_from => Standing::Below,
            false => Standing::Even,
        }
    }

    /// Whether a call goes before all that wait: no call of a team that has had less, and of the same
    /// or a higher priority, waits for the same engine or for room at any. `is_long` tells whether the
    /// call itself has to be admitted to `engine`; if not, only calls that wait for room go first.
    pub fn is_next(
        &self,
        holder: &Holder,
        priority: u8,
        engine: &UpstreamId,
        is_long: bool,
    ) -> bool {
        let own = self.scaled(holder);
        let competes = |it: &Waiter| match &it.engine {
            Some(other) => is_long && other == engine,
            None => true,
        };
        !self.waiting.iter().any(|it| {
            it.holder.0 == holder.0
                && it.holder.1 != holder.1
                && it.priority <= priority
                && competes(it)
                && self.scaled(&it.holder) < own
        })
    }

    /// The counts of a service's teams.
    fn of_service(&self, service: &ServiceName) -> &[Count] {
        let from = self.counts.partition_point(|it| it.holder.0 < *service);
        let to = self.counts.partition_point(|it| it.holder.0 <= *service);
        &self.counts[from..to]
    }

    fn scaled(&self, holder: &Holder) -> f64 {
        let at = self.counts.binary_search_by(|it| it.holder.cmp(holder));
        at.map_or(0.0, |at| self.counts[at].scaled)
    }

    fn growth(&self, now: Time) -> f64 {
        ((now - self.landmark).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Drops teams without recent calls, and moves the landmark.
    fn prune(&mut self, now: Time) {
        self.counts.retain(|it| it.is_active(now));
        if now - self.landmark > MAX_LANDMARK_AGE {
            let growth = self.growth(now);
            for count in &mut self.counts {
                (count.scaled, count.calls) = (count.scaled / growth, count.calls / growth);
            }
            self.landmark = now;
        }
    }

    fn count_mut(&mut self, now: Time, holder: &Holder) -> &mut Count {
        let at = self.counts.binary_search_by(|it| it.holder.cmp(holder)).unwrap_or_else(|at| {
            let count = Count {
                holder: holder.clone(),
                scaled: 0.0,
                calls: 0.0,
                last_call: now,
                last_admitted: None,
            };
            self.counts.insert(at, count);
            at
        });
        &mut self.counts[at]
    }
}

impl Count {
    fn is_active(&self, now: Time) -> bool {
        now - self.last_call < ACTIVE_TIME
    }
}

/// What is known about a call that may have to wait for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Whether the chosen engine has room, and the call may take it.
    pub has_room: bool,
    /// Whether the chosen engine accepts a prompt of its length now.
    pub can_prefill: bool,
    /// Whether no other call goes first, see [`FairShare::is_next`].
    pub is_next: bool,
    /// How long it has waited.
    pub waited: Duration,
    /// Latency objective of its route.
    pub objective: Duration,
    /// Its priority.
    pub priority: u8,
    /// Standing of its team.
    pub standing: Standing,
}

/// Decides whether a call is sent to an engine, waits, or is refused. It is never sent without room.
/// A team below its part waits for as long as its caller does; the forecast ends that wait.
pub fn decide(request: Request) -> PrefillDecision {
    let Request { waited, objective, priority, .. } = request;
    let decision = match request.has_room && request.is_next {
        true => prefill_queue::decide(request.can_prefill, waited, objective, priority),
        false if waited < objective.mul_f64(MAX_WAIT_SHARE) => PrefillDecision::Wait,
        false => PrefillDecision::Refuse,
    };
    match (decision, request.standing) {
        (PrefillDecision::Refuse, Standing::Below) => PrefillDecision::Wait,
        (decision, _) => decision,
    }
}

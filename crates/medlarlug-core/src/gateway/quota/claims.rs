//! The calls of an instance that wait for tokens.

use std::{fmt, time::Duration};

use super::{Answer, Budget, Shortage};
use crate::{gateway::teams::TeamName, time::Time};

/// Longest time for which a call waits for tokens.
pub const MAX_WAIT: Duration = Duration::from_millis(300);
/// Time in which calls are collected for one message.
const BATCH_TIME: Duration = Duration::from_millis(2);
/// Time after which an unanswered request is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(40);
/// Shortest time after which a request is repeated that was answered with a shortage: some round trips,
/// because calls that wait for the same tokens would otherwise ask at every one.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_millis(25);
/// Time without an answer after which the allocator counts as unreachable: a request and its
/// repetition.
const UNREACHABLE_TIME: Duration = Duration::from_millis(80);
/// `Retry-After` of a call while no allocator answers: the next one begins within a few seconds.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Identifies a waiting call at its instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimId(pub u32);

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What is decided about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Its cost is charged.
    Charged,
    /// The quota is used up; tokens are expected after this time.
    Exceeded {
        /// Time until the tokens are expected to be available.
        retry_after: Duration,
    },
    /// No allocator has answered.
    Unavailable {
        /// Time after which the call may be repeated.
        retry_after: Duration,
    },
}

/// A call that waits for tokens.
#[derive(Debug, Clone, PartialEq)]
pub struct Claim {
    /// Identifies the call.
    pub id: ClaimId,
    /// The team that made it.
    pub team: TeamName,
    /// Its cost in the unit of the quota.
    pub cost: u64,
    /// Whether it was asked for before.
    pub is_repeated: bool,
    since: Time,
    next_ask: Time,
    /// When the tokens are expected to be available, if the allocator has said that they are short.
    available: Option<Time>,
}

impl Claim {
    fn expires(&self) -> Time {
        self.since + MAX_WAIT
    }
}

/// Tokens of one team at this instance, outside of pools.
#[derive(Debug, Clone)]
struct Purse {
    team: TeamName,
    budget: Budget,
    /// Tokens for the time without an allocator, as of `filled_at`.
    isolated: f64,
    filled_at: Time,
    /// Refunded tokens, and when they become void.
    refunds: Vec<(u64, Time)>,
}

impl Purse {
    /// Takes a cost from the tokens for the time without an allocator. Those are used up in a window
    /// at most: half at once, and the other half over the window.
    fn take_isolated(&mut self, now: Time, cost: u64, instances: usize) -> bool {
        let depth = self.budget.isolated(instances) / 2.0;
        let rate = depth / self.budget.window.as_secs_f64().max(1.0);
        let gained = (now - self.filled_at).as_secs_f64() * rate;
        self.isolated = (self.isolated + gained).min(depth);
        self.filled_at = now;
        let is_available = self.isolated >= cost as f64;
        if is_available {
            self.isolated -= cost as f64;
        }
        is_available
    }

    fn take_refunded(&mut self, now: Time, cost: u64) -> bool {
        self.refunds.retain(|it| now < it.1);
        if self.refunds.iter().map(|it| it.0).sum::<u64>() < cost {
            return false;
        }
        let mut missing = cost;
        for (tokens, _) in &mut self.refunds {
            let taken = missing.min(*tokens);
            *tokens -= taken;
            missing -= taken;
        }
        self.refunds.retain(|it| it.0 > 0);
        true
    }
}

/// The calls of an instance that wait for tokens, and the tokens of each team at this instance.
#[derive(Debug, Clone, Default)]
pub struct Claims {
    waiting: Vec<Claim>,
    next_id: u32,
    /// Sorted by team.
    purses: Vec<Purse>,
}

impl Claims {
    /// `first_id` should differ between processes of the same instance, so that a late answer to
    /// another process is not taken for one to this process.
    pub fn new(first_id: u32) -> Claims {
        Claims { next_id: first_id, ..Claims::default() }
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Sets the budgets of all teams with a quota, sorted by team.
    pub fn set_budgets(&mut self, now: Time, budgets: &[(TeamName, Budget)]) {
        let mut old = std::mem::take(&mut self.purses).into_iter().peekable();
        for (team, budget) in budgets {
            while old.next_if(|it| it.team < *team).is_some() {}
            let kept = old.next_if(|it| it.team == *team);
            let kept = kept.filter(|it| !it.budget.is_lowered_by(budget));
            let (team, budget) = (team.clone(), *budget);
            self.purses.push(match kept {
                Some(purse) => Purse { budget, ..purse },
                None => Purse { team, budget, isolated: 0.0, filled_at: now, refunds: Vec::new() },
            });
        }
    }

    /// The budget of a team; `None` if it has no limit.
    pub fn budget(&self, team: &TeamName) -> Option<&Budget> {
        let at = self.purses.binary_search_by(|it| it.team.cmp(team)).ok()?;
        Some(&self.purses[at].budget)
    }

    /// Uses refunded tokens for a call. Returns whether there are enough.
    pub fn take_refunded(&mut self, now: Time, team: &TeamName, cost: u64) -> bool {
        self.purse(team).is_some_and(|it| it.take_refunded(now, cost))
    }

    /// Returns the cost of a call that was charged at `charged` and has not run. It can be used by
    /// other calls for a short time after the charge, and is void then.
    pub fn refund(&mut self, now: Time, team: &TeamName, cost: u64, charged: Time) {
        let Some(purse) = self.purse(team) else { return };
        let expires = charged + purse.budget.refund_lifetime();
        if now < expires {
            purse.refunds.push((cost, expires));
        }
    }

    /// Identifies the next call.
    pub fn next_id(&mut self) -> ClaimId {
        self.next_id = self.next_id.wrapping_add(1);
        ClaimId(self.next_id)
    }

    /// Adds a call that waits.
    pub fn wait(&mut self, now: Time, id: ClaimId, team: TeamName, cost: u64) {
        let (since, next_ask) = (now, now + BATCH_TIME);
        let claim = Claim { id, team, cost, is_repeated: false, since, next_ask, available: None };
        self.waiting.push(claim);
    }

    /// Handles an allocator's answer.
    pub fn apply(&mut self, now: Time, answer: &Answer) -> Option<(ClaimId, Decision)> {
        let at = self.waiting.iter().position(|it| it.id.0 == answer.id)?;
        let claim = &mut self.waiting[at];
        if now >= claim.expires() {
            return None;
        }
        let Some(Shortage { wait_ms, ask_ms }) = answer.shortage else {
            return Some((self.waiting.remove(at).id, Decision::Charged));
        };
        let retry_after = Duration::from_millis(wait_ms.into()).max(MIN_REPEAT_INTERVAL);
        claim.available = Some(now + retry_after);
        claim.is_repeated = true;
        claim.next_ask = now + Duration::from_millis(ask_ms.into()).max(MIN_REPEAT_INTERVAL);
        if claim.next_ask < claim.expires() {
            return None;
        }
        Some((self.waiting.remove(at).id, Decision::Exceeded { retry_after }))
    }

    /// Ends calls that have waited too long, and serves calls that get no answer from the tokens for
    /// the time without an allocator. `instances` is the largest number of instances ever known;
    /// `None` if that is not known.
    pub fn expire(&mut self, now: Time, instances: Option<usize>) -> Vec<(ClaimId, Decision)> {
        let mut decisions = Vec::new();
        let waiting = std::mem::take(&mut self.waiting);
        for claim in waiting {
            if let Some(decision) = self.decide(now, &claim, instances) {
                decisions.push((claim.id, decision));
            } else {
                self.waiting.push(claim);
            }
        }
        decisions
    }

    fn decide(&mut self, now: Time, claim: &Claim, instances: Option<usize>) -> Option<Decision> {
        if now >= claim.expires() {
            return Some(match claim.available {
                Some(at) => Decision::Exceeded { retry_after: (at - now).max(MIN_REPEAT_INTERVAL) },
                None => Decision::Unavailable { retry_after: UNREACHABLE_RETRY_AFTER },
            });
        }
        if claim.available.is_some() || now - claim.since < UNREACHABLE_TIME {
            return None;
        }
        let purse = self.purse(&claim.team)?;
        let is_taken = instances.is_some_and(|it| purse.take_isolated(now, claim.cost, it));
        is_taken.then_some(Decision::Charged)
    }

    /// The calls to ask for now.
    pub fn due(&mut self, now: Time) -> Vec<Claim> {
        let mut due = Vec::new();
        for claim in self.waiting.iter_mut().filter(|it| now >= it.next_ask) {
            due.push(claim.clone());
            claim.is_repeated = true;
            claim.next_ask = now + REPEAT_INTERVAL;
        }
        due
    }

    /// When [`Claims::due`] or [`Claims::expire`] has to be called next.
    pub fn next_due(&self) -> Option<Time> {
        let due = |it: &Claim| it.next_ask.min(it.expires());
        self.waiting.iter().map(due).min()
    }

    fn purse(&mut self, team: &TeamName) -> Option<&mut Purse> {
        let at = self.purses.binary_search_by(|it| it.team.cmp(team)).ok()?;
        Some(&mut self.purses[at])
    }
}

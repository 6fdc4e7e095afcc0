//! Quotas of teams, which hold for the calls at all entry instances together.
//!
//! Each region holds a [`Pool`] for each team, which fills at the team's rate divided by the number
//! of regions. One entry instance of the region, the *allocator*, keeps the pool ([`Allocator`]). An
//! instance asks it for the cost of each call that waits ([`Claims`]). Pools that are short of tokens
//! ask those of other regions, which give what they don't need. Tokens move, and their sum never
//! grows, so a partition between regions needs no agreement. [`Quotas`] combines these parts for one
//! instance.
//!
//! What a team may use in a window beyond its rate is its allowance. Half of it is the depth of the
//! pools. A quarter is for instances that reach no allocator, and a quarter for debts, for refunded
//! tokens, and for tokens that are used some time after they were granted.

mod allocator;
mod claims;
mod node;
mod pool;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::{
    allocator::Allocator,
    claims::{Claim, ClaimId, Claims, Decision, MAX_WAIT},
    node::{Outbox, QuotaView, Quotas},
    pool::Pool,
};
use super::teams::{Quota, TeamName};

/// Share of the allowance that pools hold.
const POOL_SHARE: f64 = 0.5;
/// Share of the allowance for instances that reach no allocator.
const ISOLATED_SHARE: f64 = 0.25;
/// Share of the allowance by which pools may be in debt.
const DEBT_SHARE: f64 = 0.25;
/// Share of the allowance for refunded tokens, which are used after the time of their grant. It is
/// part of the quarter for debts.
const REFUND_SHARE: f64 = 0.125;
/// Longest time after a charge for which its refunded tokens can be used.
const MAX_REFUND_LIFETIME: Duration = Duration::from_secs(1);

/// What may be used beyond a quota: in every window, `(rate * window + burst) * (1 + overage) + slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Length of a window.
    pub window: Duration,
    /// Share of the quota that may be used beyond it.
    pub overage: f64,
    /// Units that may be used beyond it.
    pub slack: f64,
}

/// A team's limits as the parts of the system apply them, in the unit of its quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    rate: f64,
    allowance: f64,
    regions: f64,
    window: Duration,
}

impl Budget {
    /// The budget of a quota in a system with a number of regions; `None` if the quota has no rate,
    /// which means no limit.
    ///
    /// ```
    /// use medlarlug_core::gateway::{quota::{Budget, Tolerance}, teams::{Quota, QuotaUnit}};
    /// use std::time::Duration;
    ///
    /// let quota = Quota { unit: QuotaUnit::Tokens, rate: 1e3, burst: 1e3, plain_cost: 200 };
    /// let tolerance = Tolerance { window: Duration::from_secs(8), overage: 0.1, slack: 100.0 };
    /// let budget = Budget::new(&quota, tolerance, 2).unwrap();
    /// assert_eq!(budget.allowance(), 1e3 * 1.1 + 1e3 * 8.0 * 0.1 + 100.0);
    /// ```
    pub fn new(quota: &Quota, tolerance: Tolerance, regions: usize) -> Option<Budget> {
        let Tolerance { window, overage, slack } = tolerance;
        let Quota { rate, burst, .. } = *quota;
        let allowance = burst * (1.0 + overage) + overage * rate * window.as_secs_f64() + slack;
        let regions = regions.max(1) as f64;
        (rate > 0.0).then_some(Budget { rate, allowance, regions, window })
    }

    /// Units per second in all regions together.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// What may be used in a window beyond its rate.
    pub fn allowance(&self) -> f64 {
        self.allowance
    }

    /// Units per second that the pool of a region gains.
    fn pool_rate(&self) -> f64 {
        self.rate / self.regions
    }

    /// Units that the pool of a region holds when it is full.
    fn depth(&self) -> f64 {
        self.allowance * POOL_SHARE / self.regions
    }

    /// Units by which the pool of a region may be in debt.
    fn debt(&self) -> f64 {
        self.allowance * DEBT_SHARE / self.regions
    }

    /// Largest cost that a pool collects tokens of other regions for.
    fn max_cost(&self) -> f64 {
        self.allowance * POOL_SHARE
    }

    /// Units in a window for each of `instances` that reach no allocator.
    fn isolated(&self, instances: usize) -> f64 {
        self.allowance * ISOLATED_SHARE / instances.max(1) as f64
    }

    /// Time after a charge for which its refunded tokens can be used: what the team uses in it is the
    /// share of the allowance for refunds.
    fn refund_lifetime(&self) -> Duration {
        let seconds = self.allowance * REFUND_SHARE / self.rate;
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_REFUND_LIFETIME).min(MAX_REFUND_LIFETIME)
    }

    /// Whether tokens that were saved under this budget are void under `new`.
    fn is_lowered_by(&self, new: &Budget) -> bool {
        new.rate < self.rate || new.allowance < self.allowance
    }
}

/// The cost of one waiting call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskedCall {
    /// Identifies the call at the instance that asks.
    pub id: u32,
    /// Its cost in the unit of the quota.
    pub cost: u64,
    /// Whether an earlier message has asked for the same call, which may have been granted.
    pub is_repeated: bool,
}

/// An allocator's answer about one call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The call that the answer is for.
    pub id: u32,
    /// Why it has to wait; `None` if its cost is granted.
    pub shortage: Option<Shortage>,
}

/// A pool has too few tokens for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shortage {
    /// Milliseconds until the pool is expected to have the tokens.
    pub wait_ms: u32,
    /// Milliseconds after which asking again may succeed: less if other regions may give tokens.
    pub ask_ms: u32,
}

/// A message between entry instances about quotas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Asks the allocator of the own region for the costs of calls.
    Ask {
        /// The waiting calls of each team.
        teams: Vec<(TeamName, Vec<AskedCall>)>,
    },
    /// Answers of the allocator.
    Answer {
        /// Answers in the order of the calls.
        answers: Vec<Answer>,
    },
    /// Asks the allocator of another region for tokens.
    Want {
        /// The team.
        team: TeamName,
        /// Tokens that are missing.
        tokens: u64,
    },
    /// Tokens for the pool of another region; the sender has removed them from its own.
    Give {
        /// The team.
        team: TeamName,
        /// The number of tokens.
        tokens: u64,
    },
}

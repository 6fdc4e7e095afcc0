//! Weights of the decision, from the policy and the links of the configuration.

use crate::{ids::RegionId, release::Configuration};

/// Price of a second until the first token when there is no policy.
const LATENCY_PRICE: f64 = 1.0;
/// Seconds until the first token that requests are taken in for when there is no policy.
const DEADLINE: f64 = 10.0;
/// Price of processing a thousand prompt tokens.
const PROMPT_PRICE: f64 = 0.1;
/// Seconds one way between zones of one region.
const NEAR_DELAY: f64 = 0.004;
/// Seconds one way between regions whose link is not configured.
const FAR_DELAY: f64 = 0.1;
/// Price of a request over a link that is not configured.
const FAR_PRICE: f64 = 1.0;

/// Weights of latency and cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Weights {
    latency: f64,
    cost: f64,
    /// Seconds until the first token that requests are taken in for.
    pub(super) deadline: f64,
}

/// What it takes to use another zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LinkTerms {
    /// Seconds one way.
    pub(super) delay: f64,
    /// Price of a request.
    pub(super) price: f64,
}

impl Weights {
    /// The weights of the policy in force.
    pub(super) fn of(configuration: &Configuration) -> Weights {
        let policy = configuration.policy();
        Weights {
            latency: policy.map_or(LATENCY_PRICE, |it| it.latency_weight.get()),
            cost: policy.map_or(1.0, |it| it.cost_weight.get()),
            deadline: policy.map_or(DEADLINE, |it| f64::from(it.deadline_ms) / 1_000.0),
        }
    }

    /// The weighed price of serving a request: seconds to the first token, prompt tokens to
    /// process, and the price of the link.
    pub(super) fn score(self, seconds: f64, tokens: f64, link: f64) -> f64 {
        self.latency * seconds + self.cost * (link + tokens / 1_000.0 * PROMPT_PRICE)
    }

    /// The terms of sending from one region to another.
    pub(super) fn link(
        self,
        configuration: &Configuration,
        from: &RegionId,
        to: &RegionId,
    ) -> LinkTerms {
        if from == to {
            return LinkTerms { delay: NEAR_DELAY, price: 0.0 };
        }
        match configuration.link(from, to) {
            Some(link) => LinkTerms { delay: link.delay().as_secs_f64(), price: link.price.get() },
            None => LinkTerms { delay: FAR_DELAY, price: FAR_PRICE },
        }
    }
}

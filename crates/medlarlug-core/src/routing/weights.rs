//! Weights of latency and cost in routing decisions, from the policy and the links of the
//! configuration.

use crate::{ids::RegionId, release::Configuration};

/// Weight of a second until the first token if the configuration has no policy.
const DEFAULT_LATENCY_WEIGHT: f64 = 1.0;
/// Deadline of the first token if the configuration has no policy.
const DEFAULT_DEADLINE_SECONDS: f64 = 10.0;
/// Price of processing a thousand prompt tokens, in the unit of link prices.
const PRICE_PER_THOUSAND_TOKENS: f64 = 0.1;
/// One-way delay between zones of one region.
const REGION_DELAY_SECONDS: f64 = 0.004;
/// One-way delay between regions whose link is not configured.
const CROSS_REGION_DELAY_SECONDS: f64 = 0.1;
/// Price of a request over a link that is not configured.
const CROSS_REGION_PRICE: f64 = 1.0;

/// Weights of latency and cost, and the deadline of the policy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Weights {
    latency: f64,
    cost: f64,
    /// Seconds within which the policy wants the first token.
    pub(super) deadline: f64,
}

/// Cost of sending a request to another zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LinkTerms {
    /// One-way delay in seconds.
    pub(super) delay: f64,
    /// Price of each request over the link.
    pub(super) price: f64,
}

impl Weights {
    /// The weights of the policy in force, or defaults.
    pub(super) fn of(configuration: &Configuration) -> Weights {
        let policy = configuration.policy();
        Weights {
            latency: policy.map_or(DEFAULT_LATENCY_WEIGHT, |it| it.latency_weight.get()),
            cost: policy.map_or(1.0, |it| it.cost_weight.get()),
            deadline: policy
                .map_or(DEFAULT_DEADLINE_SECONDS, |it| f64::from(it.deadline_ms) / 1_000.0),
        }
    }

    /// The weighted cost of serving a request, where lower is better: `seconds` until the first
    /// token, prompt `tokens` to process, and the price of the `link`.
    pub(super) fn score(self, seconds: f64, tokens: f64, link: f64) -> f64 {
        self.latency * seconds + self.cost * (link + tokens / 1_000.0 * PRICE_PER_THOUSAND_TOKENS)
    }

    /// Delay and price of sending from one region to another; both are defaults if the link is not
    /// configured.
    pub(super) fn link(
        self,
        configuration: &Configuration,
        from: &RegionId,
        to: &RegionId,
    ) -> LinkTerms {
        if from == to {
            return LinkTerms { delay: REGION_DELAY_SECONDS, price: 0.0 };
        }
        match configuration.link(from, to) {
            Some(link) => LinkTerms { delay: link.delay().as_secs_f64(), price: link.price.get() },
            None => LinkTerms { delay: CROSS_REGION_DELAY_SECONDS, price: CROSS_REGION_PRICE },
        }
    }
}

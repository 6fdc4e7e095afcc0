//! Predicted cost of a call in another region, or at another instance of the own one.
//!
//! Entry instances report how long a prompt of [reference size](REFERENCE_PROMPT_TOKENS) would wait
//! in their region. The cost of a call is estimated from that and its own prompt: tokens beyond the
//! reference size need additional prefill, and shared parts that the engines there may not have
//! cached are computed again, which delays other calls as it does locally. So calls stay where
//! their shared parts are cached until their region is well behind, and regions don't prefill all
//! sessions of each other.
//!
//! This handles load peaks of one region while others have capacity.

use std::time::Duration;

use crate::gateway::placement::{Demand, PREFILL_TOKENS_PER_MS};

/// Prompt tokens of the call for which a region reports the wait.
pub const REFERENCE_PROMPT_TOKENS: u32 = 2_000;

/// Share of a prompt's shared tokens that is assumed to be recomputed in another region: sessions
/// live in few regions, and parts that all prompts share are cached in every region.
const UNCACHED_SHARE: f64 = 0.5;

/// Weight of recomputing a shared part there. It is lower than within a region, where another
/// engine recomputes what one already has cached, since here the local engines are behind.
const RECOMPUTE_WEIGHT: f64 = 3.0;

/// What is known of a service in a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemoteService {
    /// Time to the first token of a call of reference size, as the instances there report it.
    pub reported_wait: Duration,
    /// Prompt tokens of calls that this instance has forwarded since that report and that are not
    /// answered yet.
    pub pending_tokens: u64,
    /// Number of upstreams there.
    pub upstreams: usize,
    /// Whether it is the own region, whose upstreams have the parts cached that they share with
    /// earlier calls.
    pub is_own: bool,
}

/// Predicted time to the first token there, including the delay to other calls but not the network
/// latency.
///
/// ```
/// use std::time::Duration;
/// use medlarlug_core::gateway::{placement::Demand, remote_region::{RemoteService, predicted_cost}};
///
/// let reported_wait = Duration::from_millis(80);
/// let service = RemoteService { reported_wait, pending_tokens: 0, upstreams: 4, is_own: false };
/// assert_eq!(predicted_cost(service, &Demand::default()), reported_wait);
/// ```
pub fn predicted_cost(service: RemoteService, demand: &Demand) -> Duration {
    let queued_ms =
        service.pending_tokens as f64 / PREFILL_TOKENS_PER_MS / service.upstreams.max(1) as f64;
    let uncached_share = if service.is_own { 0.0 } else { UNCACHED_SHARE };
    let recomputed = f64::from(demand.shared_tokens()) * uncached_share;
    let own_tokens = f64::from(demand.prompt_tokens.saturating_sub(demand.shared_tokens()));
    let extra_ms = (own_tokens + recomputed - f64::from(REFERENCE_PROMPT_TOKENS)).max(0.0)
        / PREFILL_TOKENS_PER_MS;
    let delay_ms = recomputed * RECOMPUTE_WEIGHT / PREFILL_TOKENS_PER_MS;
    service.reported_wait + Duration::from_secs_f64((queued_ms + extra_ms + delay_ms) / 1_000.0)
}

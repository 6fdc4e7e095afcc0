//! What a call costs in another region.
//!
//! Entry instances tell how long a prompt of usual size would wait in their region. A call is
//! measured against that by its own prompt: what is longer is read in addition, and shared parts
//! that the engines there may not hold are read again, which delays other calls as it does here. So
//! calls stay where their shared parts are until their region is well behind, and regions don't
//! read all sessions of each other.
//!
//! This answers peaks of one region while others have room.

use std::time::Duration;

use crate::gateway::placement::{Demand, PREFILL_TOKENS_PER_MS};

/// Prompt tokens of the call for which a region tells the wait.
pub const REFERENCE_PROMPT_TOKENS: u32 = 2_000;

/// Part of the shared tokens of a prompt that another region is taken to read again: sessions live
/// in few regions, and parts that everyone shares are held in all.
const UNCACHED_SHARE: f64 = 0.5;

/// Weight of reading a shared part again there: less than within a region, where other engines read
/// it instead of the one that holds it, since here the own engines are behind.
const RECOMPUTE_WEIGHT: f64 = 3.0;

/// What is known of a service in another region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemoteService {
    /// Time to the first token of a usual call, as told by the instances there.
    pub reported_wait: Duration,
    /// Prompt tokens that this instance has handed over since and that are not answered yet.
    pub pending_tokens: u64,
    /// Upstreams there.
    pub upstreams: usize,
}

/// Predicted time to the first token there with the delay of other calls, without the way.
///
/// ```
/// use std::time::Duration;
/// use medlarlug_core::gateway::{remote_region::{RemoteService, predicted_cost}, placement::Demand};
///
/// let reported_wait = Duration::from_millis(80);
/// let service = RemoteService { reported_wait, pending_tokens: 0, upstreams: 4 };
/// assert_eq!(predicted_cost(service, &Demand::default()), reported_wait);
/// ```
pub fn predicted_cost(service: RemoteService, demand: &Demand) -> Duration {
    let queued_ms =
        service.pending_tokens as f64 / PREFILL_TOKENS_PER_MS / service.upstreams.max(1) as f64;
    let recomputed = f64::from(demand.shared()) * UNCACHED_SHARE;
    let own_tokens = f64::from(demand.prompt_tokens.saturating_sub(demand.shared()));
    let extra_ms = (own_tokens + recomputed - f64::from(REFERENCE_PROMPT_TOKENS)).max(0.0)
        / PREFILL_TOKENS_PER_MS;
    let delay_ms = recomputed * RECOMPUTE_WEIGHT / PREFILL_TOKENS_PER_MS;
    service.reported_wait + Duration::from_secs_f64((queued_ms + extra_ms + delay_ms) / 1_000.0)
}

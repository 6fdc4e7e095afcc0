//! Predicts the time to the first token at an upstream.

use crate::{
    membership::{
        Upstream,
        load::{PREFILL_TOKENS_PER_SECOND, slot_time},
    },
    routing::{destination_stats::DestinationStats, request::RequestFacts},
    time::Time,
    units::Tokens,
};

/// Share of a reported prefix that is assumed to be cached, since cache events arrive late and with
/// gaps.
const CACHED_PREFIX_CREDIT: f64 = 0.9;

/// Requests that are assumed to be delayed by each prompt at an upstream whose slots are all taken.
const CROWDING_FACTOR: f64 = 15.0;

/// Predicted cost of a request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Prediction {
    /// Seconds until the first token, by the load report and the requests that this instance has
    /// sent since.
    pub(super) base: f64,
    /// The same time in seconds, corrected by the statistics of earlier requests.
    pub(super) first_token: f64,
    /// Prompt tokens that are not cached and have to be processed.
    pub(super) tokens: Tokens,
    /// Seconds by which the request delays others; grows with the occupancy of the upstream.
    pub(super) crowding: f64,
    /// Whether a prefix of the prompt is expected to be cached.
    pub(super) is_warm: bool,
}

/// Predicts from the load report, aged to `now`, and from what this instance has sent since.
/// `recently_sent` is the length of the longest prefix that was recently sent to the upstream, and
/// `senders` the assumed number of instances that send as much as this one.
pub(super) fn predict(
    now: Time,
    facts: &RequestFacts,
    upstream: &Upstream,
    stats: &DestinationStats,
    recently_sent: Option<Tokens>,
    senders: f64,
) -> Prediction {
    let announcement = &upstream.announcement;
    let load = &announcement.load;
    let reported_at = upstream.received_at.saturating_sub(load.age);
    let age = (now - reported_at).as_secs_f64();
    let since = stats.sent_since(reported_at);
    let slot_time = stats.slot_seconds(now, slot_time(announcement).as_secs_f64());

    let reported = load.backlog.0 as f64;
    let backlog = stats.backlog(now, reported_at, reported, senders, PREFILL_TOKENS_PER_SECOND);
    let slots = f64::from(announcement.slots.0.max(1));
    let busy = f64::from(load.running.saturating_add(load.waiting));
    let ended = age * f64::from(load.running) / slot_time;
    let ahead = (busy - ended).max(0.0) + f64::from(since.requests) * senders + 1.0 - slots;
    let waiting = ahead.max(0.0) * slot_time / slots;

    let warm = warm_tokens(facts, upstream).max(recently_sent.unwrap_or_default());
    let saved = (warm.0 as f64 * CACHED_PREFIX_CREDIT) as u64;
    let tokens = Tokens(facts.prompt.0.saturating_sub(saved));
    let base = waiting + (backlog + tokens.0 as f64) / PREFILL_TOKENS_PER_SECOND;
    let occupancy = ((busy + f64::from(since.requests)) / slots).min(1.0);
    let crowding =
        tokens.0 as f64 / PREFILL_TOKENS_PER_SECOND * CROWDING_FACTOR * occupancy * occupancy;
    let first_token = base * stats.latency_ratio(now) + stats.overdue(now);
    Prediction { base, first_token, tokens, crowding, is_warm: warm.0 > 0 }
}

fn warm_tokens(facts: &RequestFacts, upstream: &Upstream) -> Tokens {
    let found = facts.prefixes.iter().find(|it| upstream.warm.contains(it.fingerprint.into()));
    found.map_or(Tokens(0), |it| it.tokens)
}

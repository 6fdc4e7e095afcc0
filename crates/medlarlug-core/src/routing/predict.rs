//! Predicted time to the first token at one upstream.

use crate::{
    membership::{
        Upstream,
        load::{PROMPT_SPEED, slot_time},
    },
    routing::{destination_stats::Learned, request::RequestFacts},
    time::Time,
    units::Tokens,
};

/// Share of a reported prefix that is counted on: cache events come late and with gaps.
const WARM_TRUST: f64 = 0.9;

/// Requests that wait for each prompt at an upstream whose slots are all taken.
const CROWDING: f64 = 15.0;

/// What an upstream would need for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Prediction {
    /// Seconds until the first token, by the report and own sends.
    pub(super) base: f64,
    /// Seconds until the first token, with what was learned.
    pub(super) first_token: f64,
    /// Prompt tokens that have to be processed.
    pub(super) tokens: Tokens,
    /// Seconds that the work delays others by: the busier the upstream, the more.
    pub(super) crowding: f64,
    /// Whether a prefix of the prompt is warm.
    pub(super) is_warm: bool,
}

/// Predicts from the report, aged, and from what was sent since.
pub(super) fn predict(
    now: Time,
    facts: &RequestFacts,
    upstream: &Upstream,
    learned: &Learned,
    recent: Option<Tokens>,
    senders: f64,
) -> Prediction {
    let announcement = &upstream.announcement;
    let load = &announcement.load;
    let reading = upstream.heard.saturating_sub(load.age);
    let age = (now - reading).as_secs_f64();
    let since = learned.sent_since(reading);
    let slot_time = learned.hold(now, slot_time(announcement).as_secs_f64());

    let reported = load.backlog.0 as f64;
    let backlog = learned.backlog(now, reading, reported, senders, PROMPT_SPEED);
    let slots = f64::from(announcement.slots.0.max(1));
    let busy = f64::from(load.running.saturating_add(load.waiting));
    let ended = age * f64::from(load.running) / slot_time;
    let ahead = (busy - ended).max(0.0) + f64::from(since.requests) * senders + 1.0 - slots;
    let waiting = ahead.max(0.0) * slot_time / slots;

    let warm = warm_tokens(facts, upstream).max(recent.unwrap_or_default());
    let saved = (warm.0 as f64 * WARM_TRUST) as u64;
    let tokens = Tokens(facts.prompt.0.saturating_sub(saved));
    let base = waiting + (backlog + tokens.0 as f64) / PROMPT_SPEED;
    let share = ((busy + f64::from(since.requests)) / slots).min(1.0);
    let crowding = tokens.0 as f64 / PROMPT_SPEED * CROWDING * share * share;
    let first_token = base * learned.bias(now) + learned.overdue(now);
    Prediction { base, first_token, tokens, crowding, is_warm: warm.0 > 0 }
}

fn warm_tokens(facts: &RequestFacts, upstream: &Upstream) -> Tokens {
    let found = facts.prefixes.iter().find(|it| upstream.warm.contains(it.print.into()));
    found.map_or(Tokens(0), |it| it.tokens)
}

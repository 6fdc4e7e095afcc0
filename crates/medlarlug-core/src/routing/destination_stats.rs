//! Statistics of an upstream or a zone, from the requests that this instance sent to it.

use std::time::Duration;

use crate::{routing::router::AttemptId, time::Time, units::Tokens};

/// Weight of a new observation in the moving average of the latency ratio.
const OBSERVATION_WEIGHT: f64 = 0.2;
/// Bounds of the ratio of the observed to the predicted time to the first token.
const RATIO_RANGE: (f64, f64) = (0.5, 50.0);
/// Times below this many seconds count as this long in a ratio.
const MIN_SECONDS: f64 = 0.02;
/// Time in which the deviation of a ratio from 1.0 halves, so that a slow upstream is tried again.
const RATIO_HALF_LIFE: Duration = Duration::from_secs(20);
/// Half-life of the weight of an observed slot time.
const SLOT_TIME_HALF_LIFE: Duration = Duration::from_secs(30);
/// Weight of the slot time in the load report, as a number of ended requests.
const REPORTED_SLOT_TIME_WEIGHT: f64 = 2.0;
/// Cool-down after the first failure; each further failure in a row doubles it.
const FIRST_COOLDOWN: Duration = Duration::from_millis(500);
/// Doublings after which the cool-down grows no further.
const MAX_COOLDOWN_DOUBLINGS: u32 = 6;

/// A request that was sent and hasn't ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct InFlightRequest {
    attempt_id: AttemptId,
    sent_at: Time,
    tokens: Tokens,
    base: f64,
    predicted: f64,
    token_at: Option<Time>,
}

impl InFlightRequest {
    fn awaits_first_token(&self) -> bool {
        self.token_at.is_none()
    }
}

/// How long requests hold their slots after the first token; older observations weigh less.
#[derive(Debug, Clone, Copy, Default)]
struct SlotTimes {
    count: f64,
    seconds: f64,
    updated_at: Time,
}

impl SlotTimes {
    fn aged(self, now: Time) -> SlotTimes {
        let halvings = (now - self.updated_at).as_secs_f64() / SLOT_TIME_HALF_LIFE.as_secs_f64();
        let weight = (-halvings).exp2();
        SlotTimes { count: self.count * weight, seconds: self.seconds * weight, updated_at: now }
    }

    fn record(&mut self, now: Time, seconds: f64) {
        let aged = self.aged(now);
        *self =
            SlotTimes { count: aged.count + 1.0, seconds: aged.seconds + seconds, updated_at: now };
    }
}

/// Statistics of one destination: an upstream of the own zone, or another zone.
#[derive(Debug, Clone)]
pub(super) struct DestinationStats {
    requests: Vec<InFlightRequest>,
    slot_times: SlotTimes,
    latency_ratio: f64,
    observed_at: Time,
    failures: u32,
    cooldown_until: Time,
    /// When the destination was first seen, or became usable again after an absence.
    pub(super) available_since: Time,
    /// When the last request was sent to the destination.
    pub(super) last_sent: Time,
}

/// Requests that this instance sent after a load report was made, which the report doesn't include.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct SentSince {
    pub(super) requests: u32,
    pub(super) tokens: u64,
}

impl DestinationStats {
    pub(super) fn new(available_since: Time) -> DestinationStats {
        DestinationStats {
            requests: Vec::new(),
            slot_times: SlotTimes::default(),
            latency_ratio: 1.0,
            observed_at: available_since,
            failures: 0,
            cooldown_until: Time::ZERO,
            available_since,
            last_sent: Time::ZERO,
        }
    }

    /// Records that a request is sent; `base` is the predicted time in seconds before it is
    /// multiplied by the latency ratio.
    pub(super) fn record_sent(
        &mut self,
        now: Time,
        attempt_id: AttemptId,
        tokens: Tokens,
        base: f64,
        predicted: f64,
    ) {
        self.last_sent = now;
        let request =
            InFlightRequest { attempt_id, sent_at: now, tokens, base, predicted, token_at: None };
        self.requests.push(request);
    }

    /// Records the first token of a request and updates the latency ratio.
    pub(super) fn record_first_token(&mut self, now: Time, attempt_id: AttemptId) {
        let Some(request) = self.requests.iter_mut().find(|it| it.attempt_id == attempt_id) else {
            return;
        };
        request.token_at = Some(now);
        let took = (now - request.sent_at).as_secs_f64();
        let ratio = took.max(MIN_SECONDS) / request.base.max(MIN_SECONDS);
        self.failures = 0;
        self.observe(now, ratio);
    }

    fn observe(&mut self, now: Time, ratio: f64) {
        let (low, high) = RATIO_RANGE;
        let latency_ratio = self.latency_ratio(now);
        self.latency_ratio = (latency_ratio
            + OBSERVATION_WEIGHT * (ratio.clamp(low, high) - latency_ratio))
            .clamp(low, high);
        self.observed_at = now;
    }

    /// Removes an ended request. One that ended without a first token shows that the destination
    /// needs at least the time that the request waited.
    pub(super) fn record_end(&mut self, now: Time, attempt_id: AttemptId) {
        let Some(request) = self.remove(attempt_id) else {
            return;
        };
        if let Some(token_at) = request.token_at {
            return self.slot_times.record(now, (now - token_at).as_secs_f64());
        }
        let ratio = (now - request.sent_at).as_secs_f64() / request.base.max(MIN_SECONDS);
        if ratio > self.latency_ratio(now) {
            self.observe(now, ratio);
        }
    }

    fn remove(&mut self, attempt_id: AttemptId) -> Option<InFlightRequest> {
        let index = self.requests.iter().position(|it| it.attempt_id == attempt_id)?;
        Some(self.requests.remove(index))
    }

    /// Removes a failed request and starts a cool-down of the destination, which is longer after
    /// each failure in a row.
    pub(super) fn record_failure(&mut self, now: Time, attempt_id: AttemptId) {
        self.remove(attempt_id);
        self.cooldown_until =
            now + FIRST_COOLDOWN * (1 << self.failures.min(MAX_COOLDOWN_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
    }

    /// Whether the destination is to be avoided because of its latest failures.
    pub(super) fn is_cooling_down(&self, now: Time) -> bool {
        now < self.cooldown_until
    }

    /// Ratio of the observed to the predicted time to the first token; it decays towards 1.0 while
    /// nothing is observed.
    pub(super) fn latency_ratio(&self, now: Time) -> f64 {
        let halvings = (now - self.observed_at).as_secs_f64() / RATIO_HALF_LIFE.as_secs_f64();
        1.0 + (self.latency_ratio - 1.0) * (-halvings).exp2()
    }

    /// Seconds that a request holds its slot after its first token: the time for which ended and
    /// running requests have held their slots, divided by the number of ended ones. `reported`, the
    /// time from the load report, counts as several ended requests.
    pub(super) fn slot_seconds(&self, now: Time, reported: f64) -> f64 {
        let slot_times = self.slot_times.aged(now);
        let running = self.requests.iter().filter_map(|it| it.token_at);
        let running: f64 = running.map(|it| (now - it).as_secs_f64()).sum();
        let seconds = reported * REPORTED_SLOT_TIME_WEIGHT + slot_times.seconds + running;
        seconds / (REPORTED_SLOT_TIME_WEIGHT + slot_times.count)
    }

    /// Requests that this instance sent after `reported_at`.
    pub(super) fn sent_since(&self, reported_at: Time) -> SentSince {
        let mut since = SentSince::default();
        for request in self.requests.iter().rev().take_while(|it| it.sent_at > reported_at) {
            since.requests += 1;
            since.tokens += request.tokens.0;
        }
        since
    }

    /// Prompt tokens that wait at `now`: the `reported` ones plus those that this instance has sent
    /// since `reported_at`, times the number of `senders`, less those processed in between at
    /// `speed` tokens per second.
    pub(super) fn backlog(
        &self,
        now: Time,
        reported_at: Time,
        reported: f64,
        senders: f64,
        speed: f64,
    ) -> f64 {
        let start = self.requests.partition_point(|it| it.sent_at <= reported_at);
        let mut backlog = reported;
        let mut last = reported_at;
        for request in &self.requests[start..] {
            let processed = (request.sent_at - last).as_secs_f64() * speed;
            backlog = (backlog - processed).max(0.0) + request.tokens.0 as f64 * senders;
            last = request.sent_at;
        }
        (backlog - (now - last).as_secs_f64() * speed).max(0.0)
    }

    /// Largest delay in seconds, beyond the prediction, of a first token that is still outstanding;
    /// zero if none is late.
    pub(super) fn overdue(&self, now: Time) -> f64 {
        let lateness = |it: &InFlightRequest| (now - it.sent_at).as_secs_f64() - it.predicted;
        let waiting = self.requests.iter().filter(|it| it.awaits_first_token());
        waiting.map(lateness).fold(0.0, f64::max)
    }

    /// Number of requests that were sent and haven't ended.
    pub(super) fn in_flight(&self) -> usize {
        self.requests.len()
    }
}

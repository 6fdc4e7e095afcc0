//! What the router learns of an upstream or a zone from its own requests.

use std::time::Duration;

use crate::{routing::router::Ticket, time::Time, units::Tokens};

/// Share of a new observation in an average.
const GAIN: f64 = 0.2;
/// Bounds of the ratio of observed to predicted time.
const BIAS_RANGE: (f64, f64) = (0.5, 50.0);
/// Shortest prediction that a ratio is taken of, in seconds.
const SHORTEST: f64 = 0.02;
/// Time in which the excess of a ratio halves, so that a slow upstream is tried again.
const BIAS_HALF_LIFE: Duration = Duration::from_secs(20);
/// Time in which what an ended request showed of the time that slots are held loses half its weight.
const HOLD_HALF_LIFE: Duration = Duration::from_secs(30);
/// Ended requests that the time from the report stands for.
const REPORTED_WEIGHT: f64 = 2.0;
/// Pause after the first failure; each further one doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Number of doublings of the pause.
const MAX_DOUBLINGS: u32 = 6;

/// A request that was sent and hasn't ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Flight {
    ticket: Ticket,
    sent: Time,
    tokens: Tokens,
    base: f64,
    predicted: f64,
    first: Option<Time>,
}

impl Flight {
    fn is_waiting(&self) -> bool {
        self.first.is_none()
    }
}

/// How long requests of a place hold their slots after the first token, older ones counting less.
#[derive(Debug, Clone, Copy, Default)]
struct Holds {
    ended: f64,
    seconds: f64,
    at: Time,
}

impl Holds {
    fn aged(self, now: Time) -> Holds {
        let halvings = (now - self.at).as_secs_f64() / HOLD_HALF_LIFE.as_secs_f64();
        let share = (-halvings).exp2();
        Holds { ended: self.ended * share, seconds: self.seconds * share, at: now }
    }

    fn note(&mut self, now: Time, seconds: f64) {
        let aged = self.aged(now);
        *self = Holds { ended: aged.ended + 1.0, seconds: aged.seconds + seconds, at: now };
    }
}

/// What own requests have shown of one place that serves them.
#[derive(Debug, Clone)]
pub(super) struct Learned {
    flights: Vec<Flight>,
    holds: Holds,
    bias: f64,
    observed: Time,
    failures: u32,
    paused: Time,
    /// When the place was first seen, or came back.
    pub(super) since: Time,
    /// When the last request was sent.
    pub(super) last: Time,
}

/// Own requests that a report doesn't include.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct SentSince {
    pub(super) requests: u32,
    pub(super) tokens: u64,
}

impl Learned {
    pub(super) fn new(since: Time) -> Learned {
        Learned {
            flights: Vec::new(),
            holds: Holds::default(),
            bias: 1.0,
            observed: since,
            failures: 0,
            paused: Time::ZERO,
            since,
            last: Time::ZERO,
        }
    }

    /// Notes a request that is sent; `base` is the predicted time without the learned ratio.
    pub(super) fn send(
        &mut self,
        now: Time,
        ticket: Ticket,
        tokens: Tokens,
        base: f64,
        predicted: f64,
    ) {
        self.last = now;
        let flight = Flight { ticket, sent: now, tokens, base, predicted, first: None };
        self.flights.push(flight);
    }

    /// Notes the first token of a request, and learns from its time.
    pub(super) fn first_token(&mut self, now: Time, ticket: Ticket) {
        let Some(flight) = self.flights.iter_mut().find(|it| it.ticket == ticket) else {
            return;
        };
        flight.first = Some(now);
        let took = (now - flight.sent).as_secs_f64();
        let ratio = took.max(SHORTEST) / flight.base.max(SHORTEST);
        self.failures = 0;
        self.observe(now, ratio);
    }

    fn observe(&mut self, now: Time, ratio: f64) {
        let (low, high) = BIAS_RANGE;
        let bias = self.bias(now);
        self.bias = (bias + GAIN * (ratio.clamp(low, high) - bias)).clamp(low, high);
        self.observed = now;
    }

    /// Takes an ended request out. One that ended without a first token has shown that the place
    /// needs at least the time that it waited.
    pub(super) fn end(&mut self, now: Time, ticket: Ticket) {
        let Some(flight) = self.take(ticket) else {
            return;
        };
        if let Some(first) = flight.first {
            return self.holds.note(now, (now - first).as_secs_f64());
        }
        let ratio = (now - flight.sent).as_secs_f64() / flight.base.max(SHORTEST);
        if ratio > self.bias(now) {
            self.observe(now, ratio);
        }
    }

    fn take(&mut self, ticket: Ticket) -> Option<Flight> {
        let place = self.flights.iter().position(|it| it.ticket == ticket)?;
        Some(self.flights.remove(place))
    }

    /// Takes a failed request out and pauses the place, longer with each failure in a row.
    pub(super) fn fail(&mut self, now: Time, ticket: Ticket) {
        self.take(ticket);
        self.paused = now + FIRST_PAUSE * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
    }

    /// Whether failures keep the place from being used.
    pub(super) fn is_paused(&self, now: Time) -> bool {
        now < self.paused
    }

    /// Ratio of observed to predicted times.
    pub(super) fn bias(&self, now: Time) -> f64 {
        let halvings = (now - self.observed).as_secs_f64() / BIAS_HALF_LIFE.as_secs_f64();
        1.0 + (self.bias - 1.0) * (-halvings).exp2()
    }

    /// Seconds that a request holds its slot after its first token: the time that ended and
    /// running requests have held theirs, for each ended one. `reported` counts as a few of them.
    pub(super) fn hold(&self, now: Time, reported: f64) -> f64 {
        let holds = self.holds.aged(now);
        let running = self.flights.iter().filter_map(|it| it.first);
        let running: f64 = running.map(|it| (now - it).as_secs_f64()).sum();
        let seconds = reported * REPORTED_WEIGHT + holds.seconds + running;
        seconds / (REPORTED_WEIGHT + holds.ended)
    }

    /// Own requests sent after `reading`.
    pub(super) fn sent_since(&self, reading: Time) -> SentSince {
        let mut since = SentSince::default();
        for flight in self.flights.iter().rev().take_while(|it| it.sent > reading) {
            since.requests += 1;
            since.tokens += flight.tokens.0;
        }
        since
    }

    /// Tokens that wait now: `reported` at `reading`, plus own sends since, each taken `senders`
    /// times, less what is processed at `speed` tokens a second in between.
    pub(super) fn backlog(
        &self,
        now: Time,
        reading: Time,
        reported: f64,
        senders: f64,
        speed: f64,
    ) -> f64 {
        let start = self.flights.partition_point(|it| it.sent <= reading);
        let mut backlog = reported;
        let mut last = reading;
        for flight in &self.flights[start..] {
            let processed = (flight.sent - last).as_secs_f64() * speed;
            backlog = (backlog - processed).max(0.0) + flight.tokens.0 as f64 * senders;
            last = flight.sent;
        }
        (backlog - (now - last).as_secs_f64() * speed).max(0.0)
    }

    /// Seconds by which the first token of some request is later than predicted.
    pub(super) fn overdue(&self, now: Time) -> f64 {
        let late = |it: &Flight| (now - it.sent).as_secs_f64() - it.predicted;
        let waiting = self.flights.iter().filter(|it| it.is_waiting());
        waiting.map(late).fold(0.0, f64::max)
    }

    /// Requests that haven't ended.
    pub(super) fn in_flight(&self) -> usize {
        self.flights.len()
    }
}

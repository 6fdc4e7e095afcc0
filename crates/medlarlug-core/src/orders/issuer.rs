//! The core that issues orders while it holds a lease.

use std::time::Duration;

use crate::{
    ids::{Term, UpstreamId},
    orders::{
        bucket::TokenBucket,
        order::{Fence as FencingToken, Order, Task},
    },
    time::Time,
    units::Rate,
};

/// Durations and limits of an [`Issuer`]; equal on all instances of a region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing {
    /// Lease duration that is requested.
    pub lease_duration: Duration,
    /// Interval of requests for the lease.
    pub renewal_interval: Duration,
    /// Longest time between the sending of an order and its arrival at an engine.
    pub delivery_time: Duration,
    /// Time after which an order counts as unanswered; at least `delivery_time`.
    pub answer_timeout: Duration,
    /// Largest relative difference in speed between two clocks of the region: 0.01 is 1 %.
    pub clock_drift: f64,
    /// Loads per second that the weight store of the region permits.
    pub load_rate: Rate,
    /// Loads that may be started at once after a pause.
    pub load_burst: u32,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            lease_duration: Duration::from_secs(10),
            renewal_interval: Duration::from_secs(3),
            delivery_time: Duration::from_secs(5),
            answer_timeout: Duration::from_secs(30),
            clock_drift: 0.01,
            load_rate: Rate::try_from(0.5).expect("above zero"),
            load_burst: 2,
        }
    }
}

/// An input of an [`Issuer`].
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The home group granted the lease, in response to the request with this token.
    Granted {
        /// Token of [`Effect::Acquire`].
        token: u64,
        /// Term of the lease.
        term: Term,
        /// Duration of the lease, counted from when it was requested.
        duration: Duration,
    },
    /// Another instance holds the lease.
    HeldElsewhere,
    /// A task that has to be ordered.
    Requested {
        /// Operation and its engine; ignored while the same task is in flight.
        task: Task,
        /// Whether the engine checks fencing tokens.
        fencing: bool,
    },
    /// The engine answered an order.
    Answered {
        /// The engine.
        upstream: UpstreamId,
        /// Fencing token of the order.
        fence: FencingToken,
    },
    /// Time has passed.
    Tick,
}

/// An action that the embedding program carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Request the lease from the home group.
    Acquire {
        /// Identifies the request in [`Event::Granted`].
        token: u64,
        /// Lease duration to request.
        duration: Duration,
    },
    /// Send an order immediately, or drop it if it can't be sent within the delivery time.
    Send(Order),
    /// An order was not answered in time. Whether it was carried out is not known.
    TimedOut(Order),
}

/// A lease, measured by the holder's own clock.
#[derive(Debug, Clone, Copy)]
struct Lease {
    term: Term,
    until: Time,
    /// Time from which orders may be sent to engines that don't check fencing tokens.
    unfenced_from: Time,
}

/// An order that was sent and has not been answered yet.
#[derive(Debug, Clone)]
struct InFlightOrder {
    order: Order,
    sent_at: Time,
}

/// A task that has not been ordered yet.
#[derive(Debug, Clone, PartialEq, Eq)]
struct WaitingTask {
    task: Task,
    fencing: bool,
}

/// Issues orders while it holds the lease.
///
/// An engine is sent one order at a time: the next one follows when the previous one is answered or
/// has timed out, so that orders can't overtake each other.
///
/// For engines that don't check fencing tokens, safety rests on two bounds: the speeds of clocks
/// differ by [`Timing::clock_drift`] at most, and an order arrives within
/// [`Timing::delivery_time`] of the [`Effect::Send`] or never.
///
/// ```
/// use medlarlug_core::{
///     orders::{Effect, Event, Issuer, Timing},
///     time::Time,
/// };
///
/// let mut issuer = Issuer::new(Timing::default());
/// let mut out = Vec::new();
/// issuer.handle(Time::ZERO, Event::Tick, &mut out);
/// assert!(matches!(out[..], [Effect::Acquire { token: 1, .. }]));
/// ```
#[derive(Debug, Clone)]
pub struct Issuer {
    timing: Timing,
    lease: Option<Lease>,
    bucket: TokenBucket,
    sequence: u64,
    token: u64,
    lease_requests: Vec<(u64, Time)>,
    lease_request: Time,
    waiting: Vec<WaitingTask>,
    in_flight: Vec<InFlightOrder>,
}

/// Most requests for the lease whose responses are still accepted.
const MAX_PENDING_LEASE_REQUESTS: usize = 8;

impl Issuer {
    /// Creates an issuer without a lease.
    pub fn new(timing: Timing) -> Issuer {
        Issuer {
            timing,
            lease: None,
            bucket: TokenBucket::empty(Time::ZERO, timing.load_rate, timing.load_burst),
            sequence: 0,
            token: 0,
            lease_requests: Vec::new(),
            lease_request: Time::ZERO,
            waiting: Vec::new(),
            in_flight: Vec::new(),
        }
    }

    /// End of the lease; `None` without one. To be checked again right before an order is written to
    /// the connection, since the process may have been suspended in between.
    pub fn lease_end(&self) -> Option<Time> {
        self.lease.map(|it| it.until)
    }

    /// Term of the lease, if it is valid at `now`.
    pub fn term(&self, now: Time) -> Option<Term> {
        self.lease.filter(|it| now < it.until).map(|it| it.term)
    }

    /// Orders that were sent and have not been answered.
    pub fn in_flight_orders(&self) -> impl Iterator<Item = &Order> {
        self.in_flight.iter().map(|it| &it.order)
    }

    /// Tasks that have not been ordered yet, in the order in which they were requested.
    pub fn waiting_tasks(&self) -> impl Iterator<Item = &Task> {
        self.waiting.iter().map(|it| &it.task)
    }

    /// Handles an event at `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Granted { token, term, duration } => self.on_granted(now, token, term, duration),
            Event::HeldElsewhere | Event::Tick => {}
            Event::Requested { task, fencing } => self.add_task(task, fencing),
            Event::Answered { upstream, fence } => {
                self.in_flight
                    .retain(|it| it.order.fence != fence || it.order.task.upstream != upstream);
            }
        }
        if now >= self.lease_request {
            self.request_lease(now, out);
        }
        self.expire_orders(now, out);
        self.send(now, out);
    }

    fn request_lease(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.token += 1;
        self.lease_request = now + self.timing.renewal_interval;
        if self.lease_requests.len() == MAX_PENDING_LEASE_REQUESTS {
            self.lease_requests.remove(0);
        }
        self.lease_requests.push((self.token, now));
        out.push(Effect::Acquire { token: self.token, duration: self.timing.lease_duration });
    }

    fn on_granted(&mut self, now: Time, token: u64, term: Term, duration: Duration) {
        let Ok(found) = self.lease_requests.binary_search_by_key(&token, |(token, _)| *token)
        else {
            return;
        };
        let (_, requested_at) = self.lease_requests.remove(found);
        let until = requested_at + duration.div_f64(1.0 + self.timing.clock_drift);
        match &mut self.lease {
            Some(lease) if lease.term == term => lease.until = lease.until.max(until),
            Some(lease) if lease.term > term => {}
            _ => self.begin_term(now, term, until),
        }
    }

    fn begin_term(&mut self, now: Time, term: Term, until: Time) {
        let unfenced_from = now + self.max_delivery_time();
        self.lease = Some(Lease { term, until, unfenced_from });
        self.sequence = 0;
        self.bucket = TokenBucket::empty(now, self.timing.load_rate, self.timing.load_burst);
    }

    /// The longest delivery time of an order, as this process's clock may measure it.
    fn max_delivery_time(&self) -> Duration {
        self.timing.delivery_time.mul_f64(1.0 + self.timing.clock_drift)
    }

    fn add_task(&mut self, task: Task, fencing: bool) {
        let is_in_flight = self.in_flight.iter().any(|it| it.order.task == task);
        let waiting = WaitingTask { task, fencing };
        if !is_in_flight && !self.waiting.contains(&waiting) {
            self.waiting.push(waiting);
        }
    }

    fn expire_orders(&mut self, now: Time, out: &mut Vec<Effect>) {
        let timeout = self.timing.answer_timeout.max(self.max_delivery_time());
        self.in_flight.retain(|it| {
            let is_in_flight = now - it.sent_at < timeout;
            if !is_in_flight {
                out.push(Effect::TimedOut(it.order.clone()));
            }
            is_in_flight
        });
    }

    fn send(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(lease) = self.lease.filter(|it| now < it.until) else {
            return;
        };
        let mut index = 0;
        let mut blocked: Vec<UpstreamId> = Vec::new();
        while index < self.waiting.len() {
            if !self.is_ready(now, &lease, &blocked, index) {
                blocked.push(self.waiting[index].task.upstream.clone());
                index += 1;
                continue;
            }
            let task = self.waiting.remove(index).task;
            self.sequence += 1;
            let fence = FencingToken { term: lease.term, sequence: self.sequence };
            let order = Order { fence, task };
            self.in_flight.push(InFlightOrder { order: order.clone(), sent_at: now });
            out.push(Effect::Send(order));
        }
    }

    /// Whether the waiting task at `index` may be ordered. `blocked` lists the engines that have an
    /// earlier task waiting. Takes a token of the load rate if the task is a load.
    fn is_ready(&mut self, now: Time, lease: &Lease, blocked: &[UpstreamId], index: usize) -> bool {
        let WaitingTask { task, fencing } = &self.waiting[index];
        let is_busy = self.in_flight.iter().any(|it| it.order.task.upstream == task.upstream);
        if is_busy || blocked.contains(&task.upstream) {
            return false;
        }
        if !fencing && now < lease.unfenced_from {
            return false;
        }
        !task.kind.is_load() || self.bucket.take(now)
    }
}

//! The core that issues orders under a lease.

use std::time::Duration;

use crate::{
    ids::{Term, UpstreamId},
    orders::{
        bucket::TokenBucket,
        order::{FencingToken, Order, Task},
    },
    time::Time,
    units::Rate,
};

/// Durations and limits of an [`Issuer`]; equal on all instances of a region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing {
    /// Length of a lease, as asked for.
    pub lease_duration: Duration,
    /// Time between two requests for the lease.
    pub renewal_interval: Duration,
    /// Longest time between the sending of an order and its arrival at an engine.
    pub max_delivery_time: Duration,
    /// Time after which an unanswered order is given up; at least `flight`.
    pub answer_timeout: Duration,
    /// Most that two clocks of the region can differ in speed: 0.01 is one part in a hundred.
    pub max_clock_drift: f64,
    /// Loads a second that the region's weight store permits.
    pub load_rate: Rate,
    /// Loads that may be started at once after a pause.
    pub load_burst: u32,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            lease_duration: Duration::from_secs(10),
            renewal_interval: Duration::from_secs(3),
            max_delivery_time: Duration::from_secs(5),
            answer_timeout: Duration::from_secs(30),
            max_clock_drift: 0.01,
            load_rate: Rate::try_from(0.5).expect("above zero"),
            load_burst: 2,
        }
    }
}

/// An event for an [`Issuer`].
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The home group answered the request for a lease with this token.
    Granted {
        /// Token of [`Effect::Acquire`].
        token: u64,
        /// Term of the lease.
        term: Term,
        /// Its length, from when it was asked for.
        duration: Duration,
    },
    /// Another instance holds the lease.
    HeldElsewhere,
    /// A task to order, and whether its engine checks fencing numbers.
    Requested {
        /// The task.
        task: Task,
        /// Whether the engine refuses an old fencing number.
        fencing: bool,
    },
    /// The engine answered an order.
    Answered {
        /// The engine.
        upstream: UpstreamId,
        /// Fencing number of the order.
        fence: FencingToken,
    },
    /// Time has passed.
    Tick,
}

/// What an [`Issuer`] wants to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Ask the home group for the lease.
    Acquire {
        /// Names the request.
        token: u64,
        /// Length to ask for.
        duration: Duration,
    },
    /// Send an order at once; drop it when it can't leave within the flight time.
    Send(Order),
    /// An order was not answered in time; whether it was carried out is not known.
    TimedOut(Order),
}

/// A lease, as measured on the holder's own clock.
#[derive(Debug, Clone, Copy)]
struct Lease {
    term: Term,
    until: Time,
    /// From when on engines may be ordered that don't check fencing numbers.
    settled: Time,
}

/// An order that is not answered yet.
#[derive(Debug, Clone)]
struct Open {
    order: Order,
    sent: Time,
}

/// A task that waits to be ordered.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Waiting {
    task: Task,
    fencing: bool,
}

/// Issues orders while it holds the lease.
///
/// An engine is sent one order at a time: the next one follows when the last one is answered or
/// given up, so that orders can't overtake each other.
///
/// The bounds that safety rests on, for engines that don't check fencing numbers: clocks differ in
/// speed by [`Timing::max_clock_drift`] at most, and an order arrives within [`Timing::max_delivery_time`] of the
/// [`Effect::Send`] or never.
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
    asked: Vec<(u64, Time)>,
    next_ask: Time,
    waiting: Vec<Waiting>,
    open: Vec<Open>,
}

/// Requests for the lease whose answers are still awaited.
const MAX_OPEN_REQUESTS: usize = 8;

impl Issuer {
    /// An issuer without a lease.
    pub fn new(timing: Timing) -> Issuer {
        Issuer {
            timing,
            lease: None,
            bucket: TokenBucket::empty(Time::ZERO, timing.load_rate, timing.load_burst),
            sequence: 0,
            token: 0,
            asked: Vec::new(),
            next_ask: Time::ZERO,
            waiting: Vec::new(),
            open: Vec::new(),
        }
    }

    /// Whether the lease is valid at `now`. To be asked again right before an order is written.
    pub fn may_send(&self, now: Time) -> bool {
        self.lease.is_some_and(|it| now < it.until)
    }

    /// Term of the lease that is valid at `now`.
    pub fn term(&self, now: Time) -> Option<Term> {
        self.lease.filter(|it| now < it.until).map(|it| it.term)
    }

    /// Orders that are sent and not answered.
    pub fn open_orders(&self) -> impl Iterator<Item = &Order> {
        self.open.iter().map(|it| &it.order)
    }

    /// Tasks that are not ordered yet, in the order in which they were wanted.
    pub fn waiting_tasks(&self) -> impl Iterator<Item = &Task> {
        self.waiting.iter().map(|it| &it.task)
    }

    /// Takes an event in at `now` and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Granted { token, term, duration } => self.on_grant(now, token, term, duration),
            Event::HeldElsewhere | Event::Tick => {}
            Event::Requested { task, fencing } => self.want(task, fencing),
            Event::Answered { upstream, fence } => {
                self.open
                    .retain(|it| it.order.fence != fence || it.order.task.upstream != upstream);
            }
        }
        if now >= self.next_ask {
            self.ask(now, out);
        }
        self.give_up(now, out);
        self.send(now, out);
    }

    fn ask(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.token += 1;
        self.next_ask = now + self.timing.renewal_interval;
        if self.asked.len() == MAX_OPEN_REQUESTS {
            self.asked.remove(0);
        }
        self.asked.push((self.token, now));
        out.push(Effect::Acquire { token: self.token, duration: self.timing.lease_duration });
    }

    fn on_grant(&mut self, now: Time, token: u64, term: Term, duration: Duration) {
        let Ok(found) = self.asked.binary_search_by_key(&token, |(token, _)| *token) else {
            return;
        };
        let (_, asked) = self.asked.remove(found);
        let until = asked + duration.div_f64(1.0 + self.timing.max_clock_drift);
        match &mut self.lease {
            Some(lease) if lease.term == term => lease.until = lease.until.max(until),
            Some(lease) if lease.term > term => {}
            _ => self.begin_term(now, term, until),
        }
    }

    fn begin_term(&mut self, now: Time, term: Term, until: Time) {
        let settled = now + self.flight();
        self.lease = Some(Lease { term, until, settled });
        self.sequence = 0;
        self.bucket = TokenBucket::empty(now, self.timing.load_rate, self.timing.load_burst);
    }

    /// The longest flight of an order, as this process's clock may measure it.
    fn flight(&self) -> Duration {
        self.timing.max_delivery_time.mul_f64(1.0 + self.timing.max_clock_drift)
    }

    fn want(&mut self, task: Task, fencing: bool) {
        let is_open = self.open.iter().any(|it| it.order.task == task);
        let waiting = Waiting { task, fencing };
        if !is_open && !self.waiting.contains(&waiting) {
            self.waiting.push(waiting);
        }
    }

    fn give_up(&mut self, now: Time, out: &mut Vec<Effect>) {
        let patience = self.timing.answer_timeout.max(self.flight());
        self.open.retain(|it| {
            let is_open = now - it.sent < patience;
            if !is_open {
                out.push(Effect::TimedOut(it.order.clone()));
            }
            is_open
        });
    }

    fn send(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(lease) = self.lease.filter(|it| now < it.until) else {
            return;
        };
        let mut place = 0;
        let mut passed: Vec<UpstreamId> = Vec::new();
        while place < self.waiting.len() {
            if !self.is_ready(now, &lease, &passed, place) {
                passed.push(self.waiting[place].task.upstream.clone());
                place += 1;
                continue;
            }
            let task = self.waiting.remove(place).task;
            self.sequence += 1;
            let fence = FencingToken { term: lease.term, sequence: self.sequence };
            let order = Order { fence, task };
            self.open.push(Open { order: order.clone(), sent: now });
            out.push(Effect::Send(order));
        }
    }

    /// Whether the waiting task at `place` may be ordered; `passed` names the engines that have
    /// an earlier one waiting. Takes a token of the weight store for a load.
    fn is_ready(&mut self, now: Time, lease: &Lease, passed: &[UpstreamId], place: usize) -> bool {
        let Waiting { task, fencing } = &self.waiting[place];
        let is_busy = self.open.iter().any(|it| it.order.task.upstream == task.upstream);
        if is_busy || passed.contains(&task.upstream) {
            return false;
        }
        if !fencing && now < lease.settled {
            return false;
        }
        !task.kind.is_load() || self.bucket.take(now)
    }
}

//! Room in the memory of engines, and the shares of teams while there is too little of it; see
//! [`engine_memory`](medlarlug_core::gateway::engine_memory) and
//! [`fair_share`](medlarlug_core::gateway::fair_share). Active only in deployments whose settings
//! say that engines crash when their memory is exceeded.

use std::{cell::RefCell, rc::Rc, time::Duration};

use medlarlug_core::{
    gateway::{
        engine_memory::{Booking, BookingReport, EngineMemory, RoomTry},
        fair_share::{self, FairShare, Holder, Request, Standing, Waiter},
        peer_loads::{ReportSource, UpstreamKey},
        placement::{Choice, Demand},
        prefill_queue::{PrefillDecision, QueueWaits},
    },
    ids::{InstanceId, UpstreamId},
    time::Time,
};
use rand::RngExt;

use super::{Entry, call::Call, choice::Hop, plan::Plan};
use crate::metrics as names;

/// Shortest wait to be expected at engines without room: a few intervals in which waiting calls
/// check for it.
const MIN_ROOM_WAIT: Duration = Duration::from_millis(150);
/// Time before the first broken connection of a crash in which bookings above the memory explain
/// it: an engine that runs out of memory crashes within a few steps.
const EXCESS_WINDOW: Duration = Duration::from_secs(1);

/// Bookings, shares and waits at this instance.
#[derive(Debug, Default)]
pub(super) struct PressureState {
    pub(super) memory: RefCell<EngineMemory>,
    shares: RefCell<FairShare>,
    waits: RefCell<QueueWaits>,
}

/// Counts a call that waits for admission in the shares and at its engine, until it is dropped.
pub(super) struct MemoryWait {
    entry: Rc<Entry>,
    waiter: Waiter,
    upstream: UpstreamId,
}

impl MemoryWait {
    pub(super) fn begin(entry: &Rc<Entry>, plan: &Plan, choice: &Choice) -> MemoryWait {
        let engine = (!choice.lacks_room).then(|| choice.id.clone());
        let waiter = Waiter { holder: plan.holder(), priority: plan.route.priority, engine };
        entry.pressure.shares.borrow_mut().enqueue(waiter.clone());
        if choice.lacks_room {
            entry.pressure.memory.borrow_mut().enqueue(&choice.id);
        }
        MemoryWait { entry: entry.clone(), waiter, upstream: choice.id.clone() }
    }

    /// Whether it waits for the same as a call with `choice`.
    pub(super) fn matches(&self, choice: &Choice) -> bool {
        self.upstream == choice.id && self.waiter.engine.is_none() == choice.lacks_room
    }
}

impl Drop for MemoryWait {
    fn drop(&mut self) {
        self.entry.pressure.shares.borrow_mut().dequeue(&self.waiter);
        if self.waiter.engine.is_none() {
            self.entry.pressure.memory.borrow_mut().dequeue(&self.upstream);
        }
    }
}

/// What a call has booked at an engine, until it is dropped.
pub(super) struct BookedCall {
    entry: Rc<Entry>,
    upstream: UpstreamId,
    booking: Booking,
}

impl BookedCall {
    /// Records that the connection to the engine broke.
    pub(super) fn record_break(&self) {
        let memory = &self.entry.pressure.memory;
        memory.borrow_mut().record_break(self.entry.now(), &self.upstream);
    }
}

impl Drop for BookedCall {
    fn drop(&mut self) {
        let is_urgent = {
            let mut memory = self.entry.pressure.memory.borrow_mut();
            let is_urgent = memory.is_urgent(&self.booking);
            memory.release(self.entry.now(), &self.booking);
            is_urgent
        };
        if is_urgent {
            self.entry.exchange.report_bookings_at_once(&self.upstream);
        }
    }
}

impl Entry {
    /// Whether engines crash when their memory is exceeded.
    pub(crate) fn has_pressure(&self) -> bool {
        self.settings.borrow().has_pressure
    }

    /// Books the tokens of a call that is sent to an engine and counts them for its team.
    pub(super) fn book(
        self: &Rc<Self>,
        hop: &Hop,
        demand: &Demand,
        holder: &Holder,
    ) -> Option<BookedCall> {
        let Hop::Upstream { choice, memory, .. } = hop else { return None };
        if *memory == 0 || !self.has_pressure() {
            return None;
        }
        let now = self.now();
        let (booking, is_urgent) = {
            let mut bookings = self.pressure.memory.borrow_mut();
            let booking = bookings.book(now, &choice.id, *memory, demand);
            let is_urgent = bookings.is_urgent(&booking);
            (booking, is_urgent)
        };
        let tokens = u64::from(demand.prompt_tokens) + u64::from(demand.output_tokens);
        self.pressure.shares.borrow_mut().record_admitted(now, holder, tokens);
        if is_urgent {
            self.exchange.report_bookings_at_once(&choice.id);
        }
        Some(BookedCall { entry: self.clone(), upstream: choice.id.clone(), booking })
    }

    /// The time that a call with this choice has to expect until an engine has room for it.
    pub(super) fn room_wait(&self, choice: &Choice) -> Duration {
        match choice.lacks_room {
            true => self.pressure.waits.borrow().expected(self.now()).max(MIN_ROOM_WAIT),
            false => Duration::ZERO,
        }
    }

    /// Predicted time to the first token or the answer, with the wait for room at an engine.
    pub(super) fn predicted_wait(&self, hop: &Hop) -> Duration {
        match hop {
            Hop::Upstream { choice, .. } => hop.wait() + self.room_wait(choice),
            Hop::Peer { .. } => hop.wait(),
        }
    }

    /// Records that a call for engines has arrived, so that its team has a part.
    pub(super) fn record_demand(&self, plan: &Plan) {
        if self.has_pressure() && plan.is_on_engines() {
            self.pressure.shares.borrow_mut().record_call(self.now(), &plan.holder());
        }
    }

    /// The standing of a call's team; `None` if shares don't matter.
    pub(super) fn standing(&self, plan: &Plan) -> Option<Standing> {
        let matters = self.has_pressure() && plan.is_on_engines();
        matters.then(|| self.pressure.shares.borrow().standing(self.now(), &plan.holder()))
    }

    /// Decides whether a call is sent to its engine, which may have no room for it.
    pub(super) fn admit(
        &self,
        plan: &Plan,
        call: &Call,
        choice: &Choice,
        memory: u64,
    ) -> PrefillDecision {
        let now = self.now();
        let peers = self.exchange.instances();
        let is_first = plan.attempts.arrivals() == 0;
        let began = if is_first { plan.began } else { plan.room_wait_since.unwrap_or(now) };
        let holder = plan.holder();
        let is_long = is_first && choice.is_long();
        // A call that has run has had its turn.
        let is_next = !is_first
            || self.pressure.shares.borrow().is_next(
                &holder,
                plan.route.priority,
                &choice.id,
                is_long,
            );
        let can_prefill = !is_long || self.loads.borrow().can_admit(now, choice, peers);
        let standing = self.pressure.shares.borrow().standing(now, &holder);
        let engines = choice.roomy_engines;
        let draw = rand::rng().random();
        let conditions = RoomTry { memory, peers, engines, standing, draw };
        // An instance may try to take room only at intervals, so a call that can't be sent anyway
        // must not use up a try.
        let has_room = !choice.lacks_room
            && (!is_next || !can_prefill || self.may_take_room(now, call, choice, conditions));
        let request = Request {
            has_room,
            can_prefill,
            is_next,
            waited: now - began,
            objective: plan.route.objective,
            priority: plan.route.priority,
            standing,
        };
        let decision = fair_share::decide(request);
        if decision != PrefillDecision::Wait {
            if is_long {
                self.queue_waits.borrow_mut().record(now, request.waited);
            }
            if let Some(since) = plan.room_wait_since {
                self.pressure.waits.borrow_mut().record(now, now - since);
                metrics::histogram!(names::ROOM_WAIT_SECONDS).record((now - since).as_secs_f64());
            }
        }
        if decision == PrefillDecision::Refuse {
            let standing = match request.standing {
                Standing::Below => "below",
                Standing::Even => "even",
                Standing::Over => "over",
            };
            metrics::counter!(names::ROOM_REFUSALS, "standing" => standing).increment(1);
        }
        decision
    }

    fn may_take_room(&self, now: Time, call: &Call, choice: &Choice, conditions: RoomTry) -> bool {
        let mut bookings = self.pressure.memory.borrow_mut();
        bookings.may_take(now, &choice.id, &call.demand, conditions)
    }

    /// Whether more was booked at an engine than its memory holds shortly before its connections
    /// broke at `when`.
    pub(super) fn has_exceeded_memory(&self, id: &UpstreamId, when: Time) -> bool {
        let since = when.saturating_sub(EXCESS_WINDOW);
        self.has_pressure() && self.pressure.memory.borrow().has_exceeded(id, since)
    }

    /// The bookings of this instance at all engines.
    pub(crate) fn booking_report(&self) -> Vec<BookingReport> {
        self.pressure.memory.borrow().report()
    }

    /// The bookings of this instance at the given engines, sorted.
    pub(crate) fn booking_report_of(&self, upstreams: &[UpstreamId]) -> Vec<BookingReport> {
        let memory = self.pressure.memory.borrow();
        let mut reports: Vec<BookingReport> =
            upstreams.iter().map(|id| memory.report_of(id)).collect();
        reports.sort_by_key(|it| it.upstream);
        reports
    }

    /// The bookings of all instances of the region but `to`.
    pub(crate) fn bookings_for(
        &self,
        to: &InstanceId,
        only: Option<&[UpstreamKey]>,
    ) -> Vec<BookingReport> {
        self.pressure.memory.borrow().aggregate_for(to, only)
    }

    /// The bookings of all instances of the own zone.
    pub(crate) fn zone_bookings(&self, only: Option<&[UpstreamKey]>) -> Vec<BookingReport> {
        self.pressure.memory.borrow().zone_aggregate(only)
    }

    /// Removes bookings of peers that have been silent for too long.
    pub(crate) fn expire_bookings(&self) {
        self.pressure.memory.borrow_mut().drop_expired(self.now());
    }

    /// Applies what other instances have booked: at all engines, or at some.
    pub(crate) fn apply_bookings(
        &self,
        source: ReportSource,
        is_whole: bool,
        reports: Vec<BookingReport>,
    ) {
        let now = self.now();
        let mut memory = self.pressure.memory.borrow_mut();
        match is_whole {
            true => memory.apply_report(now, source, reports),
            false => reports.into_iter().for_each(|it| memory.apply_change(now, &source, it)),
        }
    }
}

//! Calls to brittle upstreams wait at their instance for a slot; see
//! [`medlarlug_core::gateway::brittle`].

use std::{cell::RefCell, rc::Rc, time::Duration};

use hyper::HeaderMap;
use medlarlug_core::{
    gateway::{
        brittle::{
            Answered, BrittleHeader, BrittleNotice, BrittleServices, RefusalTolerance, SlotQueue,
            SlotUse, Ticket, ToleranceError,
        },
        pace::Part,
        table::ServiceName,
        upstreams::KnownUpstream,
    },
    ids::{InstanceId, UpstreamId},
    time::Time,
};
use rand::RngExt;

use super::{Entry, LimitMessage, call::Call, choice::Hop, plan::Plan};
use crate::metrics as names;

/// Time between two checks of a call at the front of the queue whether a slot is free.
pub(super) const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two checks of other calls whether they have come to the front.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// The brittle services that this instance knows, and the calls that wait for their slots.
#[derive(Debug, Default)]
pub(super) struct BrittleState {
    services: RefCell<BrittleServices>,
    /// Sorted by service.
    queues: RefCell<Vec<(ServiceName, SlotQueue)>>,
}

/// A call that waits for a slot, until it is dropped.
pub(super) struct SlotWait {
    entry: Rc<Entry>,
    service: ServiceName,
    ticket: Ticket,
    until: Time,
}

impl SlotWait {
    /// Starts to wait; `None` if no slot is expected within the latency objective of the route.
    fn begin(entry: &Rc<Entry>, plan: &Plan) -> Option<SlotWait> {
        let now = entry.now();
        let until = (plan.began + plan.route.objective).min(plan.answer_by);
        let (service, priority) = (plan.service.clone(), plan.route.priority);
        if now + entry.expected_slot_wait(plan)? > until {
            return None;
        }
        let ticket = entry.with_queue(&service, |queue| queue.enqueue(priority));
        metrics::counter!(names::SLOT_WAITS).increment(1);
        Some(SlotWait { entry: entry.clone(), service, ticket, until })
    }

    /// Whether no slot has become free in time.
    fn is_over(&self) -> bool {
        self.entry.now() >= self.until
    }

    /// Whether the call may take a slot that is free now.
    fn is_next(&self) -> bool {
        self.entry.with_queue(&self.service, |queue| queue.is_next(self.ticket))
    }
}

impl Drop for SlotWait {
    fn drop(&mut self) {
        self.entry.with_queue(&self.service, |queue| queue.remove(self.ticket));
    }
}

impl Plan {
    /// Whether the call has to wait for a slot of a brittle upstream: it has no hop, and a slot is
    /// expected in time.
    pub(super) fn waits_for_slot(&mut self, entry: &Rc<Entry>, hop: Option<&Hop>) -> bool {
        let lacks_slot = || entry.must_queue(self) || entry.lacks_slot(self);
        if hop.is_some() || !self.attempts.may_send() || !lacks_slot() {
            self.slot_wait = None;
            return false;
        }
        if let Some(wait) = &self.slot_wait {
            return !wait.is_over();
        }
        self.slot_wait = SlotWait::begin(entry, self);
        self.slot_wait.is_some()
    }

    /// Time until the call checks again whether a slot is free.
    pub(super) fn slot_poll_interval(&self) -> Duration {
        match self.slot_wait.as_ref().is_none_or(SlotWait::is_next) {
            true => SLOT_POLL_INTERVAL,
            false => QUEUE_POLL_INTERVAL,
        }
    }
}

/// Parses what the head of an answer says about its upstream.
fn parse_header(entry: &Entry, id: &UpstreamId, headers: &HeaderMap) -> BrittleHeader {
    let Some(value) = headers.get(&entry.names.brittle) else { return BrittleHeader::Absent };
    let tolerance: Result<RefusalTolerance, ToleranceError> =
        value.to_str().unwrap_or_default().parse();
    match tolerance {
        Ok(tolerance) => BrittleHeader::Brittle(tolerance),
        Err(error) => {
            tracing::warn!(upstream = %id, ?value, %error, "invalid tolerance of a brittle upstream; keeping the previous one, or else none");
            BrittleHeader::Invalid
        }
    }
}

impl Entry {
    /// Records what the head of an answer says about whether its upstream is brittle, and whether it
    /// refused the request.
    pub(super) fn record_brittle(&self, call: &Call, answered: Answered, headers: &HeaderMap) {
        let header = parse_header(self, answered.id, headers);
        // Only an answer of the upstream itself can end it, not one of an intermediary.
        if header == BrittleHeader::Absent && !headers.contains_key(&self.names.signature) {
            return;
        }
        let now = self.now();
        let Answered { service, id, birth, .. } = answered;
        let mut services = self.brittle.services.borrow_mut();
        if let Some(notice) = services.record_answer(now, answered, header) {
            let tolerance = notice.tolerance.map(tracing::field::display);
            tracing::info!(request = %call.id, %service, upstream = %id, birth = birth.0, tolerance, "brittle upstream");
            if notice.tolerance.is_some() {
                metrics::counter!(names::BRITTLE_UPSTREAMS).increment(1);
            }
            self.send_to_region(LimitMessage::Brittle(notice));
        }
        if !headers.contains_key(&self.names.not_run) {
            return;
        }
        let held = self.loads.borrow().region_running(now, id, self.exchange.instances());
        if let Some(notice) = services.record_refusal(now, answered, held as u32) {
            tracing::warn!(request = %call.id, upstream = %id, birth = birth.0, held, room = notice.room, "a brittle upstream refused a request");
            self.send_to_region(LimitMessage::Brittle(notice));
        }
    }

    /// Applies what another instance was answered by an upstream.
    pub(super) fn on_brittle_notice(&self, notice: &BrittleNotice) {
        let BrittleNotice { service, upstream, room, .. } = notice;
        let tolerance = notice.tolerance.map(tracing::field::display);
        tracing::info!(%service, %upstream, tolerance, room, "received that an upstream is brittle or not");
        self.brittle.services.borrow_mut().apply(self.now(), notice);
    }

    /// Whether this instance may send another call to an upstream: it is not brittle, or has a slot.
    pub(super) fn has_slot<'a>(
        &self,
        now: Time,
        known: &KnownUpstream,
        entries: impl FnOnce() -> &'a Vec<InstanceId>,
    ) -> bool {
        let Some(room) = self.slot_room(now, known) else { return true };
        let id = &known.upstream.id;
        let mut services = self.brittle.services.borrow_mut();
        let loads = self.loads.borrow();
        let lingering = services.lingering(now, id);
        let own = u32::try_from(loads.running(id)).unwrap_or(u32::MAX).saturating_add(lingering);
        let region = loads.region_running(now, id, self.exchange.instances());
        let entries = entries();
        let count = u32::try_from(entries.len().max(1)).unwrap_or(u32::MAX);
        // The rank matters only for the instances that get one of the slots left over.
        let part = match own == room / count && !room.is_multiple_of(count) {
            true => Part::of(&self.id(), id, entries),
            false => Part { rank: entries.len(), instances: entries.len().max(1) },
        };
        let region = region + f64::from(lingering);
        let is_settled = self.view.borrow().is_settled(now);
        let slots = SlotUse { room, part, own, region, is_settled };
        services.may_send(now, id, slots, rand::rng().random())
    }

    /// Calls that the region may hold at an upstream; `None` if it is not brittle.
    fn slot_room(&self, now: Time, known: &KnownUpstream) -> Option<u32> {
        let upstream = &known.upstream;
        let services = self.brittle.services.borrow();
        services.room(now, &upstream.service, &upstream.id, upstream.birth, upstream.slots)
    }

    /// Whether calls that came before this one wait for a slot.
    pub(super) fn must_queue(&self, plan: &Plan) -> bool {
        if self.brittle.queues.borrow().is_empty() {
            return false;
        }
        match &plan.slot_wait {
            Some(wait) => !wait.is_next(),
            None => self.with_queue(&plan.service, |queue| !queue.is_empty()),
        }
    }

    /// Whether an upstream of the own region could take the call if it had a slot.
    fn lacks_slot(&self, plan: &Plan) -> bool {
        !self.slot_rooms(plan).is_empty()
    }

    /// The rooms of the brittle upstreams of the own region that the call could be sent to.
    fn slot_rooms(&self, plan: &Plan) -> Vec<u32> {
        if self.brittle.services.borrow().is_empty()
            || self.is_isolated()
            || !plan.route.may_be_served_in(&self.settings.borrow().info.region)
        {
            return Vec::new();
        }
        let now = self.now();
        let upstreams = self.upstreams.borrow();
        let usable = upstreams.of_service(&plan.service).filter(|known| {
            plan.may_use(&known.upstream)
                && self.accepts_requests(now, known)
                && !self.healths.borrow().is_avoided(now, &known.upstream.id)
        });
        usable.filter_map(|known| self.slot_room(now, known)).collect()
    }

    /// Expected time until the call gets a slot; `None` if its service is not brittle.
    pub(super) fn expected_slot_wait(&self, plan: &Plan) -> Option<Duration> {
        let rooms = self.slot_rooms(plan);
        if rooms.is_empty() {
            return None;
        }
        let slots: f64 = rooms.into_iter().map(f64::from).sum();
        let own = slots / self.exchange.instances() as f64;
        let priority = plan.route.priority;
        Some(self.with_queue(&plan.service, |queue| queue.expected_wait(priority, own)))
    }

    /// Records that a call is sent to an upstream. While a service is brittle, the other instances are
    /// told at once.
    pub(super) fn record_slot_sent(&self, id: &UpstreamId) {
        let mut services = self.brittle.services.borrow_mut();
        if !services.is_empty() {
            services.record_sent(id);
            self.exchange.report_at_once(id);
        }
    }

    /// Records that a call to an upstream has ended that was sent at `sent`.
    pub(super) fn record_slot_end(
        &self,
        service: &ServiceName,
        id: &UpstreamId,
        sent: Time,
        is_answered: bool,
    ) {
        let mut services = self.brittle.services.borrow_mut();
        if services.is_empty() {
            return;
        }
        let now = self.now();
        match is_answered {
            true => self.with_queue(service, |queue| queue.record_hold(now - sent)),
            false => services.record_abandoned(now, id),
        }
        self.exchange.report_at_once(id);
    }

    /// Forgets services of which no answer says any more that they are brittle.
    pub(super) fn expire_brittle(&self) {
        for service in self.brittle.services.borrow_mut().expire(self.now()) {
            tracing::info!(%service, "service no longer counts as brittle");
        }
        let services = self.brittle.services.borrow();
        if services.is_empty() {
            self.brittle.queues.borrow_mut().retain(|it| !it.1.is_empty());
        }
    }

    fn with_queue<T>(&self, service: &ServiceName, act: impl FnOnce(&mut SlotQueue) -> T) -> T {
        let mut queues = self.brittle.queues.borrow_mut();
        let at = match queues.binary_search_by(|it| it.0.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                queues.insert(at, (service.clone(), SlotQueue::default()));
                at
            }
        };
        act(&mut queues[at].1)
    }
}

//! Admission to the upstreams of the own zone.
//!
//! Requests for one target wait in one queue, which an [`AdmissionQueue`] core orders and bounds. The
//! capacity is somewhat larger than this instance's share of the zone's slots, so that an engine
//! always has the next request waiting when a slot becomes free.

use std::{cell::RefCell, rc::Rc, time::Duration};

use medlarlug_core::{
    admission::{AdmissionPolicy, AdmissionQueue, Arrival, Effect, Event},
    ids::RequestId,
    membership::Target,
    refusal::{Reason, Refusal},
    time::Time,
};
use tokio::sync::oneshot;

use crate::coordination::entry::Entry;

/// Number of in-flight requests for each slot of the zone.
const REQUESTS_PER_SLOT: f64 = 1.25;

/// Minimum time to serve a request; one with less time before its deadline is refused.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(50);

/// A request that applies for admission.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The properties by which the queue orders the request.
    pub arrival: Arrival,
    /// The requested model or service, which selects the queue.
    pub target: Target,
}

struct Queue {
    target: Target,
    admission: AdmissionQueue,
    waiting: Vec<(RequestId, oneshot::Sender<Result<(), Refusal>>)>,
}

/// The admission queues of one instance, sorted by target.
#[derive(Default)]
pub struct ZoneAdmission {
    queues: RefCell<Vec<Queue>>,
}

/// The place of a started request among the in-flight ones; dropping it starts the next request.
pub struct Slot {
    entry: Rc<Entry>,
    target: Target,
    request: RequestId,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let event = Event::Finished { request: self.request.clone() };
        self.entry.admission.handle(self.entry.node.now(), &self.target, event);
    }
}

/// Creates the candidate for a request that arrives at `now`; `cost` is its size in tokens.
pub fn candidate(now: Time, facts: &medlarlug_core::routing::RequestFacts, cost: u32) -> Candidate {
    let arrival = Arrival {
        request: facts.id.clone(),
        team: facts.team.clone(),
        priority: facts.priority,
        deadline: now + facts.deadline,
        min_latency: MIN_SERVICE_TIME,
        cost,
    };
    Candidate { arrival, target: facts.target.clone() }
}

/// Waits until a request may start.
///
/// # Errors
///
/// Fails if the queue refuses the request before it starts.
pub async fn wait_for_slot(entry: &Rc<Entry>, candidate: Candidate) -> Result<Slot, Refusal> {
    let Candidate { arrival, target } = candidate;
    let request = arrival.request.clone();
    let receiver = entry.admission.enqueue(entry.node.now(), &target, arrival);
    let admission = receiver.await;
    admission.unwrap_or_else(|_| Err(entry.refusal(Reason::Overloaded, MIN_SERVICE_TIME)))?;
    Ok(Slot { entry: entry.clone(), target, request })
}

/// The number of requests for a target that this instance may have in flight; 0 if no upstream of
/// the zone serves it.
pub fn capacity(entry: &Entry, target: &Target) -> u32 {
    let now = entry.node.now();
    let members = entry.node.members.borrow();
    let upstreams = members.upstreams(now).filter(|it| it.serves(target));
    let slots: u32 = upstreams.map(|it| it.announcement.slots.0).sum();
    if slots == 0 {
        return 0;
    }
    let zone = &entry.node.own.zone;
    let entries = members.entries(now).iter().filter(|it| it.zone == *zone).count().max(1);
    let share = f64::from(slots) * REQUESTS_PER_SLOT / entries as f64;
    share.ceil() as u32
}

impl ZoneAdmission {
    /// Whether a new request for `target` would have to wait.
    pub fn is_full(&self, target: &Target, capacity: u32) -> bool {
        let queues = self.queues.borrow();
        let found = queues.binary_search_by(|it| it.target.cmp(target));
        found.is_ok_and(|it| queues[it].admission.running() >= capacity as usize)
    }

    /// Sets the number of requests for a target that may be in flight.
    pub fn set_capacity(&self, now: Time, target: &Target, capacity: u32) {
        self.handle(now, target, Event::Capacity(capacity));
    }

    /// The targets that have a queue.
    pub fn targets(&self) -> Vec<Target> {
        self.queues.borrow().iter().map(|it| it.target.clone()).collect()
    }

    /// Number of waiting requests, over all targets.
    pub fn waiting(&self) -> usize {
        self.queues.borrow().iter().map(|it| it.admission.waiting()).sum()
    }

    /// Advances the time of every queue, which refuses requests that can't meet their deadline.
    pub fn tick(&self, now: Time) {
        for target in self.targets() {
            self.handle(now, &target, Event::Tick);
        }
    }

    fn enqueue(
        &self,
        now: Time,
        target: &Target,
        arrival: Arrival,
    ) -> oneshot::Receiver<Result<(), Refusal>> {
        let (sender, receiver) = oneshot::channel();
        self.with_queue(target, |it| it.waiting.push((arrival.request.clone(), sender)));
        self.handle(now, target, Event::Arrived(arrival));
        receiver
    }

    fn handle(&self, now: Time, target: &Target, event: Event) {
        self.with_queue(target, |queue| {
            let mut effects = Vec::new();
            queue.admission.handle(now, event, &mut effects);
            for effect in effects {
                match effect {
                    Effect::Start { request } => queue.finish_waiting(&request, Ok(())),
                    Effect::Refuse { request, refusal } => {
                        queue.finish_waiting(&request, Err(refusal))
                    }
                }
            }
        });
    }

    fn with_queue(&self, target: &Target, update: impl FnOnce(&mut Queue)) {
        let mut queues = self.queues.borrow_mut();
        let index = match queues.binary_search_by(|it| it.target.cmp(target)) {
            Ok(index) => index,
            Err(index) => {
                let admission = AdmissionQueue::new(AdmissionPolicy::default());
                let queue = Queue { target: target.clone(), admission, waiting: Vec::new() };
                queues.insert(index, queue);
                index
            }
        };
        update(&mut queues[index]);
    }
}

impl Queue {
    fn finish_waiting(&mut self, request: &RequestId, admission: Result<(), Refusal>) {
        if let Some(index) = self.waiting.iter().position(|it| it.0 == *request) {
            let (_, sender) = self.waiting.swap_remove(index);
            let _ = sender.send(admission);
        }
    }
}

//! The queue of one target.

use std::{cmp::Reverse, time::Duration};

use crate::{
    admission::{AdmissionPolicy, Arrival, Effect, Event},
    ids::{RequestId, TeamId},
    refusal::{Reason, RetryJitter},
    time::Time,
};

/// Every so many starts, the lowest start tag goes first whatever its priority.
const STARTS_PER_RELIEF: u64 = 8;
/// Cost of a mean request.
const MEAN_COST: f64 = 1_000.0;
/// Weight of a new measurement in the mean service time.
const SERVICE_WEIGHT: f64 = 0.1;

#[derive(Debug, Clone)]
struct Waiting {
    arrival: Arrival,
    tag: u64,
    order: u64,
}

impl Waiting {
    fn key(&self) -> (Reverse<u8>, u64, u64) {
        (Reverse(self.arrival.priority), self.tag, self.order)
    }
}

#[derive(Debug, Clone)]
struct Running {
    request: RequestId,
    since: Time,
    cost: u32,
}

/// The fair queue of one target at one instance.
///
/// ```
/// use medlarlug_core::{
///     admission::{AdmissionQueue, AdmissionPolicy, Arrival, Effect, Event},
///     time::Time,
/// };
/// use std::time::Duration;
///
/// let mut admission = AdmissionQueue::new(AdmissionPolicy::default());
/// let mut out = Vec::new();
/// admission.handle(Time::ZERO, Event::Capacity(1), &mut out);
/// let request: medlarlug_core::ids::RequestId = "riga.entry-1.1.7".parse().unwrap();
/// let arrival = Arrival {
///     request: request.clone(),
///     team: "survey".parse().unwrap(),
///     priority: 0,
///     deadline: Time::from_millis(1_700),
///     min_time_to_first_byte: Duration::from_millis(200),
///     cost: 1_000,
/// };
/// admission.handle(Time::ZERO, Event::Arrived(arrival), &mut out);
/// assert_eq!(out, [Effect::Start { request }]);
/// ```
#[derive(Debug, Clone)]
pub struct AdmissionQueue {
    policy: AdmissionPolicy,
    capacity: u32,
    running: Vec<Running>,
    waiting: Vec<Waiting>,
    finish: Vec<(TeamId, u64)>,
    virtual_time: u64,
    starts: u64,
    arrivals: u64,
    service: f64,
    spread: RetryJitter,
}

impl AdmissionQueue {
    /// An empty queue without capacity.
    pub fn new(policy: AdmissionPolicy) -> AdmissionQueue {
        AdmissionQueue {
            capacity: 0,
            running: Vec::new(),
            waiting: Vec::new(),
            finish: Vec::new(),
            virtual_time: 0,
            starts: 0,
            arrivals: 0,
            service: policy.initial_service_time.as_secs_f64(),
            spread: RetryJitter::new(policy.seed),
            policy,
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Mean service time of a request of mean cost, as measured so far.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service)
    }

    /// Predicted time until everything that waits has started; `None` without capacity.
    pub fn drain_time(&self) -> Option<Duration> {
        let cost = self.waiting.iter().map(|it| u64::from(it.arrival.cost)).sum();
        self.predict(cost)
    }

    /// Feeds one event in.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Arrived(arrival) => self.enqueue(arrival),
            Event::Capacity(capacity) => self.capacity = capacity,
            Event::Finished { request } => self.finish(now, &request),
            Event::CallerDisconnected { request } => self.forget(&request),
            Event::Tick => self.prune(),
        }
        self.start(now, out);
        self.shed(now, out);
    }

    fn enqueue(&mut self, arrival: Arrival) {
        let last = match self.finish.binary_search_by(|it| it.0.cmp(&arrival.team)) {
            Ok(found) => found,
            Err(place) => {
                self.finish.insert(place, (arrival.team.clone(), 0));
                place
            }
        };
        let tag = self.finish[last].1.max(self.virtual_time);
        self.finish[last].1 = tag + u64::from(arrival.cost);
        self.arrivals += 1;
        let waiting = Waiting { arrival, tag, order: self.arrivals };
        let place = self.waiting.partition_point(|it| it.key() < waiting.key());
        self.waiting.insert(place, waiting);
    }

    fn finish(&mut self, now: Time, request: &RequestId) {
        let Some(running) = self.take_running(request) else {
            return;
        };
        let cost = f64::from(running.cost.max(1)) / MEAN_COST;
        let sample = (now - running.since).as_secs_f64() / cost;
        self.service += SERVICE_WEIGHT * (sample - self.service);
    }

    fn take_running(&mut self, request: &RequestId) -> Option<Running> {
        let found = self.running.binary_search_by(|it| it.request.cmp(request)).ok()?;
        Some(self.running.remove(found))
    }

    /// Takes a request out that nobody waits for; a running one frees its slot unmeasured.
    fn forget(&mut self, request: &RequestId) {
        let place = self.waiting.iter().position(|it| it.arrival.request == *request);
        match place {
            Some(place) => drop(self.remove(place)),
            None => drop(self.take_running(request)),
        }
    }

    /// Teams without a debt need no entry.
    fn prune(&mut self) {
        let now = self.virtual_time;
        self.finish.retain(|it| it.1 > now);
    }

    fn start(&mut self, now: Time, out: &mut Vec<Effect>) {
        while self.running.len() < self.capacity as usize && !self.waiting.is_empty() {
            let place = self.next_place();
            if is_too_late(now, &self.waiting[place].arrival) {
                self.refuse(now, place, out);
                continue;
            }
            let next = self.waiting.remove(place);
            self.starts += 1;
            self.virtual_time = self.virtual_time.max(next.tag);
            self.run(now, &next.arrival);
            out.push(Effect::Start { request: next.arrival.request });
        }
    }

    fn next_place(&self) -> usize {
        if !(self.starts + 1).is_multiple_of(STARTS_PER_RELIEF) {
            return 0;
        }
        let lowest = (0..self.waiting.len())
            .min_by_key(|&it| (self.waiting[it].tag, self.waiting[it].order));
        lowest.unwrap_or(0)
    }

    fn run(&mut self, now: Time, arrival: &Arrival) {
        let running = Running { request: arrival.request.clone(), since: now, cost: arrival.cost };
        match self.running.binary_search_by(|it| it.request.cmp(&running.request)) {
            Ok(found) => self.running[found] = running,
            Err(place) => self.running.insert(place, running),
        }
    }

    /// Refuses what can't start in time.
    fn shed(&mut self, now: Time, out: &mut Vec<Effect>) {
        let (mut place, mut ahead) = (0, 0);
        while place < self.waiting.len() {
            if self.is_in_time(now, &self.waiting[place].arrival, ahead) {
                ahead += u64::from(self.waiting[place].arrival.cost);
                place += 1;
            } else {
                self.refuse(now, place, out);
            }
        }
    }

    fn is_in_time(&self, now: Time, arrival: &Arrival, ahead: u64) -> bool {
        let Some(wait) = self.predict(ahead) else {
            return false;
        };
        wait <= self.policy.max_wait
            && now + wait + arrival.min_time_to_first_byte <= arrival.deadline
    }

    /// Predicted wait for a slot behind work of cost `ahead`; `None` without capacity.
    fn predict(&self, ahead: u64) -> Option<Duration> {
        if self.capacity == 0 {
            return None;
        }
        let requests = ahead as f64 / MEAN_COST + 1.0;
        let seconds = requests * self.service / f64::from(self.capacity);
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    fn refuse(&mut self, now: Time, place: usize, out: &mut Vec<Effect>) {
        let wait = self.drain_time().unwrap_or(self.policy.max_wait);
        let arrival = self.remove(place);
        let reason = match is_too_late(now, &arrival) {
            true => Reason::DeadlineImpossible,
            false => Reason::Overloaded,
        };
        let refusal = self.spread.refuse(reason, wait);
        out.push(Effect::Refuse { request: arrival.request, refusal });
    }

    /// Takes a waiting request out and gives its team the cost back.
    fn remove(&mut self, place: usize) -> Arrival {
        let gone = self.waiting.remove(place);
        let cost = u64::from(gone.arrival.cost);
        let floor = self.virtual_time;
        let team = &gone.arrival.team;
        for it in self.waiting.iter_mut() {
            if it.order > gone.order && it.arrival.team == *team {
                it.tag = it.tag.saturating_sub(cost).max(floor);
            }
        }
        if let Ok(found) = self.finish.binary_search_by(|it| it.0.cmp(team)) {
            let debt = &mut self.finish[found].1;
            *debt = debt.saturating_sub(cost).max(floor);
        }
        self.waiting.sort_by_key(Waiting::key);
        gone.arrival
    }
}

/// Whether the deadline can't be met even by a start at once.
fn is_too_late(now: Time, arrival: &Arrival) -> bool {
    now + arrival.min_time_to_first_byte > arrival.deadline
}

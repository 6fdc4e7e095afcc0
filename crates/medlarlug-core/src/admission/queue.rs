//! The admission queue of one target.

use std::{cmp::Reverse, time::Duration};

use crate::{
    admission::{AdmissionPolicy, Arrival, Effect, Event},
    ids::{RequestId, TeamId},
    refusal::{Reason, RetryJitter},
    time::Time,
};

/// One in this many starts goes to the lowest start tag regardless of priority, so that low priorities
/// don't starve.
const STARTS_PER_PRIORITY_BYPASS: u64 = 8;
const MEAN_COST: f64 = 1_000.0;
/// Weight of a new measurement in the exponential mean of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

#[derive(Debug, Clone)]
struct Waiting {
    arrival: Arrival,
    start_tag: u64,
    sequence: u64,
}

impl Waiting {
    fn sort_key(&self) -> (Reverse<u8>, u64, u64) {
        (Reverse(self.arrival.priority), self.start_tag, self.sequence)
    }
}

#[derive(Debug, Clone)]
struct Running {
    request: RequestId,
    started_at: Time,
    cost: u32,
}

/// The fair queue of one target at one instance.
///
/// ```
/// use medlarlug_core::{
///     admission::{AdmissionPolicy, AdmissionQueue, Arrival, Effect, Event},
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
///     min_latency: Duration::from_millis(200),
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
    finish_tags: Vec<(TeamId, u64)>,
    virtual_time: u64,
    starts: u64,
    arrivals: u64,
    service_seconds: f64,
    jitter: RetryJitter,
}

impl AdmissionQueue {
    /// Creates an empty queue with a capacity of zero.
    pub fn new(policy: AdmissionPolicy) -> AdmissionQueue {
        AdmissionQueue {
            capacity: 0,
            running: Vec::new(),
            waiting: Vec::new(),
            finish_tags: Vec::new(),
            virtual_time: 0,
            starts: 0,
            arrivals: 0,
            service_seconds: policy.initial_service.as_secs_f64(),
            jitter: RetryJitter::new(policy.seed),
            policy,
        }
    }

    /// Number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests that have started and not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Estimated service time of a request of mean cost.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_seconds)
    }

    /// Predicted time until all waiting requests have started; `None` without capacity.
    pub fn drain_time(&self) -> Option<Duration> {
        let cost = self.waiting.iter().map(|it| u64::from(it.arrival.cost)).sum();
        self.predict(cost)
    }

    /// Handles one event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Arrived(arrival) => self.enqueue(arrival),
            Event::Capacity(capacity) => self.capacity = capacity,
            Event::Finished { request } => self.finish(now, &request),
            Event::CallerDisconnected { request } => self.remove_disconnected(&request),
            Event::Tick => self.drop_passed_tags(),
        }
        self.start(now, out);
        self.refuse_late(now, out);
    }

    fn enqueue(&mut self, arrival: Arrival) {
        let last = match self.finish_tags.binary_search_by(|it| it.0.cmp(&arrival.team)) {
            Ok(found) => found,
            Err(place) => {
                self.finish_tags.insert(place, (arrival.team.clone(), 0));
                place
            }
        };
        let start_tag = self.finish_tags[last].1.max(self.virtual_time);
        self.finish_tags[last].1 = start_tag + u64::from(arrival.cost);
        self.arrivals += 1;
        let waiting = Waiting { arrival, start_tag, sequence: self.arrivals };
        let place = self.waiting.partition_point(|it| it.sort_key() < waiting.sort_key());
        self.waiting.insert(place, waiting);
    }

    fn finish(&mut self, now: Time, request: &RequestId) {
        let Some(running) = self.take_running(request) else {
            return;
        };
        let cost = f64::from(running.cost.max(1)) / MEAN_COST;
        let sample = (now - running.started_at).as_secs_f64() / cost;
        self.service_seconds += SERVICE_TIME_WEIGHT * (sample - self.service_seconds);
    }

    fn take_running(&mut self, request: &RequestId) -> Option<Running> {
        let found = self.running.binary_search_by(|it| it.request.cmp(request)).ok()?;
        Some(self.running.remove(found))
    }

    /// Removes a request whose caller has disconnected. A running one releases its slot, but does not
    /// count as a measurement of the service time.
    fn remove_disconnected(&mut self, request: &RequestId) {
        let place = self.waiting.iter().position(|it| it.arrival.request == *request);
        match place {
            Some(place) => drop(self.remove(place)),
            None => drop(self.take_running(request)),
        }
    }

    /// Removes the finish tags that the virtual time has passed: their teams are treated like new ones.
    fn drop_passed_tags(&mut self) {
        let now = self.virtual_time;
        self.finish_tags.retain(|it| it.1 > now);
    }

    fn start(&mut self, now: Time, out: &mut Vec<Effect>) {
        while self.running.len() < self.capacity as usize && !self.waiting.is_empty() {
            let place = self.next_index();
            if is_too_late(now, &self.waiting[place].arrival) {
                self.refuse(now, place, out);
                continue;
            }
            let next = self.waiting.remove(place);
            self.starts += 1;
            self.virtual_time = self.virtual_time.max(next.start_tag);
            self.run(now, &next.arrival);
            out.push(Effect::Start { request: next.arrival.request });
        }
    }

    fn next_index(&self) -> usize {
        if !(self.starts + 1).is_multiple_of(STARTS_PER_PRIORITY_BYPASS) {
            return 0;
        }
        let lowest = (0..self.waiting.len())
            .min_by_key(|&it| (self.waiting[it].start_tag, self.waiting[it].sequence));
        lowest.unwrap_or(0)
    }

    fn run(&mut self, now: Time, arrival: &Arrival) {
        let running =
            Running { request: arrival.request.clone(), started_at: now, cost: arrival.cost };
        match self.running.binary_search_by(|it| it.request.cmp(&running.request)) {
            Ok(found) => self.running[found] = running,
            Err(place) => self.running.insert(place, running),
        }
    }

    /// Refuses the waiting requests that can't start in time.
    fn refuse_late(&mut self, now: Time, out: &mut Vec<Effect>) {
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
        wait <= self.policy.max_wait && now + wait + arrival.min_latency <= arrival.deadline
    }

    /// Predicted wait for a slot behind requests of total cost `ahead`; `None` without capacity.
    fn predict(&self, ahead: u64) -> Option<Duration> {
        if self.capacity == 0 {
            return None;
        }
        let requests = ahead as f64 / MEAN_COST + 1.0;
        let seconds = requests * self.service_seconds / f64::from(self.capacity);
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    fn refuse(&mut self, now: Time, place: usize, out: &mut Vec<Effect>) {
        let wait = self.drain_time().unwrap_or(self.policy.max_wait);
        let arrival = self.remove(place);
        let reason = match is_too_late(now, &arrival) {
            true => Reason::DeadlineImpossible,
            false => Reason::Overloaded,
        };
        let refusal = self.jitter.refuse(reason, wait);
        out.push(Effect::Refuse { request: arrival.request, refusal });
    }

    /// Removes a waiting request and lowers the tags of its team's later requests by its cost.
    fn remove(&mut self, place: usize) -> Arrival {
        let removed = self.waiting.remove(place);
        let cost = u64::from(removed.arrival.cost);
        let min_tag = self.virtual_time;
        let team = &removed.arrival.team;
        for it in self.waiting.iter_mut() {
            if it.sequence > removed.sequence && it.arrival.team == *team {
                it.start_tag = it.start_tag.saturating_sub(cost).max(min_tag);
            }
        }
        if let Ok(found) = self.finish_tags.binary_search_by(|it| it.0.cmp(team)) {
            let finish_tag = &mut self.finish_tags[found].1;
            *finish_tag = finish_tag.saturating_sub(cost).max(min_tag);
        }
        self.waiting.sort_by_key(Waiting::sort_key);
        removed.arrival
    }
}

/// Whether the deadline would be missed even if the request started at `now`.
fn is_too_late(now: Time, arrival: &Arrival) -> bool {
    now + arrival.min_latency > arrival.deadline
}

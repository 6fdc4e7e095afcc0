//! Fair queueing and early refusal, checked against a plain FIFO queue.

use std::{collections::VecDeque, time::Duration};

use medlarlug_core::{
    admission::{AdmissionPolicy, AdmissionQueue, Arrival, Effect, Event},
    ids::RequestId,
    refusal::{Reason, Refusal},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::id;

const HOUR: Duration = Duration::from_secs(3_600);

fn request(sequence: u64) -> RequestId {
    id(&format!("riga.entry-1.1.{sequence}"))
}

fn arrival(sequence: u64, team: &str) -> Arrival {
    Arrival {
        request: request(sequence),
        team: id(team),
        priority: 0,
        deadline: Time::ZERO + HOUR,
        min_latency: Duration::from_millis(100),
        cost: 1_000,
    }
}

fn unbounded_wait() -> AdmissionPolicy {
    AdmissionPolicy { max_wait: HOUR, ..AdmissionPolicy::default() }
}

struct Harness {
    admission: AdmissionQueue,
    started: Vec<RequestId>,
    refused: Vec<(RequestId, Refusal)>,
}

impl Harness {
    fn new(policy: AdmissionPolicy, capacity: u32) -> Harness {
        let mut harness = Harness {
            admission: AdmissionQueue::new(policy),
            started: Vec::new(),
            refused: Vec::new(),
        };
        harness.feed(Time::ZERO, Event::Capacity(capacity));
        harness
    }

    fn feed(&mut self, now: Time, event: Event) {
        let mut out = Vec::new();
        self.admission.handle(now, event, &mut out);
        for effect in out {
            match effect {
                Effect::Start { request } => self.started.push(request),
                Effect::Refuse { request, refusal } => self.refused.push((request, refusal)),
            }
        }
    }

    fn reasons(&self) -> Vec<(u64, Reason)> {
        self.refused.iter().map(|it| (it.0.sequence, it.1.reason)).collect()
    }

    fn starts(&self) -> Vec<u64> {
        self.started.iter().map(|it| it.sequence).collect()
    }
}

#[test]
fn one_team_without_deadlines_is_served_in_fifo_order() {
    for seed in 0..1_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let capacity = random.random_range(1..4);
        let mut harness = Harness::new(unbounded_wait(), capacity);
        let (mut naive, mut running) = (VecDeque::new(), Vec::new());
        let mut expected: Vec<u64> = Vec::new();

        for step in 0..100 {
            let now = Time::from_millis(step * 10);
            if running.is_empty() || random.random_bool(0.6) {
                let cost = random.random_range(1..5_000);
                harness.feed(now, Event::Arrived(Arrival { cost, ..arrival(step, "survey") }));
                naive.push_back(step);
            } else {
                let ended = running.remove(random.random_range(0..running.len()));
                harness.feed(now, Event::Finished { request: request(ended) });
            }
            while running.len() < capacity as usize && !naive.is_empty() {
                running.push(naive.pop_front().unwrap());
                expected.extend(running.last());
            }

            assert_eq!(harness.starts(), expected, "seed {seed}, step {step}");
        }
        assert_eq!(harness.refused, []);
    }
}

#[test]
fn every_request_has_one_outcome_and_none_starts_too_late() {
    for seed in 0..2_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = Harness::new(AdmissionPolicy::default(), 2);
        let (mut known, mut disconnected, mut ended) = (Vec::new(), Vec::new(), 0);
        for step in 0..120 {
            let now = Time::from_millis(step * 50);
            let (starts, refusals) = (harness.started.len(), harness.refused.len());
            let event = match random.random_range(0..10) {
                0..6 => {
                    let team = ["survey", "lofts", "desk"][random.random_range(0..3)];
                    let arrival = Arrival {
                        priority: random.random_range(0..2),
                        deadline: now + Duration::from_millis(random.random_range(0..3_000)),
                        cost: random.random_range(100..3_000),
                        ..arrival(step, team)
                    };
                    known.push(arrival.clone());
                    Event::Arrived(arrival)
                }
                6 if !known.is_empty() => {
                    let request = known[random.random_range(0..known.len())].request.clone();
                    let is_ended = harness.started.contains(&request)
                        || harness.refused.iter().any(|it| it.0 == request);
                    if !is_ended && !disconnected.contains(&request) {
                        disconnected.push(request.clone());
                    }
                    Event::CallerDisconnected { request }
                }
                7 => Event::Capacity(random.random_range(0..4)),
                8 if ended < harness.started.len() => {
                    ended += 1;
                    Event::Finished { request: harness.started[ended - 1].clone() }
                }
                _ => Event::Tick,
            };

            harness.feed(now, event);

            for request in &harness.started[starts..] {
                let arrival = known.iter().find(|it| it.request == *request).unwrap();
                assert!(now + arrival.min_latency <= arrival.deadline, "seed {seed}, step {step}");
            }
            for (_, refusal) in &harness.refused[refusals..] {
                assert!(refusal.retry_after >= Duration::from_secs(1), "seed {seed}, step {step}");
            }
            assert!(harness.admission.drain_time().unwrap_or_default() < Duration::from_secs(60));
        }
        harness.feed(Time::ZERO + HOUR, Event::Tick);
        let refused = harness.refused.iter().map(|it| &it.0);
        let mut outcomes: Vec<&RequestId> =
            harness.started.iter().chain(refused).chain(&disconnected).collect();
        outcomes.sort();
        let mut all: Vec<&RequestId> = known.iter().map(|it| &it.request).collect();
        all.sort();
        assert_eq!(outcomes, all, "seed {seed}");
    }
}

#[test]
fn waiting_teams_share_the_slots_by_cost() {
    for seed in 0..300 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = Harness::new(unbounded_wait(), 1);
        let mut costs = Vec::new();
        let max_cost = 4_000;
        for sequence in 0..300 {
            // The first team sends nine times as much as the second.
            let team = if sequence % 10 == 0 { "lofts" } else { "survey" };
            let cost = random.random_range(1..max_cost);
            costs.push(u64::from(cost));
            harness.feed(Time::ZERO, Event::Arrived(Arrival { cost, ..arrival(sequence, team) }));
        }

        let (mut busy, mut light, mut left) = (0, 0, 30);
        for place in 0..300 {
            let sequence = harness.started[place].sequence;
            match sequence % 10 {
                0 => {
                    light += costs[sequence as usize];
                    left -= 1;
                }
                _ => busy += costs[sequence as usize],
            }
            if left == 0 {
                break;
            }
            assert!(busy.abs_diff(light) <= 2 * u64::from(max_cost), "seed {seed}");
            let request = harness.started[place].clone();
            harness.feed(Time::from_millis(place as u64), Event::Finished { request });
        }
    }
}

#[test]
fn higher_priority_starts_first_and_the_lower_one_is_not_starved() {
    let mut harness = Harness::new(unbounded_wait(), 1);
    for sequence in 0..200 {
        let priority = u8::from(sequence >= 100);
        let team = if priority == 0 { "survey" } else { "lofts" };
        harness.feed(Time::ZERO, Event::Arrived(Arrival { priority, ..arrival(sequence, team) }));
    }

    for place in 0..80 {
        let request = harness.started[place].clone();
        harness.feed(Time::from_millis(place as u64), Event::Finished { request });
    }

    let low = harness.starts().iter().skip(1).filter(|it| **it < 100).count();
    assert_eq!(low, 10);
}

#[test]
fn request_whose_predicted_start_is_too_late_is_refused_at_once() {
    // One slot and half a second per request: with a deadline of 1.6 s, the fourth request in the queue
    // would start too late.
    let mut harness = Harness::new(AdmissionPolicy::default(), 1);
    let deadline = Time::from_millis(1_600);

    for sequence in 0..5 {
        harness
            .feed(Time::ZERO, Event::Arrived(Arrival { deadline, ..arrival(sequence, "survey") }));
    }

    assert_eq!(harness.reasons(), [(4, Reason::Overloaded)]);
    assert_eq!(harness.admission.waiting(), 3);
}

#[test]
fn impossible_deadline_has_its_own_reason() {
    let mut harness = Harness::new(AdmissionPolicy::default(), 1);
    let deadline = Time::from_millis(99);

    harness.feed(Time::ZERO, Event::Arrived(Arrival { deadline, ..arrival(0, "survey") }));

    assert_eq!(harness.reasons(), [(0, Reason::DeadlineImpossible)]);
    assert_eq!(harness.started, []);
}

#[test]
fn queue_is_bounded_by_predicted_time() {
    let mut harness = Harness::new(AdmissionPolicy::default(), 2);

    for sequence in 0..100 {
        harness.feed(Time::ZERO, Event::Arrived(arrival(sequence, "survey")));
    }

    // Two requests run. With a maximum wait of 5 s, half a second per request and two slots, 20 can wait.
    assert_eq!((harness.admission.running(), harness.admission.waiting()), (2, 20));
    assert_eq!(harness.refused.len(), 78);
}

#[test]
fn request_of_an_idle_team_displaces_the_last_one_of_a_busy_team() {
    let mut harness = Harness::new(AdmissionPolicy::default(), 1);
    for sequence in 0..12 {
        harness.feed(Time::ZERO, Event::Arrived(arrival(sequence, "survey")));
    }
    let refused = harness.refused.len();

    harness.feed(Time::ZERO, Event::Arrived(arrival(50, "lofts")));

    assert_eq!(harness.refused.len(), refused + 1);
    assert_ne!(harness.refused[refused].0, request(50));
}

#[test]
fn without_capacity_requests_are_refused_at_once() {
    let mut harness = Harness::new(AdmissionPolicy::default(), 0);

    harness.feed(Time::ZERO, Event::Arrived(arrival(0, "survey")));

    assert_eq!(harness.reasons(), [(0, Reason::Overloaded)]);
}

/// Number of requests that start by their deadline within 300 s of arrivals at `load` times the
/// capacity of eight slots: with admission control, and in a plain FIFO queue that refuses nothing.
fn goodput(seed: u64, load: f64) -> (usize, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (slots, service_ms, max_wait_ms) = (8, 500.0, 1_600);
    let mut harness = Harness::new(AdmissionPolicy::default(), slots);
    let (mut ends, mut scheduled): (Vec<(u64, RequestId)>, usize) = (Vec::new(), 0);
    let mut naive_free = vec![0; slots as usize];
    let (mut naive, mut sequence) = (0, 0);
    for now in 0..300_000 {
        if random.random_bool(load * f64::from(slots) / service_ms) {
            sequence += 1;
            let deadline = Time::from_millis(now + max_wait_ms + 100);
            let arrived = Arrival { deadline, ..arrival(sequence, "survey") };
            harness.feed(Time::from_millis(now), Event::Arrived(arrived));
            let free = naive_free.iter_mut().min().unwrap();
            let start = now.max(*free);
            *free = start + random.random_range(100..900);
            naive += usize::from(start <= now + max_wait_ms);
        }
        while let Some(place) = ends.iter().position(|it| it.0 <= now) {
            let (_, request) = ends.swap_remove(place);
            harness.feed(Time::from_millis(now), Event::Finished { request });
        }
        while scheduled < harness.started.len() {
            ends.push((now + random.random_range(100..900), harness.started[scheduled].clone()));
            scheduled += 1;
        }
    }
    (harness.started.len(), naive)
}

#[test]
fn goodput_under_overload_stays_near_that_of_full_load() {
    for seed in 0..3 {
        let (full, _) = goodput(seed, 1.0);

        let (overloaded, naive) = goodput(seed, 1.2);

        assert!(overloaded as f64 >= 0.95 * full as f64, "seed {seed}: {overloaded} of {full}");
        assert!(naive < overloaded / 2, "seed {seed}: the plain queue starts {naive} in time");
    }
}

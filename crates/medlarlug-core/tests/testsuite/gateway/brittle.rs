//! Brittle upstreams: what answers tell about them, and the division of their slots among instances.

use std::time::Duration;

use medlarlug_core::{
    gateway::{
        brittle::{
            Answered, BrittleHeader, BrittleNotice, BrittleServices, RefusalTolerance, SlotQueue,
            SlotUse, Ticket,
        },
        pace::Part,
        table::ServiceName,
        upstreams::Birth,
    },
    ids::{InstanceId, UpstreamId},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::id;

const SLOTS: u32 = 16;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn service() -> ServiceName {
    ServiceName("scribe".into())
}

fn brittle(tolerance: &str) -> BrittleHeader {
    BrittleHeader::Brittle(tolerance.parse().unwrap())
}

/// Answers of upstreams of one service.
struct Answers {
    services: BrittleServices,
    service: ServiceName,
}

impl Answers {
    fn new() -> Answers {
        Answers { services: BrittleServices::default(), service: service() }
    }

    /// An answer at `now` to a request that was sent at `sent`.
    fn record(
        &mut self,
        (sent, now): (u64, u64),
        name: &str,
        birth: u64,
        header: BrittleHeader,
    ) -> Option<BrittleNotice> {
        let id: UpstreamId = id(name);
        let answered =
            Answered { service: &self.service, id: &id, birth: Birth(birth), sent: at(sent) };
        self.services.record_answer(at(now), answered, header)
    }

    fn refuse(&mut self, now: u64, name: &str, held: u32) -> Option<BrittleNotice> {
        let id: UpstreamId = id(name);
        let answered = Answered { service: &self.service, id: &id, birth: Birth(1), sent: at(now) };
        self.services.record_refusal(at(now), answered, held)
    }

    fn room(&self, now: u64, name: &str, birth: u64) -> Option<u32> {
        self.services.room(at(now), &self.service, &id(name), Birth(birth), SLOTS)
    }
}

#[test]
fn first_brittle_answer_holds_for_all_upstreams_of_the_service() {
    let mut answers = Answers::new();

    let notice = answers.record((0, 10), "engine-1", 1, brittle("5"));

    let rooms = ["engine-1", "engine-2"].map(|it| answers.room(20, it, 1));
    assert_eq!(rooms, [Some(SLOTS); 2]);
    let other = ServiceName("other".into());
    assert_eq!(answers.services.room(at(20), &other, &id("engine-3"), Birth(1), SLOTS), None);
    assert_eq!(notice.unwrap().tolerance, Some("5".parse().unwrap()));
}

#[test]
fn later_request_that_is_answered_without_the_header_exempts_its_upstream_only() {
    let mut answers = Answers::new();
    answers.record((0, 10), "engine-1", 1, brittle("5"));

    let early = answers.record((5, 20), "engine-1", 1, BrittleHeader::Absent);
    let before = answers.room(25, "engine-1", 1);
    let later = answers.record((11, 30), "engine-1", 1, BrittleHeader::Absent);

    assert_eq!((early, before), (None, Some(SLOTS)));
    assert_eq!(later.unwrap().tolerance, None);
    assert_eq!(answers.room(40, "engine-1", 1), None);
    assert_eq!(answers.room(40, "engine-2", 1), Some(SLOTS));
    // Its next incarnation has not answered yet.
    assert_eq!(answers.room(40, "engine-1", 2), Some(SLOTS));
    answers.record((50, 60), "engine-1", 1, brittle("5"));
    assert_eq!(answers.room(70, "engine-1", 1), Some(SLOTS));
}

#[test]
fn invalid_tolerance_keeps_the_previous_one_or_counts_as_none() {
    for text in ["", "-1", "many", "1.5", "99999999999999999999"] {
        assert!(text.parse::<RefusalTolerance>().is_err(), "{text}");
    }
    let (mut fresh, mut known) = (Answers::new(), Answers::new());
    known.record((0, 10), "engine-1", 1, brittle("5"));

    let first = fresh.record((0, 10), "engine-1", 1, BrittleHeader::Invalid);
    let next = known.record((2_000, 2_010), "engine-2", 1, BrittleHeader::Invalid);

    assert_eq!(first.unwrap().tolerance, Some(RefusalTolerance::NONE));
    assert_eq!(next.unwrap().tolerance, Some("5".parse().unwrap()));
}

#[test]
fn notices_are_sent_for_news_and_repeated_for_instances_that_start() {
    let (mut answers, mut other) = (Answers::new(), Answers::new());

    let notices: Vec<Option<BrittleNotice>> = [10, 200, 900, 1_100]
        .map(|now| answers.record((now - 5, now), "engine-1", 1, brittle("5")))
        .into();
    other.services.apply(at(1_200), notices[3].as_ref().unwrap());

    assert_eq!(notices.iter().map(Option::is_some).collect::<Vec<_>>(), [true, false, false, true]);
    assert_eq!(other.room(1_300, "engine-2", 1), Some(SLOTS));
    assert_eq!(other.services.expire(at(61_300)), [service()]);
    assert_eq!(other.room(61_400, "engine-2", 1), None);
}

#[test]
fn refusal_reduces_the_room_once_for_an_excess_and_it_recovers() {
    let (mut answers, mut other) = (Answers::new(), Answers::new());
    answers.record((0, 10), "engine-1", 1, brittle("5"));

    let notice = answers.refuse(1_000, "engine-1", 12).unwrap();
    let repeated = answers.refuse(1_100, "engine-1", 11);
    other.services.apply(at(1_010), &notice);

    assert_eq!((answers.room(1_200, "engine-1", 1), repeated), (Some(9), None));
    assert_eq!(other.room(1_200, "engine-1", 1), Some(9));
    assert_eq!(answers.room(4_000, "engine-1", 1), Some(12));
    assert_eq!(answers.room(60_000, "engine-1", 1), Some(SLOTS));
}

#[test]
fn abandoned_calls_count_as_held_for_a_while() {
    let mut services = BrittleServices::default();

    services.record_abandoned(at(0), &id("engine-1"));

    let lingering = |now, name| services.lingering(at(now), &id(name));
    assert_eq!([lingering(500, "engine-1"), lingering(1_000, "engine-1")], [1, 0]);
    assert_eq!(lingering(500, "engine-2"), 0);
}

#[test]
fn queue_is_ordered_by_priority_and_arrival() {
    let mut queue = SlotQueue::default();
    let later: Vec<Ticket> = (0..4).map(|_| queue.enqueue(3)).collect();

    let urgent = queue.enqueue(0);
    let waits = [0, 3].map(|priority| queue.expected_wait(priority, 2.0));

    assert!(queue.is_next(urgent) && !queue.is_next(later[3]));
    assert_eq!(waits, [Duration::from_secs(1), Duration::from_secs(3)]);
    queue.remove(urgent);
    assert!(queue.is_next(later[3]));
}

#[test]
fn instances_without_a_view_of_the_others_hold_one_call_and_only_with_a_part() {
    for (instances, expected) in [(3, 3), (12, 12), (30, SLOTS)] {
        let held = (0..instances).filter(|&rank| {
            let part = Part { rank, instances };
            let held = SlotUse { room: SLOTS, part, own: 0, region: 0.0, is_settled: false };
            let mut services = BrittleServices::default();
            let more = SlotUse { own: 1, ..held };
            assert!(!services.may_send(at(0), &id("engine-1"), more, 0.0));
            services.may_send(at(0), &id("engine-1"), held, 0.0)
        });
        assert_eq!(held.count() as u32, expected);
    }
}

/// Upstreams of a brittle service, and instances that divide their slots by loads that were reported a
/// while ago.
struct Simulation {
    random: ChaCha8Rng,
    /// Step of each call's end, for each upstream and instance.
    held: Vec<Vec<Vec<u64>>>,
    /// Number of calls held, for each upstream and instance, as of the last report.
    reported: Vec<Vec<u32>>,
    services: Vec<BrittleServices>,
    queues: Vec<SlotQueue>,
    /// Ticket and arrival of each waiting call.
    waiting: Vec<Vec<(Ticket, u64)>>,
    /// Steps in which each upstream refused a call.
    refused: Vec<Vec<u64>>,
    arrived: u32,
    served: u32,
    /// The part of each instance at each upstream.
    parts: Vec<Vec<Part>>,
    /// Step until which an instance that has restarted does not see the others.
    unsettled_until: Vec<u64>,
}

const UPSTREAMS: usize = 6;
/// Length of a step.
const STEP_MS: u64 = 10;
/// Steps between two reports in small regions, and between the aggregates of large ones.
const REPORT_STEPS: [u64; 2] = [2, 5];
/// Instances of the largest region that counts as small.
const SMALL_REGION: usize = 8;
/// Mean steps for which a call holds its slot.
const HOLD_STEPS: u64 = 100;
/// Steps for which a call waits.
const PATIENCE_STEPS: u64 = 200;
/// Calls that a brittle upstream queues.
const QUEUE: u32 = 2;
/// Refusals in a second with which it does not crash.
const TOLERANCE: usize = 5;

impl Simulation {
    fn new(seed: u64, instances: usize) -> Simulation {
        let names: Vec<InstanceId> = (0..instances).map(|it| id(&format!("entry-{it}"))).collect();
        let parts_at = |upstream: usize| {
            let engine: UpstreamId = id(&format!("engine-{upstream}"));
            names.iter().map(|it| Part::of(it, &engine, &names)).collect()
        };
        Simulation {
            parts: (0..UPSTREAMS).map(parts_at).collect(),
            random: ChaCha8Rng::seed_from_u64(seed),
            held: vec![vec![Vec::new(); instances]; UPSTREAMS],
            reported: vec![vec![0; instances]; UPSTREAMS],
            services: vec![BrittleServices::default(); instances],
            queues: vec![SlotQueue::default(); instances],
            waiting: vec![Vec::new(); instances],
            refused: vec![Vec::new(); UPSTREAMS],
            arrived: 0,
            served: 0,
            unsettled_until: vec![0; instances],
        }
    }

    /// Runs a step in which a call arrives with probability `rate` (or several, beyond one). A
    /// third of the instances gets half of them.
    fn step(&mut self, step: u64, rate: f64, has_restarts: bool) {
        let instances = self.queues.len();
        self.held.iter_mut().flatten().for_each(|ends| ends.retain(|end| *end > step));
        let report_steps = REPORT_STEPS[usize::from(instances > SMALL_REGION)];
        if step.is_multiple_of(report_steps) {
            let count = |it: &Vec<u64>| it.len() as u32;
            self.reported = self.held.iter().map(|it| it.iter().map(count).collect()).collect();
        }
        if has_restarts && self.random.random_bool(0.003) {
            let instance = self.random.random_range(0..instances);
            self.unsettled_until[instance] = step + 250;
            self.waiting[instance].clear();
            self.queues[instance] = SlotQueue::default();
        }
        let calls = rate as u32 + u32::from(self.random.random_bool(rate.fract()));
        for _ in 0..calls {
            let busy =
                if self.random.random_bool(0.25) { instances.div_ceil(3) } else { instances };
            let instance = self.random.random_range(0..busy);
            let ticket = self.queues[instance].enqueue(0);
            self.waiting[instance].push((ticket, step));
            self.arrived += 1;
        }
        for instance in 0..instances {
            let waiting = std::mem::take(&mut self.waiting[instance]);
            for (ticket, since) in waiting {
                let is_served = self.queues[instance].is_next(ticket) && self.send(step, instance);
                let is_over = step - since > PATIENCE_STEPS;
                match is_served || is_over {
                    true => self.queues[instance].remove(ticket),
                    false => self.waiting[instance].push((ticket, since)),
                }
            }
        }
    }

    /// Sends a call of an instance to an upstream at which it may take a slot.
    fn send(&mut self, step: u64, instance: usize) -> bool {
        let first = self.random.random_range(0..UPSTREAMS);
        for upstream in (0..UPSTREAMS).map(|it| (first + it) % UPSTREAMS) {
            let own = self.held[upstream][instance].len() as u32;
            let others = self.reported[upstream].iter().enumerate();
            let others: u32 = others.filter(|it| it.0 != instance).map(|it| it.1).sum();
            let slot_use = SlotUse {
                room: SLOTS,
                part: self.parts[upstream][instance],
                own,
                region: f64::from(own + others),
                is_settled: self.unsettled_until[instance] <= step,
            };
            let engine: UpstreamId = id(&format!("engine-{upstream}"));
            let (services, draw) = (&mut self.services[instance], self.random.random());
            if !services.may_send(at(step * STEP_MS), &engine, slot_use, draw) {
                continue;
            }
            services.record_sent(&engine);
            let total: usize = self.held[upstream].iter().map(Vec::len).sum();
            if total as u32 >= SLOTS + QUEUE {
                self.refused[upstream].push(step);
                return false;
            }
            let hold = self.random.random_range(HOLD_STEPS / 2..HOLD_STEPS * 3 / 2);
            self.held[upstream][instance].push(step + hold);
            self.served += 1;
            return true;
        }
        false
    }

    /// Largest number of calls that an upstream refused within a second.
    fn max_refused(&self) -> usize {
        let second = 1_000 / STEP_MS;
        let in_a_second = |steps: &[u64], from: u64| {
            steps.iter().filter(|it| (from..from + second).contains(*it)).count()
        };
        let counts = self.refused.iter().flat_map(|steps| {
            steps.iter().map(move |from| in_a_second(steps, *from)).collect::<Vec<_>>()
        });
        counts.max().unwrap_or(0)
    }
}

/// Load below and above what the upstreams serve, uneven over the instances, with restarts.
#[test]
fn upstreams_refuse_fewer_calls_than_they_bear_and_their_slots_are_used() {
    let capacity = f64::from(SLOTS) * UPSTREAMS as f64 / HOLD_STEPS as f64;
    for instances in [3, 12, 30] {
        for (load, has_restarts) in [(0.7, false), (1.15, false), (2.0, false), (1.15, true)] {
            for seed in 0..3 {
                let mut simulation = Simulation::new(seed, instances);

                for step in 0..1_200 {
                    simulation.step(step, load * capacity, has_restarts);
                }

                let case = format!("{instances} instances, load {load}, seed {seed}");
                let refused = simulation.max_refused();
                assert!(refused <= TOLERANCE, "{refused} refused in a second: {case}");
                let share = f64::from(simulation.served) / f64::from(simulation.arrived);
                let best = f64::min(1.0, 1.0 / load);
                let required = if has_restarts { 0.6 } else { 0.8 };
                assert!(share >= required * best, "{share:.2} of {best:.2} served: {case}");
            }
        }
    }
}

//! Division of an upstream's limit among many instances, as the upstream observes it.

use std::time::Duration;

use medlarlug_core::{
    gateway::{
        permits::{PERMIT_LIFETIME, PermitAllocator, PermitRate, PermitRequest, Permits},
        upstream_limits::UpstreamLimit,
        upstreams::Birth,
    },
    ids::{InstanceId, UpstreamId},
    time::Time,
};
use proptest::prelude::*;

/// Window in which the platform counts requests to an upstream with a limit.
const WINDOW: Duration = Duration::from_secs(4);
/// Time between two steps of a history.
const STEP: Duration = Duration::from_millis(20);

fn engine() -> UpstreamId {
    "engine-1".parse().unwrap()
}

fn instance(number: usize) -> InstanceId {
    format!("entry-{number}").parse().unwrap()
}

fn limit(rate: f64) -> UpstreamLimit {
    rate.to_string().parse().unwrap()
}

fn request(number: usize, calls: u32) -> PermitRequest {
    PermitRequest { from: instance(number), upstream: engine(), birth: Birth(1), calls }
}

/// Requests that the platform allows in a window.
fn allowed(rate: f64) -> f64 {
    1.5 * rate * WINDOW.as_secs_f64() + 5.0
}

/// The largest number of times that lie within one window.
fn max_in_a_window(times: &[Time]) -> usize {
    let within =
        |from: &Time| times.iter().filter(|it| *it >= from && **it - *from < WINDOW).count();
    times.iter().map(within).max().unwrap_or(0)
}

/// How instances get permits.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Division {
    /// From one allocator.
    Allocator,
    /// Each from itself, at an equal share of the rate.
    Isolated,
    /// Each from itself, at the full rate.
    EachAtFullRate,
}

/// What one instance does in a step: the number of calls that want a permit, and whether it uses
/// the permits that it holds.
type Action = (u32, bool);

/// When requests reach the upstream in a history; a grant arrives `delay_steps` steps after it was
/// made.
fn arrivals(
    division: Division,
    rate: f64,
    history: &[Vec<Action>],
    delay_steps: usize,
    phases: &[f64],
) -> Vec<Time> {
    let instances = history[0].len();
    let mut allocators = vec![PermitAllocator::default(); instances];
    let mut permits = vec![Permits::default(); instances];
    let mut in_flight: Vec<(usize, usize, u32)> = Vec::new();
    let mut arrived = Vec::new();
    for (step, actions) in history.iter().enumerate() {
        let now = Time::ZERO + STEP * step as u32;
        for (number, (calls, _)) in actions.iter().enumerate().filter(|it| it.1.0 > 0) {
            let (allocator, permit_rate, available) = match division {
                Division::Allocator => (0, PermitRate::for_allocator(limit(rate)), 0.0),
                Division::Isolated => {
                    (number, PermitRate::for_isolated(limit(rate), instances), phases[number])
                }
                Division::EachAtFullRate => (number, PermitRate::for_allocator(limit(rate)), 0.0),
            };
            allocators[allocator].request(now, request(number, *calls), permit_rate, available);
        }
        for allocator in &mut allocators {
            for grant in allocator.grant(now) {
                let number = (0..instances).find(|it| instance(*it) == grant.to).unwrap();
                in_flight.push((step + delay_steps, number, grant.permits));
            }
        }
        in_flight.retain(|(due, number, granted)| {
            if *due <= step {
                permits[*number].add_granted(now, &engine(), Birth(1), *granted);
            }
            *due > step
        });
        for (number, _) in actions.iter().enumerate().filter(|it| it.1.1) {
            while permits[number].take(now, &engine(), Birth(1)) {
                arrived.push(now);
            }
        }
    }
    arrived
}

fn actions(instances: usize) -> impl Strategy<Value = Vec<Vec<Action>>> {
    let act = (prop_oneof![3 => Just(0), 2 => 1..4_u32, 1 => Just(200)], any::<bool>());
    prop::collection::vec(prop::collection::vec(act, instances), 500)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn instances_with_one_allocator_keep_the_limit_together(
        history in (1..30_usize).prop_flat_map(actions),
        rate in 0.1..60.0_f64,
        delay_steps in 0..15_usize,
    ) {
        let max = max_in_a_window(&arrivals(Division::Allocator, rate, &history, delay_steps, &[]));

        prop_assert!(max as f64 <= allowed(rate), "{max} at {rate}");
    }

    #[test]
    fn instances_that_see_no_others_keep_the_limit_together(
        history in (1..30_usize).prop_flat_map(actions),
        rate in 0.1..60.0_f64,
        seed in any::<u64>(),
    ) {
        let phase = |number: u64| {
            // A fixed sequence that covers the unit interval evenly, from a random start on.
            let place = (seed % 1_000) as f64 / 1_000.0 + number as f64 * 0.618_033_988_75;
            place.fract()
        };
        let phases: Vec<f64> = (0..30).map(phase).collect();
        let max = max_in_a_window(&arrivals(Division::Isolated, rate, &history, 0, &phases));

        prop_assert!(max as f64 <= allowed(rate), "{max} at {rate}");
    }
}

#[test]
fn instances_that_each_keep_the_limit_by_themselves_exceed_it_together() {
    let history = vec![vec![(1, true); 24]; 500];

    let max = max_in_a_window(&arrivals(Division::EachAtFullRate, 1.0, &history, 0, &[]));

    assert!(max as f64 > allowed(1.0), "{max}");
}

#[test]
fn demand_at_one_instance_gets_all_granted_permits() {
    let mut history = vec![vec![(0, false); 24]; 500];
    history.iter_mut().for_each(|actions| actions[7] = (1, true));

    let arrived = arrivals(Division::Allocator, 5.0, &history, 1, &[]);

    // 10 s at four fifths of 5 per second, minus the time to the first permit.
    assert!(arrived.len() >= 38, "{}", arrived.len());
}

#[test]
fn permits_are_granted_round_robin() {
    let mut allocator = PermitAllocator::default();
    let mut granted = [0_u32; 3];

    for step in 0..1_000 {
        let now = Time::ZERO + STEP * step;
        for (number, calls) in [(0, 100), (1, 1), (2, 1)] {
            allocator.request(
                now,
                request(number, calls),
                PermitRate::for_allocator(limit(3.0)),
                0.0,
            );
        }
        for grant in allocator.grant(now) {
            let number = (0..3).find(|it| instance(*it) == grant.to).unwrap();
            granted[number] += grant.permits;
        }
    }

    assert!(granted.iter().max().unwrap() - granted.iter().min().unwrap() <= 1, "{granted:?}");
}

#[test]
fn unused_permit_expires() {
    let mut permits = Permits::default();
    permits.add_granted(Time::ZERO, &engine(), Birth(1), 1);
    let expired = Time::ZERO + PERMIT_LIFETIME;

    assert!(permits.has(Time::from_millis(499), &engine(), Birth(1)));
    assert!(
        !permits.has(expired, &engine(), Birth(1)) && !permits.take(expired, &engine(), Birth(1))
    );
}

#[test]
fn permit_is_for_one_request_to_one_incarnation() {
    let mut permits = Permits::default();
    permits.add_granted(Time::ZERO, &engine(), Birth(2), 1);

    assert!(!permits.take(Time::ZERO, &engine(), Birth(1)));
    assert!(permits.take(Time::ZERO, &engine(), Birth(2)));
    assert!(!permits.take(Time::ZERO, &engine(), Birth(2)));
}

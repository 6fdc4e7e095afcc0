//! The division of an upstream's limit over many instances, felt at the upstream.

use std::time::Duration;

use medlarlug_core::{
    gateway::{
        permits::{Allotter, PERMIT_LIFETIME, Pace, Permits, Want},
        upstream_limits::NamedLimit,
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

fn limit(rate: f64) -> NamedLimit {
    rate.to_string().parse().unwrap()
}

fn want(number: usize, calls: u32) -> Want {
    Want { from: instance(number), upstream: engine(), birth: Birth(1), calls }
}

/// Requests that the platform allows in a window.
fn allowed(rate: f64) -> f64 {
    1.5 * rate * WINDOW.as_secs_f64() + 5.0
}

/// Most of the times that lie within a window.
fn most_in_a_window(times: &[Time]) -> usize {
    let within =
        |from: &Time| times.iter().filter(|it| *it >= from && **it - *from < WINDOW).count();
    times.iter().map(within).max().unwrap_or(0)
}

/// How instances get permits.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Division {
    /// From one allotter.
    Allotter,
    /// Each from itself, at an equal part.
    Alone,
    /// Each from itself, at the whole pace.
    EachByItself,
}

/// One instance's part in a step: calls that want a permit, and whether it uses those that it holds.
type Act = (u32, bool);

/// When requests reach the upstream in a history; `late` steps pass between a grant and its arrival.
fn arrivals(
    division: Division,
    rate: f64,
    history: &[Vec<Act>],
    late: usize,
    phases: &[f64],
) -> Vec<Time> {
    let instances = history[0].len();
    let mut allotters = vec![Allotter::default(); instances];
    let mut permits = vec![Permits::default(); instances];
    let mut under_way: Vec<(usize, usize, u32)> = Vec::new();
    let mut arrived = Vec::new();
    for (step, acts) in history.iter().enumerate() {
        let now = Time::ZERO + STEP * step as u32;
        for (number, (calls, _)) in acts.iter().enumerate().filter(|it| it.1.0 > 0) {
            let (allotter, pace, saved) = match division {
                Division::Allotter => (0, Pace::whole(limit(rate)), 0.0),
                Division::Alone => (number, Pace::alone(limit(rate), instances), phases[number]),
                Division::EachByItself => (number, Pace::whole(limit(rate)), 0.0),
            };
            allotters[allotter].ask(now, want(number, *calls), pace, saved);
        }
        for allotter in &mut allotters {
            for grant in allotter.grant(now) {
                let number = (0..instances).find(|it| instance(*it) == grant.to).unwrap();
                under_way.push((step + late, number, grant.permits));
            }
        }
        under_way.retain(|(due, number, granted)| {
            if *due <= step {
                permits[*number].hold(now, &engine(), Birth(1), *granted);
            }
            *due > step
        });
        for (number, _) in acts.iter().enumerate().filter(|it| it.1.1) {
            while permits[number].take(now, &engine(), Birth(1)) {
                arrived.push(now);
            }
        }
    }
    arrived
}

fn acts(instances: usize) -> impl Strategy<Value = Vec<Vec<Act>>> {
    let act = (prop_oneof![3 => Just(0), 2 => 1..4_u32, 1 => Just(200)], any::<bool>());
    prop::collection::vec(prop::collection::vec(act, instances), 500)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn instances_with_one_allotter_keep_the_limit_together(
        history in (1..30_usize).prop_flat_map(acts),
        rate in 0.1..60.0_f64,
        late in 0..15_usize,
    ) {
        let most = most_in_a_window(&arrivals(Division::Allotter, rate, &history, late, &[]));

        prop_assert!(most as f64 <= allowed(rate), "{most} at {rate}");
    }

    #[test]
    fn instances_that_see_no_others_keep_the_limit_together(
        history in (1..30_usize).prop_flat_map(acts),
        rate in 0.1..60.0_f64,
        seed in any::<u64>(),
    ) {
        let phase = |number: u64| {
            // A fixed sequence that fills the unit interval evenly, from a random place on.
            let place = (seed % 1_000) as f64 / 1_000.0 + number as f64 * 0.618_033_988_75;
            place.fract()
        };
        let phases: Vec<f64> = (0..30).map(phase).collect();
        let most = most_in_a_window(&arrivals(Division::Alone, rate, &history, 0, &phases));

        prop_assert!(most as f64 <= allowed(rate), "{most} at {rate}");
    }
}

#[test]
fn instances_that_each_keep_the_limit_by_themselves_exceed_it_together() {
    let history = vec![vec![(1, true); 24]; 500];

    let most = most_in_a_window(&arrivals(Division::EachByItself, 1.0, &history, 0, &[]));

    assert!(most as f64 > allowed(1.0), "{most}");
}

#[test]
fn demand_at_one_instance_gets_all_that_is_given_out() {
    let mut history = vec![vec![(0, false); 24]; 500];
    history.iter_mut().for_each(|acts| acts[7] = (1, true));

    let arrived = arrivals(Division::Allotter, 5.0, &history, 1, &[]);

    // 10 s at four fifths of 5 a second, less the first one's turn.
    assert!(arrived.len() >= 38, "{}", arrived.len());
}

#[test]
fn instances_get_permits_in_turn() {
    let mut allotter = Allotter::default();
    let mut granted = [0_u32; 3];

    for step in 0..1_000 {
        let now = Time::ZERO + STEP * step;
        for (number, calls) in [(0, 100), (1, 1), (2, 1)] {
            allotter.ask(now, want(number, calls), Pace::whole(limit(3.0)), 0.0);
        }
        for grant in allotter.grant(now) {
            let number = (0..3).find(|it| instance(*it) == grant.to).unwrap();
            granted[number] += grant.permits;
        }
    }

    assert!(granted.iter().max().unwrap() - granted.iter().min().unwrap() <= 1, "{granted:?}");
}

#[test]
fn permit_that_is_not_used_is_void() {
    let mut permits = Permits::default();
    permits.hold(Time::ZERO, &engine(), Birth(1), 1);
    let late = Time::ZERO + PERMIT_LIFETIME;

    assert!(permits.has(Time::from_millis(499), &engine(), Birth(1)));
    assert!(!permits.has(late, &engine(), Birth(1)) && !permits.take(late, &engine(), Birth(1)));
}

#[test]
fn permit_is_for_one_request_to_one_incarnation() {
    let mut permits = Permits::default();
    permits.hold(Time::ZERO, &engine(), Birth(2), 1);

    assert!(!permits.take(Time::ZERO, &engine(), Birth(1)));
    assert!(permits.take(Time::ZERO, &engine(), Birth(2)));
    assert!(!permits.take(Time::ZERO, &engine(), Birth(2)));
}

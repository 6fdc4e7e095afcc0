//! Calls that one region hands over to another, under equal and different tables.

use medlarlug_core::gateway::{
    handover::{Attempts, Handover, HandoverReport},
    table::{Route, TableVersion},
};
use proptest::prelude::*;

use super::fixture::{route, service, table, target};

fn handover(version: u64, attempts: u32) -> Handover {
    Handover {
        version: TableVersion(version),
        route: Route { attempts, ..route("/mend/") },
        service: service("scribe"),
        arrivals: 4,
    }
}

/// Found by a hunted day: a call ran on three upstreams although its route allows two, because the
/// second region counted its attempts anew.
#[test]
fn attempts_left_bind_under_the_same_table() {
    let own = table(7, vec![route("/mend/")]).unwrap();

    let found = handover(7, 1).resolve(&own, "kochi.example", "/mend/1", 0.5);

    assert_eq!(found.unwrap().0.attempts, 1);
}

#[test]
fn newer_own_table_decides_about_the_service() {
    let moved = Route { targets: vec![target("desk", 1)], ..route("/mend/") };
    let own = table(8, vec![moved]).unwrap();

    let found = handover(7, 2).resolve(&own, "kochi.example", "/mend/1", 0.5);

    assert_eq!(found.unwrap().1, service("desk"));
}

#[test]
fn newer_table_of_the_sender_decides_about_the_service() {
    let moved = Route { targets: vec![target("desk", 1)], ..route("/mend/") };
    let own = table(6, vec![moved]).unwrap();

    let found = handover(7, 2).resolve(&own, "kochi.example", "/mend/1", 0.5);

    assert_eq!(found.unwrap().1, service("scribe"));
}

#[test]
fn route_that_the_newer_own_table_dropped_is_not_served() {
    let own = table(8, Vec::new()).unwrap();

    assert!(handover(7, 2).resolve(&own, "kochi.example", "/mend/1", 0.5).is_none());
}

/// The other region's head told of one run, and its stream went on at two more upstreams.
#[test]
fn stream_that_another_region_broke_off_may_have_used_every_attempt() {
    let mut attempts = Attempts::new(3, 4);
    attempts.record_run();

    attempts.record_missing_report();

    assert_eq!((attempts.runs_left(), attempts.arrivals_left()), (0, 0));
}

#[test]
fn route_without_attempts_allows_one() {
    assert_eq!(Attempts::new(0, 0).runs_left(), 1);
}

/// How a request to an upstream ends, as the instance that sent it sees it.
#[derive(Debug, Clone, Copy)]
enum End {
    /// The upstream refuses it.
    Refused,
    /// The upstream runs it, and its answer is lost or a failure.
    Run,
}

/// How a call that was handed over ends, as the first instance sees it.
#[derive(Debug, Clone, Copy)]
enum Return {
    /// With an answer and its report.
    Reported,
    /// With an answer without a report, by a connection that breaks, or by the first instance's
    /// patience, while the other instance goes on.
    Unreported,
}

/// What upstreams count of one call.
#[derive(Debug, Default)]
struct Counted {
    runs: u32,
    arrivals: u32,
}

/// Serves a call until an end has no successor or nothing may be sent any more.
fn serve(attempts: &mut Attempts, ends: &[End], counted: &mut Counted) {
    for end in ends {
        if !attempts.may_send() {
            return;
        }
        counted.arrivals += 1;
        match end {
            End::Refused => attempts.record_refusal(),
            End::Run => {
                counted.runs += 1;
                attempts.record_run();
            }
        }
    }
}

fn ends() -> impl Strategy<Value = Vec<End>> {
    prop::collection::vec(prop_oneof![Just(End::Refused), Just(End::Run)], 0..6)
}

proptest! {
    /// A call that goes to upstreams and other regions in turn stays within what its route allows,
    /// as upstreams count it.
    #[test]
    fn hand_overs_of_every_end_keep_to_the_attempts_of_the_route(
        allowed in 1u32..5,
        rounds in prop::collection::vec(
            (ends(), ends(), prop_oneof![Just(Return::Reported), Just(Return::Unreported)]),
            1..6,
        ),
    ) {
        let mut counted = Counted::default();
        let mut first = Attempts::new(allowed, 4);

        for (here, there, returned) in rounds {
            serve(&mut first, &here, &mut counted);
            if !first.may_send() {
                break;
            }
            let mut other = Attempts::new(first.runs_left(), first.arrivals_left());
            serve(&mut other, &there, &mut counted);
            match returned {
                Return::Reported => first.record_report(other.report(other.runs() == 0)),
                Return::Unreported => first.record_missing_report(),
            }
        }

        prop_assert!(counted.runs <= allowed, "{:?}", counted);
        prop_assert!(counted.arrivals <= 4, "{:?}", counted);
    }
}

#[test]
fn report_survives_its_way_as_a_header() {
    let report = HandoverReport { runs: 2, arrivals: 3, is_refused: false };

    let text = serde_json::to_string(&report).unwrap();

    assert_eq!(serde_json::from_str::<HandoverReport>(&text).unwrap(), report);
}

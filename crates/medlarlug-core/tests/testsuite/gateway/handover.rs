//! Calls that one region forwards to another, under equal and different route tables.

use medlarlug_core::gateway::{
    handover::{Attempts, Handover, HandoverReport},
    table::{Route, TableVersion},
};
use proptest::prelude::*;

use super::fixture::{route, service, table, target};

fn handover(version: u64, attempts: u32) -> Handover {
    Handover {
        software: None,
        team: None,
        version: TableVersion(version),
        route: Route { attempts, ..route("/mend/") },
        service: service("scribe"),
        arrivals: 4,
    }
}

/// Guards against counting attempts anew in the second region: a call ran on three upstreams
/// although its route allows two.
#[test]
fn remaining_attempts_bind_under_the_same_table() {
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

/// The other region reported one run in the head of its answer, and then its stream continued at
/// two more upstreams.
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
enum RequestEnd {
    /// The upstream refuses it.
    Refused,
    /// The upstream runs it, and the answer is lost or a failure.
    Run,
}

/// How a forwarded call ends, as the first instance sees it.
#[derive(Debug, Clone, Copy)]
enum ForwardEnd {
    /// With an answer that carries a report.
    Reported,
    /// With an answer without a report, with a broken connection, or with the first instance's
    /// timeout while the other instance continues.
    Unreported,
}

/// What upstreams count of one call.
#[derive(Debug, Default)]
struct Counted {
    runs: u32,
    arrivals: u32,
}

/// Serves a call until the list of outcomes ends or no more requests may be sent.
fn serve(attempts: &mut Attempts, ends: &[RequestEnd], counted: &mut Counted) {
    for end in ends {
        if !attempts.may_send() {
            return;
        }
        counted.arrivals += 1;
        match end {
            RequestEnd::Refused => attempts.record_refusal(),
            RequestEnd::Run => {
                counted.runs += 1;
                attempts.record_run();
            }
        }
    }
}

fn ends() -> impl Strategy<Value = Vec<RequestEnd>> {
    prop::collection::vec(prop_oneof![Just(RequestEnd::Refused), Just(RequestEnd::Run)], 0..6)
}

proptest! {
    /// A call that goes to local upstreams and other regions alternately stays within what its
    /// route allows, as upstreams count it.
    #[test]
    fn forwarded_calls_with_any_outcome_stay_within_the_attempts_of_the_route(
        allowed in 1u32..5,
        rounds in prop::collection::vec(
            (ends(), ends(), prop_oneof![Just(ForwardEnd::Reported), Just(ForwardEnd::Unreported)]),
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
                ForwardEnd::Reported => first.record_report(other.report(other.runs() == 0)),
                ForwardEnd::Unreported => first.record_missing_report(),
            }
        }

        prop_assert!(counted.runs <= allowed, "{:?}", counted);
        prop_assert!(counted.arrivals <= 4, "{:?}", counted);
    }
}

#[test]
fn report_survives_its_encoding_as_a_header() {
    let report = HandoverReport { runs: 2, arrivals: 3, ..HandoverReport::REJECTED };

    let text = serde_json::to_string(&report).unwrap();

    assert_eq!(serde_json::from_str::<HandoverReport>(&text).unwrap(), report);
}

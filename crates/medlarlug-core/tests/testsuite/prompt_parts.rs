//! Parts of prompts that crash upstreams, in requests that are all different.

use std::time::Duration;

use assert_matches::assert_matches;
use medlarlug_core::{
    fingerprint::Fingerprint,
    ids::{Incarnation, RequestId, UpstreamId},
    suspects::{
        ContentStatus, CrashId, CrashLedger, CrashReport, Effect, Event, Fact, Placement,
        RequestContents, SuspectTracker,
    },
    time::Time,
};
use test_support::id;

fn content(name: &str) -> Fingerprint {
    Fingerprint::of(name.as_bytes())
}

fn request_with(whole: &str, parts: &[&str]) -> RequestContents {
    RequestContents::new(content(whole), parts.iter().map(|it| content(it)).collect())
}

fn key(upstream: u32) -> CrashId {
    CrashId { upstream: id(&format!("engine-{upstream}")), incarnation: Incarnation(1) }
}

fn report(upstream: u32, requests: &[RequestContents], tested: &[&str]) -> Fact {
    let mut in_flight = requests.to_vec();
    in_flight.sort();
    let mut trials: Vec<Fingerprint> = tested.iter().map(|it| content(it)).collect();
    trials.sort();
    Fact::Crashed(CrashReport { key: key(upstream), age: Duration::ZERO, in_flight, trials })
}

fn crashed(upstream: u32, requests: &[RequestContents]) -> Fact {
    report(upstream, requests, &[])
}

fn ledger(facts: &[Fact]) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    ledger.apply_all(Time::ZERO, facts);
    ledger
}

fn is_quarantined(ledger: &CrashLedger, name: &str) -> bool {
    matches!(ledger.status(Time::ZERO, content(name)), ContentStatus::Quarantined { .. })
}

fn request(number: u64) -> RequestId {
    format!("riga.entry-1.1.{number}").parse().unwrap()
}

fn sent(number: u64, contents: RequestContents, upstream: u32) -> Event {
    let CrashId { upstream, incarnation } = key(upstream);
    Event::Sent { request: request(number), contents, upstream, incarnation }
}

/// Requests that differ, with the crashing part `dead`, each beside another sound request.
fn three_crashes() -> [Fact; 3] {
    [1, 2, 3].map(|it| {
        let crashing = request_with(&format!("crashing {it}"), &["dead", "session"]);
        let beside = request_with(&format!("beside {it}"), &[&format!("session {it}")]);
        crashed(it, &[crashing, beside])
    })
}

fn cleared(name: &str, upstreams: &[u32]) -> Fact {
    let crashes = upstreams.iter().map(|it| key(*it)).collect();
    Fact::Cleared { fingerprint: content(name), crashes, age: Duration::ZERO }
}

#[test]
fn part_in_flight_at_three_crashes_is_quarantined_in_requests_that_all_differ() {
    let mut facts = three_crashes().to_vec();
    facts.push(cleared("session", &[1, 2, 3]));

    let ledger = ledger(&facts);

    assert!(is_quarantined(&ledger, "dead"));
    assert_eq!(ledger.quarantines(Time::ZERO).len(), 1);
    let next = request_with("another", &["dead"]);
    assert_matches!(ledger.request_status(Time::ZERO, &next), ContentStatus::Quarantined { .. });
    let sound = request_with("sound", &["session", "session 1"]);
    assert_eq!(ledger.request_status(Time::ZERO, &sound), ContentStatus::Clear);
}

/// Before any answer has shown that a part of all prompts is sound, it is in flight at every crash.
#[test]
fn part_that_all_requests_share_is_not_quarantined_in_place_of_the_crashing_one() {
    let facts = [1, 2, 3].map(|it| {
        let crashing = request_with(&format!("crashing {it}"), &["everywhere", "dead"]);
        let beside = request_with(&format!("beside {it}"), &["everywhere", "session"]);
        crashed(it, &[crashing, beside])
    });

    let two = ledger(&facts[..2]);
    let three = ledger(&facts);

    assert!(two.quarantines(Time::ZERO).is_empty());
    assert!(is_quarantined(&three, "dead"));
    let sound = request_with("sound", &["everywhere"]);
    assert_eq!(three.request_status(Time::ZERO, &sound), ContentStatus::Clear);
}

#[test]
fn request_that_was_retried_at_each_crash_is_not_quarantined_beside_the_crashing_part() {
    let facts = [1, 2, 3].map(|it| {
        let crashing = request_with(&format!("crashing {it}"), &["dead"]);
        crashed(it, &[crashing, request_with("retried", &[])])
    });

    let ledger = ledger(&facts);

    assert!(is_quarantined(&ledger, "dead"));
    assert_eq!(ledger.status(Time::ZERO, content("retried")), ContentStatus::Clear);
}

#[test]
fn complete_answer_clears_the_parts_and_one_that_has_only_begun_does_not() {
    let (mut tracker, mut out) = (SuspectTracker::default(), Vec::new());
    let contents = request_with("request", &["session"]);
    let beside = crashed(2, std::slice::from_ref(&contents));
    tracker.handle(Time::ZERO, sent(1, contents, 1), &mut out);
    tracker.handle(Time::ZERO, Event::FactReceived(beside), &mut out);
    out.clear();

    tracker.handle(Time::ZERO, Event::Began { request: request(1) }, &mut out);
    let begun = tracker.clone();
    let published = std::mem::take(&mut out);
    tracker.handle(Time::ZERO, Event::Completed { request: request(1) }, &mut out);

    for name in ["session", "request"] {
        assert_eq!(begun.status(Time::ZERO, content(name)), ContentStatus::Suspect);
        assert_eq!(tracker.status(Time::ZERO, content(name)), ContentStatus::Clear);
        assert!(out.contains(&Effect::Publish(cleared(name, &[2]))));
    }
    assert_eq!(published, []);
}

#[test]
fn crash_report_leaves_out_parts_that_are_known_to_be_sound() {
    let (mut tracker, mut out) = (SuspectTracker::default(), Vec::new());
    tracker.handle(Time::ZERO, sent(1, request_with("sound", &["shared"]), 1), &mut out);
    tracker.handle(Time::ZERO, Event::Completed { request: request(1) }, &mut out);
    let next = request_with("next", &["shared", "dead"]);
    tracker.handle(Time::ZERO, sent(2, next, 2), &mut out);
    out.clear();

    let CrashId { upstream, incarnation } = key(2);
    tracker.handle(Time::ZERO, Event::UpstreamCrashed { upstream, incarnation }, &mut out);

    let expected = crashed(2, &[request_with("next", &["dead"])]);
    assert_eq!(out[0], Effect::Publish(expected));
}

/// Requests of several callers may have the same body and differ in the parts that their headers name.
#[test]
fn completed_run_of_the_same_body_does_not_clear_a_part_that_it_did_not_hold() {
    let (mut tracker, mut out) = (SuspectTracker::default(), Vec::new());
    tracker.handle(Time::ZERO, sent(1, request_with("body", &["session"]), 9), &mut out);
    tracker.handle(Time::ZERO, Event::Completed { request: request(1) }, &mut out);

    for upstream in 1..=3 {
        let fact = crashed(upstream, &[request_with("body", &["dead", "session"])]);
        tracker.handle(Time::ZERO, Event::FactReceived(fact), &mut out);
    }

    let status = |name: &str| tracker.status(Time::ZERO, content(name));
    assert_matches!(status("dead"), ContentStatus::Quarantined { .. });
    assert_eq!((status("body"), status("session")), (ContentStatus::Clear, ContentStatus::Clear));
}

#[test]
fn trial_of_a_crashing_request_says_nothing_about_its_parts() {
    let crashing = request_with("crashing", &["session"]);
    let facts = [1, 2].map(|it| crashed(it, std::slice::from_ref(&crashing)));

    let ledger = ledger(&facts);

    assert_eq!(ledger.tested_contents(&crashing), [content("crashing")]);
    assert_matches!(
        ledger.request_status(Time::ZERO, &crashing),
        ContentStatus::Quarantined { .. }
    );
}

#[test]
fn request_with_only_some_of_the_contents_that_may_be_at_fault_runs_as_a_suspect() {
    let crashing = request_with("first", &["shared", "dead"]);
    let mut ledger = ledger(&[1, 2].map(|it| crashed(it, std::slice::from_ref(&crashing))));
    let second = request_with("second", &["shared", "dead"]);
    let third = request_with("third", &["shared", "dead"]);
    let sound = request_with("sound", &["shared"]);
    let status = |ledger: &CrashLedger, it| ledger.request_status(Time::ZERO, it);

    let before = [status(&ledger, &second), status(&ledger, &sound)];
    ledger.apply(Time::ZERO, &crashed(3, std::slice::from_ref(&second)));
    let after = status(&ledger, &third);
    let beside = status(&ledger, &sound);
    ledger.apply(Time::ZERO, &cleared("shared", &[1, 2, 3]));

    assert_eq!(before, [ContentStatus::Suspect; 2]);
    assert_matches!(after, ContentStatus::Quarantined { .. });
    assert_eq!(beside, ContentStatus::Suspect);
    assert_eq!(status(&ledger, &sound), ContentStatus::Clear);
    let other = request_with("other", &["dead"]);
    assert_matches!(status(&ledger, &other), ContentStatus::Quarantined { .. });
}

/// Requests that are in flight together at each crash are refused each on its own: no request holds both.
#[test]
fn different_requests_that_can_not_be_told_apart_are_both_quarantined() {
    let requests = [request_with("one", &[]), request_with("two", &[])];

    let ledger = ledger(&[1, 2, 3].map(|it| crashed(it, &requests)));

    for request in &requests {
        let status = ledger.request_status(Time::ZERO, request);
        assert_matches!(status, ContentStatus::Quarantined { .. });
    }
}

#[test]
fn trial_of_a_part_fails_when_its_request_crashes_and_ends_with_a_complete_answer() {
    let (mut tracker, mut out) = (SuspectTracker::default(), Vec::new());
    for fact in three_crashes() {
        tracker.handle(Time::ZERO, Event::FactReceived(fact), &mut out);
    }
    let CrashId { upstream, incarnation } = key(4);
    let trial = request_with("trial", &["dead", "session"]);

    tracker.handle(Time::ZERO, sent(1, trial.clone(), 4), &mut out);
    let is_on_trial = tracker.is_on_trial(content("dead"));
    out.clear();
    tracker.handle(Time::ZERO, Event::UpstreamCrashed { upstream, incarnation }, &mut out);
    let failed = tracker.ledger().trials(content("dead")).map(|it| it.failed);
    let expected = report(4, std::slice::from_ref(&trial), &["dead", "session"]);
    let published = out[0].clone();
    tracker.handle(Time::ZERO, sent(2, trial, 5), &mut out);
    tracker.handle(Time::ZERO, Event::Began { request: request(2) }, &mut out);
    let is_still_on_trial = tracker.is_on_trial(content("dead"));
    tracker.handle(Time::ZERO, Event::Completed { request: request(2) }, &mut out);

    assert!(is_on_trial && is_still_on_trial);
    assert_eq!(failed, Some(1));
    assert_eq!(published, Effect::Publish(expected));
    assert!(!tracker.is_on_trial(content("dead")));
    assert_eq!(tracker.ledger().trials(content("dead")), None);
}

#[test]
fn suspected_part_runs_once_at_a_time() {
    let (mut tracker, mut out) = (SuspectTracker::default(), Vec::new());
    let fact = crashed(1, &[request_with("first", &["part"])]);
    tracker.handle(Time::ZERO, Event::FactReceived(fact), &mut out);
    let other = request_with("other", &["part"]);
    let engine: UpstreamId = id("engine-8");

    let before = tracker.placement(Time::ZERO, &other, &engine);
    tracker.handle(Time::ZERO, sent(1, request_with("second", &["part"]), 9), &mut out);
    let during = tracker.placement(Time::ZERO, &other, &engine);
    tracker.handle(Time::ZERO, Event::Began { request: request(1) }, &mut out);
    let after = tracker.placement(Time::ZERO, &other, &engine);

    assert_eq!(
        (before, during, after),
        (Placement::Allowed, Placement::Denied, Placement::Allowed)
    );
}

#[test]
fn report_that_leaves_out_parts_adds_nothing_to_the_complete_one() {
    let crashing = request_with("crashing", &["dead", "session"]);
    let complete = [1, 2].map(|it| crashed(it, std::slice::from_ref(&crashing)));
    let reduced = [1, 2].map(|it| crashed(it, &[request_with("crashing", &["dead"])]));
    let expected = ledger(&complete);
    let mut ledger = expected.clone();

    let is_new = ledger.apply_all(Time::ZERO, &reduced);

    assert!(!is_new);
    assert_eq!(ledger, expected);
    assert!(is_quarantined(&ledger, "dead"));
}

#[test]
fn stored_reports_keep_a_repeated_part_quarantined() {
    let ledger = ledger(&three_crashes());

    let stored = ledger.repeated_crashes(Time::ZERO);
    let mut restored = CrashLedger::default();
    restored.apply_all(Time::ZERO, &stored);

    assert!(is_quarantined(&restored, "dead"));
    let beside = request_with("beside 1", &["session 1"]);
    assert_eq!(restored.request_status(Time::ZERO, &beside), ContentStatus::Clear);
}

/// Three entry instances that exchange all facts, each with long answers on upstreams of its own.
struct Fleet {
    now: Time,
    trackers: Vec<SuspectTracker>,
    requests: u64,
    upstreams: u32,
    /// Number of requests with a crashing part that were sent.
    crashes: u32,
}

impl Fleet {
    /// Each instance streams one sound answer, begun and not yet complete.
    fn with_long_answers(parts: &[&str]) -> Fleet {
        let trackers = vec![SuspectTracker::default(); 3];
        let (now, requests, upstreams, crashes) = (Time::ZERO, 0, 0, 0);
        let mut fleet = Fleet { now, trackers, requests, upstreams, crashes };
        for instance in 0..3 {
            let (request, _) = fleet.send(instance, parts);
            fleet.handle(instance, Event::Began { request });
        }
        fleet
    }

    /// Sends a request with `parts` to an upstream that runs nothing else.
    fn send(&mut self, instance: usize, parts: &[&str]) -> (RequestId, CrashId) {
        (self.requests, self.upstreams) = (self.requests + 1, self.upstreams + 1);
        let contents = request_with(&format!("request {}", self.requests), parts);
        self.handle(instance, sent(self.requests, contents, self.upstreams));
        (request(self.requests), key(self.upstreams))
    }

    /// Sends a request with `parts`, whose upstream crashes when its answer has been written for `written`,
    /// beside a sound request that the same instance had in flight there.
    fn crash(&mut self, instance: usize, parts: &[&str], written: Duration) {
        let (request, CrashId { upstream, incarnation }) = self.send(instance, parts);
        self.requests += 1;
        let beside = request_with(&format!("beside {}", self.requests), &parts[..1]);
        self.handle(instance, sent(self.requests, beside, self.upstreams));
        self.handle(instance, Event::Began { request });
        self.now = self.now + written;
        self.handle(instance, Event::UpstreamCrashed { upstream, incarnation });
        self.crashes += 1;
    }

    fn handle(&mut self, instance: usize, event: Event) {
        let mut out = Vec::new();
        self.trackers[instance].handle(self.now, event, &mut out);
        while let Some(effect) = out.pop() {
            let Effect::Publish(fact) = effect else { continue };
            for tracker in &mut self.trackers {
                tracker.handle(self.now, Event::FactReceived(fact.clone()), &mut out);
            }
        }
    }

    fn tick(&mut self) {
        (0..3).for_each(|it| self.handle(it, Event::Tick));
    }

    /// Whether every instance runs requests with these parts without a trial.
    fn serves(&self, parts: &[&str]) -> bool {
        let contents = request_with("next", parts);
        self.trackers.iter().all(|it| it.ledger().quarantined_contents(&contents).is_empty())
    }
}

/// A part crashes its upstreams after they have written for a while. Asserts that it is quarantined, and the
/// parts that it shares requests with are not.
fn assert_quarantined_when_it_crashes_after(written: Duration) {
    let mut fleet = Fleet::with_long_answers(&["everywhere", "session"]);
    fleet.now = fleet.now + Duration::from_secs(6);

    for round in 0..9 {
        fleet.now = fleet.now + Duration::from_secs(1);
        fleet.tick();
        if fleet.serves(&["everywhere", "dead"]) {
            fleet.crash(round % 3, &["everywhere", "dead"], written);
        }
    }

    assert_eq!(fleet.crashes, 3, "written for {written:?}");
    assert!(!fleet.serves(&["everywhere", "dead"]), "written for {written:?}");
    assert!(fleet.serves(&["everywhere", "session"]), "written for {written:?}");
}

/// Guards against the failure that the first event of an answer cleared the parts of its prompt, so that a
/// part that crashes upstreams while they write was never found (issue 67, review/6).
#[test]
fn part_that_crashes_upstreams_as_they_write_is_quarantined_and_common_ones_go_on() {
    for written in [5, 300, 900].map(Duration::from_millis) {
        assert_quarantined_when_it_crashes_after(written);
    }
}

/// As the test before, for a part that crashes its upstreams late in their answers.
#[test]
fn part_that_crashes_upstreams_late_in_an_answer_is_quarantined_and_common_ones_go_on() {
    assert_quarantined_when_it_crashes_after(Duration::from_millis(2_500));
}

/// No sound answer is complete when the upstreams crash, and the part that all requests share is in flight
/// at more crashes than each of the two that are at fault.
#[test]
fn common_part_is_cleared_by_answers_that_outlast_the_interrupted_ones() {
    let mut fleet = Fleet::with_long_answers(&["everywhere"]);
    fleet.now = fleet.now + Duration::from_secs(3);

    for round in 0..12 {
        fleet.now = fleet.now + Duration::from_millis(500);
        fleet.tick();
        let parts = ["everywhere", ["dead", "ill"][round % 2]];
        if fleet.serves(&parts) {
            fleet.crash(round % 3, &parts, Duration::from_millis(5));
        }
        assert!(fleet.serves(&["everywhere"]), "after {} crashes", fleet.crashes);
    }

    assert_eq!(fleet.crashes, 6);
    assert!(!fleet.serves(&["dead"]) && !fleet.serves(&["ill"]));
}

/// An answer that is about to crash its upstream as well is no proof.
#[test]
fn answer_that_has_not_outlasted_the_interrupted_one_clears_nothing() {
    let mut fleet = Fleet::with_long_answers(&["dead"]);
    fleet.now = fleet.now + Duration::from_millis(1_900);

    fleet.crash(0, &["dead"], Duration::ZERO);
    fleet.crash(0, &["dead"], Duration::ZERO);
    fleet.crash(0, &["dead"], Duration::ZERO);
    fleet.tick();

    assert!(!fleet.serves(&["dead"]));
}

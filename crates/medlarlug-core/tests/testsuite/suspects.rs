//! Requests that crash upstreams: the bound on crashes, and the clearance of other contents.

use std::time::Duration;

use assert_matches::assert_matches;
use medlarlug_core::{
    fingerprint::Fingerprint,
    ids::{Incarnation, RequestId, UpstreamId},
    suspects::{
        ContentStatus, CrashId, CrashLedger, CrashReport, Effect, Event, Fact, Placement,
        QUARANTINE_LIFETIME, RequestContents, SuspectTracker,
    },
    time::Time,
};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use test_support::id;

fn content(number: u32) -> Fingerprint {
    Fingerprint::of(&number.to_be_bytes())
}

/// A request whose prompt has no parts that others share.
fn plain(content: Fingerprint) -> RequestContents {
    RequestContents::new(content, Vec::new())
}

fn key(upstream: u32) -> CrashId {
    CrashId { upstream: id(&format!("engine-{upstream}")), incarnation: Incarnation(1) }
}

fn crashed(upstream: u32, contents: &[u32]) -> Fact {
    crashed_with(upstream, contents.iter().map(|it| plain(content(*it))).collect())
}

fn crashed_with(upstream: u32, mut in_flight: Vec<RequestContents>) -> Fact {
    in_flight.sort();
    Fact::Crashed(CrashReport {
        key: key(upstream),
        age: Duration::ZERO,
        in_flight,
        trials: Vec::new(),
    })
}

fn cleared(number: u32, upstreams: &[u32]) -> Fact {
    let crashes = upstreams.iter().map(|it| key(*it)).collect();
    Fact::Cleared { fingerprint: content(number), crashes, age: Duration::ZERO }
}

fn ledger(facts: &[Fact]) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for fact in facts {
        ledger.apply(Time::ZERO, fact);
    }
    ledger
}

fn is_quarantined(ledger: &CrashLedger, number: u32) -> bool {
    matches!(ledger.status(Time::ZERO, content(number)), ContentStatus::Quarantined { .. })
}

/// Entry instances that route to shared upstreams, with callers who retry requests that a crash
/// interrupted.
struct Simulation {
    random: ChaCha8Rng,
    now: Time,
    entries: Vec<SuspectTracker>,
    /// Current incarnation of each upstream.
    upstreams: Vec<u64>,
    /// Content, request, entry and upstream of each request in flight.
    in_flight: Vec<(u32, RequestId, usize, usize)>,
    waiting: Vec<(u32, usize)>,
    messages: Vec<Event>,
    sequence: u64,
    crashes: usize,
    completed: Vec<u32>,
    refused: Vec<u32>,
}

impl Simulation {
    fn new(seed: u64, entries: usize, upstreams: usize) -> Simulation {
        Simulation {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            entries: vec![SuspectTracker::default(); entries],
            upstreams: vec![1; upstreams],
            in_flight: Vec::new(),
            waiting: Vec::new(),
            messages: Vec::new(),
            sequence: 0,
            crashes: 0,
            completed: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn upstream(&self, place: usize) -> UpstreamId {
        id(&format!("engine-{place}"))
    }

    fn feed(&mut self, entry: usize, event: Event) {
        let mut out = Vec::new();
        self.entries[entry].handle(self.now, event, &mut out);
        for effect in out {
            match effect {
                Effect::Publish(fact) => self.messages.push(Event::FactReceived(fact)),
                Effect::Reserve { .. } | Effect::ReleaseReservation { .. } => {
                    self.reserve(entry, effect)
                }
                Effect::Interrupted { request } => {
                    let place = self.in_flight.iter().position(|it| it.1 == request).unwrap();
                    let (content, _, entry, _) = self.in_flight.remove(place);
                    self.waiting.push((content, entry));
                }
                Effect::PartsOmitted { .. } => {}
            }
        }
    }

    /// Reservations are delivered before any other request is sent.
    fn reserve(&mut self, from: usize, effect: Effect) {
        for entry in (0..self.entries.len()).filter(|&it| it != from) {
            let event = match effect.clone() {
                Effect::Reserve { upstream, lifetime } => Event::Reserved { upstream, lifetime },
                Effect::ReleaseReservation { upstream } => Event::ReservationReleased { upstream },
                _ => unreachable!("no reservation"),
            };
            self.feed(entry, event);
        }
    }

    /// Delivers the facts in random order, some of them twice.
    fn deliver_facts(&mut self) {
        let mut messages = std::mem::take(&mut self.messages);
        messages.extend(messages.clone().into_iter().step_by(2));
        messages.shuffle(&mut self.random);
        for event in messages {
            (0..self.entries.len()).for_each(|entry| self.feed(entry, event.clone()));
        }
    }

    /// Sends a request if its placement is allowed on some upstream; a quarantined content is refused.
    fn send(&mut self, number: u32, entry: usize) -> bool {
        let tracker = &self.entries[entry];
        if matches!(tracker.status(self.now, content(number)), ContentStatus::Quarantined { .. }) {
            self.refused.push(number);
            return true;
        }
        let is_free = |&it: &usize| {
            let upstream = self.upstream(it);
            let is_empty = !self.in_flight.iter().any(|request| request.3 == it);
            let is_clear = tracker.status(self.now, content(number)) == ContentStatus::Clear;
            tracker.placement(self.now, &plain(content(number)), &upstream) == Placement::Allowed
                && (is_clear || is_empty)
        };
        let free: Vec<usize> = (0..self.upstreams.len()).filter(is_free).collect();
        if free.is_empty() {
            return false;
        }
        let place = free[self.random.random_range(0..free.len())];
        self.sequence += 1;
        let request: RequestId = id(&format!("riga.entry-{entry}.1.{}", self.sequence));
        self.in_flight.push((number, request.clone(), entry, place));
        let sent = Event::Sent {
            request,
            contents: plain(content(number)),
            upstream: self.upstream(place),
            incarnation: Incarnation(self.upstreams[place]),
        };
        self.feed(entry, sent);
        true
    }

    /// Completes a random request in flight, or crashes its upstream if it has the crashing content.
    fn end(&mut self, crashing: u32) {
        let place = self.random.random_range(0..self.in_flight.len());
        let (number, request, entry, upstream) = self.in_flight[place].clone();
        if number != crashing {
            self.in_flight.remove(place);
            self.completed.push(number);
            self.feed(entry, Event::Completed { request });
            return;
        }
        self.crashes += 1;
        let incarnation = Incarnation(self.upstreams[upstream]);
        self.upstreams[upstream] += 1;
        for entry in 0..self.entries.len() {
            let upstream = self.upstream(upstream);
            self.feed(entry, Event::UpstreamCrashed { upstream, incarnation });
        }
    }

    fn run(&mut self, crashing: u32) {
        while !self.in_flight.is_empty() || !self.waiting.is_empty() {
            self.now = self.now + Duration::from_millis(10);
            self.deliver_facts();
            for (number, _) in std::mem::take(&mut self.waiting) {
                let entry = self.random.random_range(0..self.entries.len());
                if !self.send(number, entry) {
                    self.waiting.push((number, entry));
                }
            }
            if !self.in_flight.is_empty() {
                self.end(crashing);
            }
        }
        self.deliver_facts();
    }
}

#[test]
fn crashing_content_loses_two_upstreams_and_the_others_are_cleared() {
    for seed in 0..2_000 {
        let mut simulation = Simulation::new(seed, 3, 4);
        simulation.waiting = (0..12).map(|it| (it, 0)).collect();

        simulation.run(5);

        assert_eq!(simulation.crashes, 2, "seed {seed}");
        assert_eq!(simulation.refused, [5], "seed {seed}");
        simulation.completed.sort();
        assert_eq!(simulation.completed, [0, 1, 2, 3, 4, 6, 7, 8, 9, 10, 11], "seed {seed}");
        for (entry, number) in (0..3).flat_map(|entry| (0..12).map(move |it| (entry, it))) {
            let status = simulation.entries[entry].status(simulation.now, content(number));
            match number {
                5 => assert_matches!(status, ContentStatus::Quarantined { .. }, "seed {seed}"),
                _ => assert_eq!(status, ContentStatus::Clear, "seed {seed}, content {number}"),
            }
        }
    }
}

#[test]
fn overlapping_requests_add_at_most_one_crash_per_instance() {
    for seed in 0..1_000 {
        let mut simulation = Simulation::new(seed, 3, 8);
        let sends = simulation.random.random_range(1..5);
        simulation.waiting = (0..sends).map(|_| (5, 0)).chain((10..20).map(|it| (it, 0))).collect();

        simulation.run(5);

        // All first requests can be in flight at the first crash; afterwards each of the three instances
        // runs one at a time.
        assert!(
            simulation.crashes <= 2.max(sends) + 2,
            "seed {seed}: {} for {sends}",
            simulation.crashes
        );
        assert!(!simulation.refused.iter().any(|it| *it != 5), "seed {seed}");
        assert_eq!(simulation.completed.len(), 10, "seed {seed}");
    }
}

#[test]
fn quarantines_do_not_depend_on_the_order_of_the_facts() {
    for seed in 0..2_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut facts = Vec::new();
        for _ in 0..random.random_range(1..8) {
            let upstream = random.random_range(0..4);
            let mut contents: Vec<u32> = (0..5).filter(|_| random.random_bool(0.4)).collect();
            contents.shuffle(&mut random);
            facts.push(crashed(upstream, &contents));
            if random.random_bool(0.4) {
                facts.push(cleared(random.random_range(0..5), &[upstream]));
            }
        }
        let first = ledger(&facts);

        facts.extend(facts.clone());
        facts.shuffle(&mut random);
        let second = ledger(&facts);
        let third = ledger(&second.facts(Time::ZERO));

        assert_eq!(first, second, "seed {seed}");
        assert_eq!(first, third, "seed {seed}");
    }
}

#[test]
fn known_fact_is_not_reported_as_new() {
    let mut ledger = ledger(&[crashed(1, &[1]), cleared(1, &[1])]);

    assert!(!ledger.apply(Time::from_millis(5), &crashed(1, &[1])));
    assert!(!ledger.apply(Time::from_millis(5), &cleared(1, &[1])));
}

#[test]
fn two_crashes_with_the_same_contents_in_flight_quarantine_none() {
    let ledger = ledger(&[crashed(1, &[1, 2]), crashed(2, &[1, 2])]);

    assert!(!is_quarantined(&ledger, 1) && !is_quarantined(&ledger, 2));
    assert_eq!(ledger.status(Time::ZERO, content(1)), ContentStatus::Suspect);
}

#[test]
fn crashes_that_a_quarantined_content_explains_count_against_no_other() {
    let ledger = ledger(&[crashed(1, &[1, 2, 3]), crashed(2, &[1, 2]), crashed(3, &[1])]);

    assert!(is_quarantined(&ledger, 1));
    assert_eq!(ledger.status(Time::ZERO, content(2)), ContentStatus::Clear);
    assert_eq!(ledger.status(Time::ZERO, content(3)), ContentStatus::Clear);
}

#[test]
fn three_crashes_quarantine_whatever_else_was_in_flight() {
    let ledger = ledger(&[crashed(1, &[1, 2]), crashed(2, &[1, 3]), crashed(3, &[1, 4])]);

    assert!(is_quarantined(&ledger, 1));
    assert_eq!(ledger.quarantines(Time::ZERO).len(), 1);
}

#[test]
fn quarantine_expires_and_the_next_crash_quarantines_for_longer() {
    let mut ledger = ledger(&[crashed(1, &[1]), crashed(2, &[1])]);
    let end = Time::ZERO + QUARANTINE_LIFETIME;

    let expired = ledger.status(end, content(1));
    ledger.apply(end, &crashed(3, &[1]));
    let again = ledger.status(end, content(1));

    assert_eq!(expired, ContentStatus::Suspect);
    assert_eq!(again, ContentStatus::Quarantined { retry_after: QUARANTINE_LIFETIME * 2 });
}

#[test]
fn suspect_has_its_upstream_to_itself() {
    let mut tracker = SuspectTracker::default();
    let engine: UpstreamId = id("engine-9");
    let sent = |number: u32, upstream: &UpstreamId| Event::Sent {
        request: id(&format!("riga.entry-1.1.{number}")),
        contents: plain(content(number)),
        upstream: upstream.clone(),
        incarnation: Incarnation(1),
    };
    tracker.handle(Time::ZERO, Event::FactReceived(crashed(1, &[1, 2])), &mut Vec::new());
    let mut out = Vec::new();

    tracker.handle(Time::ZERO, sent(1, &engine), &mut out);

    let place = |number, engine: &UpstreamId| {
        tracker.placement(Time::ZERO, &plain(content(number)), engine)
    };
    assert_matches!(&out[..], [Effect::Reserve { upstream, .. }] if *upstream == engine);
    assert_eq!(place(2, &engine), Placement::Denied);
    assert_eq!(place(3, &engine), Placement::Denied);
    assert_eq!(place(2, &id("engine-8")), Placement::Allowed);
    assert_eq!(place(1, &id("engine-8")), Placement::Denied);
}

#[test]
fn suspect_shares_an_upstream_only_with_contents_that_are_clear() {
    let mut tracker = SuspectTracker::default();
    let sent = Event::Sent {
        request: id("riga.entry-1.1.1"),
        contents: plain(content(3)),
        upstream: id("engine-9"),
        incarnation: Incarnation(1),
    };
    tracker.handle(Time::ZERO, sent, &mut Vec::new());
    tracker.handle(Time::ZERO, Event::FactReceived(crashed(1, &[1, 2])), &mut Vec::new());

    assert_eq!(
        tracker.placement(Time::ZERO, &plain(content(1)), &id("engine-9")),
        Placement::LastResort
    );
    assert_eq!(
        tracker.placement(Time::ZERO, &plain(content(4)), &id("engine-9")),
        Placement::Allowed
    );
}

#[test]
fn reserved_upstream_accepts_nothing_until_the_reservation_is_released_or_expires() {
    let (mut tracker, engine): (SuspectTracker, UpstreamId) =
        (SuspectTracker::default(), id("engine-9"));
    let reserved =
        || Event::Reserved { upstream: id("engine-9"), lifetime: Duration::from_secs(5) };
    let mut out = Vec::new();

    tracker.handle(Time::ZERO, reserved(), &mut out);
    let held = tracker.placement(Time::from_millis(4_999), &plain(content(1)), &engine);
    let expired = tracker.placement(Time::from_millis(5_000), &plain(content(1)), &engine);
    tracker.handle(Time::ZERO, Event::ReservationReleased { upstream: engine.clone() }, &mut out);
    let freed = tracker.placement(Time::ZERO, &plain(content(1)), &engine);

    assert_eq!((held, expired, freed), (Placement::Denied, Placement::Allowed, Placement::Allowed));
}

#[test]
fn cleared_content_is_no_suspect_and_the_crash_counts_against_the_others() {
    let ledger = ledger(&[crashed(1, &[1, 2]), crashed(2, &[1, 3]), cleared(2, &[1])]);

    assert_eq!(ledger.status(Time::ZERO, content(2)), ContentStatus::Clear);
    assert!(is_quarantined(&ledger, 1));
}

#[test]
fn clearance_counts_only_for_the_crashes_it_names() {
    let ledger = ledger(&[cleared(1, &[1]), crashed(1, &[1]), crashed(2, &[1])]);

    assert_eq!(ledger.crashes_of(content(1)), [key(2)]);
    assert_eq!(ledger.status(Time::ZERO, content(1)), ContentStatus::Suspect);
}

fn request(number: u64) -> RequestId {
    format!("riga.entry-1.1.{number}").parse().unwrap()
}

fn sent(number: u64, content: Fingerprint, upstream: u32) -> Event {
    let CrashId { upstream, incarnation } = key(upstream);
    Event::Sent { request: request(number), contents: plain(content), upstream, incarnation }
}

/// When upstreams crashed together, a content that many callers send was in flight on each of them, and was
/// refused for twenty minutes. Found by the soak test.
#[test]
fn content_that_runs_elsewhere_is_not_quarantined_for_upstreams_that_crash_together() {
    let (mut tracker, mut out) = (SuspectTracker::default(), Vec::new());
    let now = Time::from_millis(1_000);
    tracker.handle(Time::ZERO, sent(1, content(7), 1), &mut out);
    tracker.handle(Time::ZERO, Event::Completed { request: request(1) }, &mut out);
    out.clear();

    for upstream in 1..=3 {
        tracker.handle(now, Event::FactReceived(crashed(upstream, &[7, 8])), &mut out);
    }

    assert_eq!(tracker.status(now, content(7)), ContentStatus::Clear);
    assert_matches!(tracker.status(now, content(8)), ContentStatus::Quarantined { .. });
    let published: Vec<Effect> = (1..=3).map(|it| Effect::Publish(cleared(7, &[it]))).collect();
    assert_eq!(out, published);
}

#[test]
fn run_that_began_before_a_crash_clears_its_content() {
    let (mut tracker, mut out) = (SuspectTracker::default(), Vec::new());
    tracker.handle(Time::ZERO, sent(1, content(7), 4), &mut out);
    tracker.handle(Time::ZERO, Event::FactReceived(crashed(1, &[7])), &mut out);

    tracker.handle(Time::ZERO, Event::Completed { request: request(1) }, &mut out);

    assert_eq!(tracker.status(Time::ZERO, content(7)), ContentStatus::Clear);
}

#[test]
fn completed_run_clears_its_content_for_one_minute_only() {
    let (mut tracker, mut out) = (SuspectTracker::default(), Vec::new());
    let later = Time::from_millis(61_000);
    tracker.handle(Time::ZERO, sent(1, content(7), 4), &mut out);
    tracker.handle(Time::ZERO, Event::Completed { request: request(1) }, &mut out);

    tracker.handle(later, Event::FactReceived(crashed(1, &[7])), &mut out);

    assert_eq!(tracker.status(later, content(7)), ContentStatus::Suspect);
}

/// Guards against quarantines that are kept although a fact has changed the evidence (issue 77).
#[test]
fn ledger_that_facts_changed_one_by_one_equals_one_that_gets_all_known_facts_at_once() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut single = CrashLedger::default();
        for hour in 0..40 {
            let now = Time::from_millis(hour * 3_600_000);
            let fact = match rng.random_range(0..3) {
                0 => cleared(rng.random_range(0..6), &[rng.random_range(0..8)]),
                _ => {
                    let request = |_| {
                        let [whole, one, other] = [12, 6, 6].map(|it| rng.random_range(0..it));
                        RequestContents::new(content(whole), vec![content(one), content(other)])
                    };
                    let in_flight = (0..3).map(request).collect();
                    crashed_with(rng.random_range(0..8), in_flight)
                }
            };
            single.apply(now, &fact);
            single.expire(now);

            let mut at_once = CrashLedger::default();
            at_once.apply_all(now, &single.facts(now));

            assert_eq!(single, at_once, "seed {seed}, hour {hour}, {fact:?}");
        }
    }
}

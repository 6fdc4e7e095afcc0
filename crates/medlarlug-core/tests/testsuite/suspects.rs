//! Requests that crash upstreams: the bound on crashes, and the clearing of the others.

use std::time::Duration;

use assert_matches::assert_matches;
use medlarlug_core::{
    fingerprint::Fingerprint,
    ids::{Incarnation, RequestId, UpstreamId},
    suspects::{
        ContentStatus, CrashId, CrashLedger, CrashReport, Effect, Event, Fact, Placement,
        QUARANTINE_LIFETIME, SuspectTracker,
    },
    time::Time,
};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use test_support::id;

fn content(number: u32) -> Fingerprint {
    Fingerprint::of(&number.to_be_bytes())
}

fn key(upstream: u32) -> CrashId {
    CrashId { upstream: id(&format!("engine-{upstream}")), incarnation: Incarnation(1) }
}

fn lost(upstream: u32, contents: &[u32]) -> Fact {
    let mut in_flight: Vec<Fingerprint> = contents.iter().map(|it| content(*it)).collect();
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

/// Entry instances that route over shared upstreams, with callers who send what was lost again.
struct Trial {
    random: ChaCha8Rng,
    now: Time,
    entries: Vec<SuspectTracker>,
    /// Current incarnation of each upstream.
    upstreams: Vec<u64>,
    /// Content, request, entry and upstream of each request in flight, and whether all other
    /// requests in flight there have to end first.
    in_flight: Vec<(u32, RequestId, usize, usize)>,
    waiting: Vec<(u32, usize)>,
    mail: Vec<Event>,
    sequence: u64,
    crashes: usize,
    done: Vec<u32>,
    refused: Vec<u32>,
}

impl Trial {
    fn new(seed: u64, entries: usize, upstreams: usize) -> Trial {
        Trial {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            entries: vec![SuspectTracker::default(); entries],
            upstreams: vec![1; upstreams],
            in_flight: Vec::new(),
            waiting: Vec::new(),
            mail: Vec::new(),
            sequence: 0,
            crashes: 0,
            done: Vec::new(),
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
                Effect::Publish(fact) => self.mail.push(Event::FactReceived(fact)),
                Effect::Reserve { .. } | Effect::ReleaseReservation { .. } => {
                    self.reserve(entry, effect)
                }
                Effect::Interrupted { request } => {
                    let place = self.in_flight.iter().position(|it| it.1 == request).unwrap();
                    let (content, _, entry, _) = self.in_flight.remove(place);
                    self.waiting.push((content, entry));
                }
            }
        }
    }

    /// Reservations come before anything else is sent.
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

    /// Facts come in any order, some of them twice.
    fn exchange(&mut self) {
        let mut mail = std::mem::take(&mut self.mail);
        mail.extend(mail.clone().into_iter().step_by(2));
        mail.shuffle(&mut self.random);
        for event in mail {
            (0..self.entries.len()).for_each(|entry| self.feed(entry, event.clone()));
        }
    }

    /// Sends a content if an upstream is free for it.
    fn send(&mut self, number: u32, entry: usize) -> bool {
        let core = &self.entries[entry];
        if matches!(core.status(self.now, content(number)), ContentStatus::Quarantined { .. }) {
            self.refused.push(number);
            return true;
        }
        let is_free = |&it: &usize| {
            let upstream = self.upstream(it);
            let is_empty = !self.in_flight.iter().any(|flight| flight.3 == it);
            let is_clear = core.status(self.now, content(number)) == ContentStatus::Clear;
            core.placement(self.now, content(number), &upstream) == Placement::Allowed
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
            fingerprint: content(number),
            upstream: self.upstream(place),
            incarnation: Incarnation(self.upstreams[place]),
        };
        self.feed(entry, sent);
        true
    }

    /// Ends a request in flight, or loses the upstream if the request crashes it.
    fn end(&mut self, crashing: u32) {
        let place = self.random.random_range(0..self.in_flight.len());
        let (number, request, entry, upstream) = self.in_flight[place].clone();
        if number != crashing {
            self.in_flight.remove(place);
            self.done.push(number);
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
            self.exchange();
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
        self.exchange();
    }
}

#[test]
fn crashing_content_loses_two_upstreams_and_the_others_are_cleared() {
    for seed in 0..2_000 {
        let mut trial = Trial::new(seed, 3, 4);
        trial.waiting = (0..12).map(|it| (it, 0)).collect();

        trial.run(5);

        assert_eq!(trial.crashes, 2, "seed {seed}");
        assert_eq!(trial.refused, [5], "seed {seed}");
        trial.done.sort();
        assert_eq!(trial.done, [0, 1, 2, 3, 4, 6, 7, 8, 9, 10, 11], "seed {seed}");
        for (entry, number) in (0..3).flat_map(|entry| (0..12).map(move |it| (entry, it))) {
            let standing = trial.entries[entry].status(trial.now, content(number));
            match number {
                5 => assert_matches!(standing, ContentStatus::Quarantined { .. }, "seed {seed}"),
                _ => assert_eq!(standing, ContentStatus::Clear, "seed {seed}, content {number}"),
            }
        }
    }
}

#[test]
fn overlapping_sends_add_one_loss_for_each_instance_at_most() {
    for seed in 0..1_000 {
        let mut trial = Trial::new(seed, 3, 8);
        let sends = trial.random.random_range(1..5);
        trial.waiting = (0..sends).map(|_| (5, 0)).chain((10..20).map(|it| (it, 0))).collect();

        trial.run(5);

        // All first sends can be in flight at the first loss; then each of the three instances
        // runs one at a time.
        assert!(trial.crashes <= 2.max(sends) + 2, "seed {seed}: {} for {sends}", trial.crashes);
        assert!(!trial.refused.iter().any(|it| *it != 5), "seed {seed}");
        assert_eq!(trial.done.len(), 10, "seed {seed}");
    }
}

#[test]
fn verdicts_do_not_depend_on_the_order_of_the_facts() {
    for seed in 0..2_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut facts = Vec::new();
        for _ in 0..random.random_range(1..8) {
            let upstream = random.random_range(0..4);
            let mut contents: Vec<u32> = (0..5).filter(|_| random.random_bool(0.4)).collect();
            contents.shuffle(&mut random);
            facts.push(lost(upstream, &contents));
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
fn known_fact_is_not_worth_handing_on() {
    let mut ledger = ledger(&[lost(1, &[1]), cleared(1, &[1])]);

    assert!(!ledger.apply(Time::from_millis(5), &lost(1, &[1])));
    assert!(!ledger.apply(Time::from_millis(5), &cleared(1, &[1])));
}

#[test]
fn two_losses_in_the_same_company_quarantine_nobody() {
    let ledger = ledger(&[lost(1, &[1, 2]), lost(2, &[1, 2])]);

    assert!(!is_quarantined(&ledger, 1) && !is_quarantined(&ledger, 2));
    assert_eq!(ledger.status(Time::ZERO, content(1)), ContentStatus::Suspect);
}

#[test]
fn losses_that_a_quarantined_content_explains_count_against_no_other() {
    let ledger = ledger(&[lost(1, &[1, 2, 3]), lost(2, &[1, 2]), lost(3, &[1])]);

    assert!(is_quarantined(&ledger, 1));
    assert_eq!(ledger.status(Time::ZERO, content(2)), ContentStatus::Clear);
    assert_eq!(ledger.status(Time::ZERO, content(3)), ContentStatus::Clear);
}

#[test]
fn three_losses_quarantine_in_any_company() {
    let ledger = ledger(&[lost(1, &[1, 2]), lost(2, &[1, 3]), lost(3, &[1, 4])]);

    assert!(is_quarantined(&ledger, 1));
    assert_eq!(ledger.quarantines(Time::ZERO).len(), 1);
}

#[test]
fn quarantine_expires_and_the_next_loss_quarantines_for_longer() {
    let mut ledger = ledger(&[lost(1, &[1]), lost(2, &[1])]);
    let end = Time::ZERO + QUARANTINE_LIFETIME;

    let expired = ledger.status(end, content(1));
    ledger.apply(end, &lost(3, &[1]));
    let again = ledger.status(end, content(1));

    assert_eq!(expired, ContentStatus::Suspect);
    assert_eq!(again, ContentStatus::Quarantined { retry_after: QUARANTINE_LIFETIME * 2 });
}

#[test]
fn suspect_has_its_upstream_alone() {
    let mut core = SuspectTracker::default();
    let engine: UpstreamId = id("engine-9");
    let sent = |number: u32, upstream: &UpstreamId| Event::Sent {
        request: id(&format!("riga.entry-1.1.{number}")),
        fingerprint: content(number),
        upstream: upstream.clone(),
        incarnation: Incarnation(1),
    };
    core.handle(Time::ZERO, Event::FactReceived(lost(1, &[1, 2])), &mut Vec::new());
    let mut out = Vec::new();

    core.handle(Time::ZERO, sent(1, &engine), &mut out);

    let place = |number, engine: &UpstreamId| core.placement(Time::ZERO, content(number), engine);
    assert_matches!(&out[..], [Effect::Reserve { upstream, .. }] if *upstream == engine);
    assert_eq!(place(2, &engine), Placement::Denied);
    assert_eq!(place(3, &engine), Placement::Denied);
    assert_eq!(place(2, &id("engine-8")), Placement::Allowed);
    assert_eq!(place(1, &id("engine-8")), Placement::Denied);
}

#[test]
fn suspect_shares_an_upstream_only_with_contents_that_are_clear() {
    let mut core = SuspectTracker::default();
    let sent = Event::Sent {
        request: id("riga.entry-1.1.1"),
        fingerprint: content(3),
        upstream: id("engine-9"),
        incarnation: Incarnation(1),
    };
    core.handle(Time::ZERO, sent, &mut Vec::new());
    core.handle(Time::ZERO, Event::FactReceived(lost(1, &[1, 2])), &mut Vec::new());

    assert_eq!(core.placement(Time::ZERO, content(1), &id("engine-9")), Placement::LastResort);
    assert_eq!(core.placement(Time::ZERO, content(4), &id("engine-9")), Placement::Allowed);
}

#[test]
fn reserved_upstream_takes_nothing_until_it_is_freed_or_the_reservation_ends() {
    let (mut core, engine): (SuspectTracker, UpstreamId) =
        (SuspectTracker::default(), id("engine-9"));
    let reserved =
        || Event::Reserved { upstream: id("engine-9"), lifetime: Duration::from_secs(5) };
    let mut out = Vec::new();

    core.handle(Time::ZERO, reserved(), &mut out);
    let held = core.placement(Time::from_millis(4_999), content(1), &engine);
    let expired = core.placement(Time::from_millis(5_000), content(1), &engine);
    core.handle(Time::ZERO, Event::ReservationReleased { upstream: engine.clone() }, &mut out);
    let freed = core.placement(Time::ZERO, content(1), &engine);

    assert_eq!((held, expired, freed), (Placement::Denied, Placement::Allowed, Placement::Allowed));
}

#[test]
fn cleared_content_is_no_suspect_and_leaves_the_loss_to_the_others() {
    let company = ledger(&[lost(1, &[1, 2]), lost(2, &[1, 3]), cleared(2, &[1])]);

    assert_eq!(company.status(Time::ZERO, content(2)), ContentStatus::Clear);
    assert!(is_quarantined(&company, 1));
}

#[test]
fn clearance_counts_only_for_the_losses_it_names() {
    let ledger = ledger(&[cleared(1, &[1]), lost(1, &[1]), lost(2, &[1])]);

    assert_eq!(ledger.crashes_of(content(1)), [key(2)]);
    assert_eq!(ledger.status(Time::ZERO, content(1)), ContentStatus::Suspect);
}

fn request(number: u64) -> RequestId {
    format!("riga.entry-1.1.{number}").parse().unwrap()
}

fn sent(number: u64, content: Fingerprint, upstream: u32) -> Event {
    let CrashId { upstream, incarnation } = key(upstream);
    Event::Sent { request: request(number), fingerprint: content, upstream, incarnation }
}

/// Found by the soak: upstreams crashed together, a content that many callers send was in flight at each,
/// and it was refused for twenty minutes.
#[test]
fn content_that_runs_elsewhere_is_not_quarantined_for_upstreams_that_crash_together() {
    let (mut core, mut out) = (SuspectTracker::default(), Vec::new());
    let now = Time::from_millis(1_000);
    core.handle(Time::ZERO, sent(1, content(7), 1), &mut out);
    core.handle(Time::ZERO, Event::Completed { request: request(1) }, &mut out);
    out.clear();

    for upstream in 1..=3 {
        core.handle(now, Event::FactReceived(lost(upstream, &[7, 8])), &mut out);
    }

    assert_eq!(core.status(now, content(7)), ContentStatus::Clear);
    assert_matches!(core.status(now, content(8)), ContentStatus::Quarantined { .. });
    let told: Vec<Effect> = (1..=3).map(|it| Effect::Publish(cleared(7, &[it]))).collect();
    assert_eq!(out, told);
}

#[test]
fn run_that_began_before_a_loss_clears_its_content_as_well() {
    let (mut core, mut out) = (SuspectTracker::default(), Vec::new());
    core.handle(Time::ZERO, sent(1, content(7), 4), &mut out);
    core.handle(Time::ZERO, Event::FactReceived(lost(1, &[7])), &mut out);

    core.handle(Time::ZERO, Event::Completed { request: request(1) }, &mut out);

    assert_eq!(core.status(Time::ZERO, content(7)), ContentStatus::Clear);
}

#[test]
fn whole_run_speaks_for_its_content_for_a_minute_only() {
    let (mut core, mut out) = (SuspectTracker::default(), Vec::new());
    let later = Time::from_millis(61_000);
    core.handle(Time::ZERO, sent(1, content(7), 4), &mut out);
    core.handle(Time::ZERO, Event::Completed { request: request(1) }, &mut out);

    core.handle(later, Event::FactReceived(lost(1, &[7])), &mut out);

    assert_eq!(core.status(later, content(7)), ContentStatus::Suspect);
}

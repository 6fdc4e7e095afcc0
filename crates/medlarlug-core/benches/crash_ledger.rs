//! Cost of the facts about crashed upstreams: time of each event, and bytes that are published.
//!
//! Run with `cargo bench -p medlarlug-core --bench crash_ledger`. Exits with 1 if an event exceeds its
//! budget.

use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

use medlarlug_core::{
    fingerprint::Fingerprint,
    ids::{Incarnation, RequestId, UpstreamId},
    suspects::{Effect, Event, Fact, FactLog, RequestContents, SuspectTracker},
    time::Time,
};
use test_support::id;

/// Processor time that an event may take: 200 ms, by which an answer may be late, at 0.12 of a core.
const MAX_EVENT_TIME: Duration = Duration::from_millis(24);
/// Processor time that the end of an answer may take, and a clearance: 120 of them a second at 0.12 of a core.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(1);
/// Bytes that a crash may add on a link: what 10 Mbit/s carry in 200 ms.
const MAX_PUBLISHED_BYTES: usize = 250_000;
/// Contents of one crash beyond which a case is left out.
const MAX_CRASH_CONTENTS: usize = 100_000;
/// Contents of all known crashes beyond which a case is left out.
const MAX_CASE_CONTENTS: usize = 2_000_000;
/// Runs of each case, of which the lowest times count.
const RUNS: usize = 3;
const DOCUMENTS: usize = 7;
/// The upstream that crashes in the measured event.
const CRASHED: usize = 99;

/// The load at the time of a crash.
#[derive(Debug, Clone, Copy)]
struct Case {
    /// Parts of each prompt. Two are shared with other requests.
    parts: usize,
    /// Crashes that are known before.
    known: usize,
    /// Requests in flight at each crash.
    in_flight: usize,
}

fn content(name: &str) -> Fingerprint {
    Fingerprint::of(name.as_bytes())
}

impl Case {
    fn contents(self, crash: usize, request: usize) -> RequestContents {
        let own = (2..self.parts).map(|it| content(&format!("{crash} {request} {it}")));
        let document = content(&format!("document {}", request % DOCUMENTS));
        let parts = [content("everywhere"), document].into_iter().chain(own).collect();
        RequestContents::new(content(&format!("request {crash} {request}")), parts)
    }

    /// Sends the requests in flight at a crash, all of which have begun.
    fn send(self, tracker: &mut SuspectTracker, crash: usize) {
        let mut out = Vec::new();
        for number in 0..self.in_flight {
            let sent = Event::Sent {
                request: request(number),
                contents: self.contents(crash, number),
                upstream: upstream(crash),
                incarnation: Incarnation(1),
            };
            tracker.handle(Time::ZERO, sent, &mut out);
            tracker.handle(Time::ZERO, Event::Began { request: request(number) }, &mut out);
        }
    }

    /// What an instance that knows nothing else publishes of a crash.
    fn report(self, crash: usize) -> Vec<Fact> {
        let mut tracker = SuspectTracker::default();
        self.send(&mut tracker, crash);
        let mut out = Vec::new();
        tracker.handle(Time::ZERO, crashed(crash), &mut out);
        published(out)
    }

    /// An instance that knows the earlier crashes and has requests in flight on an upstream.
    fn tracker(self) -> SuspectTracker {
        let mut tracker = SuspectTracker::default();
        let known: Vec<Fact> = (0..self.known).flat_map(|it| self.report(it)).collect();
        tracker.apply_all(Time::ZERO, &known, &mut Vec::new());
        self.send(&mut tracker, CRASHED);
        tracker
    }
}

fn upstream(crash: usize) -> UpstreamId {
    id(&format!("engine-{crash}"))
}

fn request(number: usize) -> RequestId {
    id(&format!("riga.entry-1.1.{number}"))
}

fn crashed(crash: usize) -> Event {
    Event::UpstreamCrashed { upstream: upstream(crash), incarnation: Incarnation(1) }
}

fn published(out: Vec<Effect>) -> Vec<Fact> {
    let facts = out.into_iter().filter_map(|effect| match effect {
        Effect::Publish(fact) => Some(fact),
        _ => None,
    });
    facts.collect()
}

/// Time and published bytes of one event.
fn measure(tracker: &mut SuspectTracker, event: Event) -> (Duration, usize) {
    let mut out = Vec::new();
    let start = Instant::now();
    tracker.handle(Time::from_millis(1_000), event, &mut out);
    let time = start.elapsed();
    let bytes = published(out).iter().map(|it| postcard::to_stdvec(it).unwrap().len()).sum();
    (time, bytes)
}

/// What one run of a case took.
#[derive(Debug, Clone, Copy)]
struct Costs {
    /// A clearance that was received, an answer that ends, and the next one with the same shared parts.
    answers: [Duration; 3],
    /// A report that was received, a crash, a tick, and a report at a keeper.
    events: [Duration; 4],
    /// Bytes that were published for the answer and for the crash.
    bytes: [usize; 2],
}

impl Costs {
    /// The lower time of each event: what else runs on the machine only adds to it.
    fn min(self, other: Costs) -> Costs {
        let least = |one: Duration, it: Duration| one.min(it);
        Costs {
            answers: std::array::from_fn(|it| least(self.answers[it], other.answers[it])),
            events: std::array::from_fn(|it| least(self.events[it], other.events[it])),
            ..self
        }
    }

    fn are_kept(&self) -> bool {
        self.answers.iter().all(|it| *it <= MAX_ANSWER_TIME)
            && self.events.iter().all(|it| *it <= MAX_EVENT_TIME)
            && self.bytes.iter().all(|it| *it <= MAX_PUBLISHED_BYTES)
    }
}

fn run(case: Case) -> Costs {
    let mut tracker = case.tracker();
    let other = case.report(CRASHED - 1);
    let cleared = Fact::Cleared {
        fingerprint: content("document 3"),
        crashes: tracker.ledger().crashes_of(content("document 3")),
        age: Duration::ZERO,
    };
    let cleared = measure(&mut tracker, Event::FactReceived(cleared));
    let ended = measure(&mut tracker, Event::Completed { request: request(0) });
    let next = measure(&mut tracker, Event::Completed { request: request(DOCUMENTS) });
    let mut out = Vec::new();
    let start = Instant::now();
    tracker.apply_all(Time::from_millis(1_000), &other, &mut out);
    let received = start.elapsed();
    let crashed = measure(&mut tracker, crashed(CRASHED));
    let tick = measure(&mut tracker, Event::Tick);

    let mut log = FactLog::default();
    for fact in (0..case.known).flat_map(|it| case.report(it)) {
        log.apply(Time::ZERO, &fact);
    }
    let start = Instant::now();
    for fact in &other {
        log.apply(Time::ZERO, fact);
    }
    log.repeated_crashes(Time::ZERO);
    let keeper = start.elapsed();
    Costs {
        answers: [cleared.0, ended.0, next.0],
        events: [received, crashed.0, tick.0, keeper],
        bytes: [ended.1, crashed.1],
    }
}

/// Microseconds, as all columns of time have this unit.
fn micros(time: Duration) -> String {
    format!("{:.1}", time.as_secs_f64() * 1e6)
}

fn main() -> ExitCode {
    println!(
        "parts  known  flight  clearance     answer       next     report      crash       tick     keeper    bytes: answer, crash"
    );
    let mut failed = 0;
    for parts in [3, 100, 1_400] {
        for in_flight in [64, 640] {
            for known in [0, 1, 20, 37] {
                let contents = parts * in_flight;
                if contents > MAX_CRASH_CONTENTS || contents * (known + 1) > MAX_CASE_CONTENTS {
                    continue;
                }
                let case = Case { parts, known, in_flight };
                let costs = (1..RUNS).fold(run(case), |costs, _| costs.min(run(case)));
                failed += usize::from(!costs.are_kept());
                let times = costs.answers.iter().chain(&costs.events);
                let times: String = times.map(|it| format!(" {:>10}", micros(*it))).collect();
                let [ended, crashed] = costs.bytes;
                println!("{parts:5} {known:6} {in_flight:7}{times} {ended:10} {crashed:10}");
            }
        }
    }
    println!(
        "{failed} cases exceed {MAX_ANSWER_TIME:?}, {MAX_EVENT_TIME:?} or {MAX_PUBLISHED_BYTES} B; times in microseconds"
    );
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

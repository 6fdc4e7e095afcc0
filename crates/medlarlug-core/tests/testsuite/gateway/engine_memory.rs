//! Memory of engines and shares of teams: a region with too little room, and lost reports.

use std::time::Duration;

use medlarlug_core::{
    fingerprint::Fingerprint,
    gateway::{
        engine_memory::{ASSUMED_LIFETIME, Booking, BookingReport, EngineMemory, RoomTry},
        fair_share::{self, FairShare, Holder, Request, Standing, Waiter},
        load_shedding::{CallForecast, Verdict, decide_fairly},
        peer_loads::{ReportSource, UpstreamKey},
        placement::{Candidate, Choice, Demand, Loads, PromptPart},
        prefill_queue::{self, PrefillDecision},
    },
    ids::{Incarnation, UpstreamId},
    suspects::{ContentStatus, Event, RequestContents, SuspectTracker},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::id;

const MEMORY: u64 = 120_000;
const OBJECTIVE: Duration = Duration::from_millis(1_500);
/// Time for which callers wait.
const DEADLINE: Duration = Duration::from_secs(5);
/// Duration of a step of the simulation.
const STEP_MS: u64 = 4;
const TEAMS: usize = 16;

fn engine(at: usize) -> UpstreamId {
    id(&format!("engine-{at}"))
}

fn holder(team: usize) -> Holder {
    (id("chat"), Some(format!("team-{team}").parse().unwrap()))
}

fn from_peer(at: usize) -> ReportSource {
    ReportSource::Peer(id(&format!("entry-{at}")))
}

fn candidate(id: &UpstreamId) -> Candidate<'_> {
    let round_trip = Duration::ZERO;
    Candidate { id, slots: 64, memory_tokens: MEMORY, failure_rate: 0.0, round_trip }
}

/// A prompt with a part that all share, one of a session and one of its own.
fn demand(session: u64, call: u64) -> Demand {
    let part = |id, tokens| PromptPart { id, tokens };
    let parts = vec![part(1, 2_500), part(100 + session, 800), part(1_000_000 + call, 1_700)];
    Demand { parts, prompt_tokens: 5_000, output_tokens: 500, priority: 1 }
}

/// A prompt without parts that others share.
fn unshared(tokens: u32) -> Demand {
    Demand { prompt_tokens: tokens, priority: 1, ..Demand::default() }
}

fn booked(engine: &UpstreamId, tokens: u32) -> BookingReport {
    BookingReport { tokens, ..BookingReport::empty(UpstreamKey::new(engine)) }
}

struct Waiting {
    team: usize,
    demand: Demand,
    began: Time,
    entry: usize,
    waiter: Option<(Waiter, UpstreamId)>,
}

struct Running {
    entry: usize,
    choice: Choice,
    demand: Demand,
    booking: Booking,
    until: Time,
}

#[derive(Default)]
struct Instance {
    loads: Loads,
    memory: EngineMemory,
    shares: FairShare,
}

/// Entry instances that send to the same engines, and report to each other with a delay.
struct Region {
    random: ChaCha8Rng,
    now: Time,
    engines: Vec<UpstreamId>,
    entries: Vec<Instance>,
    waiting: Vec<Waiting>,
    running: Vec<Running>,
    /// Arrival, receiver, sender and content of each report under way; a single one is a change.
    reports: Vec<(Time, usize, usize, bool, Vec<BookingReport>)>,
    /// Share of reports that is lost.
    loss: f64,
    /// An instance that neither admits nor reports any more.
    frozen: Option<usize>,
    is_fair: bool,
    calls: u64,
    asked: [u64; TEAMS],
    admitted: [u64; TEAMS],
    refused: [u64; TEAMS],
    /// Most tokens that an engine ever held.
    peak: u64,
}

impl Region {
    fn new(seed: u64) -> Region {
        Region {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            engines: (0..2).map(engine).collect(),
            entries: (0..6).map(|_| Instance::default()).collect(),
            waiting: Vec::new(),
            running: Vec::new(),
            reports: Vec::new(),
            loss: 0.0,
            frozen: None,
            is_fair: true,
            calls: 0,
            asked: [0; TEAMS],
            admitted: [0; TEAMS],
            refused: [0; TEAMS],
            peak: 0,
        }
    }

    /// Runs for some seconds; `rates` are the calls that each team makes in a second.
    fn run(&mut self, seconds: u64, rates: &[f64; TEAMS]) {
        for _ in 0..seconds * 1_000 / STEP_MS {
            self.now = self.now + Duration::from_millis(STEP_MS);
            self.deliver();
            self.end_calls();
            for (team, rate) in rates.iter().enumerate() {
                if self.random.random::<f64>() < rate * STEP_MS as f64 / 1e3 {
                    self.arrive(team);
                }
            }
            let waiting = std::mem::take(&mut self.waiting);
            for call in waiting {
                // Waiting calls look every 12 ms on average.
                match call.waiter.is_none() || self.random.random::<f64>() < 1.0 / 3.0 {
                    true => self.poll(call),
                    false => self.waiting.push(call),
                }
            }
            for entry in 0..self.entries.len() {
                if (self.now - Time::ZERO).as_millis() as usize % 80 == entry * 12 {
                    self.send(entry, true, self.entries[entry].memory.report());
                }
            }
            self.measure();
        }
    }

    fn arrive(&mut self, team: usize) {
        self.calls += 1;
        self.asked[team] += 1;
        let entry = self.random.random_range(0..self.entries.len());
        let demand = demand(self.random.random_range(0..200), self.calls);
        self.entries[entry].shares.record_call(self.now, &holder(team));
        self.waiting.push(Waiting { team, demand, began: self.now, entry, waiter: None });
    }

    /// What an instance does with a waiting call: the forecast, then the admission.
    fn poll(&mut self, mut call: Waiting) {
        let (now, peers, draw) = (self.now, self.entries.len(), self.random.random());
        if self.frozen == Some(call.entry) {
            return self.waiting.push(call);
        }
        let candidates: Vec<Candidate> = self.engines.iter().map(candidate).collect();
        let entry = &mut self.entries[call.entry];
        if let Some((waiter, at)) = call.waiter.take() {
            entry.shares.dequeue(&waiter);
            entry.memory.dequeue(&at);
        }
        let holder = holder(call.team);
        let standing = match self.is_fair {
            true => entry.shares.standing(now, &holder),
            false => Standing::Even,
        };
        let Instance { loads, memory, shares } = entry;
        let choice = loads.choose_with_room(now, &call.demand, &candidates, peers, memory).unwrap();
        let time_left = (call.began + DEADLINE) - now;
        let objective = Some(OBJECTIVE);
        let forecast = CallForecast { predicted_wait: Some(choice.wait), time_left, objective };
        let engines = choice.roomy_engines;
        let conditions = RoomTry { memory: MEMORY, peers, engines, standing, draw };
        let is_next = !self.is_fair || shares.is_next(&holder, 1, &choice.id, false);
        let decision = match decide_fairly(forecast, standing, draw) {
            Verdict::Serve => fair_share::decide(Request {
                has_room: is_next
                    && !choice.lacks_room
                    && memory.may_take(now, &choice.id, &call.demand, conditions),
                can_prefill: true,
                is_next,
                waited: now - call.began,
                objective: OBJECTIVE,
                priority: 1,
                standing,
            }),
            Verdict::Refuse { .. } => PrefillDecision::Refuse,
        };
        match decision {
            PrefillDecision::Send => self.admit(call, choice, holder),
            PrefillDecision::Refuse => self.refused[call.team] += 1,
            PrefillDecision::Wait => {
                let waiter = Waiter { holder, priority: 1, engine: None };
                shares.enqueue(waiter.clone());
                memory.enqueue(&choice.id);
                call.waiter = Some((waiter, choice.id));
                self.waiting.push(call);
            }
        }
    }

    fn admit(&mut self, call: Waiting, choice: Choice, holder: Holder) {
        let (now, Waiting { team, demand, entry, .. }) = (self.now, call);
        let Instance { loads, memory, shares } = &mut self.entries[entry];
        loads.record_sent(now, &choice, &demand, MEMORY);
        loads.record_first_token(now, &choice, choice.wait);
        let booking = memory.book(now, &choice.id, MEMORY, &demand);
        shares.record_admitted(now, &holder, 5_500);
        let change = memory.report_of(&choice.id);
        self.send(entry, false, vec![change]);
        self.admitted[team] += 1;
        let until = now + Duration::from_millis(self.random.random_range(1_000..3_000));
        self.running.push(Running { entry, choice, demand, booking, until });
    }

    fn end_calls(&mut self) {
        for call in self.running.extract_if(.., |it| it.until <= self.now).collect::<Vec<_>>() {
            let Instance { loads, memory, .. } = &mut self.entries[call.entry];
            loads.record_end(self.now, &call.choice, true);
            memory.release(self.now, &call.booking);
            let change = memory.report_of(&call.choice.id);
            self.send(call.entry, false, vec![change]);
        }
    }

    fn send(&mut self, from: usize, is_whole: bool, reports: Vec<BookingReport>) {
        let receivers =
            (0..self.entries.len()).filter(|it| *it != from && self.frozen != Some(from));
        for to in receivers {
            if self.random.random::<f64>() >= self.loss {
                let arrival = self.now + Duration::from_millis(self.random.random_range(3..12));
                self.reports.push((arrival, to, from, is_whole, reports.clone()));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for (_, to, from, is_whole, reports) in self.reports.extract_if(.., |it| it.0 <= now) {
            let memory = &mut self.entries[to].memory;
            match is_whole {
                true => memory.apply_report(now, from_peer(from), reports),
                false => reports
                    .into_iter()
                    .for_each(|it| memory.apply_change(now, &from_peer(from), it)),
            }
        }
    }

    /// Tokens that the engines hold, with shared parts once.
    fn measure(&mut self) {
        for engine in &self.engines {
            let mut all = EngineMemory::default();
            for call in self.running.iter().filter(|it| it.choice.id == *engine) {
                all.book(self.now, engine, MEMORY, &call.demand);
            }
            self.peak = self.peak.max(all.booked(engine));
        }
    }
}

/// Fifteen teams with their usual calls and one with seven times as many.
fn hot_rates(usual: f64) -> [f64; TEAMS] {
    let mut rates = [usual; TEAMS];
    rates[0] = 7.0 * usual;
    rates
}

/// Share of its equal part, or of what it asked for if that is less, that the worst served of the
/// usual teams got; tokens are proportional to calls.
fn worst_share(region: &Region) -> f64 {
    let part = region.admitted.iter().sum::<u64>() as f64 / TEAMS as f64;
    let usual = region.admitted.iter().zip(&region.asked).skip(1);
    let share = |(admitted, asked): (&u64, &u64)| *admitted as f64 / part.min(*asked as f64);
    usual.map(share).fold(f64::INFINITY, f64::min)
}

/// Smallest share of its equal part that the worst served of the usual teams has to get. The rest is
/// that admission counts whole calls and the calls arrive at random.
const LEAST_SHARE: f64 = 0.9;

/// Plays a load with and without shares, and checks what the usual teams get.
fn assert_usual_teams_get_their_part(usual: f64, seed: u64) {
    let (mut fair, mut unfair) = (Region::new(seed), Region::new(seed));
    unfair.is_fair = false;

    for region in [&mut fair, &mut unfair] {
        region.run(30, &hot_rates(usual));
        region.run(5, &[0.0; TEAMS]);
    }

    let sum = |region: &Region| region.admitted.iter().sum::<u64>();
    eprintln!(
        "usual {usual}, seed {seed}: worst {:.2} of {}, hot {}, peak {}; without shares {:.2} of {}, hot {}",
        worst_share(&fair),
        sum(&fair),
        fair.admitted[0],
        fair.peak,
        worst_share(&unfair),
        sum(&unfair),
        unfair.admitted[0],
    );
    assert!(fair.peak <= MEMORY, "{} tokens held", fair.peak);
    assert!(sum(&fair) as f64 > sum(&unfair) as f64 * 0.95, "shares leave room unused");
    assert!(worst_share(&unfair) < worst_share(&fair), "the load is no test of shares");
    assert!(worst_share(&fair) >= LEAST_SHARE, "{:?} of {:?}", fair.admitted, fair.asked);
}

/// Guards against a team that takes the room of the others by asking most often, while the calls of
/// the others alone fit into the engines.
#[test]
fn hot_team_leaves_the_others_their_equal_part() {
    assert_usual_teams_get_their_part(1.9, 0);
}

/// Guards against the same where the calls of the others alone don't fit.
#[test]
fn hot_team_leaves_the_others_their_equal_part_when_they_alone_do_not_fit() {
    assert_usual_teams_get_their_part(2.5, 2);
}

/// Guards against engines that crash because reports about their load are lost or their sender is
/// frozen while its calls run on.
#[test]
fn engines_never_hold_more_than_their_memory_while_reports_are_lost() {
    let mut lossy = Region::new(7);
    lossy.loss = 0.2;
    let mut frozen = Region::new(8);

    lossy.run(20, &hot_rates(2.5));
    frozen.run(5, &hot_rates(2.5));
    frozen.frozen = Some(2);
    frozen.running.iter_mut().for_each(|it| it.until = it.until + Duration::from_secs(5));
    frozen.run(5, &hot_rates(2.5));

    eprintln!("peak {} with lost reports, {} with a frozen peer", lossy.peak, frozen.peak);
    assert!(lossy.peak <= MEMORY, "{} tokens held", lossy.peak);
    assert!(frozen.peak <= MEMORY, "{} tokens held", frozen.peak);
}

/// Guards against room that a silent peer's calls still occupy, also if its only report was about one
/// engine, and against room that is never freed.
#[test]
fn silent_peer_is_assumed_to_hold_what_it_held() {
    let engine = engine(0);
    let mut memory = EngineMemory::default();
    memory.apply_change(Time::ZERO, &from_peer(1), booked(&engine, 110_000));
    let lacks_room = |memory: &EngineMemory| {
        memory.with_room(Time::ZERO, &unshared(15_000), &[candidate(&engine)], 2).1
    };

    let after = Time::ZERO + ASSUMED_LIFETIME;
    memory.drop_expired(after.saturating_sub(Duration::from_secs(1)));
    let while_silent = lacks_room(&memory);
    memory.drop_expired(after);

    assert!(while_silent);
    assert!(!lacks_room(&memory));
}

/// Guards against parts that all calls share being counted for each instance, which would leave a
/// large share of the memory unused.
#[test]
fn shared_part_of_several_instances_counts_once() {
    let engine = engine(0);
    let mut entries = [EngineMemory::default(), EngineMemory::default(), EngineMemory::default()];
    for (number, entry) in (1_u64..).zip(&mut entries) {
        entry.book(Time::ZERO, &engine, MEMORY, &demand(number, number));
    }
    let [own, peer, collector] = &mut entries;

    collector.apply_report(Time::ZERO, from_peer(1), peer.report());
    let aggregate = collector.aggregate_for(&id("entry-0"), None);
    own.apply_report(Time::ZERO, ReportSource::Collector, aggregate);

    assert_eq!(own.booked(&engine), 2_500 + 3 * (800 + 1_700 + 500));
}

/// Guards against sound contents being quarantined because their engine ran out of memory: peers had
/// booked there at the same time, and this instance learns it just after the crash.
#[test]
fn crash_above_the_memory_is_no_evidence_against_contents() {
    let (engine, now) = (engine(0), Time::from_millis(9_000));
    let late = now + Duration::from_millis(20);
    let content = Fingerprint::of(b"sound");
    let crash = |peer_tokens| {
        let (mut memory, mut tracker) = (EngineMemory::default(), SuspectTracker::default());
        let (upstream, incarnation) = (engine.clone(), Incarnation(1));
        let request = "riga.entry-1.1.7".parse().unwrap();
        let contents = RequestContents::new(content, Vec::new());
        let sent = Event::Sent { request, contents, upstream: upstream.clone(), incarnation };
        tracker.handle(now, sent, &mut Vec::new());
        let booking = memory.book(now, &engine, MEMORY, &unshared(70_000));
        memory.record_break(now, &engine);
        memory.release(now, &booking);
        memory.apply_report(late, from_peer(1), vec![booked(&engine, peer_tokens)]);
        let event = match memory.has_exceeded(&engine, now.saturating_sub(OBJECTIVE)) {
            true => Event::CrashExplained { upstream, incarnation },
            false => Event::UpstreamCrashed { upstream, incarnation },
        };
        tracker.handle(late, event, &mut Vec::new());
        tracker.status(late, content)
    };

    assert_eq!(crash(70_000), ContentStatus::Clear);
    assert_eq!(crash(40_000), ContentStatus::Suspect);
}

/// Guards against a team below its part being refused while others are served, against waiting for
/// ever, and against an engine that is sent more than it has room for.
#[test]
fn refusals_depend_on_the_standing() {
    let request = |standing, has_room| Request {
        has_room,
        can_prefill: true,
        is_next: true,
        waited: OBJECTIVE,
        objective: OBJECTIVE,
        priority: 0,
        standing,
    };
    let verdict = |standing, wait: f64| {
        let (wait, time_left) = (OBJECTIVE.mul_f64(wait), DEADLINE);
        let forecast =
            CallForecast { predicted_wait: Some(wait), time_left, objective: Some(OBJECTIVE) };
        decide_fairly(forecast, standing, 0.5) == Verdict::Serve
    };

    assert_eq!(fair_share::decide(request(Standing::Over, false)), PrefillDecision::Refuse);
    assert_eq!(fair_share::decide(request(Standing::Below, false)), PrefillDecision::Wait);
    assert_eq!(fair_share::decide(request(Standing::Over, true)), PrefillDecision::Send);
    assert!(!verdict(Standing::Over, 1.2) && verdict(Standing::Even, 1.2));
    assert!(!verdict(Standing::Even, 2.0) && verdict(Standing::Below, 2.0));
    assert!(!verdict(Standing::Below, 3.0), "the caller has left by then");
}

/// Guards against other decisions where memory is not short: the choice of an engine, the forecast and
/// the admission are those of a deployment without pressure.
#[test]
fn decisions_are_the_same_as_without_pressure_while_there_is_room() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let engines: Vec<UpstreamId> = (0..6).map(engine).collect();
    let ample = |id| Candidate { memory_tokens: 100_000_000, ..candidate(id) };
    let candidates: Vec<Candidate> = engines.iter().map(ample).collect();
    let (mut loads, mut memory) = (Loads::default(), EngineMemory::default());

    for call in 0..2_000 {
        let now = Time::from_millis(call * 7);
        let demand = demand(random.random_range(0..30), call);
        let plain = loads.choose(now, &demand, &candidates, 4).unwrap();
        let choice = loads.choose_with_room(now, &demand, &candidates, 4, &memory).unwrap();
        assert_eq!(choice, Choice { roomy_engines: 6, ..plain });
        let waited = Duration::from_millis(random.random_range(0..2_000));
        let can_prefill = random.random();
        let priority = random.random_range(0..3);
        let (standing, draw) = (Standing::Even, random.random());
        let conditions = RoomTry { memory: 100_000_000, peers: 4, engines: 6, standing, draw };
        let admission = fair_share::decide(Request {
            has_room: memory.may_take(now, &choice.id, &demand, conditions),
            can_prefill,
            is_next: true,
            waited,
            objective: OBJECTIVE,
            priority,
            standing,
        });
        let before = prefill_queue::decide(can_prefill, waited, OBJECTIVE, priority);
        assert_eq!(admission, before);
        loads.record_sent(now, &choice, &demand, 100_000_000);
        memory.book(now, &choice.id, 100_000_000, &demand);
        if random.random() {
            loads.record_first_token(now, &choice, choice.wait);
            loads.record_end(now, &choice, true);
        }
    }
}

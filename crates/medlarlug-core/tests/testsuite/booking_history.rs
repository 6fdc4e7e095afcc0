//! Random histories of bookings, checked for calls that run more than once and for lost outcomes.
//!
//! Several entry instances and two home groups exchange messages that may be lost, delayed, reordered or
//! duplicated. Instances crash, the team moves between home regions, groups lose their state or are rebuilt
//! from a replica that lagged behind, and services are queried for unknown outcomes.

use std::time::Duration;

use medlarlug_core::{
    fingerprint::Fingerprint,
    home::{
        Action, Begin, BeginReply, Body, BookingKey, BookingState, Command, Handover, HomeGroup,
        OutcomeQuery, Owner, RecordedAnswer, Reply,
        attempt::{Answer, Attempt, Effect, Event},
    },
    ids::{Incarnation, RegionId, RequestId, Revision, TeamId},
    release::TeamHome,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::id;

const REGIONS: [&str; 2] = ["riga", "kurzeme"];
const ENTRIES: usize = 3;
const KEYS: usize = 5;
const STEPS: usize = 600;

/// Home region of the team from one revision on.
#[derive(Debug, Clone)]
struct Home {
    region: usize,
    epoch: Revision,
    moved: bool,
}

/// Message in flight; messages are delivered in random order.
#[derive(Debug, Clone)]
enum Message {
    Propose { from: RequestId, step: u32, region: usize, action: Action },
    Reply { to: RequestId, step: u32, reply: Reply },
    Call { request: RequestId, key: usize },
    CallAnswer { to: RequestId, answer: RecordedAnswer },
    Seal { to: usize },
    Adopt { region: usize, handover: Handover },
    Release { region: usize, epoch: Revision },
}

#[derive(Debug)]
struct Entry {
    incarnation: Incarnation,
    /// Configuration that the instance uses: its revision, and the index of the team's home in it.
    revision: Revision,
    home_index: usize,
    attempts: Vec<(RequestId, usize, Attempt)>,
}

/// Answer of an upstream that a caller received, or with which an attempt ended.
#[derive(Debug)]
struct Acknowledged {
    key: usize,
    answer: RecordedAnswer,
    /// Whether the home group had recorded the answer before; false if the deadline passed first.
    is_recorded: bool,
}

struct Simulation {
    rng: ChaCha8Rng,
    groups: Vec<HomeGroup>,
    entries: Vec<Entry>,
    homes: Vec<Home>,
    is_moving: bool,
    revision: Revision,
    sequence: u64,
    messages: Vec<Message>,
    /// Requests that ran, with the numbers of their keys.
    runs: Vec<(RequestId, usize)>,
    /// Requests whose entry instance received the upstream's answer.
    answered: Vec<RequestId>,
    refused: Vec<RequestId>,
    acknowledged: Vec<Acknowledged>,
    mode: StateLossMode,
    /// Earlier state of each group, as a replica that lags behind has it.
    survivors: Vec<HomeGroup>,
}

/// How groups lose state in a history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StateLossMode {
    Never,
    /// A group loses its whole state.
    Complete,
    /// A group is rebuilt from a lagging replica and loses the commands that the replica lacks.
    Rebuilt,
}

fn team() -> TeamId {
    id("loft-3")
}

fn key(number: usize) -> BookingKey {
    format!("boat-{number}").parse().unwrap()
}

fn region(index: usize) -> RegionId {
    id(REGIONS[index])
}

fn answer_to(request: &RequestId) -> RecordedAnswer {
    let body = Body::of(request.to_string().as_bytes());
    RecordedAnswer { status: 201, content_type: "text/plain".into(), body }
}

impl Simulation {
    fn new(seed: u64, mode: StateLossMode) -> Simulation {
        let entry = |_| Entry {
            incarnation: Incarnation(1),
            revision: Revision(3),
            home_index: 0,
            attempts: Vec::new(),
        };
        let mut simulation = Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            groups: vec![HomeGroup::default(), HomeGroup::default()],
            entries: (0..ENTRIES).map(entry).collect(),
            homes: vec![Home { region: 0, epoch: Revision(3), moved: false }],
            is_moving: false,
            revision: Revision(3),
            sequence: 0,
            messages: Vec::new(),
            runs: Vec::new(),
            answered: Vec::new(),
            refused: Vec::new(),
            acknowledged: Vec::new(),
            mode,
            survivors: Vec::new(),
        };
        for index in 0..REGIONS.len() {
            let revision = Revision(index as u64 + 1);
            simulation.apply(index, Action::Found { revision, first: true });
        }
        simulation.survivors = simulation.groups.clone();
        simulation
    }

    fn apply(&mut self, region: usize, action: Action) -> Reply {
        let elapsed = Duration::from_millis(self.rng.random_range(0..20));
        self.groups[region].apply(Command { elapsed, action })
    }

    fn step(&mut self) {
        let entry = self.rng.random_range(0..ENTRIES);
        match self.rng.random_range(0..100) {
            0..12 => self.call(entry),
            12..70 => self.deliver(),
            70..80 => self.tick(entry),
            80..86 => self.inject_failure(entry),
            86..90 => self.update_configuration(entry),
            90..92 => self.restart(entry),
            92..94 => self.presume_dead(entry),
            94..95 => self.move_home(),
            95..98 => self.advance_move(),
            _ => self.lose_state_or_query(),
        }
    }

    fn call(&mut self, entry: usize) {
        let number = self.rng.random_range(0..KEYS);
        self.sequence += 1;
        let Entry { incarnation, revision, home_index, .. } = self.entries[entry];
        let instance = id(&format!("entry-{entry}"));
        let home = self.homes[home_index].clone();
        let request: RequestId = id(&format!("riga.{instance}.{incarnation}.{}", self.sequence));
        let begin = Begin {
            team: team(),
            key: key(number),
            content: Fingerprint::of(&[number as u8]),
            request: request.clone(),
            owner: Owner { instance, incarnation },
            revision,
            epoch: home.epoch,
            moved: home.moved,
            queryable_service: Some(id("jobdesk")),
        };
        let mut out = Vec::new();
        let attempt = Attempt::new(region(home.region), begin, &mut out);
        self.entries[entry].attempts.push((request.clone(), number, attempt));
        self.execute(&request, number, out, true);
    }

    fn execute(
        &mut self,
        request: &RequestId,
        key: usize,
        effects: Vec<Effect>,
        is_recorded: bool,
    ) {
        for effect in effects {
            match effect {
                Effect::Propose { step, home, action } => {
                    let region = REGIONS.iter().position(|it| *it == home.as_str()).unwrap();
                    let from = request.clone();
                    self.messages.push(Message::Propose { from, step, region, action });
                }
                Effect::Send if self.rng.random_range(0..10) == 0 => {
                    self.handle_event(request, Event::NotSent);
                }
                Effect::Send => {
                    self.messages.push(Message::Call { request: request.clone(), key });
                }
                Effect::Answer(Answer::Done(answer)) => {
                    self.acknowledged.push(Acknowledged { key, answer, is_recorded });
                }
                Effect::Answer(Answer::NotRun(_)) => self.refused.push(request.clone()),
                Effect::Answer(Answer::Unknown) => {}
            }
        }
    }

    /// Passes an event to an attempt if its process is still running.
    fn handle_event(&mut self, request: &RequestId, event: Event) {
        for entry in 0..ENTRIES {
            let attempts = &mut self.entries[entry].attempts;
            if let Some((_, number, attempt)) = attempts.iter_mut().find(|it| it.0 == *request) {
                let (number, mut out) = (*number, Vec::new());
                let is_recorded = event != Event::Deadline;
                let was_settled = attempt.is_settled();
                self.answered.extend(matches!(event, Event::Answered(_)).then(|| request.clone()));
                attempt.handle(event, &mut out);
                if attempt.is_settled() && !was_settled && self.answered.contains(request) {
                    let answer = answer_to(request);
                    self.acknowledged.push(Acknowledged { key: number, answer, is_recorded });
                }
                self.execute(request, number, out, is_recorded);
                return;
            }
        }
    }

    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(index);
        let draw = self.rng.random_range(0..20);
        let is_call = matches!(message, Message::Call { .. } | Message::CallAnswer { .. });
        if draw == 0 {
            return;
        }
        if draw == 1 && !is_call {
            self.messages.push(message.clone());
        }
        self.receive(message);
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Propose { from, step, region, action } => {
                let reply = self.apply(region, action);
                self.messages.push(Message::Reply { to: from, step, reply });
            }
            Message::Reply { to, step, reply } => {
                self.handle_event(&to, Event::Replied { step, reply })
            }
            Message::Call { request, key } => {
                self.runs.push((request.clone(), key));
                let answer = answer_to(&request);
                self.messages.push(Message::CallAnswer { to: request, answer });
            }
            Message::CallAnswer { to, answer } => self.handle_event(&to, Event::Answered(answer)),
            Message::Seal { to } => self.seal(to),
            Message::Adopt { region, handover } => {
                let epoch = handover.epoch;
                self.apply(region, Action::Adopt(handover));
                self.messages.push(Message::Release { region: 1 - region, epoch });
            }
            Message::Release { region, epoch } => {
                self.apply(region, Action::Release { team: team(), epoch });
                self.is_moving &= epoch != self.homes.last().unwrap().epoch;
            }
        }
    }

    fn seal(&mut self, to: usize) {
        let home = self.homes.last().unwrap().clone();
        if home.region != to {
            return;
        }
        let seal = Action::Seal { team: team(), to: region(to), epoch: home.epoch };
        if let Reply::Handover(handover) = self.apply(1 - to, seal) {
            self.messages.push(Message::Adopt { region: to, handover });
        }
    }

    fn move_home(&mut self) {
        if self.is_moving {
            return;
        }
        self.revision = self.revision.next();
        let region = 1 - self.homes.last().unwrap().region;
        self.homes.push(Home { region, epoch: self.revision, moved: true });
        self.is_moving = true;
        self.advance_move();
    }

    /// The new home requests the team's bookings from the former one until it has adopted them, and then
    /// requests their release.
    fn advance_move(&mut self) {
        let Home { region: to, epoch, moved } = self.homes.last().unwrap().clone();
        let from = moved.then(|| region(1 - to));
        let home = TeamHome { team: team(), region: region(to), epoch, from };
        if moved && !self.groups[to].has_adopted(&home) {
            self.messages.push(Message::Seal { to });
        } else if self.is_moving {
            self.messages.push(Message::Release { region: 1 - to, epoch });
        }
    }

    /// Queries services for unknown outcomes; a service returns the answer if the call ran.
    fn query_services(&mut self) {
        let region = self.rng.random_range(0..REGIONS.len());
        let queries: Vec<OutcomeQuery> = self.groups[region].outcome_queries().collect();
        for OutcomeQuery { team, key, request, .. } in queries {
            if self.runs.iter().any(|it| it.0 == request) {
                let answer = answer_to(&request);
                self.messages.push(Message::Propose {
                    from: request.clone(),
                    step: u32::MAX,
                    region,
                    action: Action::ResolveOutcome { team, key, request, answer },
                });
            }
        }
    }

    /// Saves the current state of a group as that of a replica that lags behind from now on.
    fn save_survivor(&mut self) {
        let region = self.rng.random_range(0..REGIONS.len());
        self.survivors[region] = self.groups[region].clone();
    }

    fn lose_state_or_query(&mut self) {
        // The draws of each mode must not change, so that the seeds that failed before still give the same
        // histories.
        let draw = match self.mode {
            StateLossMode::Never => return,
            StateLossMode::Complete | StateLossMode::Rebuilt => self.rng.random_range(0..8),
        };
        match (self.mode, draw) {
            (StateLossMode::Rebuilt, 0) => self.rebuild(),
            (StateLossMode::Rebuilt, 1..4) => self.query_services(),
            (StateLossMode::Rebuilt, _) => self.save_survivor(),
            (_, 0) => self.lose_state(),
            _ => {}
        }
    }

    /// Rebuilds a group from its saved replica and checks that its answers are kept and its other bookings
    /// are unknown.
    fn rebuild(&mut self) {
        let region = self.rng.random_range(0..REGIONS.len());
        let survivor = self.survivors[region].clone();
        self.groups[region] = survivor.clone();
        self.apply(region, Action::Rebuilt);
        self.revision = self.revision.next();
        // A configuration group that was rebuilt as well may report that this founding is the first.
        let first = self.rng.random_bool(0.5);
        self.apply(region, Action::Found { revision: self.revision, first });
        for number in 0..KEYS {
            let before = survivor.booking(&team(), &key(number)).map(|it| it.state.clone());
            let after = self.groups[region].booking(&team(), &key(number)).map(|it| &it.state);
            let expected = before.map(|it| match it {
                BookingState::Done(answer) => BookingState::Done(answer),
                _ => BookingState::Unknown,
            });
            assert_eq!(after, expected.as_ref(), "booking {number} after the rebuild");
        }
        self.survivors[region] = self.groups[region].clone();
    }

    /// A group loses its whole state and is founded again.
    fn lose_state(&mut self) {
        let region = self.rng.random_range(0..REGIONS.len());
        self.revision = self.revision.next();
        self.groups[region] = HomeGroup::default();
        self.apply(region, Action::Found { revision: self.revision, first: false });
    }

    fn restart(&mut self, entry: usize) {
        let state = &mut self.entries[entry];
        state.incarnation = state.incarnation.next();
        state.attempts.clear();
        let incarnation = state.incarnation;
        for region in 0..REGIONS.len() {
            let instance = id(&format!("entry-{entry}"));
            let action = Action::InstanceStarted { instance, incarnation };
            let from: RequestId = id(&format!("riga.entry-{entry}.{incarnation}.0"));
            self.messages.push(Message::Propose { from, step: 0, region, action });
        }
    }

    /// An entry instance applies the newest configuration.
    fn update_configuration(&mut self, entry: usize) {
        self.entries[entry].revision = self.revision;
        self.entries[entry].home_index = self.homes.len() - 1;
    }

    /// A group presumes a running instance dead.
    fn presume_dead(&mut self, entry: usize) {
        let region = self.rng.random_range(0..REGIONS.len());
        let incarnation = self.entries[entry].incarnation;
        let instance = id(&format!("entry-{entry}"));
        self.apply(region, Action::InstanceDead { instance, incarnation });
    }

    fn tick(&mut self, entry: usize) {
        let requests: Vec<RequestId> =
            self.entries[entry].attempts.iter().map(|it| it.0.clone()).collect();
        for request in requests {
            self.handle_event(&request, Event::Tick);
        }
    }

    fn inject_failure(&mut self, entry: usize) {
        let count = self.entries[entry].attempts.len();
        if count == 0 {
            return;
        }
        let index = self.rng.random_range(0..count);
        let request = self.entries[entry].attempts[index].0.clone();
        let event =
            if self.rng.random_range(0..2) == 0 { Event::Deadline } else { Event::AnswerLost };
        self.handle_event(&request, event);
    }

    /// Delivers all messages in flight and completes a move of the home.
    fn deliver_all(&mut self) {
        for _ in 0..20 {
            for entry in 0..ENTRIES {
                self.tick(entry);
            }
            self.advance_move();
            for message in std::mem::take(&mut self.messages) {
                self.receive(message);
            }
        }
    }

    fn check(&mut self, seed: u64) {
        for number in 0..KEYS {
            let runs = self.runs.iter().filter(|it| it.1 == number).count();
            assert!(runs <= 1, "seed {seed}: key {number} ran {runs} times");
        }
        for request in &self.refused {
            let has_run = self.runs.iter().any(|it| it.0 == *request);
            assert!(!has_run, "seed {seed}: {request} was refused as not run, but ran");
        }
        let home = self.homes.last().unwrap().clone();
        for Acknowledged { key: number, answer, is_recorded } in
            std::mem::take(&mut self.acknowledged)
        {
            let run = self.runs.iter().find(|it| it.1 == number).map(|it| answer_to(&it.0));
            assert_eq!(Some(&answer), run.as_ref(), "seed {seed}: answer of another request");
            let request = id("riga.entry-9.1.1");
            let owner = Owner { instance: id("entry-9"), incarnation: Incarnation(1) };
            let content = Fingerprint::of(&[number as u8]);
            let (key, team) = (key(number), team());
            let (epoch, moved) = (home.epoch, home.moved);
            let revision = self.revision;
            let queryable_service = None;
            let begin = Begin {
                team,
                key,
                content,
                request,
                owner,
                revision,
                epoch,
                moved,
                queryable_service,
            };

            let reply = self.apply(home.region, Action::Begin(begin));

            let is_known = match &reply {
                Reply::Begin(BeginReply::Done { answer: recorded, .. }) => *recorded == answer,
                Reply::Begin(BeginReply::Unknown(_)) => {
                    self.mode != StateLossMode::Never || !is_recorded
                }
                Reply::Begin(BeginReply::InProgress(_)) => !is_recorded,
                _ => false,
            };
            assert!(is_known, "seed {seed}: acknowledged booking {number} got {reply:?}");
        }
    }
}

fn run_histories(seeds: std::ops::Range<u64>, mode: StateLossMode) -> (usize, usize) {
    let (mut runs, mut acknowledged) = (0, 0);
    for seed in seeds {
        let mut simulation = Simulation::new(seed, mode);
        for _ in 0..STEPS {
            simulation.step();
        }
        simulation.deliver_all();
        runs += simulation.runs.len();
        acknowledged += simulation.acknowledged.len();
        simulation.check(seed);
    }
    (runs, acknowledged)
}

#[test]
fn booking_runs_at_most_once_over_crashes_and_moves() {
    let (runs, acknowledged) = run_histories(0..3_000, StateLossMode::Never);

    assert!(runs > 3_000, "the histories ran only {runs} bookings");
    assert!(acknowledged > 3_000, "the histories acknowledged only {acknowledged} bookings");
}

#[test]
fn booking_runs_at_most_once_when_groups_lose_their_state() {
    let (runs, acknowledged) = run_histories(10_000..13_000, StateLossMode::Complete);

    assert!(runs > 3_000, "the histories ran only {runs} bookings");
    assert!(acknowledged > 1_000, "the histories acknowledged only {acknowledged} bookings");
}

#[test]
fn booking_runs_at_most_once_when_groups_are_rebuilt_from_a_survivor() {
    let (runs, acknowledged) = run_histories(20_000..23_000, StateLossMode::Rebuilt);

    assert!(runs > 3_000, "the histories ran only {runs} bookings");
    assert!(acknowledged > 1_000, "the histories acknowledged only {acknowledged} bookings");
}

#[test]
fn histories_that_failed_before_pass() {
    for seed in [10_294, 202_417, 205_035, 214_013] {
        run_histories(seed..seed + 1, StateLossMode::Complete);
    }
    for seed in [20_002, 21_176, 32_346] {
        run_histories(seed..seed + 1, StateLossMode::Rebuilt);
    }
}

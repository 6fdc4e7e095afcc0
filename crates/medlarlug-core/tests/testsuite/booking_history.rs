//! Histories of bookings: several entry instances, two home groups, lost, late, crossed and
//! doubled messages, crashes, moves of the home, groups that lose their state or are rebuilt from a
//! survivor that lagged behind, and services that are asked about unknown outcomes.

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

/// Where the team lives from one revision on.
#[derive(Debug, Clone)]
struct Home {
    region: usize,
    epoch: Revision,
    moved: bool,
}

/// A message on its way; any of them may be delivered next.
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
    /// Its configuration: the revision, and the index of the home that it tells.
    revision: Revision,
    view: usize,
    attempts: Vec<(RequestId, usize, Attempt)>,
}

/// An upstream's answer that a caller got, or that an attempt ended with.
#[derive(Debug)]
struct Acknowledged {
    key: usize,
    answer: RecordedAnswer,
    /// Whether the home group had recorded it before; not so when the deadline came first.
    is_recorded: bool,
}

struct World {
    rng: ChaCha8Rng,
    groups: Vec<HomeGroup>,
    entries: Vec<Entry>,
    homes: Vec<Home>,
    is_moving: bool,
    revision: Revision,
    sequence: u64,
    messages: Vec<Message>,
    /// Requests that ran, with their key.
    runs: Vec<(RequestId, usize)>,
    /// Requests whose entry instance got the upstream's answer.
    answered: Vec<RequestId>,
    refused: Vec<RequestId>,
    acknowledged: Vec<Acknowledged>,
    loss: Loss,
    /// An earlier state of each group: that of a voter that lags behind.
    survivors: Vec<HomeGroup>,
}

/// How a group may lose state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Never,
    /// All of it.
    Whole,
    /// What a survivor, from which it is rebuilt, lacks.
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

impl World {
    fn new(seed: u64, loss: Loss) -> World {
        let entry = |_| Entry {
            incarnation: Incarnation(1),
            revision: Revision(3),
            view: 0,
            attempts: Vec::new(),
        };
        let mut world = World {
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
            loss,
            survivors: Vec::new(),
        };
        for index in 0..REGIONS.len() {
            let revision = Revision(index as u64 + 1);
            world.apply(index, Action::Found { revision, first: true });
        }
        world.survivors = world.groups.clone();
        world
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
            80..86 => self.disturb(entry),
            86..90 => self.configure(entry),
            90..92 => self.restart(entry),
            92..94 => self.suspect(entry),
            94..95 => self.move_home(),
            95..98 => self.push_move(),
            _ => self.lose_or_ask(),
        }
    }

    fn call(&mut self, entry: usize) {
        let number = self.rng.random_range(0..KEYS);
        self.sequence += 1;
        let Entry { incarnation, revision, view, .. } = self.entries[entry];
        let instance = id(&format!("entry-{entry}"));
        let home = self.homes[view].clone();
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
        self.carry_out(&request, number, out, true);
    }

    fn carry_out(
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
                    self.feed(request, Event::NotSent);
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

    /// Feeds an event to an attempt, if its process still runs.
    fn feed(&mut self, request: &RequestId, event: Event) {
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
                self.carry_out(request, number, out, is_recorded);
                return;
            }
        }
    }

    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let place = self.rng.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(place);
        let fate = self.rng.random_range(0..20);
        let is_call = matches!(message, Message::Call { .. } | Message::CallAnswer { .. });
        if fate == 0 {
            return;
        }
        if fate == 1 && !is_call {
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
            Message::Reply { to, step, reply } => self.feed(&to, Event::Replied { step, reply }),
            Message::Call { request, key } => {
                self.runs.push((request.clone(), key));
                let answer = answer_to(&request);
                self.messages.push(Message::CallAnswer { to: request, answer });
            }
            Message::CallAnswer { to, answer } => self.feed(&to, Event::Answered(answer)),
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
        self.push_move();
    }

    /// The new home asks the former one for the team's bookings, until it has adopted them.
    fn push_move(&mut self) {
        let Home { region: to, epoch, moved } = self.homes.last().unwrap().clone();
        let from = moved.then(|| region(1 - to));
        let home = TeamHome { team: team(), region: region(to), epoch, from };
        if moved && !self.groups[to].has_adopted(&home) {
            self.messages.push(Message::Seal { to });
        } else if self.is_moving {
            self.messages.push(Message::Release { region: 1 - to, epoch });
        }
    }

    /// A service is asked about an unknown booking, and tells its answer if it ran.
    fn ask_service(&mut self) {
        let region = self.rng.random_range(0..REGIONS.len());
        let questions: Vec<OutcomeQuery> = self.groups[region].outcome_queries().collect();
        for OutcomeQuery { team, key, request, .. } in questions {
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

    /// A voter of a group has applied all that the group has, and falls behind from now on.
    fn lag(&mut self) {
        let region = self.rng.random_range(0..REGIONS.len());
        self.survivors[region] = self.groups[region].clone();
    }

    fn lose_or_ask(&mut self) {
        // The draws of earlier kinds stay as they were when their seeds once failed.
        let draw = match self.loss {
            Loss::Never => return,
            Loss::Whole | Loss::Rebuilt => self.rng.random_range(0..8),
        };
        match (self.loss, draw) {
            (Loss::Rebuilt, 0) => self.rebuild(),
            (Loss::Rebuilt, 1..4) => self.ask_service(),
            (Loss::Rebuilt, _) => self.lag(),
            (_, 0) => self.found_anew(),
            _ => {}
        }
    }

    /// A group is rebuilt from its survivor, whose answers stay; the rest of what it knew is
    /// unknown.
    fn rebuild(&mut self) {
        let region = self.rng.random_range(0..REGIONS.len());
        let survivor = self.survivors[region].clone();
        self.groups[region] = survivor.clone();
        self.apply(region, Action::Rebuilt);
        self.revision = self.revision.next();
        // A configuration group that was rebuilt as well may call the founding the first.
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

    /// A group loses all its state and is founded anew.
    fn found_anew(&mut self) {
        let region = self.rng.random_range(0..REGIONS.len());
        self.revision = self.revision.next();
        self.groups[region] = HomeGroup::default();
        self.apply(region, Action::Found { revision: self.revision, first: false });
    }

    fn restart(&mut self, entry: usize) {
        let entry_state = &mut self.entries[entry];
        entry_state.incarnation = entry_state.incarnation.next();
        entry_state.attempts.clear();
        let incarnation = entry_state.incarnation;
        for region in 0..REGIONS.len() {
            let instance = id(&format!("entry-{entry}"));
            let action = Action::InstanceStarted { instance, incarnation };
            let from: RequestId = id(&format!("riga.entry-{entry}.{incarnation}.0"));
            self.messages.push(Message::Propose { from, step: 0, region, action });
        }
    }

    /// An entry instance learns the newest configuration.
    fn configure(&mut self, entry: usize) {
        self.entries[entry].revision = self.revision;
        self.entries[entry].view = self.homes.len() - 1;
    }

    /// A group takes a running instance for lost.
    fn suspect(&mut self, entry: usize) {
        let region = self.rng.random_range(0..REGIONS.len());
        let incarnation = self.entries[entry].incarnation;
        let instance = id(&format!("entry-{entry}"));
        self.apply(region, Action::InstanceDead { instance, incarnation });
    }

    fn tick(&mut self, entry: usize) {
        let requests: Vec<RequestId> =
            self.entries[entry].attempts.iter().map(|it| it.0.clone()).collect();
        for request in requests {
            self.feed(&request, Event::Tick);
        }
    }

    fn disturb(&mut self, entry: usize) {
        let count = self.entries[entry].attempts.len();
        if count == 0 {
            return;
        }
        let place = self.rng.random_range(0..count);
        let request = self.entries[entry].attempts[place].0.clone();
        let event =
            if self.rng.random_range(0..2) == 0 { Event::Deadline } else { Event::AnswerLost };
        self.feed(&request, event);
    }

    /// Lets every message arrive and a move of the home end.
    fn settle(&mut self) {
        for _ in 0..20 {
            for entry in 0..ENTRIES {
                self.tick(entry);
            }
            self.push_move();
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
            assert_eq!(Some(&answer), run.as_ref(), "seed {seed}: crossed answer");
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
                Reply::Begin(BeginReply::Unknown(_)) => self.loss != Loss::Never || !is_recorded,
                Reply::Begin(BeginReply::InProgress(_)) => !is_recorded,
                _ => false,
            };
            assert!(is_known, "seed {seed}: acknowledged booking {number} got {reply:?}");
        }
    }
}

fn run_histories(seeds: std::ops::Range<u64>, loss: Loss) -> (usize, usize) {
    let (mut runs, mut acknowledged) = (0, 0);
    for seed in seeds {
        let mut world = World::new(seed, loss);
        for _ in 0..STEPS {
            world.step();
        }
        world.settle();
        runs += world.runs.len();
        acknowledged += world.acknowledged.len();
        world.check(seed);
    }
    (runs, acknowledged)
}

#[test]
fn booking_runs_at_most_once_over_crashes_and_moves() {
    let (runs, acknowledged) = run_histories(0..3_000, Loss::Never);

    assert!(runs > 3_000, "the histories ran only {runs} bookings");
    assert!(acknowledged > 3_000, "the histories acknowledged only {acknowledged} bookings");
}

#[test]
fn booking_runs_at_most_once_when_groups_lose_their_state() {
    let (runs, acknowledged) = run_histories(10_000..13_000, Loss::Whole);

    assert!(runs > 3_000, "the histories ran only {runs} bookings");
    assert!(acknowledged > 1_000, "the histories acknowledged only {acknowledged} bookings");
}

#[test]
fn booking_runs_at_most_once_when_groups_are_rebuilt_from_a_survivor() {
    let (runs, acknowledged) = run_histories(20_000..23_000, Loss::Rebuilt);

    assert!(runs > 3_000, "the histories ran only {runs} bookings");
    assert!(acknowledged > 1_000, "the histories acknowledged only {acknowledged} bookings");
}

#[test]
fn histories_that_once_failed() {
    for seed in [10_294, 202_417, 205_035, 214_013] {
        run_histories(seed..seed + 1, Loss::Whole);
    }
    for seed in [20_002, 21_176, 32_346] {
        run_histories(seed..seed + 1, Loss::Rebuilt);
    }
}

//! Followers of the configuration: revisions only rise, and no revision is reported as in force everywhere
//! while an instance that lacks it may cross regions.

use std::time::Duration;

use medlarlug_core::{
    configuration_group::{Command, ConfigurationGroup, RolloutTracker},
    follower::{
        Confirmation, Effect, Event, Follower, MAX_CLOCK_DRIFT, Sources, Storage, Timing, Update,
        UpdateRequest, UpdateResponse,
    },
    ids::{InstanceId, Revision},
    release::{Configuration, ReleaseNote},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::{id, note, region};

const INSTANCES: usize = 5;
const KEEPER: &str = "keeper";
/// Real time of one step.
const STEP: Duration = Duration::from_millis(100);

/// One process: its clock begins at zero with each start.
struct Process {
    name: InstanceId,
    has_disk: bool,
    is_cut_off: bool,
    started: Duration,
    speed: f64,
    starts: u32,
    follower: Follower,
    saved: Option<Configuration>,
    highest: Revision,
}

impl Process {
    fn now(&self, real: Duration) -> Time {
        Time::ZERO + (real - self.started).mul_f64(self.speed)
    }
}

enum Message {
    Request {
        from: usize,
        to: InstanceId,
        request: UpdateRequest,
    },
    Response {
        to: usize,
        answer: UpdateResponse,
    },
    Push {
        to: usize,
        update: Update,
    },
    /// A completed save; ignored if the process has been restarted in the meantime.
    Saved {
        to: usize,
        starts: u32,
        saved: Box<Configuration>,
    },
}

struct World {
    rng: ChaCha8Rng,
    real: Duration,
    timing: Timing,
    group: ConfigurationGroup,
    tracker: RolloutTracker,
    processes: Vec<Process>,
    messages: Vec<Message>,
}

fn name(index: usize) -> InstanceId {
    id(&format!("entry-{index}"))
}

fn storage(has_disk: bool, saved: Option<Configuration>) -> Storage {
    match has_disk {
        true => Storage::Disk(saved),
        false => Storage::Memory,
    }
}

fn sources() -> Sources {
    Sources { voters: vec![id(KEEPER)], peers: (0..INSTANCES).map(name).collect() }
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let timing = Timing::default();
        let process = |index| Process {
            name: name(index),
            has_disk: index < 2,
            is_cut_off: false,
            started: Duration::ZERO,
            speed: rng.random_range(0.996..1.004),
            starts: 1,
            follower: Follower::new(timing, storage(index < 2, None), 0),
            saved: None,
            highest: Revision(0),
        };
        let processes = (0..INSTANCES).map(process).collect();
        let mut world = World {
            rng,
            real: Duration::ZERO,
            timing,
            group: ConfigurationGroup::default(),
            tracker: RolloutTracker::new(timing.lease, MAX_CLOCK_DRIFT),
            processes,
            messages: Vec::new(),
        };
        for index in 0..INSTANCES {
            world.feed(index, Event::Sources(sources()));
        }
        world
    }

    fn keeper_now(&self) -> Time {
        Time::ZERO + self.real
    }

    fn step(&mut self, is_stable: bool) {
        self.real += STEP;
        let index = self.rng.random_range(0..INSTANCES);
        if !is_stable {
            match self.rng.random_range(0..60) {
                0 | 1 => self.commit(),
                2 => self.restart(index),
                3..6 => self.processes[index].is_cut_off ^= true,
                _ => {}
            }
        }
        for index in 0..INSTANCES {
            self.feed(index, Event::Tick);
        }
        for _ in 0..2 * INSTANCES {
            self.deliver(is_stable);
        }
    }

    fn commit(&mut self) {
        let base = self.group.configuration().revision.0;
        let items = vec![region(&format!("r{base}"), &[&format!("r{base}-a")])];
        let note = ReleaseNote::try_from(note(base, items)).unwrap();
        self.group.apply(Command::Apply(note));
        self.tracker.record_commit(self.keeper_now(), Revision(base + 1));
        let request = UpdateRequest { token: 0, revision: Revision(base), full: false };
        for to in 0..INSTANCES {
            let update = self.group.update_for(&request).unwrap();
            self.messages.push(Message::Push { to, update });
        }
    }

    fn restart(&mut self, index: usize) {
        let process = &mut self.processes[index];
        process.starts += 1;
        process.started = self.real;
        let storage = storage(process.has_disk, process.saved.clone());
        process.follower = Follower::new(self.timing, storage, u64::from(process.starts) << 32);
        let saved = process.follower.revision();
        assert!(!process.has_disk || saved >= process.highest, "{} fell to {saved}", process.name);
        self.feed(index, Event::Sources(sources()));
    }

    fn feed(&mut self, index: usize, event: Event) {
        let mut out = Vec::new();
        let process = &mut self.processes[index];
        process.follower.handle(process.now(self.real), event, &mut out);
        for effect in out {
            match effect {
                Effect::RequestUpdate { source, request } => {
                    self.messages.push(Message::Request { from: index, to: source, request });
                }
                Effect::Save(saved) => {
                    let starts = process.starts;
                    self.messages.push(Message::Saved { to: index, starts, saved });
                }
                Effect::Changed(revision) => {
                    assert!(revision >= process.highest, "{} fell to {revision}", process.name);
                    process.highest = revision;
                }
            }
        }
    }

    /// Delivers a random message, unless it is lost.
    fn deliver(&mut self, is_stable: bool) {
        if self.messages.is_empty() {
            return;
        }
        let place = self.rng.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(place);
        let is_lossy = !is_stable && !matches!(message, Message::Saved { .. });
        if is_lossy && self.rng.random_range(0..10) == 0 {
            return;
        }
        match message {
            Message::Request { from, to, request } => self.answer(from, &to, request),
            Message::Response { to, answer } => self.feed(to, Event::ResponseReceived(answer)),
            Message::Saved { to, starts, saved } => self.save(to, starts, saved),
            Message::Push { to, update } if !self.processes[to].is_cut_off => {
                self.feed(to, Event::Pushed(update));
            }
            Message::Push { .. } => {}
        }
    }

    fn save(&mut self, index: usize, starts: u32, saved: Box<Configuration>) {
        let process = &mut self.processes[index];
        if process.starts == starts {
            let is_newer = process.saved.as_ref().is_none_or(|it| it.revision < saved.revision);
            process.saved = if is_newer { Some((*saved).clone()) } else { process.saved.take() };
            self.feed(index, Event::Saved(saved));
        }
    }

    /// The keeper responds to instances that are not cut off; instances always respond to each other.
    fn answer(&mut self, from: usize, to: &InstanceId, request: UpdateRequest) {
        let requester = self.processes[from].name.clone();
        let answer = if to.as_str() == KEEPER {
            if self.processes[from].is_cut_off {
                return;
            }
            self.tracker.record_confirmation(requester.clone(), id("riga-a"), request.revision);
            let revision = self.group.configuration().revision;
            UpdateResponse {
                token: request.token,
                update: self.group.update_for(&request),
                confirmation: Some(Confirmation { revision, age: Duration::ZERO }),
            }
        } else {
            let peer = self.processes.iter().find(|it| it.name == *to).unwrap();
            peer.follower.answer(peer.now(self.real), request)
        };
        self.messages.push(Message::Response { to: from, answer });
    }

    /// Newest revision that is reported as in force everywhere, or 0.
    fn check(&self, seed: u64) -> u64 {
        let newest = self.group.configuration().revision.0;
        let is_everywhere =
            |it: &u64| self.tracker.rollout(self.keeper_now(), Revision(*it)).is_complete();
        let known = self.tracker.rollout(self.keeper_now(), Revision(1)).zones;
        let is_complete = known.first().is_some_and(|it| it.confirmed as usize == INSTANCES);
        let Some(everywhere) = (1..=newest).rev().find(is_everywhere).filter(|_| is_complete)
        else {
            return 0;
        };
        for process in &self.processes {
            let may_cross = process.follower.may_cross_regions(process.now(self.real));
            let knows = process.follower.revision().0 >= everywhere;
            assert!(knows || !may_cross, "seed {seed}: {} crosses regions", process.name);
        }
        everywhere
    }
}

#[test]
fn revisions_rise_and_leases_bound_what_is_in_force() {
    let mut everywhere = 0;
    for seed in 0..300 {
        let mut world = World::new(seed);
        for _ in 0..600 {
            world.step(false);
            everywhere = everywhere.max(world.check(seed));
        }

        for process in &mut world.processes {
            process.is_cut_off = false;
        }
        for _ in 0..300 {
            world.step(true);
        }

        for process in &world.processes {
            let current = process.follower.configuration();
            assert_eq!(current, Some(world.group.configuration()), "seed {seed}: {}", process.name);
            let now = process.now(world.real);
            assert!(process.follower.may_cross_regions(now), "seed {seed}: {}", process.name);
        }
    }
    assert!(everywhere > 10, "only revision {everywhere} came into force");
}

#[test]
fn follower_that_starts_without_a_configuration_does_not_cross_regions() {
    let follower = Follower::new(Timing::default(), Storage::Memory, 0);

    assert!(follower.configuration().is_none());
    assert!(!follower.may_cross_regions(Time::ZERO));
}

#[test]
fn age_of_a_confirmation_counts_from_the_request() {
    let timing = Timing::default();
    let saved = Configuration::new(Revision(3), Vec::new());
    let mut follower = Follower::new(timing, Storage::Disk(Some(saved)), 0);
    let mut out = Vec::new();
    follower.handle(Time::from_millis(5_000), Event::Sources(sources()), &mut out);
    let Effect::RequestUpdate { request, .. } = &out[0] else { panic!("no request") };
    let confirmation = Confirmation { revision: Revision(3), age: Duration::from_secs(2) };
    let answer =
        UpdateResponse { token: request.token, update: None, confirmation: Some(confirmation) };

    follower.handle(Time::from_millis(9_000), Event::ResponseReceived(answer), &mut out);

    let age = Duration::from_secs(9 - 5 + 2);
    assert_eq!(follower.confirmed_age(Time::from_millis(9_000)), Some(age));
    assert!(follower.may_cross_regions(Time::from_millis(10_900)));
    assert!(!follower.may_cross_regions(Time::from_millis(11_000)));
}

fn full(revision: u64) -> Update {
    Update::Full(Configuration::new(Revision(revision), Vec::new()))
}

fn first_request(follower: &mut Follower, now: Time) -> UpdateRequest {
    let mut out = Vec::new();
    follower.handle(now, Event::Sources(sources()), &mut out);
    let Some(Effect::RequestUpdate { request, .. }) = out.first() else { panic!("no request") };
    *request
}

/// A follower without a disk that sent a request at `sent_at` and received revision 3, with a
/// confirmation of age `age`, if any.
fn follower_with_offer(sent_at: Time, age: Option<Duration>) -> Follower {
    let mut follower = Follower::new(Timing::default(), Storage::Memory, 0);
    let token = first_request(&mut follower, sent_at).token;
    let confirmation = age.map(|age| Confirmation { revision: Revision(3), age });
    let answer = UpdateResponse { token, update: Some(full(3)), confirmation };
    follower.handle(sent_at, Event::ResponseReceived(answer), &mut Vec::new());
    follower
}

/// An instance without a disk starts while only a lagging keeper is reachable, which sends it an old
/// configuration without a confirmation. The instance must not fall back to that revision.
#[test]
fn isolated_start_takes_no_revision_that_nobody_confirms() {
    let mut follower = follower_with_offer(Time::ZERO, None);

    for seconds in [9, 10, 11, 60, 3_600] {
        follower.handle(Time::from_millis(seconds * 1_000), Event::Tick, &mut Vec::new());

        assert_eq!(follower.revision(), Revision(0), "after {seconds} s");
    }
}

#[test]
fn confirmation_from_before_the_start_by_either_clock_is_ignored() {
    let sent_at = Time::from_millis(5_000);
    let age_by_slower_clock = Duration::from_secs(5).div_f64(1.0 + MAX_CLOCK_DRIFT);

    let before = follower_with_offer(sent_at, Some(age_by_slower_clock + Duration::from_millis(1)));
    let after = follower_with_offer(sent_at, Some(age_by_slower_clock - Duration::from_millis(1)));

    assert_eq!(before.revision(), Revision(0));
    assert_eq!(after.revision(), Revision(3));
}

#[test]
fn response_to_a_request_of_an_earlier_start_confirms_nothing() {
    let mut former = Follower::new(Timing::default(), Storage::Memory, 1 << 32);
    let token = first_request(&mut former, Time::ZERO).token;
    let confirmation = Some(Confirmation { revision: Revision(3), age: Duration::ZERO });
    let late = UpdateResponse { token, update: Some(full(3)), confirmation };
    let mut follower = Follower::new(Timing::default(), Storage::Memory, 2 << 32);
    first_request(&mut follower, Time::ZERO);

    follower.handle(Time::from_millis(100), Event::ResponseReceived(late), &mut Vec::new());

    assert_eq!(follower.revision(), Revision(0));
}

#[test]
fn revision_is_in_force_once_it_is_saved() {
    let saved = Configuration::new(Revision(3), Vec::new());
    let mut follower = Follower::new(Timing::default(), Storage::Disk(Some(saved)), 0);
    let mut out = Vec::new();

    follower.handle(Time::ZERO, Event::Pushed(full(4)), &mut out);
    let before = follower.revision();
    let Some(Effect::Save(save)) = out.pop() else { panic!("nothing to save") };
    follower.handle(Time::from_millis(1), Event::Saved(save), &mut out);

    assert_eq!(before, Revision(3));
    assert_eq!((follower.revision(), out), (Revision(4), vec![Effect::Changed(Revision(4))]));
}

#[test]
fn confirmation_of_a_newer_revision_does_not_confirm_an_older_one() {
    let saved = Configuration::new(Revision(3), Vec::new());
    let mut follower = Follower::new(Timing::default(), Storage::Disk(Some(saved)), 0);
    let confirmation = Confirmation { revision: Revision(4), age: Duration::ZERO };

    follower.handle(Time::from_millis(5), Event::Confirmed(confirmation), &mut Vec::new());

    assert!(!follower.may_cross_regions(Time::from_millis(5)));
}

#[test]
fn leases_are_waited_out_with_the_drift_of_clocks() {
    let mut tracker = RolloutTracker::new(Duration::from_secs(10), MAX_CLOCK_DRIFT);
    tracker.add_instance(id("entry-1"), id("riga-a"));

    tracker.record_commit(Time::ZERO, Revision(1));

    assert!(!tracker.rollout(Time::from_millis(10_099), Revision(1)).is_complete());
    assert!(tracker.rollout(Time::from_millis(10_100), Revision(1)).is_complete());
}

#[test]
fn first_configuration_is_accepted_as_soon_as_it_is_confirmed() {
    let mut follower = Follower::new(Timing::default(), Storage::Memory, 0);
    let update = full(3);
    let mut out = Vec::new();
    follower.handle(Time::from_millis(5), Event::Pushed(update), &mut out);
    assert_eq!(follower.revision(), Revision(0));
    let confirmation = Confirmation { revision: Revision(3), age: Duration::from_millis(1) };

    follower.handle(Time::from_millis(6), Event::Confirmed(confirmation), &mut out);

    assert_eq!(out, [Effect::Changed(Revision(3))]);
    assert!(follower.may_cross_regions(Time::from_millis(6)));
}

/// Number of requests to the voter among 40, if every response confirms the revision with this age.
fn requests_to_voter(age: Option<Duration>) -> usize {
    let saved = Configuration::new(Revision(3), Vec::new());
    let mut follower = Follower::new(Timing::default(), Storage::Disk(Some(saved)), 0);
    follower.handle(Time::ZERO, Event::Sources(Sources::default()), &mut Vec::new());
    let mut count = 0;
    // Requests are counted after the first ten responses, when the confirmations have taken effect.
    for second in 10..60 {
        let now = Time::from_millis(second * 1_000);
        let mut out = Vec::new();
        follower.handle(now, Event::Sources(sources()), &mut out);
        let Some(Effect::RequestUpdate { source, request }) = out.pop() else {
            panic!("no request")
        };
        count += usize::from(second >= 20 && source.as_str() == KEEPER);
        let confirmation = age.map(|age| Confirmation { revision: Revision(3), age });
        let answer = UpdateResponse { token: request.token, update: None, confirmation };
        follower.handle(now, Event::ResponseReceived(answer), &mut Vec::new());
    }
    count
}

#[test]
fn one_in_eight_requests_goes_to_a_voter_and_every_other_one_without_fresh_confirmations() {
    assert_eq!(requests_to_voter(Some(Duration::from_secs(1))), 5);
    assert_eq!(requests_to_voter(None), 20);
}

#[test]
fn instances_that_start_together_use_different_voters() {
    let voters: Vec<InstanceId> = (0..5).map(|it| id(&format!("keeper-{it}"))).collect();
    let first = |start: u64| {
        let mut follower = Follower::new(Timing::default(), Storage::Memory, start << 20);
        let sources = Sources { voters: voters.clone(), peers: Vec::new() };
        let mut out = Vec::new();
        follower.handle(Time::ZERO, Event::Sources(sources), &mut out);
        let Some(Effect::RequestUpdate { source, .. }) = out.pop() else { panic!("no request") };
        source
    };

    let first_voters: Vec<InstanceId> = (0..340).map(|it| first(1_764_720_000_000 + it)).collect();

    for voter in &voters {
        let count = first_voters.iter().filter(|it| *it == voter).count();
        assert!(count <= 2 * 340 / 5, "{voter} receives {count} requests at once");
    }
}

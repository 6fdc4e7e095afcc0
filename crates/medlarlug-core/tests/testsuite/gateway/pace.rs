//! Ramp-up of a started or recovered upstream by many instances, as the upstream observes it,
//! against the behaviour without a ramp: the full share of all instances at once.

use std::time::Duration;

use medlarlug_core::{
    gateway::{
        cold::designated_sender,
        health::{HealthTracker, UpstreamOutcome},
        pace::{FirstToken, OWNER_SILENCE, Part, RampCause, RampNotice, Ramps, Sight},
        upstreams::Birth,
    },
    ids::{InstanceId, UpstreamId},
    time::Time,
};
use proptest::prelude::*;

/// Time between two steps of a history.
const STEP: Duration = Duration::from_millis(10);
/// Steps between two rounds of an instance.
const ROUND_STEPS: u32 = 10;
/// First-token time that the instances predict.
const PREDICTED: Duration = Duration::from_millis(100);
/// Duration of a call after its first token.
const STREAM_TIME: Duration = Duration::from_secs(1);
/// Calls that the instances together want to hold at the upstream, as at the warm ones.
const SHARE: usize = 60;
const INSTANCES: usize = 30;

/// An upstream whose time to the first token depends on what it holds.
#[derive(Debug, Clone, Copy)]
struct FakeUpstream {
    /// First-token time without load.
    base: Duration,
    /// Held calls at which that time has doubled; it grows with their square.
    knee: f64,
    /// Held calls above which it refuses.
    room: usize,
    /// Requests within 200 ms above which it crashes.
    burst: usize,
}

const FAST: FakeUpstream =
    FakeUpstream { base: Duration::from_millis(60), knee: 200.0, room: 1_000, burst: 1_000 };
/// Late from 25 held calls on.
const SLOW: FakeUpstream = FakeUpstream { knee: 16.0, ..FAST };
const REFUSING: FakeUpstream = FakeUpstream { room: 20, ..FAST };
const CRASHING: FakeUpstream = FakeUpstream { burst: 40, ..FAST };

struct HeldCall {
    by: usize,
    sent: Time,
    token_at: Time,
    has_token: bool,
}

/// What happened to the calls of a history.
#[derive(Debug, Default, Clone, PartialEq)]
struct Report {
    late: usize,
    refused: usize,
    crashes: usize,
    max_held: usize,
    /// Time from the start until all of the share is held.
    full: Option<Duration>,
}

struct World {
    now: Time,
    upstream: FakeUpstream,
    is_paced: bool,
    /// Whether any instance may own the window.
    has_owner: bool,
    healths: Vec<HealthTracker>,
    ids: Vec<InstanceId>,
    ramps: Vec<Ramps>,
    frozen: Vec<Option<Time>>,
    hold: Option<RampCause>,
    birth: Birth,
    down_until: Time,
    calls: Vec<HeldCall>,
    arrivals: Vec<Time>,
    notices: Vec<(Time, usize, RampNotice)>,
    report: Report,
}

fn engine() -> UpstreamId {
    "engine-1".parse().unwrap()
}

impl World {
    /// An upstream that has just become warm.
    fn started(upstream: FakeUpstream, is_paced: bool) -> World {
        let ids = (0..INSTANCES).map(|it| format!("entry-{it}").parse().unwrap()).collect();
        let mut world = World {
            now: Time::ZERO,
            upstream,
            is_paced,
            has_owner: true,
            healths: vec![HealthTracker::default(); INSTANCES],
            ids,
            ramps: vec![Ramps::default(); INSTANCES],
            frozen: vec![None; INSTANCES],
            hold: Some(RampCause::Cold),
            birth: Birth(1),
            down_until: Time::ZERO,
            calls: Vec::new(),
            arrivals: Vec::new(),
            notices: Vec::new(),
            report: Report::default(),
        };
        world.round();
        world.hold = None;
        world
    }

    fn part(&self, number: usize, live: &[InstanceId]) -> Part {
        Part::of(&self.ids[number], &engine(), live)
    }

    fn running(&self, number: usize) -> usize {
        self.calls.iter().filter(|call| call.by == number).count()
    }

    /// A round of all instances. A frozen instance counts as live for 2.5 s.
    fn round(&mut self) {
        let is_live = |frozen: &Option<Time>| {
            frozen.is_none_or(|since| self.now - since <= Duration::from_millis(2_500))
        };
        let live = self.ids.iter().zip(&self.frozen).filter(|it| is_live(it.1));
        let live: Vec<InstanceId> = live.map(|it| it.0.clone()).collect();
        let owner = (0..INSTANCES)
            .find(|it| self.part(*it, &live).rank == 0 && live.contains(&self.ids[*it]))
            .unwrap();
        for number in (0..INSTANCES).filter(|it| self.frozen[*it].is_none()) {
            let part = self.part(number, &live);
            let sight = Sight {
                id: &engine(),
                birth: self.birth,
                hold: self.hold,
                part,
                is_owner: self.has_owner && number == owner,
                target: SHARE as f64,
            };
            let ramps = &mut self.ramps[number];
            ramps.observe(self.now, sight);
            for notice in ramps.due_notices(self.now) {
                let due = self.now + STEP;
                let all = (0..INSTANCES).filter(|to| *to != number);
                let to = all.filter(|to| notice.is_owner || *to == owner);
                self.notices.extend(to.map(|to| (due, to, notice.clone())));
            }
        }
    }

    /// Calls that all instances together may hold now.
    fn allowed(&self) -> u32 {
        let allowed = self.ramps.iter().map(|it| it.allowed(self.now, &engine(), self.birth));
        allowed.map(|it| it.unwrap_or(u32::MAX)).fold(0, u32::saturating_add)
    }

    fn deliver(&mut self) {
        let (due, later) =
            std::mem::take(&mut self.notices).into_iter().partition(|it| it.0 <= self.now);
        self.notices = later;
        let due: Vec<(Time, usize, RampNotice)> = due;
        for (at, to, notice) in due {
            match self.frozen[to] {
                Some(_) => self.notices.push((at, to, notice)),
                None => drop(self.ramps[to].apply(self.now, &notice)),
            }
        }
    }

    fn send(&mut self, number: usize) {
        let (now, upstream) = (self.now, self.upstream);
        self.arrivals.retain(|it| now - *it < Duration::from_millis(200));
        self.arrivals.push(now);
        if self.arrivals.len() > upstream.burst {
            self.report.crashes += 1;
            for call in std::mem::take(&mut self.calls) {
                self.ramps[call.by].record_strain(now, &engine(), call.sent);
            }
            self.birth = Birth(self.birth.0 + 1);
            self.down_until = now + Duration::from_secs(1);
            return;
        }
        if self.calls.len() >= upstream.room {
            self.report.refused += 1;
            self.healths[number].record(now, &engine(), UpstreamOutcome::Refused);
            self.ramps[number].record_strain(now, &engine(), now);
            return;
        }
        let load = self.calls.len() as f64 / upstream.knee;
        let token_at = now + upstream.base.mul_f64(1.0 + load * load);
        self.calls.push(HeldCall { by: number, sent: now, token_at, has_token: false });
        self.report.max_held = self.report.max_held.max(self.calls.len());
    }

    /// Lets time pass until `until`, in which every instance wants its part of the share.
    fn run(&mut self, until: Duration) -> Report {
        let mut step = 0;
        while self.now < Time::ZERO + until {
            self.now = self.now + STEP;
            step += 1;
            self.deliver();
            if step % ROUND_STEPS == 0 && self.now >= self.down_until {
                self.round();
            }
            self.calls.retain(|it| self.now < it.token_at + STREAM_TIME);
            for at in 0..self.calls.len() {
                let (by, sent, token_at) = {
                    let it = &self.calls[at];
                    (it.by, it.sent, it.token_at)
                };
                if self.calls[at].has_token || token_at > self.now {
                    continue;
                }
                self.calls[at].has_token = true;
                self.report.late += usize::from(token_at - sent > PREDICTED * 2);
                let held = self.running(by) as u64;
                let token = FirstToken { sent, predicted: PREDICTED, held, is_stream: true };
                self.ramps[by].record_first_token(self.now, &engine(), token);
            }
            for number in 0..INSTANCES {
                let allowed = self.ramps[number].allowed(self.now, &engine(), self.birth);
                let allowed =
                    allowed.filter(|_| self.is_paced).map_or(usize::MAX, |it| it as usize);
                let wanted = SHARE / INSTANCES;
                while self.running(number) < wanted.min(allowed)
                    && self.now >= self.down_until
                    && self.hold.is_none()
                    && self.frozen[number].is_none()
                    && !self.healths[number].is_avoided(self.now, &engine())
                {
                    let before = self.calls.len();
                    self.send(number);
                    if self.calls.len() <= before {
                        break;
                    }
                }
            }
            let took = self.now - Time::ZERO;
            let held = self.calls.len();
            if held >= SHARE {
                self.report.full.get_or_insert(took);
            }
        }
        self.report.clone()
    }
}

/// The reports of ten seconds in which the instances ramp up, and in which they don't.
fn both(upstream: FakeUpstream) -> (Report, Report) {
    let run = |is_paced| World::started(upstream, is_paced).run(secs(10));
    let (paced, at_once) = (run(true), run(false));
    println!("paced {paced:?}, at once {at_once:?}");
    (paced, at_once)
}

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn fast_upstream_carries_its_share_within_three_seconds() {
    let (paced, at_once) = both(FAST);

    assert!(paced.full.is_some_and(|full| full < secs(3)), "{paced:?}");
    assert_eq!((paced.late, paced.refused, paced.max_held), (0, 0, SHARE));
    assert_eq!(at_once.full, Some(STEP));
}

/// Guards against the full share at once, under which most first tokens are late.
#[test]
fn slow_upstream_holds_no_more_than_it_answers_in_time() {
    let (paced, at_once) = both(SLOW);

    assert!(paced.late * 5 < at_once.late, "{paced:?} {at_once:?}");
    assert!(paced.max_held < SHARE * 2 / 3, "{paced:?}");
}

#[test]
fn full_upstream_refuses_fewer_calls() {
    let (paced, at_once) = both(REFUSING);

    assert!(paced.refused * 3 < at_once.refused, "{paced:?} {at_once:?}");
    assert_eq!(paced.max_held, REFUSING.room);
}

/// Guards against the crash of each incarnation anew by the calls that waited for it.
#[test]
fn upstream_that_crashes_under_a_burst_comes_up() {
    let (paced, at_once) = both(CRASHING);

    assert_eq!((paced.crashes, paced.max_held), (0, SHARE));
    assert!(at_once.crashes > 3 && at_once.full.is_none(), "{at_once:?}");
}

/// Guards against a ramp that doubles into the same crash in each incarnation.
#[test]
fn ramp_after_a_crash_grows_slowly_from_half_of_the_window_of_the_crash() {
    let upstream = FakeUpstream { burst: 12, ..FAST };

    let report = World::started(upstream, true).run(secs(20));

    let at_once = World::started(upstream, false).run(secs(20));
    println!("paced {report:?}, at once {at_once:?}");
    assert!((1..=3).contains(&report.crashes), "{report:?}");
    assert!(report.crashes * 4 < at_once.crashes, "{at_once:?}");
}

#[test]
fn window_begins_anew_after_each_recovery() {
    for cause in [RampCause::Cold, RampCause::Evacuated, RampCause::Backoff] {
        let mut world = World::started(FAST, true);
        world.run(secs(4));
        assert_eq!(world.allowed(), u32::MAX);

        world.hold = Some(cause);
        world.run(secs(7));
        world.hold = None;
        world.report = Report::default();
        world.round();

        assert_eq!((world.allowed(), world.calls.len()), (1, 0));
        assert!(world.run(secs(12)).full.is_some_and(|full| full < secs(10)));
    }
}

/// Guards against growth on a frozen owner's word, and against a ramp that ends with its owner.
#[test]
fn ramp_stands_while_its_owner_is_frozen_and_goes_on_under_the_next() {
    let mut world = World::started(FAST, true);
    world.run(secs(1));
    let owner = (0..INSTANCES).find(|it| world.part(*it, &world.ids).rank == 0).unwrap();
    let before = world.allowed();

    world.frozen[owner] = Some(world.now);
    world.run(secs(3));

    assert!(world.allowed() <= before + 2, "{} {before}", world.allowed());
    world.run(secs(8));
    world.frozen[owner] = None;
    world.run(secs(10));
    assert_eq!((world.allowed(), world.report.late), (u32::MAX, 0));
}

/// Guards against two windows: an instance that has restarted, the owner too, takes the one that the
/// others have.
#[test]
fn instance_that_has_just_started_holds_one_call_until_it_hears_of_the_ramp() {
    let mut world = World::started(SLOW, true);
    let owner = (0..INSTANCES).find(|it| world.part(*it, &world.ids).rank == 0).unwrap();
    for number in [owner, (owner + 1) % INSTANCES] {
        world.run(world.now - Time::ZERO + secs(2));
        let before = world.allowed();
        world.ramps[number] = Ramps::default();
        world.round();
        assert_eq!(world.ramps[number].allowed(world.now, &engine(), world.birth), Some(1));

        world.run(world.now - Time::ZERO + Duration::from_millis(600));

        assert!(world.allowed() <= before * 2, "{} {before}", world.allowed());
    }
}

#[test]
fn instance_that_hears_of_no_ramp_gives_the_full_share_after_a_second() {
    let mut world = World::started(FAST, true);
    world.ramps = vec![Ramps::default(); INSTANCES];
    world.round();

    assert_eq!(world.allowed(), INSTANCES as u32);
    world.run(Duration::from_millis(1_200));
    assert_eq!(world.allowed(), u32::MAX);
}

/// Guards against an upstream that stays idle while keepers are down, or below an owner of an earlier
/// build.
#[test]
fn instances_without_an_owner_ramp_up_alone() {
    let mut world = World::started(FAST, true);
    world.has_owner = false;

    world.run(OWNER_SILENCE);
    assert!(world.allowed() <= 1, "{}", world.allowed());
    let report = world.run(secs(8));

    assert!(report.full.is_some_and(|full| full < secs(6)), "{report:?}");
}

#[test]
fn late_messages_of_an_earlier_ramp_change_nothing() {
    let mut world = World::started(FAST, true);
    let owner = (0..INSTANCES).find(|it| world.part(*it, &world.ids).rank == 0).unwrap();
    world.run(Duration::from_millis(300));
    let (_, _, earlier) = world.notices.pop().unwrap_or_else(|| {
        world.run(Duration::from_millis(400));
        (world.now, 0, world.ramps[owner].due_notices(world.now + secs(1)).remove(0))
    });
    world.run(secs(4));

    let changes: Vec<_> = world.ramps.iter_mut().map(|it| it.apply(world.now, &earlier)).collect();

    assert!(changes.iter().all(Option::is_none));
    assert_eq!(world.allowed(), u32::MAX);
}

proptest! {
    /// Guards against parts that together exceed the window, and against a designated sender without a
    /// call.
    #[test]
    fn parts_of_instances_with_the_same_view_add_up_to_the_window(
        window in 1..200_u32,
        instances in 1..150_usize,
    ) {
        let ids: Vec<InstanceId> =
            (0..instances).map(|it| format!("entry-{it}").parse().unwrap()).collect();
        let parts: Vec<Part> = ids.iter().map(|it| Part::of(it, &engine(), &ids)).collect();
        let shares: Vec<u32> = parts.iter().map(|it| it.share(window)).collect();

        prop_assert_eq!(shares.iter().sum::<u32>(), window);
        let sender = designated_sender(&engine(), &ids).unwrap();
        let at = ids.iter().position(|it| it == sender).unwrap();
        prop_assert!(parts[at].rank == 0 && shares[at] >= 1);
    }
}

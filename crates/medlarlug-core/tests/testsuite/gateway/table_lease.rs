//! For how long instances rely on the home regions of their tables, whatever is late, lost or stalled.

use std::{net::SocketAddr, time::Duration};

use medlarlug_core::{
    gateway::{
        table::TableVersion,
        table_lease::{LeaseBounds, ResidencyError, TableLease, TableReport},
    },
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fixture::region;

const BOUND: Duration = Duration::from_secs(11);
const PROCESSES: usize = 3;

fn keeper(number: usize) -> SocketAddr {
    ([10, 1, 0, number as u8], 7_660).into()
}

/// What is on its way, with the milliseconds at which it arrives.
#[derive(Debug, Clone, Copy)]
enum Message {
    /// The leader's answer to a read that a keeper sent at `requested`.
    Version {
        keeper: usize,
        requested: u64,
        version: u64,
    },
    Ping {
        keeper: usize,
        instance: usize,
        sent: u64,
    },
    Pong {
        keeper: usize,
        instance: usize,
        sent: u64,
        report: TableReport,
    },
    Table {
        instance: usize,
        version: u64,
    },
}

/// Keepers and instances whose clocks differ, in milliseconds of the world.
struct World {
    random: ChaCha8Rng,
    now: u64,
    max_delay: u64,
    loss: f64,
    /// When each version was committed; the first is 0.
    commits: Vec<u64>,
    confirmed: [Option<(u64, u64)>; PROCESSES],
    instances: Vec<(TableLease, u64)>,
    /// The newest version that each instance was told of.
    heard: [u64; PROCESSES],
    messages: Vec<(u64, Message)>,
}

impl World {
    fn new(seed: u64, max_delay: u64, loss: f64) -> World {
        World::with_bounds(BOUND.into(), seed, max_delay, loss)
    }

    fn with_bounds(bounds: LeaseBounds, seed: u64, max_delay: u64, loss: f64) -> World {
        World {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 1,
            max_delay,
            loss,
            commits: vec![0],
            confirmed: [None; PROCESSES],
            instances: vec![(TableLease::new(bounds), 0); PROCESSES],
            heard: [0; PROCESSES],
            messages: Vec::new(),
        }
    }

    fn newest(&self) -> u64 {
        self.commits.len() as u64 - 1
    }

    /// The time by the clock of an instance.
    fn clock(&self, instance: usize, at: u64) -> Time {
        Time::from_millis(100_000_000 * (instance as u64 + 1) + at)
    }

    fn send(&mut self, message: Message) {
        if !self.random.random_bool(self.loss) {
            let delay = self.random.random_range(0..=self.max_delay);
            self.messages.push((self.now + delay, message));
        }
    }

    fn commit(&mut self) {
        self.commits.push(self.now);
        let version = self.newest();
        (0..PROCESSES).for_each(|instance| self.send(Message::Table { instance, version }));
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Version { keeper, requested, version } => {
                self.confirmed[keeper] = Some((version, requested));
            }
            Message::Ping { keeper, instance, sent } => {
                let report = match self.confirmed[keeper] {
                    None => TableReport::Unconfirmed,
                    Some((version, at)) => TableReport::Confirmed {
                        version: TableVersion(version),
                        age_ms: (self.now - at) as u32,
                    },
                };
                self.send(Message::Pong { keeper, instance, sent, report });
            }
            Message::Pong { keeper: from, instance, sent, report } => {
                let sent = self.clock(instance, sent);
                if let TableReport::Confirmed { version, .. } = report {
                    self.heard[instance] = self.heard[instance].max(version.0);
                }
                self.instances[instance].0.record_report(keeper(from), sent, report);
            }
            Message::Table { instance, version } => {
                let own = &mut self.instances[instance].1;
                *own = version.max(*own);
            }
        }
    }

    /// Goes on by a step in which every keeper may read and every instance may ping.
    fn step(&mut self, millis: u64, share: f64) {
        self.now += millis;
        for from in 0..PROCESSES {
            if self.random.random_bool(share) {
                // The leader answers with the newest version of any moment between question and answer.
                let answered = self.now + self.random.random_range(0..=self.max_delay);
                let moment = self.random.random_range(self.now..=answered);
                let version = self.commits.partition_point(|it| *it <= moment) as u64 - 1;
                let answer = Message::Version { keeper: from, requested: self.now, version };
                self.messages.push((answered, answer));
            }
            let instance = self.random.random_range(0..PROCESSES);
            if self.random.random_bool(share) {
                self.send(Message::Ping { keeper: from, instance, sent: self.now });
            }
        }
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |it| it.0 <= now).collect();
        due.into_iter().for_each(|it| self.receive(it.1));
    }

    fn holds(&self, instance: usize) -> bool {
        let (lease, own) = &self.instances[instance];
        lease.holds(self.clock(instance, self.now), TableVersion(*own))
    }
}

#[test]
fn homes_are_not_relied_on_one_bound_after_a_newer_version_was_committed() {
    for seed in 0..300 {
        let mut world = World::new(seed, 20_000, 0.3);
        let mut held_old = 0;
        for _ in 0..400 {
            let millis = world.random.random_range(1..900);
            world.step(millis, 0.4);
            if world.random.random_bool(0.02) {
                world.commit();
            }
            for instance in 0..PROCESSES {
                let replaced = world.commits.get(world.instances[instance].1 as usize + 1);
                let is_late = replaced.is_some_and(|at| world.now >= at + BOUND.as_millis() as u64);
                let holds = world.holds(instance);
                held_old += usize::from(holds && replaced.is_some());
                assert!(!(holds && is_late), "seed {seed}, at {} ms", world.now);
            }
        }
        assert!(seed > 0 || held_old > 0, "no instance relied on a table that was replaced");
    }
}

/// Guards against the failure that an instance which knew of a newer table and had not received it went on for
/// the time that is meant for one that is cut off (issue 73).
#[test]
fn homes_are_relied_on_for_a_shorter_time_once_a_newer_version_is_known() {
    let bounds = LeaseBounds { unheard: BOUND, replaced: Duration::from_secs(4) };
    let replaced_ms = bounds.replaced.as_millis() as u64;
    let (mut ended_early, mut held_unheard) = (0, 0);
    for seed in 0..300 {
        let mut world = World::with_bounds(bounds, seed, 20_000, 0.3);
        for _ in 0..400 {
            let millis = world.random.random_range(1..900);
            world.step(millis, 0.4);
            if world.random.random_bool(0.02) {
                world.commit();
            }
            for instance in 0..PROCESSES {
                let own = world.instances[instance].1;
                let Some(&replaced) = world.commits.get(own as usize + 1) else { continue };
                let is_late = world.now >= replaced + replaced_ms;
                let (is_known, holds) = (world.heard[instance] > own, world.holds(instance));
                assert!(!(is_known && is_late && holds), "seed {seed}, at {} ms", world.now);
                let now = world.clock(instance, world.now);
                let lease = &world.instances[instance].0;
                assert_eq!(lease.is_outdated(now, TableVersion(own)), is_known && !holds);
                ended_early += u64::from(is_known && is_late);
                held_unheard += u64::from(!is_known && is_late && holds);
            }
        }
    }
    assert!(ended_early > 0 && held_unheard > 0, "one of the bounds was not reached");
}

#[test]
fn instance_in_touch_is_not_refused_while_a_newer_table_is_on_its_way() {
    for seed in 0..100 {
        let mut world = World::new(seed, 2_000, 0.1);
        (0..40).for_each(|_| world.step(300, 0.8));
        for round in 0..400 {
            world.step(300, 0.8);
            if round % 40 == 0 {
                world.commit();
            }
            let refused = (0..PROCESSES).find(|it| {
                // An instance that lacks a table for longer is not in touch.
                let replaced = world.commits.get(world.instances[*it].1 as usize + 1);
                replaced.is_none_or(|at| world.now - at < 5_000) && !world.holds(*it)
            });
            assert_eq!(refused, None, "seed {seed}, at {} ms", world.now);
        }
    }
}

#[test]
fn keepers_of_an_earlier_build_do_not_bound_the_use_of_a_table() {
    let (now, own) = (Time::from_millis(60_000), TableVersion(4));
    let silent = TableReport::Unsupported;
    let confirmed = TableReport::Confirmed { version: TableVersion(4), age_ms: 70 };
    for (reports, is_held) in [
        (vec![], false),
        (vec![(1, silent), (2, silent)], true),
        (vec![(1, silent), (2, TableReport::Unconfirmed)], false),
        (vec![(1, silent), (2, confirmed)], true),
        (vec![(1, confirmed), (1, silent)], true),
        (vec![(1, TableReport::Unconfirmed), (1, silent)], true),
    ] {
        let mut lease = TableLease::new(BOUND);

        for (from, report) in &reports {
            lease.record_report(keeper(*from), now, *report);
        }

        assert_eq!(lease.holds(now, own), is_held, "{reports:?}");
    }
}

#[test]
fn keeper_of_an_earlier_build_does_not_replace_a_confirmation_that_is_over() {
    let (now, own) = (Time::from_millis(60_000), TableVersion(4));
    let mut lease = TableLease::new(BOUND);
    lease.record_report(keeper(2), now, TableReport::Confirmed { version: own, age_ms: 70 });

    lease.record_report(keeper(1), now, TableReport::Unsupported);
    lease.retain_keepers(&[keeper(1)]);

    assert!(lease.holds(now, own));
    assert!(!lease.holds(now + BOUND, own));
}

#[test]
fn permit_is_bound_by_every_list_of_homes_and_by_the_confirmation() {
    let (kochi, kollam) = (region("kochi"), region("kollam"));
    let (one, both) = (vec![kochi.clone()], vec![kochi.clone(), kollam.clone()]);
    let mut lease = TableLease::new(BOUND);
    lease.record(Time::from_millis(1_000), TableVersion(7));
    let (early, late) = (Time::from_millis(11_900), Time::from_millis(12_000));
    let foreign = Some(ResidencyError::ForeignRegion);
    let unconfirmed = Some(ResidencyError::Unconfirmed);
    for (now, version, lists, place, error) in [
        (early, 7, [&both, &one], &kochi, None),
        (early, 8, [&both, &one], &kochi, None),
        (early, 6, [&both, &one], &kochi, unconfirmed),
        (late, 7, [&both, &one], &kochi, unconfirmed),
        (early, 7, [&both, &one], &kollam, foreign),
        (late, 7, [&both, &one], &kollam, foreign),
        (late, 6, [&vec![], &vec![]], &kollam, None),
    ] {
        let permit = lease.permit(now, TableVersion(version), &lists.map(|it| &it[..]), place);

        assert_eq!(permit.err(), error, "{now} {version} {lists:?} {place}");
    }
}

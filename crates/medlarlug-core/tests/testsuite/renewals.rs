//! Which instance passes the renewals of an upstream on, to whom and how often.

use medlarlug_core::{
    fingerprint::Fingerprint,
    ids::{Incarnation, InstanceId},
    membership::{
        Effect, Event, InstanceKind, Membership, Message, Seed, Settings, TICK, UpstreamUpdate,
    },
    time::Time,
};
use test_support::id;

use crate::network::{engine, entry};

/// Ticks between two announcements of the upstream: 500 ms.
const TICKS_PER_RENEWAL: u32 = 2;

struct Zone {
    now: Time,
    ticks: u32,
    cores: Vec<Membership>,
    /// Cores that the upstream announces itself to.
    hearers: Vec<usize>,
    /// Renewals that each core has passed on.
    passed: Vec<u32>,
    /// Receivers of news of upstreams.
    told: Vec<InstanceId>,
}

fn zone(kinds: &[InstanceKind], hearers: &[usize]) -> Zone {
    let seed = |(number, kind): (usize, &InstanceKind)| Seed {
        kind: *kind,
        ..entry(&format!("i{number}"), "riga-a", "riga")
    };
    let seeds: Vec<Seed> = kinds.iter().enumerate().map(seed).collect();
    let core = |own: &Seed| {
        let peers = seeds.clone();
        let settings = Settings { own: own.clone(), incarnation: Incarnation(1), peers };
        Membership::new(Time::ZERO, settings)
    };
    Zone {
        now: Time::ZERO,
        ticks: 0,
        cores: seeds.iter().map(core).collect(),
        hearers: hearers.to_vec(),
        passed: vec![0; kinds.len()],
        told: Vec::new(),
    }
}

impl Zone {
    fn handle(&mut self, at: usize, event: Event) {
        let mut out = Vec::new();
        self.cores[at].handle(self.now, event, &mut out);
        for effect in out {
            let Effect::Send { to, message } = effect else { continue };
            let news = match &message {
                Message::Upstreams(news) => &news[..],
                Message::Heartbeat(beat) => &beat.updates[..],
                _ => &[],
            };
            if !news.is_empty() {
                let renewals =
                    news.iter().filter(|it| matches!(it, UpstreamUpdate::Renewal { .. }));
                self.passed[at] += renewals.count() as u32;
                self.told.push(to.clone());
            }
            let from = self.cores[at].own().id.clone();
            let receiver = self.cores.iter().position(|it| it.own().id == to).unwrap();
            self.handle(receiver, Event::Message { from, message });
        }
    }

    fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.ticks += 1;
            self.now = self.now + TICK;
            if self.ticks.is_multiple_of(TICKS_PER_RENEWAL) {
                let mut announcement = engine("u", "riga-a", &["m"]);
                announcement.sequence = u64::from(self.ticks);
                announcement.load.cached = vec![Fingerprint(u128::from(self.ticks))];
                for at in self.hearers.clone() {
                    self.handle(at, Event::Announced(announcement.clone()));
                }
            }
            (0..self.cores.len()).for_each(|at| self.handle(at, Event::Tick));
        }
    }

    fn passed_in(&mut self, ticks: u32) -> Vec<u32> {
        self.passed.fill(0);
        self.run(ticks);
        self.passed.clone()
    }
}

#[test]
fn one_of_two_hearers_passes_renewals_on() {
    let mut zone = zone(&[InstanceKind::Entry; 3], &[0, 1]);
    zone.run(8);

    let passed = zone.passed_in(40);

    let tellers = passed.iter().filter(|it| **it > 0).count();
    assert_eq!(tellers, 1, "{passed:?}");
}

#[test]
fn the_speaker_passes_no_renewals_on_while_another_instance_hears_the_upstream() {
    for (instances, hearers) in [(3, [0, 1]), (3, [0, 2]), (3, [2, 0]), (12, [0, 1]), (12, [0, 11])]
    {
        let mut zone = zone(&vec![InstanceKind::Entry; instances], &hearers);
        zone.run(8);

        let passed = zone.passed_in(40);

        assert!(zone.cores[0].is_speaker());
        assert_eq!(passed[0], 0, "{passed:?}");
    }
}

#[test]
fn the_other_hearer_passes_renewals_on_within_the_lease_when_the_teller_hears_none() {
    let mut zone = zone(&[InstanceKind::Entry; 3], &[0, 1]);
    zone.run(8);
    let passed = zone.passed_in(12);
    let teller = passed.iter().position(|it| *it > 0).unwrap();

    zone.hearers.retain(|it| *it != teller);

    let upstream = id("u");
    for _ in 0..40 {
        zone.run(1);
        assert!(zone.cores[2].upstream(zone.now, &upstream).is_some(), "at {:?}", zone.now);
    }
}

#[test]
fn cache_events_of_renewals_that_are_not_passed_on_reach_the_others() {
    let mut zone = zone(&[InstanceKind::Entry; 2], &[0]);

    zone.run(24);

    let upstream = zone.cores[1].upstream(zone.now, &id("u")).unwrap();
    for print in (TICKS_PER_RENEWAL..=20).step_by(TICKS_PER_RENEWAL as usize) {
        assert!(upstream.warm.contains(Fingerprint(u128::from(print)).into()), "{print}");
    }
    assert!(zone.passed[0] < 24 / TICKS_PER_RENEWAL, "{:?}", zone.passed);
}

#[test]
fn keepers_are_told_of_no_upstream() {
    let mut zone = zone(&[InstanceKind::Entry, InstanceKind::Keeper], &[0]);

    zone.run(40);

    assert_eq!(zone.told, Vec::<InstanceId>::new());
}

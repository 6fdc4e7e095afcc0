//! Tests of which instance relays the renewals of an upstream, to which others and how often.

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
    contacts: Vec<usize>,
    /// Number of renewals that each core has relayed.
    relayed: Vec<u32>,
    /// Receivers of updates on upstreams.
    receivers: Vec<InstanceId>,
}

fn zone(kinds: &[InstanceKind], contacts: &[usize]) -> Zone {
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
        contacts: contacts.to_vec(),
        relayed: vec![0; kinds.len()],
        receivers: Vec::new(),
    }
}

impl Zone {
    fn handle(&mut self, at: usize, event: Event) {
        let mut out = Vec::new();
        self.cores[at].handle(self.now, event, &mut out);
        for effect in out {
            let Effect::Send { to, message } = effect else { continue };
            let updates = match &message {
                Message::Upstreams(updates) => &updates[..],
                Message::Heartbeat(beat) => &beat.updates[..],
                _ => &[],
            };
            if !updates.is_empty() {
                let renewals =
                    updates.iter().filter(|it| matches!(it, UpstreamUpdate::Renewal { .. }));
                self.relayed[at] += renewals.count() as u32;
                self.receivers.push(to.clone());
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
                for at in self.contacts.clone() {
                    self.handle(at, Event::Announced(announcement.clone()));
                }
            }
            (0..self.cores.len()).for_each(|at| self.handle(at, Event::Tick));
        }
    }

    fn relayed_during(&mut self, ticks: u32) -> Vec<u32> {
        self.relayed.fill(0);
        self.run(ticks);
        self.relayed.clone()
    }
}

#[test]
fn one_of_two_contacts_relays_renewals() {
    let mut zone = zone(&[InstanceKind::Entry; 3], &[0, 1]);
    zone.run(8);

    let relayed = zone.relayed_during(40);

    let relays = relayed.iter().filter(|it| **it > 0).count();
    assert_eq!(relays, 1, "{relayed:?}");
}

#[test]
fn the_speaker_relays_no_renewals_while_the_upstream_has_another_contact() {
    for (instances, contacts) in
        [(3, [0, 1]), (3, [0, 2]), (3, [2, 0]), (12, [0, 1]), (12, [0, 11])]
    {
        let mut zone = zone(&vec![InstanceKind::Entry; instances], &contacts);
        zone.run(8);

        let relayed = zone.relayed_during(40);

        assert!(zone.cores[0].is_speaker());
        assert_eq!(relayed[0], 0, "{relayed:?}");
    }
}

#[test]
fn the_other_contact_relays_renewals_within_the_lease_when_the_relay_gets_none() {
    let mut zone = zone(&[InstanceKind::Entry; 3], &[0, 1]);
    zone.run(8);
    let relayed = zone.relayed_during(12);
    let relay = relayed.iter().position(|it| *it > 0).unwrap();

    zone.contacts.retain(|it| *it != relay);

    let upstream = id("u");
    for _ in 0..40 {
        zone.run(1);
        assert!(zone.cores[2].upstream(zone.now, &upstream).is_some(), "at {:?}", zone.now);
    }
}

#[test]
fn cache_events_of_renewals_that_are_not_relayed_reach_the_others() {
    let mut zone = zone(&[InstanceKind::Entry; 2], &[0]);

    zone.run(24);

    let upstream = zone.cores[1].upstream(zone.now, &id("u")).unwrap();
    for number in (TICKS_PER_RENEWAL..=20).step_by(TICKS_PER_RENEWAL as usize) {
        assert!(upstream.warm.contains(Fingerprint(u128::from(number)).into()), "{number}");
    }
    assert!(zone.relayed[0] < 24 / TICKS_PER_RENEWAL, "{:?}", zone.relayed);
}

#[test]
fn keepers_are_sent_no_upstreams() {
    let mut zone = zone(&[InstanceKind::Entry, InstanceKind::Keeper], &[0]);

    zone.run(40);

    assert_eq!(zone.receivers, Vec::<InstanceId>::new());
}

//! Announcements of engines, and messages between entry instances.

use std::time::Duration;

use medlarlug_core::{
    announcement::{Announcement, LoadReport, LoadedModel, UpstreamKind},
    ids::{Incarnation, InstanceId},
    membership::{Effect, Event as MembershipEvent},
    units::Slots,
};
use rand::RngExt;
use test_support::id;

use crate::{
    deployment::Fault,
    driver::{Driver, SimulationEvent, ZONE_DELAY_SECONDS, engine_id},
    engine::SLOTS,
};

/// Probability that a cache event is missing from a load report.
const EVENT_LOSS_PROBABILITY: f64 = 0.2;

impl Driver {
    pub(super) fn is_partitioned(&self, a: usize, b: usize) -> bool {
        let is_apart = (a == 0) != (b == 0);
        self.scenario.fault == Fault::ZonePartitioned
            && is_apart
            && self.scenario.is_faulty_at(self.now)
    }

    pub(super) fn handle_membership(&mut self, entry: usize, event: MembershipEvent) {
        let now = self.clock();
        let mut effects = Vec::new();
        self.entries[entry].membership.handle(now, event, &mut effects);
        for effect in effects {
            let Effect::Send { to, message } = effect else {
                continue;
            };
            let from = self.entries[entry].membership.own().id.clone();
            let to = self.entry(&to);
            let zones = (self.entries[entry].zone, self.entries[to].zone);
            if !self.is_partitioned(zones.0, zones.1) {
                let delay = if zones.0 == zones.1 {
                    ZONE_DELAY_SECONDS
                } else {
                    self.deployment.region_delay
                };
                let event = Box::new(MembershipEvent::Message { from, message });
                self.after(delay, SimulationEvent::Deliver { entry: to, event });
            }
        }
    }

    pub(super) fn entry(&self, id: &InstanceId) -> usize {
        self.entries.iter().position(|it| it.membership.own().id == *id).unwrap()
    }

    /// Reads the load of an engine, which is announced half a second later.
    pub(super) fn read_load(&mut self, engine: usize) {
        self.after(1.0, SimulationEvent::ReadLoad { engine });
        if !self.engines[engine].is_up {
            return;
        }
        let mut load = self.engines[engine].report(self.now);
        load.age = Duration::from_millis(500);
        load.cached.retain(|_| !self.random.random_bool(EVENT_LOSS_PROBABILITY));
        load.evicted.retain(|_| !self.random.random_bool(EVENT_LOSS_PROBABILITY));
        self.after(0.5, SimulationEvent::Announce { engine, load: Box::new(load) });
    }

    pub(super) fn announce(&mut self, engine: usize, load: LoadReport) {
        if !self.engines[engine].is_up {
            return;
        }
        self.announced[engine] += 1;
        let zone = self.engine_zone(engine);
        let loaded = LoadedModel { model: id("m"), version: id("v1"), adapters: Vec::new() };
        let announcement = Announcement {
            id: engine_id(engine),
            incarnation: Incarnation(1 + self.engines[engine].epoch),
            sequence: self.announced[engine],
            zone: id(self.deployment.zones[zone].0),
            address: "127.0.0.1:9000".parse().unwrap(),
            kind: UpstreamKind::Engine { models: vec![loaded] },
            slots: Slots(SLOTS),
            fencing: true,
            leaving: false,
            load,
        };
        let first: usize = self.deployment.entries[..zone].iter().sum();
        for offset in 0..2 {
            let entry = first + (engine + offset) % self.deployment.entries[zone];
            let event = Box::new(MembershipEvent::Announced(announcement.clone()));
            self.after(ZONE_DELAY_SECONDS, SimulationEvent::Deliver { entry, event });
        }
    }
}

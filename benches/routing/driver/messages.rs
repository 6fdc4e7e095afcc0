//! Announcements of the engines, and messages between entry instances.

use std::time::Duration;

use medlarlug_core::{
    announcement::{Announcement, LoadReport, LoadedModel, UpstreamKind},
    ids::{Incarnation, InstanceId},
    membership::{Effect, Event as News},
    units::Slots,
};
use rand::RngExt;
use test_support::id;

use crate::{
    deployment::Fault,
    driver::{Driver, NEAR, What, engine_id},
    engine::SLOTS,
};

/// Share of cache events that are lost.
const EVENT_LOSS: f64 = 0.2;

impl Driver {
    pub(super) fn is_cut(&self, a: usize, b: usize) -> bool {
        let is_apart = (a == 0) != (b == 0);
        self.scenario.fault == Fault::ZoneCut && is_apart && self.scenario.is_faulty_at(self.now)
    }

    pub(super) fn feed(&mut self, entry: usize, news: News) {
        let now = self.clock();
        let mut effects = Vec::new();
        self.entries[entry].membership.handle(now, news, &mut effects);
        for effect in effects {
            let Effect::Send { to, message } = effect else {
                continue;
            };
            let from = self.entries[entry].membership.own().id.clone();
            let to = self.entry(&to);
            let zones = (self.entries[entry].zone, self.entries[to].zone);
            if !self.is_cut(zones.0, zones.1) {
                let delay = if zones.0 == zones.1 { NEAR } else { self.deployment.far };
                let news = Box::new(News::Message { from, message });
                self.after(delay, What::Deliver { entry: to, news });
            }
        }
    }

    pub(super) fn entry(&self, id: &InstanceId) -> usize {
        self.entries.iter().position(|it| it.membership.own().id == *id).unwrap()
    }

    /// Reads the load; the announcement with it goes out half a second later.
    pub(super) fn read(&mut self, engine: usize) {
        self.after(1.0, What::Read { engine });
        if !self.engines[engine].is_up {
            return;
        }
        let mut load = self.engines[engine].report(self.now);
        load.age = Duration::from_millis(500);
        load.cached.retain(|_| !self.random.random_bool(EVENT_LOSS));
        load.evicted.retain(|_| !self.random.random_bool(EVENT_LOSS));
        self.after(0.5, What::Announce { engine, load: Box::new(load) });
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
        for turn in 0..2 {
            let entry = first + (engine + turn) % self.deployment.entries[zone];
            let news = Box::new(News::Announced(announcement.clone()));
            self.after(NEAR, What::Deliver { entry, news });
        }
    }
}

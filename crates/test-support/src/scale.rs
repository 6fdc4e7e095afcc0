//! Synthetic deployments of the sizes that the capacity page covers.

use medlarlug_core::{
    announcement::{Announcement, LoadReport, LoadedModel, UpstreamKind},
    fingerprint::Fingerprint,
    ids::{Incarnation, Revision},
    membership::{InstanceKind, Seed},
    release::{
        Configuration, Item,
        item::{Link, Model, Residency, Team},
    },
    units::{Slots, Tokens},
};

use crate::{id, region, team};

/// Size of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scale {
    /// Entry instances and keepers.
    pub nodes: usize,
    /// Keepers, included in `nodes`.
    pub keepers: usize,
    /// Model engines, spread evenly over the zones.
    pub engines: usize,
    /// Regions, which share out the zones evenly.
    pub regions: usize,
    /// Availability zones of all regions.
    pub zones: usize,
    /// Teams, each at home in one region.
    pub teams: usize,
    /// Models, of which each engine has two loaded.
    pub models: usize,
}

/// The size that the project is designed for.
pub const TARGET_SCALE: Scale =
    Scale { nodes: 340, keepers: 9, engines: 600, regions: 8, zones: 29, teams: 2_700, models: 12 };

impl Scale {
    /// Index of the region of the zone with index `zone`.
    pub fn region_of(&self, zone: usize) -> usize {
        zone * self.regions / self.zones
    }

    /// Id of the region with index `region`.
    pub fn region_name(region: usize) -> String {
        format!("region-{region}")
    }

    /// Id of the zone with index `zone`: its region's id and a letter.
    pub fn zone_name(&self, zone: usize) -> String {
        let region = self.region_of(zone);
        let first = (0..zone).filter(|it| self.region_of(*it) == region).count();
        format!("region-{region}-{}", char::from(b'a' + first as u8))
    }

    /// The instances, sorted by id, spread evenly over the zones.
    pub fn seeds(&self) -> Vec<Seed> {
        let entries = (0..self.nodes - self.keepers).map(|it| (InstanceKind::Entry, it));
        let keepers = (0..self.keepers).map(|it| (InstanceKind::Keeper, it));
        let mut seeds: Vec<Seed> = entries.chain(keepers).map(|it| self.seed(it)).collect();
        seeds.sort_by(|a, b| a.id.cmp(&b.id));
        seeds
    }

    fn seed(&self, (kind, number): (InstanceKind, usize)) -> Seed {
        let name = if kind == InstanceKind::Entry { "entry" } else { "keeper" };
        let zone = number % self.zones;
        Seed {
            id: id(&format!("{name}-{number:03}")),
            kind,
            zone: id(&self.zone_name(zone)),
            region: id(&Scale::region_name(self.region_of(zone))),
        }
    }

    /// The announcements of all engines, each with two of the models and some requests running.
    pub fn announcements(&self) -> Vec<Announcement> {
        (0..self.engines).map(|it| self.announcement(it)).collect()
    }

    fn announcement(&self, number: usize) -> Announcement {
        let zone = number % self.zones;
        let index_in_zone = number / self.zones;
        let model = |number: usize| LoadedModel {
            model: id(&format!("model-{:02}", number % self.models)),
            version: id("v1"),
            adapters: Vec::new(),
        };
        let mut models = vec![model(2 * index_in_zone), model(2 * index_in_zone + 1)];
        models.sort();
        Announcement {
            id: id(&format!("engine-{number:03}")),
            incarnation: Incarnation(1_764_720_000_000),
            sequence: 1,
            zone: id(&self.zone_name(zone)),
            address: ([10, 0, zone as u8, index_in_zone as u8], 8_000).into(),
            kind: UpstreamKind::Engine { models },
            slots: Slots(16),
            fencing: true,
            leaving: false,
            load: load_report(number as u64),
        }
    }

    /// The configuration with every region, model and team, and links between all regions.
    pub fn configuration(&self) -> Configuration {
        let mut items: Vec<Item> = (0..self.regions).map(|it| self.region(it)).collect();
        for from in 0..self.regions {
            items.extend((0..self.regions).filter(|to| *to != from).map(|to| link(from, to)));
        }
        items.extend((0..self.models).map(model));
        items.extend((0..self.teams).map(|it| Item::Team(self.team(it))));
        Configuration::new(Revision(1), items)
    }

    fn region(&self, number: usize) -> Item {
        let zones = (0..self.zones).filter(|it| self.region_of(*it) == number);
        let zones: Vec<String> = zones.map(|it| self.zone_name(it)).collect();
        let zones: Vec<&str> = zones.iter().map(String::as_str).collect();
        region(&Scale::region_name(number), &zones)
    }

    /// The team with index `number`, which has two bearer keys.
    pub fn team(&self, number: usize) -> Team {
        let name = format!("team-{number:04}");
        let key = |version: u8| Fingerprint::of(format!("{name}-{version}").as_bytes());
        let home = Scale::region_name(number % self.regions);
        Team { keys: vec![key(1), key(2)], ..team(&name, &home) }
    }
}

/// A load report of an engine that serves a few requests a second; `seed` varies its values.
pub fn load_report(seed: u64) -> LoadReport {
    let fingerprint = |salt: u64| Fingerprint::of(&(seed * 8 + salt).to_le_bytes());
    LoadReport {
        age: std::time::Duration::from_millis(300),
        running: 4 + (seed * 7 % 9) as u32,
        waiting: (seed % 3) as u32,
        backlog: Tokens(seed * 131 % 4_000),
        speed: 900.0,
        cached: vec![fingerprint(0), fingerprint(1), fingerprint(2)],
        evicted: vec![fingerprint(3), fingerprint(4)],
    }
}

fn link(from: usize, to: usize) -> Item {
    Item::Link(Link {
        from: id(&Scale::region_name(from)),
        to: id(&Scale::region_name(to)),
        delay_ms: 55,
        price: 0.1.try_into().expect("a price"),
    })
}

fn model(number: usize) -> Item {
    Item::Model(Model {
        id: id(&format!("model-{number:02}")),
        versions: vec![id("v1")],
        adapters: Vec::new(),
        residency: Residency::Anywhere,
    })
}

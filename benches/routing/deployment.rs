//! Sizes, delays and policy weights of the two simulated deployments, and the scenarios.

use medlarlug_core::{
    ids::Revision,
    release::{
        Configuration, Item,
        item::{Link, Model, Policy, Residency},
    },
    units::Price,
};
use test_support::{id, region, team};

#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    pub zones: [(&'static str, &'static str); 3],
    pub entries: [usize; 3],
    pub engines: usize,
    /// One-way delay between regions, in seconds.
    pub region_delay: f64,
    /// One-way delay between a caller and its entry instance, in seconds.
    pub client_delay: f64,
    pub latency_weight: f64,
    pub cost_weight: f64,
    /// Seconds that callers wait for the first token.
    pub deadline: f64,
    pub prefix_tokens: u64,
    /// Range of the length of a prompt in tokens.
    pub prompt_tokens: (u64, u64),
    /// Mean length of an answer in tokens.
    pub answer_tokens: f64,
}

pub const KOORDINATU: Deployment = Deployment {
    name: "Koordinatu Tikls",
    zones: [("riga-a", "riga"), ("liepaja-a", "kurzeme"), ("daugavpils-a", "latgale")],
    entries: [3, 3, 2],
    engines: 12,
    region_delay: 0.055,
    client_delay: 0.001,
    latency_weight: 10.0,
    cost_weight: 1.0,
    deadline: 8.0,
    prefix_tokens: 1_500,
    prompt_tokens: (1_600, 2_400),
    answer_tokens: 100.0,
};

pub const MALABAR: Deployment = Deployment {
    name: "Malabar",
    zones: [("kochi-a", "kochi"), ("kollam-a", "kollam"), ("kozhikode-a", "kozhikode")],
    entries: [3, 3, 2],
    engines: 18,
    region_delay: 0.055,
    client_delay: 0.003,
    latency_weight: 1.0,
    cost_weight: 3.0,
    deadline: 12.0,
    prefix_tokens: 2_000,
    prompt_tokens: (2_100, 3_500),
    answer_tokens: 150.0,
};

/// Price of a request that is forwarded to another region.
pub const LINK_PRICE: f64 = 0.5;
/// Price of the prefill of 1,000 prompt tokens.
pub const PROMPT_PRICE: f64 = 0.1;
/// Share of requests whose residency restricts them to their home region.
pub const HOME_BOUND_SHARE: f64 = 0.34;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// All engines of the first region are down for the middle third of the run.
    RegionDown,
    /// The demand is above average in the first region and below average in the others.
    Peak,
    /// The first zone is partitioned from the others for the middle third of the run.
    ZonePartitioned,
    /// One engine is ten times slower than the others and reports that it is idle.
    SlowIdle,
}

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub name: &'static str,
    pub load: f64,
    pub fault: Fault,
}

pub const SCENARIOS: [Scenario; 9] = [
    Scenario { name: "50%", load: 0.5, fault: Fault::None },
    Scenario { name: "80%", load: 0.8, fault: Fault::None },
    Scenario { name: "95%", load: 0.95, fault: Fault::None },
    Scenario { name: "100%", load: 1.0, fault: Fault::None },
    Scenario { name: "120%", load: 1.2, fault: Fault::None },
    Scenario { name: "region lost", load: 0.6, fault: Fault::RegionDown },
    Scenario { name: "offset peak", load: 0.8, fault: Fault::Peak },
    Scenario { name: "zone cut", load: 0.8, fault: Fault::ZonePartitioned },
    Scenario { name: "slow idle", load: 0.7, fault: Fault::SlowIdle },
];

/// Simulated duration of a run in seconds.
pub const RUN_SECONDS: f64 = 120.0;

impl Scenario {
    /// Demand of each region relative to the capacity of its engines.
    pub fn demand(&self) -> [f64; 3] {
        match self.fault {
            Fault::Peak => [self.load * 1.6, self.load * 0.7, self.load * 0.7],
            _ => [self.load; 3],
        }
    }

    pub fn is_faulty_at(&self, now: f64) -> bool {
        (RUN_SECONDS / 3.0..RUN_SECONDS * 2.0 / 3.0).contains(&now)
    }

    /// Share of the requests that have to be served in a remote zone for lack of local capacity.
    pub fn forced_share(&self) -> f64 {
        let demand = self.demand();
        let total: f64 = demand.iter().sum();
        match self.fault {
            Fault::RegionDown => demand[0] / total / 3.0 * (1.0 - HOME_BOUND_SHARE),
            _ if total >= 3.0 => 0.0,
            _ => demand.iter().map(|it| (it - 1.0).max(0.0)).sum::<f64>() / total,
        }
    }
}

impl Deployment {
    /// Requests per second that one engine serves when its slots are the bottleneck.
    pub fn engine_rate(&self) -> f64 {
        let prefill = self.prefix_tokens as f64 / 3.0 / super::engine::PREFILL_TOKENS_PER_SECOND;
        let service = self.answer_tokens / super::engine::STREAM_TOKENS_PER_SECOND + prefill;
        f64::from(super::engine::SLOTS) / service
    }

    pub fn configuration(&self) -> Configuration {
        let price = |value: f64| Price::try_from(value).unwrap();
        let mut items = vec![
            Item::Model(Model {
                id: id("m"),
                versions: vec![id("v1")],
                adapters: Vec::new(),
                residency: Residency::Anywhere,
            }),
            Item::Policy(Policy {
                latency_weight: price(self.latency_weight),
                cost_weight: price(self.cost_weight),
                deadline_ms: (self.deadline * 1_000.0) as u32,
            }),
        ];
        for (zone, name) in self.zones {
            items.push(region(name, &[zone]));
            items.push(Item::Team(team(&format!("{name}-home"), name)));
            let mut free = team(&format!("{name}-free"), name);
            free.residency = Residency::Anywhere;
            items.push(Item::Team(free));
            for (_, other) in self.zones.iter().filter(|it| it.1 != name) {
                items.push(Item::Link(Link {
                    from: id(name),
                    to: id(other),
                    delay_ms: (self.region_delay * 1_000.0) as u32,
                    price: price(LINK_PRICE),
                }));
            }
        }
        Configuration::new(Revision(1), items)
    }
}

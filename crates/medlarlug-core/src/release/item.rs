//! The items of a configuration.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    fingerprint::Fingerprint,
    ids::{AdapterId, ModelId, RegionId, ServiceId, TeamId, VersionId, ZoneId},
    units::{Price, Rate, Slots},
};

/// One item of a configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// A region and its availability zones.
    Region(Region),
    /// A model and its versions.
    Model(Model),
    /// A plain service.
    Service(Service),
    /// A team of callers.
    Team(Team),
    /// The wide-area link between two regions.
    Link(Link),
    /// Weights of the routing decision; there is one at most.
    Policy(Policy),
}

/// Names one item; sorts by kind, then by id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemKey {
    /// A region.
    Region(RegionId),
    /// A model.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
    /// A team.
    Team(TeamId),
    /// A link, by its two regions.
    Link(RegionId, RegionId),
    /// The policy.
    Policy,
}

impl Item {
    /// The key under which the item stands in a configuration.
    pub fn key(&self) -> ItemKey {
        match self {
            Item::Region(it) => ItemKey::Region(it.id.clone()),
            Item::Model(it) => ItemKey::Model(it.id.clone()),
            Item::Service(it) => ItemKey::Service(it.id.clone()),
            Item::Team(it) => ItemKey::Team(it.id.clone()),
            Item::Link(it) => ItemKey::Link(it.from.clone(), it.to.clone()),
            Item::Policy(_) => ItemKey::Policy,
        }
    }
}

impl fmt::Display for ItemKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ItemKey::Region(id) => write!(f, "region {id}"),
            ItemKey::Model(id) => write!(f, "model {id}"),
            ItemKey::Service(id) => write!(f, "service {id}"),
            ItemKey::Team(id) => write!(f, "team {id}"),
            ItemKey::Link(from, to) => write!(f, "link {from} to {to}"),
            ItemKey::Policy => f.write_str("policy"),
        }
    }
}

/// A region and its availability zones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The region.
    pub id: RegionId,
    /// Its availability zones.
    pub zones: Vec<ZoneId>,
}

/// A model and the versions that may serve it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The model.
    pub id: ModelId,
    /// Versions that may serve it, the preferred one first.
    pub versions: Vec<VersionId>,
    /// Adapters that callers may ask for.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
    /// Where requests for it may be served, beside what the team's own rule permits.
    #[serde(default)]
    pub residency: Residency,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service.
    pub id: ServiceId,
    /// Whether its `POST` calls may be repeated after an unknown outcome.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether it answers `GET /outcomes/{key}` about a call that was sent to it.
    #[serde(rename = "outcomes", default)]
    pub reports_outcomes: bool,
    /// Where requests for it may be served, beside what the team's own rule permits.
    #[serde(default)]
    pub residency: Residency,
}

/// A team of callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The team.
    pub id: TeamId,
    /// Its home region: bookings are recorded there.
    pub home: RegionId,
    /// Fingerprints of its valid bearer keys, two at most.
    pub keys: Vec<Fingerprint>,
    /// Where its requests may be served.
    #[serde(default)]
    pub residency: Residency,
    /// Requests a second that it may send, over all instances of a region.
    pub rate: Rate,
    /// Requests that it may send at once after a pause.
    pub burst: Slots,
    /// Priority of its requests; a higher one goes first.
    #[serde(default)]
    pub priority: u8,
}

/// Where a request may be served.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Residency {
    /// In the team's home region only; what is not known is treated so.
    #[default]
    Home,
    /// In the listed regions.
    Regions(Vec<RegionId>),
    /// In every region.
    Anywhere,
}

impl Residency {
    /// Whether a request of a team with this `home` may be served in `region`.
    ///
    /// ```
    /// use medlarlug_core::release::item::Residency;
    ///
    /// let (riga, kurzeme) = ("riga".parse().unwrap(), "kurzeme".parse().unwrap());
    /// assert!(Residency::Home.permits(&riga, &riga));
    /// assert!(!Residency::Home.permits(&riga, &kurzeme));
    /// assert!(Residency::Anywhere.permits(&riga, &kurzeme));
    /// ```
    pub fn permits(&self, home: &RegionId, region: &RegionId) -> bool {
        match self {
            Residency::Home => home == region,
            Residency::Regions(regions) => regions.contains(region),
            Residency::Anywhere => true,
        }
    }
}

/// The wide-area link from one region to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Sending region.
    pub from: RegionId,
    /// Receiving region.
    pub to: RegionId,
    /// Time one way, in milliseconds.
    pub delay_ms: u32,
    /// Price of sending one request and its answer over the link.
    pub price: Price,
}

impl Link {
    /// Time one way.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(u64::from(self.delay_ms))
    }
}

/// Weights of the routing decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Price that one second until the first token is worth.
    pub latency_weight: Price,
    /// Factor on the price of links and engines.
    pub cost_weight: Price,
    /// Longest time to the first token that a request is taken in for, in milliseconds.
    pub deadline_ms: u32,
}

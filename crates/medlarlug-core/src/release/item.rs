//! The items of a configuration.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    fingerprint::Fingerprint,
    ids::{AdapterId, ModelId, RegionId, ServiceId, TeamId, VersionId, ZoneId},
    units::{Price, Rate, Slots},
};

/// Item of a configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// A region and its availability zones.
    Region(Region),
    /// A model and its versions.
    Model(Model),
    /// A plain service and its call rules.
    Service(Service),
    /// A team of callers, with its limits and bearer keys.
    Team(Team),
    /// The wide-area link between two regions.
    Link(Link),
    /// Weights of the routing decision; a configuration has at most one.
    Policy(Policy),
}

/// Identifies an item; ordered by kind, then by id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemKey {
    /// Key of a region.
    Region(RegionId),
    /// Key of a model.
    Model(ModelId),
    /// Key of a plain service.
    Service(ServiceId),
    /// Key of a team.
    Team(TeamId),
    /// Key of a link: its sending and its receiving region.
    Link(RegionId, RegionId),
    /// Key of the policy.
    Policy,
}

impl Item {
    /// Key of the item, which is unique within a configuration.
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

/// Region and its availability zones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Id of the region.
    pub id: RegionId,
    /// Availability zones of the region; a zone belongs to one region only.
    pub zones: Vec<ZoneId>,
}

/// Model and the versions that may serve it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Id of the model.
    pub id: ModelId,
    /// Versions that may serve the model, most preferred first.
    pub versions: Vec<VersionId>,
    /// Adapters that callers may request.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
    /// Regions in which requests for it may be served. The team's own rule has to permit the region too.
    #[serde(default)]
    pub residency: Residency,
}

/// Plain service: an upstream that is not an inference engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Id of the service.
    pub id: ServiceId,
    /// Whether its `POST` calls may be retried after an unknown outcome.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the service answers `GET /outcomes/{key}` with the outcome of a call that was sent to it.
    #[serde(rename = "outcomes", default)]
    pub reports_outcomes: bool,
    /// Regions in which requests for it may be served. The team's own rule has to permit the region too.
    #[serde(default)]
    pub residency: Residency,
}

/// Team of callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Id of the team.
    pub id: TeamId,
    /// Home region of the team, in which its bookings are recorded.
    pub home: RegionId,
    /// Fingerprints of the team's valid bearer keys, at most
    /// [`MAX_BEARER_KEYS`](crate::release::note::MAX_BEARER_KEYS).
    pub keys: Vec<Fingerprint>,
    /// Regions in which the team's requests may be served.
    #[serde(default)]
    pub residency: Residency,
    /// Requests per second that the team may send to all instances of a region together.
    pub rate: Rate,
    /// Requests that the team may send at once after an idle period.
    pub burst: Slots,
    /// Priority of the team's requests; requests of higher priority are served first.
    #[serde(default)]
    pub priority: u8,
}

/// Regions in which a request may be served.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Residency {
    /// Only in the team's home region. This is the default where no rule is set.
    #[default]
    Home,
    /// Only in the listed regions.
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

/// Wide-area link from one region to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Region from which requests are sent.
    pub from: RegionId,
    /// Region to which requests are sent.
    pub to: RegionId,
    /// One-way delay, in milliseconds.
    pub delay_ms: u32,
    /// Price of sending one request over the link and its answer back.
    pub price: Price,
}

impl Link {
    /// One-way delay.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(u64::from(self.delay_ms))
    }
}

/// Weights of the routing decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Price of one second of time to first token.
    pub latency_weight: Price,
    /// Factor applied to the price of links and engines.
    pub cost_weight: Price,
    /// Longest time to first token for which a request is accepted, in milliseconds.
    pub deadline_ms: u32,
}

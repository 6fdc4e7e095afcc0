//! The items in force at one revision.

use serde::{Deserialize, Serialize};

use crate::{
    fingerprint::Fingerprint,
    ids::{ModelId, RegionId, Revision, ServiceId, TeamId, ZoneId},
    release::item::{Item, ItemKey, Link, Model, Policy, Region, Service, Team},
};

/// The items in force at one revision, sorted by key.
///
/// ```
/// use medlarlug_core::{ids::Revision, release::Configuration};
///
/// let empty = Configuration::default();
/// assert_eq!(empty.revision, Revision(0));
/// assert!(empty.items().is_empty());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Revision at which these items are in force.
    pub revision: Revision,
    items: Vec<Item>,
}

impl Configuration {
    /// A configuration of `items`, which may come in any order.
    pub fn new(revision: Revision, mut items: Vec<Item>) -> Configuration {
        items.sort_by_key(Item::key);
        Configuration { revision, items }
    }

    /// All items, sorted by key.
    pub fn items(&self) -> &[Item] {
        &self.items
    }

    /// The item under `key`.
    pub fn item(&self, key: &ItemKey) -> Option<&Item> {
        let found = self.items.binary_search_by(|it| it.key().cmp(key)).ok()?;
        Some(&self.items[found])
    }

    /// Puts `item` in, in the place of one with the same key.
    pub fn put(&mut self, item: Item) {
        let key = item.key();
        match self.items.binary_search_by(|it| it.key().cmp(&key)) {
            Ok(found) => self.items[found] = item,
            Err(place) => self.items.insert(place, item),
        }
    }

    /// Takes the item under `key` out.
    pub fn remove(&mut self, key: &ItemKey) -> Option<Item> {
        let found = self.items.binary_search_by(|it| it.key().cmp(key)).ok()?;
        Some(self.items.remove(found))
    }

    /// The region with this id.
    pub fn region(&self, id: &RegionId) -> Option<&Region> {
        match self.item(&ItemKey::Region(id.clone()))? {
            Item::Region(region) => Some(region),
            _ => None,
        }
    }

    /// The model with this id.
    pub fn model(&self, id: &ModelId) -> Option<&Model> {
        match self.item(&ItemKey::Model(id.clone()))? {
            Item::Model(model) => Some(model),
            _ => None,
        }
    }

    /// The service with this id.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        match self.item(&ItemKey::Service(id.clone()))? {
            Item::Service(service) => Some(service),
            _ => None,
        }
    }

    /// The team with this id.
    pub fn team(&self, id: &TeamId) -> Option<&Team> {
        match self.item(&ItemKey::Team(id.clone()))? {
            Item::Team(team) => Some(team),
            _ => None,
        }
    }

    /// The link between two regions.
    pub fn link(&self, from: &RegionId, to: &RegionId) -> Option<&Link> {
        match self.item(&ItemKey::Link(from.clone(), to.clone()))? {
            Item::Link(link) => Some(link),
            _ => None,
        }
    }

    /// The policy.
    pub fn policy(&self) -> Option<&Policy> {
        match self.item(&ItemKey::Policy)? {
            Item::Policy(policy) => Some(policy),
            _ => None,
        }
    }

    /// The teams, sorted by id.
    pub fn teams(&self) -> impl Iterator<Item = &Team> {
        self.items.iter().filter_map(|it| match it {
            Item::Team(team) => Some(team),
            _ => None,
        })
    }

    /// The models, sorted by id.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.items.iter().filter_map(|it| match it {
            Item::Model(model) => Some(model),
            _ => None,
        })
    }

    /// The regions, sorted by id.
    pub fn regions(&self) -> impl Iterator<Item = &Region> {
        self.items.iter().filter_map(|it| match it {
            Item::Region(region) => Some(region),
            _ => None,
        })
    }

    /// The team that owns the bearer key with this fingerprint.
    pub fn team_of_key(&self, key: Fingerprint) -> Option<&Team> {
        self.teams().find(|team| team.keys.contains(&key))
    }

    /// The region that `zone` belongs to.
    pub fn region_of(&self, zone: &ZoneId) -> Option<&RegionId> {
        self.regions().find(|it| it.zones.contains(zone)).map(|it| &it.id)
    }

    /// Whether a request of `team` for `target` may be served in `region`.
    ///
    /// Both the team's rule and the target's rule have to permit it; a target that is not known
    /// is permitted nowhere.
    pub fn is_permitted(&self, team: &Team, target: &ItemKey, region: &RegionId) -> bool {
        let target = match self.item(target) {
            Some(Item::Model(model)) => &model.residency,
            Some(Item::Service(service)) => &service.residency,
            _ => return false,
        };
        team.residency.permits(&team.home, region) && target.permits(&team.home, region)
    }
}

//! The configuration: the items in effect at one revision.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ModelId, RegionId, Revision, ServiceId, TeamId, ZoneId},
    release::{
        item::{Item, ItemKey, Link, Model, Policy, Region, Service, Team},
        note::NoteError,
    },
};

/// The items in effect at one revision, sorted by key.
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
    /// Revision of this configuration.
    pub revision: Revision,
    /// Revision that the last release note produced. Later revisions changed nothing that a note lists.
    #[serde(rename = "edited")]
    pub note_revision: Revision,
    items: Vec<Item>,
    draining: Vec<Item>,
    homes: Vec<TeamHome>,
}

/// Home region of a team, in which its bookings are recorded. It is kept when the team is withdrawn, like
/// the bookings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamHome {
    /// Team that has this home.
    pub team: TeamId,
    /// Home region of the team.
    pub region: RegionId,
    /// Revision at which the team got this home region.
    pub epoch: Revision,
    /// Previous home region, if the team had another one.
    pub from: Option<RegionId>,
}

impl Configuration {
    /// Creates a configuration of `items`, which may be in any order.
    pub fn new(revision: Revision, mut items: Vec<Item>) -> Configuration {
        items.sort_by_key(Item::key);
        let mut configuration = Configuration {
            revision,
            note_revision: revision,
            items,
            draining: Vec::new(),
            homes: Vec::new(),
        };
        configuration.update_homes();
        configuration
    }

    /// Withdrawn models and services that running requests may still use, sorted by key.
    ///
    /// They accept no new requests.
    pub fn draining(&self) -> &[Item] {
        &self.draining
    }

    /// Home of `team`, or its last home if it is withdrawn.
    pub fn home_of(&self, team: &TeamId) -> Option<&TeamHome> {
        let found = self.homes.binary_search_by(|it| it.team.cmp(team)).ok()?;
        Some(&self.homes[found])
    }

    /// Homes of all teams, including withdrawn ones, sorted by team.
    pub fn homes(&self) -> &[TeamHome] {
        &self.homes
    }

    /// Moves the item with this key to the draining items.
    pub(crate) fn start_draining(&mut self, key: &ItemKey) -> Option<()> {
        let item = self.remove(key)?;
        match self.draining.binary_search_by(|it| it.key().cmp(key)) {
            Ok(found) => self.draining[found] = item,
            Err(place) => self.draining.insert(place, item),
        }
        Some(())
    }

    /// Removes the item with this key from the draining items.
    pub(crate) fn remove_draining(&mut self, key: &ItemKey) -> Option<Item> {
        let found = self.draining.binary_search_by(|it| it.key().cmp(key)).ok()?;
        Some(self.draining.remove(found))
    }

    /// Returns the configuration at the next revision, without these draining items.
    pub(crate) fn without_drained(&self, keys: &[ItemKey]) -> Result<Configuration, NoteError> {
        let mut next = self.with_next_revision();
        for key in keys {
            next.remove_draining(key).ok_or_else(|| NoteError::Missing(key.clone()))?;
        }
        Ok(next)
    }

    /// Returns the configuration at the next revision, with the same items.
    pub(crate) fn with_next_revision(&self) -> Configuration {
        let mut next = self.clone();
        next.revision = self.revision.next();
        next
    }

    /// Updates the homes to the home regions that the teams' items list at this revision.
    pub(crate) fn update_homes(&mut self) {
        let teams: Vec<(TeamId, RegionId)> =
            self.teams().map(|it| (it.id.clone(), it.home.clone())).collect();
        for (team, region) in teams {
            let epoch = self.revision;
            match self.homes.binary_search_by(|it| it.team.cmp(&team)) {
                Ok(found) if self.homes[found].region == region => {}
                Ok(found) => {
                    let from = Some(self.homes[found].region.clone());
                    self.homes[found] = TeamHome { team, region, epoch, from };
                }
                Err(place) => {
                    self.homes.insert(place, TeamHome { team, region, epoch, from: None });
                }
            }
        }
    }

    /// Items that are not draining, sorted by key.
    pub fn items(&self) -> &[Item] {
        &self.items
    }

    /// Item with this key; draining items are not found.
    pub fn item(&self, key: &ItemKey) -> Option<&Item> {
        let found = self.items.binary_search_by(|it| it.key().cmp(key)).ok()?;
        Some(&self.items[found])
    }

    /// Inserts `item`, or replaces the item with the same key.
    pub fn put(&mut self, item: Item) {
        let key = item.key();
        match self.items.binary_search_by(|it| it.key().cmp(&key)) {
            Ok(found) => self.items[found] = item,
            Err(place) => self.items.insert(place, item),
        }
    }

    /// Removes the item with this key and returns it.
    pub fn remove(&mut self, key: &ItemKey) -> Option<Item> {
        let found = self.items.binary_search_by(|it| it.key().cmp(key)).ok()?;
        Some(self.items.remove(found))
    }

    /// Region with this id.
    pub fn region(&self, id: &RegionId) -> Option<&Region> {
        match self.item(&ItemKey::Region(id.clone()))? {
            Item::Region(region) => Some(region),
            _ => None,
        }
    }

    /// Model with this id, unless it is draining.
    pub fn model(&self, id: &ModelId) -> Option<&Model> {
        match self.item(&ItemKey::Model(id.clone()))? {
            Item::Model(model) => Some(model),
            _ => None,
        }
    }

    /// Service with this id, unless it is draining.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        match self.item(&ItemKey::Service(id.clone()))? {
            Item::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Team with this id.
    pub fn team(&self, id: &TeamId) -> Option<&Team> {
        match self.item(&ItemKey::Team(id.clone()))? {
            Item::Team(team) => Some(team),
            _ => None,
        }
    }

    /// Link that leads from one region to the other; each direction is an item of its own.
    pub fn link(&self, from: &RegionId, to: &RegionId) -> Option<&Link> {
        match self.item(&ItemKey::Link(from.clone(), to.clone()))? {
            Item::Link(link) => Some(link),
            _ => None,
        }
    }

    /// Routing policy, if the configuration has one.
    pub fn policy(&self) -> Option<&Policy> {
        match self.item(&ItemKey::Policy)? {
            Item::Policy(policy) => Some(policy),
            _ => None,
        }
    }

    /// Teams, sorted by id.
    pub fn teams(&self) -> impl Iterator<Item = &Team> {
        self.items.iter().filter_map(|it| match it {
            Item::Team(team) => Some(team),
            _ => None,
        })
    }

    /// Models that are not draining, sorted by id.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.items.iter().filter_map(|it| match it {
            Item::Model(model) => Some(model),
            _ => None,
        })
    }

    /// Regions, sorted by id.
    pub fn regions(&self) -> impl Iterator<Item = &Region> {
        self.items.iter().filter_map(|it| match it {
            Item::Region(region) => Some(region),
            _ => None,
        })
    }

    /// Region that `zone` belongs to.
    pub fn region_of(&self, zone: &ZoneId) -> Option<&RegionId> {
        self.regions().find(|it| it.zones.contains(zone)).map(|it| &it.id)
    }

    /// Whether a request of `team` for `target` may be served in `region`.
    ///
    /// Both the team's and the target's residency rule have to permit it. An unknown or draining target is
    /// permitted nowhere.
    pub fn is_permitted(&self, team: &Team, target: &ItemKey, region: &RegionId) -> bool {
        self.item(target).is_some_and(|it| permits(team, it, region))
    }

    /// Whether a request of `team` for `target` that has already started may continue in `region`.
    ///
    /// Like [`is_permitted`](Self::is_permitted), except that the target may be draining.
    pub fn may_continue(&self, team: &Team, target: &ItemKey, region: &RegionId) -> bool {
        let draining = self.draining.binary_search_by(|it| it.key().cmp(target)).ok();
        let item = self.item(target).or_else(|| draining.map(|found| &self.draining[found]));
        item.is_some_and(|it| permits(team, it, region))
    }
}

fn permits(team: &Team, target: &Item, region: &RegionId) -> bool {
    let target = match target {
        Item::Model(model) => &model.residency,
        Item::Service(service) => &service.residency,
        _ => return false,
    };
    team.residency.permits(&team.home, region) && target.permits(&team.home, region)
}

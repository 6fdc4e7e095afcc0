//! Rules that a configuration has to satisfy as a whole.

use crate::{
    fingerprint::Fingerprint,
    ids::{RegionId, TeamId, ZoneId},
    release::{
        configuration::Configuration,
        item::{Item, ItemKey, Residency},
        note::{MAX_BEARER_KEYS, NoteError},
    },
};

/// Checks that every referenced region exists, that no zone is listed more than once, that no team has more
/// than [`MAX_BEARER_KEYS`] bearer keys, and that no bearer key is listed more than once.
///
/// # Errors
///
/// Returns the first violation. References are checked first, in the order of the items' keys, then zones,
/// then bearer keys.
pub fn check(configuration: &Configuration) -> Result<(), NoteError> {
    for item in configuration.items() {
        check_references(configuration, item)?;
    }
    check_zones(configuration)?;
    check_keys(configuration)
}

fn check_references(configuration: &Configuration, item: &Item) -> Result<(), NoteError> {
    let listed: &[RegionId] = match item {
        Item::Team(it) => regions_of(&it.residency),
        Item::Model(it) => regions_of(&it.residency),
        Item::Service(it) => regions_of(&it.residency),
        Item::Link(it) => &[it.from.clone(), it.to.clone()],
        Item::Region(_) | Item::Policy(_) => &[],
    };
    let home = match item {
        Item::Team(it) => Some(&it.home),
        _ => None,
    };
    for region in listed.iter().chain(home) {
        if configuration.region(region).is_none() {
            let to = ItemKey::Region(region.clone());
            return Err(NoteError::Dangling { from: item.key(), to });
        }
    }
    Ok(())
}

fn regions_of(residency: &Residency) -> &[RegionId] {
    match residency {
        Residency::Regions(regions) => regions,
        Residency::Home | Residency::Anywhere => &[],
    }
}

fn check_zones(configuration: &Configuration) -> Result<(), NoteError> {
    let mut zones: Vec<(&ZoneId, &RegionId)> = configuration
        .regions()
        .flat_map(|region| region.zones.iter().map(|zone| (zone, &region.id)))
        .collect();
    zones.sort();
    match zones.windows(2).find(|pair| pair[0].0 == pair[1].0) {
        Some(pair) => Err(NoteError::SharedZone {
            zone: pair[0].0.clone(),
            first: pair[0].1.clone(),
            second: pair[1].1.clone(),
        }),
        None => Ok(()),
    }
}

fn check_keys(configuration: &Configuration) -> Result<(), NoteError> {
    let mut keys: Vec<(Fingerprint, &TeamId)> = Vec::new();
    for team in configuration.teams() {
        if team.keys.len() > MAX_BEARER_KEYS {
            let count = team.keys.len();
            return Err(NoteError::TooManyKeys { team: team.id.clone(), count });
        }
        keys.extend(team.keys.iter().map(|key| (*key, &team.id)));
    }
    keys.sort();
    match keys.windows(2).find(|pair| pair[0].0 == pair[1].0) {
        Some(pair) => {
            Err(NoteError::SharedKey { first: pair[0].1.clone(), second: pair[1].1.clone() })
        }
        None => Ok(()),
    }
}

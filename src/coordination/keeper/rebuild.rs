//! Rebuilds a replication group that lost its majority from the data folder of one surviving voter.
//!
//! The survivor becomes the only voter of a new formation and keeps its stored state. The first
//! command of the new formation records in the state machine that later commands may be lost; from
//! then on it reports the outcome of whatever it has no data on as unknown. The other voters are
//! admitted again when they start with empty data folders.

use medlarlug_core::{
    configuration_group,
    gateway::publication,
    home,
    replication::{FormationId, Member, MemberKey, MemberRole, Persist},
};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

use crate::{
    coordination::keeper::storage::group_name,
    protocol::GroupId,
    settings::KeeperSettings,
    state::{DataFolder, Journal, StateError},
};

/// Errors of a rebuild. They leave the data folder unchanged, except for [`RebuildError::State`].
#[derive(Debug, Error)]
pub enum RebuildError {
    /// The settings name no data folder: the keeper stores its state in memory only.
    #[error("this keeper has no data folder to rebuild from")]
    NoDataFolder,
    /// The cluster file has no group of this name that this keeper is a voter of.
    #[error("this keeper is not a voter of a group `{name}`; its groups are {known}")]
    UnknownGroup {
        /// Name given by the operator.
        name: SmolStr,
        /// Names of the groups that the keeper is a voter of, separated by commas.
        known: SmolStr,
    },
    /// The data folder contains no state of the group.
    #[error("the data folder holds no state of group {group}; rebuild from another keeper")]
    NoStoredState {
        /// Group that was to be rebuilt; this keeper is one of its voters.
        group: GroupId,
    },
    /// The first command of the new formation can't be encoded.
    #[error("failed to encode the first command of the rebuilt group")]
    Encode(#[from] postcard::Error),
    /// The data folder can't be read or written.
    #[error("failed to read or write the data folder")]
    State(#[from] StateError),
}

/// Rebuilds the group called `name` from this keeper's data folder; the keeper must not be running.
///
/// # Errors
///
/// Fails when the folder is in use, can't be read or written, or contains no state of the group.
pub fn rebuild(settings: &KeeperSettings, name: &str) -> Result<(), RebuildError> {
    let path = settings.data.as_ref().ok_or(RebuildError::NoDataFolder)?;
    let group = find_group(settings, name)?;
    let folder = DataFolder::open(path, &settings.instance)?;
    let mut journal = Journal::open(&folder)?;
    let key = MemberKey { id: settings.instance.clone(), storage: folder.storage() };
    let member = Member { key, role: MemberRole::Voter, durable: true };
    let stored = journal.group(&group_name(&group));
    let command = rebuilt_command(&group)?;
    let rebuilt = stored.rebuild(member, FormationId(rand::random()), Some(command.into()));
    let rebuilt = rebuilt.ok_or_else(|| RebuildError::NoStoredState { group: group.clone() })?;
    let batch = Persist {
        hard: Some(rebuilt.hard),
        snapshot: rebuilt.snapshot,
        cut: rebuilt.entries.first().map(|it| it.index),
        entries: rebuilt.entries,
        ..Persist::default()
    };
    journal.write(vec![(group_name(&group), batch)])?;
    Ok(())
}

fn find_group(settings: &KeeperSettings, name: &str) -> Result<GroupId, RebuildError> {
    let cluster = &settings.cluster;
    let own = &settings.instance;
    let homes = cluster.homes.iter().filter(|it| it.voters.contains(own));
    let homes = homes.map(|it| GroupId::Home(it.region.clone()));
    let is_voter = cluster.configuration.contains(own);
    let groups: Vec<GroupId> =
        is_voter.then_some(GroupId::Configuration).into_iter().chain(homes).collect();
    let found = groups.iter().find(|it| it.to_smolstr() == name).cloned();
    found.ok_or_else(|| {
        let known: Vec<SmolStr> = groups.iter().map(|it| it.to_smolstr()).collect();
        RebuildError::UnknownGroup { name: name.into(), known: known.join(", ").into() }
    })
}

/// The command that records in the state machine that later commands may be lost.
fn rebuilt_command(group: &GroupId) -> Result<Vec<u8>, postcard::Error> {
    match group {
        GroupId::Configuration => postcard::to_stdvec(&configuration_group::Command::Rebuilt),
        GroupId::Home(_) => {
            let (elapsed, action) = (std::time::Duration::ZERO, home::Action::Rebuilt);
            postcard::to_stdvec(&home::Command { elapsed, action })
        }
        GroupId::Publication => postcard::to_stdvec(&publication::Command::Rebuilt),
    }
}

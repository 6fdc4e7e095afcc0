//! A replication group that lost its majority, rebuilt from the data folder of one survivor.
//!
//! The survivor becomes the only voter of a new formation. It keeps what it holds; the state
//! machine is told by its first command that newer commands may be lost, and answers whatever it
//! doesn't know as unknown. The other voters are let in again once they come with empty folders.

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

/// Why a group is not rebuilt. The data folder is as before, except after [`RebuildError::State`].
#[derive(Debug, Error)]
pub enum RebuildError {
    /// The keeper has no disk.
    #[error("this keeper has no data folder to rebuild from")]
    Volatile,
    /// The cluster file names no such group with this keeper as a voter.
    #[error("this keeper votes in no group {name}; its groups are {known}")]
    UnknownGroup {
        /// The group that was asked for.
        name: SmolStr,
        /// The groups in which the keeper votes.
        known: SmolStr,
    },
    /// The data folder holds no state of the group.
    #[error("the data folder holds no state of group {group}; rebuild from another keeper")]
    Empty {
        /// The group.
        group: GroupId,
    },
    /// The first command of the new group can't be encoded.
    #[error("failed to encode a command")]
    Encode(#[from] postcard::Error),
    /// The data folder can't be read or written.
    #[error("failed to change the state of the group")]
    State(#[from] StateError),
}

/// Rebuilds the group called `name` from the data folder of a stopped keeper.
///
/// # Errors
///
/// Fails when the folder is in use, can't be read or written, or holds nothing of the group.
pub fn rebuild(settings: &KeeperSettings, name: &str) -> Result<(), RebuildError> {
    let path = settings.data.as_ref().ok_or(RebuildError::Volatile)?;
    let group = find_group(settings, name)?;
    let folder = DataFolder::open(path, &settings.instance)?;
    let mut journal = Journal::open(&folder)?;
    let key = MemberKey { id: settings.instance.clone(), storage: folder.storage() };
    let member = Member { key, role: MemberRole::Voter, durable: true };
    let former = journal.group(&group_name(&group));
    let command = first_command(&group)?;
    let rebuilt = former.rebuild(member, FormationId(rand::random()), Some(command));
    let rebuilt = rebuilt.ok_or_else(|| RebuildError::Empty { group: group.clone() })?;
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
    let votes = cluster.configuration.contains(own);
    let groups: Vec<GroupId> =
        votes.then_some(GroupId::Configuration).into_iter().chain(homes).collect();
    let found = groups.iter().find(|it| it.to_smolstr() == name).cloned();
    found.ok_or_else(|| {
        let known: Vec<SmolStr> = groups.iter().map(|it| it.to_smolstr()).collect();
        RebuildError::UnknownGroup { name: name.into(), known: known.join(", ").into() }
    })
}

/// Tells the state machine that newer commands may be lost.
fn first_command(group: &GroupId) -> Result<Vec<u8>, postcard::Error> {
    match group {
        GroupId::Configuration => postcard::to_stdvec(&configuration_group::Command::Rebuilt),
        GroupId::Home(_) => {
            let (elapsed, action) = (std::time::Duration::ZERO, home::Action::Rebuilt);
            postcard::to_stdvec(&home::Command { elapsed, action })
        }
        GroupId::Publication => postcard::to_stdvec(&publication::Command::Rebuilt),
    }
}

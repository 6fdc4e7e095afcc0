//! Storage of a keeper's groups, in a data folder or in memory, and their restoration from it.

use std::time::Duration;

use medlarlug_core::{
    ids::InstanceId,
    replication::{self, MemberKey, Persist, Replica, StorageId, StoredState},
};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{
    coordination::{
        keeper::{
            group::Group,
            machine::{StateMachine, StateMachineError},
        },
        node::Node,
    },
    protocol::GroupId,
    settings::KeeperSettings,
    state::{DataFolder, GroupName, Journal, StateError, SyncResult, Writer},
};

/// Interval between two heartbeats of the configuration group. It can be long because the group
/// changes rarely, and should be because it may have many voters in distant regions.
const CONFIGURATION_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// The name under which the data folder stores a group.
pub fn group_name(id: &GroupId) -> GroupName {
    let Ok(name) = id.to_string().parse();
    name
}

/// The storage of a keeper, before its writer is started.
pub enum Storage {
    /// A data folder, which stays locked, and its journal.
    Disk(DataFolder, Box<Journal>),
    /// Memory only, under a random id that is new at every start.
    Memory(StorageId),
}

impl Storage {
    /// Opens the data folder that the settings name; without one, the state is kept in memory.
    ///
    /// # Errors
    ///
    /// Fails when the folder is in use or can't be read.
    pub fn open(settings: &KeeperSettings, node: &Node) -> Result<Storage, StateError> {
        let Some(path) = &settings.data else {
            return Ok(Storage::Memory(StorageId(rand::random())));
        };
        let folder = DataFolder::open(path, &node.own.id)?;
        let journal = Journal::open(&folder)?;
        Ok(Storage::Disk(folder, Box::new(journal)))
    }

    /// The id of this storage, by which groups recognize a member that lost its state.
    pub fn id(&self) -> StorageId {
        match self {
            Storage::Disk(folder, _) => folder.storage(),
            Storage::Memory(id) => *id,
        }
    }

    /// The stored state of `group`; empty in memory.
    pub fn stored_state(&self, group: &GroupId) -> StoredState {
        match self {
            Storage::Disk(_, journal) => journal.group(&group_name(group)),
            Storage::Memory(_) => StoredState::default(),
        }
    }

    /// Starts the writer, which has a thread of its own for a data folder, and returns it with the
    /// receiver of its reports.
    ///
    /// # Errors
    ///
    /// Fails when the thread can't be started.
    pub fn start(self) -> Result<(StateWriter, UnboundedReceiver<SyncResult>), StateError> {
        match self {
            Storage::Disk(folder, journal) => {
                let (writer, reports) = Writer::start(*journal)?;
                Ok((StateWriter { writer, _folder: Some(folder) }, reports))
            }
            Storage::Memory(_) => {
                let (writer, reports) = Writer::volatile();
                Ok((StateWriter { writer, _folder: None }, reports))
            }
        }
    }
}

/// The writer of the groups' state; holds the lock of the data folder.
pub struct StateWriter {
    writer: Writer,
    _folder: Option<DataFolder>,
}

impl StateWriter {
    /// Queues a batch of a group for writing; its sync is reported on the receiver that
    /// [`Storage::start`] returned.
    pub fn persist(&self, group: &GroupId, batch: Persist) {
        self.writer.persist(group_name(group), batch);
    }
}

/// Restores the groups that this keeper is a voter of according to the cluster file.
///
/// # Errors
///
/// Fails when a stored snapshot can't be decoded.
pub fn restore_groups(
    node: &Node,
    storage: &Storage,
    may_form: bool,
) -> Result<Vec<Group>, StateMachineError> {
    let homes = node.cluster.homes.iter();
    let homes = homes.map(|it| (GroupId::Home(it.region.clone()), &it.voters));
    let configuration = (GroupId::Configuration, &node.cluster.configuration);
    std::iter::once(configuration)
        .chain(homes)
        .filter(|it| it.1.contains(&node.own.id))
        .map(|(id, voters)| restore_group(node, storage, may_form, (id, voters.clone())))
        .collect()
}

fn restore_group(
    node: &Node,
    storage: &Storage,
    may_form: bool,
    (id, voters): (GroupId, Vec<InstanceId>),
) -> Result<Group, StateMachineError> {
    let stored = storage.stored_state(&id);
    let mut machine = StateMachine::new(&id);
    if let Some(snapshot) = &stored.snapshot {
        machine.restore(&id, &snapshot.data)?;
    }
    let key = MemberKey { id: node.own.id.clone(), storage: storage.id() };
    let mut config = replication::Config::new(key, voters);
    config.durable = node.own.durable;
    config.may_form = may_form;
    if id == GroupId::Configuration {
        config = config.with_heartbeat_interval(CONFIGURATION_HEARTBEAT_INTERVAL);
    }
    let replica = Replica::new(config, stored, rand::random(), node.now());
    Ok(Group::new(id, replica, machine))
}

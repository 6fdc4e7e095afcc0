//! Where the groups of a keeper are stored, a data folder or memory, and how they start from it.

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

/// Time between two heartbeats of the configuration group, whose voters may be many and far apart
/// and whose changes are few.
const CONFIGURATION_HEARTBEAT: Duration = Duration::from_millis(250);

/// The name of a group in the data folder.
pub fn group_name(id: &GroupId) -> GroupName {
    let Ok(name) = id.to_string().parse();
    name
}

/// Where a keeper's state was found.
pub enum Storage {
    /// In a data folder, which stays locked.
    Disk(DataFolder, Box<Journal>),
    /// In memory only, under an id that is new at every start.
    Memory(StorageId),
}

impl Storage {
    /// Opens the data folder, if the settings name one.
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

    /// Names this storage.
    pub fn id(&self) -> StorageId {
        match self {
            Storage::Disk(folder, _) => folder.storage(),
            Storage::Memory(id) => *id,
        }
    }

    /// What is stored of a group.
    pub fn restored(&self, group: &GroupId) -> StoredState {
        match self {
            Storage::Disk(_, journal) => journal.group(&group_name(group)),
            Storage::Memory(_) => StoredState::default(),
        }
    }

    /// Starts the thread that writes.
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

/// The writer, with the lock of its folder.
pub struct StateWriter {
    writer: Writer,
    _folder: Option<DataFolder>,
}

impl StateWriter {
    /// Stores a batch of a group, and reports it once it is synced.
    pub fn persist(&self, group: &GroupId, batch: Persist) {
        self.writer.persist(group_name(group), batch);
    }
}

/// The groups that the cluster file names this keeper for, as they were stored.
///
/// # Errors
///
/// Fails when a stored snapshot can't be decoded.
pub fn groups_of(
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
        .map(|(id, voters)| new_group(node, storage, may_form, (id, voters.clone())))
        .collect()
}

fn new_group(
    node: &Node,
    storage: &Storage,
    may_form: bool,
    (id, voters): (GroupId, Vec<InstanceId>),
) -> Result<Group, StateMachineError> {
    let restored = storage.restored(&id);
    let mut machine = StateMachine::new(&id);
    if let Some(snapshot) = &restored.snapshot {
        machine.restore(&id, &snapshot.data)?;
    }
    let key = MemberKey { id: node.own.id.clone(), storage: storage.id() };
    let mut config = replication::Config::new(key, voters);
    config.durable = node.own.durable;
    config.may_form = may_form;
    if id == GroupId::Configuration {
        config = config.with_heartbeat_interval(CONFIGURATION_HEARTBEAT);
    }
    let replica = Replica::new(config, restored, rand::random(), node.now());
    Ok(Group::new(id, replica, machine))
}

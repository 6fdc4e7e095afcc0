//! The keeper process, which runs replicas of the configuration group and of home groups.
//!
//! A single-threaded event loop passes messages, ticks and completed writes to the groups and
//! carries out their outputs. Operators reach the process over HTTP.
//!
//! * [`group`]: one replication group: replica, state machine, pending calls.
//! * [`machine`]: the state machine of a group, by kind of group.
//! * [`rebuild`]: rebuilds a group from the data of one surviving voter, on an operator's command.
//! * [`storage`]: opens the storage of the groups and restores them from it.
//! * [`status`]: the status of the groups for operators.
//! * [`duties`]: background tasks, most of which run only on the leader of a group.

pub mod duties;
pub mod group;
pub mod machine;
pub mod rebuild;
pub mod status;
pub mod storage;

use std::{cell::RefCell, error::Error as _, rc::Rc, time::Duration};

use medlarlug_core::{
    follower,
    ids::{InstanceId, Revision},
    membership::Notice,
    replication::FormationId,
    units::ByteSize,
};
use thiserror::Error;
use tokio::{
    sync::{mpsc::UnboundedReceiver, watch},
    task,
    time::interval,
};

use crate::{
    coordination::{
        clock::incarnation_from_wall_clock,
        daemon::Context,
        keeper::{
            duties::confirmations::Confirmations,
            group::{Caller, Group, Output},
            machine::{StateMachine, StateMachineError},
            status::{group_dump, group_status},
            storage::{StateWriter, Storage, group_name, restore_groups},
        },
        node::{Node, Received},
        operators::{self, OperatorApi, ProcessDetails},
    },
    protocol::{GroupId, GroupReply, GroupRequest, Message},
    settings::{KeeperSettings, Resources},
    state::{StateError, SyncResult, Synced},
    transport::{
        http_server::{self, ServerError, ServerLimits},
        links::{Incoming, LinkError, Links},
        memory::{Memory, MemoryLimits},
    },
};

/// Interval between two ticks of the replication groups.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Ticks of the groups per tick of membership and of the configuration's follower.
const TICKS_PER_SLOW_TICK: u32 = 12;

/// Errors that keep a keeper from starting, or that stop it.
#[derive(Debug, Error)]
pub enum KeeperError {
    /// The links to other processes could not be set up.
    #[error("failed to set up the links")]
    Link(#[from] LinkError),
    /// The operators' HTTP server could not be started.
    #[error("failed to start a server")]
    Server(#[from] ServerError),
    /// The data folder could not be opened, read or written.
    #[error("failed to read or write the data folder")]
    State(#[from] StateError),
    /// A state machine could not decode a command or a snapshot.
    #[error("a replication group failed")]
    StateMachine(#[from] StateMachineError),
}

/// The keeper process.
pub struct Keeper {
    /// Links, calls, membership and configuration follower, as in every process.
    pub node: Rc<Node>,
    groups: RefCell<Vec<Group>>,
    writer: StateWriter,
    // Incremented when the state machine or the role of a group has changed.
    changes: watch::Sender<u64>,
    /// Rollout of revisions to the instances; tracked while this keeper leads the configuration
    /// group.
    pub confirmations: Confirmations,
}

/// Runs a keeper until `drain` turns true.
///
/// # Errors
///
/// Fails when the keeper can't start, when its data folder fails, or when a state machine can't
/// decode a command or a snapshot.
pub async fn run(settings: KeeperSettings, context: Context) -> Result<(), KeeperError> {
    let stop = context.drain.subscribe();
    let own = settings.peer().clone();
    let (links, mut incoming) = Links::listen(own.id.clone(), settings.keys.clone(), own.peers)?;
    let (cluster, keys) = (settings.cluster.clone(), settings.keys.clone());
    let node = Rc::new(Node::new(
        own,
        cluster,
        keys,
        incarnation_from_wall_clock(),
        follower::Storage::Memory,
        links,
    ));
    let storage = Storage::open(&settings, &node)?;
    let groups = RefCell::new(restore_groups(&node, &storage, settings.may_form)?);
    let (writer, mut reports) = storage.start()?;
    let changes = watch::Sender::new(0);
    let confirmations = Confirmations::default();
    let keeper = Rc::new(Keeper { node: node.clone(), groups, writer, changes, confirmations });

    let api = OperatorApi::new(node.clone(), settings.operators.clone(), context);
    let dump = keeper.clone();
    let details = keeper.clone();
    let api = api.with_dump(move || dump.dump()).with_details(move || details.details());
    let memory = memory_of(settings.resources, ByteSize(operators::MAX_NOTE_BYTES as u64));
    let listener = http_server::listen_within("operators", node.own.operators, &memory).await?;
    let limits = operator_server_limits(&memory);
    let server = operators::serve(api, listener, limits, memory, stop.clone());
    task::spawn_local(server);

    duties::start(&keeper, &stop);
    let mut ticks = interval(TICK_INTERVAL);
    let mut count = 0u32;
    let mut stopping = stop;
    loop {
        tokio::select! {
            received = incoming.receive() => {
                if let Some((from, message)) = received {
                    keeper.receive(from, message)?;
                }
            }
            report = reports.recv() => {
                let report = report.ok_or(StateError::WriterEnded)?;
                keeper.handle_report(report)?;
            }
            _ = ticks.tick() => {
                count = count.wrapping_add(1);
                keeper.tick(count.is_multiple_of(TICKS_PER_SLOW_TICK))?;
            }
            _ = stopping.wait_for(|stop| *stop) => break,
        }
    }
    keeper.transfer_leaderships(&mut incoming, &mut reports).await
}

/// Share of the descriptors and of the memory for connections that operators may use.
const OPERATORS_SHARE: f64 = 0.125;

/// The memory for clients of a process with these resources, whose longest body is `largest`.
pub fn memory_of(resources: Resources, largest: ByteSize) -> Memory {
    let Some(memory) = resources.memory else { return Memory::unlimited() };
    let descriptors = resources.descriptors;
    Memory::new(MemoryLimits { memory, descriptors, largest_body: largest })
}

/// Limits of the operators' HTTP server, which entry instances use as well.
pub fn operator_server_limits(memory: &Memory) -> ServerLimits {
    ServerLimits {
        header_bytes: 16 * 1024,
        header_time: Duration::from_secs(10),
        connections: memory.connections(64, OPERATORS_SHARE),
        requests: u32::MAX,
    }
}

impl Keeper {
    /// Whether this keeper leads `group`; `false` if it is not a member.
    pub fn leads(&self, group: &GroupId) -> bool {
        self.groups.borrow().iter().any(|it| it.id() == group && it.is_leader())
    }

    /// The formation of `group`; `None` if this keeper is not a member or has no membership yet.
    pub fn formation(&self, group: &GroupId) -> Option<FormationId> {
        let groups = self.groups.borrow();
        let found = groups.iter().find(|it| it.id() == group)?;
        Some(found.replica().membership()?.formation)
    }

    /// Passes the state machine of `group` to `read`; `None` if this keeper is not a member.
    pub fn with_state_machine<T>(
        &self,
        group: &GroupId,
        read: impl FnOnce(&StateMachine) -> T,
    ) -> Option<T> {
        let groups = self.groups.borrow();
        groups.iter().find(|it| it.id() == group).map(|it| read(it.state_machine()))
    }

    /// Ids of the groups that this keeper is a member of.
    pub fn group_ids(&self) -> Vec<GroupId> {
        self.groups.borrow().iter().map(|it| it.id().clone()).collect()
    }

    /// A receiver that is notified when the state machine or the role of any group has changed.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn receive(&self, from: InstanceId, message: Message) -> Result<(), StateMachineError> {
        if let Message::UpdateRequest(request) = &message {
            self.confirmations.record(&self.node, &from, request.revision);
        }
        match self.node.receive(from, message) {
            Received::Handled => Ok(()),
            Received::Notices(notices) => {
                self.handle_notices(&notices);
                Ok(())
            }
            Received::Other(from, message) => self.receive_for_group(from, *message),
        }
    }

    fn receive_for_group(
        &self,
        from: InstanceId,
        message: Message,
    ) -> Result<(), StateMachineError> {
        match message {
            Message::Call { call, group, request } => {
                self.call(Caller { instance: from, call }, &group, request)
            }
            Message::Replication { group, message } => {
                self.with_group(&group, |it, now, out| it.receive(now, from, message, out))
            }
            message => {
                tracing::warn!(%from, ?message, "message for another kind of process");
                Ok(())
            }
        }
    }

    /// Handles a report of the writer, which continues after an error as soon as the disk accepts writes
    /// again. Until then a leader transfers its leaderships, and nothing is acknowledged from here.
    fn handle_report(&self, report: SyncResult) -> Result<(), StateMachineError> {
        match report {
            Ok(synced) => self.persisted(synced),
            Err(error) => {
                let cause = error.source().map(ToString::to_string);
                tracing::warn!(%error, cause, "disk failed");
                Ok(())
            }
        }
    }

    /// Reports to a group that one of its batches has been synced.
    fn persisted(&self, synced: Synced) -> Result<(), StateMachineError> {
        let Synced { group, sequence } = synced;
        let id = self.group_ids().into_iter().find(|it| group_name(it) == group);
        match id {
            Some(id) => self.with_group(&id, |it, now, out| it.persisted(now, sequence, out)),
            None => Ok(()),
        }
    }

    fn call(
        &self,
        caller: Caller,
        group: &GroupId,
        request: GroupRequest,
    ) -> Result<(), StateMachineError> {
        if let GroupRequest::Rollout(revision) = request {
            return self.reply_rollout(caller, revision);
        }
        if !self.groups.borrow().iter().any(|it| it.id() == group) {
            let reply = Message::Reply { call: caller.call, reply: GroupReply::NotLeader(None) };
            self.node.send(&caller.instance, reply);
            return Ok(());
        }
        self.with_group(group, |it, now, out| it.call(now, caller, request, out))
    }

    /// Replies with the rollout of a revision (by default the newest one), which only the leader of
    /// the configuration group tracks.
    fn reply_rollout(
        &self,
        caller: Caller,
        revision: Option<Revision>,
    ) -> Result<(), StateMachineError> {
        let newest =
            self.with_state_machine(&GroupId::Configuration, StateMachine::revision).flatten();
        let revision = revision.or(newest).unwrap_or_default();
        let reply = match self.confirmations.rollout(&self.node, revision) {
            Some(rollout) => GroupReply::Rollout(rollout),
            None => GroupReply::NotLeader(self.leader(&GroupId::Configuration)),
        };
        self.node.send(&caller.instance, Message::Reply { call: caller.call, reply });
        Ok(())
    }

    /// The leader of `group`; `None` if this keeper is not a member or knows no leader.
    pub fn leader(&self, group: &GroupId) -> Option<InstanceId> {
        let groups = self.groups.borrow();
        let leader = |it: &Group| it.replica().leader().cloned();
        groups.iter().find(|it| it.id() == group).and_then(leader)
    }

    fn tick(&self, is_slow_tick: bool) -> Result<(), StateMachineError> {
        for group in self.group_ids() {
            self.with_group(&group, |it, now, out| it.tick(now, out))?;
        }
        if is_slow_tick {
            let status = medlarlug_core::membership::Status {
                load: 0,
                revision: self.node.follower.borrow().revision(),
                leaving: false,
                settling: false,
            };
            self.handle_notices(&self.node.report_status(status));
            self.handle_notices(&self.node.tick());
        }
        Ok(())
    }

    fn handle_notices(&self, notices: &[Notice]) {
        for notice in notices {
            tracing::info!(?notice, "membership changed");
            if let Notice::PeerDead(peer) = notice {
                duties::record_dead_instance(self, peer);
            }
        }
    }

    fn with_group(
        &self,
        id: &GroupId,
        step: impl FnOnce(
            &mut Group,
            medlarlug_core::time::Time,
            &mut Vec<Output>,
        ) -> Result<(), StateMachineError>,
    ) -> Result<(), StateMachineError> {
        let mut out = Vec::new();
        {
            let mut groups = self.groups.borrow_mut();
            let Some(group) = groups.iter_mut().find(|it| it.id() == id) else {
                return Ok(());
            };
            step(group, self.node.now(), &mut out)?;
        }
        self.carry_out(id, out)
    }

    fn carry_out(&self, id: &GroupId, outputs: Vec<Output>) -> Result<(), StateMachineError> {
        let mut has_changed = false;
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let message = Message::Replication { group: id.clone(), message };
                    self.node.send(&to, message);
                }
                Output::Persist(batch) => self.writer.persist(id, batch),
                Output::Reply { caller, reply } => {
                    self.node.send(&caller.instance, Message::Reply { call: caller.call, reply });
                }
                Output::Applied => has_changed = true,
                Output::RoleChanged { role, term } => {
                    tracing::info!(group = %id, ?role, %term, "role changed");
                    has_changed = true;
                }
            }
        }
        if has_changed {
            self.changes.send_modify(|count| *count += 1);
        }
        Ok(())
    }

    /// Transfers the leaderships of this keeper to other voters before the process stops, for at
    /// most [`LEADERSHIP_TRANSFER_TIMEOUT`].
    async fn transfer_leaderships(
        &self,
        incoming: &mut Incoming,
        reports: &mut UnboundedReceiver<SyncResult>,
    ) -> Result<(), KeeperError> {
        for group in self.group_ids() {
            self.with_group(&group, |it, now, out| it.transfer(now, out))?;
        }
        let deadline = tokio::time::Instant::now() + LEADERSHIP_TRANSFER_TIMEOUT;
        let mut ticks = interval(TICK_INTERVAL);
        while tokio::time::Instant::now() < deadline
            && self.group_ids().iter().any(|it| self.leads(it))
        {
            tokio::select! {
                received = incoming.receive() => {
                    if let Some((from, message)) = received {
                        self.receive(from, message)?;
                    }
                }
                Some(report) = reports.recv() => self.handle_report(report)?,
                _ = ticks.tick() => self.tick(false)?,
            }
        }
        Ok(())
    }

    fn details(&self) -> ProcessDetails {
        let groups = self.groups.borrow().iter().map(group_status).collect();
        ProcessDetails { groups, ..ProcessDetails::default() }
    }

    fn dump(&self) -> serde_json::Value {
        let groups = self.groups.borrow();
        let groups: Vec<serde_json::Value> = groups.iter().map(group_dump).collect();
        serde_json::json!({ "groups": groups })
    }
}

/// Longest time that the process waits at a stop for its leaderships to be transferred.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

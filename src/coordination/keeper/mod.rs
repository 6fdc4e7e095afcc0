//! The keeper process: replicas of the configuration group and of home groups.
//!
//! One loop on one thread feeds the groups with messages, time and finished writes, and carries
//! out what they ask for. Operators reach the process over HTTP.
//!
//! * [`group`]: one replication group: replica, state machine, waiting calls.
//! * [`machine`]: the state machine of a group, by kind.
//! * [`rebuild`]: a group out of the state of one survivor, at an operator's order.
//! * [`storage`]: where the groups are stored.
//! * [`status`]: what operators see of the groups.
//! * [`duties`]: what the leader of a group does unasked.

pub mod duties;
pub mod group;
pub mod machine;
pub mod rebuild;
pub mod status;
pub mod storage;

use std::{cell::RefCell, rc::Rc, time::Duration};

use medlarlug_core::{
    follower,
    ids::{InstanceId, Revision},
    membership::Notice,
    replication::FormationId,
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
            status::{dump_group, group_status},
            storage::{StateWriter, Storage, group_name, groups_of},
        },
        node::{Node, Received},
        operators::{self, OperatorApi, ProcessDetails},
    },
    protocol::{GroupId, GroupReply, GroupRequest, Message},
    settings::KeeperSettings,
    state::{StateError, SyncResult, Synced},
    transport::{
        http_server::{self, ServerError, ServerLimits},
        links::{Incoming, LinkError, Links},
    },
};

/// Time between two ticks of the groups.
const TICK: Duration = Duration::from_millis(20);

/// Ticks of the groups for one tick of membership and follower.
const SLOW_TICKS: u32 = 12;

/// Why a keeper stops.
#[derive(Debug, Error)]
pub enum KeeperError {
    /// A link can't be set up.
    #[error("failed to set the links up")]
    Link(#[from] LinkError),
    /// A server can't be started.
    #[error("failed to start a server")]
    Server(#[from] ServerError),
    /// The data folder failed.
    #[error("failed to keep the state")]
    State(#[from] StateError),
    /// A state machine failed.
    #[error("a replication group failed")]
    Machine(#[from] StateMachineError),
}

/// The keeper process.
pub struct Keeper {
    /// What every process has.
    pub node: Rc<Node>,
    groups: RefCell<Vec<Group>>,
    writer: StateWriter,
    // Raised when the configuration group's state machine changed.
    applied: watch::Sender<u64>,
    /// Where revisions are in force, while this keeper leads the configuration group.
    pub confirmations: Confirmations,
}

/// Runs a keeper until `drain` turns true.
///
/// # Errors
///
/// Fails when it can't start, or when a state machine meets what it can't decode.
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
    let groups = RefCell::new(groups_of(&node, &storage, settings.may_form)?);
    let (writer, mut reports) = storage.start()?;
    let applied = watch::Sender::new(0);
    let confirmations = Confirmations::default();
    let keeper = Rc::new(Keeper { node: node.clone(), groups, writer, applied, confirmations });

    let api = OperatorApi::new(node.clone(), settings.operators.clone(), context);
    let dump = keeper.clone();
    let process = keeper.clone();
    let api = api.with_dump(move || dump.dump()).with_details(move || process.details());
    let listener = http_server::listen("operators", node.own.operators).await?;
    let server = operators::serve(api, listener, operator_server_limits(), stop.clone());
    task::spawn_local(server);

    duties::start(&keeper, &stop);
    let mut ticks = interval(TICK);
    let mut count = 0u32;
    let mut stopping = stop;
    loop {
        tokio::select! {
            received = incoming.receive() => {
                if let Some((from, message)) = received {
                    keeper.receive(from, message)?;
                }
            }
            Some(report) = reports.recv() => keeper.persisted(report?)?,
            _ = ticks.tick() => {
                count = count.wrapping_add(1);
                keeper.tick(count.is_multiple_of(SLOW_TICKS))?;
            }
            _ = stopping.wait_for(|stop| *stop) => break,
        }
    }
    keeper.hand_over(&mut incoming, &mut reports).await
}

/// Bounds of the operators' server.
pub fn operator_server_limits() -> ServerLimits {
    ServerLimits {
        header_bytes: 16 * 1024,
        header_time: Duration::from_secs(10),
        connections: 64,
        requests: u32::MAX,
    }
}

impl Keeper {
    /// Whether this keeper leads a group.
    pub fn leads(&self, group: &GroupId) -> bool {
        self.groups.borrow().iter().any(|it| it.id() == group && it.is_leader())
    }

    /// The formation that a group stems from, if this keeper is a member and knows it.
    pub fn formation(&self, group: &GroupId) -> Option<FormationId> {
        let groups = self.groups.borrow();
        let found = groups.iter().find(|it| it.id() == group)?;
        Some(found.replica().membership()?.formation)
    }

    /// Reads the state machine of a group, if this keeper is a member.
    pub fn with_state_machine<T>(
        &self,
        group: &GroupId,
        read: impl FnOnce(&StateMachine) -> T,
    ) -> Option<T> {
        let groups = self.groups.borrow();
        groups.iter().find(|it| it.id() == group).map(|it| read(it.state_machine()))
    }

    /// The groups that this keeper is a member of.
    pub fn group_ids(&self) -> Vec<GroupId> {
        self.groups.borrow().iter().map(|it| it.id().clone()).collect()
    }

    /// A receiver that wakes when a state machine changed.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.applied.subscribe()
    }

    fn receive(&self, from: InstanceId, message: Message) -> Result<(), StateMachineError> {
        if let Message::UpdateRequest(ask) = &message {
            self.confirmations.told(&self.node, &from, ask.revision);
        }
        match self.node.receive(from, message) {
            Received::Handled => Ok(()),
            Received::Notices(notices) => {
                self.note(&notices);
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

    /// Tells a group what was synced.
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
            return self.tell_force(caller, revision);
        }
        if !self.groups.borrow().iter().any(|it| it.id() == group) {
            let reply = Message::Reply { call: caller.call, reply: GroupReply::NotLeader(None) };
            self.node.send(&caller.instance, reply);
            return Ok(());
        }
        self.with_group(group, |it, now, out| it.call(now, caller, request, out))
    }

    /// Answers where a revision is in force; the leader of the configuration group knows it.
    fn tell_force(
        &self,
        caller: Caller,
        revision: Option<Revision>,
    ) -> Result<(), StateMachineError> {
        let newest =
            self.with_state_machine(&GroupId::Configuration, StateMachine::revision).flatten();
        let revision = revision.or(newest).unwrap_or_default();
        let reply = match self.confirmations.force(&self.node, revision) {
            Some(force) => GroupReply::Rollout(force),
            None => GroupReply::NotLeader(self.leader(&GroupId::Configuration)),
        };
        self.node.send(&caller.instance, Message::Reply { call: caller.call, reply });
        Ok(())
    }

    /// The leader of a group, if this keeper is a member and knows it.
    pub fn leader(&self, group: &GroupId) -> Option<InstanceId> {
        let groups = self.groups.borrow();
        let leader = |it: &Group| it.replica().leader().cloned();
        groups.iter().find(|it| it.id() == group).and_then(leader)
    }

    fn tick(&self, is_slow: bool) -> Result<(), StateMachineError> {
        for group in self.group_ids() {
            self.with_group(&group, |it, now, out| it.tick(now, out))?;
        }
        if is_slow {
            let status = medlarlug_core::membership::Status {
                load: 0,
                revision: self.node.follower.borrow().revision(),
                leaving: false,
                settling: false,
            };
            self.note(&self.node.report_status(status));
            self.note(&self.node.tick());
        }
        Ok(())
    }

    fn note(&self, notices: &[Notice]) {
        for notice in notices {
            tracing::info!(?notice, "membership changed");
            if let Notice::PeerDead(peer) = notice {
                duties::declare_lost(self, peer);
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
            self.applied.send_modify(|count| *count += 1);
        }
        Ok(())
    }

    /// Hands leaderships over before the process stops.
    async fn hand_over(
        &self,
        incoming: &mut Incoming,
        reports: &mut UnboundedReceiver<SyncResult>,
    ) -> Result<(), KeeperError> {
        for group in self.group_ids() {
            self.with_group(&group, |it, now, out| it.transfer(now, out))?;
        }
        let end = tokio::time::Instant::now() + HAND_OVER_LIMIT;
        let mut ticks = interval(TICK);
        while tokio::time::Instant::now() < end && self.group_ids().iter().any(|it| self.leads(it))
        {
            tokio::select! {
                received = incoming.receive() => {
                    if let Some((from, message)) = received {
                        self.receive(from, message)?;
                    }
                }
                Some(report) = reports.recv() => self.persisted(report?)?,
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
        let groups: Vec<serde_json::Value> = groups.iter().map(dump_group).collect();
        serde_json::json!({ "groups": groups })
    }
}

/// Longest time that handing leaderships over takes at a stop.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(2);

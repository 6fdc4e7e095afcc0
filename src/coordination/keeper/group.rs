//! One replication group in a keeper: its replica, its state machine and the calls that wait.

use std::{collections::VecDeque, time::Duration};

use medlarlug_core::{
    home,
    ids::{InstanceId, LogIndex, Term},
    replication::{self, Effect, Event, Persist, Replica, Role, Ticket},
    time::Time,
};

use crate::{
    coordination::keeper::machine::{StateMachine, StateMachineError},
    protocol::{GroupId, GroupReply, GroupRequest},
};

/// Applied entries after which a snapshot is taken.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 4_096;

/// Replies that are kept until the replica names their tickets.
const KEPT_REPLIES: usize = 4_096;

/// A call that waits for its reply.
#[derive(Debug)]
pub struct Caller {
    /// The instance that called.
    pub instance: InstanceId,
    /// Number of the call there.
    pub call: u64,
}

/// What the keeper has to do for a group.
#[derive(Debug)]
pub enum Output {
    /// Send a message to another member.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: replication::Message,
    },
    /// Store a batch and then call [`Group::persisted`].
    Persist(Persist),
    /// Answer a call.
    Reply {
        /// The call.
        caller: Caller,
        /// Its answer.
        reply: GroupReply,
    },
    /// The state machine changed.
    Applied,
    /// This replica now plays another part.
    RoleChanged {
        /// The part.
        role: Role,
        /// The term.
        term: Term,
    },
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    caller: Caller,
    // `None` for a command, whose reply comes from its application.
    read: Option<GroupRequest>,
    index: Option<LogIndex>,
}

/// One replication group in a keeper.
pub struct Group {
    id: GroupId,
    replica: Replica,
    machine: StateMachine,
    last_ticket: Ticket,
    waiting: Vec<Waiting>,
    replies: VecDeque<(LogIndex, GroupReply)>,
    // When the last command of this leadership was proposed.
    proposed: Option<Time>,
    compacted: LogIndex,
}

impl Group {
    /// A group whose replica was restored; `machine` holds the state of its snapshot.
    pub fn new(id: GroupId, replica: Replica, machine: StateMachine) -> Group {
        let compacted = replica.snapshot_index();
        Group {
            id,
            replica,
            machine,
            last_ticket: 0,
            waiting: Vec::new(),
            replies: VecDeque::new(),
            proposed: None,
            compacted,
        }
    }

    /// The group's id.
    pub fn id(&self) -> &GroupId {
        &self.id
    }

    /// The replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The state machine.
    pub fn state_machine(&self) -> &StateMachine {
        &self.machine
    }

    /// Whether this replica leads the group.
    pub fn is_leader(&self) -> bool {
        self.replica.role() == Role::Leader
    }

    /// Lets time pass.
    ///
    /// # Errors
    ///
    /// Fails when a committed command or a snapshot can't be decoded.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) -> Result<(), StateMachineError> {
        self.run(now, Event::Tick, out)
    }

    /// Takes a message of another member in.
    ///
    /// # Errors
    ///
    /// Fails when a committed command or a snapshot can't be decoded.
    pub fn receive(
        &mut self,
        now: Time,
        from: InstanceId,
        message: replication::Message,
        out: &mut Vec<Output>,
    ) -> Result<(), StateMachineError> {
        self.run(now, Event::Message { from, message }, out)
    }

    /// Learns that a batch was synced.
    ///
    /// # Errors
    ///
    /// Fails when a committed command or a snapshot can't be decoded.
    pub fn persisted(
        &mut self,
        now: Time,
        sequence: u64,
        out: &mut Vec<Output>,
    ) -> Result<(), StateMachineError> {
        self.run(now, Event::Persisted { sequence }, out)
    }

    /// Hands the leadership to another member, before this process stops.
    ///
    /// # Errors
    ///
    /// Fails when a committed command or a snapshot can't be decoded.
    pub fn transfer(&mut self, now: Time, out: &mut Vec<Output>) -> Result<(), StateMachineError> {
        self.run(now, Event::TransferLeadership, out)
    }

    /// Takes a call in; its reply comes as [`Output::Reply`], now or later.
    ///
    /// # Errors
    ///
    /// Fails when a committed command or a snapshot can't be decoded.
    pub fn call(
        &mut self,
        now: Time,
        caller: Caller,
        request: GroupRequest,
        out: &mut Vec<Output>,
    ) -> Result<(), StateMachineError> {
        if !self.is_leader() {
            let reply = GroupReply::NotLeader(self.replica.leader().cloned());
            out.push(Output::Reply { caller, reply });
            return Ok(());
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let Some(command) = self.command(now, &request) else {
            let read = Some(request);
            self.waiting.push(Waiting { ticket, caller, read, index: None });
            return self.run(now, Event::Read { ticket }, out);
        };
        self.waiting.push(Waiting { ticket, caller, read: None, index: None });
        self.run(now, Event::Propose { ticket, command }, out)
    }

    /// The command that a request proposes; `None` when it reads only.
    fn command(&mut self, now: Time, request: &GroupRequest) -> Option<Vec<u8>> {
        let command = match request {
            GroupRequest::Configure(command) => postcard::to_stdvec(command),
            GroupRequest::Act(action) => {
                let elapsed = self.elapsed(now);
                postcard::to_stdvec(&home::Command { elapsed, action: action.clone() })
            }
            GroupRequest::Publish(command) => postcard::to_stdvec(command),
            GroupRequest::LookUp(_)
            | GroupRequest::History
            | GroupRequest::Revision
            | GroupRequest::FoundingRevision
            | GroupRequest::HomeMoves
            | GroupRequest::Rollout(_)
            | GroupRequest::Published => return None,
        };
        command.ok()
    }

    /// Time since the previous command of this leadership.
    fn elapsed(&mut self, now: Time) -> Duration {
        let previous = self.proposed.replace(now);
        previous.map_or(Duration::ZERO, |previous| now - previous)
    }

    fn run(
        &mut self,
        now: Time,
        event: Event,
        out: &mut Vec<Output>,
    ) -> Result<(), StateMachineError> {
        let mut effects = Vec::new();
        self.replica.handle(now, event, &mut effects);
        for effect in effects {
            self.carry_out(effect, out)?;
        }
        self.compact(now, out)
    }

    fn carry_out(
        &mut self,
        effect: Effect,
        out: &mut Vec<Output>,
    ) -> Result<(), StateMachineError> {
        match effect {
            Effect::Send { to, message } => out.push(Output::Send { to, message }),
            Effect::Persist(batch) => out.push(Output::Persist(batch)),
            Effect::Apply { index, command, .. } => {
                let reply = self.machine.apply(&self.id, &command)?;
                self.applied(index, reply, out);
            }
            Effect::Committed { ticket, index } => self.committed(ticket, index, out),
            Effect::Rejected { ticket, reason } => self.reject(ticket, &reason, out),
            Effect::ReadReady { ticket, .. } => self.read(ticket, out),
            Effect::InstallSnapshot { data, .. } => {
                self.machine.restore(&self.id, &data)?;
                self.compacted = self.replica.snapshot_index();
                out.push(Output::Applied);
            }
            Effect::RoleChanged { role, term } => {
                self.proposed = None;
                out.push(Output::RoleChanged { role, term });
            }
        }
        Ok(())
    }

    fn applied(&mut self, index: LogIndex, reply: GroupReply, out: &mut Vec<Output>) {
        out.push(Output::Applied);
        if let Some(at) = self.waiting.iter().position(|it| it.index == Some(index)) {
            let caller = self.waiting.remove(at).caller;
            out.push(Output::Reply { caller, reply });
            return;
        }
        if !self.is_leader() {
            return;
        }
        if self.replies.len() == KEPT_REPLIES {
            self.replies.pop_front();
        }
        self.replies.push_back((index, reply));
    }

    fn committed(&mut self, ticket: Ticket, index: LogIndex, out: &mut Vec<Output>) {
        let Some(at) = self.place(ticket) else { return };
        match self.replies.binary_search_by_key(&index, |it| it.0) {
            Ok(found) => {
                let reply = self.replies[found].1.clone();
                let caller = self.waiting.remove(at).caller;
                out.push(Output::Reply { caller, reply });
            }
            Err(_) => self.waiting[at].index = Some(index),
        }
    }

    fn reject(&mut self, ticket: Ticket, reason: &replication::Rejection, out: &mut Vec<Output>) {
        let Some(at) = self.place(ticket) else { return };
        let waiting = self.waiting.remove(at);
        let is_unused = reason.is_final() || waiting.read.is_some();
        let reply = match is_unused {
            true => GroupReply::NotLeader(self.replica.leader().cloned()),
            false => GroupReply::Uncertain,
        };
        out.push(Output::Reply { caller: waiting.caller, reply });
    }

    fn read(&mut self, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(at) = self.place(ticket) else { return };
        let waiting = self.waiting.remove(at);
        let reply =
            waiting.read.map_or(GroupReply::UnsupportedRequest, |it| self.machine.read(&it));
        out.push(Output::Reply { caller: waiting.caller, reply });
    }

    fn place(&self, ticket: Ticket) -> Option<usize> {
        self.waiting.binary_search_by_key(&ticket, |it| it.ticket).ok()
    }

    fn compact(&mut self, now: Time, out: &mut Vec<Output>) -> Result<(), StateMachineError> {
        let index = self.replica.applied();
        if index.0 < self.compacted.0 + SNAPSHOT_INTERVAL_ENTRIES {
            return Ok(());
        }
        self.compacted = index;
        let snapshot = self.machine.encode();
        self.run(now, Event::Compact { index, snapshot }, out)
    }
}

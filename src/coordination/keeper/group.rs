//! One replication group in a keeper: its replica, its state machine and its pending calls.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;

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

/// Number of applied log entries after which a snapshot is taken and the log compacted.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 4_096;

/// Length of the applied commands after which a snapshot is taken at the latest, in bytes: as much as
/// the snapshot is long, within these limits. So the log takes no more memory and disk than a small
/// multiple of the state, and a large state is not encoded for every command.
const MIN_SNAPSHOT_INTERVAL_BYTES: usize = 4 << 20;
const MAX_SNAPSHOT_INTERVAL_BYTES: usize = 16 << 20;

/// Time for which a batch may remain unsynced before a leader transfers leadership: its disk is slow,
/// hangs or is full, and it answers no proposal meanwhile.
const DISK_LAG_LIMIT: Duration = Duration::from_millis(600);

/// Maximum number of replies buffered between the application of a command and the replica's report
/// of which ticket it belongs to.
const MAX_BUFFERED_REPLIES: usize = 4_096;

/// Identifies a call, so that its reply can be returned.
#[derive(Debug)]
pub struct Caller {
    /// Instance that sent the call and receives the reply.
    pub instance: InstanceId,
    /// Number of the call at the calling instance.
    pub call: u64,
}

/// An action that the keeper has to carry out for a group.
#[derive(Debug)]
pub enum Output {
    /// Send a message to another member.
    Send {
        /// The receiver.
        to: InstanceId,
        /// Message of the replication protocol, from this replica.
        message: replication::Message,
    },
    /// Store a batch and call [`Group::persisted`] once it is synced.
    Persist(Persist),
    /// Send the reply to a call.
    Reply {
        /// Call that is answered: its sender and number.
        caller: Caller,
        /// Result of the request, or why the group did not handle it.
        reply: GroupReply,
    },
    /// The state machine has changed; nothing has to be sent or stored.
    Applied,
    /// The role of this replica has changed.
    RoleChanged {
        /// Role that the replica has after the change.
        role: Role,
        /// Term in which it holds.
        term: Term,
    },
}

#[derive(Debug)]
struct PendingCall {
    ticket: Ticket,
    caller: Caller,
    // The read-only request; `None` for a command, whose reply is the result of its application.
    read: Option<GroupRequest>,
    // Log index of the command, once it is known.
    index: Option<LogIndex>,
    // Whether the command changes the evacuated zones.
    is_evacuation: bool,
}

/// One replication group in a keeper.
pub struct Group {
    id: GroupId,
    replica: Replica,
    machine: StateMachine,
    last_ticket: Ticket,
    // By ticket, in ascending order.
    pending_calls: Vec<PendingCall>,
    // Replies of applied commands whose tickets are not known yet, by index in ascending order.
    buffered_replies: VecDeque<(LogIndex, GroupReply)>,
    // When the last action on a home group was proposed in this leadership.
    proposed_at: Option<Time>,
    // Length of the commands that were applied since the newest snapshot.
    applied_bytes: usize,
}

impl Group {
    /// Creates a group from a restored replica; `machine` holds the state of its snapshot.
    pub fn new(id: GroupId, replica: Replica, machine: StateMachine) -> Group {
        Group {
            id,
            replica,
            machine,
            last_ticket: 0,
            pending_calls: Vec::new(),
            buffered_replies: VecDeque::new(),
            proposed_at: None,
            applied_bytes: 0,
        }
    }

    /// The id that names this group in messages and in the data folder.
    pub fn id(&self) -> &GroupId {
        &self.id
    }

    /// The local replica: role, term, membership and log positions.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The state machine, with all entries that are applied here.
    pub fn state_machine(&self) -> &StateMachine {
        &self.machine
    }

    /// Whether this replica leads and no change of the evacuated zones is in progress, so that the state
    /// machine holds all of them.
    pub fn holds_all_evacuations(&self) -> bool {
        self.replica.has_newest_state() && !self.pending_calls.iter().any(|it| it.is_evacuation)
    }

    /// Whether the local replica is the leader.
    pub fn is_leader(&self) -> bool {
        self.replica.role() == Role::Leader
    }

    /// Advances the replica's timers to `now`. A leader whose disk lags transfers its leadership.
    ///
    /// # Errors
    ///
    /// Fails when a committed command or a snapshot can't be decoded.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) -> Result<(), StateMachineError> {
        self.run(now, Event::Tick, out)?;
        let is_behind = self.replica.storage_lag(now) > DISK_LAG_LIMIT;
        if is_behind && self.is_leader() && !self.replica.is_transferring() {
            self.transfer(now, out)?;
            if self.replica.is_transferring() {
                tracing::warn!(group = %self.id, "the disk is falling behind; transferring leadership");
            }
        }
        Ok(())
    }

    /// Handles a message of another member.
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

    /// Records that the batch with number `sequence` has been synced.
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

    /// Transfers the leadership to another voter, before this process stops.
    ///
    /// # Errors
    ///
    /// Fails when a committed command or a snapshot can't be decoded.
    pub fn transfer(&mut self, now: Time, out: &mut Vec<Output>) -> Result<(), StateMachineError> {
        self.run(now, Event::TransferLeadership, out)
    }

    /// Handles a call; its reply follows as an [`Output::Reply`], immediately or later.
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
        let is_evacuation = request.evacuation().is_some();
        let call = PendingCall { ticket, caller, read: None, index: None, is_evacuation };
        let Some(command) = self.command(now, &request) else {
            self.pending_calls.push(PendingCall { read: Some(request), ..call });
            return self.run(now, Event::Read { ticket }, out);
        };
        self.pending_calls.push(call);
        self.run(now, Event::Propose { ticket, command: command.into() }, out)
    }

    /// The encoded command of a request; `None` if the request is read-only.
    fn command(&mut self, now: Time, request: &GroupRequest) -> Option<Vec<u8>> {
        let command = match request {
            GroupRequest::Configure(command) => postcard::to_stdvec(command),
            GroupRequest::Act(action) => {
                let elapsed = self.time_since_last_proposal(now);
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

    /// Time since the previous action that this leadership proposed; zero for the first one.
    fn time_since_last_proposal(&mut self, now: Time) -> Duration {
        let previous = self.proposed_at.replace(now);
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
                self.applied_bytes += command.len();
                self.applied(index, reply, out);
            }
            Effect::Committed { ticket, index } => self.committed(ticket, index, out),
            Effect::Rejected { ticket, reason } => self.reject(ticket, &reason, out),
            Effect::ReadReady { ticket, .. } => self.read(ticket, out),
            Effect::InstallSnapshot { data, .. } => {
                self.machine.restore(&self.id, &data)?;
                self.applied_bytes = 0;
                out.push(Output::Applied);
            }
            Effect::RoleChanged { role, term } => {
                self.proposed_at = None;
                out.push(Output::RoleChanged { role, term });
            }
        }
        Ok(())
    }

    fn applied(&mut self, index: LogIndex, reply: GroupReply, out: &mut Vec<Output>) {
        out.push(Output::Applied);
        if let Some(at) = self.pending_calls.iter().position(|it| it.index == Some(index)) {
            let caller = self.pending_calls.remove(at).caller;
            out.push(Output::Reply { caller, reply });
            return;
        }
        if !self.is_leader() {
            return;
        }
        if self.buffered_replies.len() == MAX_BUFFERED_REPLIES {
            self.buffered_replies.pop_front();
        }
        self.buffered_replies.push_back((index, reply));
    }

    fn committed(&mut self, ticket: Ticket, index: LogIndex, out: &mut Vec<Output>) {
        let Some(at) = self.find_call(ticket) else { return };
        match self.buffered_replies.binary_search_by_key(&index, |it| it.0) {
            Ok(found) => {
                let reply = self.buffered_replies[found].1.clone();
                let caller = self.pending_calls.remove(at).caller;
                out.push(Output::Reply { caller, reply });
            }
            Err(_) => self.pending_calls[at].index = Some(index),
        }
    }

    fn reject(&mut self, ticket: Ticket, reason: &replication::Rejection, out: &mut Vec<Output>) {
        let Some(at) = self.find_call(ticket) else { return };
        let call = self.pending_calls.remove(at);
        let has_no_effect = reason.is_final() || call.read.is_some();
        let reply = match has_no_effect {
            true => GroupReply::NotLeader(self.replica.leader().cloned()),
            false => GroupReply::Uncertain,
        };
        out.push(Output::Reply { caller: call.caller, reply });
    }

    fn read(&mut self, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(at) = self.find_call(ticket) else { return };
        let call = self.pending_calls.remove(at);
        let reply = call.read.map_or(GroupReply::UnsupportedRequest, |it| self.machine.read(&it));
        out.push(Output::Reply { caller: call.caller, reply });
    }

    fn find_call(&self, ticket: Ticket) -> Option<usize> {
        self.pending_calls.binary_search_by_key(&ticket, |it| it.ticket).ok()
    }

    fn compact(&mut self, now: Time, out: &mut Vec<Output>) -> Result<(), StateMachineError> {
        let index = self.replica.applied();
        let max_bytes = self.replica.snapshot_bytes();
        let max_bytes = max_bytes.clamp(MIN_SNAPSHOT_INTERVAL_BYTES, MAX_SNAPSHOT_INTERVAL_BYTES);
        let is_due = index.0 >= self.replica.snapshot_index().0 + SNAPSHOT_INTERVAL_ENTRIES
            || self.applied_bytes >= max_bytes;
        if !is_due || !self.replica.can_compact(now) {
            return Ok(());
        }
        let snapshot = Bytes::from(self.machine.encode());
        tracing::info!(
            group = %self.id,
            index = index.0,
            snapshot_bytes = snapshot.len(),
            log_bytes = self.replica.log_bytes(),
            "log compacted"
        );
        self.applied_bytes = 0;
        self.run(now, Event::Compact { index, snapshot }, out)
    }
}

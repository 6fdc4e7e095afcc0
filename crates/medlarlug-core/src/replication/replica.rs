//! State of a replica, dispatch of events, persistence, and application of committed entries.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    ids::{InstanceId, LogIndex, Term},
    time::Time,
};

use super::{
    config::Config,
    event::{Effect, Event, Persist, Rejection, Role, StoredState, Ticket},
    formation::Applicant,
    leader::Leader,
    log::Log,
    membership::{FormationId, MemberKey, Membership},
    message::{Body, Entry, Envelope, HardState, Message, Payload},
    snapshot_transfer::IncomingSnapshot,
};

/// Role of a replica with the state that belongs to it.
#[derive(Debug)]
pub(super) enum State {
    Follower,
    /// Asks for pre-votes in the next term; holds the members that granted them.
    PreCandidate(Vec<MemberKey>),
    /// Asks for votes in the current term; holds the members that granted them.
    Candidate(Vec<MemberKey>),
    Leader(Leader),
}

/// Message to a member of the group, with the receiving instance.
#[derive(Debug)]
pub(super) struct Outgoing {
    to: InstanceId,
    envelope: Envelope,
}

/// Action that is deferred until storage has synced a batch.
#[derive(Debug)]
enum Deferred {
    Send(Outgoing),
    /// Counts the replica's own vote in this term.
    OwnVote(Term),
}

/// Batch that storage has not confirmed, with the last entry of the log at that time.
#[derive(Debug)]
struct Unsynced {
    sequence: u64,
    last: LogIndex,
    /// When it was handed to storage.
    since: Time,
}

/// One member of a replication group.
///
/// See the [module documentation](super) for the model.
#[derive(Debug)]
pub struct Replica {
    pub(super) config: Config,
    pub(super) rng: ChaCha8Rng,
    pub(super) hard: HardState,
    pub(super) log: Log,
    pub(super) state: State,
    pub(super) leader: Option<InstanceId>,
    /// When the replica last received a message from the leader.
    pub(super) leader_contact: Option<Time>,
    /// When to campaign next.
    pub(super) election_deadline: Time,
    /// When the replica last asked for pre-votes.
    pub(super) campaigned_at: Option<Time>,
    /// When to send the next hello.
    pub(super) next_hello: Time,
    /// Leader that the last hello named; receives the next hello.
    pub(super) leader_hint: Option<InstanceId>,
    /// Last hello of each instance.
    pub(super) applicants: Vec<Applicant>,
    pub(super) incoming: Option<IncomingSnapshot>,
    pub(super) commit: LogIndex,
    pub(super) applied: LogIndex,
    /// Last entry that storage has synced.
    pub(super) synced: LogIndex,
    /// Changes that have not been handed to storage.
    pub(super) dirty: Persist,
    /// Sequence number of the last batch handed to storage.
    sequence: u64,
    /// Sequence number of the last batch that storage has confirmed.
    persisted_sequence: u64,
    /// Sequence number of the batch that holds the newest term and vote.
    hard_sequence: u64,
    unsynced: VecDeque<Unsynced>,
    /// Deferred actions, each with the sequence number of the batch that it waits for.
    deferred: VecDeque<(u64, Deferred)>,
}

impl Replica {
    /// Creates a replica that continues from `restored`, which is empty for new storage. `seed` is for
    /// the random election timeouts and formation ids.
    ///
    /// The embedding program first restores its own state from `restored.snapshot`. Commands after the
    /// snapshot follow as [`Effect::Apply`] once they are known to be committed.
    ///
    /// ```
    /// use medlarlug_core::{replication::*, time::Time};
    ///
    /// let key = MemberKey { id: "keeper-1".parse().unwrap(), storage: StorageId(7) };
    /// let config = Config::new(key.clone(), vec![key.id]);
    /// let replica = Replica::new(config, StoredState::default(), 1, Time::ZERO);
    /// assert_eq!(replica.role(), Role::Follower);
    /// ```
    pub fn new(config: Config, restored: StoredState, seed: u64, now: Time) -> Replica {
        let hard = restored.hard.clone();
        let log = Log::new(restored);
        let base = log.snapshot_position().index;
        let last = log.last().index;
        let mut replica = Replica {
            config,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hard,
            log,
            state: State::Follower,
            leader: None,
            leader_contact: None,
            election_deadline: now,
            campaigned_at: None,
            next_hello: now,
            leader_hint: None,
            applicants: Vec::new(),
            incoming: None,
            commit: base,
            applied: base,
            synced: last,
            dirty: Persist::default(),
            sequence: 0,
            persisted_sequence: 0,
            hard_sequence: 0,
            unsynced: VecDeque::new(),
            deferred: VecDeque::new(),
        };
        replica.config.founders.sort();
        replica.config.founders.dedup();
        // The short timeout is safe. A working leader sends a message well before it ends, and members
        // that received one refuse the pre-vote. If the leader has failed,
        // the replica does not wait longer than needed.
        replica.reset_campaign_deadline(now);
        replica
    }

    /// Handles one event at the time `now` and appends its effects to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Message { from, message: Message::Hello(hello) } => {
                if hello.key.id == from {
                    self.on_hello(hello, now, out);
                }
            }
            Event::Message { from, message: Message::Group(envelope) } => {
                self.on_envelope(from, envelope, now, out);
            }
            Event::Propose { ticket, command } => self.propose(ticket, command, now, out),
            Event::Read { ticket } => self.read(ticket, now, out),
            Event::Persisted { sequence } => self.on_persisted(sequence, now, out),
            Event::ChangeMembership { ticket, change } => self.on_change(ticket, &change, now, out),
            Event::Compact { index, snapshot } => self.compact(index, snapshot, now),
            Event::TransferLeadership => self.transfer_leadership(now, out),
        }
        self.advance_commit(now, out);
        self.apply(now, out);
        self.serve_reads(now, out);
        self.flush(now, out);
    }

    /// Role in the current term. A replica that asks for pre-votes counts as a follower.
    pub fn role(&self) -> Role {
        match self.state {
            State::Follower | State::PreCandidate(_) => Role::Follower,
            State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// Highest term that the replica has seen.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Leader of the current term, if known.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref()
    }

    /// Whether the replica leads and has applied all entries of earlier terms, so that its state is the
    /// newest one up to what it has proposed itself.
    pub fn has_newest_state(&self) -> bool {
        match &self.state {
            State::Leader(leader) => self.applied >= leader.first_index,
            _ => false,
        }
    }

    /// Newest membership in the log, committed or not; `None` before the replica belongs to a group.
    pub fn membership(&self) -> Option<&Membership> {
        self.log.membership()
    }

    /// Last entry that the replica knows to be committed.
    pub fn committed(&self) -> LogIndex {
        self.commit
    }

    /// Last applied entry: its command was returned as [`Effect::Apply`], or a snapshot covers it.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Last entry of the log, synced and committed or not.
    pub fn last_index(&self) -> LogIndex {
        self.log.last().index
    }

    /// Last entry that the newest snapshot covers; zero without a snapshot.
    pub fn snapshot_index(&self) -> LogIndex {
        self.log.snapshot_position().index
    }

    /// Length of the newest snapshot in bytes; zero without a snapshot.
    pub fn snapshot_bytes(&self) -> usize {
        self.log.snapshot().map_or(0, |snapshot| snapshot.data.len())
    }

    /// How long storage has had the oldest batch that it has not synced; zero without one.
    pub fn storage_lag(&self, now: Time) -> Duration {
        self.unsynced.front().map_or(Duration::ZERO, |batch| now - batch.since)
    }

    /// Whether the replica leads and is transferring its leadership.
    pub fn is_transferring(&self) -> bool {
        matches!(&self.state, State::Leader(leader) if leader.is_transferring())
    }

    /// Payload of the entries in the log, in bytes, without the snapshot.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Whether [`Event::Compact`] is accepted: no member is receiving the present snapshot, or the log
    /// has grown so large that the transfer has to start over with a newer one.
    pub fn can_compact(&self, now: Time) -> bool {
        !self.is_sending_snapshot(now) || self.log.bytes() >= self.config.max_log_bytes / 2
    }

    pub(super) fn formation(&self) -> Option<FormationId> {
        self.log.membership().map(|members| members.formation)
    }

    pub(super) fn is_voter(&self) -> bool {
        self.log.membership().is_some_and(|members| members.is_voter(&self.config.key))
    }

    pub(super) fn reset_election_deadline(&mut self, now: Time) {
        let min = self.config.election_min;
        let spread = self.config.election_max.saturating_sub(min);
        self.election_deadline = now + min + spread.mul_f64(self.rng.random::<f64>());
    }

    /// Sets the deadline after a campaign of this replica; shorter, since no leader is expected.
    pub(super) fn reset_campaign_deadline(&mut self, now: Time) {
        let min = self.config.election_min;
        self.election_deadline = now + min.mul_f64(0.5 + 0.5 * self.rng.random::<f64>());
    }

    /// Whether the replica leads or received a message from a leader too recently to help replace it.
    pub(super) fn has_live_leader(&self, now: Time) -> bool {
        let min = self.config.election_min;
        matches!(self.state, State::Leader(_))
            || self.leader_contact.is_some_and(|heard| now - heard < min)
    }

    pub(super) fn set_term(&mut self, term: Term, vote: Option<MemberKey>) {
        self.hard = HardState { term, vote };
        self.dirty.hard = Some(self.hard.clone());
    }

    pub(super) fn become_follower(
        &mut self,
        term: Term,
        leader: Option<InstanceId>,
        now: Time,
        out: &mut Vec<Effect>,
    ) {
        if term > self.hard.term {
            self.set_term(term, None);
            self.incoming = None;
        }
        let old_role = self.role();
        let state = std::mem::replace(&mut self.state, State::Follower);
        self.leader = leader;
        if let State::Leader(leader) = state {
            self.reset_election_deadline(now);
            self.reject_pending(leader, out);
        }
        if old_role != Role::Follower {
            out.push(Effect::RoleChanged { role: Role::Follower, term: self.hard.term });
        }
    }

    /// Appends a new entry in the current term to the log.
    pub(super) fn append_as_leader(&mut self, payload: Payload) -> LogIndex {
        let index = self.log.last().index.next();
        let entry = Entry { index, term: self.hard.term, payload };
        self.log.append(entry.clone());
        self.dirty.entries.push(entry);
        index
    }

    /// Drops the entries at and after `index`, in memory and in storage.
    pub(super) fn truncate_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.dirty.cut = Some(index);
        self.limit_synced(LogIndex(index.0 - 1));
    }

    /// Corrects what is synced after the entries after `last` were dropped.
    pub(super) fn limit_synced(&mut self, last: LogIndex) {
        self.synced = self.synced.min(last);
        for batch in &mut self.unsynced {
            batch.last = batch.last.min(last);
        }
    }

    pub(super) fn envelope(&self, to: MemberKey, formation: FormationId, body: Body) -> Outgoing {
        let from = self.config.key.storage;
        let term = self.hard.term;
        let envelope = Envelope { formation, from, to: to.storage, term, body };
        Outgoing { to: to.id, envelope }
    }

    pub(super) fn send(&self, outgoing: Outgoing, out: &mut Vec<Effect>) {
        let Outgoing { to, envelope } = outgoing;
        out.push(Effect::Send { to, message: Message::Group(envelope) });
    }

    /// Sequence number of the batch whose sync covers all changes so far.
    fn needed_sequence(&self) -> u64 {
        match has_content(&self.dirty) {
            true => self.sequence + 1,
            false => self.sequence,
        }
    }

    /// Sends a message once all changes so far are synced.
    pub(super) fn send_after_sync(&mut self, outgoing: Outgoing, out: &mut Vec<Effect>) {
        let sequence = self.needed_sequence();
        if sequence <= self.persisted_sequence {
            return self.send(outgoing, out);
        }
        self.deferred.push_back((sequence, Deferred::Send(outgoing)));
    }

    pub(super) fn vote_self_after_sync(&mut self) {
        let sequence = self.needed_sequence();
        self.deferred.push_back((sequence, Deferred::OwnVote(self.hard.term)));
    }

    /// Whether the current term and vote are synced.
    pub(super) fn is_hard_state_synced(&self) -> bool {
        self.dirty.hard.is_none() && self.hard_sequence <= self.persisted_sequence
    }

    fn on_persisted(&mut self, sequence: u64, now: Time, out: &mut Vec<Effect>) {
        self.persisted_sequence = self.persisted_sequence.max(sequence.min(self.sequence));
        while let Some(batch) = self.unsynced.front() {
            if batch.sequence > self.persisted_sequence {
                break;
            }
            self.synced = batch.last;
            self.unsynced.pop_front();
        }
        while let Some((needed, _)) = self.deferred.front() {
            if *needed > self.persisted_sequence {
                break;
            }
            match self.deferred.pop_front() {
                Some((_, Deferred::Send(outgoing))) => self.send(outgoing, out),
                Some((_, Deferred::OwnVote(term))) => self.on_own_vote(term, now, out),
                None => {}
            }
        }
    }

    /// Sends pending appends to the members and hands pending changes to storage.
    fn flush(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.replicate_to_all(now, out);
        if !has_content(&self.dirty) {
            return;
        }
        self.sequence += 1;
        let mut batch = std::mem::take(&mut self.dirty);
        batch.sequence = self.sequence;
        if batch.hard.is_some() {
            self.hard_sequence = self.sequence;
        }
        let last = self.log.last().index;
        self.unsynced.push_back(Unsynced { sequence: self.sequence, last, since: now });
        out.push(Effect::Persist(batch));
    }

    /// Applies the entries that are committed and synced by this replica.
    fn apply(&mut self, now: Time, out: &mut Vec<Effect>) {
        let end = self.commit.min(self.synced);
        while self.applied < end {
            let index = self.applied.next();
            let Some(entry) = self.log.get(index) else {
                return;
            };
            if let Payload::Command(command) = &entry.payload {
                out.push(Effect::Apply { index, term: entry.term, command: command.clone() });
            }
            self.applied = index;
            self.complete_proposals(index, out);
        }
        self.step_down_if_removed(now, out);
    }

    fn compact(&mut self, index: LogIndex, data: Bytes, now: Time) {
        if index > self.applied || !self.can_compact(now) {
            return;
        }
        if let Some(snapshot) = self.log.compact(index, data) {
            self.dirty.snapshot = Some(snapshot);
        }
    }

    pub(super) fn reject(&self, ticket: Ticket, reason: Rejection, out: &mut Vec<Effect>) {
        out.push(Effect::Rejected { ticket, reason });
    }

    pub(super) fn not_leader(&self) -> Rejection {
        Rejection::NotLeader { leader: self.leader.clone() }
    }
}

fn has_content(batch: &Persist) -> bool {
    let Persist { sequence: _, hard, snapshot, cut, entries } = batch;
    hard.is_some() || snapshot.is_some() || cut.is_some() || !entries.is_empty()
}

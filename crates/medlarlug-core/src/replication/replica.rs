//! The replica: its state, the dispatch of events, persistence and commit.

use std::collections::VecDeque;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    ids::{InstanceId, LogIndex, Term},
    time::Time,
};

use super::{
    config::Config,
    event::{Effect, Event, Persist, Rejection, Restored, Role, Ticket},
    formation::Applicant,
    leader::Leader,
    log::Log,
    membership::{FormationId, MemberKey, Membership},
    message::{Body, Entry, Envelope, HardState, Message, Payload},
    snapshot_transfer::Incoming,
};

/// The part of a replica with the state that belongs to it.
#[derive(Debug)]
pub(super) enum State {
    Follower,
    /// Asks for permission to campaign in the next term.
    PreCandidate(Vec<MemberKey>),
    /// Asks for votes.
    Candidate(Vec<MemberKey>),
    Leader(Leader),
}

/// A message within the group and its receiver.
#[derive(Debug)]
pub(super) struct Outgoing {
    to: InstanceId,
    envelope: Envelope,
}

/// What waits for a sync.
#[derive(Debug)]
enum Held {
    Send(Outgoing),
    /// The replica's own vote in a term.
    OwnVote(Term),
}

/// A batch that storage has not confirmed.
#[derive(Debug)]
struct Unsynced {
    sequence: u64,
    last: LogIndex,
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
    /// When the leader was last heard.
    pub(super) heard: Option<Time>,
    /// When to campaign.
    pub(super) deadline: Time,
    /// When the replica last asked for permission to campaign.
    pub(super) campaigned: Option<Time>,
    /// When to introduce itself again.
    pub(super) greeting: Time,
    /// A leader that others have named to a replica that hears none.
    pub(super) hint: Option<InstanceId>,
    pub(super) applicants: Vec<Applicant>,
    pub(super) incoming: Option<Incoming>,
    pub(super) commit: LogIndex,
    pub(super) applied: LogIndex,
    /// Last entry that is synced.
    pub(super) synced: LogIndex,
    pub(super) dirty: Persist,
    /// Sequence number of the last batch handed to storage.
    sequence: u64,
    /// Last batch that storage has confirmed.
    confirmed: u64,
    /// Batch that holds the newest term and vote.
    hard_sequence: u64,
    unsynced: VecDeque<Unsynced>,
    held: VecDeque<(u64, Held)>,
}

impl Replica {
    /// A replica that goes on from `restored`, which is empty for new storage.
    ///
    /// The embedding program restores its own state from `restored.snapshot` first; the commands
    /// after the snapshot come as [`Effect::Apply`] once they are known to be committed.
    ///
    /// ```
    /// use medlarlug_core::{replication::*, time::Time};
    ///
    /// let key = MemberKey { id: "keeper-1".parse().unwrap(), storage: StorageId(7) };
    /// let config = Config::new(key.clone(), vec![key.id]);
    /// let replica = Replica::new(config, Restored::default(), 1, Time::ZERO);
    /// assert_eq!(replica.role(), Role::Follower);
    /// ```
    pub fn new(config: Config, restored: Restored, seed: u64, now: Time) -> Replica {
        let hard = restored.hard.clone();
        let log = Log::new(restored);
        let base = log.base().index;
        let last = log.last().index;
        let mut replica = Replica {
            config,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hard,
            log,
            state: State::Follower,
            leader: None,
            heard: None,
            deadline: now,
            campaigned: None,
            greeting: now,
            hint: None,
            applicants: Vec::new(),
            incoming: None,
            commit: base,
            applied: base,
            synced: last,
            dirty: Persist::default(),
            sequence: 0,
            confirmed: 0,
            hard_sequence: 0,
            unsynced: VecDeque::new(),
            held: VecDeque::new(),
        };
        replica.config.founders.sort();
        replica.config.founders.dedup();
        // A leader that stands is heard long before, and one that has fallen is not waited for:
        // nobody gives a pre-vote who has heard a leader.
        replica.retry_after(now);
        replica
    }

    /// Takes one event in at the moment `now` and appends its effects to `out`.
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
            Event::ChangeVoters { ticket, change } => self.change(ticket, &change, now, out),
            Event::Compact { index, snapshot } => self.compact(index, snapshot, now),
            Event::TransferLeadership => self.hand_over(now, out),
        }
        self.advance_commit(now, out);
        self.apply(now, out);
        self.serve_reads(now, out);
        self.flush(now, out);
    }

    /// The part that the replica plays.
    pub fn role(&self) -> Role {
        match self.state {
            State::Follower | State::PreCandidate(_) => Role::Follower,
            State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// The highest term that the replica knows.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// The leader, as far as known.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref()
    }

    /// The newest membership in the log; `None` before the replica belongs to a group.
    pub fn membership(&self) -> Option<&Membership> {
        self.log.members()
    }

    /// Last committed entry, as far as known.
    pub fn committed(&self) -> LogIndex {
        self.commit
    }

    /// Last applied entry.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Last entry of the log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last().index
    }

    /// Last entry that the newest snapshot covers.
    pub fn compacted(&self) -> LogIndex {
        self.log.base().index
    }

    pub(super) fn formation(&self) -> Option<FormationId> {
        self.log.members().map(|members| members.formation)
    }

    pub(super) fn is_voter(&self) -> bool {
        self.log.members().is_some_and(|members| members.is_voter(&self.config.key))
    }

    pub(super) fn reset_deadline(&mut self, now: Time) {
        let min = self.config.election_min;
        let spread = self.config.election_max.saturating_sub(min);
        self.deadline = now + min + spread.mul_f64(self.rng.random::<f64>());
    }

    /// Sets the deadline after a campaign of its own; shorter, since no leader is expected.
    pub(super) fn retry_after(&mut self, now: Time) {
        let min = self.config.election_min;
        self.deadline = now + min.mul_f64(0.5 + 0.5 * self.rng.random::<f64>());
    }

    /// Whether a leader was heard too recently to help replacing it.
    pub(super) fn has_live_leader(&self, now: Time) -> bool {
        let min = self.config.election_min;
        matches!(self.state, State::Leader(_)) || self.heard.is_some_and(|heard| now - heard < min)
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
            self.reset_deadline(now);
            self.abandon(leader, out);
        }
        if old_role != Role::Follower {
            out.push(Effect::RoleChanged { role: Role::Follower, term: self.hard.term });
        }
    }

    /// Appends an entry of the leader's own to the log.
    pub(super) fn append_own(&mut self, payload: Payload) -> LogIndex {
        let index = self.log.last().index.next();
        let entry = Entry { index, term: self.hard.term, payload };
        self.log.append(entry.clone());
        self.dirty.entries.push(entry);
        index
    }

    /// Drops the log from `index` on, in memory and in storage.
    pub(super) fn cut(&mut self, index: LogIndex) {
        self.log.cut(index);
        self.dirty.cut = Some(index);
        self.limit_synced(LogIndex(index.0 - 1));
    }

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

    fn needed_sequence(&self) -> u64 {
        match has_content(&self.dirty) {
            true => self.sequence + 1,
            false => self.sequence,
        }
    }

    /// Sends once everything written so far is synced.
    pub(super) fn send_synced(&mut self, outgoing: Outgoing, out: &mut Vec<Effect>) {
        let sequence = self.needed_sequence();
        if sequence <= self.confirmed {
            return self.send(outgoing, out);
        }
        self.held.push_back((sequence, Held::Send(outgoing)));
    }

    pub(super) fn vote_self_synced(&mut self) {
        let sequence = self.needed_sequence();
        self.held.push_back((sequence, Held::OwnVote(self.hard.term)));
    }

    /// Whether term and vote are synced.
    pub(super) fn is_hard_synced(&self) -> bool {
        self.dirty.hard.is_none() && self.hard_sequence <= self.confirmed
    }

    fn on_persisted(&mut self, sequence: u64, now: Time, out: &mut Vec<Effect>) {
        self.confirmed = self.confirmed.max(sequence.min(self.sequence));
        while let Some(batch) = self.unsynced.front() {
            if batch.sequence > self.confirmed {
                break;
            }
            self.synced = batch.last;
            self.unsynced.pop_front();
        }
        while let Some((needed, _)) = self.held.front() {
            if *needed > self.confirmed {
                break;
            }
            match self.held.pop_front() {
                Some((_, Held::Send(outgoing))) => self.send(outgoing, out),
                Some((_, Held::OwnVote(term))) => self.on_own_vote(term, now, out),
                None => {}
            }
        }
    }

    /// Hands what has changed to storage.
    fn flush(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.supply_all(now, out);
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
        self.unsynced.push_back(Unsynced { sequence: self.sequence, last });
        out.push(Effect::Persist(batch));
    }

    /// Applies what is committed and synced here.
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
            self.settle(index, out);
        }
        self.retire(now, out);
    }

    fn compact(&mut self, index: LogIndex, data: Vec<u8>, now: Time) {
        if index > self.applied || self.is_sending_snapshot(now) {
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

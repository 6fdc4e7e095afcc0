//! Leader: proposals, commits, linearizable reads, quorum checks and leadership transfer.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::{ids::LogIndex, time::Time};

use super::{
    event::{Effect, Rejection, Ticket},
    membership::MemberKey,
    message::{Body, Payload},
    progress::Progress,
    replica::{Replica, State},
};

/// Read that waits until a majority has confirmed its quorum round and `index` is applied.
#[derive(Debug)]
pub(super) struct PendingRead {
    ticket: Ticket,
    index: LogIndex,
    round: u64,
}

/// Leadership transfer to another voter, which ends at the deadline if it fails.
#[derive(Debug)]
pub(super) struct LeadershipTransfer {
    target: MemberKey,
    deadline: Time,
    is_sent: bool,
}

/// State of a leader.
#[derive(Debug)]
pub(super) struct Leader {
    /// The other members, sorted by key.
    pub(super) progress: Vec<Progress>,
    /// First entry of the leader's term.
    pub(super) first_index: LogIndex,
    /// Last entry of the term that a majority holds. Membership changes wait for this index and not for
    /// the commit index, since the commit may need a durable member that the change adds.
    pub(super) majority_index: LogIndex,
    /// Last quorum round that the leader has started.
    pub(super) round: u64,
    /// Last quorum round that a majority has confirmed.
    confirmed_round: u64,
    pending_reads: VecDeque<PendingRead>,
    /// Unanswered proposals and membership changes in log order.
    pending_proposals: VecDeque<(LogIndex, Ticket)>,
    next_heartbeat: Time,
    transfer: Option<LeadershipTransfer>,
}

impl Leader {
    pub(super) fn new(first_index: LogIndex, now: Time) -> Leader {
        Leader {
            progress: Vec::new(),
            first_index,
            majority_index: LogIndex(0),
            round: 0,
            confirmed_round: 0,
            pending_reads: VecDeque::new(),
            pending_proposals: VecDeque::new(),
            next_heartbeat: now,
            transfer: None,
        }
    }

    pub(super) fn progress(&self, key: &MemberKey) -> Option<&Progress> {
        let at = self.progress.binary_search_by(|progress| progress.key.cmp(key)).ok()?;
        Some(&self.progress[at])
    }

    pub(super) fn progress_mut(&mut self, key: &MemberKey) -> Option<&mut Progress> {
        let at = self.progress.binary_search_by(|progress| progress.key.cmp(key)).ok()?;
        Some(&mut self.progress[at])
    }

    /// Sets the time of the next heartbeat, for use when every member is sent a message now.
    fn set_next_heartbeat(&mut self, next: Time) {
        self.next_heartbeat = next;
    }

    pub(super) fn is_transferring(&self) -> bool {
        self.transfer.is_some()
    }

    pub(super) fn add_proposal(&mut self, index: LogIndex, ticket: Ticket) {
        self.pending_proposals.push_back((index, ticket));
    }
}

impl Replica {
    pub(super) fn propose(
        &mut self,
        ticket: Ticket,
        command: Bytes,
        _now: Time,
        out: &mut Vec<Effect>,
    ) {
        let limit = self.config.max_proposals;
        let max_bytes = self.config.max_log_bytes;
        let refusal = match &self.state {
            State::Leader(leader) if leader.is_transferring() => Some(Rejection::TransferPending),
            State::Leader(leader) if leader.pending_proposals.len() >= limit => {
                Some(Rejection::Busy { limit })
            }
            State::Leader(_) if self.log.bytes() >= max_bytes => {
                Some(Rejection::LogFull { limit: max_bytes })
            }
            State::Leader(_) => None,
            _ => Some(self.not_leader()),
        };
        if let Some(reason) = refusal {
            return self.reject(ticket, reason, out);
        }
        let index = self.append_as_leader(Payload::Command(command));
        if let State::Leader(leader) = &mut self.state {
            leader.add_proposal(index, ticket);
        }
    }

    /// Updates the leader's list of members to the newest membership.
    pub(super) fn track_members(&mut self, now: Time) {
        let last = self.log.last().index;
        let Some(members) = self.log.membership() else {
            return;
        };
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.progress.retain(|progress| members.get(&progress.key).is_some());
        for member in members.members() {
            let is_known = leader.progress(&member.key).is_some();
            if member.key != self.config.key && !is_known {
                leader.progress.push(Progress::new(member.key.clone(), last, now));
                leader.progress.sort_by(|a, b| a.key.cmp(&b.key));
            }
        }
    }

    pub(super) fn tick_leader(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.config.check_quorum && !self.has_quorum_contact(now) {
            return self.become_follower(self.hard.term, None, now, out);
        }
        self.reconcile_membership(now, out);
        let heartbeat = self.config.heartbeat_interval;
        self.with_leader(|replica, leader| {
            if now < leader.next_heartbeat {
                return;
            }
            leader.set_next_heartbeat(now + heartbeat);
            replica.send_heartbeats(leader, out);
        });
        self.drive_leadership_transfer(now, out);
    }

    fn has_quorum_contact(&self, now: Time) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        let limit = self.config.election_max;
        let is_in_contact = |key: &MemberKey| {
            let is_responsive = |progress: &Progress| now - progress.last_contact < limit;
            *key == self.config.key || leader.progress(key).is_some_and(is_responsive)
        };
        self.log.membership().is_some_and(|members| members.has_majority(is_in_contact))
    }

    /// Advances the majority index to the last entry of this term that a majority holds, and the commit
    /// index to the last one that also satisfies the rule for durable members.
    pub(super) fn advance_commit(&mut self, now: Time, out: &mut Vec<Effect>) {
        let (State::Leader(leader), Some(members)) = (&self.state, self.log.membership()) else {
            return;
        };
        let match_index = |key: &MemberKey| match *key == self.config.key {
            true => self.synced,
            false => leader.progress(key).map(|progress| progress.match_index).unwrap_or_default(),
        };
        let mut match_indexes: Vec<LogIndex> =
            members.voters().map(|m| match_index(&m.key)).collect();
        match_indexes.extend(members.members().iter().map(|member| match_index(&member.key)));
        match_indexes.sort();
        match_indexes.retain(|index| self.log.term_at(*index) == Some(self.hard.term));
        let is_held_by_majority =
            |index: &&LogIndex| members.has_majority(|key| match_index(key) >= **index);
        let is_committed =
            |index: &&LogIndex| members.has_commit_quorum(|key| match_index(key) >= **index);
        let majority_index =
            match_indexes.iter().rfind(is_held_by_majority).copied().unwrap_or_default();
        let commit = match_indexes.iter().rfind(is_committed).copied().unwrap_or_default();
        if let State::Leader(leader) = &mut self.state {
            leader.majority_index = leader.majority_index.max(majority_index);
        }
        if commit > self.commit {
            self.commit = commit;
            self.broadcast_commit(now, out);
        }
    }

    /// Sends the new commit index to the members, unless uncommitted entries will carry it.
    fn broadcast_commit(&mut self, now: Time, out: &mut Vec<Effect>) {
        let last = self.log.last().index;
        if self.commit < last {
            return;
        }
        let next = now + self.config.heartbeat_interval;
        self.with_leader(|replica, leader| {
            leader.set_next_heartbeat(next);
            replica.send_heartbeats(leader, out);
        });
    }

    /// Answers the proposals up to the applied entry `index` as committed.
    pub(super) fn complete_proposals(&mut self, index: LogIndex, out: &mut Vec<Effect>) {
        if let State::Leader(leader) = &mut self.state {
            while let Some((at, ticket)) = leader.pending_proposals.front().copied() {
                if at > index {
                    return;
                }
                leader.pending_proposals.pop_front();
                out.push(Effect::Committed { ticket, index: at });
            }
        }
    }

    /// Rejects the unanswered proposals and reads of a leader that steps down.
    pub(super) fn reject_pending(&mut self, leader: Leader, out: &mut Vec<Effect>) {
        for (_, ticket) in leader.pending_proposals {
            let reason = Rejection::LeadershipLost { leader: self.leader.clone() };
            self.reject(ticket, reason, out);
        }
        for read in leader.pending_reads {
            self.reject(read.ticket, self.not_leader(), out);
        }
    }

    /// Steps down once a membership in which this replica has no vote is applied.
    pub(super) fn step_down_if_removed(&mut self, now: Time, out: &mut Vec<Effect>) {
        let is_settled = self.log.membership_index() <= self.applied;
        if matches!(self.state, State::Leader(_)) && is_settled && !self.is_voter() {
            self.become_follower(self.hard.term, None, now, out);
        }
    }

    pub(super) fn read(&mut self, ticket: Ticket, now: Time, out: &mut Vec<Effect>) {
        let commit = self.commit;
        let State::Leader(leader) = &mut self.state else {
            return self.reject(ticket, self.not_leader(), out);
        };
        let index = commit.max(leader.first_index);
        let round = leader.round + 1;
        let is_idle = leader.confirmed_round == leader.round;
        leader.pending_reads.push_back(PendingRead { ticket, index, round });
        if is_idle {
            self.start_quorum_round(now, out);
        }
    }

    /// Asks every member to confirm that this replica still leads, by a heartbeat with a new round.
    pub(super) fn start_quorum_round(&mut self, now: Time, out: &mut Vec<Effect>) {
        let next = now + self.config.heartbeat_interval;
        self.with_leader(|replica, leader| {
            leader.round += 1;
            leader.set_next_heartbeat(next);
            replica.send_heartbeats(leader, out);
        });
    }

    pub(super) fn serve_reads(&mut self, now: Time, out: &mut Vec<Effect>) {
        let applied = self.applied;
        let own = self.config.key.clone();
        let (State::Leader(leader), Some(members)) = (&mut self.state, self.log.membership())
        else {
            return;
        };
        let round = leader.round;
        let confirms = |key: &MemberKey| {
            *key == own
                || leader.progress(key).is_some_and(|progress| progress.confirmed_round >= round)
        };
        if members.has_majority(confirms) {
            leader.confirmed_round = round;
        }
        while let Some(read) = leader.pending_reads.front() {
            if read.round > leader.confirmed_round || read.index > applied {
                break;
            }
            out.push(Effect::ReadReady { ticket: read.ticket, index: read.index });
            leader.pending_reads.pop_front();
        }
        let needs_round = leader.pending_reads.back().is_some_and(|read| read.round > round);
        if needs_round && leader.confirmed_round == round {
            self.start_quorum_round(now, out);
            if has_single_voter(self) {
                self.serve_reads(now, out);
            }
        }
    }

    pub(super) fn transfer_leadership(&mut self, now: Time, out: &mut Vec<Effect>) {
        let deadline = now + self.config.election_min;
        let limit = self.config.election_min;
        let (State::Leader(leader), Some(members)) = (&mut self.state, self.log.membership())
        else {
            return;
        };
        let is_eligible = |p: &&Progress| members.is_voter(&p.key) && now - p.last_contact < limit;
        let best =
            leader.progress.iter().filter(is_eligible).max_by_key(|progress| progress.match_index);
        if let Some(progress) = best {
            let target = progress.key.clone();
            leader.transfer = Some(LeadershipTransfer { target, deadline, is_sent: false });
        }
        self.drive_leadership_transfer(now, out);
    }

    pub(super) fn drive_leadership_transfer(&mut self, now: Time, out: &mut Vec<Effect>) {
        let last = self.log.last().index;
        let formation = self.formation();
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(transfer) = &mut leader.transfer else {
            return;
        };
        if now >= transfer.deadline {
            leader.transfer = None;
            return;
        }
        let target = transfer.target.clone();
        let has_full_log =
            |progress: &Progress| progress.key == target && progress.match_index == last;
        if transfer.is_sent || !leader.progress.iter().any(has_full_log) {
            return;
        }
        transfer.is_sent = true;
        if let Some(formation) = formation {
            // The target has synced the whole log. Nothing waits for the storage of this replica, which may
            // be the reason for the transfer.
            let envelope = self.envelope(target, formation, Body::Campaign);
            self.send(envelope, out);
        }
    }
}

fn has_single_voter(replica: &Replica) -> bool {
    replica.log.membership().is_some_and(|members| members.voters().count() == 1)
}

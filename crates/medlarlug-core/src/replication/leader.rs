//! A leader's work: proposals, commit, reads, the quorum check and handing over.

use std::collections::VecDeque;

use crate::{ids::LogIndex, time::Time};

use super::{
    event::{Effect, Rejection, Ticket},
    membership::MemberKey,
    message::{Body, Payload},
    progress::Progress,
    replica::{Replica, State},
};

/// A read that waits for its quorum round.
#[derive(Debug)]
pub(super) struct PendingRead {
    ticket: Ticket,
    index: LogIndex,
    round: u64,
}

/// Leadership on its way to another member.
#[derive(Debug)]
pub(super) struct Handover {
    target: MemberKey,
    deadline: Time,
    is_sent: bool,
}

/// State of a leader.
#[derive(Debug)]
pub(super) struct Leader {
    /// The other members, sorted by key.
    pub(super) progress: Vec<Progress>,
    /// The first entry of the leader's term.
    pub(super) first: LogIndex,
    /// Last entry that a majority holds; changes of the membership build on it, since a commit may
    /// have to wait for a durable member that they bring in.
    pub(super) agreed: LogIndex,
    /// Number of the last quorum round that was begun.
    pub(super) round: u64,
    confirmed: u64,
    reads: VecDeque<PendingRead>,
    tickets: VecDeque<(LogIndex, Ticket)>,
    heartbeat: Time,
    handover: Option<Handover>,
}

impl Leader {
    pub(super) fn new(first: LogIndex, now: Time) -> Leader {
        Leader {
            progress: Vec::new(),
            first,
            agreed: LogIndex(0),
            round: 0,
            confirmed: 0,
            reads: VecDeque::new(),
            tickets: VecDeque::new(),
            heartbeat: now,
            handover: None,
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

    /// Sets the time of the next heartbeat, as every member is just being sent a message.
    fn beat_after(&mut self, next: Time) {
        self.heartbeat = next;
    }

    pub(super) fn is_handing_over(&self) -> bool {
        self.handover.is_some()
    }

    pub(super) fn add_ticket(&mut self, index: LogIndex, ticket: Ticket) {
        self.tickets.push_back((index, ticket));
    }
}

impl Replica {
    pub(super) fn propose(
        &mut self,
        ticket: Ticket,
        command: Vec<u8>,
        _now: Time,
        out: &mut Vec<Effect>,
    ) {
        let limit = self.config.max_proposals;
        let refusal = match &self.state {
            State::Leader(leader) if leader.is_handing_over() => {
                Some(Rejection::TransferringLeadership)
            }
            State::Leader(leader) if leader.tickets.len() >= limit => {
                Some(Rejection::Busy { limit })
            }
            State::Leader(_) => None,
            _ => Some(self.not_leader()),
        };
        if let Some(reason) = refusal {
            return self.reject(ticket, reason, out);
        }
        let index = self.append_own(Payload::Command(command));
        if let State::Leader(leader) = &mut self.state {
            leader.add_ticket(index, ticket);
        }
    }

    /// Follows the newest membership with the leader's list of members.
    pub(super) fn track_members(&mut self, now: Time) {
        let last = self.log.last().index;
        let Some(members) = self.log.members() else {
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
        if self.config.check_quorum && !self.hears_quorum(now) {
            return self.become_follower(self.hard.term, None, now, out);
        }
        self.reconcile(now, out);
        let heartbeat = self.config.heartbeat_interval;
        self.with_leader(|replica, leader| {
            if now < leader.heartbeat {
                return;
            }
            leader.beat_after(now + heartbeat);
            replica.heartbeat(leader, out);
        });
        self.drive_handover(now, out);
    }

    fn hears_quorum(&self, now: Time) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        let limit = self.config.election_timeout_max;
        let hears = |key: &MemberKey| {
            let is_heard = |progress: &Progress| now - progress.heard < limit;
            *key == self.config.key || leader.progress(key).is_some_and(is_heard)
        };
        self.log.members().is_some_and(|members| members.has_majority(hears))
    }

    /// Moves the agreed index to the last entry of this term that a majority holds, and the commit
    /// index to the last one that satisfies the rule for durable members as well.
    pub(super) fn advance_commit(&mut self, now: Time, out: &mut Vec<Effect>) {
        let (State::Leader(leader), Some(members)) = (&self.state, self.log.members()) else {
            return;
        };
        let matched = |key: &MemberKey| match *key == self.config.key {
            true => self.synced,
            false => leader.progress(key).map(|progress| progress.matched).unwrap_or_default(),
        };
        let mut ends: Vec<LogIndex> = members.voters().map(|m| matched(&m.key)).collect();
        ends.extend(members.members().iter().map(|member| matched(&member.key)));
        ends.sort();
        ends.retain(|end| self.log.term_at(*end) == Some(self.hard.term));
        let is_agreed = |end: &&LogIndex| members.has_majority(|key| matched(key) >= **end);
        let is_committed = |end: &&LogIndex| members.has_commit_quorum(|key| matched(key) >= **end);
        let agreed = ends.iter().rfind(is_agreed).copied().unwrap_or_default();
        let commit = ends.iter().rfind(is_committed).copied().unwrap_or_default();
        if let State::Leader(leader) = &mut self.state {
            leader.agreed = leader.agreed.max(agreed);
        }
        if commit > self.commit {
            self.commit = commit;
            self.announce_commit(now, out);
        }
    }

    /// Tells the members of a new commit index when nothing else is on its way to them.
    fn announce_commit(&mut self, now: Time, out: &mut Vec<Effect>) {
        let last = self.log.last().index;
        if self.commit < last {
            return;
        }
        let next = now + self.config.heartbeat_interval;
        self.with_leader(|replica, leader| {
            leader.beat_after(next);
            replica.heartbeat(leader, out);
        });
    }

    /// Answers the proposals up to the applied entry `index`.
    pub(super) fn settle(&mut self, index: LogIndex, out: &mut Vec<Effect>) {
        if let State::Leader(leader) = &mut self.state {
            while let Some((at, ticket)) = leader.tickets.front().copied() {
                if at > index {
                    return;
                }
                leader.tickets.pop_front();
                out.push(Effect::Committed { ticket, index: at });
            }
        }
    }

    /// Answers what a former leader leaves open.
    pub(super) fn abandon(&mut self, leader: Leader, out: &mut Vec<Effect>) {
        for (_, ticket) in leader.tickets {
            let reason = Rejection::LeadershipLost { leader: self.leader.clone() };
            self.reject(ticket, reason, out);
        }
        for read in leader.reads {
            self.reject(read.ticket, self.not_leader(), out);
        }
    }

    /// Steps down when the membership without this replica is committed.
    pub(super) fn retire(&mut self, now: Time, out: &mut Vec<Effect>) {
        let is_settled = self.log.members_index() <= self.applied;
        if matches!(self.state, State::Leader(_)) && is_settled && !self.is_voter() {
            self.become_follower(self.hard.term, None, now, out);
        }
    }

    pub(super) fn read(&mut self, ticket: Ticket, now: Time, out: &mut Vec<Effect>) {
        let commit = self.commit;
        let State::Leader(leader) = &mut self.state else {
            return self.reject(ticket, self.not_leader(), out);
        };
        let index = commit.max(leader.first);
        let round = leader.round + 1;
        let is_idle = leader.confirmed == leader.round;
        leader.reads.push_back(PendingRead { ticket, index, round });
        if is_idle {
            self.start_round(now, out);
        }
    }

    /// Asks every member to confirm that this replica still leads.
    pub(super) fn start_round(&mut self, now: Time, out: &mut Vec<Effect>) {
        let next = now + self.config.heartbeat_interval;
        self.with_leader(|replica, leader| {
            leader.round += 1;
            leader.beat_after(next);
            replica.heartbeat(leader, out);
        });
    }

    pub(super) fn serve_reads(&mut self, now: Time, out: &mut Vec<Effect>) {
        let applied = self.applied;
        let own = self.config.key.clone();
        let (State::Leader(leader), Some(members)) = (&mut self.state, self.log.members()) else {
            return;
        };
        let round = leader.round;
        let confirms = |key: &MemberKey| {
            *key == own || leader.progress(key).is_some_and(|progress| progress.round >= round)
        };
        if members.has_majority(confirms) {
            leader.confirmed = round;
        }
        while let Some(read) = leader.reads.front() {
            if read.round > leader.confirmed || read.index > applied {
                break;
            }
            out.push(Effect::ReadReady { ticket: read.ticket, index: read.index });
            leader.reads.pop_front();
        }
        let wants_round = leader.reads.back().is_some_and(|read| read.round > round);
        if wants_round && leader.confirmed == round {
            self.start_round(now, out);
            if members_are_alone(self) {
                self.serve_reads(now, out);
            }
        }
    }

    pub(super) fn hand_over(&mut self, now: Time, out: &mut Vec<Effect>) {
        let deadline = now + self.config.election_timeout_min;
        let limit = self.config.election_timeout_min;
        let (State::Leader(leader), Some(members)) = (&mut self.state, self.log.members()) else {
            return;
        };
        let is_fit = |p: &&Progress| members.is_voter(&p.key) && now - p.heard < limit;
        let best = leader.progress.iter().filter(is_fit).max_by_key(|progress| progress.matched);
        if let Some(progress) = best {
            let target = progress.key.clone();
            leader.handover = Some(Handover { target, deadline, is_sent: false });
        }
        self.drive_handover(now, out);
    }

    pub(super) fn drive_handover(&mut self, now: Time, out: &mut Vec<Effect>) {
        let last = self.log.last().index;
        let formation = self.formation();
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(handover) = &mut leader.handover else {
            return;
        };
        if now >= handover.deadline {
            leader.handover = None;
            return;
        }
        let target = handover.target.clone();
        let is_level = |progress: &Progress| progress.key == target && progress.matched == last;
        if handover.is_sent || !leader.progress.iter().any(is_level) {
            return;
        }
        handover.is_sent = true;
        if let Some(formation) = formation {
            let envelope = self.envelope(target, formation, Body::Campaign);
            self.send_synced(envelope, out);
        }
    }
}

fn members_are_alone(replica: &Replica) -> bool {
    replica.log.members().is_some_and(|members| members.voters().count() == 1)
}

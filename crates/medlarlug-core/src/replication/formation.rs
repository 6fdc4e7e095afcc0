//! Formation of a group, membership changes, and readmission of members that lost their storage.

use std::time::Duration;

use rand::RngExt;

use crate::{
    ids::{InstanceId, LogIndex, Term},
    time::Time,
};

use super::{
    event::{Effect, Rejection, Ticket},
    membership::{Change, FormationId, Member, MemberKey, MemberRole, Membership},
    message::{Entry, Hello, Message, Payload},
    replica::{Replica, State},
};

/// Most members of an open group; further instances are not admitted.
const MAX_OPEN_GROUP_MEMBERS: usize = 9;

/// Time without an answer after which a member without a vote is removed, as a multiple of the time
/// after which a voter is replaced.
const LEARNER_REMOVAL_FACTOR: u32 = 4;

/// Heartbeat intervals without an answer after which a member is removed if its instance has returned
/// with new storage.
const UNRESPONSIVE_HEARTBEATS: u32 = 3;

/// Instance that has sent a hello.
#[derive(Debug)]
pub(super) struct Applicant {
    hello: Hello,
    received_at: Time,
}

impl Replica {
    /// Sends a hello to the founders, and to a leader that was named, while no leader sends messages.
    pub(super) fn send_hellos(&mut self, now: Time, out: &mut Vec<Effect>) {
        let limit = self.config.election_max;
        let has_leader = self.leader_contact.is_some_and(|heard| now - heard < limit);
        if has_leader || now < self.next_hello {
            return;
        }
        self.next_hello = now + self.config.heartbeat_interval;
        let hint = self.leader_hint.take().filter(|hint| !self.config.founders.contains(hint));
        for to in self.config.founders.iter().chain(&hint) {
            if *to != self.config.key.id {
                let message = Message::Hello(self.hello(to));
                out.push(Effect::Send { to: to.clone(), message });
            }
        }
    }

    fn hello(&self, to: &InstanceId) -> Hello {
        let known = self.applicants.iter().find(|applicant| applicant.hello.key.id == *to);
        Hello {
            key: self.config.key.clone(),
            durable: self.config.durable,
            formation: self.formation(),
            leader: self.leader.clone(),
            heard: known.map(|applicant| applicant.hello.key.storage),
            founders: self.config.founders.clone(),
        }
    }

    pub(super) fn on_hello(&mut self, hello: Hello, now: Time, out: &mut Vec<Effect>) {
        let is_non_member =
            self.log.membership().is_some_and(|members| members.get(&hello.key).is_none());
        let lacks_leader = hello.leader.is_none();
        if !lacks_leader {
            self.leader_hint.clone_from(&hello.leader);
        }
        self.applicants.retain(|applicant| applicant.hello.key.id != hello.key.id);
        let to = hello.key.id.clone();
        self.applicants.push(Applicant { hello, received_at: now });
        if is_non_member && lacks_leader && self.leader.is_some() {
            let message = Message::Hello(self.hello(&to));
            out.push(Effect::Send { to, message });
        }
    }

    /// Forms the group if this is the first founder and every founder has new storage.
    pub(super) fn try_form_group(&mut self, now: Time) {
        let founders = &self.config.founders;
        let is_first = founders.first() == Some(&self.config.key.id);
        let is_unformed = self.log.last().index == LogIndex(0) && self.log.membership().is_none();
        if !self.config.may_form || !is_first || !is_unformed || self.hard.term > Term(0) {
            return;
        }
        let voter = |key: &MemberKey, durable| Member {
            key: key.clone(),
            role: MemberRole::Voter,
            durable,
        };
        let mut members = vec![voter(&self.config.key, self.config.durable)];
        for founder in &founders[1..] {
            let Some(hello) = self.new_founder_hello(founder, now) else {
                return;
            };
            members.push(voter(&hello.key, hello.durable));
        }
        let formation = FormationId(self.rng.random());
        let payload = Payload::Members(Membership::new(formation, members));
        let entry = Entry { index: LogIndex(1), term: Term(1), payload };
        self.set_term(Term(1), Some(self.config.key.clone()));
        self.log.append(entry.clone());
        self.dirty.entries.push(entry);
        self.election_deadline = now;
    }

    /// Hello that proves that the founder `id` has new storage and answers this replica.
    fn new_founder_hello(&self, id: &InstanceId, now: Time) -> Option<&Hello> {
        let limit = self.config.election_max;
        let applicant = self.applicants.iter().find(|a| a.hello.key.id == *id)?;
        let hello = &applicant.hello;
        let is_unformed = hello.formation.is_none() && hello.founders == self.config.founders;
        let is_answer = hello.heard == Some(self.config.key.storage);
        (is_unformed && is_answer && now - applicant.received_at < limit).then_some(hello)
    }

    pub(super) fn on_change(
        &mut self,
        ticket: Ticket,
        change: &Change,
        now: Time,
        out: &mut Vec<Effect>,
    ) {
        match self.try_change_membership(change, now) {
            Ok(index) => {
                if let State::Leader(leader) = &mut self.state {
                    leader.add_proposal(index, ticket);
                }
            }
            Err(reason) => self.reject(ticket, reason, out),
        }
    }

    fn try_change_membership(&mut self, change: &Change, now: Time) -> Result<LogIndex, Rejection> {
        let State::Leader(leader) = &self.state else {
            return Err(self.not_leader());
        };
        if leader.is_transferring() {
            return Err(Rejection::TransferPending);
        }
        let is_settled =
            self.log.membership_index().max(leader.first_index) <= leader.majority_index;
        if !is_settled {
            return Err(Rejection::ChangePending);
        }
        if let Change::Promote(key) = change
            && !self.is_caught_up(key, now)
        {
            return Err(Rejection::NotCaughtUp { key: key.clone() });
        }
        let members = self.log.membership().and_then(|members| members.with_change(change));
        let members = members.ok_or(Rejection::InvalidChange)?;
        let index = self.append_as_leader(Payload::Members(members));
        self.track_members(now);
        Ok(index)
    }

    fn is_caught_up(&self, key: &MemberKey, now: Time) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        leader.progress(key).is_some_and(|progress| {
            let is_responsive =
                progress.has_answered && now - progress.last_contact < self.config.election_min;
            is_responsive && progress.match_index >= leader.majority_index.max(self.commit)
        })
    }

    /// Begins the next membership change, if one is due. A member that lost its storage is added under
    /// the new one, catches up, its predecessor is removed, and it is promoted.
    pub(super) fn reconcile_membership(&mut self, now: Time, _out: &mut Vec<Effect>) {
        let change = self.next_replacement_change(now).or_else(|| self.next_open_change(now));
        if let Some(change) = change {
            // A rejected change is retried at the next tick.
            let _ = self.try_change_membership(&change, now);
        }
    }

    /// Next step towards replacing a member whose instance returned with new storage.
    fn next_replacement_change(&self, now: Time) -> Option<Change> {
        let members = self.log.membership()?;
        let applicant = self.applicants.iter().find_map(|applicant| {
            let is_fresh = now - applicant.received_at < self.config.election_max;
            is_fresh.then(|| self.admitted_member(&applicant.hello, members)).flatten()
        });
        if let Some(member) = applicant {
            return Some(Change::Add(member));
        }
        let joining = members.members().iter().find(|member| {
            let has_other = self.has_other_storage(member, members);
            let is_unfinished = has_other || member.role == MemberRole::Joining;
            is_unfinished && self.is_caught_up(&member.key, now)
        })?;
        if let Some(old) = self.predecessor(joining, members, now) {
            return Some(Change::Remove(old.key.clone()));
        }
        let is_only_storage = !self.has_other_storage(joining, members);
        is_only_storage.then(|| Change::Promote(joining.key.clone()))
    }

    /// In an open group: promotes a member without a vote while voters are missing or one is
    /// unresponsive, then removes the unresponsive voter.
    fn next_open_change(&self, now: Time) -> Option<Change> {
        let target = self.config.target_voters?;
        let members = self.log.membership()?;
        let limit = self.config.replace_after;
        let is_unresponsive = |member: &Member, limit: Duration| {
            member.key != self.config.key && self.time_since_contact(&member.key, now) >= limit
        };
        let unresponsive = members.voters().find(|voter| is_unresponsive(voter, limit));
        let count = members.voters().count();
        if count > target
            && let Some(unresponsive) = unresponsive
        {
            return Some(Change::Remove(unresponsive.key.clone()));
        }
        let mut learners = members.members().iter().filter(|it| it.role == MemberRole::Learner);
        let caught_up = learners.clone().find(|it| self.is_caught_up(&it.key, now));
        if let Some(caught_up) = caught_up
            && (count < target || unresponsive.is_some())
        {
            return Some(Change::Promote(caught_up.key.clone()));
        }
        let stale = learners.find(|it| is_unresponsive(it, limit * LEARNER_REMOVAL_FACTOR))?;
        Some(Change::Remove(stale.key.clone()))
    }

    /// Time since the leader last received a message from a member.
    fn time_since_contact(&self, key: &MemberKey, now: Time) -> Duration {
        let State::Leader(leader) = &self.state else { return Duration::ZERO };
        leader.progress(key).map_or(Duration::ZERO, |progress| now - progress.last_contact)
    }

    /// Member to add for an instance with new storage; `None` if it is not to be admitted.
    fn admitted_member(&self, hello: &Hello, members: &Membership) -> Option<Member> {
        let is_of_other_group = hello.formation.is_some_and(|own| own != members.formation);
        if is_of_other_group
            || members.get(&hello.key).is_some()
            || hello.key.id == self.config.key.id
        {
            return None;
        }
        let mut old = members.members().iter().filter(|m| m.key.id == hello.key.id).peekable();
        let is_new_instance = old.peek().is_none();
        let is_full = members.members().len() >= MAX_OPEN_GROUP_MEMBERS;
        if is_new_instance && (self.config.target_voters.is_none() || is_full) {
            return None;
        }
        let role = match old.any(|member| member.role != MemberRole::Learner) {
            true => MemberRole::Joining,
            false => MemberRole::Learner,
        };
        Some(Member { key: hello.key.clone(), role, durable: hello.durable })
    }

    /// Unresponsive member with the same instance as `member` and another storage.
    fn predecessor<'a>(
        &self,
        member: &Member,
        members: &'a Membership,
        now: Time,
    ) -> Option<&'a Member> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        let limit = self.config.heartbeat_interval * UNRESPONSIVE_HEARTBEATS;
        members.members().iter().find(|other| {
            let progress = leader.progress(&other.key);
            let is_unresponsive =
                progress.is_some_and(|progress| now - progress.last_contact >= limit);
            other.key.id == member.key.id && other.key != member.key && is_unresponsive
        })
    }

    /// Whether the instance of `member` is a member with another storage as well.
    fn has_other_storage(&self, member: &Member, members: &Membership) -> bool {
        let is_other = |m: &Member| m.key.id == member.key.id && m.key != member.key;
        members.members().iter().any(is_other)
    }
}

//! Elections: election timer, pre-vote, vote, and dispatch of messages by their term.

use crate::{
    ids::{InstanceId, Term},
    time::Time,
};

use super::{
    event::{Effect, Role},
    leader::Leader,
    membership::{FormationId, MemberKey},
    message::{Body, Envelope, Payload, Position},
    replica::{Replica, State},
};

impl Replica {
    pub(super) fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        if matches!(self.state, State::Leader(_)) {
            return self.tick_leader(now, out);
        }
        self.send_hellos(now, out);
        self.try_form_group(now);
        if now >= self.election_deadline && self.may_campaign() {
            self.reset_campaign_deadline(now);
            self.campaign(now, out);
        }
    }

    /// Whether the replica has a vote, or had one and does not know yet that its removal is committed.
    /// In the latter case the group may need entries that only this replica holds.
    fn may_campaign(&self) -> bool {
        self.log.is_voter_since(self.commit, &self.config.key)
    }

    fn campaign(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.config.pre_vote {
            return self.start_election(false, now, out);
        }
        self.leader = None;
        self.campaigned_at = Some(now);
        let old_role = self.role();
        self.state = State::PreCandidate(vec![self.config.key.clone()]);
        if old_role != Role::Follower {
            out.push(Effect::RoleChanged { role: Role::Follower, term: self.hard.term });
        }
        let body = Body::PreVote { term: self.hard.term.next(), last: self.log.last() };
        self.send_to_voters(body, false, out);
        self.count_pre_votes(now, out);
    }

    /// Raises the term and asks for votes. `handover` says that the leader transferred leadership.
    pub(super) fn start_election(&mut self, handover: bool, now: Time, out: &mut Vec<Effect>) {
        let own = self.config.key.clone();
        self.set_term(self.hard.term.next(), Some(own));
        self.leader = None;
        self.state = State::Candidate(Vec::new());
        self.incoming = None;
        self.reset_campaign_deadline(now);
        out.push(Effect::RoleChanged { role: Role::Candidate, term: self.hard.term });
        self.vote_self_after_sync();
        let body = Body::Vote { last: self.log.last(), handover };
        self.send_to_voters(body, true, out);
    }

    fn send_to_voters(&mut self, body: Body, synced: bool, out: &mut Vec<Effect>) {
        let Some(members) = self.log.membership() else {
            return;
        };
        let own = &self.config.key;
        let others: Vec<MemberKey> =
            members.voters().map(|m| m.key.clone()).filter(|key| key != own).collect();
        let formation = members.formation;
        for key in others {
            let envelope = self.envelope(key, formation, body.clone());
            match synced {
                true => self.send_after_sync(envelope, out),
                false => self.send(envelope, out),
            }
        }
    }

    pub(super) fn on_pre_vote(
        &mut self,
        requester: (MemberKey, FormationId),
        term: Term,
        last: Position,
        now: Time,
        out: &mut Vec<Effect>,
    ) {
        let is_new = term > self.hard.term && last >= self.log.last();
        let yields = !self.takes_precedence(&requester.0, last, now);
        let granted = is_new && yields && !self.has_live_leader(now);
        let answer = self.envelope(requester.0, requester.1, Body::PreVoted { term, granted });
        self.send(answer, out);
    }

    /// Whether the replica has recently asked for pre-votes itself and goes before `requester`.
    ///
    /// Otherwise two members that ask at the same time would both get pre-votes and then split the
    /// votes.
    fn takes_precedence(&self, requester: &MemberKey, last: Position, now: Time) -> bool {
        let is_asking = matches!(self.state, State::PreCandidate(_));
        let limit = self.config.election_min / 2;
        let is_recent = self.campaigned_at.is_some_and(|started| now - started < limit);
        is_asking && is_recent && (self.log.last(), &self.config.key) > (last, requester)
    }

    pub(super) fn on_pre_voted(
        &mut self,
        from: MemberKey,
        term: Term,
        now: Time,
        out: &mut Vec<Effect>,
    ) {
        let next = self.hard.term.next();
        if let State::PreCandidate(votes) = &mut self.state
            && term == next
            && !votes.contains(&from)
        {
            votes.push(from);
            self.count_pre_votes(now, out);
        }
    }

    fn count_pre_votes(&mut self, now: Time, out: &mut Vec<Effect>) {
        if let State::PreCandidate(votes) = &self.state
            && self.log.membership().is_some_and(|m| m.has_majority(|key| votes.contains(key)))
        {
            self.start_election(false, now, out);
        }
    }

    pub(super) fn on_vote(
        &mut self,
        requester: (MemberKey, FormationId),
        last: Position,
        now: Time,
        out: &mut Vec<Effect>,
    ) {
        let can_vote_for_requester = match &self.hard.vote {
            Some(vote) => *vote == requester.0,
            None => true,
        };
        let granted =
            can_vote_for_requester && last >= self.log.last() && self.role() != Role::Leader;
        if granted {
            self.reset_election_deadline(now);
            if self.hard.vote.is_none() {
                self.set_term(self.hard.term, Some(requester.0.clone()));
            }
        }
        let answer = self.envelope(requester.0, requester.1, Body::Voted { granted });
        self.send_after_sync(answer, out);
    }

    pub(super) fn on_voted(&mut self, from: MemberKey, now: Time, out: &mut Vec<Effect>) {
        if let State::Candidate(votes) = &mut self.state {
            if !votes.contains(&from) {
                votes.push(from);
            }
            self.count_votes(now, out);
        }
    }

    pub(super) fn on_own_vote(&mut self, term: Term, now: Time, out: &mut Vec<Effect>) {
        if term == self.hard.term {
            self.on_voted(self.config.key.clone(), now, out);
        }
    }

    fn count_votes(&mut self, now: Time, out: &mut Vec<Effect>) {
        if let State::Candidate(votes) = &self.state
            && self.log.membership().is_some_and(|m| m.has_majority(|key| votes.contains(key)))
        {
            self.become_leader(now, out);
        }
    }

    fn become_leader(&mut self, now: Time, out: &mut Vec<Effect>) {
        let last = self.log.last().index;
        self.leader = Some(self.config.key.id.clone());
        self.state = State::Leader(Leader::new(last.next(), now));
        out.push(Effect::RoleChanged { role: Role::Leader, term: self.hard.term });
        self.track_members(now);
        self.append_as_leader(Payload::Empty);
        self.start_quorum_round(now, out);
    }

    pub(super) fn on_envelope(
        &mut self,
        from: InstanceId,
        envelope: Envelope,
        now: Time,
        out: &mut Vec<Effect>,
    ) {
        let is_foreign = self.formation().is_some_and(|own| own != envelope.formation);
        if envelope.to != self.config.key.storage || is_foreign {
            return;
        }
        let from = MemberKey { id: from, storage: envelope.from };
        let requester = (from.clone(), envelope.formation);
        if let Body::PreVote { term, last } = envelope.body {
            return self.on_pre_vote(requester, term, last, now, out);
        }
        if let Body::Vote { handover: false, .. } = envelope.body
            && self.has_live_leader(now)
            && envelope.term > self.hard.term
            && self.config.check_quorum
        {
            return;
        }
        if let Body::PreVoted { term, granted: true } = envelope.body {
            return self.on_pre_voted(from, term, now, out);
        }
        if envelope.term < self.hard.term {
            return self.reject_stale_term(from, envelope, out);
        }
        if envelope.term > self.hard.term {
            self.become_follower(envelope.term, None, now, out);
        }
        self.dispatch(from, envelope, now, out);
    }

    /// Answers a request with an outdated term, so that the sender learns the current one.
    fn reject_stale_term(&mut self, from: MemberKey, envelope: Envelope, out: &mut Vec<Effect>) {
        if matches!(envelope.body, Body::Append { .. } | Body::Chunk { .. } | Body::Vote { .. }) {
            let body = Body::Voted { granted: false };
            let answer = self.envelope(from, envelope.formation, body);
            self.send_after_sync(answer, out);
        }
    }

    fn dispatch(&mut self, from: MemberKey, envelope: Envelope, now: Time, out: &mut Vec<Effect>) {
        let requester = (from.clone(), envelope.formation);
        match envelope.body {
            Body::PreVote { .. } | Body::PreVoted { .. } => {}
            Body::Vote { last, .. } => self.on_vote(requester, last, now, out),
            Body::Voted { granted: true } => self.on_voted(from, now, out),
            Body::Voted { granted: false } => {}
            Body::Append { prev, entries, commit, round } => {
                if self.accept_leader(&requester.0, now, out) {
                    self.on_append(requester, prev, entries, (commit, round), out);
                }
            }
            Body::Chunk { at, members, offset, total, data, round } => {
                if self.accept_leader(&requester.0, now, out) {
                    let chunk = super::snapshot_transfer::SnapshotChunk {
                        at,
                        members,
                        offset,
                        total,
                        data,
                    };
                    self.on_chunk(requester, chunk, round, out);
                }
            }
            Body::Appended { last, round } => self.on_appended(&from, last, round, now),
            Body::Refused { prev, next, round } => self.on_refused(&from, (prev, next), round, now),
            Body::Received { index, offset, round } => {
                self.on_received(&from, (index, offset), round, now, out);
            }
            Body::Campaign => {
                if self.may_campaign() && self.role() != Role::Leader {
                    self.start_election(true, now, out);
                }
            }
        }
    }

    /// Accepts the sender as the leader of the current term. Returns `false` if this replica leads.
    fn accept_leader(&mut self, from: &MemberKey, now: Time, out: &mut Vec<Effect>) -> bool {
        if self.role() == Role::Leader {
            return false;
        }
        self.become_follower(self.hard.term, Some(from.id.clone()), now, out);
        self.leader_contact = Some(now);
        self.reset_election_deadline(now);
        true
    }
}

//! Transfer of snapshots in parts.

use crate::{ids::LogIndex, time::Time};

use super::{
    event::Effect,
    membership::{FormationId, MemberKey, Membership},
    message::{Body, Position, Snapshot},
    progress::{Mode, Progress},
    replica::{Replica, State},
};

/// A part of a snapshot.
#[derive(Debug)]
pub(super) struct Part {
    pub(super) at: Position,
    pub(super) members: Membership,
    pub(super) offset: u64,
    pub(super) total: u64,
    pub(super) data: Vec<u8>,
}

/// A snapshot that is arriving.
#[derive(Debug)]
pub(super) struct Incoming {
    from: MemberKey,
    at: Position,
    data: Vec<u8>,
}

impl Replica {
    pub(super) fn begin_snapshot(&self, progress: &mut Progress, _now: Time) {
        progress.inflight.clear();
        progress.mode = Mode::Snapshot { index: self.log.base().index, offset: 0 };
    }

    /// Whether a live member is receiving the newest snapshot, which a newer one would interrupt.
    pub(super) fn is_sending_snapshot(&self, now: Time) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        let limit = self.config.election_max;
        leader.progress.iter().any(|progress| {
            let is_sending = matches!(progress.mode, Mode::Snapshot { .. });
            is_sending && now - progress.heard < limit
        })
    }

    /// Sends the next part of the newest snapshot.
    pub(super) fn send_chunk(&self, progress: &mut Progress, round: u64, out: &mut Vec<Effect>) {
        let Mode::Snapshot { index, offset } = &mut progress.mode else {
            return;
        };
        let (Some(snapshot), Some(formation)) = (self.log.snapshot(), self.formation()) else {
            return;
        };
        if *index != snapshot.index {
            *index = snapshot.index;
            *offset = 0;
        }
        let total = snapshot.data.len();
        let start = (*offset as usize).min(total);
        let end = (start + self.config.chunk_bytes).min(total);
        let body = Body::Chunk {
            at: Position { term: snapshot.term, index: snapshot.index },
            members: snapshot.members.clone(),
            offset: start as u64,
            total: total as u64,
            data: snapshot.data[start..end].to_vec(),
            round,
        };
        self.send(self.envelope(progress.key.clone(), formation, body), out);
    }

    pub(super) fn on_chunk(
        &mut self,
        asker: (MemberKey, FormationId),
        part: Part,
        round: u64,
        out: &mut Vec<Effect>,
    ) {
        if part.at.index <= self.commit {
            return self.acknowledge(asker, self.commit, round, out);
        }
        let is_same =
            self.incoming.as_ref().is_some_and(|own| own.from == asker.0 && own.at == part.at);
        if !is_same {
            self.incoming = Some(Incoming { from: asker.0.clone(), at: part.at, data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else {
            return;
        };
        if part.offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&part.data);
        }
        let received = incoming.data.len() as u64;
        if received < part.total {
            let body = Body::Received { index: part.at.index, offset: received, round };
            let answer = self.envelope(asker.0, asker.1, body);
            return self.send(answer, out);
        }
        let data = std::mem::take(&mut incoming.data);
        self.incoming = None;
        self.install(part, data, out);
        self.acknowledge(asker, self.commit, round, out);
    }

    fn install(&mut self, part: Part, data: Vec<u8>, out: &mut Vec<Effect>) {
        let Position { term, index } = part.at;
        let snapshot = Snapshot { index, term, members: part.members, data: data.clone() };
        if self.log.install(snapshot.clone()) {
            self.dirty.cut = Some(index.next());
            self.limit_synced(index);
        }
        self.dirty.snapshot = Some(snapshot);
        self.commit = index;
        self.applied = index;
        out.push(Effect::InstallSnapshot { index, data });
    }

    pub(super) fn on_received(
        &mut self,
        from: &MemberKey,
        (index, received): (LogIndex, u64),
        round: u64,
        now: Time,
        out: &mut Vec<Effect>,
    ) {
        self.with_leader(|replica, leader| {
            let current = leader.round;
            let Some(progress) = leader.progress_mut(from) else {
                return;
            };
            progress.hear(round, now);
            if let Mode::Snapshot { index: sent, offset } = &mut progress.mode
                && *sent == index
                && *offset != received
            {
                *offset = received;
                replica.send_chunk(progress, current, out);
            }
        });
    }

    /// Lends the leader's state beside the replica, if the replica leads.
    pub(super) fn with_leader<R>(
        &mut self,
        act: impl FnOnce(&mut Replica, &mut super::leader::Leader) -> R,
    ) -> Option<R> {
        if !matches!(self.state, State::Leader(_)) {
            return None;
        }
        let State::Leader(mut leader) = std::mem::replace(&mut self.state, State::Follower) else {
            return None;
        };
        let result = act(self, &mut leader);
        self.state = State::Leader(leader);
        Some(result)
    }
}

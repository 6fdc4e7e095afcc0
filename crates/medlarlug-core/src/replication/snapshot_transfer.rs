//! Transfer of snapshots in chunks.

use bytes::Bytes;

use crate::{ids::LogIndex, time::Time};

use super::{
    event::Effect,
    membership::{FormationId, MemberKey, Membership},
    message::{Body, Position, Snapshot},
    progress::{Mode, Progress},
    replica::{Replica, State},
};

/// Content of [`Body::Chunk`].
#[derive(Debug)]
pub(super) struct SnapshotChunk {
    pub(super) at: Position,
    pub(super) members: Membership,
    pub(super) offset: u64,
    pub(super) total: u64,
    pub(super) data: Bytes,
}

/// Partly received snapshot.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    from: MemberKey,
    at: Position,
    data: Vec<u8>,
}

impl Replica {
    pub(super) fn begin_snapshot(&self, progress: &mut Progress, _now: Time) {
        progress.inflight.clear();
        progress.mode = Mode::Snapshot { index: self.log.snapshot_position().index, offset: 0 };
    }

    /// Whether a responsive member is receiving the newest snapshot. A newer one would restart that
    /// transfer from its beginning.
    pub(super) fn is_sending_snapshot(&self, now: Time) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        let limit = self.config.election_max;
        leader.progress.iter().any(|progress| {
            let is_sending = matches!(progress.mode, Mode::Snapshot { .. });
            is_sending && now - progress.last_contact < limit
        })
    }

    /// Sends the next chunk of the newest snapshot; starts over if the snapshot was replaced.
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
            data: snapshot.data.slice(start..end),
            round,
        };
        self.send(self.envelope(progress.key.clone(), formation, body), out);
    }

    pub(super) fn on_chunk(
        &mut self,
        requester: (MemberKey, FormationId),
        chunk: SnapshotChunk,
        round: u64,
        out: &mut Vec<Effect>,
    ) {
        if chunk.at.index <= self.commit {
            return self.acknowledge(requester, self.commit, round, out);
        }
        let is_same =
            self.incoming.as_ref().is_some_and(|own| own.from == requester.0 && own.at == chunk.at);
        if !is_same {
            self.incoming = Some(IncomingSnapshot {
                from: requester.0.clone(),
                at: chunk.at,
                data: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else {
            return;
        };
        if chunk.offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let received = incoming.data.len() as u64;
        if received < chunk.total {
            let body = Body::Received { index: chunk.at.index, offset: received, round };
            let answer = self.envelope(requester.0, requester.1, body);
            return self.send(answer, out);
        }
        let data = std::mem::take(&mut incoming.data);
        self.incoming = None;
        self.install(chunk, data.into(), out);
        self.acknowledge(requester, self.commit, round, out);
    }

    fn install(&mut self, chunk: SnapshotChunk, data: Bytes, out: &mut Vec<Effect>) {
        let Position { term, index } = chunk.at;
        let snapshot = Snapshot { index, term, members: chunk.members, data: data.clone() };
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
            progress.record_contact(round, now);
            if let Mode::Snapshot { index: sent, offset } = &mut progress.mode
                && *sent == index
                && *offset != received
            {
                *offset = received;
                replica.send_chunk(progress, current, out);
            }
        });
    }

    /// Calls `act` with the replica and the leader's state, if the replica leads. The state is moved out
    /// meanwhile, so that both can be borrowed mutably.
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

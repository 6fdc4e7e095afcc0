//! Calls to replication groups: requests and their replies.
//!
//! A request is sent to the last known leader of the group. A voter that doesn't lead replies with
//! the leader, and an unresponsive voter is skipped. A command may reach two voters this way, so
//! every command of the state machines is idempotent. If the time-out expires after a voter may have
//! received the request, the error is [`CallError::Uncertain`] instead of
//! [`CallError::Unreachable`].

use std::time::Duration;

use medlarlug_core::{
    configuration_group, home,
    ids::{InstanceId, RegionId, RequestId, Revision},
};
use thiserror::Error;
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, timeout},
};

use crate::{
    coordination::node::Node,
    protocol::{
        GroupId, Message,
        message::{GroupReply, GroupRequest},
    },
};

/// Time-out of an attempt at one voter, after which the next voter is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause before the next attempt while no leader is known.
const ELECTION_PAUSE: Duration = Duration::from_millis(60);

/// Errors of a call to a replication group.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// No leader received the request, so it has no effect.
    #[error("no leader of group {group} could be reached")]
    Unreachable {
        /// Group whose leader was sought.
        group: GroupId,
    },
    /// A voter may have received the request, but no reply arrived. A command may be applied, now or
    /// later.
    #[error("group {group} sent no reply; the command may be in force")]
    Uncertain {
        /// Group whose voter may have received the request.
        group: GroupId,
    },
    /// The cluster file names no voters of this group.
    #[error("there is no group {group}")]
    UnknownGroup {
        /// Group that the call named.
        group: GroupId,
    },
    /// The reply is of a kind that doesn't match the request.
    #[error("group {group} sent a reply of another kind")]
    UnexpectedReply {
        /// Group that sent the reply.
        group: GroupId,
    },
}

/// Calls that wait for their reply, and the last known leader of each group.
pub struct PendingCalls {
    last: u64,
    pending: Vec<(u64, oneshot::Sender<GroupReply>)>,
    leaders: Vec<(GroupId, InstanceId)>,
}

impl PendingCalls {
    /// Creates an empty list; the first call gets the number after `start`.
    ///
    /// `start` must differ between starts of the process, so that a late reply to an earlier process
    /// is not mistaken for a reply to this one.
    pub fn new(start: u64) -> PendingCalls {
        PendingCalls { last: start, pending: Vec::new(), leaders: Vec::new() }
    }

    /// Passes a reply to its call; a reply that arrives after the time-out is dropped.
    pub fn complete(&mut self, call: u64, reply: GroupReply) {
        if let Ok(found) = self.pending.binary_search_by_key(&call, |it| it.0) {
            let (_, sender) = self.pending.remove(found);
            let _ = sender.send(reply);
        }
    }

    /// Adds a call; returns its number and the receiver of its reply.
    pub fn register(&mut self) -> (u64, oneshot::Receiver<GroupReply>) {
        self.last += 1;
        let (sender, receiver) = oneshot::channel();
        self.pending.push((self.last, sender));
        (self.last, receiver)
    }

    fn remove(&mut self, call: u64) {
        if let Ok(found) = self.pending.binary_search_by_key(&call, |it| it.0) {
            self.pending.remove(found);
        }
    }

    fn leader(&self, group: &GroupId) -> Option<InstanceId> {
        let found = self.leaders.binary_search_by(|it| it.0.cmp(group)).ok()?;
        Some(self.leaders[found].1.clone())
    }

    fn set_leader(&mut self, group: &GroupId, leader: Option<InstanceId>) {
        match (self.leaders.binary_search_by(|it| it.0.cmp(group)), leader) {
            (Ok(found), Some(leader)) => self.leaders[found].1 = leader,
            (Ok(found), None) => drop(self.leaders.remove(found)),
            (Err(index), Some(leader)) => self.leaders.insert(index, (group.clone(), leader)),
            (Err(_), None) => {}
        }
    }
}

/// Submits a request to a group and waits for its reply, with as many attempts as it takes.
///
/// # Errors
///
/// Fails if no reply arrives within `time_limit`; the error tells whether the request may have had an
/// effect.
pub async fn submit(
    node: &Node,
    group: &GroupId,
    request: GroupRequest,
    time_limit: Duration,
) -> Result<GroupReply, CallError> {
    let deadline = Instant::now() + time_limit;
    let voters = node.voters(group);
    if voters.is_empty() {
        return Err(CallError::UnknownGroup { group: group.clone() });
    }
    let mut is_uncertain = false;
    let mut rotation = VoterRotation { voters, next_index: 0, unresponsive: Vec::new() };
    while Instant::now() < deadline {
        let known = node.calls.borrow().leader(group);
        let voter = known.unwrap_or_else(|| rotation.next());
        let remaining = deadline.saturating_duration_since(Instant::now()).min(ATTEMPT_TIMEOUT);
        match attempt(node, &voter, group, request.clone(), remaining).await {
            Attempt::Replied(GroupReply::NotLeader(hint)) => {
                let leader = hint.filter(|it| *it != voter && !rotation.unresponsive.contains(it));
                let is_known = leader.is_some();
                node.calls.borrow_mut().set_leader(group, leader);
                if !is_known {
                    sleep(ELECTION_PAUSE).await;
                }
            }
            Attempt::Replied(GroupReply::Uncertain) => {
                is_uncertain = true;
                node.calls.borrow_mut().set_leader(group, None);
            }
            Attempt::TimedOut => {
                is_uncertain = true;
                node.calls.borrow_mut().set_leader(group, None);
                rotation.skip(voter);
            }
            Attempt::Replied(reply) => {
                node.calls.borrow_mut().set_leader(group, Some(voter));
                return Ok(reply);
            }
            Attempt::NotSent => {
                node.calls.borrow_mut().set_leader(group, None);
                sleep(ELECTION_PAUSE).await;
            }
        }
    }
    let group = group.clone();
    match is_uncertain {
        true => Err(CallError::Uncertain { group }),
        false => Err(CallError::Unreachable { group }),
    }
}

/// The order in which one call tries the voters of a group.
struct VoterRotation {
    voters: Vec<InstanceId>,
    next_index: usize,
    // Voters that sent no reply. Others may still name one of them as the leader.
    unresponsive: Vec<InstanceId>,
}

impl VoterRotation {
    /// The next voter that is not unresponsive.
    fn next(&mut self) -> InstanceId {
        loop {
            let voter = &self.voters[self.next_index % self.voters.len()];
            self.next_index += 1;
            if !self.unresponsive.contains(voter) {
                return voter.clone();
            }
        }
    }

    /// Marks a voter as unresponsive. Once all voters are, each is tried again.
    fn skip(&mut self, voter: InstanceId) {
        if !self.unresponsive.contains(&voter) {
            self.unresponsive.push(voter);
        }
        if self.voters.iter().all(|it| self.unresponsive.contains(it)) {
            self.unresponsive.clear();
        }
    }
}

enum Attempt {
    Replied(GroupReply),
    TimedOut,
    NotSent,
}

async fn attempt(
    node: &Node,
    voter: &InstanceId,
    group: &GroupId,
    request: GroupRequest,
    time_limit: Duration,
) -> Attempt {
    let (call, receiver) = node.calls.borrow_mut().register();
    let message = Message::Call { call, group: group.clone(), request };
    if !node.send(voter, message) {
        node.calls.borrow_mut().remove(call);
        return Attempt::NotSent;
    }
    let reply = timeout(time_limit, receiver).await;
    node.calls.borrow_mut().remove(call);
    match reply {
        Ok(Ok(reply)) => Attempt::Replied(reply),
        _ => Attempt::TimedOut,
    }
}

/// Submits a command to the configuration group.
///
/// # Errors
///
/// Fails as [`submit`] does, or if the reply is of another kind.
pub async fn submit_configuration_command(
    node: &Node,
    command: configuration_group::Command,
    time_limit: Duration,
) -> Result<configuration_group::Reply, CallError> {
    let group = GroupId::Configuration;
    match submit(node, &group, GroupRequest::Configure(command), time_limit).await? {
        GroupReply::Configured(reply) => Ok(reply),
        _ => Err(CallError::UnexpectedReply { group }),
    }
}

/// Submits an action to the home group of a region.
///
/// # Errors
///
/// Fails as [`submit`] does, or if the reply is of another kind.
pub async fn submit_home_action(
    node: &Node,
    region: &RegionId,
    action: home::Action,
    time_limit: Duration,
) -> Result<home::Reply, CallError> {
    let group = GroupId::Home(region.clone());
    match submit(node, &group, GroupRequest::Act(action), time_limit).await? {
        GroupReply::Acted(reply) => Ok(reply),
        _ => Err(CallError::UnexpectedReply { group }),
    }
}

/// Reads the revision at which the home group of a region was founded; `None` if it isn't founded.
///
/// # Errors
///
/// Fails as [`submit`] does, or if the reply is of another kind.
pub async fn read_founding_revision(
    node: &Node,
    region: &RegionId,
    time_limit: Duration,
) -> Result<Option<Revision>, CallError> {
    let group = GroupId::Home(region.clone());
    match submit(node, &group, GroupRequest::FoundingRevision, time_limit).await? {
        GroupReply::FoundingRevision(revision) => Ok(revision),
        _ => Err(CallError::UnexpectedReply { group }),
    }
}

/// Reads the moves of teams to new home regions that are in progress.
///
/// # Errors
///
/// Fails as [`submit`] does, or if the reply is of another kind.
pub async fn read_home_moves(
    node: &Node,
    time_limit: Duration,
) -> Result<Vec<configuration_group::HomeMove>, CallError> {
    let group = GroupId::Configuration;
    match submit(node, &group, GroupRequest::HomeMoves, time_limit).await? {
        GroupReply::HomeMoves(moves) => Ok(moves),
        _ => Err(CallError::UnexpectedReply { group }),
    }
}

/// Reads the rollout of a revision, by default of the newest one.
///
/// # Errors
///
/// Fails as [`submit`] does, or if the reply is of another kind.
pub async fn read_rollout(
    node: &Node,
    revision: Option<Revision>,
    time_limit: Duration,
) -> Result<configuration_group::Rollout, CallError> {
    let group = GroupId::Configuration;
    match submit(node, &group, GroupRequest::Rollout(revision), time_limit).await? {
        GroupReply::Rollout(force) => Ok(force),
        _ => Err(CallError::UnexpectedReply { group }),
    }
}

/// Reads the record of a request from the home group of the region that its id names.
///
/// # Errors
///
/// Fails as [`submit`] does, or if the reply is of another kind.
pub async fn look_up_record(
    node: &Node,
    id: &RequestId,
    time_limit: Duration,
) -> Result<home::RecordLookup, CallError> {
    let group = GroupId::Home(id.region.clone());
    match submit(node, &group, GroupRequest::LookUp(id.clone()), time_limit).await? {
        GroupReply::Record(known) => Ok(known),
        _ => Err(CallError::UnexpectedReply { group }),
    }
}

//! Commands to replication groups, and the replies to them.
//!
//! A command goes to the voter that led the group last; a voter that does not lead names the
//! leader, and a silent one is passed over. A command may reach two voters this way, so every
//! command of the state machines is idempotent. When the time runs out after a voter may have
//! taken the command in, the result is [`CallError::Uncertain`] and not
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

/// Time that one voter has to answer before the next one is asked.
const VOTER_LIMIT: Duration = Duration::from_millis(900);

/// Pause before the voters are asked again when none leads.
const ELECTION_PAUSE: Duration = Duration::from_millis(60);

/// Why a command has no reply.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// No voter took the command in.
    #[error("no leader of group {group} could be reached")]
    Unreachable {
        /// The group.
        group: GroupId,
    },
    /// A voter may have taken the command in, and no reply came.
    #[error("group {group} sent no reply; the command may be in force")]
    Uncertain {
        /// The group.
        group: GroupId,
    },
    /// The settings name no such group.
    #[error("there is no group {group}")]
    UnknownGroup {
        /// The group.
        group: GroupId,
    },
    /// The reply doesn't belong to the request.
    #[error("group {group} sent a reply of another kind")]
    UnexpectedReply {
        /// The group.
        group: GroupId,
    },
}

/// Calls that wait for their reply.
pub struct PendingCalls {
    last: u64,
    waiting: Vec<(u64, oneshot::Sender<GroupReply>)>,
    leaders: Vec<(GroupId, InstanceId)>,
}

impl PendingCalls {
    /// No call; the first one has the number after `start`.
    ///
    /// `start` has to differ from one start of the process to the next, so that a late reply to an
    /// earlier process is not taken for a reply to this one.
    pub fn new(start: u64) -> PendingCalls {
        PendingCalls { last: start, waiting: Vec::new(), leaders: Vec::new() }
    }

    /// Hands a reply to the call that waits for it; a late reply is dropped.
    pub fn complete(&mut self, call: u64, reply: GroupReply) {
        if let Ok(found) = self.waiting.binary_search_by_key(&call, |it| it.0) {
            let (_, sender) = self.waiting.remove(found);
            let _ = sender.send(reply);
        }
    }

    /// Opens a call: its number, and where its reply will come.
    pub fn register(&mut self) -> (u64, oneshot::Receiver<GroupReply>) {
        self.last += 1;
        let (sender, receiver) = oneshot::channel();
        self.waiting.push((self.last, sender));
        (self.last, receiver)
    }

    fn remove(&mut self, call: u64) {
        if let Ok(found) = self.waiting.binary_search_by_key(&call, |it| it.0) {
            self.waiting.remove(found);
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
            (Err(place), Some(leader)) => self.leaders.insert(place, (group.clone(), leader)),
            (Err(_), None) => {}
        }
    }
}

/// Submits a request to a group and waits for its reply.
///
/// # Errors
///
/// Fails when no reply came within `limit`; the error tells whether the request may be in force.
pub async fn submit(
    node: &Node,
    group: &GroupId,
    request: GroupRequest,
    limit: Duration,
) -> Result<GroupReply, CallError> {
    let end = Instant::now() + limit;
    let voters = node.voters(group);
    if voters.is_empty() {
        return Err(CallError::UnknownGroup { group: group.clone() });
    }
    let mut is_uncertain = false;
    let mut turns = Turns { voters, round: 0, silent: Vec::new() };
    while Instant::now() < end {
        let known = node.calls.borrow().leader(group);
        let voter = known.unwrap_or_else(|| turns.next());
        let left = end.saturating_duration_since(Instant::now()).min(VOTER_LIMIT);
        match ask(node, &voter, group, request.clone(), left).await {
            Attempt::Answered(GroupReply::NotLeader(hint)) => {
                let leader = hint.filter(|it| *it != voter && !turns.silent.contains(it));
                let is_known = leader.is_some();
                node.calls.borrow_mut().set_leader(group, leader);
                if !is_known {
                    sleep(ELECTION_PAUSE).await;
                }
            }
            Attempt::Answered(GroupReply::Uncertain) => {
                is_uncertain = true;
                node.calls.borrow_mut().set_leader(group, None);
            }
            Attempt::Silent => {
                is_uncertain = true;
                node.calls.borrow_mut().set_leader(group, None);
                turns.silence(voter);
            }
            Attempt::Answered(reply) => {
                node.calls.borrow_mut().set_leader(group, Some(voter));
                return Ok(reply);
            }
            Attempt::Unsent => {
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

/// The voters of a group in the order in which one call asks them.
struct Turns {
    voters: Vec<InstanceId>,
    round: usize,
    // Voters that gave no answer; others may still take one of them for the leader.
    silent: Vec<InstanceId>,
}

impl Turns {
    /// The next voter, passing over silent ones.
    fn next(&mut self) -> InstanceId {
        loop {
            let voter = &self.voters[self.round % self.voters.len()];
            self.round += 1;
            if !self.silent.contains(voter) {
                return voter.clone();
            }
        }
    }

    /// Notes that a voter gave no answer; when all gave none, each is asked again.
    fn silence(&mut self, voter: InstanceId) {
        if !self.silent.contains(&voter) {
            self.silent.push(voter);
        }
        if self.voters.iter().all(|it| self.silent.contains(it)) {
            self.silent.clear();
        }
    }
}

enum Attempt {
    Answered(GroupReply),
    Silent,
    Unsent,
}

async fn ask(
    node: &Node,
    voter: &InstanceId,
    group: &GroupId,
    request: GroupRequest,
    limit: Duration,
) -> Attempt {
    let (call, receiver) = node.calls.borrow_mut().register();
    let message = Message::Call { call, group: group.clone(), request };
    if !node.send(voter, message) {
        node.calls.borrow_mut().remove(call);
        return Attempt::Unsent;
    }
    let answer = timeout(limit, receiver).await;
    node.calls.borrow_mut().remove(call);
    match answer {
        Ok(Ok(reply)) => Attempt::Answered(reply),
        _ => Attempt::Silent,
    }
}

/// Submits a command to the configuration group.
///
/// # Errors
///
/// Fails when no reply came within `limit`.
pub async fn submit_configuration_command(
    node: &Node,
    command: configuration_group::Command,
    limit: Duration,
) -> Result<configuration_group::Reply, CallError> {
    let group = GroupId::Configuration;
    match submit(node, &group, GroupRequest::Configure(command), limit).await? {
        GroupReply::Configured(reply) => Ok(reply),
        _ => Err(CallError::UnexpectedReply { group }),
    }
}

/// Submits an action to the home group of a region.
///
/// # Errors
///
/// Fails when no reply came within `limit`.
pub async fn submit_home_action(
    node: &Node,
    region: &RegionId,
    action: home::Action,
    limit: Duration,
) -> Result<home::Reply, CallError> {
    let group = GroupId::Home(region.clone());
    match submit(node, &group, GroupRequest::Act(action), limit).await? {
        GroupReply::Acted(reply) => Ok(reply),
        _ => Err(CallError::UnexpectedReply { group }),
    }
}

/// Reads the revision at which the home group of a region was founded.
///
/// # Errors
///
/// Fails when no reply came within `limit`.
pub async fn read_founding_revision(
    node: &Node,
    region: &RegionId,
    limit: Duration,
) -> Result<Option<Revision>, CallError> {
    let group = GroupId::Home(region.clone());
    match submit(node, &group, GroupRequest::FoundingRevision, limit).await? {
        GroupReply::FoundingRevision(revision) => Ok(revision),
        _ => Err(CallError::UnexpectedReply { group }),
    }
}

/// Reads which teams are on their way to a new home region.
///
/// # Errors
///
/// Fails when no reply came within `limit`.
pub async fn read_home_moves(
    node: &Node,
    limit: Duration,
) -> Result<Vec<configuration_group::HomeMove>, CallError> {
    let group = GroupId::Configuration;
    match submit(node, &group, GroupRequest::HomeMoves, limit).await? {
        GroupReply::HomeMoves(moves) => Ok(moves),
        _ => Err(CallError::UnexpectedReply { group }),
    }
}

/// Asks where a revision is in force; the newest one if none is named.
///
/// # Errors
///
/// Fails when no reply came within `limit`.
pub async fn read_rollout(
    node: &Node,
    revision: Option<Revision>,
    limit: Duration,
) -> Result<configuration_group::Rollout, CallError> {
    let group = GroupId::Configuration;
    match submit(node, &group, GroupRequest::Rollout(revision), limit).await? {
        GroupReply::Rollout(force) => Ok(force),
        _ => Err(CallError::UnexpectedReply { group }),
    }
}

/// Asks the home group of the region in a request's id for its record.
///
/// # Errors
///
/// Fails when no reply came within `limit`.
pub async fn look_up_record(
    node: &Node,
    id: &RequestId,
    limit: Duration,
) -> Result<home::RecordLookup, CallError> {
    let group = GroupId::Home(id.region.clone());
    match submit(node, &group, GroupRequest::LookUp(id.clone()), limit).await? {
        GroupReply::Record(known) => Ok(known),
        _ => Err(CallError::UnexpectedReply { group }),
    }
}

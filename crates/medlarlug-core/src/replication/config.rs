//! Settings of a replica.

use std::time::Duration;

use crate::ids::InstanceId;

use super::membership::MemberKey;

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct Config {
    /// The replica's own instance and storage.
    pub key: MemberKey,
    /// Whether the storage outlives the process.
    pub durable: bool,
    /// The instances that form the group, the same at each of them.
    pub founders: Vec<InstanceId>,
    /// Whether a group may be formed when every founder comes with new storage.
    pub may_form: bool,
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Shortest silence of the leader after which a voter asks for votes.
    pub election_min: Duration,
    /// Longest silence of the leader after which a voter asks for votes.
    pub election_max: Duration,
    /// Whether a candidate asks for permission before it raises the term.
    pub pre_vote: bool,
    /// Whether a leader steps down that does not hear from a majority.
    pub check_quorum: bool,
    /// Payload of one append message, in bytes; a larger single entry goes alone.
    pub batch_bytes: usize,
    /// Append messages under way to one member.
    pub max_inflight: usize,
    /// Proposals that wait for their commit.
    pub max_proposals: usize,
    /// Payload of one snapshot message, in bytes.
    pub chunk_bytes: usize,
}

impl Config {
    /// The defaults for the replica `key`.
    pub fn new(key: MemberKey, founders: Vec<InstanceId>) -> Config {
        Config {
            key,
            durable: true,
            founders,
            may_form: true,
            heartbeat: Duration::from_millis(100),
            election_min: Duration::from_millis(500),
            election_max: Duration::from_millis(1_000),
            pre_vote: true,
            check_quorum: true,
            batch_bytes: 256 * 1024,
            max_inflight: 16,
            max_proposals: 4_096,
            chunk_bytes: 256 * 1024,
        }
    }
}

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
    pub heartbeat_interval: Duration,
    /// Shortest silence of the leader after which a voter asks for votes.
    pub election_timeout_min: Duration,
    /// Longest silence of the leader after which a voter asks for votes.
    pub election_timeout_max: Duration,
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
    /// For an open group, into which strangers are let: the voters that it is to have.
    pub target_voters: Option<usize>,
    /// In an open group, silence of a voter after which another member takes its vote.
    pub replace_after: Duration,
}

impl Config {
    /// The same with another time between heartbeats; a voter waits for four to eight of them.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use medlarlug_core::replication::{Config, MemberKey, StorageId};
    ///
    /// let key = MemberKey { id: "keeper-1".parse().unwrap(), storage: StorageId(7) };
    /// let founders = vec![key.id.clone()];
    /// let config = Config::new(key, founders).with_heartbeat_interval(Duration::from_millis(250));
    /// assert_eq!(config.election_timeout_max, Duration::from_secs(2));
    /// ```
    pub fn with_heartbeat_interval(self, heartbeat_interval: Duration) -> Config {
        Config {
            heartbeat_interval,
            election_timeout_min: heartbeat_interval * 4,
            election_timeout_max: heartbeat_interval * 8,
            ..self
        }
    }

    /// The same for an open group that is to have `voters` voters: strangers are let in without a
    /// vote, and get one while votes are missing or their owners are silent.
    ///
    /// ```
    /// use medlarlug_core::replication::{Config, MemberKey, StorageId};
    ///
    /// let key = MemberKey { id: "keeper-1".parse().unwrap(), storage: StorageId(7) };
    /// let founders = vec![key.id.clone()];
    /// assert_eq!(Config::new(key, founders).open(3).target_voters, Some(3));
    /// ```
    pub fn open(self, voters: usize) -> Config {
        Config { target_voters: Some(voters), ..self }
    }

    /// The defaults for the replica `key`.
    pub fn new(key: MemberKey, founders: Vec<InstanceId>) -> Config {
        Config {
            key,
            durable: true,
            founders,
            may_form: true,
            heartbeat_interval: Duration::from_millis(100),
            election_timeout_min: Duration::from_millis(500),
            election_timeout_max: Duration::from_millis(1_000),
            pre_vote: true,
            check_quorum: true,
            batch_bytes: 256 * 1024,
            max_inflight: 16,
            max_proposals: 4_096,
            chunk_bytes: 256 * 1024,
            target_voters: None,
            replace_after: Duration::from_millis(2_500),
        }
    }
}

//! Settings of a replica.

use std::time::Duration;

use crate::ids::InstanceId;

use super::membership::MemberKey;

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct Config {
    /// Instance and storage of this replica.
    pub key: MemberKey,
    /// Whether the storage survives a restart of the process.
    pub durable: bool,
    /// Instances that form the group; has to be equal at all of them.
    pub founders: Vec<InstanceId>,
    /// Whether a group may be formed when every founder has new storage.
    pub may_form: bool,
    /// Time between two heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// Shortest time without a message from a leader after which a voter campaigns. A voter that
    /// received one more recently refuses its vote to others.
    pub election_min: Duration,
    /// Longest time without a message from a leader after which a voter campaigns; the actual timeout
    /// is drawn at random between the two. A leader without a majority steps down after this time.
    pub election_max: Duration,
    /// Whether a voter asks for pre-votes before it raises the term.
    pub pre_vote: bool,
    /// Whether a leader steps down when a majority no longer answers it.
    pub check_quorum: bool,
    /// Most payload in one append message, in bytes; a larger entry is sent in a message of its own.
    pub batch_bytes: usize,
    /// Most unacknowledged append messages to one member.
    pub max_inflight: usize,
    /// Unacknowledged payload to one member from which on no further append message is sent, in bytes.
    pub max_inflight_bytes: usize,
    /// Most uncommitted proposals; further ones are rejected as [`Rejection::Busy`](super::Rejection::Busy).
    pub max_proposals: usize,
    /// Payload in the log from which on a leader rejects proposals as
    /// [`Rejection::LogFull`](super::Rejection::LogFull), in bytes. From half of it on, the log is
    /// compacted even if that restarts the transfer of a snapshot.
    pub max_log_bytes: usize,
    /// Most payload in one snapshot message, in bytes.
    pub chunk_bytes: usize,
    /// Number of voters that an open group aims at; `None` if the group is not open.
    pub target_voters: Option<usize>,
    /// In an open group, time without an answer from a voter after which another member replaces it.
    pub replace_after: Duration,
}

impl Config {
    /// Changes the heartbeat interval, and the election timeout to four to eight intervals.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use medlarlug_core::replication::{Config, MemberKey, StorageId};
    ///
    /// let key = MemberKey { id: "keeper-1".parse().unwrap(), storage: StorageId(7) };
    /// let founders = vec![key.id.clone()];
    /// let config = Config::new(key, founders).with_heartbeat_interval(Duration::from_millis(250));
    /// assert_eq!(config.election_max, Duration::from_secs(2));
    /// ```
    pub fn with_heartbeat_interval(self, heartbeat_interval: Duration) -> Config {
        Config {
            heartbeat_interval,
            election_min: heartbeat_interval * 4,
            election_max: heartbeat_interval * 8,
            ..self
        }
    }

    /// Makes the group an open one with a target of `voters` voters: instances that are not members are
    /// admitted without a vote, and are promoted while voters are missing or unresponsive.
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

    /// Defaults for the replica `key` in a group that `founders` form.
    pub fn new(key: MemberKey, founders: Vec<InstanceId>) -> Config {
        Config {
            key,
            durable: true,
            founders,
            may_form: true,
            heartbeat_interval: Duration::from_millis(100),
            election_min: Duration::from_millis(500),
            election_max: Duration::from_millis(1_000),
            pre_vote: true,
            check_quorum: true,
            batch_bytes: 256 * 1024,
            max_inflight: 16,
            max_inflight_bytes: 4 << 20,
            max_proposals: 4_096,
            max_log_bytes: 32 << 20,
            chunk_bytes: 256 * 1024,
            target_voters: None,
            replace_after: Duration::from_millis(2_500),
        }
    }
}

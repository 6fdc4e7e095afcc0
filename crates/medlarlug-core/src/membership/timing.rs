//! Times, lifetimes and byte budgets of the membership protocol.

use std::time::Duration;

/// Time between two [`Event::Tick`](super::Event::Tick).
pub const TICK: Duration = Duration::from_millis(250);
/// An announcement that is older takes no work any more. Renewals are due every second, and news
/// of a loss has half a second to travel within the three seconds that users rely on.
pub const UPSTREAM_LEASE: Duration = Duration::from_millis(2_500);
/// Time for which it is remembered that an incarnation left.
pub const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(600);
/// Most tombstones; the oldest goes first.
pub const MAX_TOMBSTONES: usize = 4_096;
/// Prefixes that are remembered for one upstream.
pub const MAX_WARM_PREFIXES: usize = 256;
/// Rounds in which news of a leaving upstream is repeated.
pub const LEAVING_SENDS: u8 = 3;

/// Time without a renewal from the preferred teller of an upstream after which another instance
/// that the upstream announces itself to passes its renewals on.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(1_250);

/// Shortest time between two renewals of one upstream that are passed on: every second one of
/// upstreams that renew each 500 ms, each one of those that renew each second.
pub const RELAY_INTERVAL: Duration = Duration::from_millis(750);
/// Most cache events that are collected for the next renewal that is passed on.
pub const MAX_PENDING_CACHE_EVENTS: usize = 32;

/// Time between two heartbeats while few instances are watched.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of watched instances up to which heartbeats and silences have their short values.
pub const SMALL_GROUP_PEERS: usize = 8;
/// Factor of the heartbeat's period and the silences while more instances are watched.
pub const LARGE_GROUP_PERIOD_FACTOR: u32 = 2;
/// Silence after which a connection is replaced.
pub const CONNECTION_TIMEOUT: Duration = Duration::from_millis(1_250);
/// Silence on the new connection after which the instance counts as dead.
pub const RECONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between two attempts to reach a dead instance.
pub const DEAD_RECONNECT_INTERVAL: Duration = Duration::from_secs(2);
/// Number of instances up to which each watches all others, not only those of its zone.
pub const FULL_MESH_INSTANCES: usize = 16;
/// Time between two messages that tell of dead entry instances, to those who don't watch them.
pub const DEAD_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which an instance that nobody tells of any more doesn't count as dead.
pub const DEAD_REPORT_LIFETIME: Duration = Duration::from_millis(12_500);
/// Silence of a peer that isn't watched, since it was first asked something, after which the
/// connection to it is replaced.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Heartbeats with a differing digest after which the whole view is sent.
pub const DIGEST_MISMATCHES: u8 = 2;
/// Shortest time between two whole views that an instance sends.
pub const FULL_SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two looks for changes of the own summary.
pub const SUMMARY_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes a second that summaries of the other zones of the region may take, over all zones.
pub const REGION_BYTES_PER_SECOND: f64 = 400.0;
/// Bytes a second that summaries of zones of other regions may take, over all zones.
pub const CROSS_REGION_BYTES_PER_SECOND: f64 = 500.0;
/// Number of zones of other regions up to which summaries to them tell which prefixes are warm. Among
/// more of them the budget lets a row travel so seldom that its few newest prefixes are old.
pub const MAX_ZONES_WITH_WARM_PREFIXES: usize = 8;
/// Rows that are sent together at least while so many are due: each message also names the zone, its
/// speaker and its entry instances, which takes as much as three rows.
pub const MIN_BATCH_ROWS: usize = 12;
/// Bytes that a budget saves up at most.
pub const MAX_SAVED_BYTES: f64 = 600.0;
/// Time after which an unchanged row is sent again within the region.
pub const REGION_REFRESH: Duration = Duration::from_secs(1);
/// Time after which an unchanged row is sent again to other regions.
pub const CROSS_REGION_REFRESH: Duration = Duration::from_secs(2);
/// Age beyond which a row from the region is not used.
pub const REGION_LIFETIME: Duration = Duration::from_secs(6);
/// Age beyond which a row from another region is not used.
pub const CROSS_REGION_LIFETIME: Duration = Duration::from_secs(20);
/// Silence of a zone's contact after which summaries go to another of its instances.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);
/// Entry instances that a summary names.
pub const SUMMARY_ENTRIES: usize = 3;

//! Intervals, time-outs, lifetimes and byte budgets of the membership protocol.

use std::time::Duration;

/// Interval of [`Event::Tick`](super::Event::Tick).
pub const TICK: Duration = Duration::from_millis(250);
/// Time after its latest announcement from which an upstream gets no requests. Renewals are due
/// every second. Users rely on a failed upstream getting no requests after three seconds, which
/// leaves half a second for the update to reach other instances.
pub const UPSTREAM_LEASE: Duration = Duration::from_millis(2_500);
/// Time for which the tombstone of an incarnation that left is kept.
pub const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(600);
/// Most tombstones that are kept; the oldest is dropped first.
pub const MAX_TOMBSTONES: usize = 4_096;
/// Most cached prefixes that are tracked for one upstream.
pub const MAX_WARM_PREFIXES: usize = 256;
/// Number of messages in which the leaving of an upstream is sent.
pub const LEAVING_SENDS: u8 = 3;

/// Time without a renewal relayed by the preferred instance after which another instance that the
/// upstream announces itself to relays the renewals.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(1_250);

/// Shortest interval between two relayed renewals of one upstream. If the upstream renews every 500
/// ms, every other renewal is relayed; if it renews every 1 s, all are.
pub const RELAY_INTERVAL: Duration = Duration::from_millis(750);
/// Most cache events of each kind that are collected for the next relayed renewal.
pub const MAX_PENDING_CACHE_EVENTS: usize = 32;

/// Interval of heartbeats while few instances are watched.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of watched instances up to which heartbeat intervals and time-outs are not extended.
pub const SMALL_GROUP_PEERS: usize = 8;
/// Factor of the heartbeat interval and the time-outs while more instances are watched.
pub const LARGE_GROUP_PERIOD_FACTOR: u32 = 2;
/// Time without a message after which a connection is replaced.
pub const CONNECTION_TIMEOUT: Duration = Duration::from_millis(1_250);
/// Time without a message on the new connection after which the instance counts as dead.
pub const RECONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval of attempts to reach a dead instance.
pub const DEAD_RECONNECT_INTERVAL: Duration = Duration::from_secs(2);
/// Number of instances in the deployment up to which each watches all others. In a larger one, each
/// watches those of its own zone.
pub const FULL_MESH_INSTANCES: usize = 16;
/// Interval of reports of dead entry instances, to keepers that don't watch them.
pub const DEAD_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Time after the last report after which an instance doesn't count as dead any more.
pub const DEAD_REPORT_LIFETIME: Duration = Duration::from_millis(12_500);
/// Time without a message from an unwatched peer that owes a response, after which the connection
/// to it is replaced.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Number of heartbeats in a row with a differing digest after which the full view is sent.
pub const DIGEST_MISMATCHES: u8 = 2;
/// Shortest interval between two full views that an instance sends.
pub const FULL_SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of checks for changes of the own summary.
pub const SUMMARY_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes per second that summaries of the other zones of the region may take, over all zones.
pub const REGION_BYTES_PER_SECOND: f64 = 400.0;
/// Bytes per second that summaries of zones of other regions may take, over all zones.
pub const CROSS_REGION_BYTES_PER_SECOND: f64 = 500.0;
/// Number of zones of other regions up to which summaries to them include cached prefixes. With
/// more zones, the byte budget allows a row so rarely that its few newest prefixes are outdated on
/// arrival.
pub const MAX_ZONES_WITH_WARM_PREFIXES: usize = 8;
/// Fewest rows in a message while at least so many are due. Each message also names the zone, its
/// speaker and its entry instances, which takes as many bytes as three rows.
pub const MIN_BATCH_ROWS: usize = 12;
/// Most unused bytes that a byte budget accumulates.
pub const MAX_SAVED_BYTES: f64 = 600.0;
/// Time after which an unchanged row is sent again within the region.
pub const REGION_REFRESH: Duration = Duration::from_secs(1);
/// Time after which an unchanged row is sent again to other regions.
pub const CROSS_REGION_REFRESH: Duration = Duration::from_secs(2);
/// Age from which a row from the own region is not used.
pub const REGION_LIFETIME: Duration = Duration::from_secs(6);
/// Age from which a row from another region is not used.
pub const CROSS_REGION_LIFETIME: Duration = Duration::from_secs(20);
/// Time without a summary from a zone after which summaries are sent to another of its instances.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);
/// Most entry instances that a summary names.
pub const SUMMARY_ENTRIES: usize = 3;

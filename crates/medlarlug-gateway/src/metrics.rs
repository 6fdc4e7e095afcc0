//! Names of the gateway's metrics.

use medlarlug::transport::memory;
use metrics::{Unit, describe_counter, describe_gauge, describe_histogram};

/// Counter: calls that ended. Label: `outcome` (see [`crate::entry::CallOutcome`]).
pub const CALLS_ENDED: &str = "medlarlug_gateway_calls_total";
/// Histogram in seconds: from the arrival of a call until its answer is chosen, or the first events
/// of its stream have arrived.
pub const HEAD_SECONDS: &str = "medlarlug_gateway_head_seconds";
/// Counter: requests to upstreams beyond the first of their call.
pub const RETRIES: &str = "medlarlug_gateway_repeats_total";
/// Counter: retries that were denied by the retry budget of their service.
pub const RETRIES_DENIED: &str = "medlarlug_gateway_repeats_denied_total";
/// Counter: requests to upstreams that are considered cold.
pub const COLD_REQUESTS: &str = "medlarlug_gateway_cold_sends_total";
/// Counter: upstreams that announced in an answer that they are leaving.
pub const LEAVING_UPSTREAMS: &str = "medlarlug_gateway_leaving_total";
/// Counter: backoffs that upstreams requested with `Retry-After`.
pub const BACKOFFS: &str = "medlarlug_gateway_rests_total";
/// Counter: rate limits that upstreams named in answers.
pub const NAMED_LIMITS: &str = "medlarlug_gateway_named_limits_total";
/// Counter: requests to upstreams that have named a rate limit.
pub const LIMITED_REQUESTS: &str = "medlarlug_gateway_limited_sends_total";
/// Counter: answers from which this instance learned that an upstream is brittle.
pub const BRITTLE_UPSTREAMS: &str = "medlarlug_gateway_brittle_total";
/// Counter: calls that waited for a slot of a brittle upstream.
pub const SLOT_WAITS: &str = "medlarlug_gateway_slot_waits_total";
/// Counter: upstreams that count as cold because all connections of this instance to them ended.
pub const ENDED_UPSTREAMS: &str = "medlarlug_gateway_ended_upstreams_total";
/// Counter: upstreams that crashed with requests of this instance in flight.
pub const UPSTREAM_CRASHES: &str = "medlarlug_gateway_crashes_total";
/// Counter: calls that were not run because their content crashes upstreams.
pub const QUARANTINED_CALLS: &str = "medlarlug_gateway_quarantined_total";
/// Counter: calls that were not accepted for a team. Label: `reason` (see
/// [`medlarlug_core::gateway::authentication::AuthenticationError`]).
pub const UNACCEPTED_CALLS: &str = "medlarlug_gateway_unaccepted_total";
/// Counter: calls with home regions that were refused because these may be out of date.
pub const UNCONFIRMED_CALLS: &str = "medlarlug_gateway_unconfirmed_total";
/// Counter: answers that were dropped because they belong to another call.
pub const FOREIGN_ANSWERS: &str = "medlarlug_gateway_foreign_answers_total";
/// Counter: calls forwarded to another region.
pub const FORWARDED_CALLS: &str = "medlarlug_gateway_forwarded_total";
/// Counter: calls passed on to another instance of the region, because this one lacks a path to
/// upstreams.
pub const PASSED_CALLS: &str = "medlarlug_gateway_passed_on_total";
/// Counter: times at which this instance no longer reached any upstream.
pub const ISOLATIONS: &str = "medlarlug_gateway_isolations_total";
/// Gauge: 1 while this instance reaches no upstream, otherwise 0.
pub const ISOLATED: &str = "medlarlug_gateway_isolated";
/// Counter: connections opened to check whether upstreams can be reached.
pub const PATH_CHECKS: &str = "medlarlug_gateway_path_checks_total";
/// Counter in bytes: load reports sent to other instances of the region.
pub const LOAD_BYTES: &str = "medlarlug_gateway_load_bytes_total";
/// Counter in bytes: reports of booked tokens sent to other instances of the region.
pub const BOOKING_BYTES: &str = "medlarlug_gateway_booking_bytes_total";
/// Histogram in seconds: time that calls waited for room at an engine, or for their turn.
pub const ROOM_WAIT_SECONDS: &str = "medlarlug_gateway_room_wait_seconds";
/// Counter: calls refused after they had waited for room at an engine, or for their turn. Label:
/// `standing`.
pub const ROOM_REFUSALS: &str = "medlarlug_gateway_room_refusals_total";
/// Gauge: version of the route table in effect.
pub const TABLE_VERSION: &str = "medlarlug_gateway_table_version";
/// Gauge: upstreams that accept calls.
pub const READY_UPSTREAMS: &str = "medlarlug_gateway_upstreams";
/// Gauge: open links to keepers.
pub const OPEN_LINKS: &str = "medlarlug_gateway_links";
/// Counter: answers of the directory. Label: `scope` (see [`medlarlug_core::gateway::contacts::Scope`]).
pub const DIRECTORY_ANSWERS: &str = "medlarlug_gateway_directory_answers_total";
/// Counter: announcements received from upstreams. Label: `effect`.
pub const ANNOUNCEMENTS: &str = "medlarlug_gateway_announcements_total";
/// Counter: announcements that could not be parsed.
pub const INVALID_ANNOUNCEMENTS: &str = "medlarlug_gateway_unreadable_announcements_total";

/// Counter: calls that resumed a stream, by whether its software version was found. Label: `version`.
pub const RESUMED_STREAMS: &str = "medlarlug_gateway_resumed_streams_total";
/// Gauge: streams whose software version is remembered.
pub const REMEMBERED_STREAMS: &str = "medlarlug_gateway_remembered_streams";
/// Counter: streams whose software version was forgotten early, for lack of room.
pub const FORGOTTEN_STREAMS: &str = "medlarlug_gateway_forgotten_streams_total";

/// Gauge: upstreams of the region that ramp up after a start or a recovery.
pub const RAMPS: &str = "medlarlug_gateway_ramps";
/// Gauge: calls that all instances of the region together may hold at upstreams that ramp up.
pub const RAMP_WINDOWS: &str = "medlarlug_gateway_ramp_windows";
/// Counter: signs of strain that halved the window of an upstream that ramps up. Label: `sign`.
pub const RAMP_STRAINS: &str = "medlarlug_gateway_ramp_strains_total";
/// Counter: calls of teams with a quota. Label: `outcome`, one of `charged`, `refunded`, `exceeded` and
/// `unavailable`.
pub const QUOTA_CALLS: &str = "medlarlug_gateway_quota_calls_total";
/// Counter: messages about quotas sent to other instances.
pub const QUOTA_MESSAGES: &str = "medlarlug_gateway_quota_messages_total";
/// Gauge: teams whose tokens this instance keeps for its region.
pub const QUOTA_POOLS: &str = "medlarlug_gateway_quota_pools";

/// Registers the descriptions of all metrics with the installed recorder.
pub fn describe() {
    describe_counter!(CALLS_ENDED, "Calls that ended, by outcome");
    describe_histogram!(HEAD_SECONDS, Unit::Seconds, "Arrival of a call to the head of its answer");
    describe_counter!(RETRIES, "Requests to upstreams beyond the first of their call");
    describe_counter!(RETRIES_DENIED, "Repeats that the budget of their service did not allow");
    describe_counter!(COLD_REQUESTS, "Requests to upstreams that count as cold");
    describe_counter!(LEAVING_UPSTREAMS, "Upstreams that said in an answer that they are leaving");
    describe_counter!(BACKOFFS, "Rests that upstreams asked for");
    describe_counter!(NAMED_LIMITS, "Limits that upstreams named");
    describe_counter!(LIMITED_REQUESTS, "Requests to upstreams that have named a limit");
    describe_counter!(BRITTLE_UPSTREAMS, "Answers that told that an upstream is brittle");
    describe_counter!(SLOT_WAITS, "Calls that waited for a slot of a brittle upstream");
    describe_counter!(ENDED_UPSTREAMS, "Upstreams all of whose connections ended");
    describe_counter!(UPSTREAM_CRASHES, "Upstreams that crashed with requests in flight");
    describe_counter!(QUARANTINED_CALLS, "Calls not run because their content crashes upstreams");
    describe_counter!(UNACCEPTED_CALLS, "Calls not accepted for a team, by reason");
    describe_counter!(UNCONFIRMED_CALLS, "Calls refused because their homes may be out of date");
    describe_counter!(FOREIGN_ANSWERS, "Answers dropped because they belong to another call");
    describe_counter!(FORWARDED_CALLS, "Calls handed to another region");
    describe_counter!(PASSED_CALLS, "Calls passed on to another instance of the region");
    describe_counter!(ISOLATIONS, "Times at which no upstream could be reached any more");
    describe_gauge!(ISOLATED, "1 while no upstream can be reached");
    describe_counter!(PATH_CHECKS, "Connections opened to check the paths to upstreams");
    describe_counter!(LOAD_BYTES, Unit::Bytes, "Load reports sent to instances of the region");
    describe_counter!(BOOKING_BYTES, Unit::Bytes, "Reports of booked tokens sent to instances");
    describe_histogram!(ROOM_WAIT_SECONDS, Unit::Seconds, "Wait for room at an engine or a turn");
    describe_counter!(ROOM_REFUSALS, "Calls refused for lack of room at engines, by standing");
    describe_gauge!(TABLE_VERSION, "Version of the route table in force");
    describe_gauge!(READY_UPSTREAMS, "Upstreams that are known and take calls");
    describe_gauge!(OPEN_LINKS, "Open links to keepers");
    describe_counter!(DIRECTORY_ANSWERS, "Answers of the directory, by scope");
    describe_counter!(ANNOUNCEMENTS, "Announcements of upstreams, by effect");
    describe_counter!(RESUMED_STREAMS, "Calls that resumed a stream, by version found or unknown");
    describe_gauge!(REMEMBERED_STREAMS, "Streams whose software version is remembered");
    describe_counter!(FORGOTTEN_STREAMS, "Streams forgotten early for lack of room");
    describe_gauge!(RAMPS, "Upstreams of the region that ramp up");
    describe_gauge!(RAMP_WINDOWS, "Calls that upstreams that ramp up may hold in the region");
    describe_counter!(RAMP_STRAINS, "Signs of strain that halved the window of a ramp, by sign");
    describe_counter!(QUOTA_CALLS, "Calls of teams with a quota, by outcome");
    describe_counter!(QUOTA_MESSAGES, "Messages about quotas sent to other instances");
    describe_gauge!(QUOTA_POOLS, "Teams whose tokens this instance keeps for its region");
    memory::describe();
    describe_counter!(INVALID_ANNOUNCEMENTS, "Announcements that could not be read");
}

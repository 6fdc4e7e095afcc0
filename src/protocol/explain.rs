//! What an entry instance says about where a call would go now: `GET /explain?host=H&path=P`.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Where a call of a route would go now, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the route.
    pub route: SmolStr,
    /// Service that the route leads to; one of several is drawn by weight for each call.
    pub service: SmolStr,
    /// Version of the route table in force.
    pub table: u64,
    /// Newest version that a keeper has named.
    pub newest_table: u64,
    /// Prompt tokens that were assumed; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Whether the instance reaches no upstream of its region.
    pub is_isolated: bool,
    /// Whether the route may be served in the region of the instance.
    pub may_serve: bool,
    /// What would happen to the call.
    pub decision: Decision,
    /// The upstreams of the service in the own region, sorted by id.
    pub upstreams: Vec<UpstreamView>,
    /// The other regions with live entry instances, sorted.
    pub regions: Vec<RegionView>,
}

/// What would happen to a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Decision {
    /// It is sent to an upstream.
    Upstream {
        /// Id of the upstream.
        id: SmolStr,
        /// Predicted time to the first token or the answer, in milliseconds.
        wait_ms: u64,
    },
    /// It is forwarded to another entry instance, drawn from those of its region.
    Instance {
        /// Id of the instance.
        id: SmolStr,
        /// Region of the instance.
        region: SmolStr,
        /// Predicted time to the first token or the answer, in milliseconds.
        wait_ms: u64,
    },
    /// It waits, and is then sent or refused.
    Wait {
        /// What it waits for.
        reason: WaitReason,
    },
    /// It is refused without having run.
    Refuse {
        /// `Retry-After` of the refusal in seconds, without its random part.
        retry_after_s: f64,
        /// Predicted wait of the best hop, which is too long; `None` if there is no hop.
        wait_ms: Option<u64>,
    },
}

/// What a call waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// A permit of an upstream with a rate limit.
    Permit,
    /// Room at an upstream that ramps up.
    RampRoom,
    /// Admission of its long prompt to an engine.
    Admission,
}

/// An upstream as the instance sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// Id of the upstream.
    pub id: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Whether the call could be sent to it now.
    pub is_usable: bool,
    /// Predicted time to the first token or the answer, in milliseconds.
    pub wait_ms: u64,
    /// The wait with the round trip, delays to other calls and the penalty for failures.
    pub cost_ms: u64,
    /// Calls in flight there, of all instances of the region.
    pub running: u64,
    /// Age of its newest announcement.
    pub age_ms: u64,
    /// Whether it accepts calls by its announcement: it is neither draining nor gone.
    pub is_ready: bool,
    /// Whether it counts as cold.
    pub is_cold: bool,
    /// Whether its zone is evacuated.
    pub is_evacuated: bool,
    /// Whether it is avoided after refusals or failed connections.
    pub is_avoided: bool,
    /// Whether it has said that it is leaving.
    pub is_leaving: bool,
    /// Remaining time of its backoff.
    pub backoff_ms: Option<u64>,
    /// Requests a second that it accepts from all instances.
    pub limit: Option<f64>,
    /// Whether this instance has a permit for it, or it has no limit.
    pub has_permit: bool,
    /// Calls that this instance may hold there while it ramps up.
    pub ramp_calls: Option<u32>,
}

/// Another region as the instance sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegionView {
    /// Id of the region.
    pub region: SmolStr,
    /// Live entry instances there that take calls.
    pub instances: usize,
    /// Whether the route may be served there.
    pub may_serve: bool,
    /// Predicted wait there with the round trip; `None` if it has reported none for the service.
    pub wait_ms: Option<u64>,
}

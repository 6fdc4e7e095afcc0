//! Records of requests: their timelines and outcomes.
//!
//! Every request that an instance accepts ends in exactly one [`Outcome`]. Its record contains a timeline of
//! stages and is stored in the home group of the region that received the request, which is the region in
//! the [`RequestId`].

pub mod batch;

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    ids::{InstanceId, RequestId, TeamId, UpstreamId, ZoneId},
    release::ItemKey,
};

/// Final state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The complete answer was sent to the caller; or a query to the service returned it later, and the
    /// caller gets it when it sends its booking again.
    Answered,
    /// The request was refused, and no upstream can have started it.
    NotRun,
    /// The request ran or was attempted, and failed permanently.
    Failed,
    /// The request may or may not have run.
    Unknown,
    /// The request was accepted, but its instance stopped before it recorded how the request ended.
    NotRecorded,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not_run",
            Outcome::Failed => "failed",
            Outcome::Unknown => "unknown",
            Outcome::NotRecorded => "not_recorded",
        })
    }
}

/// Stage in the processing of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// An instance received the request from the caller.
    Received {
        /// Receiving instance.
        instance: InstanceId,
    },
    /// The request was forwarded to another availability zone.
    Forwarded {
        /// Zone that it was forwarded to.
        zone: ZoneId,
    },
    /// The request was sent to an upstream.
    Sent {
        /// Upstream that it was sent to.
        upstream: UpstreamId,
    },
    /// The first byte of the upstream's answer was received.
    FirstByte,
    /// An attempt failed and the request is retried.
    Retried {
        /// Short description of the failure.
        reason: SmolStr,
    },
    /// The request ended; added again if the service reports the answer later.
    Ended {
        /// Final state of the request.
        outcome: Outcome,
        /// Short description of the reason.
        reason: SmolStr,
    },
}

/// Stage of a request and when it was reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEntry {
    /// Time since the request was received.
    pub after: Duration,
    /// Stage that was reached.
    pub stage: Stage,
}

/// Record of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Id of the request.
    pub id: RequestId,
    /// Team that sent it.
    pub team: TeamId,
    /// Model or service that it is for.
    pub target: ItemKey,
    /// How the request ended; `None` while it runs.
    pub outcome: Option<Outcome>,
    /// Stages of the request, in chronological order.
    pub timeline: Vec<TimelineEntry>,
}

//! What became of one request.
//!
//! Every request that an instance takes in ends in exactly one [`Outcome`]. Its record holds a
//! timeline of stages and lives in the home group of the region that took the request in; the
//! [`RequestId`] names that region.

pub mod batch;

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    ids::{InstanceId, RequestId, TeamId, UpstreamId, ZoneId},
    release::ItemKey,
};

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The caller was sent the whole answer; or the service told it later, and the caller gets it by
    /// sending its booking again.
    Answered,
    /// Refused, and no upstream can have begun it.
    NotRun,
    /// It ran, or was tried, and failed for good.
    Failed,
    /// It may or may not have run.
    Unknown,
    /// It was taken in and its end was not recorded, because the instance stopped before.
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

/// A stage in the life of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The instance took it in.
    Received {
        /// The instance.
        instance: InstanceId,
    },
    /// It was handed to another availability zone.
    Forwarded {
        /// The receiving zone.
        zone: ZoneId,
    },
    /// It was sent to an upstream.
    Sent {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The upstream answered the first byte.
    FirstByte,
    /// An attempt failed and another is made.
    Retried {
        /// Why the attempt failed.
        reason: SmolStr,
    },
    /// It ended.
    Ended {
        /// How.
        outcome: Outcome,
        /// Why, in a few words.
        reason: SmolStr,
    },
}

/// A stage and the time since the request was received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEntry {
    /// Time since the request was received.
    pub after: Duration,
    /// The stage.
    pub stage: Stage,
}

/// The record of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The request.
    pub id: RequestId,
    /// Whose it is.
    pub team: TeamId,
    /// The model or service that it asked for.
    pub target: ItemKey,
    /// How it ended; `None` while it runs.
    pub outcome: Option<Outcome>,
    /// What happened to it, in order.
    pub timeline: Vec<TimelineEntry>,
}

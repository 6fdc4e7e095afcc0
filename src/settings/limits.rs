//! Limits on requests and connections of callers.

use std::time::Duration;

use medlarlug_core::units::ByteSize;
use serde::Deserialize;

use crate::settings::{
    error::LineFault,
    source::{Lined, bounded},
};

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head; a larger one is refused with status 431.
    pub header: ByteSize,
    /// Largest request body; a larger one is refused with status 413.
    pub body: ByteSize,
    /// Most open connections of callers; further ones are closed at once.
    pub connections: u32,
    /// Requests after which a connection is closed.
    pub requests: u32,
    /// Longest time until the head and the body of a request have arrived; then the request is
    /// refused with status 408.
    pub receive_timeout: Duration,
    /// Longest `Idempotency-Key`; a longer one is refused with status 400.
    pub key_limit: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            header: ByteSize(16 * KIB),
            body: ByteSize(4 * MIB),
            connections: 4_096,
            requests: 10_000,
            receive_timeout: Duration::from_secs(10),
            key_limit: 128,
        }
    }
}

/// [`Limits`] as written in the settings file; absent fields have their default.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct RawLimits {
    header_bytes: Option<Lined<u64>>,
    body_bytes: Option<Lined<u64>>,
    connections: Option<Lined<u64>>,
    requests: Option<Lined<u64>>,
    sender_seconds: Option<Lined<u64>>,
    key_bytes: Option<Lined<u64>>,
}

impl TryFrom<RawLimits> for Limits {
    type Error = LineFault;

    fn try_from(raw: RawLimits) -> Result<Limits, LineFault> {
        let defaults = Limits::default();
        let checked = |field, value: Option<Lined<u64>>, default: u64, min, max| {
            value.map_or(Ok(default), |value| bounded(field, &value, min, max))
        };
        let receive_seconds = checked(
            "sender_seconds",
            raw.sender_seconds,
            defaults.receive_timeout.as_secs(),
            1,
            600,
        )?;
        let connections =
            checked("connections", raw.connections, defaults.connections.into(), 1, 1_000_000)?;
        let requests =
            checked("requests", raw.requests, defaults.requests.into(), 1, 1_000_000_000)?;
        let key_limit = checked("key_bytes", raw.key_bytes, defaults.key_limit as u64, 1, 4 * KIB)?;
        Ok(Limits {
            header: ByteSize(checked(
                "header_bytes",
                raw.header_bytes,
                defaults.header.0,
                KIB * 8,
                MIB,
            )?),
            body: ByteSize(checked("body_bytes", raw.body_bytes, defaults.body.0, KIB, 256 * MIB)?),
            connections: connections as u32,
            requests: requests as u32,
            receive_timeout: Duration::from_secs(receive_seconds),
            key_limit: key_limit as usize,
        })
    }
}

//! What a call costs in another region.
//!
//! Entry instances tell how long a prompt of usual size would wait in their region. A call is
//! measured against that by its own prompt: what is longer is read in addition, and shared parts
//! that the engines there may not hold are read again, which delays other calls as it does here. So
//! calls stay where their shared parts are until their region is well behind, and regions don't
//! read all sessions of each other.
//!
//! This answers peaks of one region while others have room.

use std::time::Duration;

use crate::gateway::placement::{Demand, READ_RATE};

/// Prompt tokens of the call for which a region tells the wait.
pub const USUAL_PROMPT: u32 = 2_000;

/// Part of the shared tokens of a prompt that another region is taken to read again: sessions live
/// in few regions, and parts that everyone shares are held in all.
const UNHELD_SHARE: f64 = 0.5;

/// Weight of reading a shared part again there: less than within a region, where other engines read
/// it instead of the one that holds it, since here the own engines are behind.
const REREAD_WEIGHT: f64 = 3.0;

/// What is known of a service in another region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Region {
    /// Time to the first token of a usual call, as told by the instances there.
    pub told: Duration,
    /// Prompt tokens that this instance has handed over since and that are not answered yet.
    pub unread: u64,
    /// Upstreams there.
    pub upstreams: usize,
}

/// Predicted time to the first token there with the delay of other calls, without the way.
///
/// ```
/// use std::time::Duration;
/// use medlarlug_core::gateway::{remote_region::{Region, cost}, placement::Demand};
///
/// let told = Duration::from_millis(80);
/// let region = Region { told, unread: 0, upstreams: 4 };
/// assert_eq!(cost(region, &Demand::default()), told);
/// ```
pub fn cost(region: Region, demand: &Demand) -> Duration {
    let queued = region.unread as f64 / READ_RATE / region.upstreams.max(1) as f64;
    let shared = f64::from(demand.shared()) * UNHELD_SHARE;
    let own = f64::from(demand.prompt.saturating_sub(demand.shared()));
    let longer = (own + shared - f64::from(USUAL_PROMPT)).max(0.0) / READ_RATE;
    let others = shared * REREAD_WEIGHT / READ_RATE;
    region.told + Duration::from_secs_f64((queued + longer + others) / 1_000.0)
}

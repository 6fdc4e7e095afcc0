//! What a load report says of the time until new work begins.

use std::time::Duration;

use crate::announcement::Announcement;

/// Prompt tokens that an engine processes a second until it has been observed.
pub const PREFILL_TOKENS_PER_SECOND: f64 = 8_000.0;
/// Tokens of an answer until an upstream has been observed.
pub const ASSUMED_OUTPUT_TOKENS: f64 = 200.0;
/// Time that a request holds its slot when the report names no speed.
pub const DEFAULT_SLOT_TIME: Duration = Duration::from_secs(1);

/// Slots that are free by the report.
pub fn free_slots(announcement: &Announcement) -> u32 {
    let load = &announcement.load;
    announcement.slots.0.saturating_sub(load.running.saturating_add(load.waiting))
}

/// Time that a request holds its slot, by the speed that the report names.
pub fn slot_time(announcement: &Announcement) -> Duration {
    let load = &announcement.load;
    if load.speed <= 0.0 || load.running == 0 {
        return DEFAULT_SLOT_TIME;
    }
    let own_speed = load.speed / f64::from(load.running);
    Duration::from_secs_f64((ASSUMED_OUTPUT_TOKENS / own_speed).clamp(0.001, 60.0))
}

/// Predicted time until new work begins, by the report alone.
///
/// The backlog of prompts is processed first; a request that finds no free slot also waits until
/// the requests before it have ended.
pub fn queueing_time(announcement: &Announcement) -> Duration {
    let load = &announcement.load;
    let prompts = Duration::from_secs_f64(load.backlog.0 as f64 / PREFILL_TOKENS_PER_SECOND);
    let slots = announcement.slots.0.max(1);
    let ahead = (load.running + load.waiting + 1).saturating_sub(slots);
    prompts + slot_time(announcement) * ahead / slots
}

//! Estimates from a load report: free slots, and the time until new work begins.

use std::time::Duration;

use crate::announcement::Announcement;

/// Prompt tokens that an engine is assumed to process per second.
pub const PREFILL_TOKENS_PER_SECOND: f64 = 8_000.0;
/// Output tokens that a response is assumed to have.
pub const ASSUMED_OUTPUT_TOKENS: f64 = 200.0;
/// Time that a request is assumed to hold its slot when the report names no generation speed.
pub const DEFAULT_SLOT_TIME: Duration = Duration::from_secs(1);

/// Slots that are free according to the report.
pub fn free_slots(announcement: &Announcement) -> u32 {
    let load = &announcement.load;
    announcement.slots.0.saturating_sub(load.running.saturating_add(load.waiting))
}

/// Time that a request holds its slot, from the generation speed in the report.
pub fn slot_time(announcement: &Announcement) -> Duration {
    let load = &announcement.load;
    if load.speed <= 0.0 || load.running == 0 {
        return DEFAULT_SLOT_TIME;
    }
    let speed_per_request = load.speed / f64::from(load.running);
    Duration::from_secs_f64((ASSUMED_OUTPUT_TOKENS / speed_per_request).clamp(0.001, 60.0))
}

/// Predicted time until new work begins, from the report alone.
///
/// The backlog of prompts is processed first. A request that finds no free slot also waits until
/// the requests ahead of it have ended.
pub fn queueing_time(announcement: &Announcement) -> Duration {
    let load = &announcement.load;
    let prompts = Duration::from_secs_f64(load.backlog.0 as f64 / PREFILL_TOKENS_PER_SECOND);
    let slots = announcement.slots.0.max(1);
    let ahead = (load.running + load.waiting + 1).saturating_sub(slots);
    prompts + slot_time(announcement) * ahead / slots
}

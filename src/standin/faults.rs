//! Faults that a test injects through the control port.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// A fault, as JSON of `POST /faults`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// The upstream stops at once: connections break, streams and cache are lost. With
    /// `restart_ms` it starts again as a new incarnation, else it stays down.
    Crash {
        /// Time until it starts again, in milliseconds.
        #[serde(default)]
        restart_ms: Option<u64>,
    },
    /// It takes connections but does nothing.
    Freeze {
        /// For so long, in milliseconds.
        for_ms: u64,
    },
    /// Connections that are open now carry no byte any more; new ones work.
    SilenceOpenConnections,
    /// Connections that are open now break; what runs goes on.
    CutOpenConnections,
    /// The connection of the next calls breaks before the upstream takes them in: they don't run.
    DropCall {
        /// How many calls.
        count: u32,
    },
    /// The next calls run, but their connection breaks before the answer.
    LoseAnswer {
        /// How many calls.
        count: u32,
    },
    /// The answers of the next calls come late.
    LateAnswer {
        /// How many calls.
        count: u32,
        /// Delay in milliseconds.
        delay_ms: u64,
    },
    /// The next calls get an answer that belongs to another request.
    CrossedAnswer {
        /// How many calls.
        count: u32,
    },
    /// The next calls are refused as not started.
    Refuse {
        /// How many calls.
        count: u32,
    },
    /// Everything takes `factor` times as long.
    Slow {
        /// The factor, above zero.
        factor: f64,
    },
    /// Ends freezing, slowness and all faults of next calls.
    Clear,
}

/// The faults in force.
#[derive(Debug)]
pub struct FaultState {
    frozen: Option<Instant>,
    dropped: u32,
    lost: u32,
    late: u32,
    delay: Duration,
    crossed: u32,
    refused: u32,
    /// Factor on the time that everything takes.
    pub slowdown: f64,
}

/// The fault of the answer to one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerFault {
    /// The call is not taken in; its connection breaks.
    pub dropped: bool,
    /// It is never sent.
    pub lost: bool,
    /// It belongs to another request.
    pub crossed: bool,
    /// The call is refused as not started.
    pub refused: bool,
    /// It is sent so much later.
    pub delay: Duration,
}

impl Default for FaultState {
    fn default() -> FaultState {
        FaultState {
            frozen: None,
            dropped: 0,
            lost: 0,
            late: 0,
            delay: Duration::ZERO,
            crossed: 0,
            refused: 0,
            slowdown: 1.0,
        }
    }
}

impl FaultState {
    /// Puts a fault in force; those that concern connections or the process are the caller's part.
    pub fn inject(&mut self, fault: &Fault, now: Instant) {
        match fault {
            Fault::Freeze { for_ms } => self.frozen = Some(now + Duration::from_millis(*for_ms)),
            Fault::DropCall { count } => self.dropped = *count,
            Fault::LoseAnswer { count } => self.lost = *count,
            Fault::LateAnswer { count, delay_ms } => {
                self.late = *count;
                self.delay = Duration::from_millis(*delay_ms);
            }
            Fault::CrossedAnswer { count } => self.crossed = *count,
            Fault::Refuse { count } => self.refused = *count,
            Fault::Slow { factor } if *factor > 0.0 => self.slowdown = *factor,
            Fault::Clear => *self = FaultState::default(),
            _ => {}
        }
    }

    /// The end of the freezing, while it lasts.
    pub fn frozen_until(&self, now: Instant) -> Option<Instant> {
        self.frozen.filter(|end| *end > now)
    }

    /// Decides what happens to the next call.
    pub fn next_answer_fault(&mut self) -> AnswerFault {
        let take = |count: &mut u32| {
            let is_hit = *count > 0;
            *count = count.saturating_sub(1);
            is_hit
        };
        if take(&mut self.dropped) {
            return AnswerFault { dropped: true, ..AnswerFault::default() };
        }
        if take(&mut self.refused) {
            return AnswerFault { refused: true, ..AnswerFault::default() };
        }
        AnswerFault {
            dropped: false,
            lost: take(&mut self.lost),
            crossed: take(&mut self.crossed),
            refused: false,
            delay: if take(&mut self.late) { self.delay } else { Duration::ZERO },
        }
    }
}

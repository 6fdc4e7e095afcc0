//! Faults that tests inject through the control port.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// A fault; the JSON body of `POST /faults`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// The upstream crashes: connections are closed, streams and cache are lost. With `restart_ms` it
    /// restarts as a new incarnation, otherwise it stays down.
    Crash {
        /// Time until it restarts, in milliseconds.
        #[serde(default)]
        restart_ms: Option<u64>,
    },
    /// The upstream accepts connections but does nothing else.
    Freeze {
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// Open connections become unresponsive: they transfer no more data; new ones work.
    SilenceOpenConnections,
    /// Open connections are closed; running requests continue.
    CutOpenConnections,
    /// The connections of the next calls are closed before the upstream accepts the calls, which don't
    /// run.
    DropCall {
        /// How many calls.
        count: u32,
    },
    /// The next calls run, but their connections are closed before the answer.
    LoseAnswer {
        /// How many calls.
        count: u32,
    },
    /// The answers of the next calls are delayed.
    LateAnswer {
        /// How many calls.
        count: u32,
        /// Delay in milliseconds.
        delay_ms: u64,
    },
    /// The next calls get an answer that belongs to another request (misdelivered).
    CrossedAnswer {
        /// How many calls.
        count: u32,
    },
    /// The next calls are refused with the error code `not_started`.
    Refuse {
        /// How many calls.
        count: u32,
    },
    /// All work takes `factor` times as long.
    Slow {
        /// The factor; ignored unless it is above zero.
        factor: f64,
    },
    /// Ends a freeze, a slowdown and all faults of future calls.
    Clear,
}

/// The active faults of an upstream.
#[derive(Debug)]
pub struct FaultState {
    frozen_until: Option<Instant>,
    // Calls that each fault still applies to.
    dropped_calls: u32,
    lost_answers: u32,
    delayed_answers: u32,
    answer_delay: Duration,
    misdelivered_answers: u32,
    refused_calls: u32,
    /// Factor by which all work takes longer.
    pub slowdown: f64,
}

/// The faults that apply to one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerFault {
    /// The call is not accepted; its connection is closed.
    pub dropped: bool,
    /// The answer is not sent; the connection is closed.
    pub lost: bool,
    /// The answer belongs to another request.
    pub misdelivered: bool,
    /// The call is refused with the error code `not_started`.
    pub refused: bool,
    /// Additional delay of the answer.
    pub delay: Duration,
}

impl Default for FaultState {
    fn default() -> FaultState {
        FaultState {
            frozen_until: None,
            dropped_calls: 0,
            lost_answers: 0,
            delayed_answers: 0,
            answer_delay: Duration::ZERO,
            misdelivered_answers: 0,
            refused_calls: 0,
            slowdown: 1.0,
        }
    }
}

impl FaultState {
    /// Activates a fault. The caller handles the faults of connections and of the whole process.
    pub fn inject(&mut self, fault: &Fault, now: Instant) {
        match fault {
            Fault::Freeze { for_ms } => {
                self.frozen_until = Some(now + Duration::from_millis(*for_ms))
            }
            Fault::DropCall { count } => self.dropped_calls = *count,
            Fault::LoseAnswer { count } => self.lost_answers = *count,
            Fault::LateAnswer { count, delay_ms } => {
                self.delayed_answers = *count;
                self.answer_delay = Duration::from_millis(*delay_ms);
            }
            Fault::CrossedAnswer { count } => self.misdelivered_answers = *count,
            Fault::Refuse { count } => self.refused_calls = *count,
            Fault::Slow { factor } if *factor > 0.0 => self.slowdown = *factor,
            Fault::Clear => *self = FaultState::default(),
            _ => {}
        }
    }

    /// The end of the current freeze; `None` if the upstream is not frozen.
    pub fn frozen_until(&self, now: Instant) -> Option<Instant> {
        self.frozen_until.filter(|end| *end > now)
    }

    /// Returns the faults of the next call and counts the call for each of them.
    pub fn next_answer_fault(&mut self) -> AnswerFault {
        let take = |count: &mut u32| {
            let applies = *count > 0;
            *count = count.saturating_sub(1);
            applies
        };
        if take(&mut self.dropped_calls) {
            return AnswerFault { dropped: true, ..AnswerFault::default() };
        }
        if take(&mut self.refused_calls) {
            return AnswerFault { refused: true, ..AnswerFault::default() };
        }
        AnswerFault {
            dropped: false,
            lost: take(&mut self.lost_answers),
            misdelivered: take(&mut self.misdelivered_answers),
            refused: false,
            delay: if take(&mut self.delayed_answers) { self.answer_delay } else { Duration::ZERO },
        }
    }
}

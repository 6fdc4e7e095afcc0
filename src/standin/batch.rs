//! Continuous batching: slots, prompt processing and generation.
//!
//! A job that gets a slot first has its prompt processed, one prompt after another, and then
//! generates one token in each step of the batch. The step takes longer the more jobs share it,
//! so one stream slows down while the batch as a whole speeds up. Among waiting jobs the highest
//! priority goes first, then the oldest.

use std::{rc::Rc, time::Duration};

use medlarlug_core::units::{Rate, Slots, Tokens};
use tokio::time::Instant;

use crate::standin::streams::{Phase, Stream};

/// Share by which each further job lengthens a step.
pub const STEP_GROWTH: f64 = 0.03;

/// Waiting jobs for each slot; further ones are refused.
pub const QUEUE_FACTOR: u32 = 4;

/// The batch of one engine.
#[derive(Debug)]
pub struct Batch {
    slots: usize,
    speed: Rate,
    prefill: Rate,
    waiting: Vec<Job>,
    running: Vec<Job>,
    prefill_end: Instant,
    generated: u64,
}

/// One request in the batch.
#[derive(Debug)]
struct Job {
    stream: Rc<Stream>,
    priority: u8,
    /// Prompt tokens that are not cached.
    prompt: Tokens,
    /// Time at which its prompt is processed.
    ready: Instant,
}

impl Batch {
    /// An idle batch.
    pub fn new(slots: Slots, speed: Rate, prefill: Rate) -> Batch {
        Batch {
            slots: slots.0 as usize,
            speed,
            prefill,
            waiting: Vec::new(),
            running: Vec::new(),
            prefill_end: Instant::now(),
            generated: 0,
        }
    }

    /// Whether a further job would wait in a full queue.
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= self.slots * QUEUE_FACTOR as usize
    }

    /// Queues `stream`, of whose prompt `prompt` tokens are not cached.
    pub fn push(&mut self, stream: Rc<Stream>, priority: u8, prompt: Tokens) {
        let job = Job { stream, priority, prompt, ready: self.prefill_end };
        let place = self.waiting.partition_point(|it| it.priority >= priority);
        self.waiting.insert(place, job);
    }

    /// Generates one token of each ready job; returns the time of the next step, or `None` when
    /// nothing runs.
    pub fn step(&mut self, now: Instant, slowdown: f64) -> Option<Instant> {
        for job in self.running.iter().filter(|it| it.ready <= now) {
            if job.stream.phase() == Phase::Running {
                job.stream.advance();
                self.generated += 1;
            }
        }
        self.running.retain(|it| it.stream.phase() == Phase::Running);
        self.admit(now, slowdown);
        let first = self.running.iter().map(|it| it.ready).min()?;
        Some(first.max(now + self.step_time(slowdown)))
    }

    /// Jobs that have a slot.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Jobs that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Prompt tokens of waiting jobs that are not cached.
    pub fn backlog(&self) -> Tokens {
        Tokens(self.waiting.iter().map(|it| it.prompt.0).sum())
    }

    /// Takes the number of tokens generated since the last call.
    pub fn take_generated(&mut self) -> u64 {
        std::mem::take(&mut self.generated)
    }

    fn admit(&mut self, now: Instant, slowdown: f64) {
        self.waiting.retain(|it| {
            if it.stream.deadline.is_some_and(|deadline| deadline < now) {
                it.stream.enter(Phase::Expired);
            }
            it.stream.phase() == Phase::Waiting
        });
        while self.running.len() < self.slots && !self.waiting.is_empty() {
            let mut job = self.waiting.remove(0);
            let seconds = job.prompt.0 as f64 / self.prefill.get() * slowdown;
            self.prefill_end = self.prefill_end.max(now) + Duration::from_secs_f64(seconds);
            job.ready = self.prefill_end;
            job.stream.enter(Phase::Running);
            self.running.push(job);
        }
    }

    fn step_time(&self, slowdown: f64) -> Duration {
        let others = self.running.len().saturating_sub(1) as f64;
        Duration::from_secs_f64((1.0 + STEP_GROWTH * others) * slowdown / self.speed.get())
    }
}

//! Continuous batching: slots, prefill and decoding.
//!
//! When a job gets a slot, its prompt is prefilled, one prompt at a time; then the job generates one
//! token in each step of the batch. A step takes longer the more jobs share it, so that each stream
//! becomes slower while the throughput of the batch increases. Waiting jobs get a slot in the order of
//! their priority, jobs of equal priority in the order of arrival.

use std::{rc::Rc, time::Duration};

use medlarlug_core::units::{Rate, Slots, Tokens};
use tokio::time::Instant;

use crate::standin::streams::{Phase, Stream};

/// Fraction of the time of a step by which each job after the first one lengthens the step.
pub const STEP_GROWTH_PER_JOB: f64 = 0.03;

/// Capacity of the queue for each slot; further jobs are refused.
pub const MAX_WAITING_PER_SLOT: u32 = 4;

/// The batch of one engine.
#[derive(Debug)]
pub struct Batch {
    slots: usize,
    decode_rate: Rate,
    prefill_rate: Rate,
    waiting: Vec<Job>,
    running: Vec<Job>,
    /// Time at which the prefill of all admitted jobs is done.
    prefill_free: Instant,
    /// Tokens generated since [`Batch::take_generated`] was last called.
    generated_tokens: u64,
}

/// One request in the batch.
#[derive(Debug)]
struct Job {
    stream: Rc<Stream>,
    priority: u8,
    /// Prompt tokens that are not in the prefix cache.
    uncached_prompt: Tokens,
    /// Time at which its prefill is done.
    prefill_done: Instant,
}

impl Batch {
    /// An idle batch; both rates are in tokens per second.
    pub fn new(slots: Slots, decode_rate: Rate, prefill_rate: Rate) -> Batch {
        Batch {
            slots: slots.0 as usize,
            decode_rate,
            prefill_rate,
            waiting: Vec::new(),
            running: Vec::new(),
            prefill_free: Instant::now(),
            generated_tokens: 0,
        }
    }

    /// Whether the queue is full, so that further jobs have to be refused.
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= self.slots * MAX_WAITING_PER_SLOT as usize
    }

    /// Queues `stream`, of whose prompt `uncached_prompt` tokens are not in the prefix cache.
    pub fn push(&mut self, stream: Rc<Stream>, priority: u8, uncached_prompt: Tokens) {
        let job = Job { stream, priority, uncached_prompt, prefill_done: self.prefill_free };
        let index = self.waiting.partition_point(|it| it.priority >= priority);
        self.waiting.insert(index, job);
    }

    /// Generates one token for each running job whose prefill is done; returns the time of the next
    /// step, or `None` when no job is running. `slowdown` multiplies all times.
    pub fn step(&mut self, now: Instant, slowdown: f64) -> Option<Instant> {
        for job in self.running.iter().filter(|it| it.prefill_done <= now) {
            if job.stream.phase() == Phase::Running {
                job.stream.generate_token();
                self.generated_tokens += 1;
            }
        }
        self.running.retain(|it| it.stream.phase() == Phase::Running);
        self.admit(now, slowdown);
        let first = self.running.iter().map(|it| it.prefill_done).min()?;
        Some(first.max(now + self.step_time(slowdown)))
    }

    /// Number of jobs that have a slot.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of jobs that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Prompt tokens of waiting jobs that are not in the prefix cache.
    pub fn backlog(&self) -> Tokens {
        Tokens(self.waiting.iter().map(|it| it.uncached_prompt.0).sum())
    }

    /// Returns the number of tokens generated since the last call.
    pub fn take_generated(&mut self) -> u64 {
        std::mem::take(&mut self.generated_tokens)
    }

    fn admit(&mut self, now: Instant, slowdown: f64) {
        self.waiting.retain(|it| {
            if it.stream.deadline.is_some_and(|deadline| deadline < now) {
                it.stream.set_phase(Phase::Expired);
            }
            it.stream.phase() == Phase::Waiting
        });
        while self.running.len() < self.slots && !self.waiting.is_empty() {
            let mut job = self.waiting.remove(0);
            let seconds = job.uncached_prompt.0 as f64 / self.prefill_rate.get() * slowdown;
            self.prefill_free = self.prefill_free.max(now) + Duration::from_secs_f64(seconds);
            job.prefill_done = self.prefill_free;
            job.stream.set_phase(Phase::Running);
            self.running.push(job);
        }
    }

    fn step_time(&self, slowdown: f64) -> Duration {
        let others = self.running.len().saturating_sub(1) as f64;
        Duration::from_secs_f64(
            (1.0 + STEP_GROWTH_PER_JOB * others) * slowdown / self.decode_rate.get(),
        )
    }
}

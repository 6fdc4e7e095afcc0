//! The stand-in's model of batching and prefix caching: slots, sequential prefill, an LRU cache.

use std::collections::VecDeque;

use medlarlug_core::{announcement::LoadReport, fingerprint::Fingerprint, units::Tokens};

/// Prompt tokens that an engine processes per second.
pub const PREFILL_TOKENS_PER_SECOND: f64 = 8_000.0;
/// Tokens that an engine generates per second for each stream: one every 29 ms.
pub const STREAM_TOKENS_PER_SECOND: f64 = 1.0 / 0.029;
/// Requests that an engine runs concurrently.
pub const SLOTS: u32 = 16;
/// Prefixes that fit into the cache of an engine.
const CACHE_CAPACITY: usize = 12;

#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub request_index: usize,
    pub prefix: Fingerprint,
    pub prefix_tokens: u64,
    pub prompt_tokens: u64,
    pub answer_tokens: f64,
}

/// A job that got a slot, with the times of its first token and its end in simulated seconds.
#[derive(Debug, Clone, Copy)]
pub struct Started {
    pub request_index: usize,
    pub token_at: f64,
    pub end_at: f64,
    pub prefill_tokens: u64,
    pub is_hit: bool,
}

#[derive(Debug, Default)]
pub struct Engine {
    pub is_up: bool,
    pub epoch: u64,
    pub slowdown: f64,
    pub reports_idle: bool,
    running: u32,
    queue: VecDeque<Job>,
    prefill_free: f64,
    cache: VecDeque<Fingerprint>,
    cached: Vec<Fingerprint>,
    evicted: Vec<Fingerprint>,
}

impl Engine {
    pub fn new() -> Engine {
        Engine { is_up: true, slowdown: 1.0, ..Engine::default() }
    }

    /// Stops the engine and drops its jobs and its cache.
    pub fn crash(&mut self) {
        let (epoch, slowdown) = (self.epoch + 1, self.slowdown);
        *self = Engine { epoch, slowdown, ..Engine::default() };
    }

    pub fn accept(&mut self, now: f64, job: Job) -> Option<Started> {
        if self.running < SLOTS {
            return Some(self.start(now, job));
        }
        self.queue.push_back(job);
        None
    }

    pub fn cancel(&mut self, request_index: usize) -> bool {
        let before = self.queue.len();
        self.queue.retain(|it| it.request_index != request_index);
        self.queue.len() < before
    }

    pub fn finish(&mut self, now: f64) -> Option<Started> {
        self.running -= 1;
        let job = self.queue.pop_front()?;
        Some(self.start(now, job))
    }

    fn start(&mut self, now: f64, job: Job) -> Started {
        self.running += 1;
        let is_hit = self.use_prefix(job.prefix);
        let prefill_tokens =
            if is_hit { job.prompt_tokens - job.prefix_tokens } else { job.prompt_tokens };
        let begin = now.max(self.prefill_free);
        let token_at = begin + prefill_tokens as f64 / PREFILL_TOKENS_PER_SECOND * self.slowdown;
        self.prefill_free = token_at;
        let end_at = token_at + job.answer_tokens / STREAM_TOKENS_PER_SECOND * self.slowdown;
        Started { request_index: job.request_index, token_at, end_at, prefill_tokens, is_hit }
    }

    fn use_prefix(&mut self, prefix: Fingerprint) -> bool {
        let found = self.cache.iter().position(|it| *it == prefix);
        if let Some(index) = found {
            self.cache.remove(index);
        } else {
            self.cached.push(prefix);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHE_CAPACITY {
            self.evicted.extend(self.cache.pop_front());
        }
        found.is_some()
    }

    /// The current load, with the cache events since the last report.
    pub fn report(&mut self, now: f64) -> LoadReport {
        let cached = std::mem::take(&mut self.cached);
        let evicted = std::mem::take(&mut self.evicted);
        if self.reports_idle {
            return LoadReport { cached, evicted, ..LoadReport::default() };
        }
        let queued: u64 = self.queue.iter().map(|it| it.prompt_tokens).sum();
        let in_prefill = ((self.prefill_free - now).max(0.0) * PREFILL_TOKENS_PER_SECOND) as u64;
        LoadReport {
            running: self.running,
            waiting: self.queue.len() as u32,
            backlog: Tokens(queued + in_prefill),
            speed: f64::from(self.running) * STREAM_TOKENS_PER_SECOND,
            cached,
            evicted,
            ..LoadReport::default()
        }
    }
}

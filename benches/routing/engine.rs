//! Stand-in's batching and prefix-cache model: slots, one prompt processor, a small LRU cache.

use std::collections::VecDeque;

use medlarlug_core::{announcement::LoadReport, fingerprint::Fingerprint, units::Tokens};

/// Prompt tokens that an engine processes a second.
pub const PREFILL_TOKENS_PER_SECOND: f64 = 8_000.0;
/// Tokens of one stream a second.
pub const STREAM_SPEED: f64 = 1.0 / 0.029;
/// Requests that an engine runs at once.
pub const SLOTS: u32 = 16;
/// Prefixes that fit its cache.
const CACHE: usize = 12;

#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub attempt: usize,
    pub prefix: Fingerprint,
    pub prefix_tokens: u64,
    pub prompt: u64,
    pub answer: f64,
}

/// A job that got a slot, and the times of its first token and its end, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Started {
    pub attempt: usize,
    pub first: f64,
    pub end: f64,
    pub processed: u64,
    pub is_hit: bool,
}

#[derive(Debug, Default)]
pub struct Engine {
    pub is_up: bool,
    pub epoch: u64,
    pub slowness: f64,
    pub reports_idle: bool,
    running: u32,
    queue: VecDeque<Job>,
    free_at: f64,
    cache: VecDeque<Fingerprint>,
    cached: Vec<Fingerprint>,
    evicted: Vec<Fingerprint>,
}

impl Engine {
    pub fn new() -> Engine {
        Engine { is_up: true, slowness: 1.0, ..Engine::default() }
    }

    /// Stops the engine; a later start has a cold cache.
    pub fn crash(&mut self) {
        let (epoch, slowness) = (self.epoch + 1, self.slowness);
        *self = Engine { epoch, slowness, ..Engine::default() };
    }

    pub fn accept(&mut self, now: f64, job: Job) -> Option<Started> {
        if self.running < SLOTS {
            return Some(self.start(now, job));
        }
        self.queue.push_back(job);
        None
    }

    pub fn cancel(&mut self, attempt: usize) -> bool {
        let before = self.queue.len();
        self.queue.retain(|it| it.attempt != attempt);
        self.queue.len() < before
    }

    pub fn end(&mut self, now: f64) -> Option<Started> {
        self.running -= 1;
        let job = self.queue.pop_front()?;
        Some(self.start(now, job))
    }

    fn start(&mut self, now: f64, job: Job) -> Started {
        self.running += 1;
        let is_hit = self.touch(job.prefix);
        let processed = if is_hit { job.prompt - job.prefix_tokens } else { job.prompt };
        let begin = now.max(self.free_at);
        let first = begin + processed as f64 / PREFILL_TOKENS_PER_SECOND * self.slowness;
        self.free_at = first;
        let end = first + job.answer / STREAM_SPEED * self.slowness;
        Started { attempt: job.attempt, first, end, processed, is_hit }
    }

    fn touch(&mut self, prefix: Fingerprint) -> bool {
        let found = self.cache.iter().position(|it| *it == prefix);
        if let Some(place) = found {
            self.cache.remove(place);
        } else {
            self.cached.push(prefix);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHE {
            self.evicted.extend(self.cache.pop_front());
        }
        found.is_some()
    }

    /// The load now; cache events are handed out once.
    pub fn report(&mut self, now: f64) -> LoadReport {
        let cached = std::mem::take(&mut self.cached);
        let evicted = std::mem::take(&mut self.evicted);
        if self.reports_idle {
            return LoadReport { cached, evicted, ..LoadReport::default() };
        }
        let queued: u64 = self.queue.iter().map(|it| it.prompt).sum();
        let in_work = ((self.free_at - now).max(0.0) * PREFILL_TOKENS_PER_SECOND) as u64;
        LoadReport {
            running: self.running,
            waiting: self.queue.len() as u32,
            backlog: Tokens(queued + in_work),
            speed: f64::from(self.running) * STREAM_SPEED,
            cached,
            evicted,
            ..LoadReport::default()
        }
    }
}

//! The state of one streamed answer.

use std::time::Duration;

use crate::{
    ids::RequestId,
    refusal::{Reason, Refusal},
    stream::{Chunk, ConnectionNumber, Effect, Event, StreamPolicy},
    time::Time,
};

/// Time to come back after an answer that could not be finished.
const FAILED_WAIT: Duration = Duration::from_secs(1);

/// What a tracker dropped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamCounters {
    /// Chunks that carried another request's id.
    pub wrong_request: u64,
    /// Chunks of a replaced connection, and chunks after the end.
    pub late: u64,
    /// Chunks of which the caller had every byte.
    pub duplicate: u64,
    /// Chunks that came with bytes missing before them.
    pub gaps: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Waiting,
    Flowing,
    Ended,
}

/// Follows one request's streamed answer.
///
/// ```
/// use medlarlug_core::{
///     stream::{Chunk, ConnectionNumber, Effect, Event, StreamPolicy, StreamTracker},
///     time::Time,
/// };
///
/// let request: medlarlug_core::ids::RequestId = "riga.entry-1.1.7".parse().unwrap();
/// let mut stream = StreamTracker::new(request.clone(), StreamPolicy::default(), Time::ZERO);
/// let chunk = Chunk { request, offset: 0, length: 12, terminal: true };
/// let mut out = Vec::new();
/// let connection = ConnectionNumber(0);
/// stream.handle(Time::from_millis(3), Event::Chunk { connection, chunk }, &mut out);
/// assert_eq!(out, [Effect::Deliver { skip: 0, length: 12 }, Effect::Complete]);
/// ```
#[derive(Debug, Clone)]
pub struct StreamTracker {
    request: RequestId,
    policy: StreamPolicy,
    connection: ConnectionNumber,
    base: u64,
    delivered: u64,
    heard: Time,
    phase: Phase,
    /// Connections given up since the last bytes were delivered.
    fruitless: u32,
    counters: StreamCounters,
}

impl StreamTracker {
    /// A tracker for an answer that connection 0 is to bring.
    pub fn new(request: RequestId, policy: StreamPolicy, now: Time) -> StreamTracker {
        StreamTracker {
            request,
            policy,
            connection: ConnectionNumber(0),
            base: 0,
            delivered: 0,
            heard: now,
            phase: Phase::Waiting,
            fruitless: 0,
            counters: StreamCounters::default(),
        }
    }

    /// Bytes that the caller has.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// What was dropped so far.
    pub fn counters(&self) -> StreamCounters {
        self.counters
    }

    /// Whether the answer was completed, failed or given up by the caller.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// When the current connection counts as silent.
    ///
    /// The time doubles with each connection that brought nothing, so that a slow upstream is not
    /// taken for a silent one again and again.
    pub fn timeout_at(&self) -> Time {
        let patience = match self.phase {
            Phase::Flowing => self.policy.chunk_timeout,
            _ => self.policy.first_byte_timeout,
        };
        self.heard + patience * 2u32.saturating_pow(self.fruitless)
    }

    /// Feeds one event in.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Opened { connection } => self.open(now, connection),
            Event::Chunk { connection, chunk } => self.take(now, connection, &chunk, out),
            Event::ConnectionLost { connection } => self.lose(now, connection, out),
            Event::ResumeRefused { connection } => self.move_on(now, connection, out),
            Event::Tick => self.tick(now, out),
            Event::GivenUp(refusal) => self.give_up(refusal, out),
            Event::CallerDisconnected => self.cancel(out),
        }
    }

    fn is_current(&self, connection: ConnectionNumber) -> bool {
        self.phase != Phase::Ended && connection == self.connection
    }

    fn open(&mut self, now: Time, connection: ConnectionNumber) {
        if self.is_current(connection) {
            self.heard = now;
        }
    }

    fn take(
        &mut self,
        now: Time,
        connection: ConnectionNumber,
        chunk: &Chunk,
        out: &mut Vec<Effect>,
    ) {
        if chunk.request != self.request {
            self.counters.wrong_request += 1;
            return;
        }
        if !self.is_current(connection) {
            self.counters.late += 1;
            return;
        }
        self.heard = now;
        self.phase = Phase::Flowing;
        let start = self.base.saturating_add(chunk.offset);
        if start > self.delivered {
            self.counters.gaps += 1;
            self.replace(now, out);
            return;
        }
        self.deliver(start, chunk, out);
    }

    fn deliver(&mut self, start: u64, chunk: &Chunk, out: &mut Vec<Effect>) {
        let end = start.saturating_add(chunk.length);
        if end > self.delivered {
            let skip = self.delivered - start;
            out.push(Effect::Deliver { skip, length: end - self.delivered });
            self.delivered = end;
            self.fruitless = 0;
        } else if !chunk.terminal {
            self.counters.duplicate += 1;
        }
        if chunk.terminal && end == self.delivered {
            self.phase = Phase::Ended;
            out.push(Effect::Complete);
        }
    }

    fn lose(&mut self, now: Time, connection: ConnectionNumber, out: &mut Vec<Effect>) {
        if self.is_current(connection) {
            self.replace(now, out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.phase != Phase::Ended && now >= self.timeout_at() {
            self.replace(now, out);
        }
    }

    /// Replaces the current connection by a new one to the same upstream, or moves on.
    fn replace(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.policy.resumable {
            self.move_on(now, self.connection, out);
            return;
        }
        // A resumed stream counts from the start of what this upstream sent, as before.
        if let Some(connection) = self.next_connection(now, out) {
            let offset = self.delivered - self.base;
            out.push(Effect::Resume { connection, offset });
        }
    }

    /// Leaves the upstream.
    fn move_on(&mut self, now: Time, connection: ConnectionNumber, out: &mut Vec<Effect>) {
        if !self.is_current(connection) {
            return;
        }
        let may_continue = self.delivered == 0 || self.policy.continuable;
        if !self.policy.idempotent || !may_continue {
            self.fail(out);
            return;
        }
        let left = self.connection;
        let Some(connection) = self.next_connection(now, out) else {
            return;
        };
        out.push(Effect::CancelUpstream { connection: left });
        self.base = self.delivered;
        out.push(match self.delivered {
            0 => Effect::Restart { connection },
            offset => Effect::Continue { connection, offset },
        });
    }

    fn next_connection(&mut self, now: Time, out: &mut Vec<Effect>) -> Option<ConnectionNumber> {
        let next = ConnectionNumber(self.connection.0 + 1);
        self.fruitless += 1;
        if self.fruitless >= self.policy.max_fruitless_connections {
            self.fail(out);
            return None;
        }
        out.push(Effect::Close { connection: self.connection });
        self.connection = next;
        self.heard = now;
        self.phase = Phase::Waiting;
        Some(next)
    }

    fn fail(&mut self, out: &mut Vec<Effect>) {
        let reason = match self.policy.idempotent {
            true => Reason::UpstreamFailed,
            false => Reason::AnswerLost,
        };
        self.give_up(Refusal::new(reason, FAILED_WAIT), out);
    }

    fn give_up(&mut self, refusal: Refusal, out: &mut Vec<Effect>) {
        if self.phase == Phase::Ended {
            return;
        }
        self.cancel(out);
        out.push(Effect::Fail(refusal));
    }

    fn cancel(&mut self, out: &mut Vec<Effect>) {
        if self.phase == Phase::Ended {
            return;
        }
        self.phase = Phase::Ended;
        out.push(Effect::Close { connection: self.connection });
        out.push(Effect::CancelUpstream { connection: self.connection });
    }
}

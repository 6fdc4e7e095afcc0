//! Tracking of one streamed answer across connections and upstreams.

use std::time::Duration;

use crate::{
    ids::RequestId,
    refusal::{Reason, Refusal},
    stream::{Chunk, ConnectionNumber, Effect, Event, StreamPolicy},
    time::Time,
};

/// Retry delay after an answer that could not be completed.
const FAILED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Numbers of chunks that a tracker has dropped, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamCounters {
    /// Chunks that carried another request's id.
    pub wrong_request: u64,
    /// Chunks on a replaced connection, and chunks after the end of the answer.
    pub late: u64,
    /// Chunks that contained only bytes that the caller already had.
    pub duplicate: u64,
    /// Chunks with missing bytes before them.
    pub gaps: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Waiting,
    Flowing,
    Ended,
}

/// Follows the streamed answer to one request and decides how to recover it.
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
    upstream_start: u64,
    delivered: u64,
    last_activity: Time,
    phase: Phase,
    /// Connections replaced since the last byte was delivered.
    fruitless_connections: u32,
    counters: StreamCounters,
}

impl StreamTracker {
    /// Creates a tracker for an answer that is expected on connection 0.
    pub fn new(request: RequestId, policy: StreamPolicy, now: Time) -> StreamTracker {
        StreamTracker {
            request,
            policy,
            connection: ConnectionNumber(0),
            upstream_start: 0,
            delivered: 0,
            last_activity: now,
            phase: Phase::Waiting,
            fruitless_connections: 0,
            counters: StreamCounters::default(),
        }
    }

    /// Number of bytes that have been delivered to the caller.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Numbers of chunks dropped so far.
    pub fn counters(&self) -> StreamCounters {
        self.counters
    }

    /// Whether the answer is complete, has failed, or was abandoned by the caller.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// When the current connection times out unless a chunk arrives.
    ///
    /// The time-out doubles with each consecutive connection without a delivered byte, so that a slow
    /// upstream is not taken for an unresponsive one over and over.
    pub fn timeout_at(&self) -> Time {
        let timeout = match self.phase {
            Phase::Flowing => self.policy.chunk_timeout,
            _ => self.policy.start_timeout,
        };
        self.last_activity + timeout * 2u32.saturating_pow(self.fruitless_connections)
    }

    /// Handles one event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Opened { connection } => self.open(now, connection),
            Event::Chunk { connection, chunk } => self.receive(now, connection, &chunk, out),
            Event::ConnectionLost { connection } => self.replace_lost(now, connection, out),
            Event::ResumeRefused { connection } => self.leave_upstream(now, connection, out),
            Event::Tick => self.check_timeout(now, out),
            Event::GivenUp(refusal) => self.give_up(refusal, out),
            Event::CallerDisconnected => self.cancel(out),
        }
    }

    fn is_current(&self, connection: ConnectionNumber) -> bool {
        self.phase != Phase::Ended && connection == self.connection
    }

    fn open(&mut self, now: Time, connection: ConnectionNumber) {
        if self.is_current(connection) {
            self.last_activity = now;
        }
    }

    fn receive(
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
        self.last_activity = now;
        self.phase = Phase::Flowing;
        let start = self.upstream_start.saturating_add(chunk.offset);
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
            self.fruitless_connections = 0;
        } else if !chunk.terminal {
            self.counters.duplicate += 1;
        }
        if chunk.terminal && end == self.delivered {
            self.phase = Phase::Ended;
            out.push(Effect::Complete);
        }
    }

    fn replace_lost(&mut self, now: Time, connection: ConnectionNumber, out: &mut Vec<Effect>) {
        if self.is_current(connection) {
            self.replace(now, out);
        }
    }

    fn check_timeout(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.phase != Phase::Ended && now >= self.timeout_at() {
            self.replace(now, out);
        }
    }

    /// Resumes on a new connection to the same upstream, or leaves the upstream if it can't resume streams.
    fn replace(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.policy.resumable {
            self.leave_upstream(now, self.connection, out);
            return;
        }
        // The offset of a resumed stream counts from the start of this upstream's answer.
        if let Some(connection) = self.start_connection(now, out) {
            let offset = self.delivered - self.upstream_start;
            out.push(Effect::Resume { connection, offset });
        }
    }

    /// Restarts or continues the answer on another upstream, or fails it if neither is allowed.
    fn leave_upstream(&mut self, now: Time, connection: ConnectionNumber, out: &mut Vec<Effect>) {
        if !self.is_current(connection) {
            return;
        }
        let may_continue = self.delivered == 0 || self.policy.continuable;
        if !self.policy.idempotent || !may_continue {
            self.fail(out);
            return;
        }
        let previous = self.connection;
        let Some(connection) = self.start_connection(now, out) else {
            return;
        };
        out.push(Effect::CancelUpstream { connection: previous });
        self.upstream_start = self.delivered;
        out.push(match self.delivered {
            0 => Effect::Restart { connection },
            offset => Effect::Continue { connection, offset },
        });
    }

    fn start_connection(&mut self, now: Time, out: &mut Vec<Effect>) -> Option<ConnectionNumber> {
        let next = ConnectionNumber(self.connection.0 + 1);
        self.fruitless_connections += 1;
        if self.fruitless_connections >= self.policy.max_fruitless {
            self.fail(out);
            return None;
        }
        out.push(Effect::Close { connection: self.connection });
        self.connection = next;
        self.last_activity = now;
        self.phase = Phase::Waiting;
        Some(next)
    }

    fn fail(&mut self, out: &mut Vec<Effect>) {
        let reason = match self.policy.idempotent {
            true => Reason::UpstreamFailed,
            false => Reason::AnswerLost,
        };
        self.give_up(Refusal::new(reason, FAILED_RETRY_AFTER), out);
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

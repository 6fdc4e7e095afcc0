//! Streams: every delivered answer is complete or explicitly failed.

use std::time::Duration;

use medlarlug_core::{
    ids::RequestId,
    record::Outcome,
    stream::{Chunk, ConnectionNumber, Effect, Event, StreamPolicy, StreamTracker},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::id;

fn request(sequence: u64) -> RequestId {
    id(&format!("riga.entry-1.1.{sequence}"))
}

fn chunk(offset: u64, length: u64, terminal: bool) -> Chunk {
    Chunk { request: request(7), offset, length, terminal }
}

fn tracker(policy: StreamPolicy) -> StreamTracker {
    StreamTracker::new(request(7), policy, Time::ZERO)
}

fn receive_chunk(
    tracker: &mut StreamTracker,
    millis: u64,
    connection: u32,
    chunk: Chunk,
) -> Vec<Effect> {
    let mut out = Vec::new();
    let connection = ConnectionNumber(connection);
    tracker.handle(Time::from_millis(millis), Event::Chunk { connection, chunk }, &mut out);
    out
}

fn handle(tracker: &mut StreamTracker, millis: u64, event: Event) -> Vec<Effect> {
    let mut out = Vec::new();
    tracker.handle(Time::from_millis(millis), event, &mut out);
    out
}

/// A caller and its upstreams: every connection delivers the same answer from its own start.
struct Simulation {
    random: ChaCha8Rng,
    answer: Vec<u8>,
    policy: StreamPolicy,
    tracker: StreamTracker,
    /// For each connection, the start of the upstream's answer within the whole one and the next offset
    /// in it.
    connections: Vec<(usize, usize)>,
    received: Vec<u8>,
    ends: Vec<Effect>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let length = random.random_range(1..200);
        let policy = StreamPolicy {
            resumable: random.random(),
            continuable: random.random(),
            idempotent: random.random_bool(0.8),
            ..StreamPolicy::default()
        };
        Simulation {
            answer: (0..length).map(|_| random.random()).collect(),
            tracker: tracker(policy.clone()),
            policy,
            random,
            connections: vec![(0, 0)],
            received: Vec::new(),
            ends: Vec::new(),
        }
    }

    fn run(&mut self) {
        let mut now = 0;
        while self.ends.is_empty() {
            now += 1;
            match self.random.random_range(0..40) {
                0 => {
                    self.feed(now, Event::ConnectionLost { connection: self.current_connection() })
                }
                1 => {
                    now += 11_000;
                    self.feed(now, Event::Tick);
                }
                2 => self.feed(now, Event::ResumeRefused { connection: self.current_connection() }),
                3 => self.send_foreign_chunk(now),
                _ => self.send_chunk(now),
            }
        }
        self.send_chunk(now);
        self.feed(now, Event::ConnectionLost { connection: self.current_connection() });
    }

    fn current_connection(&self) -> ConnectionNumber {
        ConnectionNumber(self.connections.len() as u32 - 1)
    }

    fn send_foreign_chunk(&mut self, now: u64) {
        let chunk = Chunk { request: request(8), offset: 0, length: 250, terminal: true };
        let connection = self.current_connection();
        self.feed_chunk(now, connection, chunk, vec![0; 250]);
    }

    /// Sends the next chunk on some connection; some chunks are lost, sent twice or overlap the
    /// previous one.
    fn send_chunk(&mut self, now: u64) {
        let number = match self.random.random_bool(0.2) {
            true => self.random.random_range(0..self.connections.len()),
            false => self.connections.len() - 1,
        };
        let (base, next) = self.connections[number];
        let back = if self.random.random_bool(0.1) { 5.min(next) } else { 0 };
        let start = next - back;
        let end = (start + self.random.random_range(1..30)).min(self.answer.len() - base);
        self.connections[number].1 = end.max(next);
        if self.random.random_bool(0.03) {
            return;
        }
        let bytes = self.answer[base + start..base + end].to_vec();
        let terminal = base + end == self.answer.len();
        let chunk = chunk(start as u64, bytes.len() as u64, terminal);
        self.feed_chunk(now, ConnectionNumber(number as u32), chunk, bytes);
    }

    fn feed_chunk(&mut self, now: u64, connection: ConnectionNumber, chunk: Chunk, bytes: Vec<u8>) {
        let effects = receive_chunk(&mut self.tracker, now, connection.0, chunk);
        self.apply(effects, &bytes);
    }

    fn feed(&mut self, now: u64, event: Event) {
        let effects = handle(&mut self.tracker, now, event);
        self.apply(effects, &[]);
    }

    fn apply(&mut self, effects: Vec<Effect>, bytes: &[u8]) {
        for effect in effects {
            assert!(self.ends.is_empty(), "{effect:?} after the end");
            match effect {
                Effect::Deliver { skip, length } => {
                    self.received
                        .extend_from_slice(&bytes[skip as usize..(skip + length) as usize]);
                }
                Effect::Resume { offset, .. } => {
                    let (base, _) = self.connections[self.connections.len() - 1];
                    assert!(self.policy.resumable);
                    assert_eq!(base + offset as usize, self.received.len());
                    self.connections.push((base, offset as usize));
                }
                Effect::Restart { .. } => {
                    assert!(self.policy.idempotent && self.received.is_empty());
                    self.connections.push((0, 0));
                }
                Effect::Continue { offset, .. } => {
                    assert!(self.policy.idempotent && self.policy.continuable);
                    self.connections.push((offset as usize, 0));
                }
                Effect::Fail(_) | Effect::Complete => self.ends.push(effect),
                Effect::Close { .. } | Effect::CancelUpstream { .. } => {}
            }
        }
    }
}

#[test]
fn every_answer_is_whole_or_explicitly_failed() {
    let (mut whole, mut failed) = (0, 0);
    for seed in 0..10_000 {
        let mut simulation = Simulation::new(seed);

        simulation.run();

        match simulation.ends[..] {
            [Effect::Complete] => {
                assert_eq!(simulation.received, simulation.answer, "seed {seed}");
                whole += 1;
            }
            [Effect::Fail(refusal)] => {
                let expected =
                    if simulation.policy.idempotent { Outcome::Failed } else { Outcome::Unknown };
                assert_eq!(refusal.outcome, expected, "seed {seed}");
                assert!(simulation.answer.starts_with(&simulation.received), "seed {seed}");
                failed += 1;
            }
            _ => panic!("seed {seed}: {:?}", simulation.ends),
        }
    }
    assert!(whole > 1_000 && failed > 1_000, "{whole} whole, {failed} failed");
}

#[test]
fn end_of_connection_without_terminal_event_does_not_complete_the_answer() {
    let policy = StreamPolicy { resumable: false, ..StreamPolicy::default() };
    let mut tracker = tracker(policy);
    receive_chunk(&mut tracker, 1, 0, chunk(0, 10, false));

    let connection = ConnectionNumber(0);
    let out = handle(&mut tracker, 2, Event::ConnectionLost { connection });

    assert!(matches!(
        out[..],
        [Effect::Close { .. }, Effect::CancelUpstream { .. }, Effect::Fail(_)]
    ));
}

#[test]
fn unresponsive_connection_is_replaced_and_its_late_chunks_are_dropped() {
    let mut tracker = tracker(StreamPolicy::default());
    receive_chunk(&mut tracker, 1, 0, chunk(0, 10, false));

    let early = handle(&mut tracker, 2_000, Event::Tick);
    let timed_out = handle(&mut tracker, 2_001, Event::Tick);
    let late = receive_chunk(&mut tracker, 2_002, 0, chunk(10, 10, true));
    let resumed = receive_chunk(&mut tracker, 2_003, 1, chunk(10, 10, true));

    let (old, new) = (ConnectionNumber(0), ConnectionNumber(1));
    assert_eq!(early, []);
    assert_eq!(
        timed_out,
        [Effect::Close { connection: old }, Effect::Resume { connection: new, offset: 10 }]
    );
    assert_eq!(late, []);
    assert_eq!(resumed, [Effect::Deliver { skip: 0, length: 10 }, Effect::Complete]);
    assert_eq!(tracker.counters().late, 1);
}

#[test]
fn answer_to_another_request_is_dropped_and_counted() {
    let mut tracker = tracker(StreamPolicy::default());
    let foreign = Chunk { request: request(8), ..chunk(0, 10, true) };

    let out = receive_chunk(&mut tracker, 1, 0, foreign);

    assert_eq!(out, []);
    assert_eq!(tracker.counters().wrong_request, 1);
    assert!(!tracker.is_ended());
}

#[test]
fn upstream_is_cancelled_when_the_caller_disconnects() {
    let mut tracker = tracker(StreamPolicy::default());

    let first = handle(&mut tracker, 1, Event::CallerDisconnected);
    let second = handle(&mut tracker, 2, Event::CallerDisconnected);

    let connection = ConnectionNumber(0);
    assert_eq!(first, [Effect::Close { connection }, Effect::CancelUpstream { connection }]);
    assert_eq!(second, []);
}

#[test]
fn first_byte_has_its_own_timeout() {
    let policy = StreamPolicy { start_timeout: Duration::from_secs(9), ..StreamPolicy::default() };
    let tracker = tracker(policy);

    assert_eq!(tracker.timeout_at(), Time::from_millis(9_000));
}

/// Handles a tick at each time-out until the stream ends; returns the times, in seconds.
fn timeouts(tracker: &mut StreamTracker) -> Vec<u64> {
    let mut moments = Vec::new();
    while !tracker.is_ended() {
        let moment = tracker.timeout_at();
        moments.push(moment.as_micros() / 1_000_000);
        tracker.handle(moment, Event::Tick, &mut Vec::new());
    }
    moments
}

#[test]
fn timeout_doubles_with_each_fruitless_connection() {
    let policy = StreamPolicy { start_timeout: Duration::from_secs(2), ..StreamPolicy::default() };
    let mut tracker = tracker(policy);

    let moments = timeouts(&mut tracker);

    assert_eq!(moments, [2, 6, 14, 30]);
}

#[test]
fn stream_that_progresses_may_replace_any_number_of_connections() {
    let mut tracker = tracker(StreamPolicy::default());

    for number in 0..20 {
        let millis = u64::from(number) * 10;
        receive_chunk(&mut tracker, millis, number, chunk(u64::from(number), 1, false));
        let connection = ConnectionNumber(number);
        handle(&mut tracker, millis + 1, Event::ConnectionLost { connection });
    }

    assert!(!tracker.is_ended());
    assert_eq!(tracker.delivered(), 20);
}

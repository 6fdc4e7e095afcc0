//! Incomplete events of streams, within the memory of the process.

use std::time::Duration;

use bytes::Bytes;
use medlarlug::transport::{
    event_buffer::EventBuffer,
    memory::{AnswerMemory, Memory, MemoryLimits},
};
use medlarlug_core::{memory_budget::ORDINARY_ANSWER_BYTES, units::ByteSize};
use tokio::time::timeout;

use crate::http_client::run;

/// Time after which a buffer that still waits has found no room.
const WAIT: Duration = Duration::from_millis(250);

/// A memory whose room for answers is used up, and the answer that uses it until it is dropped.
fn full_memory() -> (Memory, AnswerMemory) {
    let size = ByteSize(1 << 20);
    let limits = MemoryLimits { memory: size, descriptors: None, largest_body: size };
    let memory = Memory::new(limits);
    let other = memory.incoming_answer();
    assert!(other.try_reserve(size.0 as usize));
    (memory, other)
}

/// An event that has `bytes` bytes.
fn event_of(bytes: usize) -> Bytes {
    let filler = "a".repeat(bytes - "data: \n\n".len());
    Bytes::from(format!("data: {filler}\n\n"))
}

// Guards against streams whose events never end, which took memory without a bound.
#[test]
fn long_incomplete_event_waits_for_room_and_loses_no_byte() {
    run(async {
        let (memory, other) = full_memory();
        let mut events = EventBuffer::new(&memory);
        let begin = Bytes::from(vec![b'a'; ORDINARY_ANSWER_BYTES as usize + 1]);

        events.push(begin.clone());
        let without_room = timeout(WAIT, events.settle()).await;
        let was_waiting = events.is_waiting();
        drop(other);
        events.settle().await;
        events.push(Bytes::from_static(b"\n\n"));
        events.settle().await;

        assert!(without_room.is_err());
        assert!(was_waiting);
        assert_eq!(events.take_complete().unwrap(), [&begin[..], b"\n\n"].concat());
        assert!(!events.has_partial_event());
    });
}

#[test]
fn ordinary_events_pass_without_room() {
    run(async {
        let (memory, _other) = full_memory();
        let mut events = EventBuffer::new(&memory);

        for bytes in (17..=ORDINARY_ANSWER_BYTES as usize).step_by(3) {
            events.push(event_of(bytes));
            let settled = timeout(WAIT, events.settle()).await;

            assert!(settled.is_ok(), "{bytes} bytes");
            assert_eq!(events.take_complete(), Some(event_of(bytes)));
        }
    });
}

#[test]
fn room_of_a_long_event_is_free_once_the_event_is_complete() {
    run(async {
        let (memory, other) = full_memory();
        drop(other);
        let mut first = EventBuffer::new(&memory);
        first.push(Bytes::from(vec![b'a'; 200_000]));
        first.settle().await;
        let mut second = EventBuffer::new(&memory);
        second.push(Bytes::from(vec![b'a'; 100_000]));
        let before = timeout(WAIT, second.settle()).await;

        first.push(Bytes::from_static(b"\n\n"));
        first.settle().await;
        first.take_complete().unwrap();

        let after = timeout(WAIT, second.settle()).await;
        assert!(before.is_err());
        assert!(after.is_ok());
    });
}

//! Collects the events of a stream within the memory of the process.
//!
//! An event is passed on once it is complete. An upstream may begin events on many streams and complete
//! none of them, so the bytes of incomplete events are counted as those of answers are. Without room
//! nothing more is read from the upstream.

use bytes::Bytes;
use medlarlug_core::memory_budget::ORDINARY_ANSWER_BYTES;

use crate::{
    protocol::events::{Event, EventSplitter},
    transport::memory::{AnswerMemory, Memory},
};

/// The incomplete event of one stream.
pub struct EventBuffer {
    splitter: EventSplitter,
    /// Received bytes that wait for room.
    waiting: Bytes,
    memory: Memory,
    counted: AnswerMemory,
    /// Bytes that are counted.
    reserved: usize,
}

impl EventBuffer {
    /// A buffer whose bytes are counted in `memory`.
    pub fn new(memory: &Memory) -> EventBuffer {
        let (memory, counted) = (memory.clone(), memory.incoming_answer());
        let (splitter, waiting) = (EventSplitter::default(), Bytes::new());
        EventBuffer { splitter, waiting, memory, counted, reserved: 0 }
    }

    /// Whether bytes that were added wait for [`EventBuffer::settle`].
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Adds received bytes. [`EventBuffer::settle`] has to complete before more are added.
    pub fn push(&mut self, bytes: Bytes) {
        debug_assert!(!self.is_waiting(), "the bytes before these have settled");
        self.waiting = bytes;
    }

    /// Waits until there is room for the bytes that were added. No byte is lost if this is cancelled.
    pub async fn settle(&mut self) {
        let size = self.splitter.buffered_bytes() + self.waiting.len();
        if size > self.reserved {
            // The capacity doubles when it is used up, but what ordinary events need is always granted.
            let ordinary = ORDINARY_ANSWER_BYTES as usize;
            let longest = if size <= ordinary { ordinary } else { usize::MAX };
            let capacity = size.max((2 * self.reserved).min(longest));
            self.counted.reserve(capacity - self.reserved).await;
            self.reserved = capacity;
        }
        self.splitter.push(&self.waiting);
        self.waiting.clear();
    }

    /// Removes and returns all complete events as one buffer.
    pub fn take_complete(&mut self) -> Option<Bytes> {
        let events = self.splitter.take_complete()?;
        self.release();
        Some(events)
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let event = self.splitter.next_event()?;
        self.release();
        Some(event)
    }

    /// Gives up the room of a long event that is complete. That of ordinary ones is kept for the next.
    fn release(&mut self) {
        if self.reserved > ORDINARY_ANSWER_BYTES as usize {
            self.counted = self.memory.incoming_answer();
            self.reserved = 0;
        }
    }

    /// Whether the buffer holds bytes of an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        self.splitter.has_partial_event()
    }

    /// Whether one event is too long; see [`EventSplitter::exceeds_limit`].
    pub fn exceeds_limit(&self) -> bool {
        self.splitter.exceeds_limit()
    }
}

//! Server-sent events as they pass through: split into whole events, never changed.

use std::fmt;

use bytes::{Bytes, BytesMut};
use serde::{
    Deserialize, Deserializer,
    de::{IgnoredAny, MapAccess, Visitor},
};
use smol_str::SmolStr;

/// Data of the event that ends a stream.
const END_DATA: &[u8] = b"[DONE]";

/// Longest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One whole event, as received, with its terminating empty line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The event's bytes.
    pub bytes: Bytes,
}

impl Event {
    /// The content of the event's first `data` line.
    pub fn data(&self) -> Option<&[u8]> {
        let lines = self.bytes.split(|byte| *byte == b'\n');
        lines
            .map(<[u8]>::trim_ascii)
            .find_map(|line| line.strip_prefix(b"data:"))
            .map(<[u8]>::trim_ascii)
    }

    /// Whether this event ends the stream.
    pub fn is_end(&self) -> bool {
        self.data() == Some(END_DATA)
    }

    /// The id of the answer that the event belongs to, if its data names one.
    pub fn answer_id(&self) -> Option<SmolStr> {
        let head: ChunkHead = serde_json::from_slice(self.data()?).ok()?;
        head.id
    }
}

/// Collects bytes and gives out whole events.
///
/// ```
/// use medlarlug::protocol::events::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"data: {\"id\":\"a\"}\n\ndata: [DO");
/// assert_eq!(splitter.next_event().unwrap().answer_id().unwrap(), "a");
/// assert!(splitter.next_event().is_none());
/// splitter.push(b"NE]\n\n");
/// assert!(splitter.next_event().unwrap().is_end());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes that were searched for the end of an event in vain.
    searched: usize,
}

/// Bytes before the searched ones in which the end of an event may have begun.
const OVERLAP: usize = 3;

impl EventSplitter {
    /// Takes further bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find(end_of_event)?;
        Some(Event { bytes: self.buffer.split_to(end).freeze() })
    }

    /// All whole events so far, as one piece.
    ///
    /// ```
    /// use medlarlug::protocol::events::EventSplitter;
    ///
    /// let mut splitter = EventSplitter::default();
    /// splitter.push(b"id: 1\n\nid: 2\n\nid: ");
    /// assert_eq!(&splitter.take_complete().unwrap()[..], b"id: 1\n\nid: 2\n\n");
    /// assert!(splitter.take_complete().is_none());
    /// ```
    pub fn take_complete(&mut self) -> Option<Bytes> {
        let end = self.find(end_of_events)?;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Searches what has come since the last search in vain, so that an event in many pieces is
    /// searched once.
    fn find(&mut self, search: impl Fn(&[u8]) -> Option<usize>) -> Option<usize> {
        let from = self.searched.saturating_sub(OVERLAP);
        let found = search(&self.buffer[from..]).map(|end| from + end);
        self.searched = if found.is_some() { 0 } else { self.buffer.len() };
        found
    }

    /// Whether bytes of an event wait that is not whole.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether an event was begun that exceeds [`MAX_EVENT_BYTES`].
    pub fn exceeds_limit(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

/// The last event id in whole events, if they carry numbers as ids.
///
/// ```
/// assert_eq!(medlarlug::protocol::events::last_id(b"id: 1\n\nid: 12\ndata: a\n\n"), Some(12));
/// ```
pub fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.filter_map(|id| std::str::from_utf8(id.trim_ascii()).ok()?.parse().ok()).next()
}

/// Length of all whole events, with the empty line of the last one.
fn end_of_events(buffer: &[u8]) -> Option<usize> {
    let plain = buffer.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let carriage = buffer.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    plain.max(carriage)
}

/// Length of the first event, with its empty line.
fn end_of_event(buffer: &[u8]) -> Option<usize> {
    let plain = buffer.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let carriage = buffer.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (plain, carriage) {
        (Some(plain), Some(carriage)) => Some(plain.min(carriage)),
        (plain, carriage) => plain.or(carriage),
    }
}

/// The one field of a streamed chunk that the gateway reads; decoded for every token.
struct ChunkHead {
    id: Option<SmolStr>,
}

impl<'de> Deserialize<'de> for ChunkHead {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ChunkHead, D::Error> {
        struct HeadVisitor;

        impl<'de> Visitor<'de> for HeadVisitor {
            type Value = ChunkHead;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a chunk of a streamed answer")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<ChunkHead, A::Error> {
                let mut id = None;
                while let Some(key) = map.next_key::<std::borrow::Cow<'de, str>>()? {
                    if key == "id" {
                        id = Some(map.next_value::<SmolStr>()?);
                    } else {
                        map.next_value::<IgnoredAny>()?;
                    }
                }
                Ok(ChunkHead { id })
            }
        }

        deserializer.deserialize_map(HeadVisitor)
    }
}

//! Splits a stream of server-sent events into events without changing their bytes.

use std::fmt;

use bytes::{Bytes, BytesMut};
use serde::{
    Deserialize, Deserializer,
    de::{IgnoredAny, MapAccess, Visitor},
};
use smol_str::SmolStr;

/// Data of the event that ends a stream.
const END_DATA: &[u8] = b"[DONE]";

/// Longest permitted event.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One complete event as received, including its terminating empty line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The bytes of the event, unchanged.
    pub bytes: Bytes,
}

impl Event {
    /// The value of the first `data` line.
    pub fn data(&self) -> Option<&[u8]> {
        let lines = self.bytes.split(|byte| *byte == b'\n');
        lines
            .map(<[u8]>::trim_ascii)
            .find_map(|line| line.strip_prefix(b"data:"))
            .map(<[u8]>::trim_ascii)
    }

    /// Whether this event ends the stream, that is, its data is `[DONE]`.
    pub fn is_end(&self) -> bool {
        self.data() == Some(END_DATA)
    }

    /// The field `id` of the event's JSON data, which identifies the answer; `None` if it has none.
    pub fn answer_id(&self) -> Option<SmolStr> {
        let head: ChunkHead = serde_json::from_slice(self.data()?).ok()?;
        head.id
    }
}

/// Buffers received bytes and returns complete events.
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
    /// Length of the part of the buffer that holds no end of an event.
    searched_bytes: usize,
}

/// An end of an event that was received in two parts starts up to this far within the searched part.
const OVERLAP_BYTES: usize = 3;

impl EventSplitter {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find(end_of_event)?;
        Some(Event { bytes: self.buffer.split_to(end).freeze() })
    }

    /// Removes and returns all complete events as one buffer.
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

    /// Searches only the bytes received since the last unsuccessful search, so that an event that
    /// arrives in many parts is searched once.
    fn find(&mut self, search: impl Fn(&[u8]) -> Option<usize>) -> Option<usize> {
        let from = self.searched_bytes.saturating_sub(OVERLAP_BYTES);
        let found = search(&self.buffer[from..]).map(|end| from + end);
        self.searched_bytes = if found.is_some() { 0 } else { self.buffer.len() };
        found
    }

    /// Bytes that were received and not returned yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer holds bytes of an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the buffered bytes exceed [`MAX_EVENT_BYTES`]; after all complete events were removed,
    /// this means that one event is too long.
    pub fn exceeds_limit(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

/// The last numeric event id in complete events; `None` if there is none.
///
/// ```
/// assert_eq!(medlarlug::protocol::events::last_id(b"id: 1\n\nid: 12\ndata: a\n\n"), Some(12));
/// ```
pub fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.filter_map(|id| std::str::from_utf8(id.trim_ascii()).ok()?.parse().ok()).next()
}

/// The id of the first of several complete events, if it is a number.
///
/// ```
/// use medlarlug::protocol::events::first_id;
///
/// assert_eq!(first_id(b": ping\n\nid: 7\ndata: a\n\nid: 8\ndata: b\n\n"), Some(7));
/// assert_eq!(first_id(b"HTTP/1.1 500 Failed\r\n\r\nid: 8\ndata: b\n\n"), None);
/// ```
pub fn first_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
    let first = lines.skip_while(|line| line.is_empty() || line.starts_with(b":"));
    let mut first = first.take_while(|line| !line.is_empty());
    let id = first.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id.trim_ascii()).ok()?.parse().ok()
}

/// Whether complete events hold anything but comments, which a sender uses to keep a connection open.
///
/// ```
/// use medlarlug::protocol::events::have_content;
///
/// assert!(have_content(b": ping\n\ndata: a\n\n"));
/// assert!(!have_content(b": ping\r\n\r\n"));
/// ```
pub fn have_content(events: &[u8]) -> bool {
    let mut lines = events.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
    lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// Length of all complete events, including the empty line after the last one.
fn end_of_events(buffer: &[u8]) -> Option<usize> {
    let lf = buffer.windows(2).rposition(|pair| pair == b"\n\n").map(|start| start + 2);
    let crlf = buffer.windows(4).rposition(|four| four == b"\r\n\r\n").map(|start| start + 4);
    lf.max(crlf)
}

/// Length of the first event, including its empty line.
fn end_of_event(buffer: &[u8]) -> Option<usize> {
    let lf = buffer.windows(2).position(|pair| pair == b"\n\n").map(|start| start + 2);
    let crlf = buffer.windows(4).position(|four| four == b"\r\n\r\n").map(|start| start + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}

/// The only field of a streamed chunk that the gateway reads. Decoding skips all other fields
/// without allocating, because it runs for every token.
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

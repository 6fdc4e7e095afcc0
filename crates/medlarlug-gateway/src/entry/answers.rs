//! Reads complete answers of upstreams, with bounds on each and on all together.
//!
//! An answer is buffered until it is complete, because a call may be retried as long as its caller
//! has received nothing. An upstream that never stops sending must not exhaust the memory of the
//! process, so the size of an answer is limited, and only a few long ones are read at a time. The
//! others are left unread, which blocks their senders; short answers are not delayed. Answers with
//! a known length have permits of their own, because those without one may never end.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use medlarlug::transport::memory::Memory;
use tokio::{sync::Semaphore, time::timeout};

/// Maximum size of a complete answer: twice the longest request body that the first deployments
/// allow.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Size above which an answer needs a permit; the answers of the first deployments are below 10 KB.
const SHORT_ANSWER_BYTES: usize = 128 << 10;
/// Long answers of each kind that are read at a time. Their buffers take a fifth of the memory of
/// the smallest machine of an entry instance, which is 160 MB.
const MAX_LONG_ANSWERS: usize = 2;

/// Why an answer was not read completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadError {
    /// The connection ended before the answer was complete.
    Cut,
    /// The answer exceeds [`MAX_ANSWER_BYTES`].
    TooLong,
    /// The answer was not complete in time.
    Late,
}

/// Reads answers, and holds the permits for long ones.
#[derive(Debug)]
pub(super) struct AnswerReader {
    /// For answers with a known length.
    with_length: Semaphore,
    /// For answers without a known length.
    without_length: Semaphore,
    memory: Memory,
}

impl AnswerReader {
    /// Creates a reader that counts what it reads in `memory`.
    pub(super) fn new(memory: Memory) -> AnswerReader {
        AnswerReader {
            with_length: Semaphore::new(MAX_LONG_ANSWERS),
            without_length: Semaphore::new(MAX_LONG_ANSWERS),
            memory,
        }
    }

    /// Reads an answer completely within `limit`.
    pub(super) async fn read(&self, body: Incoming, limit: Duration) -> Result<Bytes, ReadError> {
        timeout(limit, self.read_unbounded(body)).await.unwrap_or(Err(ReadError::Late))
    }

    async fn read_unbounded(&self, mut body: Incoming) -> Result<Bytes, ReadError> {
        let length = body.size_hint().exact().map(|it| usize::try_from(it).unwrap_or(usize::MAX));
        if length.is_some_and(|length| length > MAX_ANSWER_BYTES) {
            return Err(ReadError::TooLong);
        }
        let permits = if length.is_some() { &self.with_length } else { &self.without_length };
        let mut content =
            BytesMut::with_capacity(length.unwrap_or_default().min(SHORT_ANSWER_BYTES));
        let mut permit = None;
        let counted = self.memory.incoming_answer();
        counted.reserve(content.capacity()).await;
        let mut reserved = content.capacity();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| ReadError::Cut)?.into_data() else { continue };
            let size = content.len() + data.len();
            if size > MAX_ANSWER_BYTES {
                return Err(ReadError::TooLong);
            }
            if size > SHORT_ANSWER_BYTES && permit.is_none() {
                permit = Some(permits.acquire().await.expect("the semaphore is never closed"));
                content.reserve(length.map_or(0, |length| length - content.len()));
            }
            if size > reserved {
                // The capacity doubles when it is used up.
                let capacity = size.max(2 * reserved).max(content.capacity());
                counted.reserve(capacity - reserved).await;
                reserved = capacity;
            }
            content.extend_from_slice(&data);
        }
        Ok(content.freeze())
    }
}

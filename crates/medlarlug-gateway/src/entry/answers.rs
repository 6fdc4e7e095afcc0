//! Reads whole answers of upstreams, within bounds on each and on all together.
//!
//! An answer is kept until it is whole, since a call may be repeated while its caller has seen nothing. An
//! upstream that never stops sending must not take the process's memory with it, so an answer has a
//! longest size, and few long ones are read at a time. The others wait unread, which stops their senders;
//! short answers are not held up. Answers that tell their length have turns of their own, since those
//! without one may have no end.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::{sync::Semaphore, time::timeout};

/// Longest whole answer, in bytes; twice the longest request body that the first deployments allow.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Size above which an answer is long, in bytes; the answers of the first deployments are below 10 KB.
const SHORT_ANSWER_BYTES: usize = 128 << 10;
/// Long answers of each kind that are read at a time: with their buffers a fifth of the memory of the smallest machine
/// of an entry instance, 160 MB.
const MAX_LONG_ANSWERS: usize = 2;

/// Why an answer was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadError {
    /// The connection ended before it was whole.
    Cut,
    /// It is longer than [`MAX_ANSWER_BYTES`].
    TooLong,
    /// It was not whole in time.
    Late,
}

/// Turns for reading long answers.
#[derive(Debug)]
pub(super) struct AnswerReader {
    /// Those that tell their length.
    with_length: Semaphore,
    /// Those that don't.
    without_length: Semaphore,
}

impl Default for AnswerReader {
    fn default() -> AnswerReader {
        AnswerReader {
            with_length: Semaphore::new(MAX_LONG_ANSWERS),
            without_length: Semaphore::new(MAX_LONG_ANSWERS),
        }
    }
}

impl AnswerReader {
    /// Reads an answer to its end within `limit`.
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
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| ReadError::Cut)?.into_data() else { continue };
            let size = content.len() + data.len();
            if size > MAX_ANSWER_BYTES {
                return Err(ReadError::TooLong);
            }
            if size > SHORT_ANSWER_BYTES && permit.is_none() {
                permit = Some(permits.acquire().await.expect("it is never closed"));
                content.reserve(length.map_or(0, |length| length - content.len()));
            }
            content.extend_from_slice(&data);
        }
        Ok(content.freeze())
    }
}

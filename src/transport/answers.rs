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
use hyper::{
    StatusCode,
    body::{Body, Incoming},
};
use thiserror::Error;
use tokio::{sync::Semaphore, time::timeout};

use crate::transport::memory::{AnswerMemory, Memory};

/// Lowest status code that HTTP does not define; the HTTP library accepts codes up to 999.
const FIRST_UNDEFINED_STATUS: u16 = 600;

/// Whether HTTP defines the class of a status code.
pub fn is_defined(status: StatusCode) -> bool {
    status.as_u16() < FIRST_UNDEFINED_STATUS
}

/// Size above which an answer needs a permit; the answers of the first deployments are below 10 KB.
const SHORT_ANSWER_BYTES: usize = 128 << 10;

/// Why an answer was not read completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The connection ended before the answer was complete.
    #[error("the answer was cut before its end")]
    Cut,
    /// The answer is longer than permitted.
    #[error("the answer is too long")]
    TooLong,
    /// HTTP does not define the status of the answer.
    #[error("HTTP does not define the status of the answer")]
    UndefinedStatus,
    /// The answer was not complete in time.
    #[error("the answer was not complete in time")]
    Late,
}

/// A complete answer.
pub struct ReadAnswer {
    /// The body.
    pub content: Bytes,
    /// Counts the body until this is dropped.
    pub counted: AnswerMemory,
}

/// Reads answers, and holds the permits for long ones.
#[derive(Debug)]
pub struct AnswerReader {
    /// For answers with a known length.
    with_length: Semaphore,
    /// For answers without a known length.
    without_length: Semaphore,
    memory: Memory,
}

impl AnswerReader {
    /// Creates a reader that counts what it reads in `memory`, and reads at most `max_long` long answers
    /// of each kind at a time.
    pub fn new(memory: Memory, max_long: usize) -> AnswerReader {
        AnswerReader {
            with_length: Semaphore::new(max_long),
            without_length: Semaphore::new(max_long),
            memory,
        }
    }

    /// Reads an answer of at most `max_bytes` completely within `limit`.
    ///
    /// # Errors
    ///
    /// Fails when the answer is longer, is cut, or is not complete in time.
    pub async fn read(
        &self,
        body: Incoming,
        max_bytes: usize,
        limit: Duration,
    ) -> Result<ReadAnswer, ReadError> {
        let reading = self.read_in_any_time(body, max_bytes);
        timeout(limit, reading).await.unwrap_or(Err(ReadError::Late))
    }

    async fn read_in_any_time(
        &self,
        mut body: Incoming,
        max_bytes: usize,
    ) -> Result<ReadAnswer, ReadError> {
        let length = body.size_hint().exact().map(|it| usize::try_from(it).unwrap_or(usize::MAX));
        if length.is_some_and(|length| length > max_bytes) {
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
            if size > max_bytes {
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
        Ok(ReadAnswer { content: content.freeze(), counted })
    }
}

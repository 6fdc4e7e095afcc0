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
const LONGEST: usize = 8 << 20;
/// Size above which an answer is long, in bytes; the answers of the first deployments are below 10 KB.
const SHORT: usize = 128 << 10;
/// Long answers of each kind that are read at a time: with their buffers a fifth of the memory of the smallest machine
/// of an entry instance, 160 MB.
const LONG_ANSWERS: usize = 2;

/// Why an answer was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Unread {
    /// The connection ended before it was whole.
    Cut,
    /// It is longer than [`LONGEST`].
    TooLong,
    /// It was not whole in time.
    Late,
}

/// Turns for reading long answers.
#[derive(Debug)]
pub(super) struct Answers {
    /// Those that tell their length.
    measured: Semaphore,
    /// Those that don't.
    open: Semaphore,
}

impl Default for Answers {
    fn default() -> Answers {
        Answers { measured: Semaphore::new(LONG_ANSWERS), open: Semaphore::new(LONG_ANSWERS) }
    }
}

impl Answers {
    /// Reads an answer to its end within `limit`.
    pub(super) async fn read(&self, body: Incoming, limit: Duration) -> Result<Bytes, Unread> {
        timeout(limit, self.read_on(body)).await.unwrap_or(Err(Unread::Late))
    }

    async fn read_on(&self, mut body: Incoming) -> Result<Bytes, Unread> {
        let length = body.size_hint().exact().map(|it| usize::try_from(it).unwrap_or(usize::MAX));
        if length.is_some_and(|length| length > LONGEST) {
            return Err(Unread::TooLong);
        }
        let turns = if length.is_some() { &self.measured } else { &self.open };
        let mut content = BytesMut::with_capacity(length.unwrap_or_default().min(SHORT));
        let mut turn = None;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| Unread::Cut)?.into_data() else { continue };
            let size = content.len() + data.len();
            if size > LONGEST {
                return Err(Unread::TooLong);
            }
            if size > SHORT && turn.is_none() {
                turn = Some(turns.acquire().await.expect("it is never closed"));
                content.reserve(length.map_or(0, |length| length - content.len()));
            }
            content.extend_from_slice(&data);
        }
        Ok(content.freeze())
    }
}

//! Bodies of requests and answers, either complete or streamed through a channel.

use std::convert::Infallible;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{Response, StatusCode, body::Frame, header};
use serde::Serialize;
use thiserror::Error;
use tokio::sync::mpsc;

use crate::{
    protocol::{Problem, headers, problem},
    transport::memory::ClientMemory,
};

/// The sender of a streamed body was dropped before the body ended.
///
/// The server then aborts the connection, so that a truncated answer is never taken for a complete
/// one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer was truncated")]
pub struct TruncatedBody;

/// Body of every answer that a server sends.
pub type AnswerBody = UnsyncBoxBody<Bytes, TruncatedBody>;

/// An HTTP response of a server.
pub type Answer = Response<AnswerBody>;

/// Chunks that are buffered for a slow reader; then the sender waits.
const STREAM_QUEUE_CHUNKS: usize = 16;

/// A part of a streamed body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// The next bytes.
    Chunk(Bytes),
    /// The end of the body.
    End,
}

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is longer than permitted.
    #[error("the body is longer than {limit} bytes")]
    TooLong {
        /// Longest permitted body, in bytes.
        limit: usize,
    },
    /// The connection failed before the body ended.
    #[error("the body was cut before its end")]
    Truncated,
    /// There is no memory for the body; the request may be repeated later.
    #[error("there is no memory for the body")]
    NoRoom,
    /// The body made no progress.
    #[error("the body did not arrive in time")]
    Stalled,
}

/// Reads a complete body of at most `limit` bytes into one buffer. A server reads the bodies of its
/// clients with [`ClientMemory::read_body`].
///
/// # Errors
///
/// Fails when the body is longer than `limit` or truncated.
pub async fn read<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    ClientMemory::default().read_body(body, limit).await
}

/// Adds `Connection: close` to the answer to a request whose body was not read to its end.
pub fn close_connection(answer: &mut Answer) {
    answer.headers_mut().insert(header::CONNECTION, header::HeaderValue::from_static("close"));
}

/// A body with complete content.
pub fn full(content: impl Into<Bytes>) -> AnswerBody {
    Full::new(content.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// A body whose parts are sent through a channel. Dropping the sender before [`Part::End`] truncates
/// the body and aborts the connection.
pub fn channel() -> (mpsc::Sender<Part>, AnswerBody) {
    let (sender, receiver) = mpsc::channel(STREAM_QUEUE_CHUNKS);
    let parts = stream::unfold(Some(receiver), |receiver| async {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(Part::Chunk(bytes)) => Some((Ok(Frame::data(bytes)), Some(receiver))),
            Some(Part::End) => None,
            None => Some((Err(TruncatedBody), None)),
        }
    });
    (sender, StreamBody::new(parts).boxed_unsync())
}

/// An answer with `document` as JSON; the body is empty if it can't be serialized.
pub fn json(status: StatusCode, document: &impl Serialize) -> Answer {
    let content = serde_json::to_vec(document).unwrap_or_default();
    let mut answer = Response::new(full(content));
    *answer.status_mut() = status;
    let media = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, media);
    answer
}

/// An answer with a problem document and the headers for its outcome, request id and retry time.
pub fn problem_answer(problem: &Problem) -> Answer {
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut answer = json(status, problem);
    let fields = answer.headers_mut();
    fields.insert(header::CONTENT_TYPE, header::HeaderValue::from_static(problem::MEDIA_TYPE));
    insert(fields, headers::OUTCOME, &problem.outcome.to_string());
    if let Some(request) = &problem.request {
        insert(fields, headers::REQUEST_ID, &request.to_string());
    }
    if let Some(seconds) = problem.retry_after {
        fields.insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    }
    answer
}

/// Sets a header; does nothing if the name or the value is not valid.
pub fn insert(fields: &mut hyper::HeaderMap, name: &str, value: &str) {
    let name = header::HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, header::HeaderValue::from_str(value)) {
        fields.insert(name, value);
    }
}

/// An answer with plain text, status 200.
pub fn text(content: String) -> Answer {
    let mut answer = Response::new(full(content));
    let media = header::HeaderValue::from_static("text/plain; charset=utf-8");
    answer.headers_mut().insert(header::CONTENT_TYPE, media);
    answer
}

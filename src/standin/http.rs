//! Helpers for HTTP requests and answers of the stand-in.

use std::{io, pin::Pin};

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Body, Frame, Incoming},
    header::CONTENT_TYPE,
};
use serde::Serialize;
use serde_json::json;
use thiserror::Error;

use crate::protocol::headers::REQUEST_ID;

/// Largest body that is read.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Body of an answer, complete or streamed.
pub type AnswerBody = Pin<Box<dyn Body<Data = Bytes, Error = io::Error>>>;

/// An HTTP response of an emulated upstream.
pub type Answer = Response<AnswerBody>;

/// The error of a handler that makes the server close the connection without an answer.
#[derive(Debug, Error)]
#[error("the connection is closed without an answer")]
pub struct ConnectionAborted;

/// An answer with `body` as JSON.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Answer {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let full = Full::new(Bytes::from(body)).map_err(|never| match never {});
    let mut answer: Answer = Response::new(Box::pin(full));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, "application/json".parse().expect("a constant"));
    answer
}

/// An error answer in the JSON format of engines; `code` is the machine-readable reason.
pub fn refusal(status: StatusCode, code: &str, message: &str) -> Answer {
    json(status, &json!({"error": {"code": code, "type": code, "message": message}}))
}

/// An answer with a stream of server-sent events.
pub fn events(stream: impl Stream<Item = Bytes> + 'static) -> Answer {
    use futures_util::StreamExt;

    let frames = stream.map(|it| Ok(Frame::data(it)));
    let mut answer: Answer = Response::new(Box::pin(StreamBody::new(frames)));
    let kind = "text/event-stream".parse().expect("a constant");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

/// Adds the header with the id of the request that the answer belongs to.
pub fn with_request_id(mut answer: Answer, id: &str) -> Answer {
    if let Ok(value) = id.parse() {
        answer.headers_mut().insert(REQUEST_ID, value);
    }
    answer
}

/// Reads the body of a request; `None` if it is truncated or too large.
pub async fn body(request: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
    body.collect().await.ok().map(|it| it.to_bytes())
}

/// The value of a header as text; `None` if it is absent or not visible ASCII.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads an answer to its end, so that its connection can be reused.
pub async fn drain(answer: Response<Incoming>) {
    let _ = Limited::new(answer.into_body(), MAX_BODY_BYTES).collect().await;
}

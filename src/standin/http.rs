//! HTTP answers of the stand-in.

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

/// Largest request body that is read.
const MAX_BODY: usize = 64 << 20;

/// Body of an answer, whole or as it comes.
pub type AnswerBody = Pin<Box<dyn Body<Data = Bytes, Error = io::Error>>>;

/// An answer.
pub type Answer = Response<AnswerBody>;

/// The connection breaks instead of an answer.
#[derive(Debug, Error)]
#[error("the answer is lost on purpose")]
pub struct LostAnswer;

/// A JSON answer.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Answer {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let whole = Full::new(Bytes::from(body)).map_err(|never| match never {});
    let mut answer: Answer = Response::new(Box::pin(whole));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, "application/json".parse().expect("a constant"));
    answer
}

/// A refusal in the form that engines use; `code` tells programs why.
pub fn refusal(status: StatusCode, code: &str, message: &str) -> Answer {
    json(status, &json!({"error": {"code": code, "type": code, "message": message}}))
}

/// An answer of server-sent events.
pub fn events(stream: impl Stream<Item = Bytes> + 'static) -> Answer {
    use futures_util::StreamExt;

    let frames = stream.map(|it| Ok(Frame::data(it)));
    let mut answer: Answer = Response::new(Box::pin(StreamBody::new(frames)));
    let kind = "text/event-stream".parse().expect("a constant");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

/// Adds the id of the request that the answer belongs to.
pub fn echo(mut answer: Answer, id: &str) -> Answer {
    if let Ok(value) = id.parse() {
        answer.headers_mut().insert(REQUEST_ID, value);
    }
    answer
}

/// Reads a request's body; `None` when it breaks off or is too large.
pub async fn body(request: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MAX_BODY);
    body.collect().await.ok().map(|it| it.to_bytes())
}

/// A header as text.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads an answer to its end, so that its connection can be used again.
pub async fn drain(answer: Response<Incoming>) {
    let _ = Limited::new(answer.into_body(), MAX_BODY).collect().await;
}

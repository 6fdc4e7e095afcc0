//! The HTTP interface of an engine.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use hyper::{Method, Request, StatusCode, body::Incoming};
use medlarlug_core::{orders::Order, units::Tokens};
use serde::Deserialize;
use serde_json::{Value, json};
use smol_str::SmolStr;
use tokio::{
    task,
    time::{Instant, sleep},
};

use crate::{
    protocol::headers,
    standin::{
        CRASH_MARKER, LATE_CRASH_MARKER, answer,
        faults::AnswerFault,
        http::{self, Answer, ConnectionAborted, events, json, refusal, with_request_id},
        streams::{Phase, Reader, Stream},
        upstream::Upstream,
    },
};

const STREAMS_PATH: &str = "/v1/streams/";

/// The fields of a completion request that an engine reads.
#[derive(Debug, Deserialize)]
struct Completion {
    model: SmolStr,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<usize>,
    max_completion_tokens: Option<usize>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Value,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: SmolStr,
    #[serde(default)]
    content: Value,
}

pub(super) async fn handle(
    upstream: Rc<Upstream>,
    id: SmolStr,
    request: Request<Incoming>,
) -> Result<Answer, ConnectionAborted> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => complete(upstream, id, request, true).await,
        (&Method::POST, "/v1/completions") => complete(upstream, id, request, false).await,
        (&Method::GET, "/v1/models") => Ok(models(&upstream)),
        (&Method::POST, "/v1/orders") => Ok(order(&upstream, request).await),
        (&Method::GET, it) if it.starts_with(STREAMS_PATH) => {
            let offset = offset(request.uri().query());
            Ok(resume(&upstream, &it[STREAMS_PATH.len()..], offset))
        }
        (&Method::DELETE, it) if it.starts_with(STREAMS_PATH) => {
            Ok(cancel(&upstream, &it[STREAMS_PATH.len()..]))
        }
        _ => Ok(refusal(StatusCode::NOT_FOUND, "not_found", "there is nothing at this path")),
    }
}

async fn complete(
    upstream: Rc<Upstream>,
    id: SmolStr,
    request: Request<Incoming>,
    is_chat: bool,
) -> Result<Answer, ConnectionAborted> {
    let fault = upstream.faults.borrow_mut().next_answer_fault();
    if fault.dropped {
        return Err(ConnectionAborted);
    }
    let priority =
        header_number(&request, headers::PRIORITY).unwrap_or(0).min(u64::from(u8::MAX)) as u8;
    let time_left = header_number(&request, headers::DEADLINE).map(Duration::from_millis);
    let Some(body) = http::body(request).await else {
        return Err(ConnectionAborted);
    };
    let completion: Completion = match serde_json::from_slice(&body) {
        Ok(completion) => completion,
        Err(error) => {
            let message = error.to_string();
            return Ok(with_request_id(
                refusal(StatusCode::BAD_REQUEST, "invalid_request", &message),
                &id,
            ));
        }
    };
    if let Some(refused) = check_admission(&upstream, &completion, fault) {
        return Ok(with_request_id(refused, &id));
    }
    let stream = start_stream(&upstream, &id, &completion, (is_chat, priority, time_left), fault);
    let Some(stream) = stream else {
        return Err(ConnectionAborted);
    };
    let reader = Reader::new(Rc::clone(&stream));
    if stream.wait_started().await == Phase::Expired {
        let message = "the deadline passed in the queue";
        return Ok(with_request_id(
            refusal(StatusCode::SERVICE_UNAVAILABLE, "not_started", message),
            &id,
        ));
    }
    sleep(fault.delay).await;
    if fault.lost {
        return Err(ConnectionAborted);
    }
    if completion.stream {
        return Ok(with_request_id(stream_events(reader, 0), &stream.id));
    }
    match stream.wait_ended().await {
        Phase::Finished => {
            Ok(with_request_id(json(StatusCode::OK, &stream.complete_answer()), &stream.id))
        }
        _ => Err(ConnectionAborted),
    }
}

/// The refusal, if the request can't be accepted.
fn check_admission(
    upstream: &Upstream,
    completion: &Completion,
    fault: AnswerFault,
) -> Option<Answer> {
    if fault.refused {
        let message = "refused on purpose";
        return Some(refusal(StatusCode::SERVICE_UNAVAILABLE, "not_started", message));
    }
    let model = completion.model.as_str();
    if !upstream.orders.borrow().serves(model) {
        let message = format!("model `{model}` is not loaded");
        return Some(refusal(StatusCode::NOT_FOUND, "model_not_found", &message));
    }
    if upstream.batch.borrow().is_full() {
        let message = "the queue is full";
        return Some(refusal(StatusCode::TOO_MANY_REQUESTS, "not_started", message));
    }
    None
}

/// Queues the request; returns `None` if it crashes the engine.
fn start_stream(
    upstream: &Rc<Upstream>,
    id: &SmolStr,
    completion: &Completion,
    (is_chat, priority, time_left): (bool, u8, Option<Duration>),
    fault: AnswerFault,
) -> Option<Rc<Stream>> {
    let mut prompt =
        if is_chat { chat_text(&completion.messages) } else { text_of(&completion.prompt) };
    upstream.ledger.borrow_mut().begin(id);
    if upstream.settings.has_crash_marker && prompt.contains(CRASH_MARKER) {
        upstream.crash(None);
        return None;
    }
    let answer_id = upstream.answer_id(id, fault);
    if fault.misdelivered {
        prompt.push_str("of another request");
    }
    let limit = completion.max_completion_tokens.or(completion.max_tokens);
    let answer = answer::Answer::new(&prompt, limit);
    let length = answer::prompt_tokens(&prompt);
    let cached = upstream.cache.borrow_mut().insert_prompt(&prompt);
    let mut stream = Stream::new(answer_id, completion.model.clone(), is_chat, length, answer);
    stream.deadline = time_left.map(|it| Instant::now() + it);
    let stream = Rc::new(stream);
    if upstream.settings.has_crash_marker && prompt.contains(LATE_CRASH_MARKER) {
        task::spawn_local(crash_while_writing(upstream.clone(), stream.clone()));
    }
    upstream.streams.insert(Rc::clone(&stream));
    let uncached = Tokens(length.saturating_sub(cached.0));
    upstream.batch.borrow_mut().push(Rc::clone(&stream), priority, uncached);
    upstream.job_queued.notify_one();
    Some(stream)
}

/// Crashes the engine once the stream has a second event, so that the first one has been sent.
async fn crash_while_writing(upstream: Rc<Upstream>, stream: Rc<Stream>) {
    if Reader::new(stream).0.event(1).await.is_some() {
        upstream.crash(None);
    }
}

fn chat_text(messages: &[Message]) -> String {
    let pairs: Vec<(&str, String)> =
        messages.iter().map(|it| (it.role.as_str(), text_of(&it.content))).collect();
    let pairs: Vec<(&str, &str)> = pairs.iter().map(|(a, b)| (*a, b.as_str())).collect();
    answer::chat_prompt(&pairs)
}

/// The text of a message's content, which is a string or a list of parts.
fn text_of(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().map(|it| text_of(&it["text"])).collect(),
        _ => String::new(),
    }
}

/// An answer with the events of a stream, starting with event number `offset`.
fn stream_events(reader: Reader, offset: usize) -> Answer {
    let done = Bytes::from_static(b"data: [DONE]\n\n");
    events(stream::unfold((reader, offset, false), move |(reader, n, has_ended)| {
        let done = done.clone();
        async move {
            if has_ended {
                return None;
            }
            let Some(chunk) = reader.0.event(n).await else {
                let is_complete = reader.0.phase() == Phase::Finished;
                let last = if is_complete { done } else { cancelled(&reader.0.id) };
                return Some((last, (reader, n, true)));
            };
            let event = Bytes::from(format!("id: {n}\ndata: {chunk}\n\n"));
            Some((event, (reader, n + 1, false)))
        }
    }))
}

fn cancelled(id: &str) -> Bytes {
    let error = json!({"id": id, "error": {"code": "cancelled", "message": "it was cancelled"}});
    Bytes::from(format!("event: error\ndata: {error}\n\n"))
}

fn resume(upstream: &Upstream, id: &str, offset: usize) -> Answer {
    match upstream.streams.get(id) {
        Some(stream) => {
            let id = stream.id.clone();
            with_request_id(stream_events(Reader::new(stream), offset), &id)
        }
        None => refusal(StatusCode::NOT_FOUND, "stream_not_found", "no such stream is kept"),
    }
}

fn cancel(upstream: &Upstream, id: &str) -> Answer {
    match upstream.streams.get(id) {
        Some(stream) => {
            stream.set_phase(Phase::Cancelled);
            json(StatusCode::OK, &json!({"id": id, "phase": format!("{:?}", stream.phase())}))
        }
        None => refusal(StatusCode::NOT_FOUND, "stream_not_found", "no such stream is kept"),
    }
}

fn offset(query: Option<&str>) -> usize {
    let pairs = query.unwrap_or_default().split('&');
    let offset = pairs.filter_map(|it| it.strip_prefix("offset=")).next();
    offset.and_then(|it| it.parse().ok()).unwrap_or(0)
}

fn header_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    http::header(request.headers(), name)?.parse().ok()
}

fn models(upstream: &Upstream) -> Answer {
    let book = upstream.orders.borrow();
    let data: Vec<Value> =
        book.names().iter().map(|it| json!({"id": it, "object": "model"})).collect();
    json(StatusCode::OK, &json!({"object": "list", "data": data}))
}

async fn order(upstream: &Upstream, request: Request<Incoming>) -> Answer {
    let body = http::body(request).await.unwrap_or_default();
    let order: Order = match serde_json::from_slice(&body) {
        Ok(order) => order,
        Err(error) => {
            return refusal(StatusCode::BAD_REQUEST, "invalid_request", &error.to_string());
        }
    };
    match upstream.orders.borrow_mut().accept(upstream.incarnation.get(), order) {
        Ok(()) => json(StatusCode::OK, &json!({"taken": true})),
        Err(error) => refusal(StatusCode::CONFLICT, "order_refused", &error.to_string()),
    }
}

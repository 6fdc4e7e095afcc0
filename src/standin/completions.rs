//! The HTTP interface of an engine.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use hyper::{Method, Request, StatusCode, body::Incoming};
use medlarlug_core::{orders::Order, units::Tokens};
use serde::Deserialize;
use serde_json::{Value, json};
use smol_str::SmolStr;
use tokio::time::{Instant, sleep};

use crate::{
    protocol::headers,
    standin::{
        CRASH_MARKER, answer,
        faults::AnswerFault,
        http::{self, Answer, LostAnswer, echo, events, json, refusal},
        streams::{Phase, Reader, Stream},
        upstream::Upstream,
    },
};

const STREAMS: &str = "/v1/streams/";

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
) -> Result<Answer, LostAnswer> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => complete(upstream, id, request, true).await,
        (&Method::POST, "/v1/completions") => complete(upstream, id, request, false).await,
        (&Method::GET, "/v1/models") => Ok(models(&upstream)),
        (&Method::POST, "/v1/orders") => Ok(order(&upstream, request).await),
        (&Method::GET, it) if it.starts_with(STREAMS) => {
            let offset = offset(request.uri().query());
            Ok(resume(&upstream, &it[STREAMS.len()..], offset))
        }
        (&Method::DELETE, it) if it.starts_with(STREAMS) => {
            Ok(cancel(&upstream, &it[STREAMS.len()..]))
        }
        _ => Ok(refusal(StatusCode::NOT_FOUND, "not_found", "there is nothing at this path")),
    }
}

async fn complete(
    upstream: Rc<Upstream>,
    id: SmolStr,
    request: Request<Incoming>,
    chat: bool,
) -> Result<Answer, LostAnswer> {
    let fault = upstream.faults.borrow_mut().next_answer_fault();
    if fault.dropped {
        return Err(LostAnswer);
    }
    let priority = number(&request, headers::PRIORITY).unwrap_or(0).min(u64::from(u8::MAX)) as u8;
    let patience = number(&request, headers::DEADLINE).map(Duration::from_millis);
    let Some(body) = http::body(request).await else {
        return Err(LostAnswer);
    };
    let completion: Completion = match serde_json::from_slice(&body) {
        Ok(completion) => completion,
        Err(error) => {
            let message = error.to_string();
            return Ok(echo(refusal(StatusCode::BAD_REQUEST, "invalid_request", &message), &id));
        }
    };
    if let Some(refused) = admission(&upstream, &completion, fault) {
        return Ok(echo(refused, &id));
    }
    let stream = begin(&upstream, &id, &completion, (chat, priority, patience), fault);
    let Some(stream) = stream else {
        return Err(LostAnswer);
    };
    let reader = Reader::new(Rc::clone(&stream));
    if stream.started().await == Phase::Expired {
        let message = "the deadline passed in the queue";
        return Ok(echo(refusal(StatusCode::SERVICE_UNAVAILABLE, "not_started", message), &id));
    }
    sleep(fault.delay).await;
    if fault.lost {
        return Err(LostAnswer);
    }
    if completion.stream {
        return Ok(echo(replay(reader, 0), &stream.id));
    }
    match stream.ended().await {
        Phase::Finished => Ok(echo(json(StatusCode::OK, &stream.whole()), &stream.id)),
        _ => Err(LostAnswer),
    }
}

/// Why the request is not begun, if it isn't.
fn admission(upstream: &Upstream, completion: &Completion, fault: AnswerFault) -> Option<Answer> {
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

/// Queues the request; `None` when it crashes the engine.
fn begin(
    upstream: &Rc<Upstream>,
    id: &SmolStr,
    completion: &Completion,
    (chat, priority, patience): (bool, u8, Option<Duration>),
    fault: AnswerFault,
) -> Option<Rc<Stream>> {
    let mut prompt = if chat { chat_text(&completion.messages) } else { text(&completion.prompt) };
    upstream.ledger.borrow_mut().begin(id);
    if upstream.settings.has_crash_marker && prompt.contains(CRASH_MARKER) {
        upstream.crash(None);
        return None;
    }
    let answer_id = upstream.answer_id(id, fault);
    if fault.crossed {
        prompt.push_str("of another request");
    }
    let limit = completion.max_completion_tokens.or(completion.max_tokens);
    let answer = answer::Answer::new(&prompt, limit);
    let length = answer::prompt_tokens(&prompt);
    let cached = upstream.cache.borrow_mut().visit(&prompt);
    let mut stream = Stream::new(answer_id, completion.model.clone(), chat, length, answer);
    stream.deadline = patience.map(|it| Instant::now() + it);
    let stream = Rc::new(stream);
    upstream.streams.put(Rc::clone(&stream));
    let fresh = Tokens(length.saturating_sub(cached.0));
    upstream.batch.borrow_mut().push(Rc::clone(&stream), priority, fresh);
    upstream.queued.notify_one();
    Some(stream)
}

fn chat_text(messages: &[Message]) -> String {
    let pairs: Vec<(&str, String)> =
        messages.iter().map(|it| (it.role.as_str(), text(&it.content))).collect();
    let pairs: Vec<(&str, &str)> = pairs.iter().map(|(a, b)| (*a, b.as_str())).collect();
    answer::chat_prompt(&pairs)
}

/// The text of a content that is a string or a list of parts.
fn text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().map(|it| text(&it["text"])).collect(),
        _ => String::new(),
    }
}

/// The events of a stream from number `offset` on.
fn replay(reader: Reader, offset: usize) -> Answer {
    let done = Bytes::from_static(b"data: [DONE]\n\n");
    events(stream::unfold((reader, offset, false), move |(reader, n, is_over)| {
        let done = done.clone();
        async move {
            if is_over {
                return None;
            }
            let Some(chunk) = reader.0.event(n).await else {
                let is_whole = reader.0.phase() == Phase::Finished;
                let last = if is_whole { done } else { cancelled(&reader.0.id) };
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
            echo(replay(Reader::new(stream), offset), &id)
        }
        None => refusal(StatusCode::NOT_FOUND, "stream_not_found", "no such stream is kept"),
    }
}

fn cancel(upstream: &Upstream, id: &str) -> Answer {
    match upstream.streams.get(id) {
        Some(stream) => {
            stream.enter(Phase::Cancelled);
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

fn number(request: &Request<Incoming>, name: &str) -> Option<u64> {
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
    match upstream.orders.borrow_mut().take(upstream.incarnation.get(), order) {
        Ok(()) => json(StatusCode::OK, &json!({"taken": true})),
        Err(error) => refusal(StatusCode::CONFLICT, "order_refused", &error.to_string()),
    }
}

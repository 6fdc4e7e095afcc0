//! Answers whose head is overdue.
//!
//! An open connection can go silent for good while new ones work. When an engine has not sent the
//! head of an answer in time, it is asked for the same request on a new connection:
//!
//! * It does not know the request: the connection was silent. The request is sent again, once,
//!   over a new connection; it is no retry, because the engine has not got it.
//! * It knows the request, and the answer is streamed: the stream is read from the new connection.
//! * It knows the request, and the answer is a whole one: once the engine has generated it and the
//!   first connection still brings nothing, the request is sent again, within the retry budget.
//! * The new connection is silent too: the attempt has failed, unless the engine still renews its
//!   announcement. Then it is busy, and both connections are tried on within the call's limit.
//!
//! A connection that breaks before the head of an answer is replaced in the same way:
//!
//! * The engine does not know the request: it was not taken in, and is sent again, once, over a
//!   new connection. It is no retry, unless the engine has started anew meanwhile: it may have
//!   crashed under the request.
//! * The engine knows the request, and the answer is streamed: the stream is read from the new
//!   connection.
//! * Else the attempt has failed.

use std::{net::SocketAddr, pin::pin, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use medlarlug_core::{
    ids::{Incarnation, RequestId},
    membership::Target,
};
use tokio::time::{sleep, timeout};

use crate::{
    coordination::entry::{Entry, exchange::Call},
    protocol::headers,
    transport::body,
    transport::http_client::{CallError, CallLimits, Connection, RequestBody, Reuse},
};

/// Time after which the head of an answer is overdue.
const HEAD_PATIENCE: Duration = Duration::from_secs(2);

/// Time that an engine has to tell about a request on a new connection.
const ASK_LIMITS: CallLimits =
    CallLimits { connect: Duration::from_secs(1), head: Duration::from_secs(2) };

/// How often an engine that renews its announcement is asked about a call whose connection broke.
const ASKS: usize = 3;

/// How often a call is sent in one attempt, at most, when its connections break.
const SENDS: usize = 2;

/// Time that a generated answer has to arrive on its own connection.
const ARRIVAL_LIMIT: Duration = Duration::from_secs(1);

/// The head of an answer and the connection that brings it.
pub type Answered = (Response<Incoming>, Connection);

/// Where a call goes, and for which request.
pub struct Destination<'a> {
    /// The engine.
    pub address: SocketAddr,
    /// The request.
    pub id: &'a RequestId,
    /// What the request asks for.
    pub target: &'a Target,
}

/// What a new connection tells about a request.
enum Word {
    /// The engine knows it; its events follow from the first one on.
    Known(Answered),
    /// The engine does not know it.
    Unknown,
    /// No word came.
    None,
}

/// Sends a request to an engine and replaces its connection when that is silent.
///
/// # Errors
///
/// Fails as [`HttpClient::call`](crate::transport::http_client::HttpClient::call) does.
pub async fn call(
    entry: &Entry,
    to: Destination<'_>,
    request: Request<RequestBody>,
    call: &Call,
    limits: CallLimits,
) -> Result<Answered, CallError> {
    let first = send(entry, &to, request.clone(), call, limits);
    let mut first = pin!(first);
    loop {
        if let Ok(result) = timeout(HEAD_PATIENCE, first.as_mut()).await {
            return result;
        }
        let found = tokio::select! {
            biased;
            result = first.as_mut() => return result,
            found = examine(entry, &to, call) => found,
        };
        match found {
            Found::Answer(answered) => return Ok(answered),
            Found::Silent => break,
            Found::Busy => {}
            Found::Unresponsive => {
                return Err(CallError::Silent { address: to.address, limit: HEAD_PATIENCE });
            }
        }
    }
    tracing::info!(request = %to.id, "silent connection replaced");
    entry.client.forget(to.address);
    let renewed = Call { reuse: Reuse::Never, ..call.clone() };
    send(entry, &to, request, &renewed, limits).await
}

/// Sends a request, and replaces its connection when that breaks before the head of the answer.
async fn send(
    entry: &Entry,
    to: &Destination<'_>,
    request: Request<RequestBody>,
    call: &Call,
    limits: CallLimits,
) -> Result<Answered, CallError> {
    let (mut reuse, mut sends_left) = (call.reuse, SENDS);
    loop {
        let result = entry.client.call(to.address, request.clone(), reuse, limits).await;
        if !matches!(result, Err(CallError::Lost { .. })) {
            return result;
        }
        sends_left -= 1;
        match ask_while_announced(entry, to).await {
            Word::Known(answered) if call.stream => return Ok(answered),
            Word::Unknown if sends_left > 0 && !has_started_anew(entry, to) => {
                tracing::info!(request = %to.id, "call that was not taken in is sent again");
                entry.client.forget(to.address);
                reuse = Reuse::Never;
            }
            _ => return result,
        }
    }
}

/// Asks an engine about a request, again while it renews its announcement and tells nothing.
async fn ask_while_announced(entry: &Entry, to: &Destination<'_>) -> Word {
    for _ in 1..ASKS {
        match ask(entry, to).await {
            Word::None if is_announced(entry, to.address) => {}
            word => return word,
        }
    }
    ask(entry, to).await
}

/// Whether another incarnation of the engine is known than the one that the request went to.
fn has_started_anew(entry: &Entry, to: &Destination<'_>) -> bool {
    let sent_to = entry.suspects.borrow().incarnation_of(to.id);
    announced_incarnation(entry, to.address) != sent_to
}

/// What an examination of an overdue answer has found.
enum Found {
    /// The answer, on a new connection.
    Answer(Answered),
    /// The connection is silent, and the request may be sent again.
    Silent,
    /// The engine tells nothing, but renews its announcement: it is waited for.
    Busy,
    /// The engine tells nothing, or the request may not be sent again.
    Unresponsive,
}

/// Whether the engine at an address has renewed its announcement within its lease.
pub fn is_announced(entry: &Entry, address: SocketAddr) -> bool {
    announced_incarnation(entry, address).is_some()
}

/// The incarnation of the engine at an address, if it has renewed its announcement.
fn announced_incarnation(entry: &Entry, address: SocketAddr) -> Option<Incarnation> {
    let members = entry.node.members.borrow();
    let mut upstreams = members.upstreams(entry.node.now());
    let known = upstreams.find(|it| it.announcement.address == address);
    known.map(|it| it.announcement.incarnation)
}

async fn examine(entry: &Entry, to: &Destination<'_>, call: &Call) -> Found {
    match ask(entry, to).await {
        Word::None if is_announced(entry, to.address) => Found::Busy,
        Word::None => Found::Unresponsive,
        Word::Unknown => Found::Silent,
        Word::Known(answered) if call.stream => Found::Answer(answered),
        Word::Known((answer, _connection)) => {
            let mut events = answer.into_body();
            while let Some(Ok(_)) = events.frame().await {}
            sleep(ARRIVAL_LIMIT).await;
            match entry.with_budget(to.target, |budget| budget.take()) {
                true => Found::Silent,
                false => Found::Unresponsive,
            }
        }
    }
}

/// Asks an engine on a new connection for the events of a request.
async fn ask(entry: &Entry, to: &Destination<'_>) -> Word {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::GET;
    let path = format!("/v1/streams/{}?offset=0", to.id);
    let Ok(uri) = path.parse() else { return Word::None };
    *request.uri_mut() = uri;
    body::insert(request.headers_mut(), header::HOST.as_str(), &to.address.to_string());
    body::insert(request.headers_mut(), headers::REQUEST_ID, &to.id.to_string());
    match entry.client.call(to.address, request, Reuse::Never, ASK_LIMITS).await {
        Ok(answered) if answered.0.status().is_success() => Word::Known(answered),
        Ok((answer, _)) if answer.status() == StatusCode::NOT_FOUND => Word::Unknown,
        Ok(_) | Err(_) => Word::None,
    }
}

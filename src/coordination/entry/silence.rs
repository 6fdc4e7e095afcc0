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
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that an engine has to tell about a request on a new connection.
const STREAM_QUERY_LIMITS: CallLimits =
    CallLimits { connect: Duration::from_secs(1), head: Duration::from_secs(2) };

/// How often an engine that renews its announcement is asked about a call whose connection broke.
const MAX_QUERIES: usize = 3;

/// How often a call is sent in one attempt, at most, when its connections break.
const MAX_SENDS: usize = 2;

/// Time that a generated answer has to arrive on its own connection.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(1);

/// The head of an answer and the connection that brings it.
pub type ReceivedHead = (Response<Incoming>, Connection);

/// Where a call goes, and for which request.
pub struct EngineRequest<'a> {
    /// The engine.
    pub address: SocketAddr,
    /// The request.
    pub id: &'a RequestId,
    /// What the request asks for.
    pub target: &'a Target,
}

/// What a new connection tells about a request.
enum QueryResult {
    /// The engine knows it; its events follow from the first one on.
    Known(ReceivedHead),
    /// The engine does not know it.
    Unknown,
    /// No word came.
    Unanswered,
}

/// Sends a request to an engine and replaces its connection when that is silent.
///
/// # Errors
///
/// Fails as [`HttpClient::call`](crate::transport::http_client::HttpClient::call) does.
pub async fn call(
    entry: &Entry,
    to: EngineRequest<'_>,
    request: Request<RequestBody>,
    call: &Call,
    limits: CallLimits,
) -> Result<ReceivedHead, CallError> {
    let sending = send(entry, &to, request.clone(), call, limits);
    let mut sending = pin!(sending);
    loop {
        if let Ok(result) = timeout(HEAD_TIMEOUT, sending.as_mut()).await {
            return result;
        }
        let action = tokio::select! {
            biased;
            result = sending.as_mut() => return result,
            action = resolve_overdue(entry, &to, call) => action,
        };
        match action {
            OverdueAction::UseAnswer(received) => return Ok(received),
            OverdueAction::Resend => break,
            OverdueAction::Wait => {}
            OverdueAction::Fail => {
                return Err(CallError::Silent { address: to.address, limit: HEAD_TIMEOUT });
            }
        }
    }
    tracing::info!(request = %to.id, "silent connection replaced");
    entry.client.forget(to.address);
    let new_connection_call = Call { reuse: Reuse::Never, ..call.clone() };
    send(entry, &to, request, &new_connection_call, limits).await
}

/// Sends a request, and replaces its connection when that breaks before the head of the answer.
async fn send(
    entry: &Entry,
    to: &EngineRequest<'_>,
    request: Request<RequestBody>,
    call: &Call,
    limits: CallLimits,
) -> Result<ReceivedHead, CallError> {
    let (mut reuse, mut sends_left) = (call.reuse, MAX_SENDS);
    loop {
        let result = entry.client.call(to.address, request.clone(), reuse, limits).await;
        if !matches!(result, Err(CallError::Lost { .. })) {
            return result;
        }
        sends_left -= 1;
        match query_while_announced(entry, to).await {
            QueryResult::Known(received) if call.stream => return Ok(received),
            QueryResult::Unknown if sends_left > 0 && !has_restarted(entry, to) => {
                tracing::info!(request = %to.id, "call that was not taken in is sent again");
                entry.client.forget(to.address);
                reuse = Reuse::Never;
            }
            _ => return result,
        }
    }
}

/// Asks an engine about a request, again while it renews its announcement and tells nothing.
async fn query_while_announced(entry: &Entry, to: &EngineRequest<'_>) -> QueryResult {
    for _ in 1..MAX_QUERIES {
        match query_stream(entry, to).await {
            QueryResult::Unanswered if is_announced(entry, to.address) => {}
            result => return result,
        }
    }
    query_stream(entry, to).await
}

/// Whether another incarnation of the engine is known than the one that the request went to.
fn has_restarted(entry: &Entry, to: &EngineRequest<'_>) -> bool {
    let sent_to = entry.suspects.borrow().incarnation_of(to.id);
    announced_incarnation(entry, to.address) != sent_to
}

/// What an examination of an overdue answer has found.
enum OverdueAction {
    /// The answer, on a new connection.
    UseAnswer(ReceivedHead),
    /// The connection is silent, and the request may be sent again.
    Resend,
    /// The engine tells nothing, but renews its announcement: it is waited for.
    Wait,
    /// The engine tells nothing, or the request may not be sent again.
    Fail,
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

async fn resolve_overdue(entry: &Entry, to: &EngineRequest<'_>, call: &Call) -> OverdueAction {
    match query_stream(entry, to).await {
        QueryResult::Unanswered if is_announced(entry, to.address) => OverdueAction::Wait,
        QueryResult::Unanswered => OverdueAction::Fail,
        QueryResult::Unknown => OverdueAction::Resend,
        QueryResult::Known(received) if call.stream => OverdueAction::UseAnswer(received),
        QueryResult::Known((answer, _connection)) => {
            let mut events = answer.into_body();
            while let Some(Ok(_)) = events.frame().await {}
            sleep(ARRIVAL_TIMEOUT).await;
            match entry.with_retry_budget(to.target, |budget| budget.take()) {
                true => OverdueAction::Resend,
                false => OverdueAction::Fail,
            }
        }
    }
}

/// Asks an engine on a new connection for the events of a request.
async fn query_stream(entry: &Entry, to: &EngineRequest<'_>) -> QueryResult {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::GET;
    let path = format!("/v1/streams/{}?offset=0", to.id);
    let Ok(uri) = path.parse() else { return QueryResult::Unanswered };
    *request.uri_mut() = uri;
    body::insert(request.headers_mut(), header::HOST.as_str(), &to.address.to_string());
    body::insert(request.headers_mut(), headers::REQUEST_ID, &to.id.to_string());
    match entry.client.call(to.address, request, Reuse::Never, STREAM_QUERY_LIMITS).await {
        Ok(received) if received.0.status().is_success() => QueryResult::Known(received),
        Ok((answer, _)) if answer.status() == StatusCode::NOT_FOUND => QueryResult::Unknown,
        Ok(_) | Err(_) => QueryResult::Unanswered,
    }
}

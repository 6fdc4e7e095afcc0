//! Detection and replacement of unresponsive connections to engines.
//!
//! An open connection can become permanently unresponsive while new ones work. When an engine has
//! not sent the head of an answer in time, it is queried for the same request on a new connection:
//!
//! * The engine does not know the request: the old connection was unresponsive. The request is sent
//!   once more, over a new connection. That does not count as a retry, because the engine has not
//!   received the request.
//! * The engine knows the request, and the answer is streamed: the stream is read from the new
//!   connection.
//! * The engine knows the request, and the answer is not streamed: if the engine has generated the
//!   answer and the first connection still delivers nothing, the request is sent again, within the
//!   retry budget.
//! * The new connection gets no answer either: the attempt has failed, unless the engine still
//!   renews its announcement. In that case the engine is busy. The first connection stays open, and
//!   the engine is queried again, until the time-out of the call.
//!
//! A connection that breaks before the head of the answer is replaced in the same way:
//!
//! * The engine does not know the request: it never received it, and the request is sent once more,
//!   over a new connection. That does not count as a retry. If the engine has restarted in the
//!   meantime, the attempt has failed instead, because the request may have crashed the engine.
//! * The engine knows the request, and the answer is streamed: the stream is read from the new
//!   connection.
//! * Otherwise the attempt has failed.

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
    transport::http_client::{CallLimits, Connection, HttpCallError, RequestBody, Reuse},
};

/// Time after which the head of an answer is overdue and the engine is queried.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Time-outs of a query for a request on a new connection.
const STREAM_QUERY_LIMITS: CallLimits =
    CallLimits { connect: Duration::from_secs(1), head: Duration::from_secs(2) };

/// Maximum number of queries about a call whose connection broke, while the engine renews its
/// announcement.
const MAX_QUERIES: usize = 3;

/// Maximum number of times that a call is sent within one attempt when its connections break.
const MAX_SENDS: usize = 2;

/// Time for an answer that the engine has generated to arrive on the original connection.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(1);

/// The head of an answer, and the connection on which its body follows.
pub type ReceivedHead = (Response<Incoming>, Connection);

/// The engine that serves a request, and the request.
pub struct EngineRequest<'a> {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Id under which the engine knows the request.
    pub id: &'a RequestId,
    /// The requested model, whose retry budget pays for sending the request again.
    pub target: &'a Target,
    /// Whether the request may still be sent; called each time before it is sent over a new connection.
    pub may_send: &'a dyn Fn() -> bool,
}

/// The result of querying an engine for a request.
enum QueryResult {
    /// The engine knows the request; the body holds its events, beginning with the first.
    Known(ReceivedHead),
    /// The engine does not know the request.
    Unknown,
    /// The query failed or timed out.
    Unanswered,
}

/// Sends a request to an engine, and replaces the connection if it is unresponsive.
///
/// # Errors
///
/// Fails as [`HttpClient::call_if_wanted`](crate::transport::http_client::HttpClient::call_if_wanted)
/// does.
pub async fn call(
    entry: &Entry,
    to: EngineRequest<'_>,
    request: Request<RequestBody>,
    call: &Call,
    limits: CallLimits,
) -> Result<ReceivedHead, HttpCallError> {
    let overdue = HttpCallError::TimedOut { address: to.address, limit: HEAD_TIMEOUT };
    let sending = send(entry, &to, request.clone(), call, limits);
    let mut sending = pin!(sending);
    let has_run = loop {
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
            OverdueAction::Resend { has_run } => break has_run,
            OverdueAction::Wait => {}
            OverdueAction::Fail => return Err(overdue),
        }
    };
    tracing::info!(request = %to.id, "unresponsive connection replaced");
    entry.client.close_idle(to.address);
    let new_connection_call = Call { reuse: Reuse::Never, ..call.clone() };
    match send(entry, &to, request, &new_connection_call, limits).await {
        // It was not sent again, but the engine has run it before.
        Err(error) if has_run && error.is_unsent() => Err(overdue),
        result => result,
    }
}

/// Sends a request, and replaces the connection if it breaks before the head of the answer.
async fn send(
    entry: &Entry,
    to: &EngineRequest<'_>,
    request: Request<RequestBody>,
    call: &Call,
    limits: CallLimits,
) -> Result<ReceivedHead, HttpCallError> {
    let (mut reuse, mut sends_left) = (call.reuse, MAX_SENDS);
    loop {
        let client = &entry.client;
        let result =
            client.call_if_wanted(to.address, request.clone(), reuse, limits, to.may_send).await;
        if !matches!(result, Err(HttpCallError::Lost { .. })) {
            return result;
        }
        sends_left -= 1;
        match query_while_announced(entry, to).await {
            QueryResult::Known(received) if call.stream => return Ok(received),
            QueryResult::Unknown if sends_left > 0 && !has_restarted(entry, to) => {
                tracing::info!(request = %to.id, "engine did not receive the call, sending it again");
                entry.client.close_idle(to.address);
                reuse = Reuse::Never;
            }
            _ => return result,
        }
    }
}

/// Queries an engine for a request; repeats the query if it fails and the engine still renews its
/// announcement.
async fn query_while_announced(entry: &Entry, to: &EngineRequest<'_>) -> QueryResult {
    for _ in 1..MAX_QUERIES {
        match query_stream(entry, to).await {
            QueryResult::Unanswered if is_announced(entry, to.address) => {}
            result => return result,
        }
    }
    query_stream(entry, to).await
}

/// Whether the announced incarnation of the engine differs from the one that the request was sent to.
fn has_restarted(entry: &Entry, to: &EngineRequest<'_>) -> bool {
    let sent_to = entry.suspects.borrow().incarnation_of(to.id);
    announced_incarnation(entry, to.address) != sent_to
}

/// What to do about an overdue answer.
enum OverdueAction {
    /// Read the answer from the new connection.
    UseAnswer(ReceivedHead),
    /// Send the request again: its connection is unresponsive.
    Resend {
        /// Whether the engine has run the request already.
        has_run: bool,
    },
    /// Go on waiting: the engine did not answer the query, but renews its announcement.
    Wait,
    /// Fail the attempt: the engine is unresponsive, or the retry budget is exhausted.
    Fail,
}

/// Whether the engine at an address has an announcement that has not expired.
pub fn is_announced(entry: &Entry, address: SocketAddr) -> bool {
    announced_incarnation(entry, address).is_some()
}

/// The incarnation of the engine at an address, unless its announcement has expired.
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
        QueryResult::Unknown => OverdueAction::Resend { has_run: false },
        QueryResult::Known(received) if call.stream => OverdueAction::UseAnswer(received),
        QueryResult::Known((answer, _connection)) => {
            let mut events = answer.into_body();
            while let Some(Ok(_)) = events.frame().await {}
            sleep(ARRIVAL_TIMEOUT).await;
            match entry.with_retry_budget(to.target, |budget| budget.take()) {
                true => OverdueAction::Resend { has_run: true },
                false => OverdueAction::Fail,
            }
        }
    }
}

/// Requests the events of a request from an engine, on a new connection.
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

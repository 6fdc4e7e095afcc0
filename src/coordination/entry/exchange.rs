//! One attempt: a request is sent to an upstream, or to an entry instance of another zone, and the
//! head of its answer is awaited.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, body::Incoming, header};
use medlarlug_core::{
    ids::{RequestId, UpstreamId, ZoneId},
    membership::Target,
    record::Stage,
    release::Configuration,
    retry::Failure,
    routing::{
        AttemptId, AuthorizedForward, AuthorizedRoute, RequestFacts, ResidencyError, router,
    },
    suspects::{self, RequestContents},
};
use smol_str::SmolStr;

use crate::{
    coordination::entry::{
        Entry, connection_recovery,
        forward::{self, ForwardFailure},
    },
    protocol::headers,
    telemetry::metrics::CROSSED,
    transport::body,
    transport::http_client::{CallLimits, Connection, HttpCallError, RequestBody, Reuse},
};

/// Time for a connection to an upstream or another instance to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The content of a request, which is the same for every destination.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query to request from the upstream.
    pub path: SmolStr,
    /// Media type of the body.
    pub media: Option<SmolStr>,
    /// The idempotency key, under which the call runs at most once; `None` if it may be retried.
    pub key: Option<SmolStr>,
    /// Fingerprints by which contents that crash upstreams are recognized.
    pub contents: RequestContents,
    /// The body, as the caller sent it.
    pub body: Bytes,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Whether the call may go over a connection that was used before.
    pub reuse: Reuse,
    /// Time for the head of the answer to arrive; for an answer that is not streamed, also the time
    /// for its body.
    pub head_timeout: Duration,
}

/// The upstream or zone to which a request was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Destination {
    /// An upstream of the own zone.
    Upstream(UpstreamId),
    /// Another zone.
    Zone(ZoneId),
}

/// An answer whose head has arrived; the body is still to be read.
pub struct Exchange {
    /// Where the request was sent.
    pub destination: Destination,
    /// Address of the upstream or of the other zone's instance.
    pub address: SocketAddr,
    /// Id of the attempt in the events to the router.
    pub attempt_id: AttemptId,
    /// Head of the answer, and its body as it arrives.
    pub answer: Response<Incoming>,
    /// The connection over which the answer arrives; it can be reused once the body is read.
    pub connection: Connection,
    /// The checked route, if the request was sent to an upstream of the own zone.
    pub authorized: Option<AuthorizedRoute>,
}

/// An attempt that ended without an answer for the caller.
#[derive(Debug)]
pub struct FailedAttempt {
    /// Where the request was sent.
    pub destination: Destination,
    /// Whether the upstream may have begun the work.
    pub failure: Failure,
    /// Why the attempt failed, as written to the log and the record of the request.
    pub reason: SmolStr,
}

/// Sends a call to an upstream of the own zone.
///
/// # Errors
///
/// Fails when no answer that belongs to the request arrives.
pub async fn send_to_upstream(
    entry: &Entry,
    authorized: AuthorizedRoute,
    facts: &RequestFacts,
    call: &Call,
) -> Result<Exchange, FailedAttempt> {
    let route = authorized.route().clone();
    let destination = Destination::Upstream(route.upstream.clone());
    let request = upstream_request(facts, call, route.address);
    entry.router.borrow_mut().record_sent(entry.node.now(), &authorized, facts);
    entry.track_sent(&facts.id, call, &route.upstream);
    entry.record_stage(&facts.id, Stage::Sent { upstream: route.upstream });
    let may_send = || may_send(entry, &facts.id, |it| authorized.recheck(it, entry.lease(), facts));
    let endpoint = AttemptEndpoint {
        destination,
        address: route.address,
        attempt_id: route.attempt_id,
        may_send: &may_send,
    };
    let exchange = send(entry, endpoint, facts, request, call).await?;
    Ok(Exchange { authorized: Some(authorized), ..exchange })
}

/// Whether residency still permits an attempt by the configuration in force now.
pub fn may_send(
    entry: &Entry,
    id: &RequestId,
    recheck: impl Fn(&Configuration) -> Result<(), ResidencyError>,
) -> bool {
    let Some(configuration) = entry.configuration() else { return false };
    let result = recheck(&configuration);
    if let Err(error) = &result {
        tracing::warn!(request = %id, %error, "attempt withdrawn before its request was sent");
    }
    result.is_ok()
}

/// Forwards a call to another zone.
///
/// An instance there that is leaving, or does not accept connections, has not run the call; the call
/// is then forwarded to one other instance of the same zone.
///
/// # Errors
///
/// Fails when no answer that belongs to the request arrives, or when the zone refuses it.
pub async fn forward_to_zone(
    entry: &Entry,
    authorized: AuthorizedForward,
    facts: &RequestFacts,
    call: &Call,
) -> Result<Exchange, FailedAttempt> {
    let route = authorized.route().clone();
    entry.router.borrow_mut().record_forwarded(entry.node.now(), &authorized);
    entry.record_stage(&facts.id, Stage::Forwarded { zone: route.zone.clone() });
    let may_send = || may_send(entry, &facts.id, |it| authorized.recheck(it, entry.lease()));
    let peers = forward::receivers(entry, &route.zone, &route.entry);
    let mut failed = FailedAttempt {
        destination: Destination::Zone(route.zone.clone()),
        failure: Failure::NotSent,
        reason: "the entry instance is not in the cluster file".into(),
    };
    for (id, address) in peers {
        let Some(request) = forward::request(entry, &authorized, call, address) else {
            failed.reason = "the request can't be encoded".into();
            break;
        };
        let destination = Destination::Zone(route.zone.clone());
        let endpoint = AttemptEndpoint {
            destination,
            address,
            attempt_id: route.attempt_id,
            may_send: &may_send,
        };
        let result = send(entry, endpoint, facts, request, call).await;
        failed = match forward::check_refusal(entry, result).await {
            Ok(exchange) => return Ok(exchange),
            Err(ForwardFailure::ByZone(failed)) => return Err(failed),
            Err(ForwardFailure::ByInstance(failed)) => failed,
        };
        if !may_send() {
            break;
        }
        entry.unavailable_entries.begin(entry.node.now(), &id);
    }
    Err(failed)
}

fn upstream_request(
    facts: &RequestFacts,
    call: &Call,
    address: SocketAddr,
) -> Request<RequestBody> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    if let Ok(uri) = call.path.parse() {
        *request.uri_mut() = uri;
    }
    let fields = request.headers_mut();
    let host = address.to_string();
    body::insert(fields, header::HOST.as_str(), &host);
    body::insert(fields, headers::REQUEST_ID, &facts.id.to_string());
    body::insert(fields, headers::DEADLINE, &facts.deadline.as_millis().to_string());
    body::insert(fields, headers::PRIORITY, &facts.priority.to_string());
    if let Some(media) = &call.media {
        body::insert(fields, header::CONTENT_TYPE.as_str(), media);
    }
    if let Some(key) = &call.key {
        body::insert(fields, headers::IDEMPOTENCY_KEY, key);
    }
    request
}

/// The destination of one attempt, with the address to connect to.
struct AttemptEndpoint<'a> {
    destination: Destination,
    address: SocketAddr,
    attempt_id: AttemptId,
    /// Whether residency still permits the attempt; called each time before the request is sent.
    may_send: &'a dyn Fn() -> bool,
}

async fn send(
    entry: &Entry,
    endpoint: AttemptEndpoint<'_>,
    facts: &RequestFacts,
    request: Request<RequestBody>,
    call: &Call,
) -> Result<Exchange, FailedAttempt> {
    let id = &facts.id;
    let AttemptEndpoint { destination, address, attempt_id, may_send } = endpoint;
    let limits = CallLimits { connect: CONNECT_TIMEOUT, head: call.head_timeout };
    let result = match (&destination, &facts.target) {
        _ if !may_send() => Err(HttpCallError::Withdrawn { address }),
        (Destination::Upstream(_), target @ Target::Model(_)) => {
            let to = connection_recovery::EngineRequest { address, id, target, may_send };
            connection_recovery::call(entry, to, request, call, limits).await
        }
        _ => entry.client.call_if_wanted(address, request, call.reuse, limits, may_send).await,
    };
    let (answer, connection) = match result {
        Ok(answered) => answered,
        Err(error) => {
            entry.notify_router(router::Event::Failed(attempt_id));
            return Err(handle_failed_call(entry, destination, address, id, &error).await);
        }
    };
    if belongs_to_other_request(&answer, id) {
        metrics::counter!(CROSSED).increment(1);
        entry.notify_router(router::Event::Failed(attempt_id));
        let reason = "the answer belongs to another request".into();
        return Err(FailedAttempt { destination, failure: Failure::Lost, reason });
    }
    Ok(Exchange { destination, address, attempt_id, answer, connection, authorized: None })
}

/// Whether the head of an answer carries the id of another request, or none.
fn belongs_to_other_request(answer: &Response<Incoming>, id: &RequestId) -> bool {
    let named = answer.headers().get(headers::REQUEST_ID).and_then(|it| it.to_str().ok());
    named != Some(id.to_string().as_str())
}

async fn handle_failed_call(
    entry: &Entry,
    destination: Destination,
    address: SocketAddr,
    id: &RequestId,
    error: &HttpCallError,
) -> FailedAttempt {
    // Other idle connections to the same address may be unresponsive as well.
    entry.client.close_idle(address);
    let failure = match error.is_unsent() {
        true => Failure::NotSent,
        false => Failure::Lost,
    };
    if let Destination::Upstream(upstream) = &destination {
        if matches!(error, HttpCallError::Connect { .. } | HttpCallError::TimedOut { .. }) {
            entry.cooldowns.begin(entry.node.now(), upstream);
        }
        match failure {
            Failure::Lost => entry.check_for_crash(id, upstream, address).await,
            _ => entry.handle_suspect_event(suspects::Event::Inconclusive { request: id.clone() }),
        }
    }
    FailedAttempt { destination, failure, reason: smol_str::format_smolstr!("{error}") }
}

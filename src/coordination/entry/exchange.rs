//! One attempt: a request is sent to an upstream, or to an entry instance of another zone, and the
//! head of its answer is awaited.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, body::Incoming, header};
use medlarlug_core::{
    fingerprint::Fingerprint,
    ids::{RequestId, UpstreamId, ZoneId},
    membership::Target,
    record::Stage,
    retry::Failure,
    routing::{Crossing, Departure, RequestFacts, Ticket, router},
    suspects,
};
use smol_str::SmolStr;

use crate::{
    coordination::entry::{
        Entry, connection_recovery,
        forward::{self, Refused},
    },
    protocol::headers,
    telemetry::metrics::CROSSED,
    transport::body,
    transport::http_client::{CallError, CallLimits, Connection, RequestBody, Reuse},
};

/// Time until a connection to an upstream is open.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// What is sent, whatever it is sent to.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query at the upstream.
    pub path: SmolStr,
    /// Media type of the body.
    pub media: Option<SmolStr>,
    /// Key under which the call runs at most once.
    pub key: Option<SmolStr>,
    /// Fingerprint of the request's content.
    pub content: Fingerprint,
    /// The body, as the caller sent it.
    pub body: Bytes,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Whether a connection that was used before will do.
    pub reuse: Reuse,
    /// Time that the other side has for the head of its answer.
    pub limit: Duration,
}

/// Where a request was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// An upstream of the own zone.
    Upstream(UpstreamId),
    /// Another zone.
    Zone(ZoneId),
}

/// An answer whose head has arrived.
pub struct Exchange {
    /// Where the request was sent.
    pub place: Place,
    /// Address of the other side.
    pub address: SocketAddr,
    /// Names the attempt in the router's events.
    pub ticket: Ticket,
    /// The answer.
    pub answer: Response<Incoming>,
    /// The connection over which it comes.
    pub connection: Connection,
}

/// An attempt that brought no answer.
#[derive(Debug)]
pub struct FailedAttempt {
    /// Where the request was sent.
    pub place: Place,
    /// What is known of what became of it.
    pub failure: Failure,
    /// Why it failed.
    pub reason: SmolStr,
}

/// Sends a call to an upstream of the own zone.
///
/// # Errors
///
/// Fails when no answer that belongs to the request arrives.
pub async fn send_to_upstream(
    entry: &Entry,
    departure: Departure,
    facts: &RequestFacts,
    call: &Call,
) -> Result<Exchange, FailedAttempt> {
    let route = departure.route().clone();
    let place = Place::Upstream(route.upstream.clone());
    let request = upstream_request(facts, call, route.address);
    entry.router.borrow_mut().sent(entry.node.now(), &departure, facts);
    entry.note_sent(&facts.id, call.content, &route.upstream);
    entry.step(&facts.id, Stage::Sent { upstream: route.upstream });
    let destination = Destination { place, address: route.address, ticket: route.ticket };
    send(entry, destination, facts, request, call).await
}

/// Hands a call to another zone.
///
/// An instance there that is leaving, or does not listen, has not run it; one other instance of
/// the same zone is asked then.
///
/// # Errors
///
/// Fails when no answer that belongs to the request arrives, or when the zone refuses it.
pub async fn send_to_zone(
    entry: &Entry,
    crossing: Crossing,
    facts: &RequestFacts,
    call: &Call,
) -> Result<Exchange, FailedAttempt> {
    let route = crossing.route().clone();
    entry.router.borrow_mut().crossed(entry.node.now(), &crossing);
    entry.step(&facts.id, Stage::Forwarded { zone: route.zone.clone() });
    let peers = forward::receivers(entry, &route.zone, &route.entry);
    let mut failed = FailedAttempt {
        place: Place::Zone(route.zone.clone()),
        failure: Failure::NotSent,
        reason: "the entry instance is not in the cluster file".into(),
    };
    for (id, address) in peers {
        let Some(request) = forward::request(entry, &crossing, call, address) else {
            failed.reason = "the request can't be encoded".into();
            break;
        };
        let place = Place::Zone(route.zone.clone());
        let destination = Destination { place, address, ticket: route.ticket };
        let result = send(entry, destination, facts, request, call).await;
        failed = match forward::check_refusal(entry, result).await {
            Ok(exchange) => return Ok(exchange),
            Err(Refused::ByZone(failed)) => return Err(failed),
            Err(Refused::ByInstance(failed)) => failed,
        };
        entry.closed_entries.begin(entry.node.now(), &id);
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

/// Where a request is being sent.
struct Destination {
    place: Place,
    address: SocketAddr,
    ticket: Ticket,
}

async fn send(
    entry: &Entry,
    destination: Destination,
    facts: &RequestFacts,
    request: Request<RequestBody>,
    call: &Call,
) -> Result<Exchange, FailedAttempt> {
    let id = &facts.id;
    let Destination { place, address, ticket } = destination;
    let limits = CallLimits { connect: CONNECT_LIMIT, head: call.limit };
    let result = match (&place, &facts.target) {
        (Place::Upstream(_), target @ Target::Model(_)) => {
            let to = connection_recovery::Destination { address, id, target };
            connection_recovery::call(entry, to, request, call, limits).await
        }
        _ => entry.client.call(address, request, call.reuse, limits).await,
    };
    let (answer, connection) = match result {
        Ok(answered) => answered,
        Err(error) => {
            entry.routed(router::Event::Failed(ticket));
            return Err(failed_call(entry, place, address, id, &error).await);
        }
    };
    if is_foreign(&answer, id) {
        metrics::counter!(CROSSED).increment(1);
        entry.routed(router::Event::Failed(ticket));
        let reason = "the answer belongs to another request".into();
        return Err(FailedAttempt { place, failure: Failure::Lost, reason });
    }
    Ok(Exchange { place, address, ticket, answer, connection })
}

/// Whether the head of an answer names another request, or none.
fn is_foreign(answer: &Response<Incoming>, id: &RequestId) -> bool {
    let named = answer.headers().get(headers::REQUEST_ID).and_then(|it| it.to_str().ok());
    named != Some(id.to_string().as_str())
}

async fn failed_call(
    entry: &Entry,
    place: Place,
    address: SocketAddr,
    id: &RequestId,
    error: &CallError,
) -> FailedAttempt {
    // Other idle connections to the same address may have gone silent in the same way.
    entry.client.forget(address);
    let failure = match error.is_unsent() {
        true => Failure::NotSent,
        false => Failure::Lost,
    };
    if let Place::Upstream(upstream) = &place {
        if matches!(error, CallError::Connect { .. } | CallError::Silent { .. }) {
            entry.cooldowns.begin(entry.node.now(), upstream);
        }
        match failure {
            Failure::Lost => entry.examine_loss(id, upstream, address).await,
            _ => entry.suspect(suspects::Event::Ended { request: id.clone() }),
        }
    }
    FailedAttempt { place, failure, reason: smol_str::format_smolstr!("{error}") }
}

//! Requests that are forwarded from one zone to another, or to another instance of the own zone if
//! this one can't connect to its upstreams.
//!
//! The sender encodes the call and the header of the forwarded request in one postcard document,
//! authenticated by the deployment key. The receiver serves it in its own zone or refuses it; what
//! it received is a [`ForwardedRequest`](medlarlug_core::routing::ForwardedRequest), which can't be
//! forwarded again.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, header};
use medlarlug_core::{
    ids::{InstanceId, ZoneId},
    record::Outcome,
    refusal::Reason,
    retry::Failure,
    routing::{AuthorizedForward, ForwardHeader, router},
    suspects::RequestContents,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::{
    coordination::entry::{
        Entry,
        exchange::{Call, Destination, Exchange, FailedAttempt},
    },
    protocol::{Problem, headers},
    transport::{body, http_client::RequestBody},
};

/// Path at which the internal interface accepts forwarded requests.
pub const PATH: &str = "/v1/forward";

/// Maximum number of instances of a zone to which one request is forwarded in turn.
const MAX_RECEIVERS: usize = 2;

/// Maximum size of a receiver's problem document.
const MAX_PROBLEM_BYTES: usize = 16 * 1024;

/// Time for a problem document to arrive after the head of its answer.
const PROBLEM_TIMEOUT: Duration = Duration::from_secs(1);

/// A call that is forwarded to another zone, as encoded in the body of the HTTP request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedCall {
    /// The facts and the region for which residency was checked.
    pub header: ForwardHeader,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query to request from the upstream.
    pub path: SmolStr,
    /// Media type of the body.
    pub media: Option<SmolStr>,
    /// The idempotency key, under which the call runs at most once.
    pub key: Option<SmolStr>,
    /// Fingerprints by which contents that crash upstreams are recognized.
    pub contents: RequestContents,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// The body, as the caller sent it.
    pub body: Vec<u8>,
}

/// The HTTP request that forwards a call; `None` if the call can't be encoded.
pub fn request(
    entry: &Entry,
    authorized: &AuthorizedForward,
    call: &Call,
    address: SocketAddr,
) -> Option<Request<RequestBody>> {
    let forwarded = ForwardedCall {
        header: authorized.header().clone(),
        method: call.method.as_str().into(),
        path: call.path.clone(),
        media: call.media.clone(),
        key: call.key.clone(),
        contents: call.contents.clone(),
        stream: call.stream,
        body: call.body.to_vec(),
    };
    let body = Bytes::from(postcard::to_stdvec(&forwarded).ok()?);
    let mac = entry.node.keys.sign(&body);
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = PATH.parse().ok()?;
    body::insert(request.headers_mut(), header::HOST.as_str(), &address.to_string());
    body::insert(request.headers_mut(), headers::MAC, &mac);
    Some(request)
}

/// The other instances of a zone to which a request is forwarded in turn, at most two: `preferred`
/// first, unless it was recently unavailable.
pub fn receivers(
    entry: &Entry,
    zone: &ZoneId,
    preferred: &InstanceId,
) -> Vec<(InstanceId, SocketAddr)> {
    let unavailable = entry.unavailable_entries.ids(entry.node.now());
    let own = &entry.node.own.id;
    let in_zone = entry.node.cluster.entries().filter(|it| it.zone == *zone && it.id != *own);
    let mut receivers: Vec<(InstanceId, SocketAddr)> =
        in_zone.map(|it| (it.id.clone(), it.internal)).collect();
    receivers.sort_by_key(|it| (unavailable.binary_search(&it.0).is_ok(), it.0 != *preferred));
    receivers.truncate(MAX_RECEIVERS);
    receivers
}

/// A forwarded request that got no answer.
pub enum ForwardFailure {
    /// The zone refused the request, or the outcome of the request is unknown.
    ByZone(FailedAttempt),
    /// The instance does not accept requests; another instance of its zone may.
    ByInstance(FailedAttempt),
}

/// Converts a receiver's answer that the request was not run into a failed attempt.
///
/// # Errors
///
/// Fails if the receiving zone refused the request before any upstream may have begun it, or if
/// `result` is an error.
pub async fn check_refusal(
    entry: &Entry,
    result: Result<Exchange, FailedAttempt>,
) -> Result<Exchange, ForwardFailure> {
    let exchange = match result {
        Ok(exchange) => exchange,
        Err(failed) if failed.failure == Failure::NotSent => {
            return Err(ForwardFailure::ByInstance(failed));
        }
        Err(failed) => return Err(ForwardFailure::ByZone(failed)),
    };
    let outcome = exchange.answer.headers().get(headers::OUTCOME);
    let is_not_run = outcome.is_some_and(|it| it == Outcome::NotRun.to_string().as_str());
    if !is_not_run {
        return Ok(exchange);
    }
    entry.notify_router(router::Event::Failed(exchange.attempt_id));
    let reason = "the receiving zone refused it".into();
    let failed =
        FailedAttempt { destination: exchange.destination, failure: Failure::ZoneRefused, reason };
    let content =
        timeout(PROBLEM_TIMEOUT, body::read(exchange.answer.into_body(), MAX_PROBLEM_BYTES));
    let problem = match content.await {
        Ok(Ok(content)) => serde_json::from_slice::<Problem>(&content).ok(),
        _ => None,
    };
    let is_in_own_zone = failed.destination == Destination::Zone(entry.node.own.zone.clone());
    match problem {
        Some(problem) if problem.kind == Reason::Leaving.slug() => {
            Err(ForwardFailure::ByInstance(failed))
        }
        // It reaches no upstream either; a third instance may.
        Some(problem) if is_in_own_zone && problem.kind == Reason::NoUpstream.slug() => {
            Err(ForwardFailure::ByInstance(failed))
        }
        _ => Err(ForwardFailure::ByZone(failed)),
    }
}

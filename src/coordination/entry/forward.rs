//! Requests that cross from one zone to another.
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
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::{
    coordination::entry::{
        Entry,
        exchange::{Call, Exchange, FailedAttempt},
    },
    protocol::{Problem, headers},
    transport::{body, http_client::RequestBody},
};

/// Path of the internal interface that takes forwarded requests.
pub const PATH: &str = "/v1/forward";

/// Instances of a zone that are asked to take one request over, at most.
const MAX_RECEIVERS: usize = 2;

/// Longest problem document of a receiver, in bytes.
const MAX_PROBLEM_BYTES: usize = 16 * 1024;

/// Time that a problem document may take after its head.
const PROBLEM_TIMEOUT: Duration = Duration::from_secs(1);

/// A call on its way between two zones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedCall {
    /// The facts and the region for which residency was checked.
    pub header: ForwardHeader,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query at the upstream.
    pub path: SmolStr,
    /// Media type of the body.
    pub media: Option<SmolStr>,
    /// Key under which the call runs at most once.
    pub key: Option<SmolStr>,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// The body, as the caller sent it.
    pub body: Vec<u8>,
}

/// The HTTP request that hands a call over; `None` when it can't be encoded.
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
        stream: call.stream,
        body: call.body.to_vec(),
    };
    let body = Bytes::from(postcard::to_stdvec(&forwarded).ok()?);
    let code = entry.node.keys.sign(&body);
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = PATH.parse().ok()?;
    body::insert(request.headers_mut(), header::HOST.as_str(), &address.to_string());
    body::insert(request.headers_mut(), headers::CODE, &code);
    Some(request)
}

/// The instances of a zone that may be asked in turn, at most two: `preferred` first, unless it
/// has just been found closed.
pub fn receivers(
    entry: &Entry,
    zone: &ZoneId,
    preferred: &InstanceId,
) -> Vec<(InstanceId, SocketAddr)> {
    let unavailable = entry.unavailable_entries.ids(entry.node.now());
    let in_zone = entry.node.cluster.entries().filter(|it| it.zone == *zone);
    let mut receivers: Vec<(InstanceId, SocketAddr)> =
        in_zone.map(|it| (it.id.clone(), it.internal)).collect();
    receivers.sort_by_key(|it| (unavailable.binary_search(&it.0).is_ok(), it.0 != *preferred));
    receivers.truncate(MAX_RECEIVERS);
    receivers
}

/// A forwarded request that got no answer.
pub enum ForwardFailure {
    /// The zone refused the request, or what became of it is not known.
    ByZone(FailedAttempt),
    /// The instance takes no requests; another one of its zone may.
    ByInstance(FailedAttempt),
}

/// Turns a receiver's refusal as not run into a failed attempt.
///
/// # Errors
///
/// Fails when the receiving zone refused the request before any upstream can have begun it, or
/// when the attempt has failed before.
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
    match problem {
        Some(problem) if problem.kind == Reason::Leaving.slug() => {
            Err(ForwardFailure::ByInstance(failed))
        }
        _ => Err(ForwardFailure::ByZone(failed)),
    }
}

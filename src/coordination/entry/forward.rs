//! Requests that cross from one zone to another.
//!
//! The sender wraps the call and the crossing's header in one postcard document, authenticated by
//! the deployment key. The receiver serves it in its own zone or refuses it; what it received is a
//! [`Forwarded`](medlarlug_core::routing::Forwarded), which can't be handed on.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, header};
use medlarlug_core::{
    record::Outcome,
    retry::Failure,
    routing::{Crossing, ForwardHeader, router},
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    coordination::entry::{
        Entry,
        exchange::{Call, Exchange, FailedAttempt, insert},
    },
    protocol::headers,
    transport::http_client::RequestBody,
};

/// Path of the internal interface that takes forwarded requests.
pub const PATH: &str = "/v1/forward";

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
    crossing: &Crossing,
    call: &Call,
    address: SocketAddr,
) -> Option<Request<RequestBody>> {
    let forwarded = ForwardedCall {
        header: crossing.header().clone(),
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
    insert(request.headers_mut(), header::HOST.as_str(), &address.to_string());
    insert(request.headers_mut(), headers::CODE, &code);
    Some(request)
}

/// Turns a receiver's refusal as not run into a failed attempt.
///
/// # Errors
///
/// Fails when the receiving zone refused the request before any upstream can have begun it.
pub fn check_refusal(entry: &Entry, exchange: Exchange) -> Result<Exchange, FailedAttempt> {
    let outcome = exchange.answer.headers().get(headers::OUTCOME);
    let is_not_run = outcome.is_some_and(|it| it == Outcome::NotRun.to_string().as_str());
    if !is_not_run {
        return Ok(exchange);
    }
    entry.routed(router::Event::Failed(exchange.ticket));
    let reason = "the receiving zone refused it".into();
    Err(FailedAttempt { place: exchange.place, failure: Failure::ZoneRefused, reason })
}

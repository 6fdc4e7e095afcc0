//! Questions to plain services about bookings of unknown outcome.
//!
//! The owner asks the upstream that it sent the booking to once after a lost answer. Everything
//! later is up to the leader of the home group: it hands [`OutcomeQuery`]s to an entry instance of
//! each permitted zone, which asks the zone's upstreams of the service, owner or not. A question
//! sends nothing again, and of several answers the home group records one.
//!
//! A service answers `GET /outcomes/{key}` with `{"state": "ran", "request": ..., "answer": ...}`
//! once the call has ended. `request` is the `x-request-id` under which it ran; another one than
//! the booking's shows that somebody else used the key.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header};
use medlarlug_core::{
    home::{Action, Body, BookingKey, OutcomeQuery, RecordLookup, RecordedAnswer, Reply},
    ids::{RegionId, RequestId},
    membership::Target,
    record::{Outcome, RequestRecord, Stage, TimelineEntry},
    release::ItemKey,
};
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::{
    coordination::{calls, calls::CallError, entry::Entry},
    protocol::headers,
    transport::{
        body,
        http_client::{CallLimits, Reuse},
    },
};

/// Longest answer to a booking, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Times of one question.
pub const OUTCOME_QUERY_LIMITS: CallLimits =
    CallLimits { connect: Duration::from_secs(1), head: Duration::from_secs(2) };

/// Time that a home group has to answer or to record an outcome.
const GROUP_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What a service answered to a booking.
pub struct ServiceAnswer {
    /// What is recorded of it.
    pub recorded: RecordedAnswer,
    /// The whole body.
    pub content: Bytes,
}

/// Asks the own zone's services about bookings of the home group of `home`, and settles them.
pub async fn resolve_all(entry: Rc<Entry>, home: RegionId, queries: Vec<OutcomeQuery>) {
    join_all(queries.iter().map(|it| resolve(&entry, &home, it))).await;
}

async fn resolve(entry: &Entry, home: &RegionId, query: &OutcomeQuery) {
    let answers = addresses(entry, query).into_iter();
    let answers = answers.map(|it| query_outcome(entry, it, &query.key, &query.request));
    let Some(answer) = join_all(answers).await.into_iter().flatten().next() else { return };
    let request = &query.request;
    // The record goes first: while the booking is not settled, the question comes again.
    let result = match record_outcome(entry, query).await {
        Ok(Reply::Ok) => resolve_booking(entry, home, query, answer.recorded).await,
        other => other,
    };
    match result {
        Ok(Reply::Ok) => tracing::info!(%request, "unknown outcome settled"),
        Ok(reply) => tracing::info!(%request, ?reply, "unknown outcome not settled"),
        Err(error) => tracing::info!(%request, %error, "unknown outcome not settled"),
    }
}

/// The zone's upstreams of the service, if residency permits to ask them.
fn addresses(entry: &Entry, query: &OutcomeQuery) -> Vec<SocketAddr> {
    let node = &entry.node;
    let Some(configuration) = entry.configuration() else { return Vec::new() };
    if !query.is_permitted_in(&configuration, &node.region) {
        return Vec::new();
    }
    let target = Target::Service(query.service.clone());
    let members = node.members.borrow();
    let upstreams = members.upstreams(node.now()).filter(|it| it.serves(&target));
    upstreams.map(|it| it.announcement.address).collect()
}

async fn resolve_booking(
    entry: &Entry,
    home: &RegionId,
    query: &OutcomeQuery,
    answer: RecordedAnswer,
) -> Result<Reply, CallError> {
    let OutcomeQuery { team, key, request, .. } = query.clone();
    let action = Action::ResolveOutcome { team, key, request, answer };
    calls::submit_home_action(&entry.node, home, action, GROUP_CALL_TIMEOUT).await
}

/// Notes in the record of a booking's request that the service told its outcome.
async fn record_outcome(entry: &Entry, query: &OutcomeQuery) -> Result<Reply, CallError> {
    let request = &query.request;
    let mut record = match calls::look_up_record(&entry.node, request, GROUP_CALL_TIMEOUT).await? {
        RecordLookup::Found(record) => record,
        // The owner was lost before it sent the record.
        RecordLookup::Expired | RecordLookup::Pending => RequestRecord {
            id: request.clone(),
            team: query.team.clone(),
            target: ItemKey::Service(query.service.clone()),
            outcome: None,
            timeline: Vec::new(),
        },
    };
    if record.outcome == Some(Outcome::Answered) {
        return Ok(Reply::Ok);
    }
    record.outcome = Some(Outcome::Answered);
    let reason = "told by the service when asked later".into();
    let stage = Stage::Ended { outcome: Outcome::Answered, reason };
    // When the request was received is not known here.
    let after = record.timeline.last().map(|it| it.after).unwrap_or_default();
    record.timeline.push(TimelineEntry { after, stage });
    let action = Action::Records(vec![record]);
    calls::submit_home_action(&entry.node, &request.region, action, GROUP_CALL_TIMEOUT).await
}

/// Asks an upstream for the answer of the call that `request` made under `key`.
pub async fn query_outcome(
    entry: &Entry,
    address: SocketAddr,
    key: &BookingKey,
    request: &RequestId,
) -> Option<ServiceAnswer> {
    let mut query = Request::new(Full::new(Bytes::new()));
    *query.method_mut() = Method::GET;
    *query.uri_mut() = format!("/outcomes/{key}").parse().ok()?;
    body::insert(query.headers_mut(), header::HOST.as_str(), &address.to_string());
    body::insert(query.headers_mut(), headers::REQUEST_ID, &request.to_string());
    let result = entry.client.call(address, query, Reuse::Never, OUTCOME_QUERY_LIMITS).await;
    let (answer, _) = result.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    let reading = body::read(answer.into_body(), MAX_ANSWER_BYTES);
    let content = timeout(OUTCOME_QUERY_LIMITS.head, reading).await.ok()?.ok()?;
    parse_outcome(&content, request)
}

/// The answer in a service's document, if it says that the call of `request` ran.
pub fn parse_outcome(document: &[u8], request: &RequestId) -> Option<ServiceAnswer> {
    let document: serde_json::Value = serde_json::from_slice(document).ok()?;
    if document["state"] != "ran" || document["request"] != request.to_string().as_str() {
        return None;
    }
    let content = match &document["answer"] {
        serde_json::Value::String(text) => text.clone().into_bytes(),
        other => serde_json::to_vec(other).ok()?,
    };
    let recorded = RecordedAnswer {
        status: 200,
        content_type: SmolStr::new_static("application/json"),
        body: Body::of(&content),
    };
    Some(ServiceAnswer { recorded, content: content.into() })
}

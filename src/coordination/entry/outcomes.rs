//! Queries to plain services about bookings of unknown outcome.
//!
//! After a lost answer, the owner queries the upstream to which it sent the booking, once. All later
//! queries are up to the leader of the home group: it sends [`OutcomeQuery`]s to an entry instance of
//! each permitted zone, which queries the zone's upstreams of the service, whether or not the
//! instance owns the booking. A query never sends the booking again, and if several upstreams answer,
//! the home group records one of the answers.
//!
//! A service answers `GET /outcomes/{key}` with `{"state": "ran", "request": ..., "answer": ...}`
//! once the call has ended. `request` is the `x-request-id` under which the call ran; if it differs
//! from that of the booking, another request has used the key.

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

use crate::{
    coordination::{calls, calls::CallError, entry::Entry},
    protocol::headers,
    transport::{
        body,
        http_client::{CallLimits, Reuse},
        memory::AnswerMemory,
    },
};

/// Maximum size of the answer to a booking.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Time-outs of one query.
pub const OUTCOME_QUERY_LIMITS: CallLimits =
    CallLimits { connect: Duration::from_secs(1), head: Duration::from_secs(2) };

/// Time for a home group to answer a look-up or to record an outcome.
const GROUP_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A service's answer to a booking.
pub struct ServiceAnswer {
    /// The part that the home group records; a long body is left out of it.
    pub recorded: RecordedAnswer,
    /// The complete body, for the caller.
    pub content: Bytes,
    /// Counts the body until this is dropped.
    pub counted: AnswerMemory,
}

/// Queries the own zone's services about bookings of the home group of `home`, and has the outcomes
/// recorded.
pub async fn resolve_all(entry: Rc<Entry>, home: RegionId, queries: Vec<OutcomeQuery>) {
    join_all(queries.iter().map(|it| resolve(&entry, &home, it))).await;
}

async fn resolve(entry: &Entry, home: &RegionId, query: &OutcomeQuery) {
    let answers = addresses(entry, query).into_iter();
    let answers = answers.map(|it| query_outcome(entry, it, &query.key, &query.request));
    let Some(answer) = join_all(answers).await.into_iter().flatten().next() else { return };
    let request = &query.request;
    // The request record is written first: the query is repeated until the booking is resolved.
    let result = match record_outcome(entry, query).await {
        Ok(Reply::Ok) => resolve_booking(entry, home, query, answer.recorded).await,
        other => other,
    };
    match result {
        Ok(Reply::Ok) => tracing::info!(%request, "unknown outcome resolved"),
        Ok(reply) => tracing::info!(%request, ?reply, "unknown outcome not resolved"),
        Err(error) => tracing::info!(%request, %error, "unknown outcome not resolved"),
    }
}

/// Addresses of the zone's upstreams of the service; none if residency forbids querying them.
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

/// Adds to the record of a booking's request that the service has reported the outcome.
async fn record_outcome(entry: &Entry, query: &OutcomeQuery) -> Result<Reply, CallError> {
    let request = &query.request;
    let mut record = match calls::look_up_record(&entry.node, request, GROUP_CALL_TIMEOUT).await? {
        RecordLookup::Found(record) => record,
        // The owner crashed before it sent the record.
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
    // The time at which the request was received is not known here.
    let after = record.timeline.last().map(|it| it.after).unwrap_or_default();
    record.timeline.push(TimelineEntry { after, stage });
    let action = Action::Records(vec![record]);
    calls::submit_home_action(&entry.node, &request.region, action, GROUP_CALL_TIMEOUT).await
}

/// Queries an upstream for the answer to the call that `request` made under `key`; `None` if it has
/// none or can't be reached.
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
    let limit = OUTCOME_QUERY_LIMITS.head;
    let read = entry.answers.read(answer.into_body(), MAX_ANSWER_BYTES, limit).await.ok()?;
    let (recorded, content) = parse_outcome(&read.content, request)?;
    Some(ServiceAnswer { recorded, content, counted: read.counted })
}

/// Extracts the answer from a service's document, if the document states that the call of `request`
/// ran.
pub fn parse_outcome(document: &[u8], request: &RequestId) -> Option<(RecordedAnswer, Bytes)> {
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
    Some((recorded, content.into()))
}

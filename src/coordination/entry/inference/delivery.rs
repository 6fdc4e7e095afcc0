//! The delivery of an upstream's answer, streamed or whole, and the recorded end of the request.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode, header};
use medlarlug_core::{
    ids::RequestId,
    membership::Target,
    record::{Outcome, Stage},
    retry::Failure,
    routing::{self, router},
    suspects,
};
use tokio::task;

use super::{AttemptEnd, Job, Place};
use crate::{
    coordination::entry::{
        Entry,
        admission::Slot,
        exchange::{Exchange, FailedAttempt},
        relay::{Relay, StreamEnd},
    },
    protocol::headers,
    transport::body::{self, Answer},
};

/// Longest answer that is not streamed, in bytes.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Whether an upstream's error document says that it has not begun the request.
pub fn says_not_started(status: StatusCode, content: &[u8]) -> bool {
    if !status.is_server_error() {
        return false;
    }
    let document: serde_json::Value = serde_json::from_slice(content).unwrap_or_default();
    document["error"]["code"] == "not_started"
}

/// Passes a streamed answer on from its first event; `slot` is taken along.
pub(super) async fn stream(
    entry: &Rc<Entry>,
    job: &Job,
    exchange: Exchange,
    slot: &mut Option<Slot>,
) -> Result<Answer, AttemptEnd> {
    let (id, target) = (job.facts().id.clone(), job.facts().target.clone());
    let (place, attempt_id, address) =
        (exchange.place.clone(), exchange.attempt_id, exchange.address);
    let mut relay = Relay::new(entry.clone(), id.clone(), exchange);
    if let Err(refusal) = relay.begin().await {
        entry.routed(router::Event::Failed(attempt_id));
        let reason = refusal.reason.title().into();
        if let Place::Upstream(upstream) = &place {
            entry.examine_loss(&id, upstream, address).await;
        }
        return Err(AttemptEnd::Failed(FailedAttempt { place, failure: Failure::Lost, reason }));
    }
    let (sender, body) = body::streamed();
    let mut answer = Response::new(body);
    let fields = answer.headers_mut();
    let media = header::HeaderValue::from_static("text/event-stream");
    fields.insert(header::CONTENT_TYPE, media);
    body::insert(fields, headers::REQUEST_ID, &id.to_string());
    let (entry, slot) = (entry.clone(), slot.take());
    task::spawn_local(async move {
        let end = relay.deliver(sender).await;
        drop(slot);
        if let (StreamEnd::Failed(_), Place::Upstream(upstream)) = (&end, &place) {
            entry.examine_loss(&id, upstream, address).await;
        }
        let own = matches!(place, Place::Upstream(_)).then_some(&target);
        finish(&entry, &id, own, attempt_id, end);
    });
    Ok(answer)
}

/// Ends a streamed request; `own` is its target if an upstream of the own zone served it.
fn finish(
    entry: &Entry,
    id: &RequestId,
    own: Option<&Target>,
    attempt_id: routing::AttemptId,
    end: StreamEnd,
) {
    let (event, outcome, reason) = match &end {
        StreamEnd::Complete => {
            (router::Event::Ended(attempt_id), Outcome::Answered, "whole answer")
        }
        StreamEnd::CallerGone => {
            (router::Event::Ended(attempt_id), Outcome::Failed, "the caller went away")
        }
        StreamEnd::Failed(refusal) => {
            (router::Event::Failed(attempt_id), refusal.outcome, refusal.reason.title())
        }
    };
    entry.routed(event);
    let request = id.clone();
    if end == StreamEnd::Complete {
        entry.suspect(suspects::Event::Completed { request });
        if let Some(target) = own {
            entry.with_budget(target, |budget| budget.record_success());
        }
    } else {
        entry.suspect(suspects::Event::Inconclusive { request });
    }
    entry.end(id, outcome, reason);
}

/// Reads an answer that is not streamed and passes it on.
///
/// An upstream's error fails the attempt; but a call that must not run twice ends with it, unless
/// the upstream says that it has not begun the call.
pub(super) async fn whole(
    entry: &Rc<Entry>,
    job: &Job,
    exchange: Exchange,
) -> Result<Answer, AttemptEnd> {
    let facts = job.facts();
    let (place, attempt_id) = (exchange.place, exchange.attempt_id);
    let (head, incoming) = exchange.answer.into_parts();
    entry.step(&facts.id, Stage::FirstByte);
    let failed = |failure, reason| {
        entry.suspect(suspects::Event::Inconclusive { request: facts.id.clone() });
        entry.routed(router::Event::Failed(attempt_id));
        let place = place.clone();
        Err(AttemptEnd::Failed(FailedAttempt { place, failure, reason }))
    };
    let limited = http_body_util::Limited::new(incoming, ANSWER_BYTES);
    let content = match tokio::time::timeout(job.call.limit, limited.collect()).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        _ => return failed(Failure::Lost, "the answer was cut before its end".into()),
    };
    let status = head.status;
    if says_not_started(status, &content) {
        return failed(Failure::NotSent, "the upstream did not begin it".into());
    }
    if status.is_server_error() && job.call.key.is_none() {
        let reason = smol_str::format_smolstr!("the upstream answered with status {status}");
        return failed(Failure::Error, reason);
    }
    entry.client.give_back(exchange.connection);
    entry.routed(router::Event::FirstToken(attempt_id));
    entry.routed(router::Event::Ended(attempt_id));
    pay_for_retries(entry, &facts.target, &place, status);
    entry.suspect(suspects::Event::Completed { request: facts.id.clone() });
    entry.end(&facts.id, Outcome::Answered, "whole answer");
    Ok(pass_on(&facts.id, status, head.headers.get(header::CONTENT_TYPE), content))
}

/// Counts an answer for the retry budget of `target`, unless it is an error, or another zone's
/// instance sent the request to the upstream and counts it.
pub fn pay_for_retries(entry: &Entry, target: &Target, place: &Place, status: StatusCode) {
    if matches!(place, Place::Upstream(_)) && !status.is_server_error() {
        entry.with_budget(target, |budget| budget.record_success());
    }
}

/// An upstream's answer as the caller gets it.
pub fn pass_on(
    id: &RequestId,
    status: StatusCode,
    media: Option<&header::HeaderValue>,
    content: Bytes,
) -> Answer {
    let mut answer = Response::new(body::whole(content));
    *answer.status_mut() = status;
    if let Some(media) = media {
        answer.headers_mut().insert(header::CONTENT_TYPE, media.clone());
    }
    body::insert(answer.headers_mut(), headers::REQUEST_ID, &id.to_string());
    answer
}

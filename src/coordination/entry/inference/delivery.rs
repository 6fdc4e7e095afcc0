//! The delivery of an upstream's answer, streamed or not, and the recorded end of the request.

use std::rc::Rc;

use bytes::Bytes;
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

use super::{AttemptError, Destination, Job};
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

/// Maximum size of an answer that is not streamed.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Whether an upstream's error document states that it has not begun the request.
pub fn is_not_started(status: StatusCode, content: &[u8]) -> bool {
    if !status.is_server_error() {
        return false;
    }
    let document: serde_json::Value = serde_json::from_slice(content).unwrap_or_default();
    document["error"]["code"] == "not_started"
}

/// Waits for the first event of a streamed answer, and spawns a task that delivers the rest. The
/// task takes `slot` and holds it until the end of the stream.
pub(super) async fn deliver_stream(
    entry: &Rc<Entry>,
    job: &Job,
    exchange: Exchange,
    slot: &mut Option<Slot>,
) -> Result<Answer, AttemptError> {
    let (id, target) = (job.facts().id.clone(), job.facts().target.clone());
    let (destination, attempt_id, address) =
        (exchange.destination.clone(), exchange.attempt_id, exchange.address);
    let mut relay = Relay::new(entry.clone(), job.facts().clone(), exchange);
    if let Err(refusal) = relay.begin().await {
        entry.notify_router(router::Event::Failed(attempt_id));
        let reason = refusal.reason.title().into();
        if let Destination::Upstream(upstream) = &destination {
            entry.check_for_crash(&id, upstream, address).await;
        }
        return Err(AttemptError::Failed(FailedAttempt {
            destination,
            failure: Failure::Lost,
            reason,
        }));
    }
    entry.handle_suspect_event(suspects::Event::Began { request: id.clone() });
    let (sender, body) = body::channel();
    let mut answer = Response::new(body);
    let fields = answer.headers_mut();
    let media = header::HeaderValue::from_static("text/event-stream");
    fields.insert(header::CONTENT_TYPE, media);
    body::insert(fields, headers::REQUEST_ID, &id.to_string());
    let memory = entry.memory.answer();
    answer.extensions_mut().insert(memory.clone());
    let (entry, slot) = (entry.clone(), slot.take());
    task::spawn_local(async move {
        let end = relay.deliver(sender, memory).await;
        drop(slot);
        if let (StreamEnd::Failed(_), Destination::Upstream(upstream)) = (&end, &destination) {
            entry.check_for_crash(&id, upstream, address).await;
        }
        let local_target = matches!(destination, Destination::Upstream(_)).then_some(&target);
        finish(&entry, &id, local_target, attempt_id, end);
    });
    Ok(answer)
}

/// Ends a streamed request; `local_target` is its target if an upstream of the own zone served it.
fn finish(
    entry: &Entry,
    id: &RequestId,
    local_target: Option<&Target>,
    attempt_id: routing::AttemptId,
    end: StreamEnd,
) {
    let (event, outcome, reason) = match &end {
        StreamEnd::Complete => {
            (router::Event::Ended(attempt_id), Outcome::Answered, "whole answer")
        }
        StreamEnd::CallerDisconnected => {
            (router::Event::Ended(attempt_id), Outcome::Failed, "the caller went away")
        }
        StreamEnd::Failed(refusal) => {
            (router::Event::Failed(attempt_id), refusal.outcome, refusal.reason.title())
        }
    };
    entry.notify_router(event);
    let request = id.clone();
    if end == StreamEnd::Complete {
        entry.handle_suspect_event(suspects::Event::Completed { request });
        if let Some(target) = local_target {
            entry.with_retry_budget(target, |budget| budget.record_success());
        }
    } else {
        entry.handle_suspect_event(suspects::Event::Inconclusive { request });
    }
    entry.end_request(id, outcome, reason);
}

/// Reads an answer that is not streamed, and returns it for the caller.
///
/// If the upstream answers with an error, the attempt fails. But a call that must not run twice ends
/// with that error, unless the upstream states that it has not begun the call.
pub(super) async fn deliver_complete(
    entry: &Rc<Entry>,
    job: &Job,
    exchange: Exchange,
) -> Result<Answer, AttemptError> {
    let facts = job.facts();
    let (destination, attempt_id) = (exchange.destination, exchange.attempt_id);
    let (head, incoming) = exchange.answer.into_parts();
    entry.record_stage(&facts.id, Stage::FirstByte);
    let failed = |failure, reason| {
        entry.handle_suspect_event(suspects::Event::Inconclusive { request: facts.id.clone() });
        entry.notify_router(router::Event::Failed(attempt_id));
        let destination = destination.clone();
        Err(AttemptError::Failed(FailedAttempt { destination, failure, reason }))
    };
    let read = entry.answers.read(incoming, MAX_ANSWER_BYTES, job.call.head_timeout).await;
    let checked = read.and_then(|it| exchange.connection.check_answer(&head).map(|()| it));
    let content = match checked {
        Ok(read) => read.content,
        Err(error) => return failed(Failure::Lost, smol_str::format_smolstr!("{error}")),
    };
    let status = head.status;
    if is_not_started(status, &content) {
        return failed(Failure::NotSent, "the upstream did not begin it".into());
    }
    if status.is_server_error() && job.call.key.is_none() {
        let reason = smol_str::format_smolstr!("the upstream answered with status {status}");
        return failed(Failure::Error, reason);
    }
    entry.client.release(exchange.connection);
    entry.notify_router(router::Event::FirstToken(attempt_id));
    entry.notify_router(router::Event::Ended(attempt_id));
    credit_retry_budget(entry, &facts.target, &destination, status);
    entry.handle_suspect_event(suspects::Event::Completed { request: facts.id.clone() });
    entry.end_request(&facts.id, Outcome::Answered, "whole answer");
    Ok(build_answer(entry, &facts.id, status, head.headers.get(header::CONTENT_TYPE), content))
}

/// Credits an answer to the retry budget of `target`. Errors are not credited, and neither are
/// answers from another zone, whose instance credits them to its own budget.
pub fn credit_retry_budget(
    entry: &Entry,
    target: &Target,
    destination: &Destination,
    status: StatusCode,
) {
    if matches!(destination, Destination::Upstream(_)) && !status.is_server_error() {
        entry.with_retry_budget(target, |budget| budget.record_success());
    }
}

/// Builds the answer to the caller from the parts of an upstream's answer.
pub fn build_answer(
    entry: &Entry,
    id: &RequestId,
    status: StatusCode,
    media: Option<&header::HeaderValue>,
    content: Bytes,
) -> Answer {
    let memory = entry.memory.answer();
    let mut answer = Response::new(body::full(memory.charge(content)));
    answer.extensions_mut().insert(memory);
    *answer.status_mut() = status;
    if let Some(media) = media {
        answer.headers_mut().insert(header::CONTENT_TYPE, media.clone());
    }
    body::insert(answer.headers_mut(), headers::REQUEST_ID, &id.to_string());
    answer
}

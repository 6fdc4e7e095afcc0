//! The lifecycle of a call to a plain service.
//!
//! An idempotent call is routed and retried like an inference request. A *booking* is a call that
//! must not run twice. Its intent is committed in the home group of the team's home region before it
//! is sent; it is sent once, over a new connection; its answer is committed before the caller gets
//! it. If it remains uncertain whether a booking ran, it is recorded as unknown and never sent again,
//! and the service is queried for the outcome if it supports that ([`outcomes`]).

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{StatusCode, header};
use medlarlug_core::{
    fingerprint::Fingerprint,
    home::{
        Begin, Body, BookingKey, Owner, RecordedAnswer,
        attempt::{self as attempt_core, Event, NotRun},
    },
    ids::{RegionId, RequestId, Revision, ServiceId, TeamId},
    membership::Target,
    record::{Outcome, Stage},
    refusal::{Reason, Refusal},
    retry::{Attempts, Decision, Failure},
    routing::{RequestFacts, router},
    suspects,
};

use crate::{
    coordination::entry::{
        Entry,
        attempt::{self, AttemptHandle, Step},
        exchange::{Exchange, FailedAttempt},
        inference::{self, AttemptError, Job},
        outcomes::{self, MAX_ANSWER_BYTES, ServiceAnswer},
    },
    protocol::{Problem, headers},
    transport::{
        answers::ReadAnswer,
        body::{self, Answer},
    },
};

/// Time for the intent of a booking to be committed.
const INTENT_COMMIT_TIMEOUT: Duration = Duration::from_secs(4);

/// Time for the outcome of a booking to be committed before the caller is answered anyway.
const OUTCOME_COMMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Retry delay for an unknown outcome, after which the service may have reported it.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Time for the body of an answer to arrive after its head.
const ANSWER_BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Minimum duration of an attempt; no retry begins with less time before the deadline.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// A call that must not run twice.
pub struct Booking {
    /// The team that sent the call.
    pub team: TeamId,
    /// The team's home region, by the configuration in effect.
    pub home: RegionId,
    /// Revision of that configuration.
    pub revision: Revision,
    /// Revision at which the team was assigned to this home region.
    pub epoch: Revision,
    /// Whether the team had another home region before.
    pub moved: bool,
    /// The idempotency key that the caller sent.
    pub key: BookingKey,
    /// Fingerprint of method, path and body.
    pub fingerprint: Fingerprint,
    /// Whether the service answers queries about the outcome.
    pub can_query_outcome: bool,
    /// The call, and where it may be sent.
    pub job: Job,
}

impl Booking {
    /// The service, if it answers queries about the outcome.
    fn queryable_service(&self) -> Option<ServiceId> {
        match &self.job.facts().target {
            Target::Service(service) if self.can_query_outcome => Some(service.clone()),
            _ => None,
        }
    }
}

/// How the sending of a booking ended.
enum SendResult {
    Answered(ServiceAnswer),
    Lost(FailedAttempt),
    NotSent(Refusal),
}

/// Runs a booking to its recorded end.
pub async fn book(entry: Rc<Entry>, mut booking: Booking) -> Answer {
    let id = booking.job.facts().id.clone();
    let _slot = match inference::admit(&entry, &mut booking.job).await {
        Ok(slot) => slot,
        Err(refusal) => return refuse_before_lookup(&entry, &id, &refusal),
    };
    let limit = INTENT_COMMIT_TIMEOUT.min(booking.job.facts().deadline);
    let mut attempt = attempt::start(&entry, booking.home.clone(), begin_of(&entry, &booking));
    match attempt.next(limit).await {
        Step::Send => run(&entry, booking, attempt).await,
        Step::Answer(answer) => answer_unsent(&entry, &id, &answer),
    }
}

/// Ends a booking with a refusal before its key was looked up in the home group, so that the outcome
/// of an earlier request under the key is unknown.
pub fn refuse_before_lookup(entry: &Entry, id: &RequestId, refusal: &Refusal) -> Answer {
    entry.end_request(id, refusal.outcome, refusal.reason.title());
    body::problem_answer(
        &Problem::from_refusal(refusal).for_request(id).with_unknown_earlier_outcome(),
    )
}

fn begin_of(entry: &Entry, booking: &Booking) -> Begin {
    Begin {
        team: booking.team.clone(),
        key: booking.key.clone(),
        content: booking.fingerprint,
        request: booking.job.facts().id.clone(),
        owner: Owner { instance: entry.node.own.id.clone(), incarnation: entry.node.incarnation },
        revision: booking.revision,
        epoch: booking.epoch,
        moved: booking.moved,
        queryable_service: booking.queryable_service(),
    }
}

/// The answer to a request whose own call was not sent to the service.
fn answer_unsent(entry: &Entry, id: &RequestId, answer: &attempt_core::Answer) -> Answer {
    let problem = match answer {
        attempt_core::Answer::Done(recorded) => {
            entry.end_request(id, Outcome::Answered, "recorded answer of an earlier request");
            return recorded_answer(entry, id, recorded);
        }
        attempt_core::Answer::Unknown => {
            let title = "An earlier request with this key may have run; it is not sent again";
            Problem::new(409, "outcome-unknown", title, Outcome::Unknown)
                .with_retry_after(UNKNOWN_RETRY_AFTER)
        }
        attempt_core::Answer::NotRun(reason) => not_run(reason),
    };
    entry.end_request(id, problem.outcome, &problem.title);
    body::problem_answer(&problem.for_request(id))
}

fn not_run(reason: &NotRun) -> Problem {
    let wait = Duration::from_secs(1);
    let refused = |kind: &'static str, title: &str| {
        Problem::new(503, kind, title, Outcome::NotRun).with_retry_after(wait)
    };
    // The key was not looked up, so an earlier request may have used it.
    let not_looked_up = |kind: &'static str, title: &str| {
        let note = "whether an earlier request with this key ran can't be told now";
        refused(kind, &format!("{title}; {note}")).with_unknown_earlier_outcome()
    };
    match reason {
        NotRun::InProgress(request) => {
            let title = format!("Request {request} with this key is under way");
            Problem::new(409, "in-progress", &title, Outcome::Unknown).with_retry_after(wait)
        }
        NotRun::KeyReused(request) => {
            let title = format!("The key belongs to request {request} with other content");
            Problem::new(422, "key-reused", &title, Outcome::NotRun)
        }
        NotRun::NotHome(region) => not_looked_up(
            "not-home",
            &format!("The team's bookings are recorded in region {region}"),
        ),
        NotRun::StaleConfiguration(revision) => not_looked_up(
            "stale-configuration",
            &format!("This instance does not know revision {revision} yet"),
        ),
        NotRun::NotAdopted => not_looked_up(
            "not-adopted",
            "The team's bookings are on their way to its new home region",
        ),
        NotRun::Full => refused("keys-exhausted", "The home region keeps as many keys as it can"),
        NotRun::HomeUnavailable => {
            not_looked_up("home-unreachable", "The home region of the booking can't be reached")
                .with_retry_after(Duration::from_secs(2))
        }
        NotRun::UpstreamUnavailable => {
            refused("upstream-unavailable", "No upstream could be reached")
        }
        NotRun::Replaced => not_looked_up("replaced", "This instance has been replaced"),
    }
}

/// Sends a booking whose intent is committed, and has its outcome recorded.
async fn run(entry: &Rc<Entry>, mut booking: Booking, mut attempt: AttemptHandle) -> Answer {
    let id = booking.job.facts().id.clone();
    let failed = match send(entry, &mut booking).await {
        SendResult::Answered(answer) => return finish(entry, &booking, &mut attempt, answer).await,
        SendResult::NotSent(refusal) => {
            attempt.send_event(Event::NotSent);
            return inference::refuse(entry, &id, &refusal);
        }
        SendResult::Lost(failed) => failed,
    };
    if booking.can_query_outcome
        && let Some(answer) = query_outcome(entry, &booking, &failed).await
    {
        return finish(entry, &booking, &mut attempt, answer).await;
    }
    attempt.send_event(Event::AnswerLost);
    let refusal = Refusal::new(Reason::AnswerLost, Duration::from_secs(5));
    inference::refuse(entry, &id, &refusal)
}

/// Sends the call, and retries it until it is answered, may have begun at an upstream, or is given
/// up unsent.
async fn send(entry: &Rc<Entry>, booking: &mut Booking) -> SendResult {
    let id = booking.job.facts().id.clone();
    let target = booking.job.facts().target.clone();
    let deadline = entry.node.now() + booking.job.facts().deadline;
    let mut attempts = Attempts::new(false, false, deadline, MIN_ATTEMPT_TIME);
    loop {
        let failed = match inference::send(entry, &booking.job).await {
            Ok(exchange) => match read_answer(entry, booking.job.facts(), exchange).await {
                Ok(answer) => return SendResult::Answered(answer),
                Err(failed) => failed,
            },
            Err(AttemptError::Refused(refusal)) => return SendResult::NotSent(refusal),
            Err(AttemptError::Failed(failed)) => failed,
        };
        tracing::info!(request = %id, reason = %failed.reason, "attempt failed");
        if !failed.failure.is_not_run() {
            return SendResult::Lost(failed);
        }
        let decision = entry.with_retry_budget(&target, |budget| {
            let now = entry.node.now();
            attempts.decide(now, failed.failure, budget, &mut entry.retry_jitter.borrow_mut())
        });
        inference::exclude(&mut booking.job, &failed);
        match decision {
            Decision::GiveUp(refusal) => return SendResult::NotSent(refusal),
            Decision::RetryInZone | Decision::RetryInOtherZone => {
                entry.record_stage(&id, Stage::Retried { reason: failed.reason });
            }
        }
    }
}

/// Reads the complete answer of a service.
///
/// A complete answer, also an error, shows that the request has not crashed the upstream.
async fn read_answer(
    entry: &Entry,
    facts: &RequestFacts,
    exchange: Exchange,
) -> Result<ServiceAnswer, FailedAttempt> {
    let request = facts.id.clone();
    let (destination, attempt_id) = (exchange.destination, exchange.attempt_id);
    let (head, incoming) = exchange.answer.into_parts();
    let read = entry.answers.read(incoming, MAX_ANSWER_BYTES, ANSWER_BODY_TIMEOUT).await;
    let checked = read.and_then(|it| exchange.connection.check_answer(&head).map(|()| it));
    let ReadAnswer { content, counted } = match checked {
        Ok(read) => read,
        Err(error) => {
            entry.notify_router(router::Event::Failed(attempt_id));
            entry.handle_suspect_event(suspects::Event::Inconclusive { request });
            let reason = smol_str::format_smolstr!("{error}");
            return Err(FailedAttempt { destination, failure: Failure::Lost, reason });
        }
    };
    entry.handle_suspect_event(suspects::Event::Completed { request });
    if inference::is_not_started(head.status, &content) {
        entry.notify_router(router::Event::Failed(attempt_id));
        let reason = "the service did not begin it".into();
        return Err(FailedAttempt { destination, failure: Failure::NotSent, reason });
    }
    entry.notify_router(router::Event::FirstToken(attempt_id));
    entry.notify_router(router::Event::Ended(attempt_id));
    let media = head.headers.get(header::CONTENT_TYPE).and_then(|it| it.to_str().ok());
    if head.headers.get(headers::OUTCOME).is_some_and(|it| it == "unknown") {
        let reason = "the receiving zone does not know the outcome".into();
        return Err(FailedAttempt { destination, failure: Failure::Lost, reason });
    }
    inference::credit_retry_budget(entry, &facts.target, &destination, head.status);
    let recorded = RecordedAnswer {
        status: head.status.as_u16(),
        content_type: media.unwrap_or("application/octet-stream").into(),
        body: Body::of(&content),
    };
    Ok(ServiceAnswer { recorded, content, counted })
}

/// Answers the caller once the outcome is recorded, or after [`OUTCOME_COMMIT_TIMEOUT`].
async fn finish(
    entry: &Entry,
    booking: &Booking,
    attempt: &mut AttemptHandle,
    answer: ServiceAnswer,
) -> Answer {
    let id = &booking.job.facts().id;
    let ServiceAnswer { recorded, content, counted } = answer;
    let (status, media) = answer_head(&recorded);
    attempt.send_event(Event::Answered(recorded));
    attempt.next(OUTCOME_COMMIT_TIMEOUT).await;
    entry.end_request(id, Outcome::Answered, "whole answer");
    drop(counted);
    inference::build_answer(entry, id, status, media.as_ref(), content)
}

/// Queries the upstream that may have run a call for the outcome.
async fn query_outcome(
    entry: &Entry,
    booking: &Booking,
    failed: &FailedAttempt,
) -> Option<ServiceAnswer> {
    let inference::Destination::Upstream(upstream) = &failed.destination else { return None };
    let address = {
        let members = entry.node.members.borrow();
        members.upstream(entry.node.now(), upstream)?.announcement.address
    };
    outcomes::query_outcome(entry, address, &booking.key, &booking.job.facts().id).await
}

/// Status and media type of a recorded answer.
fn answer_head(answer: &RecordedAnswer) -> (StatusCode, Option<header::HeaderValue>) {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    (status, header::HeaderValue::from_str(&answer.content_type).ok())
}

fn recorded_answer(entry: &Entry, id: &RequestId, answer: &RecordedAnswer) -> Answer {
    let (status, media) = answer_head(answer);
    let content = match &answer.body {
        Body::Whole(content) => Bytes::from(content.clone()),
        Body::Omitted { size, fingerprint } => {
            let note =
                serde_json::json!({ "omitted": { "bytes": size, "fingerprint": fingerprint } });
            Bytes::from(note.to_string())
        }
    };
    inference::build_answer(entry, id, status, media.as_ref(), content)
}

//! The life of a call to a plain service.
//!
//! A call that may be repeated is routed and retried like an inference request. A *booking* is a
//! call that must not run twice. Its intent is committed in the home group of the team's home
//! region before it is sent; it is sent once, over a new connection; its answer is committed
//! before the caller gets it. Whatever stays uncertain is recorded as unknown and never sent
//! again, and the service is asked about it where it can be asked.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header};
use medlarlug_core::{
    fingerprint::Fingerprint,
    home::{Action, Begin, BeginReply, Body, BookingKey, Owner, Recorded, Reply},
    ids::{RegionId, RequestId, Revision, TeamId},
    record::{Outcome, Stage},
    refusal::{Reason, Refusal},
    retry::{Attempts, Decision, Failure},
    routing::router,
    suspects,
};
use smol_str::{SmolStr, ToSmolStr};
use tokio::{task, time::sleep};

use crate::{
    coordination::{
        calls::{self, CallFailure},
        entry::{
            Entry,
            exchange::{Exchange, FailedAttempt, insert},
            inference::{self, AttemptEnd, Job},
        },
    },
    protocol::{Problem, headers},
    transport::{
        body::{self, Answer},
        http_client::{CallLimits, Reuse},
    },
};

/// Time that an intent has to be committed.
const BEGIN_LIMIT: Duration = Duration::from_secs(4);

/// Time that an outcome has to be committed.
const FINISH_LIMIT: Duration = Duration::from_secs(10);

/// Pause between two tries to withdraw an intent.
const WITHDRAW_PAUSE: Duration = Duration::from_secs(1);

/// Longest answer to a booking, in bytes.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Shortest time that an attempt is worth.
const ATTEMPT_ESTIMATE: Duration = Duration::from_millis(50);

/// Times of a question about the outcome of a call.
const OUTCOME_LIMITS: CallLimits =
    CallLimits { connect: Duration::from_secs(1), head: Duration::from_secs(2) };

/// A call that must not run twice.
pub struct Booking {
    /// The team.
    pub team: TeamId,
    /// Its home region, by the configuration in force.
    pub home: RegionId,
    /// Revision of that configuration.
    pub revision: Revision,
    /// Revision at which the team got this home.
    pub epoch: Revision,
    /// Whether the team had another home before.
    pub moved: bool,
    /// The caller's key.
    pub key: BookingKey,
    /// Fingerprint of method, path and body.
    pub content: Fingerprint,
    /// Whether the service can be asked about the outcome.
    pub outcomes: bool,
    /// The call.
    pub job: Job,
}

/// Runs a booking to its recorded end.
pub async fn book(entry: Rc<Entry>, mut booking: Booking) -> Answer {
    let id = booking.job.facts().id.clone();
    let _slot = match inference::admit(&entry, &mut booking.job).await {
        Ok(slot) => slot,
        Err(refusal) => return inference::refuse(&entry, &id, &refusal),
    };
    let begun = match begin(&entry, &booking).await {
        Ok(begun) => begun,
        Err(failure) => {
            let answer = begin_failed(&entry, &id, &failure);
            if matches!(failure, CallFailure::Uncertain { .. }) {
                task::spawn_local(withdraw(entry.clone(), booking));
            }
            return answer;
        }
    };
    match begun {
        BeginReply::Started => run(&entry, booking).await,
        BeginReply::Done { request, answer } => {
            let reason = smol_str::format_smolstr!("recorded answer of request {request}");
            entry.end(&id, Outcome::Answered, &reason);
            recorded_answer(&id, &answer)
        }
        other => not_begun(&entry, &id, &other),
    }
}

async fn begin(entry: &Entry, booking: &Booking) -> Result<BeginReply, CallFailure> {
    let begin = Begin {
        team: booking.team.clone(),
        key: booking.key.clone(),
        content: booking.content,
        request: booking.job.facts().id.clone(),
        owner: Owner { instance: entry.node.own.id.clone(), incarnation: entry.node.incarnation },
        revision: booking.revision,
        epoch: booking.epoch,
        moved: booking.moved,
    };
    match calls::act(&entry.node, &booking.home, Action::Begin(begin), BEGIN_LIMIT).await? {
        Reply::Begin(reply) => Ok(reply),
        Reply::NotFounded => Ok(BeginReply::NotFounded),
        reply => {
            tracing::error!(?reply, "unexpected reply to the begin of a booking");
            Ok(BeginReply::NotFounded)
        }
    }
}

/// Withdraws an intent that may have been committed after its request was given up.
///
/// A repeated begin of the same request is idempotent; once it has a reply, no earlier one can
/// leave the intent open behind the withdrawal.
async fn withdraw(entry: Rc<Entry>, booking: Booking) {
    loop {
        sleep(WITHDRAW_PAUSE).await;
        match begin(&entry, &booking).await {
            Ok(BeginReply::Started) => {}
            Ok(_) => return,
            Err(_) => continue,
        }
        let (team, key) = (booking.team.clone(), booking.key.clone());
        let request = booking.job.facts().id.clone();
        let action = Action::Abandon { team, key, request };
        if calls::act(&entry.node, &booking.home, action, FINISH_LIMIT).await.is_ok() {
            return;
        }
    }
}

/// The home group gave no reply, so nothing was sent to the service.
///
/// An intent that may have been committed is withdrawn later; it is never sent.
fn begin_failed(entry: &Entry, id: &RequestId, failure: &CallFailure) -> Answer {
    entry.end(id, Outcome::NotRun, &failure.to_smolstr());
    let title = "The home region of the booking can't be reached";
    let problem = Problem::new(503, "home-unreachable", title, Outcome::NotRun);
    body::refusal(&problem.of(id).after(Duration::from_secs(2)))
}

fn not_begun(entry: &Entry, id: &RequestId, reply: &BeginReply) -> Answer {
    let wait = Duration::from_secs(1);
    let problem = match reply {
        BeginReply::InProgress(request) => {
            let title = format!("Request {request} with this key is under way");
            Problem::new(409, "in-progress", &title, Outcome::Unknown).after(wait)
        }
        BeginReply::Unknown(_) => {
            let title = "An earlier request with this key may have run; it is not sent again";
            Problem::new(409, "outcome-unknown", title, Outcome::Unknown)
        }
        BeginReply::KeyReused(request) => {
            let title = format!("The key belongs to request {request} with other content");
            Problem::new(422, "key-reused", &title, Outcome::NotRun)
        }
        BeginReply::NotHome(region) => {
            let title = format!("The team's bookings are recorded in region {region}");
            Problem::new(503, "not-home", &title, Outcome::NotRun).after(wait)
        }
        BeginReply::Abandoned
        | BeginReply::StaleConfiguration(_)
        | BeginReply::NotAdopted
        | BeginReply::Full
        | BeginReply::StaleOwner(_)
        | BeginReply::NotFounded
        | BeginReply::Started
        | BeginReply::Done { .. } => {
            let title = "The home region does not take the booking in at the moment";
            Problem::new(503, "home-not-ready", title, Outcome::NotRun).after(wait)
        }
    };
    entry.end(id, problem.outcome, &problem.title);
    body::refusal(&problem.of(id))
}

/// Sends a booking whose intent is committed, and records how it ended.
async fn run(entry: &Rc<Entry>, mut booking: Booking) -> Answer {
    let id = booking.job.facts().id.clone();
    let target = booking.job.facts().target.clone();
    let deadline = entry.node.now() + booking.job.facts().deadline;
    let mut attempts = Attempts::new(false, false, deadline, ATTEMPT_ESTIMATE);
    loop {
        let failed = match inference::send(entry, &booking.job).await {
            Ok(exchange) => match read_answer(entry, &id, exchange).await {
                Ok(answer) => return finish(entry, &booking, answer).await,
                Err(failed) => failed,
            },
            Err(AttemptEnd::Refused(refusal)) => return abandon(entry, &booking, &refusal).await,
            Err(AttemptEnd::Failed(failed)) => failed,
        };
        tracing::info!(request = %id, reason = %failed.reason, "attempt failed");
        if !failed.failure.is_not_run() {
            return settle(entry, &booking, &failed).await;
        }
        let decision = entry.with_budget(&target, |budget| {
            let now = entry.node.now();
            attempts.decide(now, failed.failure, budget, &mut entry.spread.borrow_mut())
        });
        inference::exclude(&mut booking.job, &failed);
        match decision {
            Decision::GiveUp(refusal) => return abandon(entry, &booking, &refusal).await,
            Decision::RetryHere | Decision::RetryElsewhere => {
                entry.step(&id, Stage::Retried { reason: failed.reason });
            }
        }
    }
}

/// Reads the whole answer of a service.
///
/// An answer of any kind shows that the request crashed nothing.
async fn read_answer(
    entry: &Entry,
    id: &RequestId,
    exchange: Exchange,
) -> Result<Recorded, FailedAttempt> {
    let request = id.clone();
    let (place, ticket) = (exchange.place, exchange.ticket);
    let (head, incoming) = exchange.answer.into_parts();
    let limit = OUTCOME_LIMITS.head * 5;
    let content = match tokio::time::timeout(limit, body::read(incoming, ANSWER_BYTES)).await {
        Ok(Ok(content)) => content,
        _ => {
            entry.routed(router::Event::Failed(ticket));
            entry.suspect(suspects::Event::Ended { request });
            let reason = "the answer was cut before its end".into();
            return Err(FailedAttempt { place, failure: Failure::Lost, reason });
        }
    };
    entry.suspect(suspects::Event::Answered { request });
    if inference::says_not_started(head.status, &content) {
        entry.routed(router::Event::Failed(ticket));
        let reason = "the service did not begin it".into();
        return Err(FailedAttempt { place, failure: Failure::NotSent, reason });
    }
    entry.routed(router::Event::FirstToken(ticket));
    entry.routed(router::Event::Ended(ticket));
    let media = head.headers.get(header::CONTENT_TYPE).and_then(|it| it.to_str().ok());
    if head.headers.get(headers::OUTCOME).is_some_and(|it| it == "unknown") {
        let reason = "the receiving zone does not know the outcome".into();
        return Err(FailedAttempt { place, failure: Failure::Lost, reason });
    }
    Ok(Recorded {
        status: head.status.as_u16(),
        content_type: media.unwrap_or("application/octet-stream").into(),
        body: Body::of(&content),
    })
}

async fn finish(entry: &Entry, booking: &Booking, answer: Recorded) -> Answer {
    let id = &booking.job.facts().id;
    let action = Action::Finish {
        team: booking.team.clone(),
        key: booking.key.clone(),
        request: id.clone(),
        answer: answer.clone(),
    };
    if let Err(error) = calls::act(&entry.node, &booking.home, action, FINISH_LIMIT).await {
        tracing::warn!(request = %id, %error, "the outcome of a booking is not recorded");
    }
    let target = &booking.job.facts().target;
    entry.with_budget(target, |budget| budget.deposit());
    entry.end(id, Outcome::Answered, "whole answer");
    recorded_answer(id, &answer)
}

/// Withdraws an intent that was proven not to have been sent.
async fn abandon(entry: &Entry, booking: &Booking, refusal: &Refusal) -> Answer {
    let id = &booking.job.facts().id;
    let (team, key) = (booking.team.clone(), booking.key.clone());
    let action = Action::Abandon { team, key, request: id.clone() };
    if let Err(error) = calls::act(&entry.node, &booking.home, action, FINISH_LIMIT).await {
        tracing::warn!(request = %id, %error, "an intent is not withdrawn");
    }
    inference::refuse(entry, id, refusal)
}

/// Records a booking as unknown, unless the service can tell what became of it.
async fn settle(entry: &Entry, booking: &Booking, failed: &FailedAttempt) -> Answer {
    let id = &booking.job.facts().id;
    if booking.outcomes
        && let Some(answer) = ask_outcome(entry, booking, failed).await
    {
        return finish(entry, booking, answer).await;
    }
    let (team, key) = (booking.team.clone(), booking.key.clone());
    let action = Action::Lose { team, key, request: id.clone() };
    if let Err(error) = calls::act(&entry.node, &booking.home, action, FINISH_LIMIT).await {
        tracing::warn!(request = %id, %error, "an unknown outcome is not recorded");
    }
    let refusal = Refusal::new(Reason::AnswerLost, Duration::from_secs(5));
    inference::refuse(entry, id, &refusal)
}

/// Asks the upstream that may have run a call what became of it.
async fn ask_outcome(entry: &Entry, booking: &Booking, failed: &FailedAttempt) -> Option<Recorded> {
    let inference::Place::Upstream(upstream) = &failed.place else { return None };
    let address = {
        let members = entry.node.members.borrow();
        members.upstream(entry.node.now(), upstream)?.announcement.address
    };
    let id = &booking.job.facts().id;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::GET;
    *request.uri_mut() = format!("/outcomes/{}", booking.key).parse().ok()?;
    insert(request.headers_mut(), header::HOST.as_str(), &address.to_string());
    insert(request.headers_mut(), headers::REQUEST_ID, &id.to_string());
    let result = entry.client.call(address, request, Reuse::Never, OUTCOME_LIMITS).await;
    let (answer, _) = result.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    let content = body::read(answer.into_body(), ANSWER_BYTES).await.ok()?;
    ran_answer(&content)
}

/// The answer out of a service's document about a call that ran.
fn ran_answer(document: &[u8]) -> Option<Recorded> {
    let document: serde_json::Value = serde_json::from_slice(document).ok()?;
    if document["outcome"] != "ran" {
        return None;
    }
    let content = match &document["answer"] {
        serde_json::Value::String(text) => text.clone().into_bytes(),
        other => serde_json::to_vec(other).ok()?,
    };
    Some(Recorded {
        status: 200,
        content_type: SmolStr::new_static("application/json"),
        body: Body::of(&content),
    })
}

fn recorded_answer(id: &RequestId, answer: &Recorded) -> Answer {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let media = header::HeaderValue::from_str(&answer.content_type).ok();
    let content = match &answer.body {
        Body::Whole(content) => Bytes::from(content.clone()),
        Body::Omitted { size, print } => {
            let note = serde_json::json!({ "omitted": { "bytes": size, "fingerprint": print } });
            Bytes::from(note.to_string())
        }
    };
    inference::pass_on(id, status, media.as_ref(), content)
}

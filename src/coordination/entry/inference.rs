//! The life of an inference request, from its admission to its recorded end.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Response, StatusCode, header};
use medlarlug_core::{
    fingerprint::Fingerprint,
    ids::{RequestId, UpstreamId},
    membership::Target,
    record::{Outcome, Stage},
    refusal::{Reason, Refusal},
    retry::{Attempts, Decision, Failure},
    routing::{self, Choice, Forwarded, Origin, Prefix, RequestFacts, View, router},
    suspects,
    units::Tokens,
};
use smol_str::SmolStr;
use tokio::{task, time::sleep};

pub use crate::coordination::entry::exchange::Place;
use crate::{
    coordination::entry::{
        Entry,
        exchange::{self, Call, Exchange, FailedAttempt},
        gate::{self, Slot},
        relay::{Relay, StreamEnd},
    },
    protocol::{Problem, headers, inference::InferenceHead},
    transport::{
        body::{self, Answer},
        http_client::Reuse,
    },
};

/// Time until the first token when the policy names none.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Longest answer that is not streamed, in bytes.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Shortest time that an attempt is worth.
const ATTEMPT_ESTIMATE: Duration = Duration::from_millis(50);

/// Bytes of a prompt that one token stands for.
const BYTES_PER_TOKEN: u64 = 4;

/// A request whose facts are known, at the instance that serves it or hands it on.
pub struct Job {
    /// Where it may go.
    pub origin: JobOrigin,
    /// What is sent.
    pub call: Call,
    /// Its size for fair queueing, in tokens.
    pub cost: u32,
}

/// Where a request came from.
#[derive(Debug, Clone)]
pub enum JobOrigin {
    /// From a caller of this instance.
    Caller(Origin),
    /// From another zone; it is served here or refused.
    Zone(Forwarded),
}

impl Job {
    /// The facts.
    pub fn facts(&self) -> &RequestFacts {
        match &self.origin {
            JobOrigin::Caller(origin) => &origin.facts,
            JobOrigin::Zone(forwarded) => forwarded.facts(),
        }
    }

    /// Takes time off that the request has waited.
    fn spend(&mut self, waited: Duration) {
        match &mut self.origin {
            JobOrigin::Caller(origin) => {
                origin.facts.deadline = origin.facts.deadline.saturating_sub(waited);
            }
            JobOrigin::Zone(forwarded) => forwarded.spend(waited),
        }
    }

    /// Lets the request be sent to every upstream again.
    fn readmit(&mut self) {
        match &mut self.origin {
            JobOrigin::Caller(origin) => origin.facts.excluded.clear(),
            JobOrigin::Zone(forwarded) => forwarded.readmit(),
        }
    }

    /// Keeps the request from being sent to an upstream.
    fn exclude(&mut self, upstream: &UpstreamId) {
        match &mut self.origin {
            JobOrigin::Caller(origin) => origin.facts.exclude(upstream),
            JobOrigin::Zone(forwarded) => forwarded.exclude(upstream),
        }
    }
}

/// Size of a request of which only its being there is known, in tokens.
pub const DEFAULT_COST: u32 = 1_000;

/// Size of an inference request for fair queueing, in tokens.
pub fn cost_of(head: &InferenceHead) -> u32 {
    let tokens = head.prompt.0.saturating_add(head.answer.0);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Time that an upstream has for the head of its answer.
pub fn head_limit(facts: &RequestFacts) -> Duration {
    facts.deadline + HEAD_SLACK
}

/// Time beyond the deadline for which an answer that has begun is still awaited.
const HEAD_SLACK: Duration = Duration::from_secs(20);

/// The prefixes of a prompt as the router wants them, the longest first.
pub fn prefixes_of(head: &InferenceHead) -> Vec<Prefix> {
    let block = medlarlug_core::fingerprint::PREFIX_BLOCK_BYTES as u64 / BYTES_PER_TOKEN;
    let numbered = head.prefixes.iter().zip(1u64..);
    let mut prefixes: Vec<Prefix> = numbered
        .map(|(print, count)| Prefix { print: *print, tokens: Tokens(count * block) })
        .collect();
    prefixes.reverse();
    prefixes
}

/// What is sent for an inference request.
pub fn call_of(path: SmolStr, body: Bytes, stream: bool, limit: Duration) -> Call {
    Call {
        method: Method::POST,
        path,
        media: Some("application/json".into()),
        key: None,
        content: Fingerprint::of(&body),
        body,
        stream,
        reuse: Reuse::Allowed,
        limit,
    }
}

/// Serves a request to its end; the end is recorded before or while the answer is delivered.
pub async fn serve(entry: Rc<Entry>, mut job: Job) -> Answer {
    let id = job.facts().id.clone();
    let mut slot = match admit(&entry, &mut job).await {
        Ok(slot) => slot,
        Err(refusal) => return refuse(&entry, &id, &refusal),
    };
    let target = job.facts().target.clone();
    let deadline = entry.node.now() + job.facts().deadline;
    let is_forwarded = matches!(job.origin, JobOrigin::Zone(_));
    let mut attempts =
        Attempts::new(job.call.key.is_none(), is_forwarded, deadline, ATTEMPT_ESTIMATE);
    loop {
        let failed = match attempt(&entry, &job, &mut slot).await {
            Ok(answer) => return answer,
            Err(AttemptEnd::Refused(refusal)) => {
                return refuse(&entry, &id, &attempts.final_refusal(refusal));
            }
            Err(AttemptEnd::Failed(failed)) => failed,
        };
        tracing::info!(request = %id, reason = %failed.reason, "attempt failed");
        let decision = entry.with_budget(&target, |budget| {
            let now = entry.node.now();
            attempts.decide(now, failed.failure, budget, &mut entry.spread.borrow_mut())
        });
        exclude(&mut job, &failed);
        match decision {
            Decision::GiveUp(refusal) => return refuse(&entry, &id, &refusal),
            Decision::RetryHere | Decision::RetryElsewhere => {
                entry.step(&id, Stage::Retried { reason: failed.reason });
            }
        }
    }
}

/// Waits until the request may start; `None` when it goes to another zone, which admits it there.
pub async fn admit(entry: &Rc<Entry>, job: &mut Job) -> Result<Option<Slot>, Refusal> {
    entry.check_quarantine(job.call.content)?;
    let target = job.facts().target.clone();
    let capacity = gate::capacity(entry, &target);
    let goes_away = capacity == 0
        || (entry.gate.is_full(&target, capacity)
            && matches!(choose(entry, job), Ok(Choice::Forward(_))));
    if goes_away {
        return Ok(None);
    }
    let arrived = entry.node.now();
    entry.gate.set_capacity(arrived, &target, capacity);
    let candidate = gate::arrival(arrived, job.facts(), job.cost);
    let slot = gate::enter(entry, candidate).await?;
    job.spend(entry.node.now() - arrived);
    Ok(Some(slot))
}

/// How an attempt ended that brought no answer.
pub enum AttemptEnd {
    /// No upstream may or can serve the request.
    Refused(Refusal),
    /// It was tried.
    Failed(FailedAttempt),
}

/// Keeps a request from going again where it failed.
pub fn exclude(job: &mut Job, failed: &FailedAttempt) {
    match (&failed.place, &mut job.origin) {
        (Place::Upstream(upstream), _) => job.exclude(&upstream.clone()),
        (Place::Zone(zone), JobOrigin::Caller(origin)) => origin.refuse(zone.clone()),
        (Place::Zone(_), JobOrigin::Zone(_)) => {}
    }
}

/// Makes one attempt; `slot` is taken along by an answer that is streamed.
async fn attempt(
    entry: &Rc<Entry>,
    job: &Job,
    slot: &mut Option<Slot>,
) -> Result<Answer, AttemptEnd> {
    let exchange = send(entry, job).await?;
    let status = exchange.answer.status();
    if job.call.stream && status.is_success() {
        return stream(entry, job, exchange, slot).await;
    }
    whole(entry, job, exchange).await
}

/// Decides where the request goes.
fn choose(entry: &Entry, job: &Job) -> Result<Choice, AttemptEnd> {
    let Some(configuration) = entry.configuration() else {
        let refusal = entry.refusal(Reason::NoConfiguration, Duration::from_secs(1));
        return Err(AttemptEnd::Refused(refusal));
    };
    let (now, lease) = (entry.node.now(), entry.lease());
    let membership = &entry.node.members.borrow();
    let view = View { membership, configuration: &configuration, lease };
    let mut router = entry.router.borrow_mut();
    let choice = match &job.origin {
        JobOrigin::Caller(origin) => router.decide(now, view, origin),
        JobOrigin::Zone(forwarded) => {
            router.decide_forwarded(now, view, forwarded).map(Choice::Serve)
        }
    };
    choice.map_err(|refusal| routing_refused(entry, &refusal))
}

/// Decides where the request goes, to none of the `barred` upstreams.
///
/// An upstream that cools down, or at which an attempt has failed, is used when no other is left:
/// often the connection failed, not the upstream.
fn choose_among(entry: &Entry, job: &Job, barred: &[UpstreamId]) -> Result<Choice, AttemptEnd> {
    let mut open = Job { origin: job.origin.clone(), call: job.call.clone(), cost: 0 };
    let cooling = entry.cooldowns.ids(entry.node.now());
    barred.iter().chain(&cooling).for_each(|it| open.exclude(it));
    let choice = choose(entry, &open);
    if !barred.is_empty() || !is_without_upstream(&choice) {
        return choice;
    }
    open.readmit();
    choose(entry, &open)
}

fn is_without_upstream(choice: &Result<Choice, AttemptEnd>) -> bool {
    let is_without = |reason| matches!(reason, Reason::NoUpstream | Reason::ServedElsewhere);
    matches!(choice, Err(AttemptEnd::Refused(it)) if is_without(it.reason))
}

/// Decides where the request goes; waits while suspects have every upstream.
async fn choose_in_time(entry: &Entry, job: &Job) -> Result<Choice, AttemptEnd> {
    let end = entry.node.now() + job.facts().deadline;
    loop {
        entry.check_quarantine(job.call.content).map_err(AttemptEnd::Refused)?;
        let barred = entry.barred(&job.facts().target, job.call.content);
        let choice = choose_among(entry, job, &barred);
        if barred.is_empty() || !is_without_upstream(&choice) {
            return choice;
        }
        if entry.node.now() >= end {
            return Err(AttemptEnd::Refused(entry.refusal(Reason::Overloaded, SUSPECT_PAUSE)));
        }
        sleep(SUSPECT_PAUSE).await;
    }
}

/// Time between two looks for an upstream that no suspect has.
const SUSPECT_PAUSE: Duration = Duration::from_millis(20);

/// Decides where the request goes, checks residency at the moment of leaving, and sends it.
pub async fn send(entry: &Entry, job: &Job) -> Result<Exchange, AttemptEnd> {
    let choice = choose_in_time(entry, job).await?;
    leave(entry, job, choice).await
}

/// Checks residency at the moment of leaving, and sends the request.
async fn leave(entry: &Entry, job: &Job, choice: Choice) -> Result<Exchange, AttemptEnd> {
    let Some(configuration) = entry.configuration() else {
        let refusal = entry.refusal(Reason::NoConfiguration, Duration::from_secs(1));
        return Err(AttemptEnd::Refused(refusal));
    };
    let facts = job.facts();
    let not_permitted = |error: routing::ResidencyError| {
        tracing::warn!(request = %facts.id, %error, "residency");
        AttemptEnd::Refused(entry.refusal(Reason::NotPermitted, Duration::ZERO))
    };
    let result = match (choice, &job.origin) {
        (Choice::Serve(route), _) => {
            let departure = route.depart(&configuration, facts).map_err(not_permitted)?;
            exchange::send_to_upstream(entry, departure, facts, &job.call).await
        }
        (Choice::Forward(route), JobOrigin::Caller(origin)) => {
            let crossing =
                route.depart(&configuration, entry.lease(), origin).map_err(not_permitted)?;
            exchange::send_to_zone(entry, crossing, facts, &job.call).await
        }
        (Choice::Forward(_), JobOrigin::Zone(_)) => {
            return Err(AttemptEnd::Refused(entry.refusal(Reason::NoUpstream, Duration::ZERO)));
        }
    };
    result.map_err(AttemptEnd::Failed)
}

fn routing_refused(entry: &Entry, refusal: &routing::Refusal) -> AttemptEnd {
    tracing::info!(%refusal, "no route");
    let wait = refusal.retry_after().unwrap_or_default();
    AttemptEnd::Refused(entry.refusal(refusal.reason(), wait))
}

/// Whether an upstream's error document says that it has not begun the request.
pub fn says_not_started(status: StatusCode, content: &[u8]) -> bool {
    if !status.is_server_error() {
        return false;
    }
    let document: serde_json::Value = serde_json::from_slice(content).unwrap_or_default();
    document["error"]["code"] == "not_started"
}

async fn stream(
    entry: &Rc<Entry>,
    job: &Job,
    exchange: Exchange,
    slot: &mut Option<Slot>,
) -> Result<Answer, AttemptEnd> {
    let (id, target) = (job.facts().id.clone(), job.facts().target.clone());
    let (place, ticket, address) = (exchange.place.clone(), exchange.ticket, exchange.address);
    let mut relay = Relay::new(entry.clone(), id.clone(), exchange);
    if let Err(refusal) = relay.begin().await {
        entry.routed(router::Event::Failed(ticket));
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
        finish(&entry, &id, own, ticket, end);
    });
    Ok(answer)
}

/// Ends a streamed request; `own` is its target if an upstream of the own zone served it.
fn finish(
    entry: &Entry,
    id: &RequestId,
    own: Option<&Target>,
    ticket: routing::Ticket,
    end: StreamEnd,
) {
    let (event, outcome, reason) = match &end {
        StreamEnd::Complete => (router::Event::Ended(ticket), Outcome::Answered, "whole answer"),
        StreamEnd::CallerGone => {
            (router::Event::Ended(ticket), Outcome::Failed, "the caller went away")
        }
        StreamEnd::Failed(refusal) => {
            (router::Event::Failed(ticket), refusal.outcome, refusal.reason.title())
        }
    };
    entry.routed(event);
    let request = id.clone();
    if end == StreamEnd::Complete {
        entry.suspect(suspects::Event::Answered { request });
        if let Some(target) = own {
            entry.with_budget(target, |budget| budget.deposit());
        }
    } else {
        entry.suspect(suspects::Event::Ended { request });
    }
    entry.end(id, outcome, reason);
}

/// Reads an answer that is not streamed and passes it on.
///
/// An upstream's error fails the attempt; but a call that must not run twice ends with it, unless
/// the upstream says that it has not begun the call.
async fn whole(entry: &Rc<Entry>, job: &Job, exchange: Exchange) -> Result<Answer, AttemptEnd> {
    let facts = job.facts();
    let (place, ticket) = (exchange.place, exchange.ticket);
    let (head, incoming) = exchange.answer.into_parts();
    entry.step(&facts.id, Stage::FirstByte);
    let failed = |failure, reason| {
        entry.suspect(suspects::Event::Ended { request: facts.id.clone() });
        entry.routed(router::Event::Failed(ticket));
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
    entry.routed(router::Event::FirstToken(ticket));
    entry.routed(router::Event::Ended(ticket));
    pay_for_retries(entry, &facts.target, &place, status);
    entry.suspect(suspects::Event::Answered { request: facts.id.clone() });
    entry.end(&facts.id, Outcome::Answered, "whole answer");
    Ok(pass_on(&facts.id, status, head.headers.get(header::CONTENT_TYPE), content))
}

/// Counts an answer for the retry budget of `target`, unless it is an error, or another zone's
/// instance sent the request to the upstream and counts it.
pub fn pay_for_retries(entry: &Entry, target: &Target, place: &Place, status: StatusCode) {
    if matches!(place, Place::Upstream(_)) && !status.is_server_error() {
        entry.with_budget(target, |budget| budget.deposit());
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

/// Ends a request with a refusal, at once.
pub fn refuse(entry: &Entry, id: &RequestId, refusal: &Refusal) -> Answer {
    entry.end(id, refusal.outcome, refusal.reason.title());
    body::refusal(&Problem::from_refusal(refusal).of(id))
}

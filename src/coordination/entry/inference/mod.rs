//! The lifecycle of an inference request, from its admission to its recorded end.
//!
//! * `job`: the request, and the values derived from its parameters.
//! * `choice`: the choice of a destination for an attempt, and the sending of the request.
//! * `delivery`: the delivery of the answer to the caller.

mod choice;
mod delivery;
mod job;

use std::{rc::Rc, time::Duration};

use medlarlug_core::{
    ids::RequestId,
    record::Stage,
    refusal::Refusal,
    retry::{Attempts, Decision},
    routing::Choice,
};

pub use self::{
    choice::send,
    delivery::{build_answer, credit_retry_budget, is_not_started},
    job::{
        DEFAULT_COST_TOKENS, DEFAULT_DEADLINE, Job, JobOrigin, call_of, cost_of, head_timeout,
        prefixes_of,
    },
};
pub use crate::coordination::entry::exchange::Destination;
use crate::{
    coordination::entry::{
        Entry,
        admission::{self, Slot},
        exchange::FailedAttempt,
    },
    protocol::Problem,
    transport::body::{self, Answer},
};

/// Minimum duration of an attempt; no retry begins with less time before the deadline.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// Serves a request to its end, which is recorded before or while the answer is delivered.
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
        Attempts::new(job.call.key.is_none(), is_forwarded, deadline, MIN_ATTEMPT_TIME);
    loop {
        let failed = match attempt(&entry, &job, &mut slot).await {
            Ok(answer) => return answer,
            Err(AttemptError::Refused(refusal)) => {
                return refuse(&entry, &id, &attempts.final_refusal(refusal));
            }
            Err(AttemptError::Failed(failed)) => failed,
        };
        tracing::info!(request = %id, reason = %failed.reason, "attempt failed");
        let decision = entry.with_retry_budget(&target, |budget| {
            let now = entry.node.now();
            attempts.decide(now, failed.failure, budget, &mut entry.retry_jitter.borrow_mut())
        });
        exclude(&mut job, &failed);
        match decision {
            Decision::GiveUp(refusal) => return refuse(&entry, &id, &refusal),
            Decision::RetryInZone | Decision::RetryInOtherZone => {
                entry.record_stage(&id, Stage::Retried { reason: failed.reason });
            }
        }
    }
}

/// Waits until the request may start. Returns `None` if the request is to be forwarded to another
/// zone, which admits it there.
///
/// # Errors
///
/// Fails with a refusal if the content is quarantined or the admission queue refuses the request.
pub async fn admit(entry: &Rc<Entry>, job: &mut Job) -> Result<Option<Slot>, Refusal> {
    entry.check_quarantine(&job.call)?;
    let target = job.facts().target.clone();
    let capacity = admission::capacity(entry, &target);
    let is_forwarded = capacity == 0
        || (entry.admission.is_full(&target, capacity)
            && matches!(choice::choose(entry, job), Ok(Choice::Forward(_))));
    if is_forwarded {
        return Ok(None);
    }
    let arrived_at = entry.node.now();
    entry.admission.set_capacity(arrived_at, &target, capacity);
    let candidate = admission::candidate(arrived_at, job.facts(), job.cost);
    let slot = admission::wait_for_slot(entry, candidate).await?;
    job.deduct_wait(entry.node.now() - arrived_at);
    Ok(Some(slot))
}

/// Why an attempt ended without an answer.
pub enum AttemptError {
    /// The request was not sent: no destination can serve it, or none is permitted to.
    Refused(Refusal),
    /// A destination was chosen, and the attempt there failed.
    Failed(FailedAttempt),
}

/// Excludes the destination of a failed attempt from the next attempts of the request.
pub fn exclude(job: &mut Job, failed: &FailedAttempt) {
    match (&failed.destination, &mut job.origin) {
        (Destination::Upstream(upstream), _) => job.exclude(&upstream.clone()),
        (Destination::Zone(zone), JobOrigin::Caller(origin)) => origin.exclude_zone(zone.clone()),
        (Destination::Zone(_), JobOrigin::Zone(_)) => {}
    }
}

/// Makes one attempt; a streamed answer takes `slot` and holds it until its end.
async fn attempt(
    entry: &Rc<Entry>,
    job: &Job,
    slot: &mut Option<Slot>,
) -> Result<Answer, AttemptError> {
    let exchange = send(entry, job).await?;
    let status = exchange.answer.status();
    if job.call.stream && status.is_success() {
        return delivery::deliver_stream(entry, job, exchange, slot).await;
    }
    delivery::deliver_complete(entry, job, exchange).await
}

/// Ends a request with a refusal, and returns the answer for the caller.
pub fn refuse(entry: &Entry, id: &RequestId, refusal: &Refusal) -> Answer {
    entry.end_request(id, refusal.outcome, refusal.reason.title());
    body::problem_answer(&Problem::from_refusal(refusal).for_request(id))
}

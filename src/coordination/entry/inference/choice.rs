//! The choice of an upstream or a zone for one attempt, and the sending of the request.
//!
//! Upstreams that run a suspect, that are in cooldown, or at which an attempt has failed are left out
//! as long as others serve the request. If all that serve it are in cooldown, this instance may be cut
//! off from them: the request is forwarded to another instance of the zone.

use std::time::Duration;

use medlarlug_core::{
    ids::{InstanceId, UpstreamId},
    refusal::Reason,
    routing::{self, CallerRequest, Choice, View, ZoneRoute},
};
use tokio::time::sleep;

use super::{AttemptError, Job, JobOrigin};
use crate::coordination::entry::{
    Entry,
    exchange::{self, Exchange},
};

/// Chooses a destination for the request.
pub(super) fn choose(entry: &Entry, job: &Job) -> Result<Choice, AttemptError> {
    let Some(configuration) = entry.configuration() else {
        let refusal = entry.refusal(Reason::NoConfiguration, Duration::from_secs(1));
        return Err(AttemptError::Refused(refusal));
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

/// Chooses a destination for the request that is none of the `denied` upstreams.
///
/// An upstream that is in cooldown, or at which an attempt has failed, is used if no other is left:
/// often only the connection has failed, not the upstream.
fn choose_among(entry: &Entry, job: &Job, denied: &[UpstreamId]) -> Result<Choice, AttemptError> {
    let mut candidate = Job { origin: job.origin.clone(), call: job.call.clone(), cost: 0 };
    let cooling = entry.cooldowns.ids(entry.node.now());
    denied.iter().chain(&cooling).for_each(|it| candidate.exclude(it));
    let choice = choose(entry, &candidate);
    if !denied.is_empty() || matches!(choice, Ok(Choice::Serve(_))) {
        return choice;
    }
    if !cooling.is_empty()
        && let Some(route) = choose_in_zone(entry, job)
    {
        return Ok(Choice::Forward(route));
    }
    if !is_without_upstream(&choice) {
        return choice;
    }
    candidate.clear_excluded();
    choose(entry, &candidate)
}

/// Chooses another instance of the own zone; `None` if there is none, or if the request has been
/// forwarded or refused there before.
fn choose_in_zone(entry: &Entry, job: &Job) -> Option<ZoneRoute> {
    let JobOrigin::Caller(origin) = &job.origin else { return None };
    let configuration = entry.configuration()?;
    let now = entry.node.now();
    let membership = &entry.node.members.borrow();
    let view = View { membership, configuration: &configuration, lease: entry.lease() };
    let unavailable = entry.unavailable_entries.ids(now);
    let own = &entry.node.own;
    let peers = entry.node.cluster.entries().filter(|it| {
        it.zone == own.zone && it.id != own.id && unavailable.binary_search(&it.id).is_err()
    });
    let peers: Vec<InstanceId> = peers.map(|it| it.id.clone()).collect();
    let route = entry.router.borrow_mut().decide_in_zone(now, view, origin, &peers).ok()?;
    tracing::info!(request = %origin.facts.id, instance = %route.entry, "no upstream of the zone can be connected to; forwarding to another instance");
    Some(route)
}

/// The request as another instance of the own zone may serve it: at upstreams to which this instance
/// can't connect.
fn without_cooldowns(entry: &Entry, origin: &CallerRequest) -> CallerRequest {
    let cooling = entry.cooldowns.ids(entry.node.now());
    let mut origin = origin.clone();
    origin.facts.excluded.retain(|it| cooling.binary_search(it).is_err());
    origin
}

fn is_without_upstream(choice: &Result<Choice, AttemptError>) -> bool {
    let is_without = |reason| matches!(reason, Reason::NoUpstream | Reason::ServedElsewhere);
    matches!(choice, Err(AttemptError::Refused(it)) if is_without(it.reason))
}

/// Chooses a destination for the request; waits until the deadline while the request is denied every
/// upstream because of suspects.
async fn choose_before_deadline(entry: &Entry, job: &Job) -> Result<Choice, AttemptError> {
    let end = entry.node.now() + job.facts().deadline;
    loop {
        entry.check_quarantine(&job.call).map_err(AttemptError::Refused)?;
        let denied = entry.denied_upstreams(&job.facts().target, &job.call);
        let choice = choose_among(entry, job, &denied);
        if denied.is_empty() || !is_without_upstream(&choice) {
            return choice;
        }
        if entry.node.now() >= end {
            return Err(AttemptError::Refused(
                entry.refusal(Reason::Overloaded, SUSPECT_POLL_INTERVAL),
            ));
        }
        sleep(SUSPECT_POLL_INTERVAL).await;
    }
}

/// Time between two checks for an upstream that the request is not denied because of suspects.
const SUSPECT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Chooses a destination for the request, checks residency at the time of sending, and sends the
/// request.
pub async fn send(entry: &Entry, job: &Job) -> Result<Exchange, AttemptError> {
    let choice = choose_before_deadline(entry, job).await?;
    authorize_and_send(entry, job, choice).await
}

/// Checks residency at the time of sending, and sends the request.
async fn authorize_and_send(
    entry: &Entry,
    job: &Job,
    choice: Choice,
) -> Result<Exchange, AttemptError> {
    let Some(configuration) = entry.configuration() else {
        let refusal = entry.refusal(Reason::NoConfiguration, Duration::from_secs(1));
        return Err(AttemptError::Refused(refusal));
    };
    let facts = job.facts();
    let not_permitted = |error: routing::ResidencyError| {
        tracing::warn!(request = %facts.id, %error, "residency");
        routing_refused(entry, &error.into())
    };
    let result = match (choice, &job.origin) {
        (Choice::Serve(route), origin) => {
            let authorized = match origin {
                JobOrigin::Caller(_) => route.authorize(&configuration, entry.lease(), facts),
                JobOrigin::Zone(forwarded) => route.authorize_forwarded(&configuration, forwarded),
            };
            let authorized = authorized.map_err(not_permitted)?;
            exchange::send_to_upstream(entry, authorized, facts, &job.call).await
        }
        (Choice::Forward(route), JobOrigin::Caller(origin)) => {
            let is_in_zone = route.zone == entry.node.own.zone;
            let origin = if is_in_zone { &without_cooldowns(entry, origin) } else { origin };
            let authorized =
                route.authorize(&configuration, entry.lease(), origin).map_err(not_permitted)?;
            exchange::forward_to_zone(entry, authorized, facts, &job.call).await
        }
        (Choice::Forward(_), JobOrigin::Zone(_)) => {
            return Err(AttemptError::Refused(entry.refusal(Reason::NoUpstream, Duration::ZERO)));
        }
    };
    result.map_err(AttemptError::Failed)
}

fn routing_refused(entry: &Entry, refusal: &routing::Refusal) -> AttemptError {
    tracing::info!(%refusal, "no route");
    let wait = refusal.retry_after().unwrap_or_default();
    AttemptError::Refused(entry.refusal(refusal.reason(), wait))
}

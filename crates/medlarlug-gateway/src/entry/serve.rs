//! Serves one call, from its route to its answer.

use std::{fmt, rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{Request, Response, StatusCode, body::Incoming, header};
use medlarlug::transport::{
    body::{self, Answer, BodyError},
    memory::ClientMemory,
};
use medlarlug_core::{
    gateway::{
        authentication::{self, Acceptance, AuthenticationError, Evidence, Forwarding, Identity},
        handover::{Attempts, Handover, HandoverReport},
        load_shedding::{self, CallForecast, Verdict},
        prefill_queue::PrefillDecision,
        retry_budget::{Balance, InstanceShare, Spending},
        stream_version::StreamVersion,
        table::{Route, RouteTable, ServiceName},
    },
    time::Time,
};
use rand::RngExt;
use tokio::{
    task,
    time::{sleep, timeout},
};

use super::{
    Entry,
    attempt::{self, NotRun, Outcome, Unknown},
    call::{Call, strip_connection},
    choice::{Hop, Tried},
    crashes::Quarantine,
    forwarded::{self, Reported},
    limited::PERMIT_POLL_INTERVAL,
    pace::ROOM_POLL_INTERVAL,
    plan::{MAX_ARRIVALS, Plan, RunningCall},
    quota::{Charge, QuotaRefusal},
    relay,
};
use crate::metrics as names;

/// Remaining time below which no request is sent any more.
pub(super) const MIN_REMAINING: Duration = Duration::from_millis(20);
/// Number of failed connections after which a call is given up.
const MAX_FAILED_CONNECTIONS: u32 = 4;
/// `Retry-After` while there is no table yet, or the table may be out of date: the time for an election,
/// and for the table to arrive.
const NO_TABLE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` while there is no memory for a body: the time in which a body that stalls is ended.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Mean time between two checks whether a long prompt is admitted to its engine: a few steps of an
/// engine. It is randomized so that instances do not check at the same moment.
pub(super) const ADMISSION_POLL_INTERVAL: Duration = Duration::from_millis(12);
/// Fraction of its time for which a call may wait for an instance that is starting.
const START_WAIT_FRACTION: f64 = 0.35;
/// Longest time for which a call may wait for an instance that is starting.
const MAX_START_WAIT: Duration = Duration::from_millis(1_500);
/// Time between two checks whether the instance has started.
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Deadline of a call if its caller sends none and the timeout of its route is not longer.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// How a call ended. The names are values of the label `outcome` of
/// [`crate::metrics::CALLS_ENDED`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// An upstream has answered it, possibly with an error of its own.
    Answered,
    /// Refused, and guaranteed not to have run.
    Refused,
    /// Failed in the gateway; it may have run.
    Failed,
    /// The time of the call was up.
    TimedOut,
    /// The stream was cut before its end.
    BrokenOff,
    /// The caller disconnected first.
    Left,
    /// The call matches no route, has no valid key or exceeds a size limit.
    Rejected,
}

impl fmt::Display for CallOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CallOutcome::Answered => "answered",
            CallOutcome::Refused => "refused",
            CallOutcome::Failed => "failed",
            CallOutcome::TimedOut => "timed_out",
            CallOutcome::BrokenOff => "broken_off",
            CallOutcome::Left => "left",
            CallOutcome::Rejected => "rejected",
        })
    }
}

impl Entry {
    /// Takes one retry of `call` from the retry budget of a service. Returns false if the budget is
    /// used up.
    pub(super) fn take_retry(&self, call: &Call, service: &ServiceName) -> bool {
        let bounds = self.settings.borrow().retries;
        let now = self.now();
        let share = self.share();
        let (is_taken, balance) = self.with_window(service, |window| {
            (window.try_take_retry(now, bounds, share), window.balance(bounds, share))
        });
        let name = if is_taken { names::RETRIES } else { names::RETRIES_DENIED };
        metrics::counter!(name).increment(1);
        let Balance { calls, retries, remaining } = balance;
        let (share, instances) = (share.allowance(bounds), share.instances);
        let up_ms = self.uptime().as_millis() as u64;
        tracing::info!(request = %call.id, %service, is_taken, calls, repeats = retries, left = remaining, share, instances, up_ms, "retry requested");
        is_taken
    }

    /// The `Retry-After` for a call that no upstream of the service accepts because they back off,
    /// have a rate limit or are brittle; `None` if none of these is the reason.
    fn upstream_retry_after(&self, plan: &Plan, left: Duration) -> Option<Duration> {
        let jitter = rand::rng().random();
        if let Some(wait) = self.expected_slot_wait(plan) {
            return Some(load_shedding::retry_after(wait, left, jitter));
        }
        let interval = self.permit_interval(&self.limited_upstreams(plan));
        match (self.backoff_remaining(&plan.service), interval) {
            (_, Some(interval)) => Some(load_shedding::retry_after(interval, left, jitter)),
            (Some(backoff), None) => Some(load_shedding::retry_after_backoff(backoff, jitter)),
            (None, None) => None,
        }
    }

    /// This instance's share of the retries that a service is allowed beyond the ratio to its
    /// calls.
    fn share(&self) -> InstanceShare {
        let is_first = self.settings.borrow().first_start;
        InstanceShare {
            instances: self.contacts.borrow().peak_entries(),
            process_age: (!is_first).then(|| self.uptime()),
            has_complete_view: self.view.borrow().was_complete(),
        }
    }

    fn count_call(&self, service: &ServiceName) {
        let bounds = self.settings.borrow().retries;
        let now = self.now();
        self.with_window(service, |window| window.record_call(now, bounds));
    }

    fn with_window<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut medlarlug_core::gateway::retry_budget::RetryWindow) -> T,
    ) -> T {
        let mut windows = self.retry_windows.borrow_mut();
        let at = match windows.binary_search_by(|it| it.0.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                windows.insert(at, (service.clone(), Default::default()));
                at
            }
        };
        act(&mut windows[at].1)
    }
}

/// Serves a call that came directly from a caller.
pub(super) async fn from_caller(entry: Rc<Entry>, request: Request<Incoming>) -> Answer {
    let is_draining = entry.is_draining.get();
    let mut answer = serve(&entry, request, None).await.for_caller();
    if is_draining || entry.is_draining.get() {
        let close = header::HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

/// Serves a call that another instance has forwarded.
pub(super) async fn forwarded(entry: Rc<Entry>, request: Request<Incoming>) -> Answer {
    let reported = match forwarded::handover(request.headers()) {
        Some(handover) => serve(&entry, request, Some(handover)).await,
        None => {
            tracing::warn!("refusing a forwarded call without a valid route");
            let call = Call::read(request.into_parts().0, &entry.names);
            refusal(&entry, &call, Some(NO_TABLE_RETRY_AFTER), HandoverReport::REFUSED)
        }
    };
    reported.for_instance()
}

async fn serve(
    entry: &Rc<Entry>,
    request: Request<Incoming>,
    forwarded: Option<Handover>,
) -> Reported {
    let began = entry.now();
    let memory = ClientMemory::of(&request);
    let (parts, incoming) = request.into_parts();
    let mut call = Call::read(parts, &entry.names);
    let is_forwarded = forwarded.is_some();
    wait_for_start(entry, &call, began, |entry| {
        entry.is_informed() && entry.may_rely_on_homes(&call)
    })
    .await;
    let mut plan = match plan_call(entry, &mut call, forwarded, began) {
        Ok(plan) => plan,
        Err(reported) => return *reported,
    };
    if entry.lacks_confirmation(&plan) {
        entry.record_unconfirmed(&call, &plan);
        plan.record_outcome(entry, &call, CallOutcome::Refused);
        return refusal(entry, &call, Some(NO_TABLE_RETRY_AFTER), HandoverReport::REFUSED);
    }
    call.demand.priority = plan.route.priority;
    let limit = plan.table.limits().body_bytes;
    let reading = timeout(plan.answer_by - entry.now(), memory.read_body(incoming, limit));
    match reading.await.unwrap_or(Err(BodyError::Stalled)) {
        Ok(bytes) => call.set_body(bytes),
        Err(error) => {
            plan.record_outcome(entry, &call, outcome_of(&error));
            return unread(entry, &call, &error);
        }
    }
    let charge = match charge(entry, &call, &plan).await {
        Ok(charge) => charge,
        Err(refusal) => return refuse_charge(entry, &call, &plan, refusal),
    };
    if !is_forwarded {
        entry.count_call(&plan.service);
    }
    wait_for_start(entry, &call, began, |entry| {
        entry.is_quarantined(&call)
            || plan.next_hop(entry, &call).is_some()
            || !entry.limited_upstreams(&plan).is_empty()
    })
    .await;
    let resumes = plan.last_event.is_some() || call.resumed_call.is_some();
    let is_unbound = plan.route.kind.is_stream() && plan.version == StreamVersion::Free;
    if resumes && is_unbound && !entry.resolve_stream_version(&call, &mut plan).await {
        let refused = Resolution::Refuse { retry_after: None };
        return finish(entry, call, plan, refused, &memory);
    }
    let settled = charge.map(Charge::settle);
    let result = run_attempts(entry, &call, &mut plan).await;
    if let (Some(settled), Resolution::Refuse { .. }) = (settled, &result) {
        settled.refund();
    }
    finish(entry, call, plan, result, &memory)
}

fn outcome_of(error: &BodyError) -> CallOutcome {
    match error {
        BodyError::TooLong { .. } => CallOutcome::Rejected,
        BodyError::Truncated => CallOutcome::Left,
        BodyError::Stalled => CallOutcome::TimedOut,
        BodyError::NoRoom => CallOutcome::Refused,
    }
}

/// The answer to a call whose body was not read to its end. It has not run.
fn unread(entry: &Entry, call: &Call, error: &BodyError) -> Reported {
    let mut reported = match error {
        BodyError::TooLong { .. } => {
            rejected(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")
        }
        BodyError::Truncated => rejected(StatusCode::BAD_REQUEST, "the body was cut"),
        BodyError::Stalled => {
            let answer = plain(StatusCode::REQUEST_TIMEOUT, "the body took too long; not run");
            Reported::new(answer, HandoverReport::REFUSED)
        }
        BodyError::NoRoom => {
            refusal(entry, call, Some(NO_ROOM_RETRY_AFTER), HandoverReport::REFUSED)
        }
    };
    body::close_connection(&mut reported.answer);
    reported
}

/// Charges a call to the quota of its team, unless the instance that forwarded it has done so.
async fn charge(
    entry: &Rc<Entry>,
    call: &Call,
    plan: &Plan,
) -> Result<Option<Charge>, QuotaRefusal> {
    match &plan.team {
        Some(accepted) if !accepted.is_charged => entry.charge(&accepted.team, call.tokens).await,
        _ => Ok(None),
    }
}

/// The answer to a call that can't be charged.
fn refuse_charge(entry: &Entry, call: &Call, plan: &Plan, refusal: QuotaRefusal) -> Reported {
    let (status, retry_after) = match refusal {
        QuotaRefusal::Exceeded { retry_after } => (StatusCode::TOO_MANY_REQUESTS, retry_after),
        QuotaRefusal::Unavailable { retry_after } => (StatusCode::SERVICE_UNAVAILABLE, retry_after),
    };
    let team = plan.team.as_ref().map(|it| it.team.name.as_str());
    let retry_ms = retry_after.as_millis() as u64;
    tracing::info!(request = %call.id, team, tokens = call.tokens, retry_ms, %refusal, "call not charged");
    plan.record_outcome(entry, call, CallOutcome::Refused);
    let mut reported = self::refusal(entry, call, Some(retry_after), HandoverReport::REFUSED);
    *reported.answer.status_mut() = status;
    reported
}

/// While the instance is starting, waits until `holds` returns true, for at most a fraction of the
/// time of the call. A caller that is refused would return soon, and has few attempts.
async fn wait_for_start(
    entry: &Rc<Entry>,
    call: &Call,
    began: Time,
    holds: impl Fn(&Rc<Entry>) -> bool,
) {
    let deadline = call.deadline.unwrap_or(DEFAULT_DEADLINE);
    let latest = began + deadline.mul_f64(START_WAIT_FRACTION).min(MAX_START_WAIT);
    while entry.is_starting() && entry.now() < latest && !holds(entry) {
        sleep(START_POLL_INTERVAL).await;
    }
}

/// Finds the route of a call and computes its deadlines; returns the answer if the call can't be
/// served.
pub(super) fn plan_call(
    entry: &Rc<Entry>,
    call: &mut Call,
    forwarded: Option<Handover>,
    began: Time,
) -> Result<Plan, Box<Reported>> {
    let table = entry.table.borrow().clone();
    let Some(table) = table else {
        tracing::info!(request = %call.id, outcome = "refused", "no table yet");
        return Err(Box::new(refusal(
            entry,
            call,
            Some(NO_TABLE_RETRY_AFTER),
            HandoverReport::REFUSED,
        )));
    };
    let is_forwarded = forwarded.is_some();
    let sent_version = forwarded.as_ref().map_or(table.version(), |it| it.version);
    let software = forwarded.as_ref().and_then(|it| it.software.clone());
    let forwarding =
        forwarded.as_ref().map(|it| Forwarding { version: it.version, team: it.team.clone() });
    let most_arrivals = forwarded.as_ref().map_or(MAX_ARRIVALS, |it| it.arrivals);
    let point = rand::rng().random();
    let (host, path) = (call.host.as_str(), call.path());
    let found = match forwarded {
        Some(handover) => handover.resolve(&table, host, path, point),
        None => table.route(host, path).map(|route| {
            let service = route.target_at(point).service.clone();
            (route.clone(), service)
        }),
    };
    let Some((route, service)) = found else {
        let newest = entry.head.borrow().version;
        if newest > table.version() {
            tracing::info!(request = %call.id, host, path, table = table.version().0, newest = newest.0, outcome = "refused", "no route, but a newer table is on its way");
            let retry_after = Some(NO_TABLE_RETRY_AFTER);
            return Err(Box::new(refusal(entry, call, retry_after, HandoverReport::REFUSED)));
        }
        tracing::info!(request = %call.id, host, path, table = table.version().0, outcome = "rejected", "no route");
        return Err(Box::new(rejected(StatusCode::NOT_FOUND, "no route")));
    };
    let Acceptance { identity, route } = accept_call(entry, call, &table, route, forwarding)?;
    call.set_identity(&identity, &entry.names);
    let team = match identity {
        Identity::Team(team) => Some(Rc::new(team)),
        Identity::Anonymous | Identity::Unchecked => None,
    };
    let deadline = call.deadline.unwrap_or(DEFAULT_DEADLINE.max(route.timeout));
    let limit = deadline.min(route.timeout);
    let last = call.headers.get(&entry.names.last_event).and_then(|it| it.to_str().ok());
    Ok(Plan {
        homes_version: table.version().max(sent_version),
        is_barred: false,
        table,
        service,
        began,
        answer_by: began + limit,
        deadline: began + deadline,
        is_forwarded,
        may_forward: !is_forwarded,
        is_trial: false,
        last_event: last.and_then(|last| last.trim().parse().ok()),
        has_event: false,
        version: software.map_or(StreamVersion::Free, StreamVersion::Bound),
        tried: Tried::default(),
        attempts: Attempts::new(route.attempts, most_arrivals.min(MAX_ARRIVALS)),
        spending: Spending::default(),
        unreachable: 0,
        failed_connections: 0,
        path: Vec::new(),
        admission_wait: None,
        room_wait_since: None,
        has_requested_permits: false,
        permit_wait: None,
        slot_wait: None,
        team,
        room_wait: None,
        route,
        _running: RunningCall::begin(entry),
    })
}

/// Decides which team a call is served for; returns the answer if it can't be served.
fn accept_call(
    entry: &Entry,
    call: &Call,
    table: &RouteTable,
    route: Route,
    forwarding: Option<Forwarding>,
) -> Result<Acceptance, Box<Reported>> {
    let region = entry.settings.borrow().info.region.clone();
    let is_current = entry.has_newest_table();
    let evidence = Evidence { key: call.key, forwarding, is_current, region: &region };
    authentication::authenticate(table, route, evidence).map_err(|error| {
        let version = table.version().0;
        let reason = <&'static str>::from(error);
        metrics::counter!(names::UNACCEPTED_CALLS, "reason" => reason).increment(1);
        tracing::info!(request = %call.id, table = version, is_current, %error, "call not accepted");
        Box::new(match error {
            AuthenticationError::MissingKey | AuthenticationError::UnknownKey => {
                unauthorized(entry, call)
            }
            AuthenticationError::Undecided | AuthenticationError::ForeignRegion => {
                refusal(entry, call, Some(NO_TABLE_RETRY_AFTER), HandoverReport::REFUSED)
            }
            AuthenticationError::NoCommonHome => {
                let text = "not run; no region may serve this team on this route";
                let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, text);
                echo_id(entry, call, &mut answer);
                Reported::new(answer, HandoverReport::REFUSED)
            }
        })
    })
}

/// The final result of a call.
enum Resolution {
    Answer(Response<Bytes>),
    Stream(Box<attempt::EventStream>),
    /// `None` if the caller can't be served later either.
    Refuse {
        retry_after: Option<Duration>,
    },
    Fail {
        status: StatusCode,
        why: Unknown,
    },
}

/// Decides whether a call is worth sending to a hop.
pub(super) fn forecast(
    entry: &Entry,
    plan: &Plan,
    hop: Option<&Hop>,
    left: Duration,
    jitter: f64,
) -> Verdict {
    let objective = plan.is_on_engines().then_some(plan.route.objective);
    let predicted_wait = hop.map(|hop| entry.predicted_wait(hop));
    let forecast = CallForecast { predicted_wait, time_left: left, objective };
    match entry.standing(plan) {
        Some(standing) => load_shedding::decide_fairly(forecast, standing, jitter),
        None => load_shedding::decide(forecast, jitter),
    }
}

/// `Retry-After` of a refusal, unless an upstream or another instance has named one.
pub(super) fn own_retry_after(
    entry: &Entry,
    plan: &Plan,
    hop: Option<&Hop>,
    verdict: Verdict,
    left: Duration,
) -> Duration {
    match verdict {
        Verdict::Refuse { retry_after } => match hop {
            None => entry.upstream_retry_after(plan, left).unwrap_or(retry_after),
            Some(_) => retry_after,
        },
        Verdict::Serve => load_shedding::retry_after(Duration::ZERO, left, rand::rng().random()),
    }
}

/// Tries hops until the call is answered, or no further attempt is allowed.
async fn run_attempts(entry: &Rc<Entry>, call: &Call, plan: &mut Plan) -> Resolution {
    let mut answer: Option<Response<Bytes>> = None;
    let mut unknown: Option<Unknown> = None;
    let mut retry_after: Option<Duration> = None;
    entry.record_demand(plan);
    loop {
        let now = entry.now();
        let left = plan.answer_by - now;
        plan.obey_newest_homes(entry, call);
        let is_unconfirmed = entry.lacks_confirmation(plan);
        let quarantine = entry.quarantine(call, plan);
        let hop = match plan.unreachable < MAX_FAILED_CONNECTIONS && left > MIN_REMAINING {
            true => plan.next_hop(entry, call),
            false => None,
        };
        let may_take_slot = !entry.must_queue(plan);
        let hop = hop.filter(|hop| may_take_slot || matches!(hop, Hop::Peer { .. }));
        if quarantine.is_none()
            && !is_unconfirmed
            && left > MIN_REMAINING
            && plan.unreachable < MAX_FAILED_CONNECTIONS
            && plan.waits_for_slot(entry, hop.as_ref())
        {
            sleep(plan.slot_poll_interval()).await;
            continue;
        }
        if quarantine.is_none()
            && !is_unconfirmed
            && left > MIN_REMAINING
            && plan.unreachable < MAX_FAILED_CONNECTIONS
            && plan.waits_for_permit(entry, hop.as_ref())
        {
            sleep(PERMIT_POLL_INTERVAL).await;
            continue;
        }
        if quarantine.is_none()
            && !is_unconfirmed
            && left > MIN_REMAINING
            && plan.unreachable < MAX_FAILED_CONNECTIONS
            && plan.waits_for_room(entry, hop.as_ref())
        {
            sleep(ROOM_POLL_INTERVAL).await;
            continue;
        }
        let wait = hop.as_ref().map(|hop| entry.predicted_wait(hop));
        let mut verdict = forecast(entry, plan, hop.as_ref(), left, rand::rng().random());
        if verdict == Verdict::Serve {
            match plan.admission(entry, call, hop.as_ref()) {
                PrefillDecision::Send => {}
                PrefillDecision::Wait => {
                    sleep(ADMISSION_POLL_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.5)))
                        .await;
                    continue;
                }
                PrefillDecision::Refuse => {
                    let retry_after = load_shedding::retry_after(
                        plan.route.objective,
                        left,
                        rand::rng().random(),
                    );
                    verdict = Verdict::Refuse { retry_after };
                }
            }
        }
        let hop = match (hop, verdict) {
            (Some(hop), Verdict::Serve) if plan.may_send(entry, call) => hop,
            (hop, verdict) => {
                if let Some(answer) = answer {
                    return Resolution::Answer(answer);
                }
                if let Some(why) = unknown {
                    let status = match why {
                        Unknown::TimedOut => StatusCode::GATEWAY_TIMEOUT,
                        Unknown::ConnectionLost | Unknown::ForeignAnswer => StatusCode::BAD_GATEWAY,
                    };
                    return Resolution::Fail { status, why };
                }
                if let Some(Quarantine { content, retry_after }) = quarantine {
                    let for_s = retry_after.as_secs();
                    metrics::counter!(names::QUARANTINED_CALLS).increment(1);
                    tracing::info!(request = %call.id, %content, for_s, "refusing quarantined content");
                    return Resolution::Refuse { retry_after: Some(retry_after) };
                }
                if is_unconfirmed {
                    entry.record_unconfirmed(call, plan);
                    return Resolution::Refuse { retry_after: Some(NO_TABLE_RETRY_AFTER) };
                }
                let own = own_retry_after(entry, plan, hop.as_ref(), verdict, left);
                tracing::info!(
                    request = %call.id,
                    service = %plan.service,
                    wait_ms = wait.map(|wait| wait.as_millis() as u64),
                    left_ms = left.as_millis() as u64,
                    has_hop = hop.is_some(),
                    is_forwarded = plan.is_forwarded,
                    lacks_path = entry.lacks_path(&plan.service),
                    tried = %plan.path.join(","),
                    "refusing"
                );
                let is_gone = entry.has_version_gone(plan);
                let retry_after = retry_after.or(Some(own).filter(|_| !is_gone));
                return Resolution::Refuse { retry_after };
            }
        };
        match plan.attempt(entry, call, &hop).await {
            Outcome::Answer(found) => {
                let is_failure = found.status().is_server_error();
                if !is_failure || !plan.route.kind.is_retryable() {
                    return Resolution::Answer(found);
                }
                tracing::debug!(request = %call.id, status = found.status().as_u16(), "upstream failed");
                answer = Some(found);
            }
            Outcome::Stream(stream) => return Resolution::Stream(stream),
            Outcome::NotRun(NotRun::Refused { retry_after: named, .. }) => {
                retry_after = named.or(retry_after)
            }
            Outcome::NotRun(
                NotRun::Misdirected | NotRun::Unreachable | NotRun::Withdrawn | NotRun::NoPath,
            ) => {}
            Outcome::Unknown(why) => {
                unknown = Some(why);
                if !plan.route.kind.is_retryable() {
                    let status = match why {
                        Unknown::TimedOut => StatusCode::GATEWAY_TIMEOUT,
                        Unknown::ConnectionLost | Unknown::ForeignAnswer => StatusCode::BAD_GATEWAY,
                    };
                    return Resolution::Fail { status, why };
                }
            }
        }
    }
}

/// Converts the final result into the answer.
fn finish(
    entry: &Rc<Entry>,
    mut call: Call,
    plan: Plan,
    last: Resolution,
    memory: &ClientMemory,
) -> Reported {
    let report = plan.attempts.report(false);
    metrics::histogram!(names::HEAD_SECONDS).record((entry.now() - plan.began).as_secs_f64());
    match last {
        Resolution::Answer(found) => {
            plan.record_outcome(entry, &call, CallOutcome::Answered);
            let (mut parts, bytes) = found.into_parts();
            // No attempt follows.
            call.body = Bytes::new();
            let bytes = memory.answer().charge(bytes);
            strip_connection(&mut parts.headers);
            parts.headers.remove(header::CONTENT_LENGTH);
            Reported::new(Response::from_parts(parts, body::full(bytes)), report)
        }
        Resolution::Stream(stream) => {
            let (sender, content) = body::channel();
            let mut answer = Response::new(content);
            *answer.status_mut() = stream.status;
            let mut headers = stream.headers.clone();
            strip_connection(&mut headers);
            headers.remove(header::CONTENT_LENGTH);
            *answer.headers_mut() = headers;
            let software = stream.software().cloned();
            if !plan.can_repeat() {
                call.body = Bytes::new();
            }
            let caller = relay::Caller { parts: sender, memory: memory.answer() };
            task::spawn_local(relay::run(entry.clone(), call, plan, stream, caller));
            Reported { answer, report, software }
        }
        Resolution::Refuse { retry_after } => {
            plan.record_outcome(entry, &call, CallOutcome::Refused);
            let lacks_path = entry.lacks_path(&plan.service);
            let report = HandoverReport { lacks_path, ..plan.attempts.report(true) };
            refusal(entry, &call, retry_after, report)
        }
        Resolution::Fail { status, why } => {
            let ended = match why {
                Unknown::TimedOut => CallOutcome::TimedOut,
                Unknown::ConnectionLost | Unknown::ForeignAnswer => CallOutcome::Failed,
            };
            plan.record_outcome(entry, &call, ended);
            let mut answer = plain(status, "the upstream's answer was lost; the call may have run");
            echo_id(entry, &call, &mut answer);
            Reported::new(answer, report)
        }
    }
}

/// The answer to a call that was not run. The caller may retry it after `retry_after`; `None` if that is
/// of no use.
fn refusal(
    entry: &Entry,
    call: &Call,
    retry_after: Option<Duration>,
    report: HandoverReport,
) -> Reported {
    let text = match retry_after {
        Some(_) => "not run; come back later",
        None => "not run; nothing can go on with this stream",
    };
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, text);
    if let Some(retry_after) = retry_after {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        body::insert(answer.headers_mut(), header::RETRY_AFTER.as_str(), &seconds);
    }
    echo_id(entry, call, &mut answer);
    Reported::new(answer, report)
}

/// The answer to a call without a valid key.
fn unauthorized(entry: &Entry, call: &Call) -> Reported {
    let mut reported = rejected(StatusCode::UNAUTHORIZED, "no valid key; not run");
    let scheme = header::HeaderValue::from_static("Bearer");
    reported.answer.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    echo_id(entry, call, &mut reported.answer);
    reported
}

/// The answer to a call that matches no route or exceeds a size limit.
fn rejected(status: StatusCode, text: &'static str) -> Reported {
    Reported::new(plain(status, text), HandoverReport::REJECTED)
}

fn echo_id(entry: &Entry, call: &Call, answer: &mut Answer) {
    if let Ok(id) = header::HeaderValue::from_str(&call.id) {
        answer.headers_mut().insert(entry.names.call_id.clone(), id);
    }
}

fn plain(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = body::text(text.into());
    *answer.status_mut() = status;
    answer
}

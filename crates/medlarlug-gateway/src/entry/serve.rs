//! Serving one call, from its route to its last answer.

use std::{fmt, rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{Request, Response, StatusCode, body::Incoming, header};
use medlarlug::transport::body::{self, Answer, BodyError};
use medlarlug_core::{
    gateway::{
        handover::{Attempts, Handover, Report},
        load_shedding::{self, Outlook, Verdict},
        prefill_queue::Turn,
        retry_budget::{Balance, Share, Spending},
        table::ServiceName,
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
    forwarded::{self, Reported},
    limited::PERMIT_PAUSE,
    plan::{MAX_ARRIVALS, Plan, Running},
    relay,
};
use crate::metrics as names;

/// Time left below which nothing is sent any more.
const MIN_LEFT: Duration = Duration::from_millis(20);
/// Connections that may fail before a call is given up.
const MAX_UNREACHABLE: u32 = 4;
/// Time to come back when there is no table yet: an election and the way of the table.
const NO_TABLE_AFTER: Duration = Duration::from_secs(1);
/// Mean pause between two looks at whether it is a call's turn: a few steps of an engine. It varies
/// so that not all instances look at the same moment.
const TURN_PAUSE: Duration = Duration::from_millis(12);
/// Part of its time that a call may wait for an instance that is starting.
const START_SHARE: f64 = 0.35;
/// Longest time that a call may wait for an instance that is starting.
const START_WAIT: Duration = Duration::from_millis(1_500);
/// Pause between two looks at whether the instance has started.
const START_PAUSE: Duration = Duration::from_millis(20);
/// Time that a call has if neither its caller nor its route sets one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// With an answer of an upstream.
    Answered,
    /// Refused; it was not run.
    Refused,
    /// With a failure of the gateway; it may have run.
    Failed,
    /// Its time was up.
    TimedOut,
    /// Its stream was cut.
    BrokenOff,
    /// Its caller left first.
    Left,
    /// It fits no route or breaks a limit.
    Rejected,
}

impl fmt::Display for Ended {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ended::Answered => "answered",
            Ended::Refused => "refused",
            Ended::Failed => "failed",
            Ended::TimedOut => "timed_out",
            Ended::BrokenOff => "broken_off",
            Ended::Left => "left",
            Ended::Rejected => "rejected",
        })
    }
}

impl Entry {
    /// Takes one repeat of `call` out of the budget of a service.
    pub(super) fn take_repeat(&self, call: &Call, service: &ServiceName) -> bool {
        let bounds = self.settings.borrow().retries;
        let now = self.now();
        let share = self.share();
        let (is_taken, balance) = self.with_window(service, |window| {
            (window.take(now, bounds, share), window.balance(bounds, share))
        });
        let name = if is_taken { names::REPEATS } else { names::REPEATS_DENIED };
        metrics::counter!(name).increment(1);
        let Balance { calls, repeats, left } = balance;
        let (share, instances) = (share.of(bounds), share.instances);
        let up_ms = self.uptime().as_millis() as u64;
        tracing::info!(request = %call.id, %service, is_taken, calls, repeats, left, share, instances, up_ms, "repeat asked for");
        is_taken
    }

    /// When to come back if what keeps upstreams of a service from taking a call is a rest or a limit of
    /// their own.
    fn time_back(&self, plan: &Plan, left: Duration) -> Option<Duration> {
        let spread = rand::rng().random();
        let interval = self.permit_interval(&self.limited_upstreams(plan));
        match (self.rest_left(&plan.service), interval) {
            (_, Some(interval)) => Some(load_shedding::after(interval, left, spread)),
            (Some(rest), None) => Some(load_shedding::after_rest(rest, spread)),
            (None, None) => None,
        }
    }

    /// This instance's part of what services bear beyond the ratio of repeats.
    fn share(&self) -> Share {
        let is_first = self.settings.borrow().first_start;
        Share {
            instances: self.contacts.borrow().most_entries(),
            age: (!is_first).then(|| self.uptime()),
            has_seen_all: self.view.borrow().was_complete(),
        }
    }

    fn count_call(&self, service: &ServiceName) {
        let bounds = self.settings.borrow().retries;
        let now = self.now();
        self.with_window(service, |window| window.count(now, bounds));
    }

    fn with_window<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut medlarlug_core::gateway::retry_budget::RetryWindow) -> T,
    ) -> T {
        let mut windows = self.windows.borrow_mut();
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

/// Serves a call that came from a caller.
pub(super) async fn from_caller(entry: Rc<Entry>, request: Request<Incoming>) -> Answer {
    let is_draining = entry.is_draining.get();
    let mut answer = serve(&entry, request, None).await.for_caller();
    if is_draining || entry.is_draining.get() {
        let close = header::HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

/// Serves a call that another instance handed over.
pub(super) async fn forwarded(entry: Rc<Entry>, request: Request<Incoming>) -> Answer {
    let reported = match forwarded::handover(request.headers()) {
        Some(handover) => serve(&entry, request, Some(handover)).await,
        None => {
            tracing::warn!("a call from another instance without a readable route, refused");
            let call = Call::read(request.into_parts().0, &entry.names);
            refusal(&entry, &call, NO_TABLE_AFTER, Report::REFUSED)
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
    let (parts, incoming) = request.into_parts();
    let mut call = Call::read(parts, &entry.names);
    let is_forwarded = forwarded.is_some();
    wait_for_start(entry, &call, began, |entry| entry.is_informed()).await;
    let mut plan = match plan(entry, &call, forwarded, began) {
        Ok(plan) => plan,
        Err(reported) => return *reported,
    };
    call.demand.rank = plan.route.priority;
    let limit = plan.table.limits().body_bytes;
    match timeout(plan.end - entry.now(), body::read(incoming, limit)).await {
        Ok(Ok(bytes)) => call.take_body(bytes),
        Err(_) => {
            plan.end(entry, &call, Ended::TimedOut);
            let answer = plain(StatusCode::REQUEST_TIMEOUT, "the body took too long; not run");
            return Reported { answer, report: Report::REFUSED };
        }
        Ok(Err(BodyError::TooLong { .. })) => {
            plan.end(entry, &call, Ended::Rejected);
            return rejected(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
        }
        Ok(Err(BodyError::Cut)) => {
            plan.end(entry, &call, Ended::Left);
            return rejected(StatusCode::BAD_REQUEST, "the body was cut");
        }
    }
    if !is_forwarded {
        entry.count_call(&plan.service);
    }
    wait_for_start(entry, &call, began, |entry| {
        entry.is_quarantined(call.content)
            || plan.next_hop(entry, &call).is_some()
            || !entry.limited_upstreams(&plan).is_empty()
    })
    .await;
    let result = attempts(entry, &call, &mut plan).await;
    finish(entry, call, plan, result)
}

/// While the instance starts, waits for `holds` for a part of the time that the call has: a caller
/// that is sent away would soon be back, and has few tries.
async fn wait_for_start(
    entry: &Rc<Entry>,
    call: &Call,
    began: Time,
    holds: impl Fn(&Rc<Entry>) -> bool,
) {
    let deadline = call.deadline.unwrap_or(DEFAULT_DEADLINE);
    let latest = began + deadline.mul_f64(START_SHARE).min(START_WAIT);
    while entry.is_starting() && entry.now() < latest && !holds(entry) {
        sleep(START_PAUSE).await;
    }
}

/// The route of a call and its times.
fn plan(
    entry: &Rc<Entry>,
    call: &Call,
    forwarded: Option<Handover>,
    began: Time,
) -> Result<Plan, Box<Reported>> {
    let table = entry.table.borrow().clone();
    let Some(table) = table else {
        tracing::info!(request = %call.id, outcome = "refused", "no table yet");
        return Err(Box::new(refusal(entry, call, NO_TABLE_AFTER, Report::REFUSED)));
    };
    let is_forwarded = forwarded.is_some();
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
        tracing::info!(request = %call.id, host, path, table = table.version().0, outcome = "rejected", "no route");
        return Err(Box::new(rejected(StatusCode::NOT_FOUND, "no route")));
    };
    let deadline = call.deadline.unwrap_or(DEFAULT_DEADLINE.max(route.timeout));
    let limit = deadline.min(route.timeout);
    let last = call.headers.get(&entry.names.last_event).and_then(|it| it.to_str().ok());
    Ok(Plan {
        table,
        service,
        began,
        end: began + limit,
        deadline: began + deadline,
        may_leave: !is_forwarded,
        is_trial: false,
        last_event: last.and_then(|last| last.trim().parse().ok()),
        tried: Tried::default(),
        attempts: Attempts::new(route.attempts, most_arrivals.min(MAX_ARRIVALS)),
        spending: Spending::default(),
        unreachable: 0,
        path: Vec::new(),
        waiting: None,
        has_asked: false,
        permit: None,
        route,
        _running: Running::begin(entry),
    })
}

/// The last outcome of a call.
enum Last {
    Answer(Response<Bytes>),
    Stream(Box<attempt::EventStream>),
    Refuse { after: Duration },
    Fail { status: StatusCode, why: Unknown },
}

/// Tries hops until the call is answered, or nothing more may be tried.
async fn attempts(entry: &Rc<Entry>, call: &Call, plan: &mut Plan) -> Last {
    let mut answer: Option<Response<Bytes>> = None;
    let mut unknown: Option<Unknown> = None;
    let mut after: Option<Duration> = None;
    loop {
        let now = entry.now();
        let left = plan.end - now;
        let quarantine = entry.quarantine(call, plan);
        let hop = match plan.unreachable < MAX_UNREACHABLE && left > MIN_LEFT {
            true => plan.next_hop(entry, call),
            false => None,
        };
        if quarantine.is_none()
            && left > MIN_LEFT
            && plan.unreachable < MAX_UNREACHABLE
            && plan.waits_for_permit(entry, hop.as_ref())
        {
            sleep(PERMIT_PAUSE).await;
            continue;
        }
        let wait = hop.as_ref().map(Hop::wait);
        let objective = plan.is_on_engines().then_some(plan.route.objective);
        let mut verdict =
            load_shedding::judge(Outlook { wait, left, objective }, rand::rng().random());
        if verdict == Verdict::Serve {
            match plan.turn(entry, hop.as_ref()) {
                Turn::Go => {}
                Turn::Wait => {
                    sleep(TURN_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5))).await;
                    continue;
                }
                Turn::Refuse => {
                    let after =
                        load_shedding::after(plan.route.objective, left, rand::rng().random());
                    verdict = Verdict::Refuse { after };
                }
            }
        }
        let hop = match (hop, verdict) {
            (Some(hop), Verdict::Serve) if plan.may_repeat(entry, call) => hop,
            (hop, verdict) => {
                if let Some(answer) = answer {
                    return Last::Answer(answer);
                }
                if let Some(why) = unknown {
                    let status = match why {
                        Unknown::Silent => StatusCode::GATEWAY_TIMEOUT,
                        Unknown::Lost | Unknown::Foreign => StatusCode::BAD_GATEWAY,
                    };
                    return Last::Fail { status, why };
                }
                if let Some(after) = quarantine {
                    let (content, for_s) = (call.content, after.as_secs());
                    metrics::counter!(names::QUARANTINED).increment(1);
                    tracing::info!(request = %call.id, %content, for_s, "refusing quarantined content");
                    return Last::Refuse { after };
                }
                let own = match verdict {
                    Verdict::Refuse { after } => match hop {
                        None => entry.time_back(plan, left).unwrap_or(after),
                        Some(_) => after,
                    },
                    Verdict::Serve => {
                        load_shedding::after(Duration::ZERO, left, rand::rng().random())
                    }
                };
                tracing::info!(
                    request = %call.id,
                    service = %plan.service,
                    wait_ms = wait.map(|wait| wait.as_millis() as u64),
                    left_ms = left.as_millis() as u64,
                    has_hop = hop.is_some(),
                    tried = %plan.path.join(","),
                    "refusing"
                );
                return Last::Refuse { after: after.unwrap_or(own) };
            }
        };
        match plan.attempt(entry, call, &hop).await {
            Outcome::Answer(found) => {
                let is_failure = found.status().is_server_error();
                if !is_failure || !plan.route.kind.is_repeatable() {
                    return Last::Answer(found);
                }
                tracing::debug!(request = %call.id, status = found.status().as_u16(), "upstream failed");
                answer = Some(found);
            }
            Outcome::Stream(stream) => return Last::Stream(stream),
            Outcome::NotRun(NotRun::Refused { after: told, .. }) => after = told.or(after),
            Outcome::NotRun(NotRun::Misdirected | NotRun::Unreachable | NotRun::Withdrawn) => {}
            Outcome::Unknown(why) => {
                unknown = Some(why);
                if !plan.route.kind.is_repeatable() {
                    let status = match why {
                        Unknown::Silent => StatusCode::GATEWAY_TIMEOUT,
                        Unknown::Lost | Unknown::Foreign => StatusCode::BAD_GATEWAY,
                    };
                    return Last::Fail { status, why };
                }
            }
        }
    }
}

/// Turns the last outcome into the answer.
fn finish(entry: &Rc<Entry>, call: Call, plan: Plan, last: Last) -> Reported {
    let report = plan.attempts.report(false);
    metrics::histogram!(names::HEAD_TIME).record((entry.now() - plan.began).as_secs_f64());
    match last {
        Last::Answer(found) => {
            plan.end(entry, &call, Ended::Answered);
            let (mut parts, bytes) = found.into_parts();
            strip_connection(&mut parts.headers);
            parts.headers.remove(header::CONTENT_LENGTH);
            Reported { answer: Response::from_parts(parts, body::whole(bytes)), report }
        }
        Last::Stream(stream) => {
            let (sender, content) = body::streamed();
            let mut answer = Response::new(content);
            *answer.status_mut() = stream.status;
            let mut headers = stream.headers.clone();
            strip_connection(&mut headers);
            headers.remove(header::CONTENT_LENGTH);
            *answer.headers_mut() = headers;
            task::spawn_local(relay::run(entry.clone(), call, plan, stream, sender));
            Reported { answer, report }
        }
        Last::Refuse { after } => {
            plan.end(entry, &call, Ended::Refused);
            refusal(entry, &call, after, plan.attempts.report(true))
        }
        Last::Fail { status, why } => {
            let ended = match why {
                Unknown::Silent => Ended::TimedOut,
                Unknown::Lost | Unknown::Foreign => Ended::Failed,
            };
            plan.end(entry, &call, ended);
            let mut answer = plain(status, "the upstream's answer was lost; the call may have run");
            echo_id(entry, &call, &mut answer);
            Reported { answer, report }
        }
    }
}

/// Refuses a call as not run.
fn refusal(entry: &Entry, call: &Call, after: Duration, report: Report) -> Reported {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "not run; come back later");
    let seconds = format!("{:.3}", after.as_secs_f64());
    body::insert(answer.headers_mut(), header::RETRY_AFTER.as_str(), &seconds);
    echo_id(entry, call, &mut answer);
    Reported { answer, report }
}

/// Rejects a call that fits no route or breaks a limit.
fn rejected(status: StatusCode, text: &'static str) -> Reported {
    Reported { answer: plain(status, text), report: Report::REJECTED }
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

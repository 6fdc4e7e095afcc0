//! One attempt: a call sent to one hop, and what came of it.

use std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, Response, StatusCode, Uri, body::Incoming, header};
use medlarlug::{
    protocol::events::EventSplitter,
    transport::http_client::{CallError, CallLimits, Connection, Reuse},
};
use medlarlug_core::{
    gateway::{
        availability::Rest,
        handover::{Attempts, Report},
        health::CallEnd,
        placement::Choice,
        table::RouteKind,
        upstreams::Birth,
    },
    ids::{RegionId, UpstreamId},
    time::Time,
};
use rand::RngExt;
use tokio::time::timeout;

use super::{
    Entry,
    answers::Unread,
    call::Call,
    choice::Hop,
    crashes::{Flight, RequestEnd},
    forwarded,
};
use crate::{link::Message, metrics as names};

/// Time for a connection to an upstream to open: a lost packet is repeated on a new one sooner
/// than by the system.
const UPSTREAM_CONNECT: Duration = Duration::from_millis(300);
/// Time for a connection to another region to open.
const PEER_CONNECT: Duration = Duration::from_millis(700);
/// Longest stream, in bytes: ten times the longest answer of the first deployments, with 200 events of
/// 4 KB.
const LONGEST_STREAM: usize = 8 << 20;
/// Rank of calls at engines when the table's ranks are exhausted; engines know 0 to 9.
const LOWEST_RANK: u8 = 9;

/// What the attempts of a call have in common.
pub(super) struct Attempted<'a> {
    pub(super) call: &'a Call,
    pub(super) kind: RouteKind,
    pub(super) priority: u8,
    /// Tells the next instance about the route, if the call may be handed over.
    pub(super) forwarded: Option<header::HeaderValue>,
    /// When the call has to be answered.
    pub(super) end: Time,
    /// When the caller stops waiting.
    pub(super) deadline: Time,
    /// Last event that the caller has.
    pub(super) last_event: Option<u64>,
    /// Longest time until the head of the answer or the first event.
    pub(super) patience: Duration,
}

/// What came of an attempt.
pub(super) enum Outcome {
    /// A whole answer of the upstream, which may be a failure of its own.
    Answer(Response<Bytes>),
    /// A stream whose first events have arrived.
    Stream(Box<EventStream>),
    /// The call was not run, and never will be by this attempt.
    NotRun(NotRun),
    /// Nobody knows whether the call has run.
    Unknown(Unknown),
}

impl Outcome {
    /// A word for the log.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Outcome::Answer(answer) if answer.status().is_server_error() => "failed",
            Outcome::Answer(_) => "answered",
            Outcome::Stream(_) => "stream",
            Outcome::NotRun(NotRun::Refused { .. }) => "refused",
            Outcome::NotRun(NotRun::Misdirected) => "misdirected",
            Outcome::NotRun(NotRun::Unreachable) => "unreachable",
            Outcome::NotRun(NotRun::Withdrawn) => "withdrawn",
            Outcome::Unknown(Unknown::Lost) => "lost",
            Outcome::Unknown(Unknown::Silent) => "silent",
            Outcome::Unknown(Unknown::Foreign) => "foreign",
        }
    }
}

/// Why a call was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotRun {
    /// The upstream says so; it is full or leaving.
    Refused {
        /// When to come back, if it says that too.
        after: Option<Duration>,
    },
    /// Another upstream has the address.
    Misdirected,
    /// No connection.
    Unreachable,
    /// The upstream wanted no request any more when the connection had opened.
    Withdrawn,
}

/// Why it is not known whether a call has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Unknown {
    /// The connection ended before the answer was whole.
    Lost,
    /// Nothing came in time.
    Silent,
    /// What came belongs to another call, or is no answer of an upstream.
    Foreign,
}

/// Counts a call at its upstream, or as handed over, for as long as it lives.
pub(super) struct Slot {
    entry: Rc<Entry>,
    place: Place,
    began: Time,
    is_read: bool,
    /// The request to the upstream, and how it has ended if nothing else happens.
    flight: Option<Flight>,
    request_end: RequestEnd,
}

/// Where a call is counted.
enum Place {
    Upstream(Choice),
    /// Handed over to a region, with the tokens of its prompt.
    Away(RegionId, u64),
}

impl Slot {
    /// The first token or the answer has come.
    fn answered(&mut self) {
        if !self.is_read {
            self.is_read = true;
            let now = self.entry.now();
            match &self.place {
                Place::Upstream(choice) => {
                    self.entry.loads.borrow_mut().answered(now, choice, now - self.began);
                    tell_at_once(&self.entry, choice);
                }
                Place::Away(region, tokens) => {
                    self.entry.change_away(region, |unread| unread.saturating_sub(*tokens));
                }
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.entry.now();
        if let Some(flight) = self.flight.take() {
            self.entry.request_ended(flight, self.request_end);
        }
        match &self.place {
            Place::Upstream(choice) => {
                self.entry.loads.borrow_mut().ended(now, choice, self.is_read);
                if !self.is_read {
                    tell_at_once(&self.entry, choice);
                }
            }
            Place::Away(region, tokens) if !self.is_read => {
                self.entry.change_away(region, |unread| unread.saturating_sub(*tokens));
            }
            Place::Away(..) => {}
        }
    }
}

/// A stream that is being received.
pub(super) struct EventStream {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    body: Incoming,
    splitter: EventSplitter,
    /// Bytes that have come so far.
    received: usize,
    connection: Option<Connection>,
    slot: Slot,
    hop: Hop,
    /// Whole events that have arrived and were not taken yet.
    ready: Option<Bytes>,
}

/// The next piece of a stream.
pub(super) enum Piece {
    /// Whole events.
    Events(Bytes),
    /// The stream has ended as its upstream says it should.
    End,
    /// The connection ended within the stream.
    Broken,
}

impl EventStream {
    /// The next whole events.
    pub(super) async fn next(&mut self) -> Piece {
        if let Some(events) = self.ready.take() {
            return Piece::Events(events);
        }
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.splitter.push(&data);
                    self.received += data.len();
                    if self.splitter.is_overfull() || self.received > LONGEST_STREAM {
                        tracing::warn!(
                            received = self.received,
                            "stream cut, it or an event is too long"
                        );
                        return Piece::Broken;
                    }
                    if let Some(events) = self.splitter.take_whole() {
                        self.slot.answered();
                        return Piece::Events(events);
                    }
                }
                Some(Err(_)) => {
                    self.slot.request_end = RequestEnd::Unanswered;
                    return Piece::Broken;
                }
                None if self.splitter.has_rest() => {
                    self.slot.request_end = RequestEnd::Unanswered;
                    return Piece::Broken;
                }
                None => {
                    self.slot.request_end = RequestEnd::Answered;
                    return Piece::End;
                }
            }
        }
    }

    /// The upstream that sends it; `None` for another instance.
    pub(super) fn hop(&self) -> &Hop {
        &self.hop
    }

    /// The stream fell silent, and another hop goes on with it.
    pub(super) fn give_up(&mut self) {
        self.slot.request_end = RequestEnd::Unanswered;
    }

    /// Gives the connection back after the end of the stream.
    pub(super) fn finish(mut self, entry: &Entry) {
        if let Some(connection) = self.connection.take() {
            entry.client.give_back_among(connection, self.hop.idle());
        }
    }
}

/// Sends a call to a hop and waits for the whole answer, or for the first events of a stream. Counts
/// in `attempts` what that may have run.
pub(super) async fn send(
    entry: &Rc<Entry>,
    attempted: &Attempted<'_>,
    hop: &Hop,
    attempts: &mut Attempts,
) -> Outcome {
    let mut report = None;
    let outcome = exchange(entry, attempted, hop, &mut report).await;
    match (&outcome, hop) {
        (Outcome::NotRun(NotRun::Unreachable | NotRun::Withdrawn), _) => {}
        (_, Hop::Peer { .. }) => match report {
            Some(report) if !matches!(outcome, Outcome::Unknown(_)) => attempts.reported(report),
            _ => attempts.unreported(),
        },
        (Outcome::NotRun(_), Hop::Upstream { .. }) => attempts.refused(),
        (_, Hop::Upstream { .. }) => attempts.ran(),
    }
    outcome
}

/// Sends a call to a hop. What another instance reports of it goes to `report`.
async fn exchange(
    entry: &Rc<Entry>,
    attempted: &Attempted<'_>,
    hop: &Hop,
    report: &mut Option<Report>,
) -> Outcome {
    let now = entry.now();
    let left = attempted.end - now;
    let patience = attempted.patience.min(left);
    // An upstream may leave a late answer on a connection, or close it as a call goes out, so a call
    // that runs at most once takes a new one. Instances don't, and a new connection to another
    // region takes as long as the call.
    let reuse = match (hop, attempted.kind.is_repeatable()) {
        (Hop::Upstream { .. }, false) => Reuse::Never,
        _ => Reuse::Allowed,
    };
    let (address, connect) = match hop {
        Hop::Upstream { address, .. } => (*address, UPSTREAM_CONNECT),
        Hop::Peer { address, .. } => (*address, PEER_CONNECT),
    };
    let Some(request) = build(entry, attempted, hop, now) else {
        return Outcome::Unknown(Unknown::Foreign);
    };
    let mut slot = begin(entry, attempted, hop, now);
    let limits = CallLimits { connect: connect.min(patience), head: patience };
    let is_wanted = || match hop {
        Hop::Upstream { choice, birth, .. } => entry.still_takes(&choice.id, *birth),
        Hop::Peer { .. } => true,
    };
    let called = entry.client.call_while(address, request, reuse, limits, is_wanted).await;
    let (answer, connection) = match called {
        Ok(answered) => answered,
        Err(error) => {
            tracing::debug!(request = %attempted.call.id, %error, "attempt failed");
            if !error.is_unsent() {
                slot.request_end = RequestEnd::Unanswered;
            }
            return failed(entry, hop, &error);
        }
    };
    match hop {
        Hop::Peer { .. } => *report = forwarded::report(answer.headers()),
        Hop::Upstream { choice, birth, address, .. } => {
            entry.hear_availability(attempted.call, &choice.id, *birth, *address, &answer);
            if answer.status() != StatusCode::MISDIRECTED_REQUEST {
                entry.hear_limit(attempted.call, now, &choice.id, *birth, answer.headers());
            }
        }
    }
    if let Some(outcome) = judge_head(entry, attempted, hop, &answer, *report) {
        return outcome;
    }
    let is_stream = attempted.kind.is_stream() && answer.status().is_success();
    let (parts, body) = answer.into_parts();
    if !is_stream {
        let left = attempted.end - entry.now();
        let read = entry.answers.read(body, left).await;
        if let Err(unread) = read {
            slot.request_end = RequestEnd::Unanswered;
            tracing::info!(request = %attempted.call.id, ?unread, "answer not read to its end");
        }
        return match read {
            Ok(bytes) => {
                slot.answered();
                slot.request_end = RequestEnd::Answered;
                let end = match parts.status.is_server_error() {
                    true => CallEnd::Failed,
                    false => CallEnd::Answered,
                };
                ended(entry, hop, end);
                entry.client.give_back_among(connection, hop.idle());
                Outcome::Answer(Response::from_parts(parts, bytes))
            }
            Err(Unread::Cut) => {
                ended(entry, hop, CallEnd::Broken);
                Outcome::Unknown(Unknown::Lost)
            }
            Err(Unread::TooLong) => {
                ended(entry, hop, CallEnd::Failed);
                Outcome::Unknown(Unknown::Foreign)
            }
            Err(Unread::Late) => {
                ended(entry, hop, CallEnd::Failed);
                Outcome::Unknown(Unknown::Silent)
            }
        };
    }
    let mut stream = EventStream {
        status: parts.status,
        headers: parts.headers,
        body,
        splitter: EventSplitter::default(),
        received: 0,
        connection: Some(connection),
        slot,
        hop: hop.clone(),
        ready: None,
    };
    let left = (now + patience) - entry.now();
    match timeout(left, stream.next()).await {
        Ok(Piece::Events(events)) => {
            stream.ready = Some(events);
            ended(entry, hop, CallEnd::Answered);
            Outcome::Stream(Box::new(stream))
        }
        // An empty stream is whole.
        Ok(Piece::End) => Outcome::Stream(Box::new(stream)),
        Ok(Piece::Broken) => {
            ended(entry, hop, CallEnd::Broken);
            Outcome::Unknown(Unknown::Lost)
        }
        Err(_) => {
            stream.give_up();
            Outcome::Unknown(Unknown::Silent)
        }
    }
}

fn tell_at_once(entry: &Entry, choice: &Choice) {
    if choice.is_told() {
        entry.exchange().note(&choice.id);
    }
}

/// Counts the call where it goes.
fn begin(entry: &Rc<Entry>, attempted: &Attempted, hop: &Hop, now: Time) -> Slot {
    let demand = &attempted.call.demand;
    let place = match hop {
        Hop::Upstream { choice, birth, memory, cold_rate, .. } => {
            entry.loads.borrow_mut().sent(now, choice, demand, *memory);
            tell_at_once(entry, choice);
            if let Some(rate) = cold_rate {
                entry.cold.borrow_mut().sent(now, &choice.id, *rate);
                let instances = entry.region_entries().len();
                let up_ms = entry.uptime().as_millis() as u64;
                metrics::counter!(names::COLD_SENDS).increment(1);
                tracing::info!(request = %attempted.call.id, upstream = %choice.id, rate, instances, up_ms, "sending to a cold upstream");
            }
            if let Some(limit) = entry.use_permit(&choice.id, *birth) {
                metrics::counter!(names::LIMITED_SENDS).increment(1);
                tracing::info!(request = %attempted.call.id, upstream = %choice.id, %limit, "sending to an upstream with a limit");
            }
            Place::Upstream(choice.clone())
        }
        Hop::Peer { region, .. } => {
            let tokens = u64::from(demand.prompt);
            entry.change_away(region, |unread| unread + tokens);
            Place::Away(region.clone(), tokens)
        }
    };
    let flight = match hop {
        Hop::Upstream { choice, birth, .. } => {
            Some(entry.request_sent(attempted.call.content, &choice.id, *birth))
        }
        Hop::Peer { .. } => None,
    };
    let request_end = RequestEnd::Other;
    Slot { entry: entry.clone(), place, began: now, is_read: false, flight, request_end }
}

/// The request as it goes to the hop.
fn build(
    entry: &Entry,
    attempted: &Attempted,
    hop: &Hop,
    now: Time,
) -> Option<Request<Full<Bytes>>> {
    let call = attempted.call;
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.parse::<Uri>().ok()?;
    let mut headers = call.headers.clone();
    let names = &entry.names;
    let left = u64::try_from((attempted.deadline - now).as_millis()).unwrap_or(u64::MAX);
    headers.insert(names.deadline.clone(), left.into());
    if let Some(last) = attempted.last_event {
        headers.insert(names.last_event.clone(), last.into());
    }
    match hop {
        Hop::Upstream { choice, .. } => {
            let id = header::HeaderValue::from_str(choice.id.as_str()).ok()?;
            headers.insert(names.expected_upstream.clone(), id);
            let rank = attempted.priority.min(LOWEST_RANK);
            headers.insert(names.rank.clone(), u64::from(rank).into());
        }
        Hop::Peer { .. } => {
            headers.insert(forwarded::HEADER, attempted.forwarded.clone()?);
        }
    }
    *request.headers_mut() = headers;
    Some(request)
}

impl Entry {
    /// Takes in what the head of an answer says about whether its upstream wants requests.
    fn hear_availability(
        &self,
        call: &Call,
        id: &UpstreamId,
        birth: Birth,
        address: SocketAddr,
        answer: &Response<Incoming>,
    ) {
        let now = self.now();
        let headers = answer.headers();
        let is_leaving = headers.get(&self.names.leaving).is_some_and(|value| value == "1");
        if is_leaving && self.availabilities.borrow_mut().leaves(now, id, birth) {
            metrics::counter!(names::LEAVING).increment(1);
            tracing::info!(request = %call.id, upstream = %id, birth = birth.0, "upstream leaves, by its answer");
            self.client.forget(address);
            self.links.send_all(&Message::Leaving { upstream: id.clone(), birth });
        }
        if answer.status() != StatusCode::SERVICE_UNAVAILABLE {
            return;
        }
        let Some(value) = headers.get(header::RETRY_AFTER) else { return };
        match value.to_str().unwrap_or_default().parse::<Rest>() {
            Ok(rest) => {
                let spread = rand::rng().random();
                let news = self.availabilities.borrow_mut().rests(now, id, birth, rest, spread);
                if let Some(left) = news {
                    let for_ms = left.as_millis() as u64;
                    metrics::counter!(names::RESTS).increment(1);
                    tracing::info!(request = %call.id, upstream = %id, birth = birth.0, %rest, for_ms, "upstream rests");
                }
            }
            Err(error) => {
                tracing::warn!(upstream = %id, ?value, %error, "time to rest can't be read, the upstream counts as full");
            }
        }
    }
}

/// Judges an answer by its head; `None` if the body counts as well.
fn judge_head(
    entry: &Rc<Entry>,
    attempted: &Attempted,
    hop: &Hop,
    answer: &Response<Incoming>,
    report: Option<Report>,
) -> Option<Outcome> {
    let names = &entry.names;
    let headers = answer.headers();
    let id = headers.get(&names.call_id).and_then(|id| id.to_str().ok());
    if id.is_some_and(|id| id != attempted.call.id) {
        return Some(Outcome::Unknown(Unknown::Foreign));
    }
    if report.is_some_and(|report| report.is_refused) {
        return Some(Outcome::NotRun(NotRun::Refused { after: retry_after(headers) }));
    }
    if headers.contains_key(&names.not_run) {
        ended(entry, hop, CallEnd::Refused);
        return Some(Outcome::NotRun(NotRun::Refused { after: retry_after(headers) }));
    }
    if answer.status() == StatusCode::MISDIRECTED_REQUEST {
        ended(entry, hop, CallEnd::Unreachable);
        return Some(Outcome::NotRun(NotRun::Misdirected));
    }
    let is_signed = headers.contains_key(&names.signature);
    let is_encoded = headers.contains_key(header::CONTENT_ENCODING);
    if answer.status().is_success() && (!is_signed || is_encoded) {
        ended(entry, hop, CallEnd::Failed);
        return Some(Outcome::Unknown(Unknown::Foreign));
    }
    None
}

/// The time to come back that an answer names.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = value.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

fn failed(entry: &Rc<Entry>, hop: &Hop, error: &CallError) -> Outcome {
    match error {
        CallError::Connect { source, .. } => {
            let is_refused = |error: &std::io::Error| error.kind() == ErrorKind::ConnectionRefused;
            if let Hop::Upstream { choice, .. } = hop
                && source.as_ref().is_some_and(is_refused)
            {
                entry.refused_connection(&choice.id);
            }
            ended(entry, hop, CallEnd::Unreachable);
            Outcome::NotRun(NotRun::Unreachable)
        }
        CallError::Withdrawn { .. } => Outcome::NotRun(NotRun::Withdrawn),
        CallError::Lost { .. } => {
            ended(entry, hop, CallEnd::Broken);
            Outcome::Unknown(Unknown::Lost)
        }
        CallError::Silent { address, .. } => {
            ended(entry, hop, CallEnd::Failed);
            entry.client.forget(*address);
            Outcome::Unknown(Unknown::Silent)
        }
    }
}

/// Takes in what a call shows of the health of its upstream.
pub(super) fn ended(entry: &Rc<Entry>, hop: &Hop, end: CallEnd) {
    let Hop::Upstream { choice, address, cold_rate, .. } = hop else { return };
    let end = match end {
        CallEnd::Answered if cold_rate.is_some() => CallEnd::AnsweredCold,
        end => end,
    };
    if end == CallEnd::Broken {
        entry.examine(&choice.id, *address);
    }
    let avoided = entry.healths.borrow_mut().ended(entry.now(), &choice.id, end);
    if let Some(pause) = avoided {
        tracing::warn!(upstream = %choice.id, avoid_ms = pause.as_millis() as u64, ?end, "upstream avoided");
    }
}

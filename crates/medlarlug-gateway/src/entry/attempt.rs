//! One attempt: sends a call to one hop and classifies the result.

use std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, Response, StatusCode, Uri, body::Incoming, header};
use medlarlug::{
    protocol::events,
    transport::{
        answers::{self, ReadError},
        event_buffer::EventBuffer,
        http_client::{self, CallLimits, Connection, HttpCallError, Reuse},
    },
};
use medlarlug_core::{
    gateway::{
        availability::Backoff,
        brittle::Answered,
        fair_share::Holder,
        handover::{Attempts, HandoverReport},
        health::UpstreamOutcome,
        placement::Choice,
        software_version::SoftwareVersion,
        table::{RouteKind, ServiceName},
        table_lease::ResidencyPermit,
        upstreams::Birth,
    },
    ids::{RegionId, UpstreamId},
    time::Time,
};
use rand::RngExt;
use tokio::time::timeout;

use super::{
    Entry,
    call::Call,
    choice::Hop,
    crashes::{InFlight, RequestEnd},
    forwarded,
    pressure::BookedCall,
    residency::Residency,
};
use crate::{link::Message, metrics as names};

/// Timeout for opening a connection to an upstream. If a packet is lost, a new connection is faster
/// than the retransmission by the system.
const UPSTREAM_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for opening a connection to another instance, possibly in another region.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum size of a complete answer: twice the longest request body that the first deployments
/// allow.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Longest stream, in bytes: ten times the longest answer of the first deployments, which has 200
/// events of 4 KB.
const MAX_STREAM_BYTES: usize = 8 << 20;
/// Lowest priority that engines support, which is 0 to 9; routes with a lower one get this.
const LOWEST_PRIORITY: u8 = 9;

/// What all attempts of a call have in common.
pub(super) struct AttemptContext<'a> {
    pub(super) call: &'a Call,
    /// The home regions that the call obeys.
    pub(super) residency: Residency<'a>,
    pub(super) kind: RouteKind,
    pub(super) priority: u8,
    /// The route for another entry instance, if the hop is one.
    pub(super) forwarded: Option<header::HeaderValue>,
    /// When the call has to be answered: its deadline or the timeout of its route, whichever is
    /// earlier.
    pub(super) answer_by: Time,
    /// When the caller stops waiting.
    pub(super) deadline: Time,
    /// Id of the last event that the caller has received.
    pub(super) last_event: Option<u64>,
    /// Timeout for the head of the answer, or for the first event of a stream.
    pub(super) answer_timeout: Duration,
    /// The service and the team of the call.
    pub(super) holder: Holder,
}

/// Result of an attempt.
pub(super) enum Outcome {
    /// A complete answer of the upstream, which may be an error of its own.
    Answer(Response<Bytes>),
    /// A stream whose first events have arrived.
    Stream(Box<EventStream>),
    /// The call was not run, and will not be run by this attempt.
    NotRun(NotRun),
    /// It is unknown whether the call has run.
    Unknown(Unknown),
}

impl Outcome {
    /// Name of the outcome in the log.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Outcome::Answer(answer) if answer.status().is_server_error() => "failed",
            Outcome::Answer(_) => "answered",
            Outcome::Stream(_) => "stream",
            Outcome::NotRun(NotRun::Refused { .. }) => "refused",
            Outcome::NotRun(NotRun::Misdirected) => "misdirected",
            Outcome::NotRun(NotRun::Unreachable) => "unreachable",
            Outcome::NotRun(NotRun::Withdrawn) => "withdrawn",
            Outcome::NotRun(NotRun::NoPath) => "no_path",
            Outcome::Unknown(Unknown::ConnectionLost) => "lost",
            Outcome::Unknown(Unknown::TimedOut) => "silent",
            Outcome::Unknown(Unknown::ForeignAnswer) => "foreign",
        }
    }
}

/// Why a call was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotRun {
    /// The upstream refused the call, because it is full or leaving.
    Refused {
        /// The `Retry-After` of the refusal, if it has one.
        retry_after: Option<Duration>,
    },
    /// A different upstream answers at the address.
    Misdirected,
    /// No connection could be opened.
    Unreachable,
    /// The upstream stopped accepting requests, or its region is no home of the call any more, while
    /// the connection was being opened.
    Withdrawn,
    /// The other instance reaches no upstream of the service.
    NoPath,
}

/// Why it is unknown whether a call has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Unknown {
    /// The connection ended before the answer was complete.
    ConnectionLost,
    /// No answer arrived in time.
    TimedOut,
    /// The answer belongs to another call, or does not come from an upstream.
    ForeignAnswer,
}

/// Counts a call in the load of its upstream, or in the tokens forwarded to a region, until it is
/// dropped.
pub(super) struct LoadSlot {
    entry: Rc<Entry>,
    counted_at: CountedAt,
    began: Time,
    has_first_token: bool,
    /// The request to the upstream; `request_end` is reported for it when the slot is dropped.
    in_flight: Option<InFlight>,
    request_end: RequestEnd,
    service: ServiceName,
    /// What the call has booked in the memory of its engine.
    booked: Option<BookedCall>,
}

/// Where a call is counted.
enum CountedAt {
    Upstream(Choice),
    /// A region that the call was forwarded to, and the tokens of its prompt.
    Region(RegionId, u64),
}

impl LoadSlot {
    /// Records that the first token of a stream or the answer has arrived.
    fn answered(&mut self, is_stream: bool) {
        if !self.has_first_token {
            self.has_first_token = true;
            if let Some(in_flight) = &self.in_flight {
                self.entry.answer_began(in_flight);
            }
            let now = self.entry.now();
            match &self.counted_at {
                CountedAt::Upstream(choice) => {
                    self.entry.loads.borrow_mut().record_first_token(now, choice, now - self.began);
                    self.entry.record_ramp_token(choice, self.began, is_stream);
                    report_at_once(&self.entry, choice);
                }
                CountedAt::Region(region, tokens) => {
                    self.entry.update_forwarded_tokens(region, |tokens_pending| {
                        tokens_pending.saturating_sub(*tokens)
                    });
                }
            }
        }
    }
}

impl Drop for LoadSlot {
    fn drop(&mut self) {
        let now = self.entry.now();
        if self.request_end == RequestEnd::Unanswered
            && let Some(booked) = &self.booked
        {
            booked.record_break();
        }
        if let Some(in_flight) = self.in_flight.take() {
            self.entry.request_ended(in_flight, self.request_end, self.has_first_token);
        }
        match &self.counted_at {
            CountedAt::Upstream(choice) => {
                self.entry.loads.borrow_mut().record_end(now, choice, self.has_first_token);
                let is_answered = self.request_end == RequestEnd::Answered;
                self.entry.record_slot_end(&self.service, &choice.id, self.began, is_answered);
                if !self.has_first_token {
                    self.entry.record_ramp_silence(choice, self.began);
                    report_at_once(&self.entry, choice);
                }
            }
            CountedAt::Region(region, tokens) if !self.has_first_token => {
                self.entry.update_forwarded_tokens(region, |tokens_pending| {
                    tokens_pending.saturating_sub(*tokens)
                });
            }
            CountedAt::Region(..) => {}
        }
    }
}

/// A stream that is being received.
pub(super) struct EventStream {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    body: Incoming,
    events: EventBuffer,
    received: usize,
    connection: Option<Connection>,
    slot: LoadSlot,
    hop: Hop,
    /// Software version of the upstream that writes the stream, if it is known.
    software: Option<SoftwareVersion>,
    /// Complete events that have arrived and were not returned yet.
    ready: Option<Bytes>,
    /// Until the first event of a resumed stream has arrived: id of the event that it has to follow.
    follows: Option<u64>,
    /// Whether the end of the connection alone ends the answer.
    ends_with_connection: bool,
}

/// The next part of a stream.
pub(super) enum Piece {
    /// One or more complete events.
    Events(Bytes),
    /// The upstream ended the stream properly.
    End,
    /// The connection ended before the stream did, a limit was exceeded, or what arrived does not go on
    /// with the stream.
    Broken,
}

impl EventStream {
    /// Waits for the next complete events.
    pub(super) async fn next(&mut self) -> Piece {
        if let Some(events) = self.ready.take() {
            return Piece::Events(events);
        }
        loop {
            self.events.settle().await;
            if self.events.exceeds_limit() || self.received > MAX_STREAM_BYTES {
                tracing::warn!(received = self.received, "stream cut: stream or event too long");
                return Piece::Broken;
            }
            if let Some(events) = self.events.take_complete() {
                let has_content = events::have_content(&events);
                if has_content && !self.goes_on(&events) {
                    return Piece::Broken;
                }
                if has_content && !self.slot.has_first_token {
                    self.slot.answered(true);
                }
                return Piece::Events(events);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.received += data.len();
                    self.events.push(data);
                }
                Some(Err(_)) => {
                    self.slot.request_end = RequestEnd::Unanswered;
                    return Piece::Broken;
                }
                None if self.events.has_partial_event() => {
                    self.slot.request_end = RequestEnd::Unanswered;
                    return Piece::Broken;
                }
                // An upstream that fails before its first event ends its connection in the same way.
                None if self.connection.as_ref().is_some_and(|it| it.has_cut(&self.headers)) => {
                    self.slot.request_end = RequestEnd::Unanswered;
                    return Piece::Broken;
                }
                None if self.follows.is_some() && self.ends_with_connection => {
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

    /// Whether the first events of a resumed stream follow the last one that the caller has, and are
    /// not, for example, the text of an error.
    fn goes_on(&mut self, events: &[u8]) -> bool {
        let Some(last) = self.follows.take() else { return true };
        let first = events::first_id(events);
        let goes_on = first.is_some_and(|first| first > last);
        if !goes_on {
            tracing::warn!(last, first, "answer dropped: it does not go on with the stream");
        }
        goes_on
    }

    /// Where the stream comes from.
    pub(super) fn hop(&self) -> &Hop {
        &self.hop
    }

    /// Software version of the upstream that writes the stream, if it is known.
    pub(super) fn software(&self) -> Option<&SoftwareVersion> {
        self.software.as_ref()
    }

    /// Records that the stream stopped sending and another hop resumes it.
    pub(super) fn abandon(&mut self) {
        self.slot.request_end = RequestEnd::Unanswered;
    }

    /// Returns the connection to the pool after the end of the stream.
    pub(super) fn finish(mut self, entry: &Entry) {
        if let Some(connection) = self.connection.take() {
            entry.client.release_bounded(connection, self.hop.idle());
        }
    }
}

/// Sends a call to a hop and waits for the complete answer, or for the first events of a stream.
/// Counts in `attempts` the requests that may have run.
pub(super) async fn send(
    entry: &Rc<Entry>,
    context: &AttemptContext<'_>,
    hop: &Hop,
    attempts: &mut Attempts,
) -> Outcome {
    let mut report = None;
    let outcome = attempt(entry, context, hop, &mut report).await;
    match (&outcome, hop) {
        (Outcome::NotRun(NotRun::Unreachable | NotRun::Withdrawn), _) => {}
        (_, Hop::Peer { .. }) => match report {
            Some(report) if !matches!(outcome, Outcome::Unknown(_)) => {
                attempts.record_report(report)
            }
            _ => attempts.record_missing_report(),
        },
        (Outcome::NotRun(_), Hop::Upstream { .. }) => attempts.record_refusal(),
        (_, Hop::Upstream { .. }) => attempts.record_run(),
    }
    outcome
}

/// Sends a call to a hop. What another instance reports about its own attempts is stored in
/// `report`.
async fn attempt(
    entry: &Rc<Entry>,
    context: &AttemptContext<'_>,
    hop: &Hop,
    report: &mut Option<HandoverReport>,
) -> Outcome {
    let now = entry.now();
    let left = context.answer_by - now;
    let answer_timeout = context.answer_timeout.min(left);
    // An upstream may send a late answer on a reused connection, or close it while the request is
    // sent, so a call that must run at most once gets a new connection, and so does one without an id
    // by which its answer could be told. Other instances do neither, and opening a connection to
    // another region takes as long as the call itself.
    let is_safe_to_reuse = context.kind.is_retryable() && !context.call.id.is_empty();
    let reuse = match hop {
        Hop::Upstream { .. } if !is_safe_to_reuse => Reuse::Never,
        _ => Reuse::Allowed,
    };
    let (address, connect) = match hop {
        Hop::Upstream { address, .. } => (*address, UPSTREAM_CONNECT_TIMEOUT),
        Hop::Peer { address, .. } => (*address, PEER_CONNECT_TIMEOUT),
    };
    let region = entry.region_of_hop(hop);
    let permit = || entry.permit(context.call, context.residency, &region);
    let request = match permit() {
        Ok(permit) => build_request(entry, context, hop, now, &permit),
        Err(_) => return Outcome::NotRun(NotRun::Withdrawn),
    };
    let Some(request) = request else {
        return Outcome::Unknown(Unknown::ForeignAnswer);
    };
    let mut slot = open_slot(entry, context, hop, now);
    let limits = CallLimits { connect: connect.min(answer_timeout), head: answer_timeout };
    let is_wanted = || {
        let is_accepted = match hop {
            Hop::Upstream { choice, birth, .. } => entry.still_accepts(&choice.id, *birth),
            Hop::Peer { .. } => true,
        };
        is_accepted && permit().is_ok()
    };
    let called = entry.client.call_if_wanted(address, request, reuse, limits, is_wanted).await;
    let (answer, connection) = match called {
        Ok(answered) => answered,
        Err(error) => {
            tracing::debug!(request = %context.call.id, %error, "attempt failed");
            if !error.is_unsent() {
                slot.request_end = RequestEnd::Unanswered;
            }
            return judge_failure(entry, hop, &error);
        }
    };
    if !belongs_to_call(entry, context.call, hop, &answer, &connection) {
        metrics::counter!(names::FOREIGN_ANSWERS).increment(1);
        tracing::warn!(request = %context.call.id, hop = %address, reused = connection.is_reused(), "answer of another call dropped");
        return Outcome::Unknown(Unknown::ForeignAnswer);
    }
    match hop {
        Hop::Peer { .. } => *report = forwarded::report(answer.headers()),
        Hop::Upstream { choice, birth, address, .. } => {
            entry.record_upstream_answer();
            entry.record_availability(context.call, &choice.id, *birth, *address, &answer);
            if answer.status() != StatusCode::MISDIRECTED_REQUEST {
                entry.record_limit(context.call, now, &choice.id, *birth, answer.headers());
                let service = &context.holder.0;
                let answered = Answered { service, id: &choice.id, birth: *birth, sent: now };
                entry.record_brittle(context.call, answered, answer.headers());
            }
        }
    }
    if let Some(outcome) = judge_head(entry, hop, &answer, *report) {
        return outcome;
    }
    let is_stream = context.kind.is_stream() && answer.status().is_success();
    let (parts, body) = answer.into_parts();
    if !is_stream {
        let left = context.answer_by - entry.now();
        let read = entry.answers.read(body, MAX_ANSWER_BYTES, left).await;
        let read = read.and_then(|it| connection.check_answer(&parts).map(|()| it));
        if let Err(error) = read {
            slot.request_end = RequestEnd::Unanswered;
            tracing::info!(request = %context.call.id, unread = ?error, "answer not read completely");
        }
        return match read {
            Ok(read) => {
                slot.answered(false);
                slot.request_end = RequestEnd::Answered;
                let end = match parts.status.is_server_error() {
                    true => UpstreamOutcome::Failed,
                    false => UpstreamOutcome::Answered,
                };
                record_health(entry, hop, end);
                entry.client.release_bounded(connection, hop.idle());
                Outcome::Answer(Response::from_parts(parts, read.content))
            }
            Err(ReadError::Cut) => {
                record_health(entry, hop, UpstreamOutcome::Broken);
                Outcome::Unknown(Unknown::ConnectionLost)
            }
            Err(ReadError::TooLong | ReadError::UndefinedStatus) => {
                record_health(entry, hop, UpstreamOutcome::Failed);
                Outcome::Unknown(Unknown::ForeignAnswer)
            }
            Err(ReadError::Late) => {
                record_health(entry, hop, UpstreamOutcome::Failed);
                Outcome::Unknown(Unknown::TimedOut)
            }
        };
    }
    let software = match hop {
        Hop::Upstream { software, .. } => software.clone(),
        Hop::Peer { .. } => forwarded::software(&parts.headers),
    };
    let ends_with_connection = http_client::ends_with_connection(&parts.headers);
    let mut stream = EventStream {
        status: parts.status,
        headers: parts.headers,
        body,
        events: EventBuffer::new(&entry.memory),
        received: 0,
        connection: Some(connection),
        slot,
        hop: hop.clone(),
        software,
        ready: None,
        follows: context.last_event,
        ends_with_connection,
    };
    let left = (now + answer_timeout) - entry.now();
    match timeout(left, stream.next()).await {
        Ok(Piece::Events(events)) => {
            stream.ready = Some(events);
            record_health(entry, hop, UpstreamOutcome::Answered);
            Outcome::Stream(Box::new(stream))
        }
        // A stream without events is complete.
        Ok(Piece::End) => Outcome::Stream(Box::new(stream)),
        Ok(Piece::Broken) => {
            record_health(entry, hop, UpstreamOutcome::Broken);
            Outcome::Unknown(Unknown::ConnectionLost)
        }
        Err(_) => {
            stream.abandon();
            Outcome::Unknown(Unknown::TimedOut)
        }
    }
}

fn report_at_once(entry: &Entry, choice: &Choice) {
    if choice.needs_immediate_report() {
        entry.exchange().report_at_once(&choice.id);
    }
}

/// Counts the call in the load of its hop.
fn open_slot(entry: &Rc<Entry>, context: &AttemptContext, hop: &Hop, now: Time) -> LoadSlot {
    let demand = &context.call.demand;
    let counted_at = match hop {
        Hop::Upstream { choice, birth, memory, cold_rate, .. } => {
            entry.loads.borrow_mut().record_sent(now, choice, demand, *memory);
            report_at_once(entry, choice);
            entry.record_slot_sent(&choice.id);
            if let Some(rate) = cold_rate {
                entry.cold_pacer.borrow_mut().record_send(now, &choice.id, *rate);
                let instances = entry.region_entries().len();
                let up_ms = entry.uptime().as_millis() as u64;
                metrics::counter!(names::COLD_REQUESTS).increment(1);
                tracing::info!(request = %context.call.id, upstream = %choice.id, rate, instances, up_ms, "sending to a cold upstream");
            }
            if let Some(limit) = entry.use_permit(&choice.id, *birth) {
                metrics::counter!(names::LIMITED_REQUESTS).increment(1);
                tracing::info!(request = %context.call.id, upstream = %choice.id, %limit, "sending to an upstream with a limit");
            }
            CountedAt::Upstream(choice.clone())
        }
        Hop::Peer { region, .. } => {
            let tokens = u64::from(demand.prompt_tokens);
            entry.update_forwarded_tokens(region, |tokens_pending| tokens_pending + tokens);
            CountedAt::Region(region.clone(), tokens)
        }
    };
    let in_flight = match hop {
        Hop::Upstream { choice, birth, .. } => {
            Some(entry.request_sent(context.call, &choice.id, *birth))
        }
        Hop::Peer { .. } => None,
    };
    let request_end = RequestEnd::Other;
    let booked = entry.book(hop, demand, &context.holder);
    LoadSlot {
        entry: entry.clone(),
        counted_at,
        began: now,
        has_first_token: false,
        in_flight,
        request_end,
        service: context.holder.0.clone(),
        booked,
    }
}

/// Builds the request for the hop, which is in the region of the permit; `None` if a header or the
/// target can't be represented.
fn build_request(
    entry: &Entry,
    context: &AttemptContext,
    hop: &Hop,
    now: Time,
    _: &ResidencyPermit,
) -> Option<Request<Full<Bytes>>> {
    let call = context.call;
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.parse::<Uri>().ok()?;
    let mut headers = call.headers.clone();
    let names = &entry.names;
    let left = u64::try_from((context.deadline - now).as_millis()).unwrap_or(u64::MAX);
    headers.insert(names.deadline.clone(), left.into());
    if let Some(last) = context.last_event {
        headers.insert(names.last_event.clone(), last.into());
    }
    match hop {
        Hop::Upstream { choice, .. } => {
            let id = header::HeaderValue::from_str(choice.id.as_str()).ok()?;
            headers.insert(names.expected_upstream.clone(), id);
            let priority = context.priority.min(LOWEST_PRIORITY);
            headers.insert(names.priority.clone(), u64::from(priority).into());
        }
        Hop::Peer { .. } => {
            headers.insert(forwarded::HANDOVER_HEADER, context.forwarded.clone()?);
        }
    }
    *request.headers_mut() = headers;
    Some(request)
}

impl Entry {
    /// Applies what the head of an answer says about the availability of its upstream: that it is
    /// leaving, or for how long to back off.
    fn record_availability(
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
        if is_leaving && self.availabilities.borrow_mut().record_leaving(now, id, birth) {
            metrics::counter!(names::LEAVING_UPSTREAMS).increment(1);
            tracing::info!(request = %call.id, upstream = %id, birth = birth.0, "upstream announced in an answer that it is leaving");
            self.client.close_idle(address);
            self.links.send_all(&Message::Leaving { upstream: id.clone(), birth });
        }
        if answer.status() != StatusCode::SERVICE_UNAVAILABLE {
            return;
        }
        let Some(value) = headers.get(header::RETRY_AFTER) else { return };
        match value.to_str().unwrap_or_default().parse::<Backoff>() {
            Ok(backoff) => {
                let jitter = rand::rng().random();
                let remaining = self
                    .availabilities
                    .borrow_mut()
                    .record_backoff(now, id, birth, backoff, jitter);
                if let Some(remaining) = remaining {
                    let for_ms = remaining.as_millis() as u64;
                    metrics::counter!(names::BACKOFFS).increment(1);
                    tracing::info!(request = %call.id, upstream = %id, birth = birth.0, rest = %backoff, for_ms, "upstream requested backoff");
                }
            }
            Err(error) => {
                tracing::warn!(upstream = %id, ?value, %error, "invalid Retry-After; the upstream is considered full");
            }
        }
    }
}

/// Whether an answer is the one to the call. An upstream names the call in each; without that, the
/// answer may be a late second one to an earlier request on the connection.
fn belongs_to_call(
    entry: &Entry,
    call: &Call,
    hop: &Hop,
    answer: &Response<Incoming>,
    connection: &Connection,
) -> bool {
    let id = answer.headers().get(&entry.names.call_id).and_then(|id| id.to_str().ok());
    match id {
        Some(id) => id == call.id,
        None if matches!(hop, Hop::Peer { .. }) => true,
        None => !connection.is_reused(),
    }
}

/// Classifies an answer by its head; `None` if the body has to be read as well.
fn judge_head(
    entry: &Rc<Entry>,
    hop: &Hop,
    answer: &Response<Incoming>,
    report: Option<HandoverReport>,
) -> Option<Outcome> {
    let names = &entry.names;
    let headers = answer.headers();
    if report.is_some_and(|report| report.is_refused && report.lacks_path) {
        return Some(Outcome::NotRun(NotRun::NoPath));
    }
    if report.is_some_and(|report| report.is_refused) {
        return Some(Outcome::NotRun(NotRun::Refused { retry_after: retry_after(headers) }));
    }
    if headers.contains_key(&names.not_run) {
        record_health(entry, hop, UpstreamOutcome::Refused);
        return Some(Outcome::NotRun(NotRun::Refused { retry_after: retry_after(headers) }));
    }
    if answer.status() == StatusCode::MISDIRECTED_REQUEST {
        record_health(entry, hop, UpstreamOutcome::Unreachable);
        return Some(Outcome::NotRun(NotRun::Misdirected));
    }
    if !answers::is_defined(answer.status()) {
        tracing::warn!(
            status = answer.status().as_u16(),
            "answer dropped: HTTP does not define its status"
        );
        record_health(entry, hop, UpstreamOutcome::Failed);
        return Some(Outcome::Unknown(Unknown::ForeignAnswer));
    }
    let is_signed = headers.contains_key(&names.signature);
    let is_encoded = headers.contains_key(header::CONTENT_ENCODING);
    if answer.status().is_success() && (!is_signed || is_encoded) {
        record_health(entry, hop, UpstreamOutcome::Failed);
        return Some(Outcome::Unknown(Unknown::ForeignAnswer));
    }
    None
}

/// The `Retry-After` of an answer, in seconds with fractions.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = value.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

fn judge_failure(entry: &Rc<Entry>, hop: &Hop, error: &HttpCallError) -> Outcome {
    match error {
        HttpCallError::Connect { source, .. } => {
            let is_refused = |error: &std::io::Error| error.kind() == ErrorKind::ConnectionRefused;
            if let Hop::Upstream { choice, address, .. } = hop
                && source.as_ref().is_some_and(is_refused)
            {
                entry.refused_connection(&choice.id, *address);
                entry.tell_ended(&choice.id);
            }
            record_health(entry, hop, UpstreamOutcome::Unreachable);
            Outcome::NotRun(NotRun::Unreachable)
        }
        HttpCallError::Withdrawn { .. } => Outcome::NotRun(NotRun::Withdrawn),
        HttpCallError::Lost { .. } => {
            record_health(entry, hop, UpstreamOutcome::Broken);
            Outcome::Unknown(Unknown::ConnectionLost)
        }
        HttpCallError::TimedOut { address, .. } => {
            record_health(entry, hop, UpstreamOutcome::Failed);
            entry.client.close_idle(*address);
            if matches!(hop, Hop::Upstream { .. }) {
                entry.suspect_path();
            }
            Outcome::Unknown(Unknown::TimedOut)
        }
    }
}

/// Records the result of a request for the health of its upstream.
pub(super) fn record_health(entry: &Rc<Entry>, hop: &Hop, end: UpstreamOutcome) {
    let Hop::Upstream { choice, address, cold_rate, .. } = hop else { return };
    let end = match end {
        UpstreamOutcome::Answered if cold_rate.is_some() => UpstreamOutcome::AnsweredCold,
        end => end,
    };
    if end == UpstreamOutcome::Broken {
        entry.start_crash_check(&choice.id, *address);
    }
    if matches!(end, UpstreamOutcome::Broken | UpstreamOutcome::Unreachable) {
        entry.suspect_path();
    }
    let sign = match end {
        UpstreamOutcome::Refused => Some("refused"),
        UpstreamOutcome::Broken => Some("broken"),
        UpstreamOutcome::Unreachable => Some("unreachable"),
        UpstreamOutcome::Answered | UpstreamOutcome::AnsweredCold | UpstreamOutcome::Failed => None,
    };
    if let Some(sign) = sign {
        // When the call was sent is not known here; one predicted wait earlier is late enough that
        // calls that were sent before a reduction don't reduce the window again.
        entry.record_ramp_strain(choice, sign, entry.now().saturating_sub(choice.wait));
    }
    let avoided = entry.healths.borrow_mut().record(entry.now(), &choice.id, end);
    if let Some(pause) = avoided {
        tracing::warn!(upstream = %choice.id, avoid_ms = pause.as_millis() as u64, ?end, "upstream avoided");
    }
}

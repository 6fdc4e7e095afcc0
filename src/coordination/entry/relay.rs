//! Delivery of a streamed answer to its caller.
//!
//! The answer is passed on event by event. A [`StreamTracker`], which counts in events here,
//! decides what happens when a connection is lost or silent: the stream is resumed by offset on a
//! new connection to the same upstream, or the caller gets an explicit error event. An answer is
//! complete only with its terminal event.

use std::{collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, body::Incoming, header};
use medlarlug_core::{
    ids::RequestId,
    record::{Outcome, Stage},
    refusal::Refusal,
    routing::{Ticket, router},
    stream::{Chunk, ConnectionNumber, Effect, Event, StreamPolicy, StreamTracker},
};
use tokio::{sync::mpsc, task, time::sleep};

use crate::{
    coordination::entry::{
        Entry, connection_recovery,
        exchange::{Exchange, Place},
    },
    protocol::{Problem, events::EventSplitter, headers},
    telemetry::metrics::CROSSED,
    transport::{
        body,
        body::Part,
        http_client::{CallError, CallLimits, Connection, Reuse},
    },
};

/// Longest wait for the first event on a connection.
const FIRST_EVENT_PATIENCE: Duration = Duration::from_secs(4);

/// Time that an upstream has to take a stream up again.
const RESUME_LIMITS: CallLimits =
    CallLimits { connect: Duration::from_secs(1), head: Duration::from_secs(2) };

/// Time that an upstream has to take a cancellation in.
const CANCEL_LIMITS: CallLimits =
    CallLimits { connect: Duration::from_secs(1), head: Duration::from_secs(1) };

/// How a streamed answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEnd {
    /// The caller has the whole answer.
    Complete,
    /// The caller went away.
    CallerGone,
    /// The answer could not be finished; the caller was told so unless nothing was delivered.
    Failed(Refusal),
}

/// A connection that brings a stream.
struct Source {
    number: ConnectionNumber,
    body: Incoming,
    connection: Connection,
    splitter: EventSplitter,
    // Number of the next event on this connection.
    offset: u64,
}

/// What became of the wish to take a stream up again.
enum Resumption {
    /// The stream comes on a new connection.
    Begun,
    /// The new connection was lost.
    Lost,
    /// The upstream does not resume the stream.
    Refused,
}

/// One streamed answer.
pub struct Relay {
    entry: Rc<Entry>,
    id: RequestId,
    address: SocketAddr,
    ticket: Ticket,
    is_upstream: bool,
    tracker: StreamTracker,
    source: Option<Source>,
    parts: VecDeque<Bytes>,
    has_begun: bool,
    end: Option<StreamEnd>,
}

impl Relay {
    /// A relay of the answer that `exchange` began.
    pub fn new(entry: Rc<Entry>, id: RequestId, exchange: Exchange) -> Relay {
        let is_upstream = matches!(exchange.place, Place::Upstream(_));
        let (resumable, first_byte) = (is_upstream, FIRST_EVENT_PATIENCE);
        let policy = StreamPolicy { resumable, first_byte, ..StreamPolicy::default() };
        let tracker = StreamTracker::new(id.clone(), policy, entry.node.now());
        let number = ConnectionNumber::default();
        let source = Source {
            number,
            body: exchange.answer.into_body(),
            connection: exchange.connection,
            splitter: EventSplitter::default(),
            offset: 0,
        };
        Relay {
            entry,
            id,
            address: exchange.address,
            ticket: exchange.ticket,
            is_upstream,
            tracker,
            source: Some(source),
            parts: VecDeque::new(),
            has_begun: false,
            end: None,
        }
    }

    /// Waits until the first event can be delivered, or the stream has failed before it.
    pub async fn begin(&mut self) -> Result<(), Refusal> {
        while self.parts.is_empty() && self.end.is_none() {
            self.advance().await;
        }
        match &self.end {
            Some(StreamEnd::Failed(refusal)) if self.parts.is_empty() => Err(*refusal),
            _ => Ok(()),
        }
    }

    /// Delivers the whole answer through `sender`; tells how it ended.
    pub async fn deliver(mut self, sender: mpsc::Sender<Part>) -> StreamEnd {
        let entry = self.entry.clone();
        loop {
            while let Some(bytes) = self.parts.pop_front() {
                if sender.send(Part::Chunk(bytes)).await.is_err() {
                    self.caller_gone();
                }
            }
            match self.end.take() {
                Some(StreamEnd::Complete) => {
                    let _ = sender.send(Part::End).await;
                    return StreamEnd::Complete;
                }
                Some(StreamEnd::Failed(refusal)) => {
                    let event = error_event(&self.id, &refusal);
                    let _ = sender.send(Part::Chunk(event)).await;
                    let _ = sender.send(Part::End).await;
                    return StreamEnd::Failed(refusal);
                }
                Some(StreamEnd::CallerGone) => return StreamEnd::CallerGone,
                None => {}
            }
            tokio::select! {
                () = self.advance() => {}
                () = sender.closed() => self.caller_gone(),
                () = entry.intake.wait_cut() => self.cut(),
            }
        }
    }

    /// Ends the answer with an explicit error because the instance stops.
    fn cut(&mut self) {
        let refusal = self.entry.cut_refusal(Outcome::Failed);
        for effect in self.feed(Event::GivenUp(refusal)) {
            self.finish_effect(effect);
        }
    }

    fn caller_gone(&mut self) {
        self.parts.clear();
        self.end = Some(StreamEnd::CallerGone);
        for effect in self.feed(Event::CallerGone) {
            self.finish_effect(effect);
        }
    }

    /// Takes the next bytes or the next timeout in.
    async fn advance(&mut self) {
        let now = self.entry.node.now();
        let silent = self.tracker.silent_at() - now;
        let effects = match &mut self.source {
            Some(source) => {
                let number = source.number;
                // A caller that reads slowly lets time pass; what came meanwhile is no silence.
                tokio::select! {
                    biased;
                    frame = source.body.frame() => match frame {
                        Some(Ok(frame)) => {
                            let bytes = frame.into_data().unwrap_or_default();
                            self.take(&bytes)
                        }
                        _ => self.feed(Event::ConnectionLost { connection: number }),
                    },
                    () = sleep(silent) => self.feed(Event::Tick),
                }
            }
            None => {
                sleep(silent).await;
                self.feed(Event::Tick)
            }
        };
        self.carry_out(effects).await;
    }

    fn feed(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.tracker.handle(self.entry.node.now(), event, &mut effects);
        effects
    }

    /// Splits bytes into events and feeds them to the tracker.
    fn take(&mut self, bytes: &Bytes) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(source) = &mut self.source else { return effects };
        source.splitter.push(bytes);
        if source.splitter.is_overfull() {
            let connection = source.number;
            return self.feed(Event::ConnectionLost { connection });
        }
        while let Some(source) = &mut self.source
            && let Some(event) = source.splitter.next_event()
        {
            let (connection, offset) = (source.number, source.offset);
            let request = match event.answer_id() {
                Some(named) if named != self.id.to_string() => {
                    metrics::counter!(CROSSED).increment(1);
                    continue;
                }
                _ => self.id.clone(),
            };
            source.offset += 1;
            let chunk = Chunk { request, offset, length: 1, terminal: event.is_end() };
            let mut step = self.feed(Event::Chunk { connection, chunk });
            if step.iter().any(|it| matches!(it, Effect::Deliver { .. })) {
                self.note_first_event();
                self.parts.push_back(event.bytes);
            }
            effects.append(&mut step);
        }
        effects
    }

    fn note_first_event(&mut self) {
        if self.has_begun {
            return;
        }
        self.has_begun = true;
        self.entry.step(&self.id, Stage::FirstByte);
        self.entry.routed(router::Event::FirstToken(self.ticket));
    }

    async fn carry_out(&mut self, effects: Vec<Effect>) {
        let mut waiting: VecDeque<Effect> = effects.into();
        while let Some(effect) = waiting.pop_front() {
            let Effect::Resume { connection, offset } = effect else {
                self.finish_effect(effect);
                continue;
            };
            tracing::info!(request = %self.id, offset, "stream resumed");
            let more = match self.resume(connection, offset).await {
                Resumption::Begun => Vec::new(),
                Resumption::Lost => self.feed(Event::ConnectionLost { connection }),
                Resumption::Refused => self.feed(Event::ResumeRefused { connection }),
            };
            waiting.extend(more);
        }
    }

    /// Carries out an effect that needs no waiting.
    fn finish_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Complete => {
                self.end = Some(StreamEnd::Complete);
                if let Some(source) = self.source.take() {
                    give_back(&self.entry, source);
                }
            }
            Effect::Fail(refusal) => self.end = Some(StreamEnd::Failed(refusal)),
            Effect::Close { connection } => self.close(connection),
            Effect::CancelUpstream { .. } => self.cancel(),
            // Another upstream is chosen by whoever owns the request.
            Effect::Restart { .. } | Effect::Continue { .. } => {
                let reason = medlarlug_core::refusal::Reason::UpstreamFailed;
                let refusal = self.entry.refusal(reason, Duration::from_secs(1));
                self.end = Some(StreamEnd::Failed(refusal));
            }
            Effect::Deliver { .. } | Effect::Resume { .. } => {}
        }
    }

    fn close(&mut self, connection: ConnectionNumber) {
        if self.source.as_ref().is_some_and(|it| it.number == connection) {
            self.source = None;
            self.entry.client.forget(self.address);
        }
    }

    /// Asks the upstream for the stream from `offset` on, over a new connection.
    async fn resume(&mut self, number: ConnectionNumber, offset: u64) -> Resumption {
        let path = format!("/v1/streams/{}?offset={offset}", self.id);
        let Some(request) = self.request(Method::GET, &path) else { return Resumption::Refused };
        let client = &self.entry.client;
        let result = client.call(self.address, request, Reuse::Never, RESUME_LIMITS).await;
        let (answer, connection) = match result {
            Ok((answer, connection)) if answer.status().is_success() => (answer, connection),
            Ok((answer, _)) => {
                tracing::info!(request = %self.id, status = %answer.status(), "resume refused");
                return Resumption::Refused;
            }
            Err(error @ CallError::Lost { .. }) => {
                tracing::info!(request = %self.id, %error, "resume failed");
                return Resumption::Lost;
            }
            Err(error @ CallError::Silent { .. }) if self.may_wait() => {
                tracing::info!(request = %self.id, %error, "resume late");
                return Resumption::Lost;
            }
            // A new connection that is silent as well tells against the upstream.
            Err(error) => {
                tracing::info!(request = %self.id, %error, "resume failed");
                return Resumption::Refused;
            }
        };
        let body = answer.into_body();
        let splitter = EventSplitter::default();
        self.source = Some(Source { number, body, connection, splitter, offset });
        Resumption::Begun
    }

    /// Whether an engine that is silent is asked for the stream again.
    ///
    /// A stream that has begun can't be had elsewhere; another one is sent elsewhere, unless the
    /// engine is only busy.
    fn may_wait(&self) -> bool {
        self.has_begun || connection_recovery::is_announced(&self.entry, self.address)
    }

    fn request(&self, method: Method, path: &str) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().ok()?;
        let host = self.address.to_string();
        body::insert(request.headers_mut(), header::HOST.as_str(), &host);
        body::insert(request.headers_mut(), headers::REQUEST_ID, &self.id.to_string());
        Some(request)
    }

    /// Tells the upstream that nobody waits for the answer any more.
    fn cancel(&mut self) {
        self.source = None;
        if !self.is_upstream {
            return;
        }
        let path = format!("/v1/streams/{}", self.id);
        let Some(request) = self.request(Method::DELETE, &path) else { return };
        let (client, address, id) = (self.entry.client.clone(), self.address, self.id.clone());
        task::spawn_local(async move {
            if let Err(error) = client.call(address, request, Reuse::Never, CANCEL_LIMITS).await {
                tracing::debug!(request = %id, %error, "cancellation not taken in");
            }
        });
    }
}

/// Reads what is left of a finished body, so that its connection can be used again.
fn give_back(entry: &Rc<Entry>, mut source: Source) {
    let entry = entry.clone();
    task::spawn_local(async move {
        let rest = async { while let Some(Ok(_)) = source.body.frame().await {} };
        if tokio::time::timeout(REST_LIMIT, rest).await.is_ok() {
            entry.client.give_back(source.connection);
        }
    });
}

/// Time that the end of a body may take after the terminal event.
const REST_LIMIT: Duration = Duration::from_secs(1);

/// The event that ends an answer which could not be finished.
fn error_event(id: &RequestId, refusal: &Refusal) -> Bytes {
    let problem = Problem::from_refusal(refusal).of(id);
    let data = serde_json::json!({ "error": problem });
    Bytes::from(format!("event: error\ndata: {data}\n\n"))
}

//! Finds the software version of a stream that its caller resumes, and tells other instances the
//! versions of the own streams; see [`medlarlug_core::gateway::stream_bindings`].
//!
//! The messages are datagrams. A lost question is asked again, a lost binding is made up for by the
//! other holders.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};

use medlarlug_core::{
    gateway::{
        contacts::Contact,
        stream_bindings::{
            self, BindingAnswer, BindingQuery, BindingRecord, StreamBinding, StreamBindings,
        },
        table::{RouteKind, ServiceName},
        upstreams::FORGET_AFTER,
    },
    ids::{InstanceId, RegionId},
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::{
    net::UdpSocket,
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

use super::{Entry, call::Call, plan::Plan};
use crate::{load_exchange, metrics as names};

/// Instances of the own region that are sent the binding of a stream.
const OWN_REGION_HOLDERS: usize = 2;
/// Instances of each other region that are sent it, for callers that move there.
const OTHER_REGION_HOLDERS: usize = 1;
/// Instances of the own region that are asked for a stream: one more than hold it, because one may have
/// just ended.
const ASKED_IN_OWN_REGION: usize = 3;
/// Time after which unanswered questions are asked again: a round trip between regions, and the time
/// that a busy instance takes.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(140);
/// Longest time for which answers are awaited: two such times.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(280);
/// Time between two rounds in which bindings are sent, so that those of many streams share a datagram.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(10);
/// Time after the deadline of a call for which its stream is remembered: clocks and links delay the
/// caller's last attempt.
const RESUME_GRACE: Duration = Duration::from_secs(2);
/// Longest call id under which a stream is remembered, in bytes.
const MAX_CALL_ID_BYTES: usize = 128;
/// Maximum size of the bindings in one datagram, in bytes; below the usual packet size.
const MAX_RECORD_BYTES: usize = 1_200;
/// Upper bound of what the encoding adds to the texts of a record, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 16;

/// A message between entry instances about the software versions of streams.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum StreamMessage {
    /// Bindings that the receiver is to hold.
    Bindings(Vec<BindingRecord>),
    /// A question about one stream.
    Question {
        /// Number of the lookup at the sender.
        lookup: u64,
        scope: LookupScope,
    },
    /// The answer to a question.
    Answer { lookup: u64, answer: BindingAnswer },
}

/// What is to be found out about a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct LookupScope {
    /// The call that brought the first event; `None` if the caller does not name it.
    call: Option<SmolStr>,
    /// The service that the call would be sent to.
    service: ServiceName,
    /// Longest time since the stream began, in milliseconds.
    max_age_ms: u32,
}

/// A lookup that awaits answers.
#[derive(Debug)]
struct Lookup {
    number: u64,
    /// Instances that have not answered.
    unanswered: RefCell<Vec<SocketAddr>>,
    query: RefCell<BindingQuery>,
    has_answer: Notify,
}

impl Lookup {
    /// Waits until the result is certain or all instances have answered.
    async fn wait(&self) {
        while !self.query.borrow().is_decided() && !self.unanswered.borrow().is_empty() {
            self.has_answer.notified().await;
        }
    }
}

/// The streams that this instance remembers, and its lookups.
#[derive(Default)]
pub(super) struct StreamState {
    bindings: RefCell<StreamBindings>,
    /// Ended ones are removed with the next lookup: a caller may leave during one.
    lookups: RefCell<Vec<Weak<Lookup>>>,
    last_lookup: Cell<u64>,
    /// Messages to send.
    outbox: RefCell<Vec<(SocketAddr, StreamMessage)>>,
    wake: Notify,
}

impl StreamState {
    fn begin_lookup(&self, asked: Vec<SocketAddr>, query: BindingQuery) -> Rc<Lookup> {
        let number = self.last_lookup.get() + 1;
        self.last_lookup.set(number);
        let lookup = Rc::new(Lookup {
            number,
            unanswered: RefCell::new(asked),
            query: RefCell::new(query),
            has_answer: Notify::new(),
        });
        let mut lookups = self.lookups.borrow_mut();
        lookups.retain(|it| it.strong_count() > 0);
        lookups.push(Rc::downgrade(&lookup));
        lookup
    }

    fn send(&self, to: SocketAddr, message: StreamMessage) {
        self.outbox.borrow_mut().push((to, message));
        self.wake.notify_one();
    }

    /// Has bindings sent that have become necessary, because the view or the known versions changed.
    pub(super) fn review(&self) {
        if !self.bindings.borrow().is_empty() {
            self.wake.notify_one();
        }
    }
}

impl Entry {
    /// Remembers the software version of a stream whose first event at this instance is passed on.
    pub(super) fn remember_stream(&self, call: &Call, plan: &Plan) {
        let stream = call.resumed_call.as_ref().unwrap_or(&call.id);
        let Some(software) = plan.version.bound() else { return };
        if plan.route.kind != (RouteKind::Stream { resumable: true }) || stream.is_empty() {
            return;
        }
        if stream.len() > MAX_CALL_ID_BYTES {
            tracing::info!(request = %call.id, bytes = stream.len(), "call id too long; its stream can't be resumed by its caller");
            return;
        }
        let binding = StreamBinding { service: plan.service.clone(), software: software.clone() };
        let (max_age, expires) = (plan.route.timeout, plan.deadline + RESUME_GRACE);
        let mut bindings = self.streams.bindings.borrow_mut();
        if !bindings.bind(self.now(), stream, binding, max_age, expires) {
            metrics::counter!(names::FORGOTTEN_STREAMS).increment(1);
        }
        drop(bindings);
        if self.needs_holders(&plan.service, max_age) {
            self.streams.wake.notify_one();
        }
    }

    /// Finds the version of the stream that a call resumes, and binds the plan to it. Returns false if
    /// the version stays unknown, or the route no longer leads to the service of the stream.
    pub(super) async fn resolve_stream_version(
        self: &Rc<Entry>,
        call: &Call,
        plan: &mut Plan,
    ) -> bool {
        let began = self.now();
        let scope = LookupScope {
            call: call.resumed_call.clone(),
            service: plan.service.clone(),
            max_age_ms: millis(plan.route.timeout),
        };
        let own = self.answer_about(&scope);
        let is_named = scope.call.is_some();
        let call_bytes = scope.call.as_ref().map_or(0, |call| call.len());
        let (found, asked) = match own {
            BindingAnswer::Bound(binding) => (Some(binding), 0),
            // Without the name of the call, no instance can know more than the versions that serve.
            BindingAnswer::Several if !is_named => (None, 0),
            own => {
                let mut query = BindingQuery::new(plan.service.clone(), is_named);
                query.record(own.clone());
                match is_named || own == BindingAnswer::Unsure {
                    // No instance remembers a call with a longer id.
                    true if call_bytes <= MAX_CALL_ID_BYTES => self.ask_holders(scope, query).await,
                    _ => (query.result(), 0),
                }
            }
        };
        let targets = &plan.route.targets;
        let found = found.filter(|found| targets.iter().any(|it| it.service == found.service));
        let outcome = if found.is_some() { "found" } else { "unknown" };
        metrics::counter!(names::RESUMED_STREAMS, "version" => outcome).increment(1);
        tracing::info!(
            request = %call.id,
            resumed = call.resumed_call.as_ref().map(tracing::field::display),
            after = plan.last_event,
            software = found.as_ref().map(|it| tracing::field::display(&it.software)),
            asked,
            took_ms = millis(self.now() - began),
            "caller resumes a stream"
        );
        let Some(StreamBinding { service, software }) = found else { return false };
        plan.service = service;
        plan.version.bind(Some(&software));
        true
    }

    /// Asks other instances about a stream. Returns the result, and how many were asked.
    async fn ask_holders(
        self: &Rc<Entry>,
        scope: LookupScope,
        query: BindingQuery,
    ) -> (Option<StreamBinding>, usize) {
        let call = scope.call.as_deref().unwrap_or_default();
        let asked = self.holders_of(call, &self.other_entries(), ASKED_IN_OWN_REGION);
        let lookup = self.streams.begin_lookup(asked.clone(), query);
        let began = Instant::now();
        for deadline in [began + ASK_AGAIN_AFTER, began + ANSWER_TIMEOUT] {
            for to in lookup.unanswered.borrow().iter() {
                let scope = scope.clone();
                self.streams.send(*to, StreamMessage::Question { lookup: lookup.number, scope });
            }
            if timeout_at(deadline, lookup.wait()).await.is_ok() {
                break;
            }
        }
        // An instance that no other one answers may be cut off, and its view out of date.
        let is_alone = !asked.is_empty() && lookup.unanswered.borrow().len() == asked.len();
        let result = lookup.query.borrow().result().filter(|_| !is_alone);
        (result, asked.len())
    }

    /// What this instance can tell about a stream.
    fn answer_about(&self, scope: &LookupScope) -> BindingAnswer {
        let LookupScope { call, service, max_age_ms } = scope;
        let bindings = self.streams.bindings.borrow();
        match call.as_ref().and_then(|call| bindings.get(self.now(), call)) {
            Some(binding) => BindingAnswer::Bound(binding.clone()),
            None => {
                let max_age = Duration::from_millis((*max_age_ms).into());
                self.served_versions(service, max_age, call.is_some())
            }
        }
    }

    /// Which versions of a service have served for `max_age`. A stream that `is_named` can also be known
    /// to holders, so only a view without any gap counts for it.
    fn served_versions(
        &self,
        service: &ServiceName,
        max_age: Duration,
        is_named: bool,
    ) -> BindingAnswer {
        let now = self.now();
        let upstreams = self.upstreams.borrow();
        let only = match upstreams.software_versions(service)[..] {
            [] => return BindingAnswer::Unsure,
            [Some(version)] => version.clone(),
            _ => return BindingAnswer::Several,
        };
        let view = self.view.borrow();
        let has_view = if is_named { view.is_whole(now) } else { view.is_settled(now) };
        match has_view && max_age <= self.uptime().min(FORGET_AFTER) {
            true => BindingAnswer::Only(only),
            false => BindingAnswer::Unsure,
        }
    }

    /// Whether streams of a service that may last for `max_age` have to be known to holders: instances
    /// may not be able to tell that only one version has served.
    fn needs_holders(&self, service: &ServiceName, max_age: Duration) -> bool {
        !matches!(self.served_versions(service, max_age, true), BindingAnswer::Only(_))
    }

    /// The addresses of the holders of a stream: `in_own_region` of the own region, and some of each
    /// other one.
    fn holders_of(
        &self,
        call: &str,
        regions: &[RegionEntries],
        in_own_region: usize,
    ) -> Vec<SocketAddr> {
        let settings = self.settings.borrow();
        let holders = regions.iter().flat_map(|entries| {
            let count = match entries.region == settings.info.region {
                true => in_own_region,
                false => OTHER_REGION_HOLDERS,
            };
            entries.holders(call, count)
        });
        holders.collect()
    }

    /// The ready entry instances other than this one, by region.
    fn other_entries(&self) -> Vec<RegionEntries> {
        let own = self.id();
        let contacts = self.contacts.borrow();
        let is_holder = |it: &&Contact| it.status.ready && it.info.id != own;
        let mut regions: Vec<RegionEntries> = Vec::new();
        for Contact { info, .. } in contacts.live_entries(self.now()).filter(is_holder) {
            let at = match regions.binary_search_by(|it| it.region.cmp(&info.region)) {
                Ok(at) => at,
                Err(at) => {
                    regions.insert(at, RegionEntries::new(info.region.clone()));
                    at
                }
            };
            regions[at].ids.push(info.id.clone());
            regions[at].addresses.push(info.internal);
        }
        regions
    }

    /// The bindings to send now, by receiver.
    fn bindings_to_send(&self) -> Vec<(SocketAddr, Vec<BindingRecord>)> {
        if !self.streams.bindings.borrow().has_unpublished() {
            return Vec::new();
        }
        let regions = self.other_entries();
        let own = self.settings.borrow().info.region.clone();
        // An instance that has just started learns of the others within a moment.
        if self.is_starting() && !regions.iter().any(|it| it.region == own) {
            return Vec::new();
        }
        let mut checked: Vec<(ServiceName, Duration, bool)> = Vec::new();
        let is_needed = |service: &ServiceName, max_age: Duration| {
            let known = checked.iter().find(|it| it.0 == *service && it.1 == max_age);
            known.map(|it| it.2).unwrap_or_else(|| {
                let is_needed = self.needs_holders(service, max_age);
                checked.push((service.clone(), max_age, is_needed));
                is_needed
            })
        };
        let records = self.streams.bindings.borrow_mut().take_unpublished(self.now(), is_needed);
        let mut by_receiver: Vec<(SocketAddr, Vec<BindingRecord>)> = Vec::new();
        for record in records {
            for to in self.holders_of(&record.call, &regions, OWN_REGION_HOLDERS) {
                match by_receiver.binary_search_by(|it| it.0.cmp(&to)) {
                    Ok(at) => by_receiver[at].1.push(record.clone()),
                    Err(at) => by_receiver.insert(at, (to, vec![record.clone()])),
                }
            }
        }
        by_receiver
    }

    /// Forgets streams that their callers no longer resume.
    pub(super) fn expire_streams(&self) {
        self.streams.bindings.borrow_mut().forget_expired(self.now());
        metrics::gauge!(names::REMEMBERED_STREAMS).set(self.streams.bindings.borrow().len() as f64);
    }

    /// Handles a message about streams from another instance.
    pub(crate) fn on_stream_message(&self, from: SocketAddr, message: StreamMessage) {
        match message {
            StreamMessage::Bindings(records) => {
                let mut bindings = self.streams.bindings.borrow_mut();
                for record in records {
                    if !bindings.learn(self.now(), record) {
                        metrics::counter!(names::FORGOTTEN_STREAMS).increment(1);
                    }
                }
            }
            StreamMessage::Question { lookup, scope } => {
                let answer = self.answer_about(&scope);
                self.streams.send(from, StreamMessage::Answer { lookup, answer });
            }
            StreamMessage::Answer { lookup, answer } => {
                let lookups = self.streams.lookups.borrow();
                let mut open = lookups.iter().filter_map(Weak::upgrade);
                // An answer to a repeated question may arrive after the lookup has ended.
                let Some(lookup) = open.find(|it| it.number == lookup) else { return };
                let mut unanswered = lookup.unanswered.borrow_mut();
                if unanswered.contains(&from) {
                    unanswered.retain(|it| *it != from);
                    lookup.query.borrow_mut().record(answer);
                    lookup.has_answer.notify_one();
                }
            }
        }
    }
}

/// Entry instances of a region: their ids, and the addresses in the same order.
struct RegionEntries {
    region: RegionId,
    ids: Vec<InstanceId>,
    addresses: Vec<SocketAddr>,
}

impl RegionEntries {
    fn new(region: RegionId) -> RegionEntries {
        RegionEntries { region, ids: Vec::new(), addresses: Vec::new() }
    }

    fn holders(&self, call: &str, count: usize) -> Vec<SocketAddr> {
        let chosen = stream_bindings::holders(call, &self.ids, count);
        let places = chosen.iter().filter_map(|id| self.ids.iter().position(|it| it == id));
        places.map(|at| self.addresses[at]).collect()
    }
}

/// Divides records into lists that each fit into a datagram.
fn into_datagrams(records: Vec<BindingRecord>) -> Vec<Vec<BindingRecord>> {
    let mut datagrams: Vec<Vec<BindingRecord>> = Vec::new();
    let mut bytes = 0;
    for record in records {
        let StreamBinding { service, software } = &record.binding;
        let size = RECORD_OVERHEAD_BYTES
            + record.call.len()
            + service.0.len()
            + software.to_string().len();
        match datagrams.last_mut() {
            Some(last) if bytes + size <= MAX_RECORD_BYTES => {
                bytes += size;
                last.push(record);
            }
            _ => {
                bytes = size;
                datagrams.push(vec![record]);
            }
        }
    }
    datagrams
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Sends messages about streams for as long as the process runs.
pub(super) async fn run(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    loop {
        entry.streams.wake.notified().await;
        let messages = std::mem::take(&mut *entry.streams.outbox.borrow_mut());
        messages.into_iter().for_each(|(to, message)| {
            load_exchange::send_stream_message(&socket, message, to);
        });
        for (to, records) in entry.bindings_to_send() {
            for records in into_datagrams(records) {
                let message = StreamMessage::Bindings(records);
                load_exchange::send_stream_message(&socket, message, to);
            }
        }
        sleep(PUBLISH_INTERVAL).await;
    }
}

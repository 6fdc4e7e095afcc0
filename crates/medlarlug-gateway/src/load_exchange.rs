//! Exchanges the in-flight load at upstreams between the entry instances of a region.
//!
//! [`medlarlug_core::gateway::load_exchange`] decides who reports to whom. The messages are
//! datagrams. Most hold the complete load and replace the message before, so a lost one only delays
//! the others' view. A long prompt changes the queue of its engine so much that the other instances
//! must know it before they place their own, and so does a call to a plain service with few slots:
//! such changes are sent at once, as the load of that upstream alone.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use medlarlug_core::{
    gateway::{
        engine_memory::BookingReport,
        load_exchange::{COLLECTOR_TIMEOUT, ExchangePlan, Member, Role},
        pace::RampNotice,
        peer_loads::{LoadReport, ReportSource, UpstreamKey, load_of},
        quota::QuotaMessage,
    },
    ids::{InstanceId, UpstreamId, ZoneId},
    time::Time,
};
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, sync::Notify, time::sleep};

use crate::entry::{Entry, LimitMessage, LivenessMessage, StreamMessage};

/// Time between two complete reports when the instances of a small region report to each other.
const DIRECT_INTERVAL: Duration = Duration::from_millis(80);
/// Time between two complete reports to collectors, and between two complete aggregates.
const AGGREGATE_INTERVAL: Duration = Duration::from_millis(240);
/// Time after which an unchanged report is sent again. It is a fraction of the lifetime of reports.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two rounds in which a collector forwards changes: a fraction of the time in which
/// an engine processes a long prompt.
const FORWARD_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a collector sends aggregates to an instance that requested them.
const SUBSCRIPTION_LIFETIME: Duration = Duration::from_secs(1);
/// Longest datagram, in bytes; below the usual packet size, so that it is not fragmented.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum number of engines in one report of bookings without parts. One takes up to 13 bytes.
const MAX_DATAGRAM_BOOKINGS: usize = 100;
/// Time for which reports without bookings are sent after the last booking has ended, so that a lost
/// one leaves nobody with the bookings before it.
const EMPTY_REPORT_TIME: Duration = Duration::from_secs(2);
/// Maximum number of loads in one datagram. One load takes up to ten bytes.
const MAX_DATAGRAM_LOADS: usize = 130;

/// A message between entry instances.
#[derive(Debug, Serialize, Deserialize)]
enum Datagram {
    /// The in-flight load of one instance.
    Report {
        from: InstanceId,
        /// Whether `loads` holds all upstreams at which the instance has calls, or only changed
        /// ones.
        is_whole: bool,
        /// Whether the sender requests aggregates from the receiver.
        #[serde(rename = "asks")]
        wants_aggregate: bool,
        loads: Vec<LoadReport>,
    },
    /// The aggregate load of several instances: those of a zone, or else all instances of the
    /// region except the receiver.
    #[serde(rename = "Sum")]
    Aggregate {
        zone: Option<ZoneId>,
        is_whole: bool,
        /// Number of instances that the aggregate covers.
        instances: usize,
        loads: Vec<LoadReport>,
    },
    /// A message about the rate limits that upstreams name.
    Limit(LimitMessage),
    /// A message about the software versions of streams.
    Stream(StreamMessage),
    /// A message about the ramp of an upstream. Earlier builds can't decode it and drop it.
    Ramp(RampNotice),
    /// A message about the quotas of teams. Builds without quotas can't decode it and go on.
    Quota(QuotaMessage),
    /// What calls have booked in the memory of engines.
    Bookings {
        from: BookingSource,
        /// Whether `reports` holds all engines with bookings, or only changed ones.
        is_whole: bool,
        reports: Vec<BookingReport>,
    },
    /// A message about the processes of upstreams. Earlier builds can't decode it and drop it.
    Liveness(LivenessMessage),
}

/// Whose bookings a message holds.
#[derive(Debug, Serialize, Deserialize)]
enum BookingSource {
    /// Those of one instance.
    Instance(InstanceId),
    /// Those of all instances of a zone.
    Zone(ZoneId),
    /// Those of all instances of the region except the receiver.
    Region,
}

/// Id and internal address of another instance.
type Peer = (InstanceId, SocketAddr);

/// The state of the load exchange at one instance.
#[derive(Debug, Default)]
pub(crate) struct Exchange {
    /// Upstreams whose changed load is to be reported at once, sorted.
    changed: RefCell<Vec<UpstreamId>>,
    has_changed: Notify,
    role: Cell<Option<Role>>,
    /// The instances that this one reports to. If they are collectors, in order of preference.
    report_to: RefCell<Vec<Peer>>,
    /// The instances that receive the aggregate of the own zone.
    aggregate_to: RefCell<Vec<Peer>>,
    /// Instances that requested aggregates, and when each last did so; sorted.
    subscriptions: RefCell<Vec<(Peer, Time)>>,
    /// At a collector: upstreams whose load has changed since changes were last forwarded, sorted.
    to_forward: RefCell<Vec<UpstreamKey>>,
    /// The part of `to_forward` that was reported by the own zone; changes from other zones are not
    /// sent back to them.
    zone_updates: RefCell<Vec<UpstreamKey>>,
    has_to_forward: Notify,
    /// When the preferred collector last sent an aggregate.
    aggregate_received: Cell<Option<Time>>,
    /// Number of live entry instances of the region, this one included.
    instances: Cell<usize>,
    /// Engines whose changed bookings are to be reported at once, sorted.
    changed_bookings: RefCell<Vec<UpstreamId>>,
    /// At a collector: engines whose bookings have changed since changes were last forwarded, sorted.
    bookings_to_forward: RefCell<Vec<UpstreamKey>>,
    /// The part of `bookings_to_forward` that was reported by the own zone.
    zone_bookings: RefCell<Vec<UpstreamKey>>,
}

/// When a list of bookings was last not empty.
#[derive(Debug, Default)]
struct LastBooked(Option<Time>);

impl LastBooked {
    /// Whether a list of bookings has to be sent: something is booked, or was until recently.
    fn is_due(&mut self, now: Time, reports: &[BookingReport]) -> bool {
        if !reports.is_empty() {
            self.0 = Some(now);
        }
        self.0.is_some_and(|booked| now - booked < EMPTY_REPORT_TIME)
    }
}

impl Exchange {
    /// Reports the load of an upstream to the peers at once.
    pub(crate) fn report_at_once(&self, upstream: &UpstreamId) {
        insert_sorted(&mut self.changed.borrow_mut(), upstream.clone());
        self.has_changed.notify_one();
        self.forward(UpstreamKey::new(upstream), true);
    }

    /// Reports the bookings at an engine to the peers at once.
    pub(crate) fn report_bookings_at_once(&self, upstream: &UpstreamId) {
        insert_sorted(&mut self.changed_bookings.borrow_mut(), upstream.clone());
        self.has_changed.notify_one();
        self.forward_bookings(UpstreamKey::new(upstream), true);
    }

    /// At a collector: queues the bookings at an engine for forwarding; `is_own_zone` tells whether
    /// the report came from the own zone.
    fn forward_bookings(&self, upstream: UpstreamKey, is_own_zone: bool) {
        if !matches!(self.role.get(), Some(Role::Collector { .. })) {
            return;
        }
        insert_sorted(&mut self.bookings_to_forward.borrow_mut(), upstream);
        if is_own_zone {
            insert_sorted(&mut self.zone_bookings.borrow_mut(), upstream);
        }
        self.has_to_forward.notify_one();
    }

    /// At a collector: queues the load of an upstream for forwarding; `is_own_zone` tells whether
    /// the report came from the own zone.
    fn forward(&self, upstream: UpstreamKey, is_own_zone: bool) {
        if !matches!(self.role.get(), Some(Role::Collector { .. })) {
            return;
        }
        insert_sorted(&mut self.to_forward.borrow_mut(), upstream);
        if is_own_zone {
            insert_sorted(&mut self.zone_updates.borrow_mut(), upstream);
        }
        self.has_to_forward.notify_one();
    }

    /// Number of live entry instances of the region, this one included, as of the last round.
    pub(crate) fn instances(&self) -> usize {
        self.instances.get().max(1)
    }

    /// Waits for changes that have to be reported at once: the upstreams whose load has changed, and
    /// the engines whose bookings have.
    async fn next_changes(&self) -> (Vec<UpstreamId>, Vec<UpstreamId>) {
        self.has_changed.notified().await;
        let changed = std::mem::take(&mut *self.changed.borrow_mut());
        (changed, std::mem::take(&mut *self.changed_bookings.borrow_mut()))
    }

    /// Assigns roles from the instances that are alive now.
    fn plan(&self, own: &Member, region: &[(Member, SocketAddr)]) {
        let members: Vec<Member> = region.iter().map(|it| it.0.clone()).collect();
        let plan = ExchangePlan::new(own, &members);
        let addressed = |ids: &[InstanceId]| -> Vec<Peer> {
            let known = ids.iter().filter_map(|id| region.iter().find(|it| it.0.id == *id));
            known.map(|(member, address)| (member.id.clone(), *address)).collect()
        };
        *self.report_to.borrow_mut() = addressed(&plan.report_to);
        *self.aggregate_to.borrow_mut() = addressed(&plan.aggregate_to);
        self.instances.set(members.len());
        if self.role.replace(Some(plan.role)) != Some(plan.role) {
            let instances = members.len();
            tracing::info!(role = ?plan.role, instances, "role in the load exchange changed");
        }
    }

    /// Whether to request aggregates from the collector at position `place`. The others are asked
    /// only while the preferred one is unresponsive.
    fn wants_aggregate(&self, now: Time, place: usize) -> bool {
        let is_unresponsive =
            self.aggregate_received.get().is_none_or(|received| now - received > COLLECTOR_TIMEOUT);
        self.role.get() == Some(Role::Reporter) && (place == 0 || is_unresponsive)
    }

    fn subscribe(&self, now: Time, peer: Peer) {
        let mut subscriptions = self.subscriptions.borrow_mut();
        match subscriptions.binary_search_by(|it| it.0.cmp(&peer)) {
            Ok(at) => subscriptions[at].1 = now,
            Err(at) => subscriptions.insert(at, (peer, now)),
        }
    }

    /// The instances that have requested aggregates within [`SUBSCRIPTION_LIFETIME`].
    fn subscribers(&self, now: Time) -> Vec<Peer> {
        let mut subscriptions = self.subscriptions.borrow_mut();
        subscriptions.retain(|it| now - it.1 < SUBSCRIPTION_LIFETIME);
        subscriptions.iter().map(|it| it.0.clone()).collect()
    }
}

/// Inserts an item into a sorted list unless it is present.
fn insert_sorted<T: Ord>(list: &mut Vec<T>, item: T) {
    if let Err(at) = list.binary_search(&item) {
        list.insert(at, item);
    }
}

/// Opens the UDP socket of the load exchange.
///
/// # Errors
///
/// The address can't be bound.
pub(crate) async fn open(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}

/// Sends complete reports and aggregates for as long as the process runs.
pub(crate) async fn send_reports(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    let (mut last, mut reported) = (Vec::new(), Time::ZERO);
    let mut bookings = BookingRounds::default();
    loop {
        let exchange = entry.exchange();
        let (own, region) = entry.region_members();
        exchange.plan(&own, &region);
        let now = entry.now();
        let loads = entry.load_report();
        if loads != last || now - reported >= KEEPALIVE_INTERVAL {
            report(&entry, &socket, true, &loads);
            (last, reported) = (loads, now);
        }
        if entry.has_pressure() {
            bookings.send(&entry, &socket, now);
        }
        match exchange.role.get() {
            Some(Role::Collector { place }) => {
                entry.expire_peer_loads();
                // The other collectors take over complete aggregates if the first one fails.
                send_aggregate(&entry, &socket, None);
                if place <= 1 {
                    send_zone_aggregate(&entry, &socket, None);
                }
                sleep(AGGREGATE_INTERVAL).await;
            }
            Some(Role::Reporter) => sleep(AGGREGATE_INTERVAL).await,
            Some(Role::Direct) | None => sleep(DIRECT_INTERVAL).await,
        }
    }
}

/// Reports changes that peers have to know at once, for as long as the process runs.
pub(crate) async fn send_changes(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    loop {
        let (upstreams, booked) = entry.exchange().next_changes().await;
        if !upstreams.is_empty() {
            report(&entry, &socket, false, &entry.load_report_of(&upstreams));
        }
        if !booked.is_empty() {
            report_bookings(&entry, &socket, false, entry.booking_report_of(&booked));
        }
    }
}

/// The complete reports and aggregates of bookings.
#[derive(Debug, Default)]
struct BookingRounds {
    last: Vec<BookingReport>,
    reported: Time,
    own: LastBooked,
    zone: LastBooked,
    region: LastBooked,
}

impl BookingRounds {
    /// Sends what this instance reports in one round, if anything is booked.
    fn send(&mut self, entry: &Entry, socket: &UdpSocket, now: Time) {
        entry.expire_bookings();
        let own = entry.booking_report();
        let is_news = own != self.last || now - self.reported >= KEEPALIVE_INTERVAL;
        if self.own.is_due(now, &own) && is_news {
            report_bookings(entry, socket, true, own.clone());
            (self.last, self.reported) = (own, now);
        }
        let Some(Role::Collector { place }) = entry.exchange().role.get() else { return };
        if self.region.is_due(now, &entry.bookings_for(&entry.id(), None)) {
            send_bookings(entry, socket, None);
        }
        if place <= 1 && self.zone.is_due(now, &entry.zone_bookings(None)) {
            send_zone_bookings(entry, socket, None);
        }
    }
}

/// Forwards changes if this instance is a collector, for as long as the process runs.
pub(crate) async fn forward_changes(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    let exchange = entry.exchange();
    loop {
        exchange.has_to_forward.notified().await;
        let to_forward = std::mem::take(&mut *exchange.to_forward.borrow_mut());
        let zone_updates = std::mem::take(&mut *exchange.zone_updates.borrow_mut());
        let bookings = std::mem::take(&mut *exchange.bookings_to_forward.borrow_mut());
        let zone_bookings = std::mem::take(&mut *exchange.zone_bookings.borrow_mut());
        if let Some(Role::Collector { place }) = exchange.role.get() {
            if !to_forward.is_empty() {
                send_aggregate(&entry, &socket, Some(&to_forward));
            }
            if place == 0 && !zone_updates.is_empty() {
                send_zone_aggregate(&entry, &socket, Some(&zone_updates));
            }
            if !bookings.is_empty() {
                send_bookings(&entry, &socket, Some(&bookings));
            }
            if place == 0 && !zone_bookings.is_empty() {
                send_zone_bookings(&entry, &socket, Some(&zone_bookings));
            }
        }
        sleep(FORWARD_INTERVAL).await;
    }
}

fn report(entry: &Entry, socket: &UdpSocket, is_whole: bool, loads: &[LoadReport]) {
    let exchange = entry.exchange();
    let now = entry.now();
    for (place, peer) in exchange.report_to.borrow().iter().enumerate() {
        let (from, wants_aggregate) = (entry.id(), exchange.wants_aggregate(now, place));
        let loads = truncate(loads.to_vec());
        send(socket, &Datagram::Report { from, is_whole, wants_aggregate, loads }, peer.1);
    }
}

/// Sends the bookings of this instance to those that it reports to.
fn report_bookings(entry: &Entry, socket: &UdpSocket, is_whole: bool, reports: Vec<BookingReport>) {
    let reports = fit(reports);
    for peer in entry.exchange().report_to.borrow().iter() {
        let (from, reports) = (BookingSource::Instance(entry.id()), reports.clone());
        send(socket, &Datagram::Bookings { from, is_whole, reports }, peer.1);
    }
}

/// Sends each subscriber the bookings of all instances but itself: at all engines, or only at those in
/// `only`.
fn send_bookings(entry: &Entry, socket: &UdpSocket, only: Option<&[UpstreamKey]>) {
    for (id, address) in entry.exchange().subscribers(entry.now()) {
        let reports = fit(entry.bookings_for(&id, only));
        let (from, is_whole) = (BookingSource::Region, only.is_none());
        send(socket, &Datagram::Bookings { from, is_whole, reports }, address);
    }
}

/// Sends the bookings of the own zone to other zones: at all engines, or only at those in `only`.
fn send_zone_bookings(entry: &Entry, socket: &UdpSocket, only: Option<&[UpstreamKey]>) {
    let (own, _) = entry.region_members();
    let (from, reports) = (BookingSource::Zone(own.zone), fit(entry.zone_bookings(only)));
    let datagram = Datagram::Bookings { from, is_whole: only.is_none(), reports };
    entry.exchange().aggregate_to.borrow().iter().for_each(|it| send(socket, &datagram, it.1));
}

/// Shortens reports of bookings to what fits into a datagram. Without their lists of parts they count
/// too much rather than too little. Of more engines than fit, the fullest are kept.
fn fit(reports: Vec<BookingReport>) -> Vec<BookingReport> {
    // The sender's id and the other fields take up to 80 bytes.
    let fits = |it: &Vec<BookingReport>| {
        postcard::to_stdvec(it).is_ok_and(|bytes| bytes.len() + 80 <= MAX_DATAGRAM_BYTES)
    };
    if fits(&reports) {
        return reports;
    }
    let mut reports: Vec<BookingReport> =
        reports.iter().map(BookingReport::without_parts).collect();
    if reports.len() > MAX_DATAGRAM_BOOKINGS {
        tracing::warn!(engines = reports.len(), "report of bookings cut to the fullest engines");
        reports.sort_by_key(|it| std::cmp::Reverse(it.tokens));
        reports.truncate(MAX_DATAGRAM_BOOKINGS);
        reports.sort_by_key(|it| it.upstream);
    }
    reports
}

/// Sends each subscriber the aggregate load of all instances but itself: all upstreams, or only
/// those in `changed`.
fn send_aggregate(entry: &Entry, socket: &UdpSocket, changed: Option<&[UpstreamKey]>) {
    for (id, address) in entry.exchange().subscribers(entry.now()) {
        let (instances, loads) = entry.aggregate_for(&id);
        send(socket, &aggregate(None, instances, loads, changed), address);
    }
}

/// Sends the aggregate load of the own zone to other zones: all upstreams, or only those in
/// `changed`.
fn send_zone_aggregate(entry: &Entry, socket: &UdpSocket, changed: Option<&[UpstreamKey]>) {
    let (zone, instances, loads) = entry.zone_aggregate();
    let aggregate = aggregate(Some(zone), instances, loads, changed);
    entry.exchange().aggregate_to.borrow().iter().for_each(|it| send(socket, &aggregate, it.1));
}

fn aggregate(
    zone: Option<ZoneId>,
    instances: usize,
    loads: Vec<LoadReport>,
    changed: Option<&[UpstreamKey]>,
) -> Datagram {
    let is_whole = changed.is_none();
    let loads = match changed {
        Some(changed) => changed.iter().map(|it| load_of(&loads, *it)).collect(),
        None => loads,
    };
    Datagram::Aggregate { zone, is_whole, instances, loads: truncate(loads) }
}

/// Truncates `loads` to what fits into a datagram. The heaviest are kept, because they matter most
/// to placement.
fn truncate(mut loads: Vec<LoadReport>) -> Vec<LoadReport> {
    if loads.len() > MAX_DATAGRAM_LOADS {
        tracing::debug!(loads = loads.len(), "load report truncated to the heaviest loads");
        loads.sort_by_key(|it| std::cmp::Reverse((it.prefill_tokens, it.running)));
        loads.truncate(MAX_DATAGRAM_LOADS);
        loads.sort_by_key(|it| it.upstream);
    }
    loads
}

fn send(socket: &UdpSocket, datagram: &Datagram, to: SocketAddr) {
    let bytes = match postcard::to_stdvec(datagram) {
        Ok(bytes) => bytes,
        Err(error) => return tracing::error!(%error, "failed to encode a load report"),
    };
    let counted = match datagram {
        Datagram::Bookings { .. } => crate::metrics::BOOKING_BYTES,
        _ => crate::metrics::LOAD_BYTES,
    };
    metrics::counter!(counted).increment(bytes.len() as u64);
    if let Err(error) = socket.try_send_to(&bytes, to) {
        tracing::debug!(%error, peer = %to, "load report not sent");
    }
}

/// Sends a message about the rate limit of an upstream.
pub(crate) fn send_limit(socket: &UdpSocket, message: LimitMessage, to: SocketAddr) {
    send(socket, &Datagram::Limit(message), to);
}

/// Sends a message about the processes of upstreams.
pub(crate) fn send_liveness_message(socket: &UdpSocket, message: LivenessMessage, to: SocketAddr) {
    send(socket, &Datagram::Liveness(message), to);
}

/// Sends a message about the software versions of streams.
pub(crate) fn send_stream_message(socket: &UdpSocket, message: StreamMessage, to: SocketAddr) {
    send(socket, &Datagram::Stream(message), to);
}

/// Sends a message about the ramp of an upstream.
pub(crate) fn send_ramp_notice(socket: &UdpSocket, notice: RampNotice, to: SocketAddr) {
    send(socket, &Datagram::Ramp(notice), to);
}

/// Sends a message about the quotas of teams.
pub(crate) fn send_quota_message(socket: &UdpSocket, message: QuotaMessage, to: SocketAddr) {
    send(socket, &Datagram::Quota(message), to);
}

/// Receives datagrams for as long as the process runs.
pub(crate) async fn receive_datagrams(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((bytes, from)) => match postcard::from_bytes(&buffer[..bytes]) {
                Ok(datagram) => handle_datagram(&entry, &socket, from, datagram),
                Err(error) => tracing::debug!(%error, "failed to decode a load report"),
            },
            Err(error) => {
                tracing::debug!(%error, "failed to receive a load report");
                sleep(DIRECT_INTERVAL).await;
            }
        }
    }
}

/// Handles a datagram if it matches the role of this instance. Otherwise it is dropped: the sender
/// may not know yet that the role has changed.
fn handle_datagram(entry: &Entry, socket: &UdpSocket, address: SocketAddr, datagram: Datagram) {
    let exchange = entry.exchange();
    let now = entry.now();
    let (source, is_whole, instances, loads) = match (datagram, exchange.role.get()) {
        (Datagram::Limit(message), _) => return entry.on_limit_message(address, message),
        (Datagram::Stream(message), _) => return entry.on_stream_message(address, message),
        (Datagram::Liveness(message), _) => {
            for answer in entry.on_liveness_message(address, message) {
                send_liveness_message(socket, answer, address);
            }
            return;
        }
        (Datagram::Ramp(notice), _) => return entry.on_ramp_notice(address, notice),
        (Datagram::Quota(message), _) => return entry.on_quota_message(address, message),
        (Datagram::Bookings { from, is_whole, reports }, role) => {
            return handle_bookings(entry, role, from, is_whole, reports);
        }
        (
            Datagram::Report { from, is_whole, wants_aggregate, loads },
            Some(Role::Direct | Role::Collector { .. }),
        ) => {
            if wants_aggregate {
                exchange.subscribe(now, (from.clone(), address));
            }
            (ReportSource::Peer(from), is_whole, 1, loads)
        }
        (Datagram::Aggregate { zone: None, is_whole, instances, loads }, Some(Role::Reporter)) => {
            let is_first = exchange.report_to.borrow().first().is_some_and(|it| it.1 == address);
            if is_first {
                exchange.aggregate_received.set(Some(now));
            }
            (ReportSource::Collector, is_whole, instances, loads)
        }
        (
            Datagram::Aggregate { zone: Some(zone), is_whole, instances, loads },
            Some(Role::Collector { .. }),
        ) => (ReportSource::Zone(zone), is_whole, instances, loads),
        _ => return,
    };
    if is_whole {
        entry.apply_loads(source, instances, loads);
    } else {
        let is_own_zone = matches!(source, ReportSource::Peer(_));
        loads.iter().for_each(|load| exchange.forward(load.upstream, is_own_zone));
        entry.apply_load_changes(&source, loads);
    }
}

/// Handles bookings of other instances if they match the role of this instance.
fn handle_bookings(
    entry: &Entry,
    role: Option<Role>,
    from: BookingSource,
    is_whole: bool,
    reports: Vec<BookingReport>,
) {
    let source = match (from, role) {
        (BookingSource::Instance(id), Some(Role::Direct | Role::Collector { .. })) => {
            ReportSource::Peer(id)
        }
        (BookingSource::Zone(zone), Some(Role::Collector { .. })) => ReportSource::Zone(zone),
        (BookingSource::Region, Some(Role::Reporter)) => ReportSource::Collector,
        _ => return,
    };
    if !is_whole {
        let is_own_zone = matches!(source, ReportSource::Peer(_));
        let exchange = entry.exchange();
        reports.iter().for_each(|it| exchange.forward_bookings(it.upstream, is_own_zone));
    }
    entry.apply_bookings(source, is_whole, reports);
}

//! Tells the entry instances of the own region what this one has under way at upstreams.
//!
//! Who tells whom is decided by [`load_exchange`]. The messages are datagrams. Most hold all there is to
//! tell and replace the one before, so a lost one costs nothing but time. A long prompt changes the
//! queue of its engine so much that others have to know before they place their own, and so does a
//! call to a plain service with few places: these are told at once, as the load of that upstream
//! alone.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use medlarlug_core::{
    gateway::{
        load_exchange::{Member, Plan, Role, SILENCE},
        peer_loads::{LoadReport, Source, UpstreamKey, find},
    },
    ids::{InstanceId, UpstreamId, ZoneId},
    time::Time,
};
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, sync::Notify, time::sleep};

use crate::entry::{Entry, LimitMessage};

/// Time between two whole reports to all instances of a small region.
const DIRECT_INTERVAL: Duration = Duration::from_millis(80);
/// Time between two whole reports to collectors, and between two whole sums.
const SUM_INTERVAL: Duration = Duration::from_millis(240);
/// Time after which there is a report without anything new, a part of the lifetime of reports.
const KEEPALIVE: Duration = Duration::from_millis(400);
/// Pause after changes were passed on by a collector: a fraction of the time in which a long prompt is
/// read.
const CHANGE_PAUSE: Duration = Duration::from_millis(20);
/// Time for which an instance that asked a collector for sums is sent them.
const ASKED_FOR: Duration = Duration::from_secs(1);
/// Longest datagram, below the usual size of a packet.
const MAX_BYTES: usize = 1_400;
/// Loads in one datagram at most: one takes up to ten bytes.
const MAX_LOADS: usize = 130;

/// A message between entry instances of a region.
#[derive(Debug, Serialize, Deserialize)]
enum Datagram {
    /// What one instance has under way.
    Report {
        from: InstanceId,
        /// Whether `loads` are all upstreams at which the instance has calls, or only changed ones.
        is_whole: bool,
        /// Whether the instance wants sums from the receiver.
        asks: bool,
        loads: Vec<LoadReport>,
    },
    /// What several instances have under way: those of a zone, or else all of the region but the
    /// receiver.
    Sum {
        zone: Option<ZoneId>,
        is_whole: bool,
        /// How many they are.
        instances: usize,
        loads: Vec<LoadReport>,
    },
    /// About the limits that upstreams name.
    Limit(LimitMessage),
}

/// A peer that the plan names.
type Peer = (InstanceId, SocketAddr);

/// What an instance knows of the exchange of loads.
#[derive(Debug, Default)]
pub(crate) struct Exchange {
    /// Upstreams whose load peers have to know at once, sorted.
    changed: RefCell<Vec<UpstreamId>>,
    noted: Notify,
    role: Cell<Option<Role>>,
    /// To whom this instance reports, collectors in their order.
    report_to: RefCell<Vec<Peer>>,
    /// To whom the sum over the own zone goes.
    sum_to: RefCell<Vec<Peer>>,
    /// Instances that asked for sums, and when they last did; sorted.
    asked: RefCell<Vec<(Peer, Time)>>,
    /// At a collector: upstreams whose load was told since changes were last passed on, sorted.
    passed: RefCell<Vec<UpstreamKey>>,
    /// Those of them that the own zone told; what other zones tell does not go back to them.
    of_zone: RefCell<Vec<UpstreamKey>>,
    heard: Notify,
    /// When the collector that is asked first was last heard.
    summed: Cell<Option<Time>>,
    /// Live entry instances of the region, this one included.
    instances: Cell<usize>,
}

impl Exchange {
    /// Has the load of an upstream told.
    pub(crate) fn note(&self, upstream: &UpstreamId) {
        insert(&mut self.changed.borrow_mut(), upstream.clone());
        self.noted.notify_one();
        self.pass_on(UpstreamKey::of(upstream), true);
    }

    /// Has a collector pass on the load of an upstream; `is_own` tells whether the own zone told it.
    fn pass_on(&self, upstream: UpstreamKey, is_own: bool) {
        if !matches!(self.role.get(), Some(Role::Collector { .. })) {
            return;
        }
        insert(&mut self.passed.borrow_mut(), upstream);
        if is_own {
            insert(&mut self.of_zone.borrow_mut(), upstream);
        }
        self.heard.notify_one();
    }

    /// Live entry instances of the region, this one included, as of the last round.
    pub(crate) fn instances(&self) -> usize {
        self.instances.get().max(1)
    }

    async fn next(&self) -> Vec<UpstreamId> {
        self.noted.notified().await;
        std::mem::take(&mut *self.changed.borrow_mut())
    }

    /// Plans anew by who is alive now.
    fn plan(&self, own: &Member, region: &[(Member, SocketAddr)]) {
        let members: Vec<Member> = region.iter().map(|it| it.0.clone()).collect();
        let plan = Plan::of(own, &members);
        let addressed = |ids: &[InstanceId]| -> Vec<Peer> {
            let known = ids.iter().filter_map(|id| region.iter().find(|it| it.0.id == *id));
            known.map(|(member, address)| (member.id.clone(), *address)).collect()
        };
        *self.report_to.borrow_mut() = addressed(&plan.report_to);
        *self.sum_to.borrow_mut() = addressed(&plan.sum_to);
        self.instances.set(members.len());
        if self.role.replace(Some(plan.role)) != Some(plan.role) {
            let instances = members.len();
            tracing::info!(role = ?plan.role, instances, "part in the exchange of loads changed");
        }
    }

    /// Whether the collector at `place` is asked for sums.
    fn asks(&self, now: Time, place: usize) -> bool {
        let is_silent = self.summed.get().is_none_or(|heard| now - heard > SILENCE);
        self.role.get() == Some(Role::Reporter) && (place == 0 || is_silent)
    }

    fn has_asked(&self, now: Time, peer: Peer) {
        let mut asked = self.asked.borrow_mut();
        match asked.binary_search_by(|it| it.0.cmp(&peer)) {
            Ok(at) => asked[at].1 = now,
            Err(at) => asked.insert(at, (peer, now)),
        }
    }

    /// Those that have asked for sums lately.
    fn asking(&self, now: Time) -> Vec<Peer> {
        let mut asked = self.asked.borrow_mut();
        asked.retain(|it| now - it.1 < ASKED_FOR);
        asked.iter().map(|it| it.0.clone()).collect()
    }
}

/// Adds to a sorted list what it lacks.
fn insert<T: Ord>(list: &mut Vec<T>, item: T) {
    if let Err(at) = list.binary_search(&item) {
        list.insert(at, item);
    }
}

/// Opens the socket of the exchange.
///
/// # Errors
///
/// The address can't be bound.
pub(crate) async fn open(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}

/// Sends whole reports and sums for as long as the process runs.
pub(crate) async fn tell(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    let (mut last, mut reported) = (Vec::new(), Time::ZERO);
    loop {
        let exchange = entry.exchange();
        let (own, region) = entry.region_members();
        exchange.plan(&own, &region);
        let now = entry.now();
        let loads = entry.load_report();
        if loads != last || now - reported >= KEEPALIVE {
            report(&entry, &socket, true, &loads);
            (last, reported) = (loads, now);
        }
        match exchange.role.get() {
            Some(Role::Collector { place }) => {
                entry.forget_silent();
                // The others stand in for the first one, as far as whole sums do.
                tell_instances(&entry, &socket, None);
                if place <= 1 {
                    tell_zones(&entry, &socket, None);
                }
                sleep(SUM_INTERVAL).await;
            }
            Some(Role::Reporter) => sleep(SUM_INTERVAL).await,
            Some(Role::Direct) | None => sleep(DIRECT_INTERVAL).await,
        }
    }
}

/// Reports noted changes for as long as the process runs.
pub(crate) async fn tell_changes(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    loop {
        let upstreams = entry.exchange().next().await;
        report(&entry, &socket, false, &entry.load_report_of(&upstreams));
    }
}

/// Passes changes on as a collector, for as long as the process runs.
pub(crate) async fn pass_changes_on(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    let exchange = entry.exchange();
    loop {
        exchange.heard.notified().await;
        let passed = std::mem::take(&mut *exchange.passed.borrow_mut());
        let of_zone = std::mem::take(&mut *exchange.of_zone.borrow_mut());
        if let Some(Role::Collector { place }) = exchange.role.get() {
            tell_instances(&entry, &socket, Some(&passed));
            if place == 0 && !of_zone.is_empty() {
                tell_zones(&entry, &socket, Some(&of_zone));
            }
        }
        sleep(CHANGE_PAUSE).await;
    }
}

fn report(entry: &Entry, socket: &UdpSocket, is_whole: bool, loads: &[LoadReport]) {
    let exchange = entry.exchange();
    let now = entry.now();
    for (place, peer) in exchange.report_to.borrow().iter().enumerate() {
        let (from, asks) = (entry.id(), exchange.asks(now, place));
        let loads = fit(loads.to_vec());
        send(socket, &Datagram::Report { from, is_whole, asks, loads }, peer.1);
    }
}
/// Sends those that asked what all others have under way: everything, or what has `changed`.
fn tell_instances(entry: &Entry, socket: &UdpSocket, changed: Option<&[UpstreamKey]>) {
    for (id, address) in entry.exchange().asking(entry.now()) {
        let (instances, loads) = entry.sum_for(&id);
        send(socket, &sum(None, instances, loads, changed), address);
    }
}

/// Sends other zones what the instances of the own one have under way: everything, or what has
/// `changed`.
fn tell_zones(entry: &Entry, socket: &UdpSocket, changed: Option<&[UpstreamKey]>) {
    let (zone, instances, loads) = entry.zone_sum();
    let sum = sum(Some(zone), instances, loads, changed);
    entry.exchange().sum_to.borrow().iter().for_each(|it| send(socket, &sum, it.1));
}

fn sum(
    zone: Option<ZoneId>,
    instances: usize,
    loads: Vec<LoadReport>,
    changed: Option<&[UpstreamKey]>,
) -> Datagram {
    let is_whole = changed.is_none();
    let loads = match changed {
        Some(changed) => changed.iter().map(|it| find(&loads, *it)).collect(),
        None => loads,
    };
    Datagram::Sum { zone, is_whole, instances, loads: fit(loads) }
}

/// The heaviest loads that fit into a datagram; the others matter least.
fn fit(mut loads: Vec<LoadReport>) -> Vec<LoadReport> {
    if loads.len() > MAX_LOADS {
        tracing::debug!(loads = loads.len(), "the lightest loads are left out of a report");
        loads.sort_by_key(|it| std::cmp::Reverse((it.unread, it.running)));
        loads.truncate(MAX_LOADS);
        loads.sort_by_key(|it| it.upstream);
    }
    loads
}

fn send(socket: &UdpSocket, datagram: &Datagram, to: SocketAddr) {
    let bytes = match postcard::to_stdvec(datagram) {
        Ok(bytes) => bytes,
        Err(error) => return tracing::error!(%error, "failed to encode a load report"),
    };
    metrics::counter!(crate::metrics::LOAD_BYTES).increment(bytes.len() as u64);
    if let Err(error) = socket.try_send_to(&bytes, to) {
        tracing::debug!(%error, peer = %to, "load report not sent");
    }
}

/// Sends a message about a limit that an upstream names.
pub(crate) fn send_limit(socket: &UdpSocket, message: LimitMessage, to: SocketAddr) {
    send(socket, &Datagram::Limit(message), to);
}

/// Takes reports and sums in for as long as the process runs.
pub(crate) async fn hear(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; MAX_BYTES + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((bytes, from)) => match postcard::from_bytes(&buffer[..bytes]) {
                Ok(datagram) => receive(&entry, from, datagram),
                Err(error) => tracing::debug!(%error, "load report can't be read"),
            },
            Err(error) => {
                tracing::debug!(%error, "failed to receive a load report");
                sleep(DIRECT_INTERVAL).await;
            }
        }
    }
}

/// Takes a message in if it fits the own part: another instance may not know yet that this one has
/// another part.
fn receive(entry: &Entry, address: SocketAddr, datagram: Datagram) {
    let exchange = entry.exchange();
    let now = entry.now();
    let (source, is_whole, instances, loads) = match (datagram, exchange.role.get()) {
        (Datagram::Limit(message), _) => return entry.hear_limit_message(address, message),
        (
            Datagram::Report { from, is_whole, asks, loads },
            Some(Role::Direct | Role::Collector { .. }),
        ) => {
            if asks {
                exchange.has_asked(now, (from.clone(), address));
            }
            (Source::Peer(from), is_whole, 1, loads)
        }
        (Datagram::Sum { zone: None, is_whole, instances, loads }, Some(Role::Reporter)) => {
            let is_first = exchange.report_to.borrow().first().is_some_and(|it| it.1 == address);
            if is_first {
                exchange.summed.set(Some(now));
            }
            (Source::Collector, is_whole, instances, loads)
        }
        (
            Datagram::Sum { zone: Some(zone), is_whole, instances, loads },
            Some(Role::Collector { .. }),
        ) => (Source::Zone(zone), is_whole, instances, loads),
        _ => return,
    };
    if is_whole {
        entry.hear_loads(source, instances, loads);
    } else {
        let is_own = matches!(source, Source::Peer(_));
        loads.iter().for_each(|load| exchange.pass_on(load.upstream, is_own));
        entry.hear_changes(&source, loads);
    }
}

//! Tells the entry instances of the own region what this one has under way at upstreams.
//!
//! The reports are datagrams. Most hold all there is to tell and replace the one before, so a lost
//! one costs nothing but time. A long prompt changes the queue of its engine so much that others
//! have to know before they place their own: it is told at once, as the load of that engine alone.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use medlarlug_core::{
    gateway::placing::LoadReport,
    ids::{InstanceId, UpstreamId},
};
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    sync::Notify,
    time::{MissedTickBehavior, interval, sleep},
};

use crate::entry::Entry;

/// Time between two reports to a few peers; with more of them it grows, so that the work of
/// telling stays the same.
const INTERVAL: Duration = Duration::from_millis(80);
/// Peers from which on the interval grows.
const FEW_PEERS: usize = 4;
/// Longest datagram, below the usual size of a packet.
const MAX_BYTES: usize = 1_400;

/// What one instance has under way.
#[derive(Debug, Serialize, Deserialize)]
struct Report {
    from: InstanceId,
    /// Whether `loads` are all upstreams at which the instance has calls, or only changed ones.
    is_whole: bool,
    /// Sorted by upstream.
    loads: Vec<LoadReport>,
}

/// Upstreams whose load peers have to know at once.
#[derive(Debug, Default)]
pub(crate) struct Changes {
    upstreams: RefCell<Vec<UpstreamId>>,
    noted: Notify,
}

impl Changes {
    /// Has the load of an upstream told.
    pub(crate) fn note(&self, upstream: &UpstreamId) {
        let mut upstreams = self.upstreams.borrow_mut();
        if let Err(at) = upstreams.binary_search(upstream) {
            upstreams.insert(at, upstream.clone());
        }
        self.noted.notify_one();
    }

    async fn next(&self) -> Vec<UpstreamId> {
        self.noted.notified().await;
        std::mem::take(&mut *self.upstreams.borrow_mut())
    }
}

/// Opens the socket of the reports.
///
/// # Errors
///
/// The address can't be bound.
pub(crate) async fn open(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}

/// Sends reports for as long as the process runs.
pub(crate) async fn tell(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    let mut was_idle = true;
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let (from, loads) = entry.load_report();
        let is_idle = loads.is_empty();
        // The last report before idleness tells that nothing is left.
        if is_idle && was_idle {
            continue;
        }
        was_idle = is_idle;
        let peers = entry.region_peers();
        send(&socket, &Report { from, is_whole: true, loads }, &peers);
        if peers.len() > FEW_PEERS {
            let factor = u32::try_from(peers.len() / FEW_PEERS).unwrap_or(u32::MAX);
            sleep(INTERVAL * factor).await;
        }
    }
}

/// Tells noted changes for as long as the process runs.
pub(crate) async fn tell_changes(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    loop {
        let upstreams = entry.changes().next().await;
        let (from, loads) = entry.load_report_of(&upstreams);
        send(&socket, &Report { from, is_whole: false, loads }, &entry.region_peers());
    }
}

fn send(socket: &UdpSocket, report: &Report, peers: &[SocketAddr]) {
    let datagram = match postcard::to_stdvec(report) {
        Ok(datagram) if datagram.len() <= MAX_BYTES => datagram,
        Ok(datagram) => {
            return tracing::warn!(bytes = datagram.len(), "load report too long");
        }
        Err(error) => return tracing::error!(%error, "failed to encode a load report"),
    };
    for peer in peers {
        if let Err(error) = socket.try_send_to(&datagram, *peer) {
            tracing::debug!(%error, %peer, "load report not sent");
        }
    }
}

/// Takes reports in for as long as the process runs.
pub(crate) async fn hear(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; MAX_BYTES + 1];
    loop {
        match socket.recv(&mut buffer).await {
            Ok(bytes) => match postcard::from_bytes::<Report>(&buffer[..bytes]) {
                Ok(report) if report.is_whole => entry.hear_loads(report.from, report.loads),
                Ok(report) => entry.hear_changes(&report.from, report.loads),
                Err(error) => tracing::debug!(%error, "load report can't be read"),
            },
            Err(error) => {
                tracing::debug!(%error, "failed to receive a load report");
                sleep(INTERVAL).await;
            }
        }
    }
}

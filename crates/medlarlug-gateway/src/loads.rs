//! Tells the entry instances of the own region what this one has under way at upstreams.
//!
//! The reports are datagrams: each holds all there is to tell and replaces the one before, so a
//! lost one costs nothing but time.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use medlarlug_core::{gateway::placing::LoadReport, ids::InstanceId};
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
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
    loads: Vec<LoadReport>,
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
        send(&socket, &Report { from, loads }, &peers);
        if peers.len() > FEW_PEERS {
            let factor = u32::try_from(peers.len() / FEW_PEERS).unwrap_or(u32::MAX);
            sleep(INTERVAL * factor).await;
        }
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
                Ok(report) => entry.hear_loads(report.from, report.loads),
                Err(error) => tracing::debug!(%error, "load report can't be read"),
            },
            Err(error) => {
                tracing::debug!(%error, "failed to receive a load report");
                sleep(INTERVAL).await;
            }
        }
    }
}

//! Announcements to the entry instances of the upstream's zone.
//!
//! Each period a load report is read, kept for the configured lag and then sent with its age.

use std::{collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request,
    client::conn::http1::{self, SendRequest},
    header::{CONTENT_TYPE, HOST},
};
use hyper_util::rt::TokioIo;
use medlarlug_core::announcement::{Announcement, LoadReport, UpstreamKind};
use thiserror::Error;
use tokio::{
    net::TcpStream,
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

use crate::{
    protocol::headers,
    standin::{http, upstream::Upstream},
};

/// Time between two announcements.
pub const PERIOD: Duration = Duration::from_millis(500);

/// Longest wait for an entry instance; then a new connection is tried.
pub const PATIENCE: Duration = Duration::from_secs(2);

/// Path of announcements on an entry instance's internal port.
pub const PATH: &str = "/v1/announce";

/// An announcement did not get through.
#[derive(Debug, Error)]
enum AnnounceError {
    #[error("no connection to {address}")]
    Connect { address: SocketAddr, source: std::io::Error },
    #[error("no answer from {address}")]
    Http { address: SocketAddr, source: hyper::Error },
    #[error("{address} refused it with status {status}")]
    Refused { address: SocketAddr, status: hyper::StatusCode },
}

struct Reading {
    at: Instant,
    load: LoadReport,
}

/// A connection to one entry instance, opened when needed.
struct Link {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

pub(super) async fn announce(upstream: Rc<Upstream>) {
    let entries = &upstream.settings.entries;
    let mut links: Vec<Link> =
        entries.iter().map(|it| Link { address: *it, sender: None }).collect();
    let mut readings: VecDeque<Reading> = VecDeque::new();
    let mut read_at = Instant::now();
    let mut sequence = 0;
    let lag = upstream.settings.lag;
    let offset = Duration::from_nanos((lag.as_nanos() % PERIOD.as_nanos()) as u64);
    loop {
        upstream.thaw().await;
        let now = Instant::now();
        let load = upstream.read_load(now.duration_since(read_at));
        read_at = now;
        readings.push_back(Reading { at: now, load });
        pause(&upstream, offset).await;
        upstream.thaw().await;
        sequence += 1;
        let body = compose(&upstream, sequence, &mut readings, lag);
        send_all(&upstream, &mut links, &body).await;
        pause(&upstream, PERIOD - offset).await;
    }
}

/// Waits, but no longer than until the upstream begins to leave.
async fn pause(upstream: &Upstream, length: Duration) {
    tokio::select! {
        () = sleep(length) => {}
        () = upstream.left.notified() => {}
    }
}

fn compose(
    upstream: &Upstream,
    sequence: u64,
    readings: &mut VecDeque<Reading>,
    lag: Duration,
) -> Bytes {
    let now = Instant::now();
    while readings.len() > 1 && now.duration_since(readings[1].at) >= lag {
        readings.pop_front();
    }
    let oldest = readings.front();
    let load = oldest.map(|it| LoadReport { age: now.duration_since(it.at), ..it.load.clone() });
    let settings = &upstream.settings;
    let kind = match &settings.kind {
        UpstreamKind::Engine { .. } => {
            UpstreamKind::Engine { models: upstream.orders.borrow().models.clone() }
        }
        service => service.clone(),
    };
    let announcement = Announcement {
        id: settings.id.clone(),
        incarnation: upstream.incarnation.get(),
        sequence,
        zone: settings.zone.clone(),
        address: settings.address,
        kind,
        slots: settings.slots,
        fencing: settings.fencing,
        leaving: upstream.leaving.get(),
        load: load.unwrap_or_default(),
    };
    Bytes::from(serde_json::to_vec(&announcement).unwrap_or_default())
}

async fn send_all(upstream: &Upstream, links: &mut [Link], body: &Bytes) {
    let mac = upstream.keys.sign(body);
    let sends = links.iter_mut().map(|link| send(link, body.clone(), &mac));
    for result in futures_util::future::join_all(sends).await {
        if let Err(error) = result {
            tracing::debug!(upstream = %upstream.settings.id, %error, "an announcement is lost");
        }
    }
}

async fn send(link: &mut Link, body: Bytes, mac: &str) -> Result<(), AnnounceError> {
    let address = link.address;
    let sending = async {
        let mut sender = match link.sender.take().filter(|it| !it.is_closed()) {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        let request = Request::builder()
            .method(Method::POST)
            .uri(PATH)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(headers::CODE, mac)
            .body(Full::new(body))
            .expect("the parts of the request are valid");
        let http_error = |source| AnnounceError::Http { address, source };
        sender.ready().await.map_err(http_error)?;
        let answer = sender.send_request(request).await.map_err(http_error)?;
        let status = answer.status();
        http::drain(answer).await;
        link.sender = Some(sender);
        if status.is_success() { Ok(()) } else { Err(AnnounceError::Refused { address, status }) }
    };
    let late = || AnnounceError::Connect { address, source: std::io::ErrorKind::TimedOut.into() };
    timeout(PATIENCE, sending).await.unwrap_or_else(|_| Err(late()))
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, AnnounceError> {
    let socket = TcpStream::connect(address).await;
    let socket = socket.map_err(|source| AnnounceError::Connect { address, source })?;
    let (sender, connection) = http1::handshake(TokioIo::new(socket))
        .await
        .map_err(|source| AnnounceError::Http { address, source })?;
    spawn_local(connection);
    Ok(sender)
}

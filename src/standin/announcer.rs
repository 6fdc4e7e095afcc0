//! Announcements to the entry instances of the upstream's zone.
//!
//! Each period a load report is read, kept for the configured lag and then sent with its age.

use std::{collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::{
    Method, Request, StatusCode,
    header::{CONTENT_TYPE, HOST},
};
use medlarlug_core::announcement::{Announcement, LoadReport, UpstreamKind};
use thiserror::Error;
use tokio::time::{Instant, sleep};

use crate::{
    protocol::headers,
    standin::{http, upstream::Upstream},
    transport::http_client::{CallLimits, HttpCallError, HttpClient, Reuse},
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
    #[error("the entry instance can't be reached")]
    Call(#[from] HttpCallError),
    #[error("the entry instance refused it with status {0}")]
    Refused(StatusCode),
}

struct Reading {
    at: Instant,
    load: LoadReport,
}

pub(super) async fn announce(upstream: Rc<Upstream>) {
    let client = HttpClient::default();
    let mut readings: VecDeque<Reading> = VecDeque::new();
    let mut read_at = Instant::now();
    let mut sequence = 0;
    let lag = upstream.settings.report_lag;
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
        send_all(&upstream, &client, &body).await;
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

async fn send_all(upstream: &Upstream, client: &HttpClient, body: &Bytes) {
    let mac = upstream.keys.sign(body);
    let entries = upstream.settings.announce_to.iter();
    let sends = entries.map(|address| send(client, *address, body.clone(), &mac));
    for result in join_all(sends).await {
        if let Err(error) = result {
            tracing::debug!(upstream = %upstream.settings.id, %error, "an announcement is lost");
        }
    }
}

async fn send(
    client: &HttpClient,
    address: SocketAddr,
    body: Bytes,
    mac: &str,
) -> Result<(), AnnounceError> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(PATH)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(headers::MAC, mac)
        .body(Full::new(body))
        .expect("the parts of the request are valid");
    let limits = CallLimits { connect: PATIENCE, head: PATIENCE };
    let called = client.call(address, request, Reuse::Allowed, limits).await;
    let (answer, connection) = called.inspect_err(|_| client.close_idle(address))?;
    let status = answer.status();
    http::drain(answer).await;
    client.release(connection);
    if status.is_success() { Ok(()) } else { Err(AnnounceError::Refused(status)) }
}

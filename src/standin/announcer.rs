//! Announcements of an upstream to the entry instances of its zone.
//!
//! The load is sampled once per period. A sample is sent after the configured lag, together with its
//! age.

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
pub const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);

/// Timeout for an entry instance; after it, the idle connections to the instance are closed.
pub const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Path of announcements on the internal port of an entry instance.
pub const ANNOUNCE_PATH: &str = "/v1/announce";

/// Why an announcement was not delivered.
#[derive(Debug, Error)]
enum AnnounceError {
    #[error("the entry instance can't be reached")]
    Call(#[from] HttpCallError),
    #[error("the entry instance refused the announcement with status {0}")]
    Refused(StatusCode),
}

struct LoadSample {
    taken_at: Instant,
    load: LoadReport,
}

pub(super) async fn announce(upstream: Rc<Upstream>) {
    let client = HttpClient::default();
    let mut samples: VecDeque<LoadSample> = VecDeque::new();
    let mut last_sample_at = Instant::now();
    let mut sequence = 0;
    let lag = upstream.settings.report_lag;
    let offset = Duration::from_nanos((lag.as_nanos() % ANNOUNCE_PERIOD.as_nanos()) as u64);
    loop {
        upstream.wait_while_frozen().await;
        let now = Instant::now();
        let load = upstream.sample_load(now.duration_since(last_sample_at));
        last_sample_at = now;
        samples.push_back(LoadSample { taken_at: now, load });
        sleep_unless_leaving(&upstream, offset).await;
        upstream.wait_while_frozen().await;
        sequence += 1;
        let body = build_announcement(&upstream, sequence, &mut samples, lag);
        send_all(&upstream, &client, &body).await;
        sleep_unless_leaving(&upstream, ANNOUNCE_PERIOD - offset).await;
    }
}

/// Sleeps for `duration`, or until the upstream starts to leave.
async fn sleep_unless_leaving(upstream: &Upstream, duration: Duration) {
    tokio::select! {
        () = sleep(duration) => {}
        () = upstream.leave_started.notified() => {}
    }
}

fn build_announcement(
    upstream: &Upstream,
    sequence: u64,
    samples: &mut VecDeque<LoadSample>,
    lag: Duration,
) -> Bytes {
    let now = Instant::now();
    while samples.len() > 1 && now.duration_since(samples[1].taken_at) >= lag {
        samples.pop_front();
    }
    let oldest = samples.front();
    let load =
        oldest.map(|it| LoadReport { age: now.duration_since(it.taken_at), ..it.load.clone() });
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
        address: settings.announced,
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
            tracing::debug!(upstream = %upstream.settings.id, %error, "announcement not delivered");
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
        .uri(ANNOUNCE_PATH)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(headers::MAC, mac)
        .body(Full::new(body))
        .expect("the parts of the request are valid");
    let limits = CallLimits { connect: ANNOUNCE_TIMEOUT, head: ANNOUNCE_TIMEOUT };
    let called = client.call(address, request, Reuse::Allowed, limits).await;
    let (answer, connection) = called.inspect_err(|_| client.close_idle(address))?;
    let status = answer.status();
    http::drain(answer).await;
    client.release(connection);
    if status.is_success() { Ok(()) } else { Err(AnnounceError::Refused(status)) }
}

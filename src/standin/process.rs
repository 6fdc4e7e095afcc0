//! The stand-in process: all upstreams of its settings on one thread.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use medlarlug_core::ids::UpstreamId;
use thiserror::Error;
use tokio::{
    signal::unix::{SignalKind, signal},
    task::LocalSet,
    time::{Instant, sleep},
};

use crate::{
    settings::{StandinSettings, UpstreamSettings},
    standin::{control, upstream::Upstream},
};

/// Shortest time from the announcement that an upstream is leaving until it stops.
pub const MIN_LEAVE_TIME: Duration = Duration::from_secs(1);

/// Longest time until an upstream that is leaving stops; requests that still run are aborted.
pub const MAX_LEAVE_TIME: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a stand-in process fails.
#[derive(Debug, Error)]
pub enum StandinError {
    /// A port can't be bound.
    #[error("upstream {id} failed to listen on {address}")]
    Listen {
        /// The upstream.
        id: UpstreamId,
        /// Address for requests or for control at which listening failed.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The signal handlers can't be installed.
    #[error("failed to install signal handlers")]
    Signal(#[source] io::Error),
    /// All upstreams crashed and none will restart.
    #[error("all upstreams have crashed")]
    Crashed,
}

/// Runs all upstreams until SIGTERM or SIGINT. Then they announce that they are leaving, finish their
/// requests and stop.
///
/// # Errors
///
/// Fails when a port can't be bound, or once all upstreams have crashed and none will restart.
pub async fn run(settings: StandinSettings) -> Result<(), StandinError> {
    LocalSet::new().run_until(run_local(settings)).await
}

async fn run_local(settings: StandinSettings) -> Result<(), StandinError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StandinError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StandinError::Signal)?;
    let mut upstreams = Vec::with_capacity(settings.upstreams.len());
    for it in settings.upstreams {
        upstreams.push(start(it, settings.keys.clone()).await?);
    }
    tracing::info!(upstreams = upstreams.len(), "stand-in started");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = all_crashed(&upstreams) => return Err(StandinError::Crashed),
    }
    drain(&upstreams).await;
    Ok(())
}

async fn start(
    settings: UpstreamSettings,
    keys: crate::settings::DeploymentKeys,
) -> Result<Rc<Upstream>, StandinError> {
    let (id, address, control) = (settings.id.clone(), settings.address, settings.control);
    let upstream = Upstream::new(settings, keys);
    let listen = |address| {
        let id = id.clone();
        move |source| StandinError::Listen { id, address, source }
    };
    control::start(Rc::clone(&upstream)).await.map_err(listen(control))?;
    upstream.start().await.map_err(listen(address))?;
    Ok(upstream)
}

/// Returns once every upstream is down and none will restart. With a single upstream, its crash thus
/// ends the process, like the crash of a real engine.
async fn all_crashed(upstreams: &[Rc<Upstream>]) {
    while upstreams.is_empty() || !upstreams.iter().all(|it| it.is_permanently_down()) {
        sleep(POLL_INTERVAL).await;
    }
}

async fn drain(upstreams: &[Rc<Upstream>]) {
    tracing::info!("stand-in is leaving");
    upstreams.iter().for_each(|it| it.leave());
    let start = Instant::now();
    loop {
        sleep(POLL_INTERVAL).await;
        let is_idle = upstreams.iter().all(|it| it.is_idle());
        let waited = start.elapsed();
        if (is_idle && waited >= MIN_LEAVE_TIME) || waited >= MAX_LEAVE_TIME {
            break;
        }
    }
    upstreams.iter().for_each(|it| it.stop());
}

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

/// Shortest time between the word that an upstream leaves and its end.
pub const LINGER: Duration = Duration::from_secs(1);

/// Longest such time; what runs then is cut.
pub const MAX_LINGER: Duration = Duration::from_secs(60);

const POLL: Duration = Duration::from_millis(50);

/// Why a stand-in process ends.
#[derive(Debug, Error)]
pub enum StandinError {
    /// A port can't be used.
    #[error("upstream {id} can't listen at {address}")]
    Listen {
        /// The upstream.
        id: UpstreamId,
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// Signals can't be received.
    #[error("signals can't be received")]
    Signal(#[source] io::Error),
    /// All upstreams crashed for good.
    #[error("all upstreams have crashed")]
    Crashed,
}

/// Runs all upstreams until SIGTERM or SIGINT; then they leave, finish their work and stop.
///
/// # Errors
///
/// Fails when a port can't be used, or once all upstreams have crashed for good.
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
    tracing::info!(upstreams = upstreams.len(), "the stand-in is up");
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

/// Returns once every upstream is down with no restart to come. A lone upstream that is down
/// ends the process, as a crash of a real engine does.
async fn all_crashed(upstreams: &[Rc<Upstream>]) {
    while upstreams.is_empty() || !upstreams.iter().all(|it| it.is_lost()) {
        sleep(POLL).await;
    }
}

async fn drain(upstreams: &[Rc<Upstream>]) {
    tracing::info!("the stand-in leaves");
    upstreams.iter().for_each(|it| it.leave());
    let begun = Instant::now();
    loop {
        sleep(POLL).await;
        let is_idle = upstreams.iter().all(|it| it.is_idle());
        let waited = begun.elapsed();
        if (is_idle && waited >= LINGER) || waited >= MAX_LINGER {
            break;
        }
    }
    upstreams.iter().for_each(|it| it.stop());
}

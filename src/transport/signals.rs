//! Signals that stop a process.

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    task,
};

/// Exit status after a second signal, which stops the process at once.
const FORCED_EXIT: i32 = 130;

/// Raises `drain` at the first SIGTERM or SIGINT; the second one stops the process at once.
///
/// # Errors
///
/// Fails when the signals can't be watched.
pub fn watch(drain: watch::Sender<bool>) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    task::spawn_local(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            if drain.send_replace(true) {
                tracing::warn!("second signal, stopping at once");
                std::process::exit(FORCED_EXIT);
            }
            tracing::info!("signal received, draining");
        }
    });
    Ok(())
}

//! Shutdown of a process by signals.

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    task,
};

/// Exit status after a second signal.
const FORCED_EXIT: i32 = 130;

/// Sets `drain` to true on the first SIGTERM or SIGINT; the second one exits the process immediately.
///
/// # Errors
///
/// Fails when the signal handlers can't be installed.
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
                tracing::warn!("second signal received, exiting immediately");
                std::process::exit(FORCED_EXIT);
            }
            tracing::info!("signal received, draining");
        }
    });
    Ok(())
}

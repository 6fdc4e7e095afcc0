//! Sends signals to processes that a test started.

use std::{
    fs, thread,
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// Longest wait for a process to stop. Each thread stops when it next leaves the kernel.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a signal to a process.
///
/// For `SIGSTOP`, returns once every thread of the process has stopped: the kernel stops the
/// threads one after the other, and a thread that has not been stopped yet goes on running.
///
/// # Panics
///
/// Panics if the process does not exist, or does not stop within 10 s.
pub fn send(id: u32, signal: Signal) {
    kill(Pid::from_raw(id.cast_signed()), signal).expect("the process exists");
    if signal != Signal::SIGSTOP {
        return;
    }
    let start = Instant::now();
    while !is_stopped(id) {
        assert!(
            start.elapsed() < STOP_TIMEOUT,
            "process {id} has not stopped within {STOP_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(1));
    }
}

/// Whether every thread of a process is stopped or has exited; true for a process that
/// no longer exists.
pub fn is_stopped(id: u32) -> bool {
    let Ok(tasks) = fs::read_dir(format!("/proc/{id}/task")) else { return true };
    let states = tasks.flatten().filter_map(|it| fs::read_to_string(it.path().join("stat")).ok());
    // The state follows the name, which is in parentheses and may contain any character.
    let mut states = states.filter_map(|stat| stat.rsplit_once(") ")?.1.chars().next());
    states.all(|state| matches!(state, 'T' | 't' | 'Z' | 'X'))
}

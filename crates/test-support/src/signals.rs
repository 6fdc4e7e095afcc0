//! Signals to processes of a test.

use std::{
    fs, thread,
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// Time in which a process has to stop; it does so when each of its threads next leaves the kernel.
const STOP_TIME: Duration = Duration::from_secs(10);

/// Sends a signal to a process. Returns from a stop only once every thread of the process stands
/// still: the kernel stops threads one after the other, and until its turn a thread goes on working.
///
/// # Panics
///
/// The process is not there, or does not stop.
pub fn send(id: u32, signal: Signal) {
    kill(Pid::from_raw(id.cast_signed()), signal).expect("the process is there");
    if signal != Signal::SIGSTOP {
        return;
    }
    let began = Instant::now();
    while !is_stopped(id) {
        assert!(began.elapsed() < STOP_TIME, "process {id} has not stopped");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Whether no thread of a process runs any more.
pub fn is_stopped(id: u32) -> bool {
    let Ok(tasks) = fs::read_dir(format!("/proc/{id}/task")) else { return true };
    let states = tasks.flatten().filter_map(|it| fs::read_to_string(it.path().join("stat")).ok());
    // The state follows the name, which is in parentheses and may hold any character.
    let mut states = states.filter_map(|stat| stat.rsplit_once(") ")?.1.chars().next());
    states.all(|state| matches!(state, 'T' | 't' | 'Z' | 'X'))
}

//! Frames as processes exchange them, and the resource use of the benchmark's own process.

use std::fs;

use medlarlug::protocol::{
    DeploymentKey, DeploymentKeys, Message,
    frame::{self, Envelope},
};
use medlarlug_core::ids::InstanceId;

pub fn keys() -> DeploymentKeys {
    let key = DeploymentKey::derive("a deployment key for the bench");
    DeploymentKeys::new(vec![key]).expect("one key")
}

pub fn envelope(from: &InstanceId, to: &InstanceId, message: Message) -> Envelope {
    Envelope { from: from.clone(), to: to.clone(), message }
}

/// Size in bytes of the frame of a message between two instances with ids of typical length.
pub fn frame_bytes(message: Message) -> usize {
    let (from, to) = (test_support::id("entry-001"), test_support::id("entry-002"));
    frame::encode(&keys(), &envelope(&from, &to, message)).expect("a frame").len()
}

fn status_value(name: &str) -> f64 {
    let text = fs::read_to_string("/proc/self/status").expect("the status of the process");
    let line = text.lines().find(|it| it.starts_with(name)).expect("a field of the status");
    let value = line.split_whitespace().nth(1).and_then(|it| it.parse().ok());
    value.expect("a number")
}

pub fn resident_bytes() -> f64 {
    status_value("VmRSS:") * 1_024.0
}

pub fn thread_count() -> f64 {
    status_value("Threads:")
}

/// Processor time of this process in seconds, with a resolution of 10 ms.
pub fn processor_seconds() -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let text = fs::read_to_string("/proc/self/stat").expect("the statistics of the process");
    let fields = text.rsplit(')').next().unwrap_or_default();
    let used: f64 =
        fields.split_whitespace().skip(11).take(2).filter_map(|it| it.parse::<f64>().ok()).sum();
    used / TICKS_PER_SECOND
}

//! The configuration grows by many routes and changes some hundred times.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, configuration,
    deployment::{CORE_MEMORY_MB, Deployment},
    http::{self, Request},
    record::Record,
};

/// Changes of the configuration: the day of our letter has 340.
const CHANGES: u64 = 340;
/// Routes by which one `big_config` of the site grows the configuration.
const BIG_CONFIG_ROUTES: usize = 350;
/// How often the configuration grows by that.
const BIG_CONFIGS: usize = 6;
/// Time after which the operator stops to send changes.
const SENDING_TIME: Duration = Duration::from_secs(60);
/// Time that the system has to recover after the last change: `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time for which the operator reads the configuration back: `contactMs`, twice.
const READING_TIME: Duration = Duration::from_secs(10);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let deployment = Deployment::start(record, &[150]);
    let most = if has_trouble { BIG_CONFIGS } else { 0 };
    let (mut sent, mut acknowledged, mut bytes) = (0, 0, 0);
    let began = Instant::now();
    for version in 1..=CHANGES {
        let growth = most.min(version as usize / 10);
        let document = configuration::document(version, growth * BIG_CONFIG_ROUTES);
        let length = document.len();
        let request = Request::new("PUT", "/config").with_body(document);
        sent = version;
        let limit = (began + SENDING_TIME).saturating_duration_since(Instant::now());
        // A call may wait a second for its answer, and longer for a large body.
        let patience = Duration::from_millis(1_000 + 3 * (growth * BIG_CONFIG_ROUTES) as u64);
        if !deployment.order(&request, 1 + (version % 3) as u8, patience, limit) {
            record.note(&format!("operator: no acknowledgement of version {version} in time"));
            break;
        }
        acknowledged = version;
        bytes += length;
        if version % 20 == 0 {
            let memory: Vec<u64> = (1..=3).map(|host| deployment.peak_mb(host)).collect();
            let disk: Vec<u64> = (1..=3).map(|host| deployment.disk_mb(host)).collect();
            record.note(&format!(
                "operator: version {version} acknowledged, {length} bytes, {} MB in all; keepers: \
                 peak memory {memory:?} MB, disk {disk:?} MB",
                bytes >> 20
            ));
        }
    }
    record.note(&format!(
        "operator: {sent} changes sent, newest acknowledged version {acknowledged}, {} MB in all",
        bytes >> 20
    ));
    thread::sleep(RECOVERY);
    let newest = read_back(record, &deployment, acknowledged);
    deployment.stop();
    let ends: Vec<usize> = (1..=3).map(|host| deployment.own_ends(host)).collect();
    let often = ends.iter().filter(|ends| **ends >= 3).count();
    record.note(&format!(
        "keepers ended {ends:?} times over {CORE_MEMORY_MB} MB or by themselves; {often} of 3 keepers \
         three times or more"
    ));
    match newest {
        Some(version) => {
            record.note(&format!("operator: read back version {version}"));
            if version < acknowledged || 2 * often >= 3 { Verdict::Broken } else { Verdict::Held }
        }
        None => {
            record.note(&format!(
                "operator: no configuration comes for {} s, version {acknowledged} was acknowledged",
                READING_TIME.as_secs()
            ));
            Verdict::Broken
        }
    }
}

/// Reads the configuration from the keepers in turn until the newest comes; `None` if none comes.
fn read_back(record: &Record, deployment: &Deployment, acknowledged: u64) -> Option<u64> {
    let latest = Instant::now() + READING_TIME;
    let mut newest = None;
    for host in (1..=3).cycle() {
        if Instant::now() >= latest {
            break;
        }
        let limit = Duration::from_secs(5);
        let answer = http::call(deployment.control(host), &Request::new("GET", "/config"), limit);
        match answer {
            Ok(answer) if answer.is_success() && answer.is_whole => {
                newest = newest.max(configuration::version_of(&answer.body));
                record.note(&format!("keeper {host}: configuration {newest:?}"));
                if newest >= Some(acknowledged) {
                    break;
                }
            }
            Ok(answer) => record.note(&format!("keeper {host}: status {}", answer.status)),
            Err(error) => record.note(&format!("keeper {host}: {error}")),
        }
        thread::sleep(Duration::from_millis(200));
    }
    newest
}

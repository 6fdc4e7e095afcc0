//! Measures eight entry instances, three keepers and 120 emulated engines as processes on this
//! machine, and prints the values that the slopes predict for them.

use std::{fs, path::Path, sync::Arc, thread, time::Duration};

use medlarlug_core::{
    fingerprint::Fingerprint,
    release::{
        Item,
        item::{Policy, Residency, Team},
    },
};
use test_support::{
    deployment::{CALLER_KEY, Deployment, Pool, call},
    id,
    scale::Scale,
    team,
};

use crate::{configuration, demand, membership, replication};

/// The size of today's deployments, with more engines.
const CURRENT_SCALE: Scale =
    Scale { nodes: 11, keepers: 3, engines: 120, regions: 2, zones: 4, teams: 2_700, models: 1 };
const ENGINE_SLOTS: u32 = 8;
const MEASURED_TIME: Duration = Duration::from_secs(10);
/// Requests per second at each entry instance in the run with load.
const REQUESTS_PER_SECOND: f64 = 10.0;
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor seconds and bytes sent and received since the start of a process, and its resident MiB.
#[derive(Debug, Clone, Copy)]
struct Usage {
    processor: f64,
    sent: f64,
    received: f64,
    resident: f64,
}

fn deployment() -> Deployment {
    let binaries = Path::new(env!("CARGO_BIN_EXE_medlarlug")).parent().expect("a folder");
    let zone = |number: usize| CURRENT_SCALE.zone_name(number % CURRENT_SCALE.zones);
    let names: Vec<(String, String)> = (0..CURRENT_SCALE.zones)
        .map(|it| (CURRENT_SCALE.zone_name(it), Scale::region_name(CURRENT_SCALE.region_of(it))))
        .collect();
    let zones: Vec<(&str, &str)> = names.iter().map(|it| (it.0.as_str(), it.1.as_str())).collect();
    let mut deployment = Deployment::new(binaries, &zones);
    for number in 0..CURRENT_SCALE.nodes - CURRENT_SCALE.keepers {
        deployment = deployment.entry(&format!("entry-{number:03}"), &zone(number));
    }
    for number in 0..CURRENT_SCALE.keepers {
        deployment = deployment.keeper(&format!("keeper-{number:03}"), &zone(number));
    }
    let engines = CURRENT_SCALE.engines / CURRENT_SCALE.zones;
    for number in 0..CURRENT_SCALE.zones {
        let pool = format!("pool-{number}");
        let settings =
            Pool { model: "model-00", count: engines, slots: ENGINE_SLOTS, speed: 10_000 };
        deployment = deployment.pool(&pool, &zone(number), settings);
    }
    deployment
}

fn items() -> Vec<Item> {
    let survey = Team {
        keys: vec![Fingerprint::of(CALLER_KEY.as_bytes())],
        residency: Residency::Anywhere,
        rate: id("100000/s"),
        burst: id("100000"),
        ..team("survey", "region-0")
    };
    let price = |value: f64| value.try_into().expect("a price");
    let mut items = CURRENT_SCALE.configuration().items().to_vec();
    items.push(Item::Team(survey));
    items.push(Item::Policy(Policy {
        latency_weight: price(1.0),
        cost_weight: price(1.0),
        deadline_ms: 10_000,
    }));
    items
}

fn usage(deployment: &Deployment, instance: &str) -> Usage {
    let text = call("GET", deployment.get(instance).operators, "/metrics", &[], "").text;
    let counter = |name: &str| {
        let line = text.lines().find(|it| it.starts_with(name));
        line.and_then(|it| it.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
    };
    let pid = deployment.pid(instance);
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("a running process");
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("a running process");
    let resident = status.lines().find(|it| it.starts_with("VmRSS:"));
    let resident = resident.and_then(|it| it.split_whitespace().nth(1)?.parse::<f64>().ok());
    Usage {
        processor: ticks.filter_map(|it| it.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND,
        sent: counter("medlarlug_link_sent_bytes_total"),
        received: counter("medlarlug_link_received_bytes_total"),
        resident: resident.unwrap_or(0.0) / 1_024.0,
    }
}

/// Prints the resources that every process used per second while `work` ran.
fn measure_during(deployment: &Deployment, name: &str, work: impl FnOnce()) {
    let ids: Vec<String> = deployment.instances.iter().map(|it| it.id.clone()).collect();
    let before: Vec<Usage> = ids.iter().map(|it| usage(deployment, it)).collect();
    let start = std::time::Instant::now();
    work();
    let seconds = start.elapsed().as_secs_f64();
    for (id, before) in ids.iter().zip(before) {
        let after = usage(deployment, id);
        println!(
            "{name:<10} {id:<12} sent {:>7.0} B/s  received {:>7.0} B/s  processor {:>5.2}%  \
             resident {:>5.1} MB",
            (after.sent - before.sent) / seconds,
            (after.received - before.received) / seconds,
            (after.processor - before.processor) / seconds * 100.0,
            after.resident
        );
    }
}

fn send_load(deployment: &Arc<Deployment>) {
    let entries = deployment.instances.iter().filter(|it| it.is_entry);
    let callers: Vec<thread::JoinHandle<usize>> = entries
        .map(|entry| {
            let (deployment, entry) = (deployment.clone(), entry.id.clone());
            thread::spawn(move || {
                let count = (MEASURED_TIME.as_secs_f64() * REQUESTS_PER_SECOND) as u32;
                let start = std::time::Instant::now();
                let mut answered = 0;
                for number in 0..count {
                    let due = Duration::from_secs_f64(f64::from(number) / REQUESTS_PER_SECOND);
                    thread::sleep(due.saturating_sub(start.elapsed()));
                    let prompt = format!("the mesh of net {number} at {entry}");
                    let reply = deployment.complete(&entry, "model-00", &prompt);
                    answered += usize::from(reply.status == 200);
                }
                answered
            })
        })
        .collect();
    let answered: usize = callers.into_iter().map(|it| it.join().expect("a caller")).sum();
    println!("answered {answered} requests");
}

fn predict(prefixes: usize, rate: f64) {
    let sample = membership::measure(&CURRENT_SCALE, prefixes);
    let region_entries = (CURRENT_SCALE.nodes - CURRENT_SCALE.keepers) / CURRENT_SCALE.regions;
    let report =
        demand::measure(&CURRENT_SCALE, region_entries, (rate * region_entries as f64).max(1.0))
            .report;
    let reports = report * (region_entries - 1) as f64;
    let (request, response) = configuration::update_request_bytes();
    let batches = rate.min(5.0);
    let requests = if batches > 0.0 { (rate / batches).round() as u64 } else { 0 };
    let records = batches * replication::batch_bytes(requests.max(1)) as f64;
    println!(
        "predicted at {rate} requests/s: entry sent {:.0} B/s, received {:.0} B/s",
        sample.entry.sent + reports + request as f64 + records,
        sample.entry.received + reports + response as f64 + batches * 60.0
    );
    println!(
        "  of which membership {:.0} and {:.0}, demand {reports:.0} and {reports:.0}, records \
         {records:.0}; speaker sent {:.0}, received {:.0} of membership; keeper sent {:.0}, \
         received {:.0} of membership",
        sample.entry.sent,
        sample.entry.received,
        sample.speaker.sent,
        sample.speaker.received,
        sample.keeper.sent,
        sample.keeper.received
    );
}

pub fn measure() {
    let deployment = deployment().start();
    deployment.configure(items());
    let each = CURRENT_SCALE.engines / CURRENT_SCALE.zones;
    for it in deployment.instances.iter().filter(|it| it.is_entry) {
        deployment.wait_upstreams(&it.id, each);
    }
    thread::sleep(Duration::from_secs(3));
    measure_during(&deployment, "idle", || thread::sleep(MEASURED_TIME));
    predict(0, 0.0);
    let deployment = Arc::new(deployment);
    measure_during(&deployment, "loaded", || send_load(&deployment));
    predict(1, REQUESTS_PER_SECOND);
}

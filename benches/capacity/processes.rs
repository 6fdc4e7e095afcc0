//! Eight entry instances, three keepers and 120 emulated engines as processes on this machine,
//! beside what the slopes predict for them.

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

/// Today's size, with more engines.
const TODAY: Scale =
    Scale { nodes: 11, keepers: 3, engines: 120, regions: 2, zones: 4, teams: 2_700, models: 1 };
const ENGINE_SLOTS: u32 = 8;
const WINDOW: Duration = Duration::from_secs(10);
/// Requests a second at each entry instance under the small load.
const RATE: f64 = 10.0;
const TICKS_PER_SECOND: f64 = 100.0;

/// What one process has used since its start.
#[derive(Debug, Clone, Copy)]
struct Usage {
    processor: f64,
    sent: f64,
    received: f64,
    resident: f64,
}

fn deployment() -> Deployment {
    let binaries = Path::new(env!("CARGO_BIN_EXE_medlarlug")).parent().expect("a folder");
    let zone = |number: usize| TODAY.zone_name(number % TODAY.zones);
    let names: Vec<(String, String)> = (0..TODAY.zones)
        .map(|it| (TODAY.zone_name(it), Scale::region_name(TODAY.region_of(it))))
        .collect();
    let zones: Vec<(&str, &str)> = names.iter().map(|it| (it.0.as_str(), it.1.as_str())).collect();
    let mut made = Deployment::new(binaries, &zones);
    for number in 0..TODAY.nodes - TODAY.keepers {
        made = made.entry(&format!("entry-{number:03}"), &zone(number));
    }
    for number in 0..TODAY.keepers {
        made = made.keeper(&format!("keeper-{number:03}"), &zone(number));
    }
    let engines = TODAY.engines / TODAY.zones;
    for number in 0..TODAY.zones {
        let pool = format!("pool-{number}");
        let equal = Pool { model: "model-00", count: engines, slots: ENGINE_SLOTS, speed: 10_000 };
        made = made.pool(&pool, &zone(number), equal);
    }
    made
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
    let mut items = TODAY.configuration().items().to_vec();
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

/// Prints what every process used a second during `work`.
fn observe(deployment: &Deployment, name: &str, work: impl FnOnce()) {
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
                let count = (WINDOW.as_secs_f64() * RATE) as u32;
                let start = std::time::Instant::now();
                let mut answered = 0;
                for number in 0..count {
                    let due = Duration::from_secs_f64(f64::from(number) / RATE);
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
    let sample = membership::measure(&TODAY, prefixes);
    let near = (TODAY.nodes - TODAY.keepers) / TODAY.regions;
    let report = demand::measure(&TODAY, near, (rate * near as f64).max(1.0)).report;
    let reports = report * (near - 1) as f64;
    let (ask, answer) = configuration::ask_bytes();
    let batches = rate.min(5.0);
    let requests = if batches > 0.0 { (rate / batches).round() as u64 } else { 0 };
    let records = batches * replication::batch_bytes(requests.max(1)) as f64;
    println!(
        "predicted at {rate} requests/s: entry sent {:.0} B/s, received {:.0} B/s",
        sample.entry.sent + reports + ask as f64 + records,
        sample.entry.received + reports + answer as f64 + batches * 60.0
    );
    println!(
        "  of it membership {:.0} and {:.0}, demand {reports:.0} and {reports:.0}, records \
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
    let each = TODAY.engines / TODAY.zones;
    for it in deployment.instances.iter().filter(|it| it.is_entry) {
        deployment.wait_upstreams(&it.id, each);
    }
    thread::sleep(Duration::from_secs(3));
    observe(&deployment, "idle", || thread::sleep(WINDOW));
    predict(0, 0.0);
    let deployment = Arc::new(deployment);
    observe(&deployment, "loaded", || send_load(&deployment));
    predict(1, RATE);
}

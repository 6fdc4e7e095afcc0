//! Measures the slopes of the capacity page: how resource use grows with the size of a deployment.
//!
//! `cargo bench --bench capacity` prints every slope with its fit and draws
//! `docs/plots/capacity.svg`; `-- membership`, `demand`, `configuration`, `replication`, `records`,
//! `links` and `processes` select parts and draw nothing. Except in `processes`, the real cores and
//! codecs run in this process. Bytes are whole frames, sent plus received, without the headers of
//! nng, TCP and IP. Processor time is that of the benchmark's single thread and includes its driver.

mod configuration;
mod demand;
mod fit;
mod links;
mod membership;
mod plot;
mod processes;
mod replication;
mod wire;

use fit::Slope;
use medlarlug_core::follower::VOTER_REQUEST_INTERVAL;
use test_support::scale::{Scale, TARGET_SCALE};

use crate::membership::Traffic;

/// Voters of the configuration group.
const VOTER_COUNT: usize = 5;
/// Entry instances of the largest region.
const REGION_INSTANCES: usize = 48;
/// Prefixes that enter an engine's cache between two load reports, at five requests per second.
const PREFIXES_PER_REPORT: usize = 3;
/// Mean number of requests per second in one region.
const REGION_REQUESTS_PER_SECOND: f64 = 400.0;

/// A part of the benchmark: its name on the command line and its measurement.
type Part = (&'static str, fn() -> Vec<Slope>);

fn main() {
    let names: Vec<String> = std::env::args().skip(1).filter(|arg| !arg.starts_with('-')).collect();
    let is_selected = |name: &str| names.is_empty() || names.iter().any(|own| own == name);
    let parts: [Part; 6] = [
        ("configuration", measure_configuration),
        ("links", measure_links),
        ("membership", measure_membership),
        ("demand", measure_demand),
        ("replication", measure_replication),
        ("records", measure_records),
    ];
    let mut slopes = Vec::new();
    for (name, measure) in parts {
        if is_selected(name) {
            println!("# {name}");
            let part = measure();
            part.iter().for_each(Slope::print);
            slopes.extend(part);
        }
    }
    if is_selected("processes") {
        println!("# processes");
        processes::measure();
    }
    if names.is_empty() {
        let is_plotted =
            |it: &&Slope| !["zones", "models"].contains(&it.over) && it.unit != "msg/s";
        plot::draw(&slopes.iter().filter(is_plotted).collect::<Vec<&Slope>>());
    }
}

fn measure_membership() -> Vec<Slope> {
    let nodes = [87, 174, 340].map(|nodes| (nodes as f64, Scale { nodes, ..TARGET_SCALE }));
    let engines =
        [150, 300, 600].map(|engines| (engines as f64, Scale { engines, ..TARGET_SCALE }));
    let zones = [8, 16, 29].map(|zones| {
        let scale =
            Scale { zones, nodes: 340 * zones / 29, engines: 600 * zones / 29, ..TARGET_SCALE };
        (zones as f64, scale)
    });
    let models = [3, 6, 12].map(|models| (models as f64, Scale { models, ..TARGET_SCALE }));
    let mut slopes = Vec::new();
    for (over, sizes) in
        [("nodes", nodes), ("engines", engines), ("zones", zones), ("models", models)]
    {
        slopes.extend(membership_over(over, &sizes));
    }
    slopes
}

fn membership_over(over: &'static str, sizes: &[(f64, Scale)]) -> Vec<Slope> {
    let total = |it: &Traffic| it.sent + it.received;
    let mut entry = Slope::new("membership, entry", over, "B/s");
    let mut speaker = Slope::new("membership, speaker", over, "B/s");
    let mut keeper = Slope::new("membership, keeper", over, "B/s");
    let mut heartbeats = Slope::new("of which heartbeats, entry", over, "B/s");
    let mut upstreams = Slope::new("of which upstreams, entry", over, "B/s");
    let mut summaries = Slope::new("of which summaries, entry", over, "B/s");
    let mut speaker_summaries = Slope::new("of which summaries, speaker", over, "B/s");
    let mut messages = Slope::new("membership, entry", over, "msg/s");
    let mut processor = Slope::new("membership, a node", over, "% core");
    for (size, scale) in sizes {
        let sample = membership::measure(scale, PREFIXES_PER_REPORT);
        entry.points.push((*size, total(&sample.entry)));
        speaker.points.push((*size, total(&sample.speaker)));
        keeper.points.push((*size, total(&sample.keeper)));
        heartbeats.points.push((*size, sample.entry.kinds[0]));
        upstreams.points.push((*size, sample.entry.kinds[1]));
        summaries.points.push((*size, sample.entry.kinds[2]));
        speaker_summaries.points.push((*size, sample.speaker.kinds[2]));
        messages.points.push((*size, sample.entry.messages));
        processor.points.push((*size, sample.processor * 100.0));
    }
    vec![
        entry,
        speaker,
        keeper,
        heartbeats,
        upstreams,
        summaries,
        speaker_summaries,
        messages,
        processor,
    ]
}

fn measure_demand() -> Vec<Slope> {
    let mut report = Slope::new("demand report", "instances", "B");
    let mut sent = Slope::new("demand reports, entry, sent + received", "instances", "B/s");
    let mut processor = Slope::new("demand reports, entry", "instances", "% core");
    for instances in [12, 24, REGION_INSTANCES] {
        let sample = demand::measure(&TARGET_SCALE, instances, REGION_REQUESTS_PER_SECOND);
        report.points.push((instances as f64, sample.report));
        sent.points.push((instances as f64, 2.0 * sample.sent));
        processor.points.push((instances as f64, sample.processor * 100.0));
    }
    let mut teams = Slope::new("demand report", "teams", "B");
    let mut shares = Slope::new("demand reports, entry", "teams", "% core");
    for count in [675, 1_350, 2_700] {
        let scale = Scale { teams: count, ..TARGET_SCALE };
        let sample = demand::measure(&scale, REGION_INSTANCES, REGION_REQUESTS_PER_SECOND);
        teams.points.push((count as f64, sample.report));
        shares.points.push((count as f64, sample.processor * 100.0));
    }
    vec![report, sent, processor, teams, shares]
}

fn measure_configuration() -> Vec<Slope> {
    let mut bytes = Slope::new("whole configuration, a frame", "teams", "B");
    let mut memory = Slope::new("whole configuration, memory", "teams", "B");
    let mut decode = Slope::new("whole configuration, decoding", "teams", "ms");
    let mut change = Slope::new("change of one team, applied", "teams", "ms");
    for teams in [675, 1_350, 2_700] {
        let sample = configuration::measure(&Scale { teams, ..TARGET_SCALE });
        bytes.points.push((teams as f64, sample.bytes));
        memory.points.push((teams as f64, sample.memory));
        decode.points.push((teams as f64, sample.decode * 1_000.0));
        change.points.push((teams as f64, sample.change * 1_000.0));
    }
    let mut push = Slope::new("pushed change, a frame", "teams", "B");
    for teams in [1, 5, 50] {
        push.points.push((teams as f64, configuration::push_bytes(&TARGET_SCALE, teams) as f64));
    }
    let (request, response) = configuration::update_request_bytes();
    let mut update_requests =
        Slope::new("update requests of followers, voter of 5", "nodes", "B/s");
    for nodes in [85, 170, 340] {
        let requests = nodes as f64 / VOTER_REQUEST_INTERVAL as f64 / VOTER_COUNT as f64;
        update_requests.points.push((nodes as f64, requests * (request + response) as f64));
    }
    let (call, reply) = configuration::confirm_bytes();
    println!(
        "update request {request} B, response {response} B; confirming call {call} B, reply {reply} B"
    );
    vec![bytes, memory, decode, change, push, update_requests]
}

fn measure_replication() -> Vec<Slope> {
    let mut leader = Slope::new("group without load, leader", "voters", "B/s");
    let mut follower = Slope::new("group without load, follower", "voters", "B/s");
    let mut messages = Slope::new("group without load, leader", "voters", "msg/s");
    let mut processor = Slope::new("group without load, all voters", "voters", "% core");
    for voters in [3, 5, 7, 9] {
        let sample = replication::measure(voters);
        leader.points.push((voters as f64, sample.leader));
        follower.points.push((voters as f64, sample.follower));
        messages.points.push((voters as f64, sample.leader_messages));
        processor.points.push((voters as f64, sample.processor * 100.0));
    }
    vec![leader, follower, messages, processor]
}

fn measure_records() -> Vec<Slope> {
    let mut batch = Slope::new("records, a batch", "requests", "B");
    let mut append = Slope::new("records, replicated to a follower", "requests", "B");
    for requests in [1, 10, 100] {
        batch.points.push((requests as f64, replication::batch_bytes(requests) as f64));
        append.points.push((requests as f64, replication::append_bytes(requests) as f64));
    }
    vec![batch, append]
}

fn measure_links() -> Vec<Slope> {
    let mut memory = Slope::new("links, one to each peer and back", "peers", "MB");
    let mut threads = Slope::new("links, threads of the process", "peers", "threads");
    for sample in links::measure(&[43, 170, 339]) {
        memory.points.push((sample.peers as f64, sample.memory / 1e6));
        threads.points.push((sample.peers as f64, sample.threads));
    }
    vec![memory, threads]
}

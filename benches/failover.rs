//! Measures commits, failover and release notes with real keeper processes.
//!
//! `cargo bench --bench failover` prints every part; `-- commits`, `leader` and `release` select
//! some. Processes run on loopback and sync to data folders in the temporary folder of the system.
//! Relays delay the links between keepers where a row says so.

use std::{
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use medlarlug::{
    protocol::{GroupId, GroupReply, GroupRequest, Message},
    settings::EntrySettings,
    transport::links::{Incoming, Links},
};
use medlarlug_core::{
    home::Action,
    ids::InstanceId,
    record::{Outcome, RequestRecord},
    release::{Item, ItemKey},
};
use test_support::{
    booking_service,
    deployment::{Deployment, wait_for},
    id, idempotent_service, note, policy, region, survey_team,
};

const KEEPERS: [&str; 3] = ["keeper-1", "keeper-2", "keeper-3"];
const COMMIT_RUN_TIME: Duration = Duration::from_secs(4);
/// One-way delay between keepers, as between regions.
const WAN_DELAY: Duration = Duration::from_millis(55);
const ROUNDS: usize = 6;
/// Longest wait for the next answer; calls without one are printed and given up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

fn deployment() -> Deployment {
    let binaries = Path::new(env!("CARGO_BIN_EXE_medlarlug")).parent().expect("a folder");
    let zones = [("riga-a", "riga")];
    let deployment = Deployment::new(binaries, &zones)
        .keeper("keeper-1", "riga-a")
        .keeper("keeper-2", "riga-a")
        .keeper("keeper-3", "riga-a")
        .entry("bench", "riga-a")
        .entry("entry-1", "riga-a")
        .entry("entry-2", "riga-a")
        .with_relays()
        .service("desk", "riga-a", "jobdesk")
        .start();
    deployment.configure(items());
    deployment.wait_upstreams("entry-1", 1);
    deployment
}

fn items() -> Vec<Item> {
    vec![
        region("riga", &["riga-a"]),
        booking_service("jobdesk"),
        policy(),
        Item::Team(survey_team("riga")),
    ]
}

fn leader(deployment: &Deployment, group: &str) -> Option<&'static str> {
    KEEPERS.into_iter().find(|it| {
        let groups = deployment.operator_get(it, "/status").json["groups"].clone();
        let groups = groups.as_array().cloned().unwrap_or_default();
        groups.iter().any(|it| it["group"] == group && it["role"] == "leader")
    })
}

fn wait_leader(deployment: &Deployment) -> &'static str {
    let mut found = None;
    wait_for("a leader", || {
        found = leader(deployment, "home-riga");
        found.is_some()
    });
    found.expect("a leader")
}

/// A client that calls a home group directly, over the links of an entry instance.
struct Client {
    links: Links,
    incoming: Incoming,
    leader: InstanceId,
    last_call: u64,
}

impl Client {
    /// Listens at the address of the instance `bench`, whose process must have been stopped.
    fn start(deployment: &Deployment) -> Client {
        let settings = EntrySettings::load(&deployment.settings("bench")).expect("settings");
        let own = settings.peer().clone();
        let (mut links, incoming) =
            Links::listen(own.id.clone(), settings.keys.clone(), own.peers).expect("links");
        for peer in settings.cluster.instances.iter().filter(|it| it.id != own.id) {
            links.add_peer(peer.id.clone(), peer.peers);
        }
        let leader = wait_leader(deployment).parse().expect("an instance");
        Client { links, incoming, leader, last_call: 0 }
    }

    fn call(&mut self) -> bool {
        self.last_call += 1;
        let record = RequestRecord {
            id: id(&format!("riga.bench.1.{}", self.last_call)),
            team: id("survey"),
            target: ItemKey::Service(id("jobdesk")),
            outcome: Some(Outcome::Answered),
            timeline: Vec::new(),
        };
        let request = GroupRequest::Act(Action::Records(vec![record]));
        let group = GroupId::Home(id("riga"));
        let message = Message::Call { call: self.last_call, group, request };
        self.links.send(&self.leader, message).is_ok()
    }

    /// Keeps `clients` calls in flight. Returns the number of commits and their latency in
    /// microseconds.
    async fn run(&mut self, clients: u64) -> (usize, Histogram<u64>) {
        let mut latency = Histogram::new(3).expect("a histogram");
        let mut in_flight: Vec<(u64, Instant)> = Vec::new();
        let mut commits = 0;
        let end = Instant::now() + COMMIT_RUN_TIME;
        for _ in 0..clients {
            assert!(self.call(), "the call could not be sent");
            in_flight.push((self.last_call, Instant::now()));
        }
        while !in_flight.is_empty() {
            let next = tokio::time::timeout(ANSWER_TIMEOUT, self.incoming.receive()).await;
            let Ok(Some((_, message))) = next else {
                println!("{} calls were not answered", in_flight.len());
                break;
            };
            let Message::Reply { call, reply } = message else { continue };
            let Some(index) = in_flight.iter().position(|it| it.0 == call) else { continue };
            assert!(matches!(reply, GroupReply::Acted(_)), "{reply:?}");
            let (_, start) = in_flight.swap_remove(index);
            latency.record(start.elapsed().as_micros() as u64).expect("a latency");
            commits += 1;
            if Instant::now() < end && self.call() {
                in_flight.push((self.last_call, Instant::now()));
            }
        }
        (commits, latency)
    }
}

fn commits() {
    println!("| commits | commits/s | p50 ms | p99 ms |\n| --- | ---: | ---: | ---: |");
    let mut deployment = deployment();
    deployment.kill("bench");
    // A restarted keeper has received nothing from the instance and does not replace its link to it.
    KEEPERS.iter().for_each(|it| deployment.restart(it));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let mut client = Client::start(&deployment);
    sleep(Duration::from_secs(1));
    for (name, delay) in [("one region", Duration::ZERO), ("55 ms links", WAN_DELAY)] {
        deployment.network().delay_between(|it| KEEPERS.contains(&it), delay);
        sleep(Duration::from_secs(1));
        for clients in [1, 64] {
            client.leader = wait_leader(&deployment).parse().expect("an instance");
            let start = Instant::now();
            let (count, latency) = runtime.block_on(client.run(clients));
            let rate = count as f64 / start.elapsed().as_secs_f64();
            println!(
                "| {name}, {clients} clients | {rate:.0} | {:.2} | {:.2} |",
                latency.value_at_quantile(0.5) as f64 / 1_000.0,
                latency.value_at_quantile(0.99) as f64 / 1_000.0,
            );
        }
    }
}

/// Measures the time from a kill of the home group's leader to the next leader and booking.
fn killed_leader() {
    let mut deployment = deployment();
    let mut leader_times = Vec::new();
    let mut booking_times = Vec::new();
    for round in 0..ROUNDS {
        wait_for("a booking", || {
            deployment.book("entry-1", &format!("before-{round}"), "{}").status == 200
        });
        let killed = wait_leader(&deployment);
        deployment.kill(killed);
        let start = Instant::now();
        let (leader_time, booking_time) = std::thread::scope(|scope| {
            let shared = &deployment;
            let leader_watch = scope.spawn(move || {
                while leader(shared, "home-riga").is_none() {
                    sleep(POLL_INTERVAL);
                }
                start.elapsed()
            });
            let mut attempts = 0;
            while shared.book("entry-1", &format!("after-{round}-{attempts}"), "{}").status != 200 {
                attempts += 1;
            }
            (leader_watch.join().expect("no panic"), start.elapsed())
        });
        leader_times.push(leader_time);
        booking_times.push(booking_time);
        deployment.start_process(killed);
        wait_for("the killed keeper to follow", || {
            let groups = deployment.operator_get(killed, "/status").json["groups"].clone();
            let groups = groups.as_array().cloned().unwrap_or_default();
            !groups.is_empty() && groups.iter().all(|it| it["leader"].is_string())
        });
    }
    print_durations("new leader after a kill", leader_times);
    print_durations("first booking after a kill", booking_times);
}

fn release() {
    let deployment = deployment();
    let mut times = Vec::new();
    let instances: Vec<String> = deployment.instances.iter().map(|it| it.id.clone()).collect();
    let revision = |it: &str| deployment.operator_get(it, "/status").json["revision"].as_u64();
    for round in 0..ROUNDS {
        let base = KEEPERS.iter().filter_map(|it| revision(it)).max().unwrap_or_default();
        let item = idempotent_service(&format!("service-{round}"));
        let start = Instant::now();
        let reply = deployment.apply("entry-1", &note(base, vec![item]));
        let Some(accepted) = reply.json["revision"].as_u64() else {
            panic!("the note was refused: {}", reply.text)
        };
        while !instances.iter().all(|it| revision(it).is_some_and(|it| it >= accepted)) {
            sleep(POLL_INTERVAL);
        }
        times.push(start.elapsed());
    }
    print_durations("release note in effect at 6 instances", times);
}

fn print_durations(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let times: Vec<String> = times.iter().map(|it| it.as_millis().to_string()).collect();
    println!("{name}, ms, {} rounds, sorted: {}", times.len(), times.join(" "));
}

fn main() {
    let parts: Vec<String> = std::env::args().skip(1).filter(|it| !it.starts_with('-')).collect();
    let is_selected = |part: &str| parts.is_empty() || parts.iter().any(|it| it == part);
    if is_selected("commits") {
        commits();
    }
    if is_selected("leader") {
        killed_leader();
    }
    if is_selected("release") {
        release();
    }
}

//! Real keepers: commits, a killed leader, and release notes.
//!
//! `cargo bench --bench failover` prints every part; `-- commits`, `leader` and `release` ask for
//! some. Processes run on loopback, with data folders in the temporary folder of the system and real
//! syncs; a relay delays the links between regions.

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
const COMMIT_RUN: Duration = Duration::from_secs(4);
const WAN_DELAY: Duration = Duration::from_millis(55);
const ROUNDS: usize = 6;
const ANSWER_LIMIT: Duration = Duration::from_secs(2);
const POLL: Duration = Duration::from_millis(5);

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

/// A client that calls a home group over links of its own, in the place of an entry instance.
struct Client {
    links: Links,
    incoming: Incoming,
    leader: InstanceId,
    last: u64,
}

impl Client {
    /// Takes the place of the instance `bench`, whose process has to be stopped.
    fn start(deployment: &Deployment) -> Client {
        let settings = EntrySettings::load(&deployment.settings("bench")).expect("settings");
        let own = settings.peer().clone();
        let (mut links, incoming) =
            Links::listen(own.id.clone(), settings.keys.clone(), own.peers).expect("links");
        for peer in settings.cluster.instances.iter().filter(|it| it.id != own.id) {
            links.add_peer(peer.id.clone(), peer.peers);
        }
        let leader = wait_leader(deployment).parse().expect("an instance");
        Client { links, incoming, leader, last: 0 }
    }

    fn call(&mut self) -> bool {
        self.last += 1;
        let record = RequestRecord {
            id: id(&format!("riga.bench.1.{}", self.last)),
            team: id("survey"),
            target: ItemKey::Service(id("jobdesk")),
            outcome: Some(Outcome::Answered),
            timeline: Vec::new(),
        };
        let request = GroupRequest::Act(Action::Records(vec![record]));
        let group = GroupId::Home(id("riga"));
        let message = Message::Call { call: self.last, group, request };
        self.links.send(&self.leader, message).is_ok()
    }

    /// Keeps `clients` calls under way; tells the commits and their latency in microseconds.
    async fn run(&mut self, clients: u64) -> (usize, Histogram<u64>) {
        let mut latency = Histogram::new(3).expect("a histogram");
        let mut begun: Vec<(u64, Instant)> = Vec::new();
        let mut commits = 0;
        let end = Instant::now() + COMMIT_RUN;
        for _ in 0..clients {
            assert!(self.call(), "a call is sent");
            begun.push((self.last, Instant::now()));
        }
        while !begun.is_empty() {
            let next = tokio::time::timeout(ANSWER_LIMIT, self.incoming.receive()).await;
            let Ok(Some((_, message))) = next else {
                println!("{} calls were not answered", begun.len());
                break;
            };
            let Message::Reply { call, reply } = message else { continue };
            let Some(place) = begun.iter().position(|it| it.0 == call) else { continue };
            assert!(matches!(reply, GroupReply::Acted(_)), "{reply:?}");
            let (_, start) = begun.swap_remove(place);
            latency.record(start.elapsed().as_micros() as u64).expect("a latency");
            commits += 1;
            if Instant::now() < end && self.call() {
                begun.push((self.last, Instant::now()));
            }
        }
        (commits, latency)
    }
}

fn commits() {
    println!("| commits | commits/s | p50 ms | p99 ms |\n| --- | ---: | ---: | ---: |");
    let mut deployment = deployment();
    deployment.kill("bench");
    // Keepers that never heard the instance don't replace their links to it.
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

/// Kills the leader of the home group and measures until the next leader and the next booking.
fn killed_leader() {
    let mut deployment = deployment();
    let mut leads = Vec::new();
    let mut books = Vec::new();
    for round in 0..ROUNDS {
        wait_for("a booking", || {
            deployment.book("entry-1", &format!("before-{round}"), "{}").status == 200
        });
        let killed = wait_leader(&deployment);
        deployment.kill(killed);
        let start = Instant::now();
        let (lead, book) = std::thread::scope(|scope| {
            let shared = &deployment;
            let lead = scope.spawn(move || {
                while leader(shared, "home-riga").is_none() {
                    sleep(POLL);
                }
                start.elapsed()
            });
            let mut tries = 0;
            while shared.book("entry-1", &format!("after-{round}-{tries}"), "{}").status != 200 {
                tries += 1;
            }
            (lead.join().expect("no panic"), start.elapsed())
        });
        leads.push(lead);
        books.push(book);
        deployment.start_process(killed);
        wait_for("the killed keeper to follow", || {
            let groups = deployment.operator_get(killed, "/status").json["groups"].clone();
            let groups = groups.as_array().cloned().unwrap_or_default();
            !groups.is_empty() && groups.iter().all(|it| it["leader"].is_string())
        });
    }
    print_durations("new leader after a kill", leads);
    print_durations("first booking after a kill", books);
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
            sleep(POLL);
        }
        times.push(start.elapsed());
    }
    print_durations("release note in force at 6 instances", times);
}

fn print_durations(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let times: Vec<String> = times.iter().map(|it| it.as_millis().to_string()).collect();
    println!("{name}, ms, {} rounds, sorted: {}", times.len(), times.join(" "));
}

fn main() {
    let parts: Vec<String> = std::env::args().skip(1).filter(|it| !it.starts_with('-')).collect();
    let is_asked = |part: &str| parts.is_empty() || parts.iter().any(|it| it == part);
    if is_asked("commits") {
        commits();
    }
    if is_asked("leader") {
        killed_leader();
    }
    if is_asked("release") {
        release();
    }
}

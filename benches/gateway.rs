//! Measures the latency, throughput and memory of an entry instance, and the spread of callers.
//!
//! `cargo bench --bench gateway` starts processes on loopback; `-- latency`, `rate`, `memory` and
//! `spread` select parts. Times depend on the other load of the machine, which is printed first.

use std::{
    cell::{Cell, RefCell},
    fs,
    net::SocketAddr,
    path::Path,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request,
    header::{AUTHORIZATION, CONTENT_TYPE, HOST},
};
use medlarlug::transport::http_client::{CallLimits, HttpClient, Reuse};
use medlarlug_core::{
    fingerprint::Fingerprint,
    release::{
        Item,
        item::{Model, Policy, Residency, Team},
    },
};
use test_support::{
    deployment::{CALLER_KEY, Deployment, Pool},
    id, region, team,
};
use tokio::{
    task::LocalSet,
    time::{sleep, timeout},
};

const FAST_MODEL: &str = "fast";
const SLOW_MODEL: &str = "slow";
const LIMITS: CallLimits =
    CallLimits { connect: Duration::from_secs(5), head: Duration::from_secs(30) };
const RUNS: usize = 3;
const RATE_TIME: Duration = Duration::from_secs(5);
const STREAM_COUNT: usize = 1_000;
const CALLER_COUNT: usize = 200;
const ENTRY_COUNT: usize = 8;
/// Time in which callers spread over the entry instances, and time in which answers are counted.
const SPREAD_TIMES: [Duration; 2] = [Duration::from_secs(30), Duration::from_secs(10)];
const TICKS_PER_SECOND: f64 = 100.0;

fn items() -> Vec<Item> {
    let model = |name: &str| {
        Item::Model(Model {
            id: id(name),
            versions: vec![id("v1")],
            adapters: Vec::new(),
            residency: Residency::Anywhere,
        })
    };
    let survey = Team {
        keys: vec![Fingerprint::of(CALLER_KEY.as_bytes())],
        residency: Residency::Anywhere,
        rate: id("1000000/s"),
        burst: id("1000000"),
        ..team("survey", "riga")
    };
    let price = |value: f64| value.try_into().expect("a price");
    let policy =
        Policy { latency_weight: price(1.0), cost_weight: price(1.0), deadline_ms: 120_000 };
    let region = region("riga", &["riga-a"]);
    vec![region, model(FAST_MODEL), model(SLOW_MODEL), Item::Policy(policy), Item::Team(survey)]
}

/// Starts one zone with a keeper, `entries` entry instances and two pools of engines.
fn start(entries: usize) -> Deployment {
    let binaries = Path::new(env!("CARGO_BIN_EXE_medlarlug")).parent().expect("a folder");
    let mut deployment =
        Deployment::new(binaries, &[("riga-a", "riga")]).keeper("keeper-1", "riga-a");
    for number in 1..=entries {
        deployment = deployment.entry(&format!("entry-{number}"), "riga-a");
    }
    let deployment = deployment
        .pool("fast", "riga-a", Pool { model: FAST_MODEL, count: 4, slots: 64, speed: 10_000 })
        .pool("slow", "riga-a", Pool { model: SLOW_MODEL, count: 16, slots: 128, speed: 20 })
        .start();
    deployment.configure(items());
    for number in 1..=entries {
        deployment.wait_upstreams(&format!("entry-{number}"), 20);
    }
    std::thread::sleep(Duration::from_secs(3));
    deployment
}

struct Timing {
    first: Duration,
    whole: Duration,
    status: u16,
}

/// Sends a completion request and reads the answer to its end. Returns `None` if that fails.
async fn complete(
    client: &HttpClient,
    address: SocketAddr,
    model: &str,
    tokens: u32,
    stream: bool,
) -> Option<Timing> {
    let body = serde_json::json!({
        "model": model, "prompt": "the mesh of the net", "max_tokens": tokens, "stream": stream
    });
    let request = Request::builder()
        .method(Method::POST)
        .uri("/v1/completions")
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(AUTHORIZATION, format!("Bearer {CALLER_KEY}"))
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a request");
    let start = Instant::now();
    let (answer, connection) = client.call(address, request, Reuse::Allowed, LIMITS).await.ok()?;
    let status = answer.status().as_u16();
    let mut body = answer.into_body();
    let mut first = None;
    while let Some(frame) = body.frame().await {
        frame.ok()?;
        first.get_or_insert_with(|| start.elapsed());
    }
    let whole = start.elapsed();
    client.release(connection);
    Some(Timing { first: first.unwrap_or(whole), whole, status })
}

#[derive(Clone)]
struct Times {
    first: Histogram<u64>,
    whole: Histogram<u64>,
    failed: u64,
}

impl Times {
    fn new() -> Times {
        let histogram = Histogram::new(3).expect("a histogram");
        Times { first: histogram.clone(), whole: histogram, failed: 0 }
    }

    fn record(&mut self, timing: Option<Timing>) {
        match timing {
            Some(it) if it.status == 200 => {
                self.first.record(it.first.as_micros() as u64).expect("a time");
                self.whole.record(it.whole.as_micros() as u64).expect("a time");
            }
            _ => self.failed += 1,
        }
    }
}

/// Measures `count` requests on each of `streams` connections, directly to the engine and through
/// the entry instance. The two alternate, so that the load of the machine affects both alike.
async fn compare(
    engine: SocketAddr,
    entry: SocketAddr,
    streams: usize,
    count: usize,
) -> [Times; 2] {
    let client = HttpClient::default();
    let all = Rc::new(RefCell::new([Times::new(), Times::new()]));
    let one = |_| {
        let (client, all) = (client.clone(), all.clone());
        async move {
            for address in [engine, entry] {
                complete(&client, address, FAST_MODEL, 8, true).await;
            }
            for _ in 0..count {
                for (index, address) in [engine, entry].into_iter().enumerate() {
                    let timing = complete(&client, address, FAST_MODEL, 8, true).await;
                    all.borrow_mut()[index].record(timing);
                }
            }
        }
    };
    join_all((0..streams).map(one)).await;
    all.borrow().clone()
}

fn print_added(streams: usize, direct: &Times, through: &Times) {
    for (name, direct, through) in
        [("first byte", &direct.first, &through.first), ("whole", &direct.whole, &through.whole)]
    {
        for quantile in [0.5, 0.99] {
            let [direct, through] =
                [direct, through].map(|it| it.value_at_quantile(quantile) as f64 / 1_000.0);
            println!(
                "{streams:>3} streams, {name:<10} p{:<3} direct {direct:>7.3} ms  through \
                 {through:>7.3} ms  added {:>6.3} ms  ratio {:.2}",
                quantile * 100.0,
                through - direct,
                through / direct
            );
        }
    }
    println!("{streams:>3} streams, failed: direct {}, through {}", direct.failed, through.failed);
}

async fn measure_latency(deployment: &Deployment) {
    let entry = deployment.get("entry-1").callers;
    let engine = deployment.upstreams[0].address;
    for (streams, count) in [(1, 400), (64, 40)] {
        for run in 1..=RUNS {
            println!("run {run}:");
            let [direct, through] = compare(engine, entry, streams, count).await;
            print_added(streams, &direct, &through);
        }
    }
}

/// Processor time in seconds and resident memory in MiB of a process.
fn usage(pid: u32) -> (f64, f64) {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("a running process");
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    let used: f64 = ticks.filter_map(|it| it.parse::<f64>().ok()).sum();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("a running process");
    let resident = status.lines().find(|it| it.starts_with("VmRSS:"));
    let resident = resident.and_then(|it| it.split_whitespace().nth(1)?.parse::<f64>().ok());
    (used / TICKS_PER_SECOND, resident.unwrap_or(0.0) / 1_024.0)
}

async fn measure_rate(deployment: &Deployment) {
    let entry = deployment.get("entry-1").callers;
    let pid = deployment.pid("entry-1");
    for run in 1..=RUNS {
        let client = HttpClient::default();
        let done = Rc::new(Cell::new([0u64; 2]));
        let (before, _) = usage(pid);
        let start = Instant::now();
        let one = |_| {
            let (client, done) = (client.clone(), done.clone());
            async move {
                while start.elapsed() < RATE_TIME {
                    let timing = complete(&client, entry, FAST_MODEL, 1, false).await;
                    let index = usize::from(timing.is_none_or(|it| it.status != 200));
                    let mut counts = done.get();
                    counts[index] += 1;
                    done.set(counts);
                }
            }
        };
        join_all((0..64).map(one)).await;
        let seconds = start.elapsed().as_secs_f64();
        let processor = usage(pid).0 - before;
        let [answered, failed] = done.get();
        println!(
            "run {run}: {:.0} requests/s over 64 connections, entry at {:.0}% of a core: {:.0} \
             requests for a second of processor; {failed} not answered",
            answered as f64 / seconds,
            processor / seconds * 100.0,
            answered as f64 / processor
        );
    }
}

async fn measure_memory(deployment: &Deployment) {
    let entry = deployment.get("entry-1").callers;
    let pid = deployment.pid("entry-1");
    let client = HttpClient::default();
    let before = usage(pid);
    let still_open = Rc::new(Cell::new(0usize));
    let open = (0..STREAM_COUNT).map(|_| {
        let (client, still_open) = (client.clone(), still_open.clone());
        async move {
            let limit = Duration::from_secs(12);
            let read = complete(&client, entry, SLOW_MODEL, 100_000, true);
            let ended = timeout(limit, read).await;
            still_open.set(still_open.get() + usize::from(ended.is_err()));
        }
    });
    let watch = async {
        sleep(Duration::from_secs(5)).await;
        let early = usage(pid);
        sleep(Duration::from_secs(5)).await;
        (early, usage(pid))
    };
    let (_, (early, late)) = futures_util::join!(join_all(open), watch);
    println!(
        "{} of {STREAM_COUNT} streams open: resident {:.1} MB (before {:.1} MB), processor {:.1}% \
         of a core while they run",
        still_open.get(),
        late.1,
        before.1,
        (late.0 - early.0) / 5.0 * 100.0
    );
}

/// Fetches the directory from `entry`. Returns its first address and its lifetime.
async fn directory(client: &HttpClient, entry: SocketAddr) -> Option<(SocketAddr, Duration)> {
    let request = Request::builder()
        .uri("/v1/entries")
        .header(HOST, entry.to_string())
        .header(AUTHORIZATION, format!("Bearer {CALLER_KEY}"))
        .body(Full::default())
        .expect("a request");
    let (answer, connection) = client.call(entry, request, Reuse::Allowed, LIMITS).await.ok()?;
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    client.release(connection);
    let json: serde_json::Value = serde_json::from_slice(&body).ok()?;
    let address = json["entries"][0]["address"].as_str()?.parse().ok()?;
    Some((address, Duration::from_secs(json["lifetime"].as_u64()?)))
}

async fn measure_spread(deployment: &Deployment) {
    let entries: Vec<SocketAddr> =
        deployment.instances.iter().filter(|it| it.is_entry).map(|it| it.callers).collect();
    let counts = Rc::new(RefCell::new(vec![[0u64; 2]; entries.len()]));
    let start = Instant::now();
    let [spreading, counted] = SPREAD_TIMES;
    let caller = |number: usize| {
        let (client, counts, entries) = (HttpClient::default(), counts.clone(), entries.clone());
        async move {
            sleep(Duration::from_millis(number as u64 * 25)).await;
            let mut entry = entries[0];
            let mut due = Instant::now();
            while start.elapsed() < spreading + counted {
                if Instant::now() >= due {
                    let Some((next, lifetime)) = directory(&client, entry).await else { continue };
                    (entry, due) = (next, Instant::now() + lifetime);
                }
                let timing = complete(&client, entry, SLOW_MODEL, 8, true).await;
                let outcome = usize::from(timing.is_none_or(|it| it.status != 200));
                let found = entries.iter().position(|it| *it == entry).unwrap_or(0);
                if start.elapsed() >= spreading {
                    counts.borrow_mut()[found][outcome] += 1;
                }
            }
        }
    };
    join_all((0..CALLER_COUNT).map(caller)).await;
    let counts = counts.borrow();
    let answered: Vec<u64> = counts.iter().map(|it| it[0]).collect();
    let failed: u64 = counts.iter().map(|it| it[1]).sum();
    let mean = answered.iter().sum::<u64>() as f64 / answered.len() as f64;
    let busiest = *answered.iter().max().expect("entry instances") as f64;
    println!(
        "{CALLER_COUNT} callers, {ENTRY_COUNT} entry instances: {answered:?} answered in {} s, busiest \
         {:.2} times the mean; {failed} not answered",
        counted.as_secs(),
        busiest / mean
    );
}

fn main() {
    let names: Vec<String> = std::env::args().skip(1).filter(|arg| !arg.starts_with('-')).collect();
    let is_selected = |name: &str| names.is_empty() || names.iter().any(|own| own == name);
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    println!("load of the machine at the start: {}", load.trim());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    if ["latency", "rate", "memory"].into_iter().any(is_selected) {
        let deployment = start(1);
        let parts = async {
            if is_selected("latency") {
                measure_latency(&deployment).await;
            }
            if is_selected("rate") {
                measure_rate(&deployment).await;
            }
            if is_selected("memory") {
                measure_memory(&deployment).await;
            }
        };
        LocalSet::new().block_on(&runtime, parts);
    }
    if is_selected("spread") {
        let deployment = start(ENTRY_COUNT);
        LocalSet::new().block_on(&runtime, measure_spread(&deployment));
    }
}

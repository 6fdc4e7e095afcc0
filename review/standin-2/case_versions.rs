//! An engine goes down and up by turns and comes back under its id with newer software, while its
//! heartbeats arrive late.

use std::{
    collections::BTreeSet,
    io::Write,
    net::TcpStream,
    sync::Arc,
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    deployment::{Deployment, HOST},
    engine::{self, Engine, Profile, Work},
    http::{self, Message, Outcome},
    record::Record,
};

const ENGINES: usize = 15;
/// Engines that go down and up: a share of 0.133.
const FLAPPING: usize = 2;
/// Things that requests are about.
const THINGS: u64 = 427;
const EVENTS: u64 = 15;
const EVENT_GAP: Duration = Duration::from_millis(80);
const LENGTH: Duration = Duration::from_secs(16);
const GAP: Duration = Duration::from_millis(25);
/// Time by which the heartbeats of the engine that goes down and up arrive late.
const DELAY: Duration = Duration::from_millis(3_000);
/// When the engine first goes down, and its period: half of it down, half of it up.
const FIRST_DOWN: Duration = Duration::from_millis(4_000);
const PERIOD: Duration = Duration::from_millis(906);
/// Periods in which it goes down.
const PERIODS: u32 = 7;
/// Streams that may hold events of two software versions.
const MAX_MIXED: usize = 2;

struct Engines {
    record: &'static Record,
}

impl Work for Engines {
    fn serve(&self, engine: &Arc<Engine>, request: &Message, stream: &mut TcpStream) -> bool {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let last = request.header("last-event-id").and_then(|it| it.parse::<u64>().ok());
        let software = engine.software();
        let incarnation = engine.incarnation();
        self.record.write(&format!(
            "engine {} ({software}, start {incarnation}) runs {id} after event {}",
            engine.id(),
            last.unwrap_or(0)
        ));
        let headers = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")];
        let head = engine::answer_head(engine, request, 200, &headers) + "\r\n";
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in last.unwrap_or(0) + 1..=EVENTS {
            sleep(EVENT_GAP);
            let event = format!("id: {number}\ndata: {software} piece {number} of {id}\n\n");
            if engine.incarnation() != incarnation || !engine::chunk(stream, &event) {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

fn document() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-digest","host":"{HOST}","pathPrefix":"/lohu930/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":2000,"priority":0,"service":"huvo11a","maxAttempts":2,"sessionAffinity":true,"resumable":true,"gapTargetMs":600,"homeRegions":[]}}],"services":[{{"name":"huvo11a","healthPath":"/healthz","maxConnections":620,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"engine":{{"slots":16,"kvCapacity":179025,"kvBytes":131072,"linkMbps":550000.0,"moves":true,"backups":true,"stride":5,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// The software versions in the events of an answer.
fn versions(answer: &Message) -> BTreeSet<String> {
    let text = answer.text();
    let data = text.lines().filter_map(|it| it.strip_prefix("data: "));
    data.filter_map(|it| it.split(' ').next()).map(str::to_string).collect()
}

fn send(deployment: &Deployment, record: &Record, host: u8, id: &str) -> Outcome {
    // The shared parts are of many things, as those of the site.
    let number = u64::from_str_radix(id.trim_start_matches('a'), 16).unwrap_or_default();
    let prompt = format!("{:08x}:198,{id}:628", (number % THINGS + 1) * 0x9e37_79b1 % 0xffff_ffff);
    let headers = [
        ("Host", HOST),
        ("X-Attempt-Id", id),
        ("X-Model", "m"),
        ("X-Token-Count", "826,75"),
        ("X-Prompt-Prefix", prompt.as_str()),
        ("X-Deadline-Ms", "15000"),
    ];
    let body = format!("question {id}");
    let (address, limit) = (deployment.front(host), Duration::from_secs(15));
    let outcome = http::call(address, "POST", "/lohu930/2f", &headers, body.as_bytes(), limit);
    let versions = match &outcome {
        Outcome::Answer(answer) => versions(answer).into_iter().collect::<Vec<_>>().join(" and "),
        _ => String::new(),
    };
    record.write(&format!(
        "{id} sent to {host}: status {}, whole {}, written by {versions}",
        outcome.status(),
        outcome.is_served()
    ));
    outcome
}

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    // The engines outlive this function until the process ends.
    let record: &'static Record = unsafe { &*std::ptr::from_ref(record) };
    let entries = [11, 12, 13, 14, 15, 16, 17, 18];
    let deployment = Arc::new(Deployment::start(&entries)?);
    deployment.configure(&document())?;
    let work = Arc::new(Engines { record });
    let profile = Profile { service: "huvo11a", zone: "kochi-a", slots: 16, keeps_id: true };
    let controls: Vec<_> = (1..=3).map(|it| deployment.control(it)).collect();
    let engines: Vec<Arc<Engine>> = (0..ENGINES)
        .map(|number| {
            let address = deployment.engine_address(number as u8 + 1);
            Engine::start(number, address, &profile, controls.clone(), work.clone())
        })
        .collect();
    sleep(Duration::from_secs(8));

    let began = Instant::now();
    let mut sent = Vec::new();
    let (mut downs, mut ups) = (0, 0);
    for number in 0u32.. {
        let now = began.elapsed();
        if now > LENGTH {
            break;
        }
        if has_trouble && downs < PERIODS && now >= FIRST_DOWN + PERIOD * downs {
            downs += 1;
            for engine in &engines[..FLAPPING] {
                engine.crash();
                record.write(&format!("engine {} goes down", engine.id()));
            }
        }
        if has_trouble && ups < PERIODS && now >= FIRST_DOWN + PERIOD * ups + PERIOD / 2 {
            ups += 1;
            for engine in &engines[..FLAPPING] {
                engine.set_software("v2");
                engine.delay_heartbeats(DELAY);
                engine.clone().boot(work.clone());
                record.write(&format!("engine {} is up with v2", engine.id()));
            }
        }
        let (deployment, host) = (deployment.clone(), entries[number as usize % entries.len()]);
        sent.push(thread::spawn(move || {
            send(&deployment, record, host, &format!("a{number:015x}"))
        }));
        sleep(GAP);
    }
    let results: Vec<Outcome> = sent.into_iter().filter_map(|it| it.join().ok()).collect();
    let ended = deployment.ended();
    ended.iter().for_each(|it| record.say(it));
    let served = results.iter().filter(|it| it.is_served()).count();
    let is_mixed = |it: &&Outcome| matches!(it, Outcome::Answer(it) if versions(it).len() > 1);
    let mixed = results.iter().filter(is_mixed).count();
    record.say(&format!(
        "{} streams: {served} whole, {mixed} hold events of two software versions, {MAX_MIXED} may",
        results.len()
    ));
    if !has_trouble {
        return Ok(mixed == 0 && served * 100 >= results.len() * 99 && ended.is_empty());
    }
    Ok(mixed <= MAX_MIXED && ended.is_empty())
}

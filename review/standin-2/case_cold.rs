//! An engine crashes, comes back cold under its id, and its heartbeats are late.

use std::{
    collections::VecDeque,
    io::Write,
    net::TcpStream,
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    deployment::{Deployment, HOST},
    engine::{self, Engine, Profile, Work},
    http::{self, Message, Outcome},
    record::Record,
};

const ENGINES: usize = 4;
/// Things that requests are about.
const THINGS: u64 = 427;
const EVENTS: u64 = 58;
const EVENT_GAP: Duration = Duration::from_millis(20);
/// Requests in a second: the 75.4 of the kind of request in the site's first zone.
const RATE: f64 = 75.4;
/// Time for which clients send, and the time without requests before the crash.
const SENDING: Duration = Duration::from_secs(3);
const LULL: Duration = Duration::from_secs(2);
/// Time for which the engine is down.
const DOWN: Duration = Duration::from_secs(2);
/// `coldStartS` and `coldPerS`.
const COLD: Duration = Duration::from_secs(3);
const COLD_RATE: f64 = 2.6;
/// `coldPerS` x `coldOverage` + `coldSlack`: requests that a cold engine may get in one second.
const ALLOWED: f64 = COLD_RATE * 1.5 + 3.0;
/// Requests in one second at which a cold engine crashes: five times the rate that it tolerates.
const CRASH_RATE: f64 = COLD_RATE * 5.0;
/// Time by which heartbeats arrive late.
const DELAY: Duration = Duration::from_secs(1);

struct Engines {
    record: &'static Record,
    /// When the engine that crashes became cold.
    cold_since: Mutex<Option<Instant>>,
    /// Requests that reached it while it was cold, in the last second.
    recent: Mutex<VecDeque<Instant>>,
    most: Mutex<usize>,
    crashes: Mutex<usize>,
}

impl Engines {
    /// Counts a request at the cold engine; returns whether it crashes.
    fn count(&self, engine: &Engine) -> bool {
        let cold_since = *self.cold_since.lock().unwrap();
        if engine.number != 0 || cold_since.is_none_or(|it| it.elapsed() > COLD) {
            return false;
        }
        let now = Instant::now();
        let mut recent = self.recent.lock().unwrap();
        recent.push_back(now);
        while recent.front().is_some_and(|it| now - *it > Duration::from_secs(1)) {
            recent.pop_front();
        }
        let mut most = self.most.lock().unwrap();
        *most = recent.len().max(*most);
        recent.len() as f64 > CRASH_RATE
    }
}

impl Work for Engines {
    fn serve(&self, engine: &Arc<Engine>, request: &Message, stream: &mut TcpStream) -> bool {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let incarnation = engine.incarnation();
        self.record.write(&format!("engine {} (start {incarnation}) runs {id}", engine.id()));
        if self.count(engine) && engine.crash() {
            *self.crashes.lock().unwrap() += 1;
            self.record.write(&format!("engine {} is cold and crashes", engine.id()));
            return false;
        }
        let headers = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")];
        let head = engine::answer_head(engine, request, 200, &headers) + "\r\n";
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in 1..=EVENTS {
            if !engine::chunk(stream, &format!("id: {number}\ndata: piece {number} of {id}\n\n")) {
                return false;
            }
            sleep(EVENT_GAP);
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

fn document() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-query","host":"{HOST}","pathPrefix":"/pufi791/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":2000,"priority":0,"service":"huvo11a","maxAttempts":1,"sessionAffinity":true,"resumable":false,"gapTargetMs":600,"homeRegions":[]}}],"services":[{{"name":"huvo11a","healthPath":"/healthz","maxConnections":620,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":{COLD_RATE},"engine":{{"slots":128,"kvCapacity":179025,"kvBytes":131072,"linkMbps":550000.0,"moves":true,"backups":true,"stride":5,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

fn send(deployment: &Deployment, record: &Record, host: u8, id: &str) -> Outcome {
    // The shared parts are of many things, as those of the site.
    let number = u64::from_str_radix(id.trim_start_matches('a'), 16).unwrap_or_default();
    let prompt = format!("{:08x}:198,{id}:628", number % THINGS * 0x9e37_79b1 % 0xffff_ffff);
    let headers = [
        ("Host", HOST),
        ("X-Attempt-Id", id),
        ("X-Model", "m"),
        ("X-Token-Count", "826,290"),
        ("X-Prompt-Prefix", prompt.as_str()),
        ("X-Deadline-Ms", "15000"),
    ];
    let body = format!("question {id}");
    let (address, limit) = (deployment.front(host), Duration::from_secs(15));
    let outcome = http::call(address, "POST", "/pufi791/2f", &headers, body.as_bytes(), limit);
    record.write(&format!(
        "{id} sent to {host}: status {}, whole {}",
        outcome.status(),
        outcome.is_served()
    ));
    outcome
}

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    // The engines outlive this function until the process ends.
    let record: &'static Record = unsafe { &*std::ptr::from_ref(record) };
    let entries = [11, 12, 13];
    let deployment = Arc::new(Deployment::start(&entries)?);
    deployment.configure(&document())?;
    let work = Arc::new(Engines {
        record,
        cold_since: Mutex::default(),
        recent: Mutex::default(),
        most: Mutex::default(),
        crashes: Mutex::default(),
    });
    let profile = Profile { service: "huvo11a", zone: "kochi-a", slots: 128, keeps_id: true };
    let controls: Vec<_> = (1..=3).map(|it| deployment.control(it)).collect();
    let engines: Vec<Arc<Engine>> = (0..ENGINES)
        .map(|number| {
            let address = deployment.engine_address(number as u8 + 1);
            Engine::start(number, address, &profile, controls.clone(), work.clone())
        })
        .collect();
    sleep(Duration::from_secs(8));

    let mut number = 0u32;
    let mut send_for = |time: Duration| {
        let began = Instant::now();
        let mut sent = Vec::new();
        let mut next = Duration::ZERO;
        while began.elapsed() < time {
            if began.elapsed() < next {
                sleep(Duration::from_millis(1));
                continue;
            }
            next += Duration::from_secs_f64(1.0 / RATE);
            number += 1;
            let (deployment, id) = (deployment.clone(), format!("a{number:015x}"));
            let host = entries[number as usize % entries.len()];
            sent.push(thread::spawn(move || {
                let outcome = send(&deployment, record, host, &id);
                (outcome.is_served(), outcome.has_begun())
            }));
        }
        sent.into_iter().filter_map(|it| it.join().ok()).collect::<Vec<_>>()
    };
    let mut results = send_for(SENDING);
    sleep(LULL);
    if has_trouble {
        engines[0].crash();
        record.write(&format!("engine {} crashes", engines[0].id()));
    }
    sleep(DOWN);
    if has_trouble {
        let is_late = std::env::var("LATE").map_or(true, |it| it != "0");
        engines[0].delay_heartbeats(if is_late { DELAY } else { Duration::ZERO });
        engines[0].set_cold(COLD);
        *work.cold_since.lock().unwrap() = Some(Instant::now());
        engines[0].clone().boot(work.clone());
        record.write(&format!("engine {} is back, cold", engines[0].id()));
        sleep(Duration::from_millis(50));
    }
    results.extend(send_for(SENDING));
    let ended = deployment.ended();
    ended.iter().for_each(|it| record.say(it));
    let served = results.iter().filter(|it| it.0).count();
    let broken = results.iter().filter(|it| it.1 && !it.0).count();
    let most = *work.most.lock().unwrap();
    record.say(&format!(
        "{} streams: {served} whole, {broken} broken off; the cold engine got {most} requests in one \
         second, {ALLOWED:.1} may, and crashed {} times",
        results.len(),
        work.crashes.lock().unwrap()
    ));
    if !has_trouble {
        return Ok(served * 100 >= results.len() * 99 && ended.is_empty());
    }
    Ok(most as f64 <= ALLOWED && ended.is_empty())
}

//! The engines of a service are brittle for a while, and say so, while many users come at once.

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
    http::{self, Message},
    record::Record,
};

const ENGINES: usize = 6;
const SLOTS: usize = 16;
/// Requests that wait at a sound engine, and at one that is brittle.
const QUEUE: usize = 384;
const BRITTLE_QUEUE: usize = 6;
/// Requests that a brittle engine turns away in a second without falling over.
const MAX_REJECTED: usize = 5;
/// An engine that fell over is back after this time.
const DOWN_TIME: Duration = Duration::from_secs(3);
const EVENTS: u64 = 10;
const EVENT_GAP: Duration = Duration::from_millis(100);
/// Requests in a second: two thirds of what the engines serve, and 1.7 times as many in the burst.
const RATE: f64 = 64.0;
const BURST: f64 = 1.7;
/// `bounds.contactMs`.
const CONTACT: Duration = Duration::from_millis(5_000);

/// When things happen, from the start of traffic.
const BRITTLE_FROM: Duration = Duration::from_secs(5);
const BURST_FROM: Duration = Duration::from_secs(13);
const BURST_TO: Duration = Duration::from_secs(23);
const BRITTLE_TO: Duration = Duration::from_secs(30);
const LENGTH: Duration = Duration::from_secs(34);

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
    rejected: VecDeque<Instant>,
}

struct Engines {
    record: &'static Record,
    loads: Vec<Mutex<Load>>,
    /// Start of traffic, and whether the engines become brittle.
    began: Mutex<Option<Instant>>,
    has_trouble: bool,
    falls: Mutex<Vec<Instant>>,
    rejected: Mutex<usize>,
    this: Mutex<Option<Arc<Engines>>>,
}

impl Engines {
    fn elapsed(&self) -> Duration {
        self.began.lock().unwrap().map_or(Duration::ZERO, |it| it.elapsed())
    }

    /// Whether the engines say that they are brittle.
    fn is_brittle(&self) -> bool {
        self.has_trouble && (BRITTLE_FROM..BRITTLE_TO).contains(&self.elapsed())
    }

    /// Whether they let fewer requests wait, and may fall over.
    fn is_weak(&self) -> bool {
        self.is_brittle() && self.elapsed() >= BRITTLE_FROM + CONTACT
    }

    /// Turns a request away; returns whether the engine falls over.
    fn count_rejected(&self, load: &mut Load) -> bool {
        let now = Instant::now();
        *self.rejected.lock().unwrap() += 1;
        load.rejected.push_back(now);
        while load.rejected.front().is_some_and(|it| now - *it > Duration::from_secs(1)) {
            load.rejected.pop_front();
        }
        self.is_weak() && load.rejected.len() > MAX_REJECTED
    }

    fn fall(&self, engine: &Arc<Engine>) {
        if !engine.crash() {
            return;
        }
        let mut load = self.loads[engine.number].lock().unwrap();
        let (running, waiting) = (load.running, load.waiting);
        load.rejected.clear();
        drop(load);
        self.record.write(&format!(
            "engine {} falls over: {running} running, {waiting} waiting are lost",
            engine.id()
        ));
        self.falls.lock().unwrap().push(Instant::now());
        let work = self.this.lock().unwrap().clone();
        let engine = engine.clone();
        thread::spawn(move || {
            sleep(DOWN_TIME);
            engine.boot(work.expect("set before the first request"));
        });
    }

    /// Waits for a slot; returns whether it has one.
    fn admit(&self, engine: &Arc<Engine>, incarnation: u64) -> bool {
        loop {
            let mut load = self.loads[engine.number].lock().unwrap();
            if !engine.is_up() || engine.incarnation() != incarnation {
                load.waiting -= 1;
                return false;
            }
            if load.running < SLOTS {
                load.waiting -= 1;
                load.running += 1;
                return true;
            }
            drop(load);
            sleep(Duration::from_millis(3));
        }
    }

    fn stream(&self, engine: &Arc<Engine>, request: &Message, stream: &mut TcpStream) -> bool {
        let id = request.header("x-attempt-id").unwrap_or_default();
        self.record.write(&format!("engine {} runs {id}", engine.id()));
        let mut headers =
            vec![("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")];
        let limit = MAX_REJECTED.to_string();
        if self.is_brittle() {
            headers.push(("Server-Brittle", limit.as_str()));
        }
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

impl Work for Engines {
    fn serve(&self, engine: &Arc<Engine>, request: &Message, stream: &mut TcpStream) -> bool {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let incarnation = engine.incarnation();
        let queue = if self.is_weak() { BRITTLE_QUEUE } else { QUEUE };
        let mut load = self.loads[engine.number].lock().unwrap();
        if load.running + load.waiting >= SLOTS + queue {
            let falls = self.count_rejected(&mut load);
            let waiting = load.waiting;
            drop(load);
            self.record.write(&format!("engine {} turns {id} away, {waiting} wait", engine.id()));
            let limit = MAX_REJECTED.to_string();
            let mut headers = vec![("X-Not-Executed", "1")];
            if self.is_brittle() {
                headers.push(("Server-Brittle", limit.as_str()));
            }
            let sent = engine::answer(stream, engine, request, 503, &headers, b"full");
            if falls {
                self.fall(engine);
            }
            return sent;
        }
        load.waiting += 1;
        drop(load);
        if !self.admit(engine, incarnation) {
            return false;
        }
        let stays = self.stream(engine, request, stream);
        self.loads[engine.number].lock().unwrap().running -= 1;
        stays
    }
}

fn document() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-query","host":"{HOST}","pathPrefix":"/pufi791/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":2000,"priority":0,"service":"huvo11a","maxAttempts":1,"sessionAffinity":true,"resumable":false,"gapTargetMs":600,"homeRegions":[]}}],"services":[{{"name":"huvo11a","healthPath":"/healthz","maxConnections":1300,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"engine":{{"slots":{SLOTS},"kvCapacity":220931,"kvBytes":131072,"linkMbps":550000.0,"moves":true,"backups":true,"stride":5,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

fn send(deployment: &Deployment, record: &Record, host: u8, id: &str) -> http::Outcome {
    let prompt = format!("5c1e07a2:198,{id}:628");
    let headers = [
        ("Host", HOST),
        ("X-Attempt-Id", id),
        ("X-Model", "m"),
        ("X-Token-Count", "826,50"),
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
        loads: (0..ENGINES).map(|_| Mutex::default()).collect(),
        began: Mutex::default(),
        has_trouble,
        falls: Mutex::default(),
        rejected: Mutex::default(),
        this: Mutex::default(),
    });
    *work.this.lock().unwrap() = Some(work.clone());
    let profile =
        Profile { service: "huvo11a", zone: "kochi-a", slots: SLOTS as u32, keeps_id: false };
    let controls: Vec<_> = (1..=3).map(|it| deployment.control(it)).collect();
    for number in 0..ENGINES {
        let address = deployment.engine_address(number as u8 + 1);
        Engine::start(number, address, &profile, controls.clone(), work.clone());
    }
    sleep(Duration::from_secs(6));

    let began = Instant::now();
    *work.began.lock().unwrap() = Some(began);
    let mut sent = Vec::new();
    let mut next = Duration::ZERO;
    let mut number = 0u32;
    while began.elapsed() < LENGTH {
        if began.elapsed() < next {
            sleep(Duration::from_millis(1));
            continue;
        }
        let is_burst = has_trouble && (BURST_FROM..BURST_TO).contains(&next);
        next += Duration::from_secs_f64(1.0 / (RATE * if is_burst { BURST } else { 1.0 }));
        number += 1;
        let (deployment, host) = (deployment.clone(), entries[number as usize % entries.len()]);
        sent.push(thread::spawn(move || {
            let outcome = send(&deployment, record, host, &format!("a{number:015x}"));
            (outcome.status(), outcome.is_served(), outcome.has_begun())
        }));
    }
    let results: Vec<_> = sent.into_iter().filter_map(|it| it.join().ok()).collect();
    let ended = deployment.ended();
    ended.iter().for_each(|it| record.say(it));
    let falls = work.falls.lock().unwrap().clone();
    let broken = results.iter().filter(|it| it.2 && !it.1).count();
    let served = results.iter().filter(|it| it.1).count();
    let refused = results.iter().filter(|it| it.0 == 503).count();
    let limit = 2.0 + ENGINES as f64 / 10.0;
    record.say(&format!(
        "{} requests: {served} served, {refused} refused, {broken} answers broken off; engines turned \
         {} away and fell over {} times, {limit} may",
        results.len(),
        work.rejected.lock().unwrap(),
        falls.len()
    ));
    if !has_trouble {
        return Ok(falls.is_empty() && served * 100 >= results.len() * 99 && ended.is_empty());
    }
    Ok(falls.len() as f64 <= limit && ended.is_empty())
}

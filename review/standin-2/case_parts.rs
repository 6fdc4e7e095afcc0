//! One part of a prompt crashes each engine that begins to write an answer on it. The engine has sent
//! the first event of its stream when it crashes.

use std::{
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

/// The part that crashes engines.
const CRASHING_PART: &str = "dead07a2:300";
const ENGINES: usize = 9;
/// The engine is back after this time.
const DOWN_TIME: Duration = Duration::from_secs(3);
const EVENTS: u64 = 10;
const EVENT_GAP: Duration = Duration::from_millis(20);
const LENGTH: Duration = Duration::from_secs(45);
const CRASHING_GAP: Duration = Duration::from_millis(1_000);
const SOUND_GAP: Duration = Duration::from_millis(100);
/// `bounds.contactMs`.
const CONTACT: Duration = Duration::from_millis(5_000);
/// Crashes after which the part has to be kept away.
const CRASHES: usize = 5;
/// Requests with the part that may still reach engines.
const MAX_LATE: usize = 3;

struct Engines {
    record: &'static Record,
    /// When requests with the part reached engines.
    arrivals: Mutex<Vec<Instant>>,
    crashes: Mutex<Vec<Instant>>,
    /// Whether engines crash before they have sent anything.
    is_early: bool,
    this: Mutex<Option<Arc<Engines>>>,
}

impl Work for Engines {
    fn serve(&self, engine: &Arc<Engine>, request: &Message, stream: &mut TcpStream) -> bool {
        let id = request.header("x-attempt-id").unwrap_or_default().to_string();
        let prompt = request.header("x-prompt-prefix").unwrap_or_default();
        let is_crashing = prompt.split(',').any(|it| it == CRASHING_PART);
        if is_crashing {
            self.arrivals.lock().unwrap().push(Instant::now());
        }
        self.record.write(&format!("engine {} runs {id}", engine.id()));
        sleep(EVENT_GAP);
        if is_crashing && self.is_early {
            self.crash(engine, &id);
            return false;
        }
        let headers = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")];
        let head = engine::answer_head(engine, request, 200, &headers) + "\r\n";
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
            if !engine::chunk(stream, &event) {
                return false;
            }
            if is_crashing {
                sleep(Duration::from_millis(5));
                self.crash(engine, &id);
                return false;
            }
            sleep(EVENT_GAP);
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

impl Engines {
    fn crash(&self, engine: &Arc<Engine>, id: &str) {
        if !engine.crash() {
            return;
        }
        self.record.write(&format!("engine {} crashes under {id}", engine.id()));
        self.crashes.lock().unwrap().push(Instant::now());
        let work = self.this.lock().unwrap().clone();
        let engine = engine.clone();
        thread::spawn(move || {
            sleep(DOWN_TIME);
            engine.boot(work.expect("set before the first request"));
        });
    }
}

fn document() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-query","host":"{HOST}","pathPrefix":"/pufi791/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":2000,"priority":0,"service":"huvo11a","maxAttempts":1,"sessionAffinity":true,"resumable":false,"gapTargetMs":600,"homeRegions":[]}}],"services":[{{"name":"huvo11a","healthPath":"/healthz","maxConnections":620,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"engine":{{"slots":128,"kvCapacity":179025,"kvBytes":131072,"linkMbps":550000.0,"moves":true,"backups":true,"stride":5,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// A request of one client attempt; its last part is its own.
fn send(
    deployment: &Deployment,
    record: &Record,
    host: u8,
    id: &str,
    parts: &str,
) -> http::Outcome {
    let prompt = format!("5c1e07a2:800,91bd3f06:410,{parts}{id}:25");
    let headers = [
        ("Host", HOST),
        ("X-Attempt-Id", id),
        ("X-Model", "m"),
        ("X-Token-Count", "1535,50"),
        ("X-Prompt-Prefix", prompt.as_str()),
        ("X-Deadline-Ms", "15000"),
    ];
    let body = format!("question {id}");
    let address = deployment.front(host);
    let limit = Duration::from_secs(15);
    let outcome = http::call(address, "POST", "/pufi791/2f", &headers, body.as_bytes(), limit);
    record.write(&format!(
        "{id} sent to {host}: status {}, begun {}, whole {}",
        outcome.status(),
        outcome.has_begun(),
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
        arrivals: Mutex::default(),
        crashes: Mutex::default(),
        is_early: std::env::var("EARLY").is_ok_and(|it| it == "1"),
        this: Mutex::default(),
    });
    *work.this.lock().unwrap() = Some(work.clone());
    let profile = Profile { service: "huvo11a", zone: "kochi-a", slots: 128, keeps_id: false };
    let controls: Vec<_> = (1..=3).map(|it| deployment.control(it)).collect();
    for number in 0..ENGINES {
        let address = deployment.engine_address(number as u8 + 1);
        Engine::start(number, address, &profile, controls.clone(), work.clone());
    }
    sleep(Duration::from_secs(6));

    let began = Instant::now();
    let sound = {
        let deployment = deployment.clone();
        thread::spawn(move || {
            let mut sent = Vec::new();
            for number in 0u32.. {
                if began.elapsed() > LENGTH {
                    break;
                }
                let deployment = deployment.clone();
                let host = entries[number as usize % entries.len()];
                sent.push(thread::spawn(move || {
                    let at = Instant::now();
                    let id = format!("a{number:015x}");
                    (at, send(&deployment, record, host, &id, "").has_begun())
                }));
                sleep(SOUND_GAP);
            }
            sent.into_iter().map(|it| it.join().unwrap()).collect::<Vec<_>>()
        })
    };
    let mut crashing = Vec::new();
    for number in 0u32.. {
        if !has_trouble || began.elapsed() > LENGTH {
            break;
        }
        let deployment = deployment.clone();
        let host = entries[number as usize % entries.len()];
        crashing.push(thread::spawn(move || {
            let id = format!("b{number:015x}");
            send(&deployment, record, host, &id, &format!("{CRASHING_PART},"));
        }));
        sleep(CRASHING_GAP);
    }
    let sound = sound.join().map_err(|_| "a client failed")?;
    crashing.into_iter().for_each(|it| drop(it.join()));

    let ended = deployment.ended();
    ended.iter().for_each(|it| record.say(it));
    let crashes = work.crashes.lock().unwrap().clone();
    let arrivals = work.arrivals.lock().unwrap().clone();
    let begun = sound.iter().filter(|it| it.1).count();
    record.say(&format!(
        "{} crashes, {} requests with the part reached engines, {begun} of {} sound requests began",
        crashes.len(),
        arrivals.len(),
        sound.len()
    ));
    if !has_trouble {
        return Ok(crashes.is_empty() && begun * 100 >= sound.len() * 99 && ended.is_empty());
    }
    if crashes.len() < CRASHES {
        record.say("fewer crashes than the rule begins to count at");
        return Ok(ended.is_empty());
    }
    let since = crashes[CRASHES - 1] + CONTACT;
    let late = arrivals.iter().filter(|it| **it > since).count();
    record.say(&format!(
        "crash {CRASHES} at {:.1} s; {late} requests with the part reached engines later than {} ms \
         after it, {MAX_LATE} may",
        record.at(crashes[CRASHES - 1]).as_secs_f64(),
        CONTACT.as_millis()
    ));
    Ok(late <= MAX_LATE && ended.is_empty())
}

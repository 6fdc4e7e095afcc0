//! One keeper is killed right after the whole system has started for the first time, and started again.

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    deployment::{Deployment, HOST},
    engine::{self, Engine, Profile, Work},
    http::{self, Message},
    record::Record,
};

use std::{net::TcpStream, sync::Arc};

/// Time from the start of the last process to the kill.
const KILL_AFTER: Duration = Duration::from_millis(50);
/// Time from the kill to the start.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Time for which configurations and requests are sent.
const LENGTH: Duration = Duration::from_secs(60);

struct Engines;

impl Work for Engines {
    fn serve(&self, engine: &Arc<Engine>, request: &Message, stream: &mut TcpStream) -> bool {
        engine::answer(stream, engine, request, 200, &[], b"result")
    }
}

fn document() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-lookup","host":"{HOST}","pathPrefix":"/wuti753/","routeType":"safe","timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"golo44b","maxAttempts":2,"resumable":false,"homeRegions":[]}}],"services":[{{"name":"golo44b","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let entries = [11, 21, 31];
    let deployment = Deployment::start(&entries)?;
    if has_trouble {
        sleep(KILL_AFTER);
        deployment.kill(1);
        record.say("keeper 1 is killed");
        sleep(DOWN_TIME);
        // Its disk is preserved. The whole system does not start for the first time again.
        deployment.launch(1, false)?;
        record.say("keeper 1 is started again");
    }
    let profile = Profile { service: "golo44b", zone: "kochi-a", slots: 6, keeps_id: false };
    let controls: Vec<_> = (1..=3).map(|it| deployment.control(it)).collect();
    let address = deployment.engine_address(1);
    Engine::start(0, address, &profile, controls, Arc::new(Engines));

    let began = Instant::now();
    let (mut acknowledged, mut served, mut sent) = (None, 0, 0);
    let mut host = 0;
    while began.elapsed() < LENGTH && served < 20 {
        host = host % 3 + 1;
        if acknowledged.is_none() {
            let headers = [("Host", "control"), ("Content-Type", "application/json")];
            let (address, document) = (deployment.control(host), document());
            let limit = Duration::from_secs(1);
            let body = document.as_bytes();
            let status = http::call(address, "PUT", "/config", &headers, body, limit).status();
            record.write(&format!("configuration 7 sent to keeper {host}: status {status}"));
            if status == 200 {
                acknowledged = Some(began.elapsed());
            }
        }
        sent += 1;
        let id = format!("a{sent:015x}");
        let headers = [("Host", HOST), ("X-Attempt-Id", id.as_str()), ("X-Deadline-Ms", "3000")];
        let entry = entries[usize::from(host) - 1];
        let (address, limit) = (deployment.front(entry), Duration::from_secs(3));
        let outcome = http::call(address, "GET", "/wuti753/cu3", &headers, b"", limit);
        record.write(&format!("{id} sent to {entry}: status {}", outcome.status()));
        served += usize::from(outcome.is_served());
        sleep(Duration::from_millis(250));
    }
    let ended = deployment.ended();
    ended.iter().for_each(|it| record.say(it));
    let when = acknowledged.map_or("never".into(), |it| format!("after {:.1} s", it.as_secs_f64()));
    record.say(&format!(
        "the first configuration was acknowledged {when}; {served} of {sent} requests were served in \
         {:.0} s",
        began.elapsed().as_secs_f64()
    ));
    Ok(served > 0 && ended.is_empty())
}

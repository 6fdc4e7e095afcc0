//! A deployment of real processes on loopback, for a few tests of what only processes show.
//!
//! Processes are started and stopped by the test alone, and killed when the deployment is
//! dropped.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Mutex, PoisonError},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{free_address, free_block, relay::Network};
use medlarlug_core::{
    fingerprint::Fingerprint,
    release::{Item, RawNote},
};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::Value;
use tempfile::TempDir;

/// Bearer key of the operator `anna`.
pub const OPERATOR_KEY: &str = "operator-key-of-anna";

/// Bearer key of the team `survey`.
pub const CALLER_KEY: &str = "caller-key-of-survey";

/// Longest wait for anything that a test waits for.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Waits until `condition` holds.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < end, "{what} did not happen within {PATIENCE:?}");
        sleep(Duration::from_millis(25));
    }
}

/// An entry instance or keeper as the cluster file lists it.
#[derive(Debug, Clone)]
pub struct Instance {
    /// Its id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is an entry instance.
    pub is_entry: bool,
    /// Whether it has a data folder.
    pub has_disk: bool,
    /// Address for callers; unused by keepers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    internal: SocketAddr,
    /// Address for messages of other instances.
    pub peers: SocketAddr,
}

/// An emulated upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Its id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its kind, in the settings' YAML.
    pub kind: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Further settings, one line of YAML each.
    pub extra: Vec<String>,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Address of its control port.
    pub control: SocketAddr,
}

/// Equal engines of one model.
#[derive(Debug, Clone, Copy)]
pub struct Pool<'a> {
    /// The model.
    pub model: &'a str,
    /// Number of engines.
    pub count: usize,
    /// Slots of each.
    pub slots: u32,
    /// Tokens a second of one stream that runs alone.
    pub speed: u32,
}

/// A deployment under construction or running.
pub struct Deployment {
    folder: TempDir,
    binaries: PathBuf,
    zones: Vec<(String, String)>,
    /// Entry instances and keepers.
    pub instances: Vec<Instance>,
    /// Emulated upstreams, one process each.
    pub upstreams: Vec<Upstream>,
    processes: Mutex<Vec<(String, Child)>>,
    /// The relays between instances, if [`Deployment::relayed`] asks for them.
    pub network: Option<Network>,
    homes: Vec<(String, Vec<String>)>,
    /// Limits of entry instances, as lines of YAML.
    pub limits: String,
}

impl Deployment {
    /// A deployment without a process; `binaries` is the folder of the built programs.
    pub fn new(binaries: &Path, zones: &[(&str, &str)]) -> Deployment {
        let owned = |it: &(&str, &str)| (it.0.to_owned(), it.1.to_owned());
        Deployment {
            folder: TempDir::new().expect("a temporary folder"),
            binaries: binaries.to_owned(),
            zones: zones.iter().map(owned).collect(),
            instances: Vec::new(),
            upstreams: Vec::new(),
            processes: Mutex::default(),
            network: None,
            homes: Vec::new(),
            limits: String::new(),
        }
    }

    /// Puts relays between the instances.
    pub fn relayed(mut self) -> Deployment {
        self.network = Some(Network::default());
        self
    }

    /// Names the voters of a region's home group; otherwise every keeper is one.
    pub fn home(mut self, region: &str, voters: &[&str]) -> Deployment {
        let voters = voters.iter().map(|it| (*it).to_owned()).collect();
        self.homes.push((region.into(), voters));
        self
    }

    /// The relays between the instances.
    pub fn network(&self) -> &Network {
        self.network.as_ref().expect("a deployment with relays")
    }

    /// Gives an entry instance a disk.
    pub fn with_disk(mut self, id: &str) -> Deployment {
        let it = self.instances.iter_mut().find(|it| it.id == id).expect("an instance");
        it.has_disk = true;
        self
    }

    /// Adds an entry instance.
    pub fn entry(self, id: &str, zone: &str) -> Deployment {
        self.instance(id, zone, true)
    }

    /// Adds a keeper with a disk.
    pub fn keeper(self, id: &str, zone: &str) -> Deployment {
        self.instance(id, zone, false)
    }

    fn instance(mut self, id: &str, zone: &str, is_entry: bool) -> Deployment {
        self.instances.push(Instance {
            id: id.into(),
            zone: zone.into(),
            is_entry,
            has_disk: !is_entry,
            callers: free_address(),
            operators: free_address(),
            internal: free_address(),
            peers: free_address(),
        });
        self
    }

    /// Adds an engine that serves `model` in version `v1`.
    pub fn engine(self, id: &str, zone: &str, model: &str) -> Deployment {
        let kind = format!("{{ engine: {{ models: [{{ model: {model}, version: v1 }}] }} }}");
        let extra = ["speed: 500", "prefill: 100000", "cache: 100000", "fencing: true"];
        self.upstream(id, zone, kind, &extra)
    }

    /// Adds equal engines that run in one process.
    pub fn pool(mut self, id: &str, zone: &str, pool: Pool) -> Deployment {
        let Pool { model, count, slots, speed } = pool;
        let kind = format!("{{ engine: {{ models: [{{ model: {model}, version: v1 }}] }} }}");
        self.upstreams.push(Upstream {
            id: id.into(),
            zone: zone.into(),
            kind,
            slots,
            extra: vec![
                format!("speed: {speed}"),
                "prefill: 1000000".into(),
                format!("count: {count}"),
            ],
            address: free_block(count),
            control: free_block(count),
        });
        self
    }

    /// Adds a plain service.
    pub fn service(self, id: &str, zone: &str, service: &str) -> Deployment {
        self.upstream(id, zone, format!("{{ service: {{ service: {service} }} }}"), &[])
    }

    fn upstream(mut self, id: &str, zone: &str, kind: String, extra: &[&str]) -> Deployment {
        self.upstreams.push(Upstream {
            id: id.into(),
            zone: zone.into(),
            kind,
            slots: 8,
            extra: extra.iter().map(|it| (*it).to_owned()).collect(),
            address: free_address(),
            control: free_address(),
        });
        self
    }

    /// Writes the settings and starts every process.
    pub fn start(mut self) -> Deployment {
        self.start_relays();
        self.write_settings();
        let ids = self.instances.iter().map(|it| it.id.clone());
        let ids: Vec<String> = ids.chain(self.upstreams.iter().map(|it| it.id.clone())).collect();
        ids.iter().for_each(|id| self.start_process(id));
        self
    }

    fn start_relays(&mut self) {
        let Some(network) = &mut self.network else { return };
        for from in &self.instances {
            for to in self.instances.iter().filter(|it| it.id != from.id) {
                network.add(&from.id, &to.id, to.peers, to.internal);
            }
        }
    }

    fn write_settings(&self) {
        self.write("deployment.key", "an example of a long deployment key\n");
        let key = Fingerprint::of(OPERATOR_KEY.as_bytes());
        for it in &self.instances {
            self.write(&format!("cluster-{}.yaml", it.id), &self.cluster(&it.id));
            let data = match it.has_disk {
                true => format!("data: data-{}\n", it.id),
                false => String::new(),
            };
            let limits = if it.is_entry { self.limits.as_str() } else { "" };
            let text = format!(
                "instance: {0}\ncluster: cluster-{0}.yaml\nkey: [deployment.key]\noperators:\n  \
                 - {{ id: anna, key: {key} }}\n{data}{limits}",
                it.id
            );
            self.write(&format!("{}.yaml", it.id), &text);
        }
        for it in &self.upstreams {
            self.write(&format!("{}.yaml", it.id), &self.upstream_settings(it));
        }
    }

    /// The cluster file that the process of `reader` reads.
    fn cluster(&self, reader: &str) -> String {
        let mut text = String::from("zones:\n");
        for (zone, region) in &self.zones {
            text.push_str(&format!("  - {{ id: {zone}, region: {region} }}\n"));
        }
        text.push_str("instances:\n");
        for it in &self.instances {
            let (kind, more) = match it.is_entry {
                true => ("entry", format!("callers: \"{}\"", it.callers)),
                false => ("keeper", "durable: true".to_owned()),
            };
            let link = self.network.as_ref().and_then(|network| network.get(reader, &it.id));
            let peers = link.map_or(it.peers, |link| link.peers.address());
            let internal = link.map_or(it.internal, |link| link.internal.address());
            text.push_str(&format!(
                "  - {{ id: {}, kind: {kind}, zone: {}, internal: \"{}\", peers: \"{}\", \
                 operators: \"{}\", {more} }}\n",
                it.id, it.zone, internal, peers, it.operators
            ));
        }
        let keepers = self.instances.iter().filter(|it| !it.is_entry);
        let keepers: Vec<&str> = keepers.map(|it| it.id.as_str()).collect();
        let voters = keepers.join(", ");
        text.push_str(&format!("configuration: [{voters}]\nhomes:\n"));
        let mut regions: Vec<&String> = self.zones.iter().map(|it| &it.1).collect();
        regions.sort();
        regions.dedup();
        for region in regions {
            let named = self.homes.iter().find(|it| it.0 == *region);
            let voters = named.map_or(voters.clone(), |it| it.1.join(", "));
            text.push_str(&format!("  - {{ region: {region}, voters: [{voters}] }}\n"));
        }
        text
    }

    fn upstream_settings(&self, upstream: &Upstream) -> String {
        let near = self.instances.iter().filter(|it| it.is_entry && it.zone == upstream.zone);
        let near: Vec<String> = near.map(|it| format!("\"{}\"", it.internal)).collect();
        let mut text = format!(
            "key: [deployment.key]\nupstreams:\n  - id: {}\n    zone: {}\n    address: {}\n    \
             control: {}\n    announce_to: [{}]\n    kind: {}\n    slots: {}\n    lag_ms: 100\n",
            upstream.id,
            upstream.zone,
            upstream.address,
            upstream.control,
            near.join(", "),
            upstream.kind,
            upstream.slots
        );
        for line in &upstream.extra {
            text.push_str(&format!("    {line}\n"));
        }
        text
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.folder.path().join(name), text).expect("a settings file");
    }

    /// Adds lines to the settings of a process, which reads them at its next start.
    pub fn append_settings(&self, id: &str, lines: &str) {
        let file = self.folder.path().join(format!("{id}.yaml"));
        let text = fs::read_to_string(&file).expect("a settings file");
        fs::write(file, text + lines).expect("a settings file");
    }

    /// Starts the process of an instance or upstream.
    pub fn start_process(&mut self, id: &str) {
        self.spawn(id);
    }

    /// Kills a process and starts it again, while other threads use the deployment.
    pub fn restart(&self, id: &str) {
        let (_, mut child) = self.take(id);
        child.kill().expect("the process is there");
        child.wait().expect("the process has ended");
        self.spawn(id);
    }

    fn take(&self, id: &str) -> (String, Child) {
        let mut processes = self.processes.lock().expect("no test has panicked here");
        let place = processes.iter().position(|it| it.0 == id).expect("a running process");
        processes.swap_remove(place)
    }

    fn spawn(&self, id: &str) {
        let program = match self.instances.iter().find(|it| it.id == id) {
            Some(it) if it.is_entry => "medlarlug-entry",
            Some(_) => "medlarlug-keeper",
            None => "medlarlug-standin",
        };
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.path().join(format!("{id}.log")))
            .expect("a log file");
        let child = Command::new(self.binaries.join(program))
            .arg("--settings")
            .arg(self.folder.path().join(format!("{id}.yaml")))
            .stdout(Stdio::from(log.try_clone().expect("a log file")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("a built program");
        self.processes.lock().expect("no test has panicked here").push((id.into(), child));
    }

    /// Rebuilds a group from the data folder of a stopped keeper; tells whether it succeeded.
    pub fn rebuild(&self, id: &str, group: &str) -> bool {
        let settings = self.settings(id);
        let status = Command::new(self.binaries.join("medlarlug-keeper"))
            .arg("--settings")
            .arg(settings)
            .args(["--rebuild", group])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .status();
        status.expect("a built program").success()
    }

    /// The process id of a running process.
    ///
    /// # Panics
    ///
    /// Panics when the process does not run.
    pub fn pid(&self, id: &str) -> u32 {
        let processes = self.processes.lock().expect("no test has panicked here");
        processes.iter().find(|it| it.0 == id).expect("a running process").1.id()
    }

    /// Sends a signal to a process that was started here.
    pub fn signal(&self, id: &str, signal: Signal) {
        let processes = self.processes.lock().expect("no test has panicked here");
        let child = processes.iter().find(|it| it.0 == id).expect("a running process");
        let pid = Pid::from_raw(child.1.id() as i32);
        kill(pid, signal).expect("the process is there");
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, id: &str) {
        let (_, mut child) = self.take(id);
        child.kill().expect("the process is there");
        child.wait().expect("the process has ended");
    }

    /// Waits until a process has ended by itself; tells whether it succeeded.
    pub fn wait_end(&mut self, id: &str) -> bool {
        let (_, mut child) = self.take(id);
        let mut status = None;
        wait_for("the end of the process", || {
            status = child.try_wait().expect("the process was started here");
            status.is_some()
        });
        status.is_some_and(|it| it.success())
    }

    /// Deletes what a keeper has stored.
    pub fn delete_data(&self, id: &str) {
        let _ = fs::remove_dir_all(self.folder.path().join(format!("data-{id}")));
    }

    /// The settings file of a process.
    pub fn settings(&self, id: &str) -> PathBuf {
        self.folder.path().join(format!("{id}.yaml"))
    }

    /// The log of a process.
    pub fn log(&self, id: &str) -> String {
        fs::read_to_string(self.folder.path().join(format!("{id}.log"))).unwrap_or_default()
    }

    /// An instance.
    pub fn get(&self, id: &str) -> &Instance {
        self.instances.iter().find(|it| it.id == id).expect("an instance of the deployment")
    }

    /// Address of the internal interface of an instance.
    pub fn internal(&self, id: &str) -> SocketAddr {
        self.get(id).internal
    }

    /// Asks the operators' interface of an instance.
    pub fn operator_get(&self, id: &str, path: &str) -> Reply {
        call("GET", self.get(id).operators, path, &[("authorization", &bearer(OPERATOR_KEY))], "")
    }

    /// Applies a release note of `items`; tells the status and the answer.
    pub fn apply(&self, id: &str, note: &RawNote) -> Reply {
        let body = serde_json::to_string(note).expect("a note is JSON");
        let headers = [("authorization", bearer(OPERATOR_KEY))];
        let headers: Vec<(&str, &str)> = headers.iter().map(|it| (it.0, it.1.as_str())).collect();
        call("POST", self.get(id).operators, "/release/apply", &headers, &body)
    }

    /// Applies the first release note and waits until every entry instance serves under it.
    pub fn configure(&self, items: Vec<Item>) {
        let note = crate::note(0, items);
        let entry = self.instances.iter().find(|it| it.is_entry).expect("an entry instance");
        wait_for("the first release note", || self.apply(&entry.id, &note).status == 200);
        for it in self.instances.iter().filter(|it| it.is_entry) {
            wait_for("the revision at each entry", || {
                let status = self.operator_get(&it.id, "/status").json;
                status["revision"].as_u64().is_some_and(|it| it > 0)
            });
        }
        self.wait_founded();
    }

    /// Waits until the home groups take bookings in.
    fn wait_founded(&self) {
        for it in self.instances.iter().filter(|it| !it.is_entry) {
            wait_for("the founding of the home groups", || {
                let dump = self.operator_get(&it.id, "/dump").json;
                let groups = dump["process"]["groups"].as_array().cloned().unwrap_or_default();
                let is_ready =
                    |it: &Value| it["group"] == "configuration" || it["founded"].is_u64();
                !groups.is_empty() && groups.iter().all(is_ready)
            });
        }
    }

    /// Waits until an entry instance knows that many upstreams of its zone.
    pub fn wait_upstreams(&self, id: &str, count: usize) {
        wait_for("announcements of upstreams", || {
            let known = self.operator_get(id, "/upstreams").json;
            known.as_array().is_some_and(|it| it.len() >= count)
        });
    }

    /// Calls an entry instance as the team `survey`.
    pub fn caller(
        &self,
        id: &str,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        let key = bearer(CALLER_KEY);
        let mut all = vec![("authorization", key.as_str())];
        all.extend_from_slice(headers);
        call(method, self.get(id).callers, path, &all, body)
    }

    /// Sends a completion that is not streamed.
    pub fn complete(&self, id: &str, model: &str, prompt: &str) -> Reply {
        let body = serde_json::json!({ "model": model, "prompt": prompt, "max_tokens": 4 });
        self.caller(id, "POST", "/v1/completions", &[], &body.to_string())
    }

    /// Sends a booking under an idempotency key.
    pub fn book(&self, id: &str, key: &str, body: &str) -> Reply {
        let headers = [("idempotency-key", key)];
        self.caller(id, "POST", "/v1/services/jobdesk/jobs", &headers, body)
    }

    /// Waits until a booking is taken in by every entry instance, after processes were disturbed.
    pub fn settle(&self) {
        for (count, it) in self.instances.iter().filter(|it| it.is_entry).enumerate() {
            let mut tries = 0;
            wait_for("a booking after the disturbance", || {
                tries += 1;
                self.book(&it.id, &format!("settle-{count}-{tries}"), "{}").status == 200
            });
        }
    }

    /// Sends a booking as the team that owns the bearer key `caller`.
    pub fn book_as(&self, caller: &str, id: &str, key: &str, body: &str) -> Reply {
        let bearer = bearer(caller);
        let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
        call("POST", self.get(id).callers, "/v1/services/jobdesk/jobs", &headers, body)
    }

    /// How often a service ran the call with this key, over all upstreams.
    pub fn runs(&self, key: &str) -> u64 {
        let services = self.upstreams.iter().filter(|it| it.kind.contains("service"));
        services.map(|it| runs_at(it.control, key)).sum()
    }

    /// Injects a fault into an upstream.
    pub fn fault(&self, upstream: &str, fault: &Value) -> Reply {
        let upstream = self.upstreams.iter().find(|it| it.id == upstream).expect("an upstream");
        call("POST", upstream.control, "/faults", &[], &fault.to_string())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let processes = self.processes.get_mut().unwrap_or_else(PoisonError::into_inner);
        for (_, child) in processes {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

fn runs_at(control: SocketAddr, key: &str) -> u64 {
    let runs = call("GET", control, "/runs", &[], "").json;
    let list = runs["runs"].as_array().cloned().unwrap_or_default();
    let counts = list.iter().filter(|it| it["key"] == key).filter_map(|it| it["count"].as_u64());
    counts.sum()
}

/// An HTTP answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Its status; 0 when there was no answer.
    pub status: u16,
    /// Its `x-request-id`.
    pub request: String,
    /// Its body.
    pub text: String,
    /// Its body as JSON, or null.
    pub json: Value,
}

/// Sends an HTTP request and reads the whole answer.
pub fn call(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Reply {
    let none = Reply { status: 0, request: String::new(), text: String::new(), json: Value::Null };
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .build()
        .into();
    let mut request =
        ureq::http::Request::builder().method(method).uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(body.to_owned()).expect("a valid request");
    let Ok(mut answer) = agent.run(request) else { return none };
    let id = answer.headers().get("x-request-id").and_then(|it| it.to_str().ok());
    let request = id.unwrap_or_default().to_owned();
    let status = answer.status().as_u16();
    let Ok(text) = answer.body_mut().read_to_string() else {
        return Reply { request, ..none };
    };
    let json = serde_json::from_str(&text).unwrap_or_default();
    Reply { status, request, text, json }
}

//! Stand-ins for the cases of the third review: a small deployment of the project's programs on loopback
//! addresses, clients, upstreams and a proxy for heartbeats. Only the standard library is used.
#![allow(dead_code)]

use std::{
    collections::HashMap,
    env, fs,
    fs::File,
    io::{BufRead, BufReader, ErrorKind, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc, Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HOST: &str = "ficu95.example";
const FRONT: u16 = 8144;
const READINESS: u16 = 8140;
const CONTROL: u16 = 8146;
const DIRECTORY: u16 = 8143;
const INTERNAL: u16 = 7660;

/// Zones of the sheet `kt-medlar`, with their regions.
const ZONES: [(&str, &str); 3] =
    [("riga-a", "riga"), ("liepaja-a", "kurzeme"), ("daugavpils-a", "latgale")];

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// Ends the script because the case can't run.
pub fn give_up(why: &str) -> ! {
    eprintln!("the case can't run: {why}");
    std::process::exit(2)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The file `record.txt` of a case: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began_ms: u64,
}

impl Record {
    pub fn create() -> Record {
        let path = env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|error| give_up(&format!("{path}: {error}")));
        let record = Record { file: Arc::new(Mutex::new(file)), began_ms: unix_ms() };
        record.note(&format!("TROUBLE={}", u8::from(has_trouble())));
        record
    }

    pub fn note(&self, text: &str) {
        let ms = unix_ms().saturating_sub(self.began_ms);
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>3}.{:03} s  {text}", ms / 1_000, ms % 1_000);
    }

    /// Ends the script with the result.
    pub fn finish(&self, is_broken: bool, deployment: Deployment, summary: &str) -> ! {
        drop(deployment);
        let result = if is_broken { "BROKEN" } else { "HELD" };
        self.note(&format!("{result}: {summary}"));
        println!("{result}: {summary}");
        std::process::exit(i32::from(is_broken))
    }
}

/// Processes of the project on loopback addresses; dropping it ends them.
pub struct Deployment {
    folder: PathBuf,
    net: (u8, u8),
    _reservation: TcpListener,
    running: Vec<(u8, Child)>,
    machine: Machine,
}

/// Limits of a machine for an entry instance, as the sheets give them.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    pub cpu_share: &'static str,
    pub memory_mb: u32,
    pub max_fds: u32,
}

/// An `edge` machine of the sheet `kt-medlar`.
pub const KT_MEDLAR: Machine = Machine { cpu_share: "0.25", memory_mb: 260, max_fds: 4_100 };
/// An `edge` machine of the sheet `vwd-voerplan-grown`.
pub const VWD_VOERPLAN: Machine = Machine { cpu_share: "0.084", memory_mb: 112, max_fds: 2_870 };

impl Deployment {
    /// Starts three keepers (hosts 1 to 3, one in each zone) and `entries` entry instances in the zone
    /// `riga-a` (hosts from 101 on) on machines of the given kind.
    pub fn start(entries: u8, machine: Machine) -> Deployment {
        let seed = unix_ms() as u32 ^ std::process::id().wrapping_mul(2_654_435_761);
        let (net, reservation) = (0..200u32)
            .find_map(|step| {
                let value = seed.wrapping_add(step.wrapping_mul(40_503));
                let net = (20 + (value % 200) as u8, (value >> 8) as u8);
                let address = (Ipv4Addr::new(127, net.0, net.1, 254), INTERNAL);
                Some((net, TcpListener::bind(address).ok()?))
            })
            .unwrap_or_else(|| give_up("no free block of addresses"));
        let folder = env::temp_dir().join(format!("review-3-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&folder).unwrap_or_else(|error| give_up(&error.to_string()));
        let running = Vec::new();
        let mut deployment = Deployment { folder, net, _reservation: reservation, running, machine };
        (1..=3).for_each(|host| deployment.launch(host));
        (101..101 + entries).for_each(|host| deployment.launch(host));
        deployment
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, self.net.0, self.net.1, host), port).into()
    }

    pub fn front(&self, host: u8) -> SocketAddr {
        self.address(host, FRONT)
    }

    pub fn readiness(&self, host: u8) -> SocketAddr {
        self.address(host, READINESS)
    }

    pub fn control(&self, host: u8) -> SocketAddr {
        self.address(host, CONTROL)
    }

    pub fn directory(&self, host: u8) -> SocketAddr {
        self.address(host, DIRECTORY)
    }

    /// An address for an upstream.
    pub fn upstream(&self, host: u8) -> SocketAddr {
        self.address(host, 8080)
    }

    fn settings(&self, host: u8) -> String {
        let is_keeper = host < 100;
        let (zone, region) = ZONES[if is_keeper { usize::from(host - 1) } else { 0 }];
        let ip = self.address(host, 0).ip();
        let seeds: Vec<String> = (1..=3).map(|host| self.control(host).to_string()).collect();
        let zones: String =
            ZONES.iter().map(|(zone, region)| format!("zones.{zone}={region}\n")).collect();
        let role = match is_keeper {
            true => format!(
                "role=keeper\nmachineClass=core\nserves=control_plane,registry\n\
                 listen.control={ip}:{CONTROL}\nlisten.directory={ip}:{DIRECTORY}\ninTolerance=true\n\
                 limits.cpuShare=0.3\nlimits.memoryMb=256\nlimits.maxFds=4096\nlimits.diskMb=128\n\
                 dataDir={}\n",
                self.folder.join(format!("data-{host}")).display()
            ),
            false => format!(
                "role=entry\nmachineClass=edge\nserves=edge\n\
                 listen.front={ip}:{FRONT}\nlisten.readiness={ip}:{READINESS}\ninTolerance=false\n\
                 limits.cpuShare={}\nlimits.memoryMb={}\nlimits.maxFds={}\nlimits.diskMb=0\n",
                self.machine.cpu_share, self.machine.memory_mb, self.machine.max_fds
            ),
        };
        format!(
            "nodeName=node-{host}\nip={ip}\nzone={zone}\nregion={region}\n{zones}{role}\
             portRange={INTERNAL},{}\nseeds={}\nbootstrap=true\nlimits.cores=1\n\
             limits.linkMbps=1000.0\ndiscovery=registration\nentry=registry\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,places\n\
             faultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=1\n\
             bounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=5000\nbounds.ackMs=6000\n\
             bounds.catchUpS=4\nbounds.drainMs=3000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
             bounds.configApplyMs=3000\nbounds.rollbackSlackMs=250\nbounds.maxStretchMs=8000\n\
             bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=54\n\
             bounds.coldOverage=1.5\nbounds.coldSlack=3\nbounds.evacuateMs=5000\n\
             bounds.recoveryS=12\nbounds.passMs=600\nbounds.reuseWindowS=8.3\n\
             bounds.ttl_max_s=5\nconfigMode=highest\n",
            INTERNAL + 15,
            seeds.join(","),
        )
    }

    fn launch(&mut self, host: u8) {
        let path = self.folder.join(format!("boot-{host}.conf"));
        fs::write(&path, self.settings(host)).unwrap();
        let log = File::create(self.folder.join(format!("log-{host}"))).unwrap();
        let root = env::var("ROOT").unwrap_or_else(|_| ".".into());
        let child = Command::new("target/release/medlarlug-platform")
            .arg(if host < 100 { "keeper" } else { "entry" })
            .current_dir(root)
            .env("MEDLARLUG_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.running.push((host, child)),
            Err(error) => give_up(&format!("target/release/medlarlug-platform: {error}")),
        }
    }

    /// Publishes a configuration, and waits until every entry instance is ready.
    pub fn configure(&self, document: &str) {
        self.wait("the configuration to be acknowledged", || {
            let request = Request::new("PUT", "/config").body(document.as_bytes());
            request.send(self.control(1), Duration::from_secs(1)).is_some_and(|it| it.status == 200)
        });
        for (host, _) in self.running.iter().filter(|it| it.0 > 100) {
            self.wait("an entry instance to be ready", || self.is_ready(*host));
        }
    }

    pub fn is_ready(&self, host: u8) -> bool {
        let request = Request::new("GET", "/readyz");
        request.send(self.readiness(host), Duration::from_secs(1)).is_some_and(|it| it.status == 200)
    }

    pub fn wait(&self, description: &str, holds: impl Fn() -> bool) {
        let began = Instant::now();
        while !holds() {
            if began.elapsed() > Duration::from_secs(20) {
                give_up(&format!("timed out waiting for {description}"));
            }
            sleep_ms(50);
        }
    }

    /// Whether all processes still run.
    pub fn all_run(&mut self) -> bool {
        self.running.iter_mut().all(|it| matches!(it.1.try_wait(), Ok(None)))
    }

    /// The lines of all logs that contain one of the words.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let mut lines = Vec::new();
        for (host, _) in &self.running {
            let text = fs::read_to_string(self.folder.join(format!("log-{host}")));
            for line in text.unwrap_or_default().lines() {
                if words.iter().any(|word| line.contains(word)) {
                    lines.push(format!("{host}: {line}"));
                }
            }
        }
        lines
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (_, child) in &mut self.running {
            let _ = child.kill();
            let _ = child.wait();
        }
        if env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

/// A request of a client.
#[derive(Clone)]
pub struct Request {
    head: String,
    body: Vec<u8>,
}

pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the answer came to its end.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

impl Request {
    pub fn new(method: &str, target: &str) -> Request {
        Request { head: format!("{method} {target} HTTP/1.1\r\nhost: {HOST}\r\n"), body: Vec::new() }
    }

    pub fn header(mut self, name: &str, value: &str) -> Request {
        self.head.push_str(&format!("{name}: {value}\r\n"));
        self
    }

    pub fn body(mut self, body: &[u8]) -> Request {
        self.body = body.to_vec();
        self
    }

    /// Sends the request on a new connection; `None` without the head of an answer in time.
    pub fn send(&self, to: SocketAddr, limit: Duration) -> Option<Answer> {
        self.send_with(to, limit, |_| true)
    }

    /// As [`Request::send`]; `on_data` is given each part of the body, and returns whether to read on.
    pub fn send_with(
        &self,
        to: SocketAddr,
        limit: Duration,
        mut on_data: impl FnMut(&[u8]) -> bool,
    ) -> Option<Answer> {
        let deadline = Instant::now() + limit;
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1).min(limit)).ok()?;
        let _ = stream.set_nodelay(true);
        let length = match self.body.is_empty() && !self.head.starts_with('P') {
            true => String::new(),
            false => format!("content-length: {}\r\n", self.body.len()),
        };
        let mut bytes = format!("{}{length}connection: close\r\n\r\n", self.head).into_bytes();
        bytes.extend_from_slice(&self.body);
        stream.write_all(&bytes).ok()?;
        let mut reader = Timed { reader: BufReader::new(stream), deadline };
        let (first, headers) = reader.head()?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let mut body = Vec::new();
        let is_whole = reader
            .body(&headers, |part| {
                body.extend_from_slice(part);
                on_data(part)
            })
            .is_some();
        Some(Answer { status, headers, body, is_whole })
    }
}

/// Reads HTTP until a deadline.
struct Timed {
    reader: BufReader<TcpStream>,
    deadline: Instant,
}

impl Timed {
    fn arm(&mut self) -> Option<()> {
        let left = self.deadline.checked_duration_since(Instant::now())?;
        let left = left.max(Duration::from_millis(1));
        self.reader.get_ref().set_read_timeout(Some(left)).ok()
    }

    fn line(&mut self) -> Option<String> {
        self.arm()?;
        let mut line = Vec::new();
        self.reader.read_until(b'\n', &mut line).ok()?;
        let line = line.strip_suffix(b"\n")?;
        Some(String::from_utf8_lossy(line.strip_suffix(b"\r").unwrap_or(line)).into_owned())
    }

    fn head(&mut self) -> Option<(String, HashMap<String, String>)> {
        let first = self.line()?;
        let mut headers = HashMap::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some((first, headers));
            }
            let (name, value) = line.split_once(':')?;
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_string());
        }
    }

    /// Reads a body; `None` if it is cut or no longer wanted.
    fn body(
        &mut self,
        headers: &HashMap<String, String>,
        mut on_data: impl FnMut(&[u8]) -> bool,
    ) -> Option<()> {
        let is_chunked =
            headers.get("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            loop {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16).ok()?;
                self.exactly(size, &mut on_data)?;
                self.line()?;
                if size == 0 {
                    return Some(());
                }
            }
        }
        let length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        self.exactly(length, &mut on_data)
    }

    fn exactly(&mut self, mut left: usize, on_data: &mut impl FnMut(&[u8]) -> bool) -> Option<()> {
        let mut buffer = vec![0; 16 * 1024];
        while left > 0 {
            self.arm()?;
            let most = left.min(buffer.len());
            match self.reader.read(&mut buffer[..most]) {
                Ok(0) => return None,
                Ok(count) => {
                    left -= count;
                    if !on_data(&buffer[..count]) {
                        return None;
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
        Some(())
    }
}

/// The events of a stream as a client receives them.
#[derive(Default)]
pub struct Events {
    buffer: String,
}

impl Events {
    /// Returns the ids and the data of the events that are complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<(u64, String)> {
        self.buffer.push_str(&String::from_utf8_lossy(bytes));
        let mut found = Vec::new();
        while let Some(end) = self.buffer.find("\n\n") {
            let event: String = self.buffer.drain(..end + 2).collect();
            let field = |name: &str| {
                event.lines().find_map(|line| line.strip_prefix(name)).map(|it| it.trim().to_string())
            };
            if let Some(id) = field("id:").and_then(|it| it.parse().ok()) {
                found.push((id, field("data:").unwrap_or_default()));
            }
        }
        found
    }
}

/// What an upstream is told at its start; each one is a process of its own.
#[derive(Clone)]
pub struct UpstreamSpec {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub version: String,
    /// Where its heartbeats go, in this order.
    pub control: Vec<SocketAddr>,
    pub cold_ms: u64,
    /// Whether it sends heartbeats by itself.
    pub announces: bool,
    /// Requests in a second above which it crashes while it is cold; 0 for never.
    pub cold_limit: u64,
}

/// A running upstream process. What it prints goes to the record.
pub struct Upstream {
    child: Child,
    pub born: u64,
    lines: Arc<Mutex<Vec<String>>>,
}

impl UpstreamSpec {
    pub fn start(&self, record: &Record) -> Upstream {
        let born = unix_ms();
        let control: Vec<String> = self.control.iter().map(ToString::to_string).collect();
        let mut child = Command::new(env::current_exe().unwrap())
            .args(["upstream", &self.id, &self.service, &self.address.to_string(), &self.version])
            .args([&born.to_string(), &control.join(","), &self.cold_ms.to_string()])
            .args([if self.announces { "1" } else { "0" }, &self.cold_limit.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| give_up(&error.to_string()));
        let (lines, output) = (Arc::<Mutex<Vec<String>>>::default(), child.stdout.take().unwrap());
        let (ready, is_ready) = mpsc::channel();
        let (sink, record, id) = (lines.clone(), record.clone(), self.id.clone());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.note(&format!("upstream {id}: {line}"));
                if line == "listening" {
                    let _ = ready.send(());
                }
                sink.lock().unwrap().push(line);
            }
        });
        if is_ready.recv_timeout(Duration::from_secs(5)).is_err() {
            give_up("an upstream does not listen");
        }
        Upstream { child, born, lines }
    }
}

impl Upstream {
    /// Kills the process.
    pub fn crash(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Lines that it has printed, such as `run ID at MS`.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.crash();
    }
}

pub fn heartbeat_body(spec: &UpstreamSpec, born: u64, sequence: u64, cold_ms: u64) -> String {
    let UpstreamSpec { service, address, version, .. } = spec;
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"riga-a","version":"{version}","slots":128,"state":"ready","coldRemainingMs":{cold_ms},"stage":"prefill_decode","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":{sequence},"born":{born}}}"#
    )
}

/// The main function of an upstream process, if this is one.
pub fn run_upstream_if_asked() {
    let args: Vec<String> = env::args().collect();
    if args.get(1).map(String::as_str) != Some("upstream") {
        return;
    }
    let spec = UpstreamSpec {
        id: args[2].clone(),
        service: args[3].clone(),
        address: args[4].parse().unwrap(),
        version: args[5].clone(),
        control: args[7].split(',').filter_map(|it| it.parse().ok()).collect(),
        cold_ms: args[8].parse().unwrap(),
        announces: args[9] == "1",
        cold_limit: args[10].parse().unwrap(),
    };
    let born: u64 = args[6].parse().unwrap();
    let listener = bind_again(spec.address);
    say("listening");
    let cold_until = unix_ms() + spec.cold_ms;
    if spec.announces {
        let spec = spec.clone();
        thread::spawn(move || send_heartbeats(&spec, born, cold_until));
    }
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    for stream in listener.incoming().map_while(Result::ok) {
        let (spec, arrivals) = (spec.clone(), arrivals.clone());
        thread::spawn(move || serve_connection(&spec, stream, cold_until, &arrivals));
    }
}

/// A crashed process may have left connections in the state TIME_WAIT.
fn bind_again(address: SocketAddr) -> TcpListener {
    for _ in 0..100 {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(_) => sleep_ms(20),
        }
    }
    eprintln!("no address {address}");
    std::process::exit(2)
}

fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

/// Sends a heartbeat about every 1.2 s; without an acknowledgement within a second, the next node is
/// called.
fn send_heartbeats(spec: &UpstreamSpec, born: u64, cold_until: u64) {
    let (mut node, mut sequence) = (0, 0);
    loop {
        let began = Instant::now();
        for _ in 0..3 {
            // It increases with each call, so that a late call can be identified.
            sequence += 1;
            let cold_ms = cold_until.saturating_sub(unix_ms());
            say(&format!("heartbeat {sequence} born {born} cold {cold_ms} ms"));
            let body = heartbeat_body(spec, born, sequence, cold_ms);
            let request = Request::new("PUT", &format!("/instances/{}", spec.id))
                .header("content-type", "application/json")
                .body(body.as_bytes());
            let to = spec.control[node % spec.control.len()];
            let answer = request.send(to, Duration::from_secs(1));
            if answer.is_some_and(|it| it.status == 200) {
                break;
            }
            node += 1;
        }
        thread::sleep(Duration::from_millis(1_200).saturating_sub(began.elapsed()));
    }
}

fn serve_connection(
    spec: &UpstreamSpec,
    stream: TcpStream,
    cold_until: u64,
    arrivals: &Mutex<Vec<u64>>,
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let deadline = Instant::now() + Duration::from_secs(110);
    let mut reader = Timed { reader: BufReader::new(stream), deadline };
    while let Some((first, headers)) = reader.head() {
        let mut body = Vec::new();
        let whole = reader.body(&headers, |part| {
            body.extend_from_slice(part);
            true
        });
        if whole.is_none() {
            return;
        }
        let header = |name: &str| headers.get(name).map_or("", String::as_str);
        let (id, target) = (header("x-attempt-id"), first.split(' ').nth(1).unwrap_or_default());
        let common = format!("x-attempt-id: {id}\r\nx-server-stamp: {}.{}\r\n", spec.id, spec.version);
        let plain = |status: &str, more: &str| {
            format!("HTTP/1.1 {status}\r\n{common}{more}content-length: 2\r\n\r\nok").into_bytes()
        };
        if target == "/healthz" {
            let _ = writer.write_all(&plain("200 OK", &format!("x-instance-id: {}\r\n", spec.id)));
            continue;
        }
        let expected = header("x-expect-instance");
        if !expected.is_empty() && expected != spec.id {
            say(&format!("misdirected {id} at {}", unix_ms()));
            let _ = writer.write_all(&plain("421 Misdirected Request", "x-not-executed: 1\r\n"));
            continue;
        }
        let now = unix_ms();
        let is_cold = now < cold_until;
        say(&format!("run {id} at {now} cold {is_cold} target {target}"));
        if is_cold && spec.cold_limit > 0 {
            let mut arrivals = arrivals.lock().unwrap();
            arrivals.retain(|at| now - at < 1_000);
            arrivals.push(now);
            if arrivals.len() as u64 > spec.cold_limit {
                say(&format!("crash: {} requests in a second while cold", arrivals.len()));
                std::process::exit(3);
            }
        }
        if target.starts_with("/stream/") {
            let is_deadly = header("x-prompt-prefix").contains(DEADLY_PART);
            let began = Instant::now();
            let last: u64 = header("last-event-id").parse().unwrap_or(0);
            let head = format!(
                "HTTP/1.1 200 OK\r\n{common}content-type: text/event-stream\r\n\
                 transfer-encoding: chunked\r\n\r\n"
            );
            if writer.write_all(head.as_bytes()).is_err() {
                return;
            }
            for event in last + 1..=EVENTS {
                let text = format!("id: {event}\ndata: {} {} {event}\n\n", spec.id, spec.version);
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                if writer.write_all(chunk.as_bytes()).is_err() {
                    say(&format!("left {id} after {event}"));
                    return;
                }
                sleep_ms(EVENT_INTERVAL_MS);
                if is_deadly && began.elapsed() >= DEADLY_TIME {
                    say(&format!("crash of {id} at {}", unix_ms()));
                    std::process::exit(3);
                }
            }
            if writer.write_all(b"0\r\n\r\n").is_err() {
                return;
            }
        } else {
            sleep_ms(WORK_MS);
            if writer.write_all(&plain("200 OK", "")).is_err() {
                return;
            }
        }
        say(&format!("done {id} at {}", unix_ms()));
    }
}

/// Events of a stream, and the time between two.
pub const EVENTS: u64 = 58;
pub const EVENT_INTERVAL_MS: u64 = 120;
/// A part of prompts that crashes each upstream that writes an answer on it, this long after the begin of
/// the answer.
pub const DEADLY_PART: &str = "dead0001";
const DEADLY_TIME: Duration = Duration::from_millis(1_200);
/// Time for which an upstream works on a plain request.
const WORK_MS: u64 = 20;

/// A proxy between an upstream and the keepers: what the upstream sends arrives late, in order.
pub struct LateProxy {
    pub addresses: Vec<SocketAddr>,
    delay_ms: Arc<AtomicU64>,
}

impl LateProxy {
    pub fn start(targets: &[SocketAddr]) -> LateProxy {
        let delay_ms = Arc::<AtomicU64>::default();
        let addresses = targets.iter().map(|target| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let (target, delay_ms) = (*target, delay_ms.clone());
            thread::spawn(move || {
                for client in listener.incoming().map_while(Result::ok) {
                    let delay_ms = delay_ms.clone();
                    thread::spawn(move || pass_on(client, target, &delay_ms));
                }
            });
            address
        });
        LateProxy { addresses: addresses.collect(), delay_ms }
    }

    /// From now on, what is sent arrives this much later.
    pub fn set_delay(&self, ms: u64) {
        self.delay_ms.store(ms, Ordering::Relaxed);
    }
}

fn pass_on(mut client: TcpStream, target: SocketAddr, delay_ms: &AtomicU64) {
    let Ok(mut server) = TcpStream::connect(target) else { return };
    let (Ok(mut answers), Ok(mut back)) = (server.try_clone(), client.try_clone()) else { return };
    thread::spawn(move || {
        let _ = std::io::copy(&mut answers, &mut back);
        let _ = back.shutdown(Shutdown::Write);
    });
    let (sender, parts) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        for (due, part) in parts {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if part.is_empty() || server.write_all(&part).is_err() {
                let _ = server.shutdown(Shutdown::Write);
                return;
            }
        }
    });
    let mut buffer = [0; 8 * 1024];
    loop {
        let count = client.read(&mut buffer).unwrap_or(0);
        let due = Instant::now() + Duration::from_millis(delay_ms.load(Ordering::Relaxed));
        if sender.send((due, buffer[..count].to_vec())).is_err() || count == 0 {
            return;
        }
    }
}

/// A configuration with the routes `/safe/`, `/once/` and `/stream/` to the service `medlar-pool`.
pub fn configuration(cold_per_s: f64) -> String {
    let route = |name: &str, kind: &str, timeout: u32, attempts: u32| {
        format!(
            r#"{{"name":"r-{name}","host":"{HOST}","pathPrefix":"/{name}/","routeType":"{kind}","timeoutMs":{timeout},"targetLatencyMs":800,"priority":0,"service":"medlar-pool","maxAttempts":{attempts},"sessionAffinity":false,"resumable":{},"gapTargetMs":600,"homeRegions":[]}}"#,
            kind == "streaming"
        )
    };
    format!(
        r#"{{"version":7,"routes":[{},{},{}],"services":[{{"name":"medlar-pool","healthPath":"/healthz","maxConnections":620,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":{cold_per_s:.1}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        route("safe", "safe", 2_500, 2),
        route("once", "unsafe", 2_500, 1),
        route("stream", "streaming", 15_000, 2),
    )
}

/// Stops threads.
#[derive(Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

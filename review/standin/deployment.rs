//! A small deployment: three keepers and some entry instances as separate processes, and the part of
//! the platform that starts, stops and watches them.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    record::Record,
};

const INTERNAL: u16 = 7660;
const FRONT: u16 = 8144;
const READINESS: u16 = 8140;
const CONTROL: u16 = 8146;
const DIRECTORY: u16 = 8143;

/// Memory of a process on a `core` machine, in MB: the sheet of `kt-medlar`.
pub const CORE_MEMORY_MB: u64 = 256;
/// Memory of a process on an `edge` machine, in MB.
pub const EDGE_MEMORY_MB: u64 = 260;
/// Time after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time between two checks of the processes by the platform.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Ids of the processes that were started and not reaped.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// The folder of the deployment, which is removed at the end.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Kills all processes that were started, and removes their folder.
pub fn kill_all() {
    let mut running = RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for pid in running.drain(..) {
        send(pid, SIGKILL);
    }
    // The processes end at once; their files are not needed any more.
    thread::sleep(Duration::from_millis(200));
    let folder = FOLDER.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take();
    if let Some(folder) = folder {
        let _ = fs::remove_dir_all(folder);
    }
}

fn send(pid: u32, signal: i32) {
    // The process was started here and has not been reaped, so the id is its own.
    unsafe { kill(pid as i32, signal) };
}

/// A process of the deployment.
struct Process {
    host: u8,
    child: Child,
    /// When it ended, if the platform is to start it again.
    ended: Option<Instant>,
    /// Whether the end is planned, so that it is not started again.
    is_stopping: bool,
}

pub struct Deployment {
    record: Record,
    folder: PathBuf,
    /// Second and third byte of the addresses.
    block: (u8, u8),
    _reservation: TcpListener,
    processes: Mutex<Vec<Process>>,
    /// Hosts whose process ended by itself or over its memory limit, once for each time.
    own_ends: Mutex<Vec<u8>>,
    /// Largest resident memory seen, in MB, by host.
    peaks: Mutex<Vec<(u8, u64)>>,
    is_over: AtomicBool,
}

/// Zone and region of a host.
fn place(host: u8) -> (&'static str, &'static str) {
    match host {
        1 | 101..=149 => ("riga-a", "riga"),
        _ => ("riga-b", "riga"),
    }
}

impl Deployment {
    /// Starts keepers at the hosts 1, 2 and 3, and entry instances at the hosts `entries`.
    pub fn start(record: &Record, entries: &[u8]) -> Arc<Deployment> {
        let (block, reservation) = reserve();
        let folder = std::env::temp_dir().join(format!("medlarlug-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        *FOLDER.lock().unwrap() = Some(folder.clone());
        let deployment = Arc::new(Deployment {
            record: record.clone(),
            folder,
            block,
            _reservation: reservation,
            processes: Mutex::default(),
            own_ends: Mutex::default(),
            peaks: Mutex::default(),
            is_over: AtomicBool::new(false),
        });
        for host in (1..=3).chain(entries.iter().copied()) {
            let child = deployment.launch(host, true);
            let process = Process { host, child, ended: None, is_stopping: false };
            deployment.processes.lock().unwrap().push(process);
        }
        let platform = deployment.clone();
        thread::spawn(move || platform.watch());
        deployment
    }

    fn launch(&self, host: u8, is_first: bool) -> Child {
        let settings = self.folder.join(format!("boot-{host}.conf"));
        fs::write(&settings, self.settings(host, is_first)).expect("the settings file");
        let log = self.folder.join(format!("log-{host}"));
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let role = if host < 100 { "keeper" } else { "entry" };
        let child = Command::new("target/release/medlarlug-platform")
            .arg(role)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("MEDLARLUG_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("target/release/medlarlug-platform, which the deploy file builds");
        RUNNING.lock().unwrap().push(child.id());
        self.record.note(&format!("platform: started {role} {host}, process {}", child.id()));
        child
    }

    fn settings(&self, host: u8, is_first: bool) -> String {
        let ip = self.ip(host);
        let (zone, region) = place(host);
        let seeds: Vec<String> = (1..=3).map(|host| self.control(host).to_string()).collect();
        let (class, serves, memory) = match host < 100 {
            true => ("core", "control_plane,registry", CORE_MEMORY_MB),
            false => ("edge", "edge", EDGE_MEMORY_MB),
        };
        let listen = match host < 100 {
            true => format!(
                "listen.control={ip}:{CONTROL}\nlisten.directory={ip}:{DIRECTORY}\n\
                 dataDir={}\nlimits.diskMb=128\ninTolerance=true\n",
                self.data(host).display()
            ),
            false => format!(
                "listen.front={ip}:{FRONT}\nlisten.readiness={ip}:{READINESS}\n\
                 limits.diskMb=0\ninTolerance=false\n"
            ),
        };
        format!(
            "nodeName={class}-{zone}-{host}\nrole=my-{class}\nmachineClass={class}\n\
             serves={serves}\nip={ip}\nzone={zone}\nregion={region}\n\
             zones.riga-a=riga\nzones.riga-b=riga\n{listen}\
             portRange={INTERNAL},{}\nseeds={}\nbootstrap={is_first}\n\
             limits.cores=1\nlimits.memoryMb={memory}\nlimits.maxFds=4096\n\
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

    fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block.0, self.block.1, host)
    }

    /// An address of a server on a port of its own.
    pub fn server_address(&self, number: u16) -> SocketAddr {
        (self.ip(240), 9_000 + number).into()
    }

    pub fn control(&self, host: u8) -> SocketAddr {
        (self.ip(host), CONTROL).into()
    }

    pub fn front(&self, host: u8) -> SocketAddr {
        (self.ip(host), FRONT).into()
    }

    fn data(&self, host: u8) -> PathBuf {
        self.folder.join(format!("data-{host}"))
    }

    /// Bytes in the data folder of a keeper, in MB.
    pub fn disk_mb(&self, host: u8) -> u64 {
        let Ok(files) = fs::read_dir(self.data(host)) else { return 0 };
        let bytes = files.filter_map(|it| it.ok()?.metadata().ok()).map(|it| it.len());
        bytes.sum::<u64>() >> 20
    }

    pub fn signal(&self, host: u8, signal: i32) {
        let mut processes = self.processes.lock().unwrap();
        let process = processes.iter_mut().find(|it| it.host == host).expect("a known host");
        process.is_stopping |= signal == SIGTERM;
        send(process.child.id(), signal);
        self.record.note(&format!("platform: signal {signal} to host {host}"));
    }

    /// Whether the process of a host has ended.
    pub fn has_ended(&self, host: u8) -> bool {
        let mut processes = self.processes.lock().unwrap();
        let process = processes.iter_mut().find(|it| it.host == host).expect("a known host");
        process.child.try_wait().ok().flatten().is_some()
    }

    /// How often the process of a host ended by itself or over its memory limit.
    pub fn own_ends(&self, host: u8) -> usize {
        self.own_ends.lock().unwrap().iter().filter(|it| **it == host).count()
    }

    /// Largest resident memory of a host so far, in MB.
    pub fn peak_mb(&self, host: u8) -> u64 {
        let peaks = self.peaks.lock().unwrap();
        peaks.iter().find(|it| it.0 == host).map_or(0, |it| it.1)
    }

    pub fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    /// The platform: ends processes whose memory is over the limit, and starts those again that have
    /// ended.
    fn watch(&self) {
        while !self.is_over.load(Ordering::Relaxed) {
            thread::sleep(WATCH_INTERVAL);
            for process in self.processes.lock().unwrap().iter_mut() {
                self.check(process);
            }
        }
    }

    fn check(&self, process: &mut Process) {
        let host = process.host;
        if process.is_stopping {
            return;
        }
        if let Some(ended) = process.ended {
            if ended.elapsed() >= RESTART_DELAY {
                process.child = self.launch(host, false);
                process.ended = None;
            }
            return;
        }
        let limit = if host < 100 { CORE_MEMORY_MB } else { EDGE_MEMORY_MB };
        let pid = process.child.id();
        let memory = resident_mb(pid);
        self.count_peak(host, memory);
        let why = match process.child.try_wait() {
            Ok(Some(status)) => format!("ended by itself: {status}"),
            _ if memory > limit => {
                send(pid, SIGKILL);
                let _ = process.child.wait();
                format!("killed: {memory} MB of memory, the limit is {limit} MB")
            }
            _ => return,
        };
        RUNNING.lock().unwrap().retain(|it| *it != pid);
        self.record.note(&format!("platform: host {host} {why}"));
        self.own_ends.lock().unwrap().push(host);
        process.ended = Some(Instant::now());
    }

    fn count_peak(&self, host: u8, memory: u64) {
        let mut peaks = self.peaks.lock().unwrap();
        match peaks.iter_mut().find(|it| it.0 == host) {
            Some(peak) => peak.1 = peak.1.max(memory),
            None => peaks.push((host, memory)),
        }
    }

    /// Waits until an entry instance is ready; panics if that takes longer than 20 s.
    pub fn wait_until_ready(&self, host: u8) {
        let address = (self.ip(host), READINESS).into();
        let latest = Instant::now() + Duration::from_secs(20);
        while Instant::now() < latest {
            let answer =
                http::call(address, &Request::new("GET", "/readyz"), Duration::from_secs(1));
            if answer.is_ok_and(|it| it.is_success()) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("entry instance {host} is not ready");
    }

    /// Sends an order to the keepers as an operator does until one acknowledges it or `limit` has
    /// passed: first to `first`, and on to the next one after a failure, a 5xx, or `patience` without an
    /// answer.
    pub fn order(&self, request: &Request, first: u8, patience: Duration, limit: Duration) -> bool {
        let latest = Instant::now() + limit;
        let mut backoff = Duration::from_millis(50);
        for host in (1..=3).cycle().skip(usize::from(first) - 1) {
            if Instant::now() >= latest {
                return false;
            }
            match http::call(self.control(host), request, patience) {
                Ok(answer) if answer.is_success() => return true,
                Ok(answer) if answer.status < 500 => {
                    panic!("keeper {host} refused an order with {}", answer.status)
                }
                _ => {}
            }
            thread::sleep(backoff);
            backoff = (backoff * 2).min(Duration::from_secs(1));
        }
        unreachable!("the list of keepers is endless")
    }
}

/// Resident memory of a process in MB.
fn resident_mb(pid: u32) -> u64 {
    let Ok(status) = fs::read_to_string(format!("/proc/{pid}/status")) else { return 0 };
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|it| it.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.unwrap_or(0) >> 10
}

/// Reserves a block of addresses that no other deployment uses, by a listener at its last address.
fn reserve() -> ((u8, u8), TcpListener) {
    let seed = std::process::id();
    for number in 0..10_000_u32 {
        let number = seed.wrapping_mul(31).wrapping_add(number);
        let block = ((20 + number % 200) as u8, (number / 200 % 250) as u8);
        let address = (Ipv4Addr::new(127, block.0, block.1, 254), INTERNAL);
        if let Ok(listener) = TcpListener::bind(address) {
            return (block, listener);
        }
    }
    panic!("no free block of loopback addresses");
}

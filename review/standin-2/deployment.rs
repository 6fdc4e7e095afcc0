//! The project's own programs as processes on loopback addresses: three keepers and some entry
//! instances, with settings like those of the users' first deployments.

use std::{
    fs,
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::http;

pub const ZONES: [&str; 3] = ["kochi-a", "kollam-a", "kozhikode-a"];
pub const REGIONS: [&str; 3] = ["kochi", "kollam", "kozhikode"];
/// Host name of all routes.
pub const HOST: &str = "ficu95.example";
const PORTS: u16 = 7660;
const CONTROL: u16 = 8146;
const DIRECTORY: u16 = 8143;
const FRONT: u16 = 8144;
const READINESS: u16 = 8140;

pub struct Deployment {
    folder: PathBuf,
    program: String,
    net: u8,
    _reservation: TcpListener,
    running: Mutex<Vec<(u8, Child)>>,
}

/// The zone of a process by the last byte of its address: 1, 2, 3 are keepers, 1x, 2x, 3x entry
/// instances.
fn zone_of(host: u8) -> usize {
    if host < 10 { usize::from(host) - 1 } else { usize::from(host / 10) - 1 }
}

impl Deployment {
    /// Starts three keepers and the entry instances at these hosts.
    pub fn start(entries: &[u8]) -> Result<Deployment, String> {
        let program = std::env::var("PROGRAM").map_err(|_| "PROGRAM is not set")?;
        let folder = std::env::var("FOLDER").map_err(|_| "FOLDER is not set")?;
        let first = (std::process::id() % 150) as u8 + 60;
        let reserve = |net: u8| {
            let listener = TcpListener::bind((Ipv4Addr::new(127, net, 3, 254), PORTS));
            listener.ok().map(|it| (net, it))
        };
        let found = (first..=254).chain(60..first).find_map(reserve);
        let (net, reservation) = found.ok_or("no free addresses")?;
        let deployment = Deployment {
            folder: folder.into(),
            program,
            net,
            _reservation: reservation,
            running: Mutex::default(),
        };
        for host in [1, 2, 3].iter().chain(entries) {
            deployment.launch(*host, true)?;
        }
        Ok(deployment)
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 3, host)
    }

    /// A free address for an engine.
    pub fn engine_address(&self, number: u8) -> SocketAddr {
        (Ipv4Addr::new(127, self.net, 4, number), 8080).into()
    }

    pub fn control(&self, host: u8) -> SocketAddr {
        (self.ip(host), CONTROL).into()
    }

    pub fn front(&self, host: u8) -> SocketAddr {
        (self.ip(host), FRONT).into()
    }

    fn settings(&self, host: u8, bootstrap: bool) -> String {
        let zone = zone_of(host);
        let ip = self.ip(host);
        let is_keeper = host < 10;
        let seeds: Vec<String> = (1..=3).map(|it| self.control(it).to_string()).collect();
        let mut text = format!(
            "nodeName=node-{host}\nrole={}\nmachineClass={}\nip={ip}\nzone={}\nregion={}\n",
            if is_keeper { "keeper" } else { "entry" },
            if is_keeper { "core" } else { "edge" },
            ZONES[zone],
            REGIONS[zone],
        );
        for (zone, region) in ZONES.iter().zip(REGIONS) {
            text += &format!("zones.{zone}={region}\n");
        }
        text += &match is_keeper {
            true => format!(
                "serves=control_plane,registry\nlisten.control={ip}:{CONTROL}\n\
                 listen.directory={ip}:{DIRECTORY}\ndataDir={}\nlimits.memoryMb=256\n\
                 limits.maxFds=4096\nlimits.diskMb=128\nlimits.cpuShare=0.3\ninTolerance=true\n",
                self.folder.join(format!("data-{host}")).display()
            ),
            false => format!(
                "serves=edge\nlisten.front={ip}:{FRONT}\nlisten.readiness={ip}:{READINESS}\n\
                 limits.memoryMb=260\nlimits.maxFds=4100\nlimits.diskMb=0\nlimits.cpuShare=0.25\n\
                 inTolerance=false\n"
            ),
        };
        text += &format!(
            "portRange={PORTS},{}\nseeds={}\nbootstrap={bootstrap}\nlimits.cores=1\n\
             limits.linkMbps=1000.0\ndiscovery=registration\nentry=registry\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,places\n\
             faultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=1\n\
             bounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=5000\nbounds.ackMs=6000\n\
             bounds.catchUpS=4\nbounds.drainMs=3000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
             bounds.configApplyMs=3000\nbounds.rollbackSlackMs=250\nbounds.maxStretchMs=8000\n\
             bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=56\n\
             bounds.coldOverage=1.5\nbounds.coldSlack=3\nbounds.evacuateMs=5000\n\
             bounds.recoveryS=12\nbounds.passMs=600\nbounds.reuseWindowS=10\nbounds.ttl_max_s=5\n\
             configMode=highest\n",
            PORTS + 15,
            seeds.join(","),
        );
        text
    }

    /// Starts a process with the command of the deploy file.
    pub fn launch(&self, host: u8, bootstrap: bool) -> Result<(), String> {
        let path = self.folder.join(format!("boot-{host}.conf"));
        fs::write(&path, self.settings(host, bootstrap)).map_err(|it| it.to_string())?;
        let log = self.folder.join(format!("log-{host}.txt"));
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.map_err(|it| it.to_string())?;
        let child = Command::new(&self.program)
            .arg(if host < 10 { "keeper" } else { "entry" })
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("MEDLARLUG_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|it| it.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|it| it.to_string())?;
        let pids = self.folder.join("pids");
        let pids = fs::OpenOptions::new().create(true).append(true).open(pids);
        let noted = pids.and_then(|mut it| writeln!(it, "{}", child.id()));
        self.running.lock().unwrap().push((host, child));
        noted.map_err(|it| it.to_string())
    }

    /// Sends the first configuration until it is accepted, and waits until the entry instances are ready.
    pub fn configure(&self, document: &str) -> Result<(), String> {
        let limit = Instant::now() + Duration::from_secs(20);
        let send = |host: u8| {
            let headers = [("Host", "control"), ("Content-Type", "application/json")];
            let body = document.as_bytes();
            let address = self.control(host);
            http::call(address, "PUT", "/config", &headers, body, Duration::from_secs(1)).status()
        };
        let mut host = 1;
        while send(host) != 200 {
            host = host % 3 + 1;
            sleep(Duration::from_millis(100));
            if Instant::now() > limit {
                return Err("the configuration was not acknowledged".into());
            }
        }
        let entries: Vec<u8> =
            self.running.lock().unwrap().iter().map(|it| it.0).filter(|it| *it > 10).collect();
        for host in entries {
            while !self.is_ready(host) {
                sleep(Duration::from_millis(50));
                if Instant::now() > limit {
                    return Err(format!("instance {host} was not ready"));
                }
            }
        }
        Ok(())
    }

    /// Kills a process and waits until it has ended.
    pub fn kill(&self, host: u8) {
        let mut running = self.running.lock().unwrap();
        if let Some(at) = running.iter().position(|it| it.0 == host) {
            let mut child = running.remove(at).1;
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self, host: u8) -> bool {
        let address = (self.ip(host), READINESS).into();
        let headers = [("Host", "readiness")];
        let limit = Duration::from_millis(500);
        http::call(address, "GET", "/readyz", &headers, b"", limit).status() == 200
    }

    /// The processes that have ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let mut running = self.running.lock().unwrap();
        let ended = running.iter_mut().filter_map(|(host, child)| {
            let status = child.try_wait().ok().flatten()?;
            Some(format!("process {host} has ended: {status}"))
        });
        ended.collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (_, child) in self.running.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

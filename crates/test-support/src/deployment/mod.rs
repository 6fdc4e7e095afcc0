//! A deployment of real processes on loopback, for tests of behavior that only processes show.
//!
//! Processes are started and stopped by the test only; nothing restarts them. They are killed
//! when the deployment is dropped.

mod requests;
mod settings;

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Mutex, PoisonError},
    thread::sleep,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use tempfile::TempDir;

pub use self::requests::{Reply, call};
use crate::{
    free_address, free_port_range,
    relay::{Network, Relay},
    signals,
};

/// Bearer key of the operator `anna`.
pub const OPERATOR_KEY: &str = "operator-key-of-anna";

/// Bearer key of the team `survey`.
pub const CALLER_KEY: &str = "caller-key-of-survey";

/// Longest wait of a test for a condition, and for the whole answer to a request.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until `condition` holds, which is checked every 25 ms.
///
/// # Panics
///
/// Panics if it does not hold within [`CONDITION_TIMEOUT`].
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "{what} did not happen within {CONDITION_TIMEOUT:?}");
        sleep(Duration::from_millis(25));
    }
}

/// An entry instance or keeper as the cluster file lists it.
#[derive(Debug, Clone)]
pub struct Instance {
    /// Id under which the cluster file lists it.
    pub id: String,
    /// Id of the availability zone in which the cluster file places it.
    pub zone: String,
    /// Whether it is an entry instance; otherwise it is a keeper.
    pub is_entry: bool,
    /// Whether its settings name a data folder.
    pub has_disk: bool,
    /// Address for callers; unused by keepers.
    pub callers: SocketAddr,
    /// Address of the operators' interface.
    pub operators: SocketAddr,
    internal: SocketAddr,
    /// Address for messages of other instances.
    pub peers: SocketAddr,
}

/// An emulated upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Id in the settings file of its process.
    pub id: String,
    /// Id of the availability zone to whose entry instances it announces itself.
    pub zone: String,
    /// Its kind, as YAML of the settings file.
    pub kind: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Further settings, one line of YAML each.
    pub extra: Vec<String>,
    /// Address at which it accepts requests; the first one of a pool.
    pub address: SocketAddr,
    /// Address of its control port, for injected faults; the first one of a pool.
    pub control: SocketAddr,
}

/// Identical engines of one model that run in one process.
#[derive(Debug, Clone, Copy)]
pub struct Pool<'a> {
    /// Id of the model.
    pub model: &'a str,
    /// Number of engines.
    pub count: usize,
    /// Slots of each engine.
    pub slots: u32,
    /// Tokens per second of a stream that runs alone on its engine.
    pub speed: u32,
}

/// A deployment of entry instances, keepers and emulated upstreams; [`Deployment::start`] runs it.
pub struct Deployment {
    folder: TempDir,
    binaries: PathBuf,
    zones: Vec<(String, String)>,
    /// Entry instances and keepers.
    pub instances: Vec<Instance>,
    /// Emulated upstreams, one process each.
    pub upstreams: Vec<Upstream>,
    processes: Mutex<Vec<(String, Child)>>,
    /// The relays between instances, if enabled by [`Deployment::with_relays`].
    pub network: Option<Network>,
    /// The relays in front of upstreams, by their ids, if enabled by
    /// [`Deployment::with_upstream_relays`].
    pub upstream_relays: Vec<(String, Relay)>,
    has_upstream_relays: bool,
    home_voters: Vec<(String, Vec<String>)>,
    /// Limits in the settings of entry instances, as lines of YAML.
    pub limits: String,
    /// Resources in the settings of entry instances and keepers, as a line of YAML.
    pub resources: String,
}

impl Deployment {
    /// A deployment without processes. `binaries` is the folder of the built programs, `zones` lists
    /// pairs of zone and region.
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
            upstream_relays: Vec::new(),
            has_upstream_relays: false,
            home_voters: Vec::new(),
            limits: String::new(),
            resources: String::new(),
        }
    }

    /// Puts a relay in front of each upstream.
    pub fn with_upstream_relays(mut self) -> Deployment {
        self.has_upstream_relays = true;
        self
    }

    /// Puts relays between the instances.
    pub fn with_relays(mut self) -> Deployment {
        self.network = Some(Network::default());
        self
    }

    /// Sets the voters of a region's home group, which are all keepers by default.
    pub fn home_voters(mut self, region: &str, voters: &[&str]) -> Deployment {
        let voters = voters.iter().map(|it| (*it).to_owned()).collect();
        self.home_voters.push((region.into(), voters));
        self
    }

    /// The relays between the instances.
    ///
    /// # Panics
    ///
    /// Panics if the deployment was built without [`Deployment::with_relays`].
    pub fn network(&self) -> &Network {
        self.network.as_ref().expect("a deployment with relays")
    }

    /// Gives an entry instance a data folder.
    pub fn with_disk(mut self, id: &str) -> Deployment {
        let it = self.instances.iter_mut().find(|it| it.id == id).expect("an instance");
        it.has_disk = true;
        self
    }

    /// Adds an entry instance without a data folder.
    pub fn entry(self, id: &str, zone: &str) -> Deployment {
        self.instance(id, zone, true)
    }

    /// Adds a keeper with a data folder.
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

    /// Adds an emulated engine that serves version `v1` of `model`.
    pub fn engine(self, id: &str, zone: &str, model: &str) -> Deployment {
        let kind = format!("{{ engine: {{ models: [{{ model: {model}, version: v1 }}] }} }}");
        let extra = ["speed: 500", "prefill: 100000", "cache: 100000", "fencing: true"];
        self.upstream(id, zone, kind, &extra)
    }

    /// Adds identical emulated engines that run in one process.
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
            address: free_port_range(count),
            control: free_port_range(count),
        });
        self
    }

    /// Adds an emulated plain service.
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

    /// Writes the settings and starts every process; does not wait until they are ready.
    pub fn start(mut self) -> Deployment {
        self.start_relays();
        self.write_settings();
        let ids = self.instances.iter().map(|it| it.id.clone());
        let ids: Vec<String> = ids.chain(self.upstreams.iter().map(|it| it.id.clone())).collect();
        ids.iter().for_each(|id| self.start_process(id));
        self
    }

    /// Appends lines to the settings of a process, which reads them at its next start.
    pub fn append_settings(&self, id: &str, lines: &str) {
        let file = self.folder.path().join(format!("{id}.yaml"));
        let text = fs::read_to_string(&file).expect("a settings file");
        fs::write(file, text + lines).expect("a settings file");
    }

    /// Starts the process of an instance or upstream, whose settings are written already.
    pub fn start_process(&mut self, id: &str) {
        self.spawn(id);
    }

    /// Kills a process and starts it again. Takes `&self`, so that other threads may use the
    /// deployment meanwhile.
    pub fn restart(&self, id: &str) {
        let (_, mut child) = self.remove_process(id);
        child.kill().expect("the process exists");
        child.wait().expect("the process exits");
        self.spawn(id);
    }

    fn remove_process(&self, id: &str) -> (String, Child) {
        let mut processes =
            self.processes.lock().expect("no thread panicked while holding the lock");
        let index = processes.iter().position(|it| it.0 == id).expect("a running process");
        processes.swap_remove(index)
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
        self.processes
            .lock()
            .expect("no thread panicked while holding the lock")
            .push((id.into(), child));
    }

    /// Rebuilds a group from the data folder of a stopped keeper. Returns whether it succeeded.
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

    /// The operating system's id of a running process.
    ///
    /// # Panics
    ///
    /// Panics if the process is not running.
    pub fn pid(&self, id: &str) -> u32 {
        let processes = self.processes.lock().expect("no thread panicked while holding the lock");
        processes.iter().find(|it| it.0 == id).expect("a running process").1.id()
    }

    /// Sends a signal to a process of this deployment; see [`signals::send`].
    pub fn signal(&self, id: &str, signal: Signal) {
        let processes = self.processes.lock().expect("no thread panicked while holding the lock");
        let child = processes.iter().find(|it| it.0 == id).expect("a running process");
        signals::send(child.1.id(), signal);
    }

    /// Whether every thread of a process is stopped; see [`signals::is_stopped`].
    pub fn is_stopped(&self, id: &str) -> bool {
        let processes = self.processes.lock().expect("no thread panicked while holding the lock");
        let child = processes.iter().find(|it| it.0 == id).expect("a running process");
        signals::is_stopped(child.1.id())
    }

    /// Kills a process and waits until it has exited.
    pub fn kill(&mut self, id: &str) {
        let (_, mut child) = self.remove_process(id);
        child.kill().expect("the process exists");
        child.wait().expect("the process exits");
    }

    /// Waits until a process exits by itself. Returns whether its exit status is success.
    pub fn wait_exit(&mut self, id: &str) -> bool {
        let (_, mut child) = self.remove_process(id);
        let mut status = None;
        wait_for("the exit of the process", || {
            status = child.try_wait().expect("the process was started here");
            status.is_some()
        });
        status.is_some_and(|it| it.success())
    }

    /// Deletes the data folder of a stopped instance.
    pub fn delete_data(&self, id: &str) {
        let _ = fs::remove_dir_all(self.data_folder(id));
    }

    /// Copies the data folder of a stopped keeper to a backup.
    pub fn back_up(&self, id: &str) {
        copy_files(&self.data_folder(id), &self.folder.path().join(format!("backup-{id}")));
    }

    /// Copies the backup of a stopped keeper into its empty data folder.
    pub fn restore(&self, id: &str) {
        copy_files(&self.folder.path().join(format!("backup-{id}")), &self.data_folder(id));
    }

    fn data_folder(&self, id: &str) -> PathBuf {
        self.folder.path().join(format!("data-{id}"))
    }

    /// Path of the settings file of a process.
    pub fn settings(&self, id: &str) -> PathBuf {
        self.folder.path().join(format!("{id}.yaml"))
    }

    /// Log output of a process, over all its starts; empty if it was never started.
    pub fn log(&self, id: &str) -> String {
        fs::read_to_string(self.folder.path().join(format!("{id}.log"))).unwrap_or_default()
    }

    /// The instance with this id.
    ///
    /// # Panics
    ///
    /// Panics if the deployment has none.
    pub fn get(&self, id: &str) -> &Instance {
        self.instances.iter().find(|it| it.id == id).expect("an instance of the deployment")
    }

    /// Address of the internal interface of an instance.
    pub fn internal(&self, id: &str) -> SocketAddr {
        self.get(id).internal
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

/// Copies the files of a folder, which must have no subfolders.
fn copy_files(from: &Path, to: &Path) {
    fs::create_dir_all(to).expect("a new folder");
    for entry in fs::read_dir(from).expect("a data folder") {
        let entry = entry.expect("a readable folder");
        fs::copy(entry.path(), to.join(entry.file_name())).expect("a copied file");
    }
}

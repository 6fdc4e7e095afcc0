//! One emulated upstream: its state and its tasks.

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use medlarlug_core::{
    announcement::{LoadReport, UpstreamKind},
    ids::Incarnation,
};
use smol_str::SmolStr;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::{AbortHandle, spawn_local},
    time::{Instant, sleep, sleep_until},
};

use crate::{
    protocol::headers,
    settings::{DeploymentKeys, UpstreamSettings},
    standin::{
        announcer,
        batch::Batch,
        cache::PrefixCache,
        completions,
        connection::Connection,
        faults::{AnswerFault, Fault, FaultState},
        http::{self, Answer, ConnectionAborted},
        ledger::Ledger,
        orders::OrderBook,
        service,
        streams::Streams,
    },
};

const STREAM_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// One emulated upstream.
pub(super) struct Upstream {
    pub settings: UpstreamSettings,
    pub keys: DeploymentKeys,
    pub incarnation: Cell<Incarnation>,
    pub batch: RefCell<Batch>,
    pub cache: RefCell<PrefixCache>,
    pub streams: Streams,
    pub orders: RefCell<OrderBook>,
    pub ledger: RefCell<Ledger>,
    pub faults: RefCell<FaultState>,
    /// Running calls of a plain service.
    pub running_calls: Cell<u32>,
    pub leaving: Cell<bool>,
    /// Wakes the batch after a job was queued.
    pub job_queued: Notify,
    /// Wakes the announcer when the upstream starts to leave.
    pub leave_started: Notify,
    /// Ids of the last two requests; a misdelivered answer gets the one of another request.
    pub recent_ids: RefCell<Vec<SmolStr>>,
    tasks: RefCell<Vec<AbortHandle>>,
    open_connections: RefCell<Vec<OpenConnection>>,
    down: Cell<bool>,
    /// Whether it is down and will not restart.
    permanently_down: Cell<bool>,
}

struct OpenConnection {
    task: AbortHandle,
    unresponsive: Rc<Cell<bool>>,
}

impl Upstream {
    pub fn new(settings: UpstreamSettings, keys: DeploymentKeys) -> Rc<Upstream> {
        let models = match &settings.kind {
            UpstreamKind::Engine { models } => models.clone(),
            UpstreamKind::Service { .. } => Vec::new(),
        };
        Rc::new(Upstream {
            batch: RefCell::new(Batch::new(
                settings.slots,
                settings.decode_rate,
                settings.prefill_rate,
            )),
            cache: RefCell::new(PrefixCache::new(settings.cache)),
            orders: RefCell::new(OrderBook::new(settings.fencing, models)),
            streams: Streams::default(),
            ledger: RefCell::default(),
            faults: RefCell::default(),
            incarnation: Cell::new(next_incarnation()),
            running_calls: Cell::new(0),
            leaving: Cell::new(false),
            job_queued: Notify::new(),
            leave_started: Notify::new(),
            recent_ids: RefCell::default(),
            tasks: RefCell::default(),
            open_connections: RefCell::default(),
            down: Cell::new(false),
            permanently_down: Cell::new(false),
            settings,
            keys,
        })
    }

    /// Binds the port and starts the tasks of the upstream.
    pub async fn start(self: &Rc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.settings.address).await?;
        let tasks = [
            spawn_local(accept(Rc::clone(self), listener)).abort_handle(),
            spawn_local(run_batch(Rc::clone(self))).abort_handle(),
            spawn_local(announcer::announce(Rc::clone(self))).abort_handle(),
        ];
        self.tasks.borrow_mut().extend(tasks);
        self.down.set(false);
        Ok(())
    }

    /// Stops all tasks and closes all connections.
    pub fn stop(&self) {
        self.down.set(true);
        self.tasks.borrow_mut().drain(..).for_each(|it| it.abort());
        self.open_connections.borrow_mut().drain(..).for_each(|it| it.task.abort());
    }

    /// Whether the upstream has crashed and not restarted yet.
    pub fn is_down(&self) -> bool {
        self.down.get()
    }

    /// Whether the upstream has crashed and will not restart.
    pub fn is_permanently_down(&self) -> bool {
        self.permanently_down.get()
    }

    /// Emulates a crash: drops all state except the ledger of runs; restarts after `restart`, if given.
    pub fn crash(self: &Rc<Self>, restart: Option<Duration>) {
        tracing::warn!(upstream = %self.settings.id, "emulating a crash");
        self.stop();
        self.streams.clear();
        let settings = &self.settings;
        *self.batch.borrow_mut() =
            Batch::new(settings.slots, settings.decode_rate, settings.prefill_rate);
        *self.cache.borrow_mut() = PrefixCache::new(settings.cache);
        self.running_calls.set(0);
        match restart {
            Some(delay) => drop(spawn_local(restart_after(Rc::clone(self), delay))),
            None => self.permanently_down.set(true),
        }
    }

    /// Activates a fault.
    pub fn inject(self: &Rc<Self>, fault: &Fault) {
        self.faults.borrow_mut().inject(fault, Instant::now());
        match fault {
            Fault::Crash { restart_ms } => self.crash(restart_ms.map(Duration::from_millis)),
            Fault::SilenceOpenConnections => {
                self.open_connections.borrow().iter().for_each(|it| it.unresponsive.set(true));
            }
            Fault::CutOpenConnections => {
                self.open_connections.borrow_mut().drain(..).for_each(|it| it.task.abort());
            }
            _ => {}
        }
    }

    /// Starts to leave: the upstream announces it and finishes the requests that it has.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.leave_started.notify_waiters();
    }

    /// Whether no request is running or waiting.
    pub fn is_idle(&self) -> bool {
        let batch = self.batch.borrow();
        batch.running() + batch.waiting() == 0 && self.running_calls.get() == 0
    }

    /// The current load, with the changes of the cache since the last sample, which was taken
    /// `elapsed` ago.
    pub fn sample_load(&self, elapsed: Duration) -> LoadReport {
        let mut batch = self.batch.borrow_mut();
        let (cached, evicted) = self.cache.borrow_mut().take_changes();
        let generated = batch.take_generated() as f64;
        LoadReport {
            age: Duration::ZERO,
            running: batch.running() as u32 + self.running_calls.get(),
            waiting: batch.waiting() as u32,
            backlog: batch.backlog(),
            speed: if elapsed.is_zero() { 0.0 } else { generated / elapsed.as_secs_f64() },
            cached,
            evicted,
        }
    }

    /// Waits while the upstream is frozen.
    pub async fn wait_while_frozen(&self) {
        loop {
            let until = self.faults.borrow().frozen_until(Instant::now());
            match until {
                Some(until) => sleep_until(until).await,
                None => return,
            }
        }
    }

    /// Factor by which all work takes longer.
    pub fn slowdown(&self) -> f64 {
        self.faults.borrow().slowdown
    }

    /// Records a request and returns the id under which its answer is sent.
    pub fn answer_id(&self, id: &str, fault: AnswerFault) -> SmolStr {
        let mut recent_ids = self.recent_ids.borrow_mut();
        let other = recent_ids.iter().find(|it| it.as_str() != id).cloned();
        recent_ids.insert(0, id.into());
        recent_ids.truncate(2);
        if fault.misdelivered { other.unwrap_or_else(|| "crossed".into()) } else { id.into() }
    }

    fn track_connection(&self, open: OpenConnection) {
        let mut all = self.open_connections.borrow_mut();
        all.retain(|it| !it.task.is_finished());
        all.push(open);
    }
}

fn next_incarnation() -> Incarnation {
    let age = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(age.as_micros() as u64)
}

async fn restart_after(upstream: Rc<Upstream>, delay: Duration) {
    sleep(delay).await;
    upstream.incarnation.set(next_incarnation());
    if let Err(error) = upstream.start().await {
        tracing::error!(upstream = %upstream.settings.id, %error, "failed to restart");
    }
}

async fn accept(upstream: Rc<Upstream>, listener: TcpListener) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let unresponsive = Rc::new(Cell::new(false));
        let task =
            spawn_local(serve_connection(Rc::clone(&upstream), socket, Rc::clone(&unresponsive)));
        upstream.track_connection(OpenConnection { task: task.abort_handle(), unresponsive });
    }
}

async fn serve_connection(upstream: Rc<Upstream>, socket: TcpStream, unresponsive: Rc<Cell<bool>>) {
    let connection = TokioIo::new(Connection::new(socket, unresponsive));
    let service = service_fn(move |request| handle(Rc::clone(&upstream), request));
    if let Err(error) = http1::Builder::new().serve_connection(connection, service).await {
        tracing::debug!(%error, "connection closed with an error");
    }
}

async fn handle(
    upstream: Rc<Upstream>,
    request: hyper::Request<hyper::body::Incoming>,
) -> Result<Answer, ConnectionAborted> {
    upstream.wait_while_frozen().await;
    let id: SmolStr =
        http::header(request.headers(), headers::REQUEST_ID).unwrap_or("local").into();
    match upstream.settings.kind {
        UpstreamKind::Engine { .. } => completions::handle(upstream, id, request).await,
        UpstreamKind::Service { .. } => service::handle(upstream, id, request).await,
    }
}

async fn run_batch(upstream: Rc<Upstream>) {
    let mut last_sweep = Instant::now();
    loop {
        upstream.wait_while_frozen().await;
        let now = Instant::now();
        if now.duration_since(last_sweep) > STREAM_SWEEP_INTERVAL {
            upstream.streams.remove_unread(now);
            last_sweep = now;
        }
        let slowdown = upstream.slowdown();
        let next = upstream.batch.borrow_mut().step(now, slowdown);
        match next {
            Some(next) => sleep_until(next).await,
            None => tokio::select! {
                () = upstream.job_queued.notified() => {}
                () = sleep(STREAM_SWEEP_INTERVAL) => {}
            },
        }
    }
}

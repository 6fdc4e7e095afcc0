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
        http::{self, Answer, LostAnswer},
        ledger::Ledger,
        orders::OrderBook,
        service,
        streams::Streams,
    },
};

const SWEEP: Duration = Duration::from_secs(1);

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
    /// Calls of a plain service that run.
    pub calls: Cell<u32>,
    pub leaving: Cell<bool>,
    /// Wakes the batch after a job was queued.
    pub queued: Notify,
    /// Wakes the announcer when the upstream begins to leave.
    pub left: Notify,
    /// Ids of the last two requests, from which crossed answers take theirs.
    pub recent: RefCell<Vec<SmolStr>>,
    tasks: RefCell<Vec<AbortHandle>>,
    open: RefCell<Vec<Open>>,
    down: Cell<bool>,
    /// Whether it is down for good.
    lost: Cell<bool>,
}

/// A connection that is open.
struct Open {
    task: AbortHandle,
    silent: Rc<Cell<bool>>,
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
            calls: Cell::new(0),
            leaving: Cell::new(false),
            queued: Notify::new(),
            left: Notify::new(),
            recent: RefCell::default(),
            tasks: RefCell::default(),
            open: RefCell::default(),
            down: Cell::new(false),
            lost: Cell::new(false),
            settings,
            keys,
        })
    }

    /// Listens and starts the tasks.
    pub async fn start(self: &Rc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.settings.address).await?;
        let tasks = [
            spawn_local(accept(Rc::clone(self), listener)).abort_handle(),
            spawn_local(generate(Rc::clone(self))).abort_handle(),
            spawn_local(announcer::announce(Rc::clone(self))).abort_handle(),
        ];
        self.tasks.borrow_mut().extend(tasks);
        self.down.set(false);
        Ok(())
    }

    /// Stops all tasks and breaks all connections.
    pub fn stop(&self) {
        self.down.set(true);
        self.tasks.borrow_mut().drain(..).for_each(|it| it.abort());
        self.open.borrow_mut().drain(..).for_each(|it| it.task.abort());
    }

    /// Whether it crashed and has not started again.
    pub fn is_down(&self) -> bool {
        self.down.get()
    }

    /// Whether it crashed and will not start again.
    pub fn is_lost(&self) -> bool {
        self.lost.get()
    }

    /// Loses everything that a crash loses. What ran stays in the ledger.
    pub fn crash(self: &Rc<Self>, restart: Option<Duration>) {
        tracing::warn!(upstream = %self.settings.id, "crashes");
        self.stop();
        self.streams.clear();
        let settings = &self.settings;
        *self.batch.borrow_mut() =
            Batch::new(settings.slots, settings.decode_rate, settings.prefill_rate);
        *self.cache.borrow_mut() = PrefixCache::new(settings.cache);
        self.calls.set(0);
        match restart {
            Some(pause) => drop(spawn_local(restart_after(Rc::clone(self), pause))),
            None => self.lost.set(true),
        }
    }

    /// Puts a fault in force.
    pub fn inject(self: &Rc<Self>, fault: &Fault) {
        self.faults.borrow_mut().inject(fault, Instant::now());
        match fault {
            Fault::Crash { restart_ms } => self.crash(restart_ms.map(Duration::from_millis)),
            Fault::SilenceOpenConnections => {
                self.open.borrow().iter().for_each(|it| it.silent.set(true));
            }
            Fault::CutOpenConnections => {
                self.open.borrow_mut().drain(..).for_each(|it| it.task.abort());
            }
            _ => {}
        }
    }

    /// Begins to leave: it finishes what it has and asks for no more.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.left.notify_waiters();
    }

    /// Whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        let batch = self.batch.borrow();
        batch.running() + batch.waiting() == 0 && self.calls.get() == 0
    }

    /// The load at this moment, with the changes of the cache since the last reading.
    pub fn read_load(&self, since: Duration) -> LoadReport {
        let mut batch = self.batch.borrow_mut();
        let (cached, evicted) = self.cache.borrow_mut().take_changes();
        let generated = batch.take_generated() as f64;
        LoadReport {
            age: Duration::ZERO,
            running: batch.running() as u32 + self.calls.get(),
            waiting: batch.waiting() as u32,
            backlog: batch.backlog(),
            speed: if since.is_zero() { 0.0 } else { generated / since.as_secs_f64() },
            cached,
            evicted,
        }
    }

    /// Waits while the upstream is frozen.
    pub async fn thaw(&self) {
        loop {
            let until = self.faults.borrow().frozen_until(Instant::now());
            match until {
                Some(until) => sleep_until(until).await,
                None => return,
            }
        }
    }

    /// Factor on the time that everything takes.
    pub fn slowdown(&self) -> f64 {
        self.faults.borrow().slowdown
    }

    /// Notes a request and returns the id under which its answer goes out.
    pub fn answer_id(&self, id: &str, fault: AnswerFault) -> SmolStr {
        let mut recent = self.recent.borrow_mut();
        let other = recent.iter().find(|it| it.as_str() != id).cloned();
        recent.insert(0, id.into());
        recent.truncate(2);
        if fault.crossed { other.unwrap_or_else(|| "crossed".into()) } else { id.into() }
    }

    fn note_open(&self, open: Open) {
        let mut all = self.open.borrow_mut();
        all.retain(|it| !it.task.is_finished());
        all.push(open);
    }
}

fn next_incarnation() -> Incarnation {
    let age = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(age.as_micros() as u64)
}

async fn restart_after(upstream: Rc<Upstream>, pause: Duration) {
    sleep(pause).await;
    upstream.incarnation.set(next_incarnation());
    if let Err(error) = upstream.start().await {
        tracing::error!(upstream = %upstream.settings.id, %error, "can't start again");
    }
}

async fn accept(upstream: Rc<Upstream>, listener: TcpListener) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let silent = Rc::new(Cell::new(false));
        let task = spawn_local(serve(Rc::clone(&upstream), socket, Rc::clone(&silent)));
        upstream.note_open(Open { task: task.abort_handle(), silent });
    }
}

async fn serve(upstream: Rc<Upstream>, socket: TcpStream, silent: Rc<Cell<bool>>) {
    let connection = TokioIo::new(Connection::new(socket, silent));
    let service = service_fn(move |request| handle(Rc::clone(&upstream), request));
    if let Err(error) = http1::Builder::new().serve_connection(connection, service).await {
        tracing::debug!(%error, "a connection ended early");
    }
}

async fn handle(
    upstream: Rc<Upstream>,
    request: hyper::Request<hyper::body::Incoming>,
) -> Result<Answer, LostAnswer> {
    upstream.thaw().await;
    let id: SmolStr =
        http::header(request.headers(), headers::REQUEST_ID).unwrap_or("local").into();
    match upstream.settings.kind {
        UpstreamKind::Engine { .. } => completions::handle(upstream, id, request).await,
        UpstreamKind::Service { .. } => service::handle(upstream, id, request).await,
    }
}

async fn generate(upstream: Rc<Upstream>) {
    let mut swept = Instant::now();
    loop {
        upstream.thaw().await;
        let now = Instant::now();
        if now.duration_since(swept) > SWEEP {
            upstream.streams.sweep(now);
            swept = now;
        }
        let slowdown = upstream.slowdown();
        let next = upstream.batch.borrow_mut().step(now, slowdown);
        match next {
            Some(next) => sleep_until(next).await,
            None => tokio::select! {
                () = upstream.queued.notified() => {}
                () = sleep(SWEEP) => {}
            },
        }
    }
}

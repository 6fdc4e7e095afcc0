//! Startup, event loop and shutdown of an entry process.

use std::{rc::Rc, time::Duration};

use medlarlug_core::follower::Storage;
use thiserror::Error;
use tokio::{
    sync::watch,
    task,
    time::{Instant, interval, sleep, timeout},
};

use crate::{
    coordination::{
        clock::incarnation_from_wall_clock,
        daemon::Context,
        entry::{Entry, callers, internal, orders, records},
        keeper::operator_server_limits,
        node::Node,
        operators::{self, OperatorApi},
    },
    settings::EntrySettings,
    state::{DataFolder, SavedConfiguration, StateError},
    transport::{
        http_server::{self, ServerError},
        links::{LinkError, Links},
    },
};

/// Time between two timer ticks of the cores.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Delay before saving a configuration is retried.
const SAVE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time for which a leaving instance still answers before it closes its ports, so that its
/// peers receive the notice that it leaves.
const LEAVING_NOTICE_TIME: Duration = Duration::from_millis(500);

/// Time for requests that are aborted at the drain deadline to send their final error.
const ABORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two checks of the number of in-flight requests during the drain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the answers of requests that have ended to reach their callers.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(5);

/// Errors that keep an entry instance from starting.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The links to other processes could not be set up.
    #[error("failed to set up the links")]
    Link(#[from] LinkError),
    /// The data folder could not be opened, or the configuration in it could not be read.
    #[error("failed to read the saved configuration")]
    State(#[from] StateError),
    /// One of the HTTP servers could not be started.
    #[error("failed to start a server")]
    Server(#[from] ServerError),
}

/// Runs an entry instance until `drain` turns true and its requests have ended.
///
/// # Errors
///
/// Fails when the instance can't be started; see [`EntryError`].
pub async fn run(settings: EntrySettings, context: Context) -> Result<(), EntryError> {
    let drain = context.drain.clone();
    let own = settings.peer().clone();
    let (links, mut incoming) = Links::listen(own.id.clone(), settings.keys.clone(), own.peers)?;
    let (cluster, keys) = (settings.cluster.clone(), settings.keys.clone());
    let folder = settings.data.as_deref().map(|path| DataFolder::open(path, &own.id));
    let folder = folder.transpose()?;
    let saved = folder.as_ref().map(SavedConfiguration::new);
    let storage = match &saved {
        Some(saved) => Storage::Disk(saved.read()?),
        None => Storage::Memory,
    };
    let incarnation = incarnation_from_wall_clock();
    let node = Rc::new(Node::new(own, cluster, keys, incarnation, storage, links));
    let entry = Rc::new(Entry::new(node.clone(), settings));
    if let Some(saved) = saved {
        task::spawn_local(save_configurations(entry.clone(), saved));
    }
    let (close, closed) = watch::channel(false);

    // The first heartbeat announces to the peers that the instance has just started.
    entry.tick();
    let callers = start_servers(&entry, context, &closed).await?;
    records::start(&entry);
    task::spawn_local(orders::run(entry.clone()));
    let mut ticks = interval(TICK_INTERVAL);
    let mut stop = drain.subscribe();
    let mut drained = Box::pin(async {
        let _ = stop.wait_for(|stop| *stop).await;
        drain_requests(&entry).await;
    });
    loop {
        tokio::select! {
            received = incoming.receive() => {
                if let Some((from, message)) = received {
                    entry.receive(node.receive(from, message));
                }
            }
            _ = ticks.tick() => entry.tick(),
            () = &mut drained => break,
        }
    }
    close.send_replace(true);
    // The last answers are still being sent to callers, which may read slowly.
    if timeout(LAST_ANSWERS_TIMEOUT, callers).await.is_err() {
        tracing::warn!("closed connections of callers that did not read their answers in time");
    }
    Ok(())
}

async fn start_servers(
    entry: &Rc<Entry>,
    context: Context,
    closed: &watch::Receiver<bool>,
) -> Result<task::JoinHandle<()>, EntryError> {
    let node = &entry.node;
    let operators = entry.settings.operators.clone();
    let api = OperatorApi::new(node.clone(), operators, context);
    let dump = entry.clone();
    let process = entry.clone();
    let api = api.with_dump(move || dump.dump()).with_details(move || process.details());
    let memory = entry.memory.clone();
    let limits = operator_server_limits(&memory);
    let listener = http_server::listen_within("operators", node.own.operators, &memory).await?;
    let server = operators::serve(api, listener, limits, memory.clone(), closed.clone());
    task::spawn_local(server);

    let listener = http_server::listen_within("internal", node.own.internal, &memory).await?;
    task::spawn_local(internal::serve(entry.clone(), listener, closed.clone()));

    let address = node.own.callers.expect("the settings were checked");
    let listener = http_server::listen_within("callers", address, &memory).await?;
    let callers = task::spawn_local(callers::serve(entry.clone(), listener, closed.clone()));
    tracing::info!(instance = %node.own.id, zone = %node.own.zone, %address, "serving callers");
    Ok(callers)
}

/// Saves every new configuration before it takes effect.
async fn save_configurations(entry: Rc<Entry>, saved: SavedConfiguration) {
    let mut unsaved = entry.node.unsaved_configurations();
    loop {
        let newest = unsaved.borrow_and_update().clone();
        let newest = newest.filter(|it| it.revision > entry.node.follower.borrow().revision());
        if let Some(configuration) = newest {
            let (written, saved) = (configuration.clone(), saved.clone());
            match task::spawn_blocking(move || saved.write(&written)).await {
                Ok(Ok(())) => {
                    entry.node.configuration_saved(configuration);
                    continue;
                }
                Ok(Err(error)) => tracing::error!(%error, "failed to save the configuration"),
                Err(error) => tracing::error!(%error, "failed to save the configuration"),
            }
            sleep(SAVE_RETRY_INTERVAL).await;
        } else if unsaved.changed().await.is_err() {
            return;
        }
    }
}

/// Reports the instance as leaving, waits for in-flight requests, and delivers the last records.
async fn drain_requests(entry: &Entry) {
    let intake = &entry.intake;
    intake.begin_drain(entry.node.now(), entry.settings.drain_timeout);
    entry.handle_notices(&entry.node.report_status(entry.status()));
    sleep(LEAVING_NOTICE_TIME).await;
    while !intake.may_stop(entry.node.now()) {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    tracing::info!(cut = intake.in_flight(), "requests drained");
    intake.abort_requests();
    let end = Instant::now() + ABORT_TIMEOUT;
    while intake.in_flight() > 0 && Instant::now() < end {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    let aborted = intake.stop();
    if aborted > 0 {
        tracing::warn!(cut = aborted, "requests were still unanswered at the end of the drain");
    }
    records::flush(entry).await;
}

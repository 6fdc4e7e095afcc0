//! Checks whether this instance reaches upstreams, see [`medlarlug_core::gateway::connectivity`].

use std::{cell::RefCell, rc::Rc, time::Duration};

use medlarlug::transport::http_client;
use medlarlug_core::{
    gateway::{
        cold::ANNOUNCEMENT_LIFETIME,
        connectivity::{
            CHECK_SIZE, Change, Check, Connectivity, ISOLATED_CHECK_INTERVAL, PeerPaths,
        },
        table::ServiceName,
    },
    ids::{InstanceId, UpstreamId},
};
use rand::{RngExt, seq::IndexedRandom};
use tokio::{
    sync::Notify,
    task::JoinSet,
    time::{sleep, timeout},
};

use super::Entry;
use crate::metrics as names;

/// Timeout for opening a connection in a check: the same as for a call.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a connection has to stay open: an intermediary may accept connections and close
/// them because it does not reach the upstream.
const HOLD_TIME: Duration = Duration::from_millis(50);

/// What this instance knows about the paths to upstreams.
#[derive(Default)]
pub(super) struct PathState {
    connectivity: RefCell<Connectivity>,
    peers: RefCell<PeerPaths>,
    wake: Notify,
}

impl Entry {
    /// Whether this instance reaches no upstream.
    pub(super) fn is_isolated(&self) -> bool {
        self.paths.connectivity.borrow().is_isolated()
    }

    /// Whether half or more of the upstreams of a service that accept requests are out of reach for this
    /// instance. One that could not be reached stays so until it announces itself, since it may have
    /// restarted cold.
    pub(super) fn lacks_path(&self, service: &ServiceName) -> bool {
        if self.is_isolated() {
            return true;
        }
        let now = self.now();
        let upstreams = self.upstreams.borrow();
        let accepting = upstreams.of_service(service).filter(|it| self.accepts_requests(now, it));
        let healths = self.healths.borrow();
        let (unreachable, others): (Vec<_>, Vec<_>) = accepting.partition(|it| {
            let id = &it.upstream.id;
            healths.is_unreachable(now, id)
                || healths.observations(id).last_unreachable >= Some(it.announced_at)
        });
        !unreachable.is_empty() && unreachable.len() >= others.len()
    }

    /// Records that an upstream has answered a request.
    pub(super) fn record_upstream_answer(&self) {
        self.paths.connectivity.borrow_mut().record_answer(self.now());
    }

    /// Starts a check if one is due, after a request to an upstream has failed.
    pub(super) fn suspect_path(&self) {
        if self.paths.connectivity.borrow().needs_check(self.now()) {
            self.check_path();
        }
    }

    /// Starts a check because all connections to an upstream have broken at once.
    pub(super) fn check_path(&self) {
        self.paths.wake.notify_one();
    }

    /// Checks the paths of an isolated instance at once, since an upstream has announced a change.
    pub(super) fn recheck_path(&self) {
        if self.is_isolated() {
            self.check_path();
        }
    }

    /// Records that another instance reaches no upstream of a service.
    pub(super) fn record_missing_path(&self, instance: &InstanceId, service: &ServiceName) {
        self.paths.peers.borrow_mut().record_missing(self.now(), instance, service);
    }

    /// Whether another instance has recently said that it reaches no upstream of a service.
    pub(super) fn is_path_missing(&self, instance: &InstanceId, service: &ServiceName) -> bool {
        self.paths.peers.borrow().is_missing(self.now(), instance, service)
    }

    /// Whether a connection opens to an upstream of the region other than this one, or there is no other.
    pub(super) async fn reaches_another(&self, upstream: &UpstreamId) -> bool {
        if self.is_isolated() {
            return false;
        }
        let check = self.check_paths(CHECK_SIZE, Some(upstream)).await;
        check.reached > 0 || check.failed == 0
    }

    /// Opens connections to up to `size` random upstreams of the region that announce themselves.
    async fn check_paths(&self, size: usize, except: Option<&UpstreamId>) -> Check {
        let began = self.now();
        let targets: Vec<_> = {
            let upstreams = self.upstreams.borrow();
            let fresh = upstreams.all().iter().filter(|known| {
                self.accepts_requests(began, known)
                    && began - known.announced_at <= ANNOUNCEMENT_LIFETIME
                    && Some(&known.upstream.id) != except
            });
            fresh.map(|known| (known.upstream.id.clone(), known.upstream.address)).collect()
        };
        let mut connections = JoinSet::new();
        for (id, address) in targets.sample(&mut rand::rng(), size).cloned() {
            connections.spawn_local(async move {
                (id, http_client::holds_connection(address, CONNECT_TIMEOUT, HOLD_TIME).await)
            });
        }
        let opened = connections.join_all().await;
        metrics::counter!(names::PATH_CHECKS).increment(opened.len() as u64);
        let failed = opened.iter().filter(|(_, is_open)| !is_open);
        let failed: Vec<&UpstreamId> = failed.map(|(id, _)| id).collect();
        // Seen from here, an upstream out of reach may as well have crashed.
        failed.iter().for_each(|id| self.healths.borrow_mut().record_crash(began, id));
        Check { began, reached: opened.len() - failed.len(), failed: failed.len() }
    }

    fn record_check(&self, check: Check) {
        let change = self.paths.connectivity.borrow_mut().record_check(self.now(), check);
        let Check { reached, failed, .. } = check;
        match change {
            Some(Change::Isolated { since_answer }) => {
                metrics::counter!(names::ISOLATIONS).increment(1);
                let since_answer_ms = since_answer.map(|it| it.as_millis() as u64);
                tracing::warn!(failed, since_answer_ms, "instance reaches no upstream");
                self.close_upstream_connections();
            }
            Some(Change::Connected { isolated_for }) => {
                let isolated_ms = isolated_for.as_millis() as u64;
                tracing::info!(reached, failed, isolated_ms, "instance reaches upstreams again");
            }
            None => {}
        }
        metrics::gauge!(names::ISOLATED).set(f64::from(u8::from(self.is_isolated())));
    }

    /// Closes the idle connections to upstreams, which may no longer deliver anything after a partition.
    /// Without them a crash does not show, so the upstreams count as cold until their next announcement.
    fn close_upstream_connections(&self) {
        let (now, upstreams) = (self.now(), self.upstreams.borrow());
        for known in upstreams.all() {
            self.client.close_idle(known.upstream.address);
            self.healths.borrow_mut().record_unwatched(now, &known.upstream.id);
        }
    }
}

/// Runs the checks that are due, for as long as the process runs.
pub(super) async fn run(entry: Rc<Entry>) {
    loop {
        let wake = entry.paths.wake.notified();
        if entry.is_isolated() {
            let pause = ISOLATED_CHECK_INTERVAL.mul_f64(rand::rng().random_range(0.75..1.25));
            // A time-out is no error: the next check is due then.
            drop(timeout(pause, wake).await);
            let check = entry.check_paths(1, None).await;
            entry.record_check(check);
        } else {
            wake.await;
            let check = entry.check_paths(CHECK_SIZE, None).await;
            entry.record_check(check);
            // Bounds the rate of checks while calls go on failing.
            sleep(ISOLATED_CHECK_INTERVAL).await;
        }
    }
}

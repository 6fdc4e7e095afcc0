//! Charges the calls of teams with a quota; [`medlarlug_core::gateway::quota`] decides.
//!
//! A call is charged at the instance that its caller called, before its first attempt. Messages travel
//! as datagrams, also to instances of other regions. Nothing is sent, and nothing is kept, while no team
//! of the table has a quota.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use medlarlug_core::{
    gateway::{
        quota::{Budget, ClaimId, Decision, QuotaMessage, QuotaView, Quotas, Tolerance},
        table::TableVersion,
        teams::{Team, TeamName},
    },
    ids::{InstanceId, RegionId},
    time::Time,
};
use thiserror::Error;
use tokio::{
    net::UdpSocket,
    sync::{Notify, oneshot},
    time::timeout,
};

use super::Entry;
use crate::{keeper_links::LinkOwner, load_exchange, metrics as names, settings::QuotaBounds};

/// Why the cost of a call can't be charged. The call has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum QuotaRefusal {
    /// The team has used up its quota.
    #[error("the quota of the team is used up")]
    Exceeded {
        /// Time until the tokens are expected to be available.
        retry_after: Duration,
    },
    /// No instance answers that keeps the tokens of the team.
    #[error("no instance that keeps the tokens of the team answers")]
    Unavailable {
        /// Time after which the call may be repeated.
        retry_after: Duration,
    },
}

/// What the budgets were computed from.
type Source = (TableVersion, QuotaBounds, usize);

/// The quotas at this instance, and the calls that wait for tokens.
pub(super) struct QuotaState {
    quotas: RefCell<Quotas>,
    source: Cell<Option<Source>>,
    waiting: RefCell<Vec<(ClaimId, oneshot::Sender<Decision>)>>,
    wake: Notify,
    /// Number of pools that were kept when it was last logged.
    pools: Cell<usize>,
}

impl QuotaState {
    /// The state of an instance that has just started.
    pub(super) fn new(own: InstanceId) -> QuotaState {
        QuotaState {
            quotas: RefCell::new(Quotas::new(own, rand::random())),
            source: Cell::default(),
            waiting: RefCell::default(),
            wake: Notify::new(),
            pools: Cell::default(),
        }
    }
}

/// The cost of a call, taken from the quota of its team. It is refunded on drop.
pub(super) struct Charge {
    entry: Rc<Entry>,
    team: TeamName,
    cost: u64,
    charged: Time,
    is_settled: bool,
}

impl Charge {
    /// Keeps the cost, because the call may run from now on.
    pub(super) fn settle(mut self) -> SettledCharge {
        self.is_settled = true;
        SettledCharge(self)
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.is_settled {
            metrics::counter!(names::QUOTA_CALLS, "outcome" => "refunded").increment(1);
            let now = self.entry.now();
            let mut quotas = self.entry.quota.quotas.borrow_mut();
            quotas.refund(now, &self.team, self.cost, self.charged);
        }
    }
}

/// The cost of a call that may have run. It is kept on drop: a caller that disconnects does not get it
/// back, because the call may go on at its upstream.
pub(super) struct SettledCharge(Charge);

impl SettledCharge {
    /// Refunds the cost of a call that is certain not to have run.
    pub(super) fn refund(mut self) {
        self.0.is_settled = false;
    }
}

impl Entry {
    /// Charges a call to the quota of its team; `tokens` are those that it states. `None` if the team
    /// has no quota.
    ///
    /// # Errors
    ///
    /// The tokens are not available.
    pub(super) async fn charge(
        self: &Rc<Entry>,
        team: &Team,
        tokens: Option<u64>,
    ) -> Result<Option<Charge>, QuotaRefusal> {
        let Some(quota) = &team.quota else { return Ok(None) };
        let cost = quota.cost(tokens);
        let decided = {
            let mut quotas = self.quota.quotas.borrow_mut();
            if cost == 0 || !quotas.is_limited(&team.name) {
                return Ok(None);
            }
            let (sender, decided) = oneshot::channel();
            let id = quotas.claim(self.now(), &team.name, cost);
            self.quota.waiting.borrow_mut().push((id, sender));
            decided
        };
        self.quota.wake.notify_one();
        let decision =
            decided.await.unwrap_or(Decision::Unavailable { retry_after: Duration::ZERO });
        let (outcome, result) = match decision {
            Decision::Charged => {
                let (entry, team, charged) = (self.clone(), team.name.clone(), self.now());
                let charge = Charge { entry, team, cost, charged, is_settled: false };
                ("charged", Ok(Some(charge)))
            }
            Decision::Exceeded { retry_after } => {
                ("exceeded", Err(QuotaRefusal::Exceeded { retry_after }))
            }
            Decision::Unavailable { retry_after } => {
                ("unavailable", Err(QuotaRefusal::Unavailable { retry_after }))
            }
        };
        metrics::counter!(names::QUOTA_CALLS, "outcome" => outcome).increment(1);
        result
    }

    /// Applies the quotas of the table and the live instances.
    pub(super) fn review_quotas(&self) {
        let Some(table) = self.table.borrow().clone() else { return };
        let now = self.now();
        let (bounds, regions) = {
            let settings = self.settings.borrow();
            let mut regions: Vec<&RegionId> = settings.zones.iter().map(|it| &it.1).collect();
            regions.sort();
            regions.dedup();
            (settings.quotas, regions.len())
        };
        let source = (table.version(), bounds, regions);
        let mut quotas = self.quota.quotas.borrow_mut();
        if self.quota.source.replace(Some(source)) != Some(source) {
            let QuotaBounds { window, overage, slack } = bounds;
            let tolerance = Tolerance { window, overage, slack };
            let limited = table.teams().into_iter().flat_map(|it| it.teams()).filter_map(|team| {
                let budget = Budget::new(team.quota.as_ref()?, tolerance, regions)?;
                Some((team.name.clone(), budget))
            });
            quotas.set_budgets(now, limited.collect());
        }
        if !quotas.is_empty() {
            quotas.set_view(now, self.quota_view(now));
        }
        let pools = quotas.pools();
        if self.quota.pools.replace(pools) != pools {
            metrics::gauge!(names::QUOTA_POOLS).set(pools as f64);
            tracing::info!(pools, table = table.version().0, "pools of teams changed");
        }
    }

    /// The entry instances that are live and accept callers. Instances that leave don't keep pools.
    fn quota_view(&self, now: Time) -> QuotaView {
        let own = self.info();
        let contacts = self.contacts.borrow();
        let ready = contacts.live_entries(now).filter(|it| it.status.ready).map(|it| &it.info);
        let others = ready.filter(|it| it.id != own.id);
        let mut all: Vec<(&RegionId, &InstanceId)> =
            others.map(|it| (&it.region, &it.id)).collect();
        if self.is_ready() {
            all.push((&own.region, &own.id));
        }
        all.sort();
        let mut view = QuotaView {
            peak_entries: self.view.borrow().was_complete().then(|| contacts.peak_entries().max(1)),
            ..QuotaView::default()
        };
        for region in all.chunk_by(|a, b| a.0 == b.0) {
            let ids = region.iter().map(|it| it.1.clone()).collect();
            match *region[0].0 == own.region {
                true => view.own_region = ids,
                false => view.other_regions.push(ids),
            }
        }
        view
    }

    /// Handles a message about quotas from the instance at an address.
    pub(crate) fn on_quota_message(&self, from: SocketAddr, message: QuotaMessage) {
        let contacts = self.contacts.borrow();
        let Some(sender) = contacts.all().iter().find(|it| it.info.internal == from) else {
            return tracing::debug!(%from, "quota message of an unknown instance ignored");
        };
        let now = self.now();
        self.quota.quotas.borrow_mut().receive(now, &sender.info.id, message);
        self.quota.wake.notify_one();
    }

    /// Sends due messages and ends calls that wait no longer. Returns when the next round is due.
    fn quota_round(&self, socket: &UdpSocket) -> Option<Time> {
        let now = self.now();
        let (outbox, next) = {
            let mut quotas = self.quota.quotas.borrow_mut();
            (quotas.poll(now), quotas.next_due())
        };
        let mut waiting = self.quota.waiting.borrow_mut();
        for (id, decision) in outbox.decisions {
            if let Some(at) = waiting.iter().position(|it| it.0 == id) {
                // The caller may have disconnected. The tokens are lost then.
                let _ = waiting.swap_remove(at).1.send(decision);
            }
        }
        let contacts = self.contacts.borrow();
        for (to, message) in outbox.messages {
            if let Some(contact) = contacts.get(&to) {
                metrics::counter!(names::QUOTA_MESSAGES).increment(1);
                load_exchange::send_quota_message(socket, message, contact.info.internal);
            }
        }
        next
    }
}

/// Runs rounds for as long as the process runs.
pub(super) async fn run(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    loop {
        let next = entry.quota_round(&socket);
        let wake = entry.quota.wake.notified();
        match next {
            // A time-out is no error: the next round is due then.
            Some(at) => drop(timeout(at - entry.now(), wake).await),
            None => wake.await,
        }
    }
}

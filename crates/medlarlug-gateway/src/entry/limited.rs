//! Upstreams that name a limit on the rate of requests from all entry instances together.
//!
//! An instance that receives a limit sends it to all instances of the region, and each request to
//! such an upstream uses a permit; see [`medlarlug_core::gateway::permits`]. Permit requests,
//! grants and limits travel as datagrams. A lost permit request or grant is made up for by the next
//! request, a lost limit by the next answer of the upstream.

use std::{
    cell::{Cell, OnceCell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use hyper::{HeaderMap, header::HeaderName};
use medlarlug_core::{
    gateway::{
        brittle::BrittleNotice,
        cold,
        permits::{PermitAllocator, PermitGrant, PermitRate, PermitRequest, Permits},
        upstream_limits::{LimitError, LimitHeader, UpstreamLimit, UpstreamLimits},
        upstreams::{Birth, KnownUpstream},
    },
    ids::{InstanceId, UpstreamId},
    time::Time,
};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, sync::Notify, time::timeout};

use super::{Entry, call::Call, plan::Plan};
use crate::{load_exchange, metrics as names};

/// Time between two rounds of the allocator while instances wait for permits: the time that a
/// datagram takes between availability zones.
const ALLOCATION_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time for which a call waits for a permit: a request, its grant, and one lost datagram.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(250);

/// Time between two checks whether a call has got a permit: the time that a datagram takes between
/// availability zones.
pub(super) const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A message between entry instances of a region about the rate limits that upstreams name.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum LimitMessage {
    /// An upstream has named a limit, or has stopped naming one.
    Limit { upstream: UpstreamId, birth: Birth, limit: Option<UpstreamLimit> },
    /// Requests permits from the allocator for calls that wait at `from`.
    Ask { from: InstanceId, upstream: UpstreamId, birth: Birth, limit: UpstreamLimit, calls: u32 },
    /// Permits that the allocator grants the receiver.
    Grant { upstream: UpstreamId, birth: Birth, permits: u32 },
    /// An upstream is brittle, or is no longer. Earlier builds can't decode it and drop it.
    Brittle(BrittleNotice),
}

/// An upstream with a rate limit that a call could be sent to.
#[derive(Debug, Clone)]
pub(super) struct LimitedUpstream {
    id: UpstreamId,
    birth: Birth,
    limit: UpstreamLimit,
}

/// The limits that this instance knows, its permits, and the requests that it has received as
/// allocator.
#[derive(Default)]
pub(super) struct LimitState {
    limits: RefCell<UpstreamLimits>,
    permits: RefCell<Permits>,
    allocator: RefCell<PermitAllocator>,
    /// Changed limits and brittle upstreams that are still to be sent to the other instances.
    updates: RefCell<Vec<LimitMessage>>,
    wake: Notify,
    /// Number of calls that wait for a permit.
    waiting_calls: Cell<usize>,
}

/// Counts a call that waits for a permit, until it is dropped.
pub(super) struct PermitWait {
    entry: Rc<Entry>,
    began: Time,
}

impl PermitWait {
    /// Starts to wait for a permit of one of these upstreams. Returns `None` if the calls that wait
    /// already use up all permits that this instance can expect within [`MAX_PERMIT_WAIT`].
    pub(super) fn begin(entry: &Rc<Entry>, limited: &[LimitedUpstream]) -> Option<PermitWait> {
        let interval = entry.permit_interval(limited)?;
        let served = MAX_PERMIT_WAIT.as_secs_f64() / interval.as_secs_f64();
        let waiting_calls = entry.limited.waiting_calls.get();
        if waiting_calls as f64 >= served.max(1.0) {
            return None;
        }
        entry.limited.waiting_calls.set(waiting_calls + 1);
        Some(PermitWait { entry: entry.clone(), began: entry.now() })
    }

    /// Whether [`MAX_PERMIT_WAIT`] has passed.
    pub(super) fn is_over(&self) -> bool {
        self.entry.now() - self.began >= MAX_PERMIT_WAIT
    }
}

impl Drop for PermitWait {
    fn drop(&mut self) {
        let waiting_calls = &self.entry.limited.waiting_calls;
        waiting_calls.set(waiting_calls.get() - 1);
    }
}

/// Parses the limit in the head of an answer.
fn parse_limit(headers: &HeaderMap, name: &HeaderName) -> LimitHeader {
    let Some(value) = headers.get(name) else { return LimitHeader::Absent };
    let limit: Result<UpstreamLimit, LimitError> = value.to_str().unwrap_or_default().parse();
    match limit {
        Ok(limit) => LimitHeader::Limit(limit),
        Err(error) => {
            tracing::warn!(?value, %error, "invalid rate limit in an answer; keeping the previous one, or else the lowest");
            LimitHeader::Invalid
        }
    }
}

impl Entry {
    /// Records what the head of an answer says about the limit of its upstream; the request was
    /// sent at `sent`.
    pub(super) fn record_limit(
        &self,
        call: &Call,
        sent: Time,
        id: &UpstreamId,
        birth: Birth,
        headers: &HeaderMap,
    ) {
        let header = parse_limit(headers, &self.names.limit);
        // Only an answer of the upstream itself can end a limit, not one of an intermediary.
        if header == LimitHeader::Absent && !headers.contains_key(&self.names.signature) {
            return;
        }
        let mut limits = self.limited.limits.borrow_mut();
        if !limits.record_answer(self.now(), sent, id, birth, header) {
            return;
        }
        let limit = limits.get(id, birth);
        match limit {
            Some(limit) => {
                metrics::counter!(names::NAMED_LIMITS).increment(1);
                tracing::info!(request = %call.id, upstream = %id, birth = birth.0, %limit, "upstream names a limit");
            }
            None => {
                tracing::info!(request = %call.id, upstream = %id, birth = birth.0, "upstream no longer names a limit");
            }
        }
        self.send_to_region(LimitMessage::Limit { upstream: id.clone(), birth, limit });
    }

    /// Sends a message to all other instances of the region in the next round.
    pub(super) fn send_to_region(&self, message: LimitMessage) {
        self.limited.updates.borrow_mut().push(message);
        self.limited.wake.notify_one();
    }

    /// Whether the upstream has no limit, or a permit for it is available now.
    pub(super) fn is_permitted(&self, now: Time, known: &KnownUpstream) -> bool {
        let (id, birth) = (&known.upstream.id, known.upstream.birth);
        self.limited.limits.borrow().get(id, birth).is_none()
            || self.limited.permits.borrow().has(now, id, birth)
    }

    /// The limit that an incarnation has named, in requests per second.
    pub(super) fn named_limit(&self, id: &UpstreamId, birth: Birth) -> Option<f64> {
        self.limited.limits.borrow().get(id, birth).map(UpstreamLimit::per_second)
    }

    /// Uses a permit for a request to an upstream with a limit. Returns the limit; `None` if there
    /// is none.
    pub(super) fn use_permit(&self, id: &UpstreamId, birth: Birth) -> Option<UpstreamLimit> {
        let limit = self.limited.limits.borrow().get(id, birth)?;
        self.limited.permits.borrow_mut().take(self.now(), id, birth);
        Some(limit)
    }

    /// Requests permits for the upstreams of `limited` for which none is available. Returns whether
    /// there are any.
    pub(super) fn request_permits(&self, limited: &[LimitedUpstream], is_first: bool) -> bool {
        let now = self.now();
        let mut permits = self.limited.permits.borrow_mut();
        let mut has_requested = false;
        for LimitedUpstream { id, birth, .. } in limited {
            if !permits.has(now, id, *birth) {
                permits.record_demand(id, *birth, is_first);
                has_requested = true;
            }
        }
        if has_requested {
            self.limited.wake.notify_one();
        }
        has_requested
    }

    /// Mean time between two permits that this instance can expect for these upstreams; `None`
    /// without any.
    pub(super) fn permit_interval(&self, limited: &[LimitedUpstream]) -> Option<Duration> {
        let rate: f64 =
            limited.iter().map(|it| PermitRate::for_allocator(it.limit).per_second()).sum();
        let instances = self.exchange.instances() as f64;
        (!limited.is_empty()).then(|| Duration::from_secs_f64(instances / rate))
    }

    /// The upstreams of the own region that the call could be sent to if a permit were available.
    pub(super) fn limited_upstreams(&self, plan: &Plan) -> Vec<LimitedUpstream> {
        let limits = self.limited.limits.borrow();
        if limits.is_empty()
            || self.is_isolated()
            || !plan.route.may_be_served_in(&self.settings.borrow().info.region)
        {
            return Vec::new();
        }
        let Some(spec) = plan.table.service(&plan.service) else { return Vec::new() };
        let (now, entries) = (self.now(), OnceCell::new());
        let upstreams = self.upstreams.borrow();
        let open = upstreams.of_service(&plan.service).filter(|known| {
            plan.may_use(&known.upstream)
                && self.is_usable_with_permit(now, known, spec.cold_rate, &entries)
        });
        let limited = open.map(|known| &known.upstream).filter_map(|upstream| {
            let (id, birth) = (upstream.id.clone(), upstream.birth);
            let limit = limits.get(&id, birth)?;
            Some(LimitedUpstream { id, birth, limit })
        });
        limited.collect()
    }

    /// Drops the limit of an upstream that has been removed.
    pub(super) fn forget_limit(&self, id: &UpstreamId) {
        self.limited.limits.borrow_mut().remove(id);
    }

    /// Handles a message about limits from another instance.
    pub(crate) fn on_limit_message(&self, from: SocketAddr, message: LimitMessage) {
        let now = self.now();
        match message {
            LimitMessage::Limit { upstream, birth, limit } => {
                tracing::info!(%upstream, birth = birth.0, limit = limit.map(tracing::field::display), %from, "received the limit of an upstream");
                self.limited.limits.borrow_mut().apply_update(now, &upstream, birth, limit);
            }
            LimitMessage::Ask { from, upstream, birth, limit, calls } => {
                if !self.allocates(now, &upstream) {
                    tracing::debug!(%upstream, %from, "permit request ignored; this instance is not the allocator");
                    return;
                }
                let own = self.limited.limits.borrow().get(&upstream, birth);
                let limit = own.map_or(limit, |own| if own < limit { own } else { limit });
                let permit_request = PermitRequest { from, upstream, birth, calls };
                self.limited.allocator.borrow_mut().request(
                    now,
                    permit_request,
                    PermitRate::for_allocator(limit),
                    0.0,
                );
                self.limited.wake.notify_one();
            }
            LimitMessage::Grant { upstream, birth, permits } => {
                self.limited.permits.borrow_mut().add_granted(now, &upstream, birth, permits);
            }
            LimitMessage::Brittle(notice) => self.on_brittle_notice(&notice),
        }
    }

    /// Whether this instance grants the permits for an upstream.
    fn allocates(&self, now: Time, upstream: &UpstreamId) -> bool {
        let entries = self.region_entries();
        self.view.borrow().is_settled(now)
            && cold::designated_sender(upstream, &entries) == Some(&self.id())
    }

    /// Requests the permits that calls wait for: at this instance's own allocator, or by the
    /// returned messages at the allotters of other instances. Also returns whether permits are
    /// still wanted.
    fn ask_for_permits(&self, now: Time) -> (Vec<(InstanceId, LimitMessage)>, bool) {
        let (permit_requests, has_more) =
            self.limited.permits.borrow_mut().due_requests(now, &self.id());
        if permit_requests.is_empty() {
            return (Vec::new(), has_more);
        }
        let entries = self.region_entries();
        let is_settled = self.view.borrow().is_settled(now);
        let mut messages = Vec::new();
        for permit_request in permit_requests {
            let Some(limit) =
                self.limited.limits.borrow().get(&permit_request.upstream, permit_request.birth)
            else {
                continue;
            };
            let allocator =
                cold::designated_sender(&permit_request.upstream, &entries).filter(|_| is_settled);
            match allocator {
                Some(other) if *other != permit_request.from => {
                    let PermitRequest { from, upstream, birth, calls } = permit_request;
                    let message = LimitMessage::Ask { from, upstream, birth, limit, calls };
                    messages.push((other.clone(), message));
                }
                Some(_) => {
                    let rate = PermitRate::for_allocator(limit);
                    self.limited.allocator.borrow_mut().request(now, permit_request, rate, 0.0);
                }
                None => {
                    let rate =
                        PermitRate::for_isolated(limit, self.contacts.borrow().peak_entries());
                    let saved = rand::rng().random();
                    self.limited.allocator.borrow_mut().request(now, permit_request, rate, saved);
                }
            }
        }
        (messages, has_more)
    }

    /// Runs one round. Returns the messages to send with their receivers, and whether another round
    /// is due.
    fn allocation_round(&self) -> (Vec<(SocketAddr, LimitMessage)>, bool) {
        let now = self.now();
        let (mut messages, has_more) = self.ask_for_permits(now);
        let own = self.id();
        for grant in self.limited.allocator.borrow_mut().grant(now) {
            let PermitGrant { to, upstream, birth, permits } = grant;
            tracing::debug!(%upstream, instance = %to, permits, "permits granted");
            if to == own {
                self.limited.permits.borrow_mut().add_granted(now, &upstream, birth, permits);
            } else {
                messages.push((to, LimitMessage::Grant { upstream, birth, permits }));
            }
        }
        let updates = std::mem::take(&mut *self.limited.updates.borrow_mut());
        let has_more = has_more || self.limited.allocator.borrow().has_waiters();
        if messages.is_empty() && updates.is_empty() {
            return (Vec::new(), has_more);
        }
        let (_, members) = self.region_members();
        let address = |id: &InstanceId| members.iter().find(|it| it.0.id == *id).map(|it| it.1);
        let addressed =
            messages.into_iter().filter_map(|(to, message)| Some((address(&to)?, message)));
        let others = members.iter().filter(|it| it.0.id != own);
        let updates_to_peers =
            others.flat_map(|it| updates.iter().map(|message| (it.1, message.clone())));
        (addressed.chain(updates_to_peers).collect(), has_more)
    }
}

/// Runs rounds and sends their messages for as long as the process runs.
pub(super) async fn run(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    loop {
        let (messages, has_more) = entry.allocation_round();
        messages
            .into_iter()
            .for_each(|(to, message)| load_exchange::send_limit(&socket, message, to));
        let wake = entry.limited.wake.notified();
        match has_more {
            // A time-out is no error: the next round is due then.
            true => drop(timeout(ALLOCATION_INTERVAL, wake).await),
            false => wake.await,
        }
    }
}

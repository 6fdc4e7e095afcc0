//! Upstreams that name a limit on the requests of all entry instances together.
//!
//! What an instance hears of a limit goes to all instances of the region, and each request to such an
//! upstream uses a permit; see [`medlarlug_core::gateway::permits`]. Questions, permits and news travel
//! as datagrams: a lost one is asked again, or made up for by the next answer.

use std::{
    cell::{Cell, OnceCell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use hyper::{HeaderMap, header::HeaderName};
use medlarlug_core::{
    gateway::{
        cold,
        permits::{Allotter, Grant, Pace, Permits, Want},
        upstream_limits::{LimitError, NamedLimit, NamedLimits, Said},
        upstreams::{Birth, Known},
    },
    ids::{InstanceId, UpstreamId},
    time::Time,
};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, sync::Notify, time::timeout};

use super::{Entry, call::Call, plan::Plan};
use crate::{load_exchange, metrics as names};

/// Time between two rounds of the allotter while instances wait for permits: the way of a datagram between
/// availability zones.
const ROUND: Duration = Duration::from_millis(10);
/// Longest time for which a call waits for a permit: a question, its answer, and a lost datagram.
const PERMIT_WAIT: Duration = Duration::from_millis(250);

/// Pause between two looks at whether a call has got a permit: the way of a datagram between availability
/// zones.
pub(super) const PERMIT_PAUSE: Duration = Duration::from_millis(5);

/// A message between entry instances of a region about limits that upstreams name.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum LimitMessage {
    /// An upstream has named a limit, or names none any more.
    Limit { upstream: UpstreamId, birth: Birth, limit: Option<NamedLimit> },
    /// An instance has calls for an upstream with a limit.
    Ask { from: InstanceId, upstream: UpstreamId, birth: Birth, limit: NamedLimit, calls: u32 },
    /// The answer of the allotter.
    Grant { upstream: UpstreamId, birth: Birth, permits: u32 },
}

/// An upstream with a limit to which a call could go.
#[derive(Debug, Clone)]
pub(super) struct LimitedUpstream {
    id: UpstreamId,
    birth: Birth,
    limit: NamedLimit,
}

/// What an instance knows of such limits.
#[derive(Default)]
pub(super) struct Limited {
    limits: RefCell<NamedLimits>,
    permits: RefCell<Permits>,
    allotter: RefCell<Allotter>,
    /// News that are to be sent.
    news: RefCell<Vec<LimitMessage>>,
    noted: Notify,
    /// Calls that wait for a permit.
    waiting: Cell<usize>,
}

/// Counts a call that waits for a permit, for as long as it does.
pub(super) struct PermitWait {
    entry: Rc<Entry>,
    began: Time,
}

impl PermitWait {
    /// A call begins to wait for a permit of one of these upstreams; `None` if those that wait already take all
    /// that this instance can expect in time.
    pub(super) fn begin(entry: &Rc<Entry>, limited: &[LimitedUpstream]) -> Option<PermitWait> {
        let interval = entry.permit_interval(limited)?;
        let served = PERMIT_WAIT.as_secs_f64() / interval.as_secs_f64();
        let waiting = entry.limited.waiting.get();
        if waiting as f64 >= served.max(1.0) {
            return None;
        }
        entry.limited.waiting.set(waiting + 1);
        Some(PermitWait { entry: entry.clone(), began: entry.now() })
    }

    /// Whether it has waited for long enough.
    pub(super) fn is_over(&self) -> bool {
        self.entry.now() - self.began >= PERMIT_WAIT
    }
}

impl Drop for PermitWait {
    fn drop(&mut self) {
        let waiting = &self.entry.limited.waiting;
        waiting.set(waiting.get() - 1);
    }
}

/// What the head of an answer says about a limit.
fn read(headers: &HeaderMap, name: &HeaderName) -> Said {
    let Some(value) = headers.get(name) else { return Said::None };
    let limit: Result<NamedLimit, LimitError> = value.to_str().unwrap_or_default().parse();
    match limit {
        Ok(limit) => Said::Limit(limit),
        Err(error) => {
            tracing::warn!(?value, %error, "limit can't be read, the upstream keeps the one before or the lowest");
            Said::Unreadable
        }
    }
}

impl Entry {
    /// Takes in what the head of an answer says about the limit of its upstream; the request went out at
    /// `sent`.
    pub(super) fn hear_limit(
        &self,
        call: &Call,
        sent: Time,
        id: &UpstreamId,
        birth: Birth,
        headers: &HeaderMap,
    ) {
        let said = read(headers, &self.names.limit);
        // What ends a limit has to come from the upstream itself.
        if said == Said::None && !headers.contains_key(&self.names.signature) {
            return;
        }
        let mut limits = self.limited.limits.borrow_mut();
        if !limits.answered(self.now(), sent, id, birth, said) {
            return;
        }
        let limit = limits.of(id, birth);
        match limit {
            Some(limit) => {
                metrics::counter!(names::NAMED_LIMITS).increment(1);
                tracing::info!(request = %call.id, upstream = %id, birth = birth.0, %limit, "upstream names a limit");
            }
            None => {
                tracing::info!(request = %call.id, upstream = %id, birth = birth.0, "limit of an upstream has ended");
            }
        }
        let news = LimitMessage::Limit { upstream: id.clone(), birth, limit };
        self.limited.news.borrow_mut().push(news);
        self.limited.noted.notify_one();
    }

    /// Whether the limit of an upstream, if it has one, leaves room for a request now.
    pub(super) fn is_permitted(&self, now: Time, known: &Known) -> bool {
        let (id, birth) = (&known.upstream.id, known.upstream.birth);
        self.limited.limits.borrow().of(id, birth).is_none()
            || self.limited.permits.borrow().has(now, id, birth)
    }

    /// Uses a permit for a request that goes out to an upstream with a limit. Returns the limit.
    pub(super) fn use_permit(&self, id: &UpstreamId, birth: Birth) -> Option<NamedLimit> {
        let limit = self.limited.limits.borrow().of(id, birth)?;
        self.limited.permits.borrow_mut().take(self.now(), id, birth);
        Some(limit)
    }

    /// Asks for permits for upstreams with a limit that have none here. Returns whether there are such.
    pub(super) fn want_permits(&self, limited: &[LimitedUpstream], is_first: bool) -> bool {
        let now = self.now();
        let mut permits = self.limited.permits.borrow_mut();
        let mut is_asked = false;
        for LimitedUpstream { id, birth, .. } in limited {
            if !permits.has(now, id, *birth) {
                permits.want(id, *birth, is_first);
                is_asked = true;
            }
        }
        if is_asked {
            self.limited.noted.notify_one();
        }
        is_asked
    }

    /// Time between two permits that this instance can expect for upstreams with a limit.
    pub(super) fn permit_interval(&self, limited: &[LimitedUpstream]) -> Option<Duration> {
        let pace: f64 = limited.iter().map(|it| Pace::whole(it.limit).per_second()).sum();
        let instances = self.exchange.instances() as f64;
        (!limited.is_empty()).then(|| Duration::from_secs_f64(instances / pace))
    }

    /// The upstreams here to which a call could go if it had a permit.
    pub(super) fn limited_upstreams(&self, plan: &Plan) -> Vec<LimitedUpstream> {
        let limits = self.limited.limits.borrow();
        if limits.is_empty() || !plan.route.may_be_served_in(&self.settings.borrow().card.region) {
            return Vec::new();
        }
        let Some(spec) = plan.table.service(&plan.service) else { return Vec::new() };
        let (now, entries) = (self.now(), OnceCell::new());
        let upstreams = self.upstreams.borrow();
        let open = upstreams.of(&plan.service).filter(|known| {
            !plan.tried.upstreams.contains(&known.upstream.id)
                && self.is_open(now, known, spec.cold_rate, &entries)
        });
        let limited = open.map(|known| &known.upstream).filter_map(|upstream| {
            let (id, birth) = (upstream.id.clone(), upstream.birth);
            let limit = limits.of(&id, birth)?;
            Some(LimitedUpstream { id, birth, limit })
        });
        limited.collect()
    }

    /// Forgets the limit of an upstream that is gone.
    pub(super) fn forget_limit(&self, id: &UpstreamId) {
        self.limited.limits.borrow_mut().remove(id);
    }

    /// Takes a message of another instance in.
    pub(crate) fn hear_limit_message(&self, from: SocketAddr, message: LimitMessage) {
        let now = self.now();
        match message {
            LimitMessage::Limit { upstream, birth, limit } => {
                tracing::info!(%upstream, birth = birth.0, limit = limit.map(tracing::field::display), %from, "told of the limit of an upstream");
                self.limited.limits.borrow_mut().told(now, &upstream, birth, limit);
            }
            LimitMessage::Ask { from, upstream, birth, limit, calls } => {
                if !self.allots(now, &upstream) {
                    tracing::debug!(%upstream, %from, "asked for permits, and not the allotter");
                    return;
                }
                let own = self.limited.limits.borrow().of(&upstream, birth);
                let limit = own.map_or(limit, |own| if own < limit { own } else { limit });
                let want = Want { from, upstream, birth, calls };
                self.limited.allotter.borrow_mut().ask(now, want, Pace::whole(limit), 0.0);
                self.limited.noted.notify_one();
            }
            LimitMessage::Grant { upstream, birth, permits } => {
                self.limited.permits.borrow_mut().hold(now, &upstream, birth, permits);
            }
        }
    }

    /// Whether this instance gives out the permits for an upstream.
    fn allots(&self, now: Time, upstream: &UpstreamId) -> bool {
        let entries = self.region_entries();
        self.view.borrow().is_settled(now) && cold::sender(upstream, &entries) == Some(&self.id())
    }

    /// Asks for the permits that calls want: the allotter, or itself.
    fn ask_for_permits(&self, now: Time) -> (Vec<(InstanceId, LimitMessage)>, bool) {
        let (wants, has_more) = self.limited.permits.borrow_mut().questions(now, &self.id());
        if wants.is_empty() {
            return (Vec::new(), has_more);
        }
        let entries = self.region_entries();
        let is_settled = self.view.borrow().is_settled(now);
        let mut questions = Vec::new();
        for want in wants {
            let Some(limit) = self.limited.limits.borrow().of(&want.upstream, want.birth) else {
                continue;
            };
            let allotter = cold::sender(&want.upstream, &entries).filter(|_| is_settled);
            match allotter {
                Some(other) if *other != want.from => {
                    let Want { from, upstream, birth, calls } = want;
                    let ask = LimitMessage::Ask { from, upstream, birth, limit, calls };
                    questions.push((other.clone(), ask));
                }
                Some(_) => {
                    let pace = Pace::whole(limit);
                    self.limited.allotter.borrow_mut().ask(now, want, pace, 0.0);
                }
                None => {
                    let pace = Pace::alone(limit, self.contacts.borrow().most_entries());
                    let saved = rand::rng().random();
                    self.limited.allotter.borrow_mut().ask(now, want, pace, saved);
                }
            }
        }
        (questions, has_more)
    }

    /// One round: the messages that go out, by the instance that gets them, and whether there will be more.
    fn limit_round(&self) -> (Vec<(SocketAddr, LimitMessage)>, bool) {
        let now = self.now();
        let (mut messages, has_more) = self.ask_for_permits(now);
        let own = self.id();
        for grant in self.limited.allotter.borrow_mut().grant(now) {
            let Grant { to, upstream, birth, permits } = grant;
            tracing::debug!(%upstream, instance = %to, permits, "permits granted");
            if to == own {
                self.limited.permits.borrow_mut().hold(now, &upstream, birth, permits);
            } else {
                messages.push((to, LimitMessage::Grant { upstream, birth, permits }));
            }
        }
        let news = std::mem::take(&mut *self.limited.news.borrow_mut());
        let has_more = has_more || self.limited.allotter.borrow().is_asked();
        if messages.is_empty() && news.is_empty() {
            return (Vec::new(), has_more);
        }
        let (_, members) = self.region_members();
        let address = |id: &InstanceId| members.iter().find(|it| it.0.id == *id).map(|it| it.1);
        let addressed =
            messages.into_iter().filter_map(|(to, message)| Some((address(&to)?, message)));
        let others = members.iter().filter(|it| it.0.id != own);
        let told = others.flat_map(|it| news.iter().map(|message| (it.1, message.clone())));
        (addressed.chain(told).collect(), has_more)
    }
}

/// Sends what there is to say about limits for as long as the process runs.
pub(super) async fn run(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    loop {
        let (messages, has_more) = entry.limit_round();
        messages
            .into_iter()
            .for_each(|(to, message)| load_exchange::send_limit(&socket, message, to));
        let noted = entry.limited.noted.notified();
        match has_more {
            // A round comes in any case.
            true => drop(timeout(ROUND, noted).await),
            false => noted.await,
        }
    }
}

//! Detects contents that crash upstreams, and keeps calls with these contents from running.
//!
//! Each request to an upstream is recorded with the fingerprints of its contents: the request as a
//! whole, and the parts of its prompt that other requests may hold. When the upstream crashes, the
//! contents in flight there become suspects; see [`medlarlug_core::suspects`] for how suspicion
//! turns into quarantine. A request with a quarantined content runs only as a trial, one at a time
//! and at one instance of the deployment. The facts are sent to all entry instances through the
//! keepers, which store them for instances that start later.
//!
//! A broken connection alone does not count as a crash. It does when the upstream refuses new
//! connections while another one accepts them, when a newer incarnation announces itself with its id
//! or address, or when another instance reports the crash. Until then the request stays recorded.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use medlarlug::transport::http_client;
use medlarlug_core::{
    fingerprint::Fingerprint,
    gateway::{
        stream_version::StreamVersion,
        upstreams::{Birth, Upstream},
    },
    ids::{Incarnation, InstanceId, RegionId, RequestId, UpstreamId},
    suspects::{self, CrashId, Effect, Event, Fact, RequestContents, SuspectTracker},
    time::Time,
};
use smol_str::SmolStr;
use tokio::{task, time::sleep};

use super::{Entry, call::Call, plan::Plan};
use crate::{link::Message, metrics as names};

/// Time after which the other connections to an upstream have ended as well, if it has crashed.
const CRASH_SETTLE_TIME: Duration = Duration::from_millis(30);
/// Timeout for opening a connection to an upstream that may have crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without an announcement after which an upstream that refuses connections has crashed, even
/// if no other upstream can be reached: two heartbeats, and the time until keepers have reported the
/// second one.
const CRASH_CONFIRM_TIME: Duration = Duration::from_secs(4);
/// Time between two looks whether an upstream has crashed or only can't be reached.
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a request that ended without an answer stays recorded. A crashed upstream
/// restarts and announces itself within a few seconds.
const UNANSWERED_LIFETIME: Duration = Duration::from_secs(15);

/// Time that a call has to send the trial of its content: it may have to wait for prefill at an
/// engine, or for a permit.
const TRIAL_RESERVATION: Duration = Duration::from_secs(1);
/// `Retry-After` while a trial is running or due: the time for it to end and for all instances to
/// receive the result.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The state of crash detection at this instance.
#[derive(Default)]
pub(super) struct Crashes {
    suspects: SuspectTracker,
    /// Number of requests sent to upstreams so far.
    sequence: u64,
    /// Requests that ended without an answer, and when.
    unanswered: Vec<(InFlight, Time)>,
    /// Upstreams that [`check_for_crash`] is running for.
    under_check: Vec<CrashId>,
    /// Trials of quarantined contents at this instance.
    trials: Vec<ContentTrials>,
}

/// Trials of one content at this instance.
#[derive(Debug, Clone)]
struct ContentTrials {
    content: Fingerprint,
    /// Number of requests sent.
    attempts: u32,
    /// When the newest request was sent.
    last_sent: Option<Time>,
    /// Until when the next trial is reserved for a call.
    reserved_until: Time,
}

/// Why a call may not run now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Quarantine {
    /// The first of its quarantined contents.
    pub(super) content: Fingerprint,
    /// Time until a trial of all of them may begin.
    pub(super) retry_after: Duration,
}

/// A request to an incarnation of an upstream that has not ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct InFlight {
    request: RequestId,
    key: CrashId,
    /// The id that the caller gave the call.
    call: SmolStr,
}

/// How a request to an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// With a complete answer.
    Answered,
    /// The connection ended, or no data arrived in time, before the answer was complete.
    Unanswered,
    /// In another way, which says nothing about the content.
    Other,
}

fn key(upstream: &UpstreamId, birth: Birth) -> CrashId {
    CrashId { upstream: upstream.clone(), incarnation: Incarnation(birth.0) }
}

impl Crashes {
    fn next_request(&mut self, region: RegionId, instance: InstanceId) -> RequestId {
        self.sequence += 1;
        RequestId { region, instance, incarnation: Incarnation(0), sequence: self.sequence }
    }

    fn trials_of(&mut self, content: Fingerprint) -> &mut ContentTrials {
        let at = self.trials.iter().position(|it| it.content == content).unwrap_or_else(|| {
            self.trials.push(ContentTrials {
                content,
                attempts: 0,
                last_sent: None,
                reserved_until: Time::ZERO,
            });
            self.trials.len() - 1
        });
        &mut self.trials[at]
    }

    /// When the next trial of a content may begin at this instance; `None` if it needs none.
    fn next_trial_at(&self, content: Fingerprint) -> Option<Time> {
        let own = self.trials.iter().find(|it| it.content == content);
        let (attempts, last_sent) = own.map_or((0, None), |it| (it.attempts, it.last_sent));
        let trials = self.suspects.ledger().trials(content)?;
        Some(trials.next_trial_at(attempts, last_sent))
    }

    /// Whether no trial of the content is in flight or about to be sent.
    fn is_free_for_trial(&self, now: Time, content: Fingerprint) -> bool {
        let own = self.trials.iter().find(|it| it.content == content);
        own.is_none_or(|it| it.reserved_until <= now) && !self.suspects.is_on_trial(content)
    }

    fn has_unanswered(&self, key: &CrashId) -> bool {
        self.unanswered.iter().any(|(in_flight, _)| in_flight.key == *key)
    }
}

impl Entry {
    /// Whether a call may run only as a trial of one of its contents.
    pub(super) fn is_quarantined(&self, call: &Call) -> bool {
        let crashes = self.crashes.borrow();
        !crashes.suspects.ledger().quarantined_contents(&call.contents).is_empty()
    }

    /// Why a call is refused because of its contents; `None` if it may run. The call may become the
    /// trial of a content.
    pub(super) fn quarantine(&self, call: &Call, plan: &mut Plan) -> Option<Quarantine> {
        let mut crashes = self.crashes.borrow_mut();
        let quarantined = crashes.suspects.ledger().quarantined_contents(&call.contents);
        let &content = quarantined.first()?;
        if plan.is_trial && plan.attempts.arrivals() == 0 {
            return None;
        }
        let now = self.now();
        let next = quarantined.iter().filter_map(|it| crashes.next_trial_at(*it)).max()?;
        let is_free = quarantined.iter().all(|it| crashes.is_free_for_trial(now, *it));
        if !plan.is_trial && now >= next && is_free && self.runs_trial(content, plan) {
            for tested in crashes.suspects.ledger().tested_contents(&call.contents) {
                let failed = crashes.suspects.ledger().trials(tested).map_or(0, |it| it.failed);
                let trials = crashes.trials_of(tested);
                trials.reserved_until = now + TRIAL_RESERVATION;
                let attempts = trials.attempts;
                tracing::info!(request = %call.id, content = %tested, failed, attempts, "trying quarantined content");
            }
            (plan.is_trial, plan.may_forward) = (true, false);
            return None;
        }
        Some(Quarantine { content, retry_after: (next - now).max(TRIAL_RETRY_AFTER) })
    }

    /// Whether this instance runs the trials of a content, out of all instances that could.
    fn runs_trial(&self, content: Fingerprint, plan: &Plan) -> bool {
        let now = self.now();
        let settings = self.settings.borrow();
        let own = &settings.info;
        let can_try = |region: &RegionId| {
            plan.route.may_be_served_in(region)
                && self.upstreams_in(region, &plan.service, &StreamVersion::Free) > 0
        };
        let contacts = self.contacts.borrow();
        let live = contacts.live_entries(now).map(|contact| &contact.info);
        let others = live.filter(|info| info.id != own.id && can_try(&info.region));
        let mut instances: Vec<InstanceId> = others.map(|info| info.id.clone()).collect();
        if can_try(&own.region) {
            instances.push(own.id.clone());
        }
        !self.is_isolated()
            && self.view.borrow().is_settled(now)
            && suspects::trial_instance(content, &instances) == Some(&own.id)
    }

    /// Records that a request is sent to an incarnation of an upstream.
    pub(super) fn request_sent(
        &self,
        call: &Call,
        upstream: &UpstreamId,
        birth: Birth,
    ) -> InFlight {
        let key = key(upstream, birth);
        let (region, instance) = {
            let settings = self.settings.borrow();
            (settings.info.region.clone(), settings.info.id.clone())
        };
        let mut crashes = self.crashes.borrow_mut();
        for tested in crashes.suspects.ledger().tested_contents(&call.contents) {
            let trials = crashes.trials_of(tested);
            (trials.attempts, trials.last_sent) = (trials.attempts + 1, Some(self.now()));
        }
        let request = crashes.next_request(region, instance);
        drop(crashes);
        self.handle_event(Event::Sent {
            request: request.clone(),
            contents: call.contents.clone(),
            upstream: upstream.clone(),
            incarnation: key.incarnation,
        });
        InFlight { request, key, call: call.id.clone() }
    }

    /// Records that the first part of the answer has arrived.
    pub(super) fn answer_began(&self, in_flight: &InFlight) {
        self.handle_event(Event::Began { request: in_flight.request.clone() });
    }

    /// Records how a request to an upstream ended. `has_begun` tells whether a part of its answer had
    /// arrived.
    pub(super) fn request_ended(
        &self,
        in_flight: InFlight,
        request_end: RequestEnd,
        has_begun: bool,
    ) {
        match request_end {
            RequestEnd::Answered => {
                self.handle_event(Event::Completed { request: in_flight.request })
            }
            RequestEnd::Other => {
                self.handle_event(Event::Inconclusive { request: in_flight.request })
            }
            RequestEnd::Unanswered => {
                let now = self.now();
                let mut crashes = self.crashes.borrow_mut();
                // If the crash of the upstream has been recorded before, its requests are no longer
                // tracked.
                if let Some(contents) = crashes.suspects.contents_of(&in_flight.request) {
                    log_unanswered(&in_flight, contents, has_begun);
                    crashes.unanswered.push((in_flight, now));
                }
            }
        }
    }

    /// Called when an upstream refuses connections: it may have crashed if requests there ended without
    /// an answer.
    pub(super) fn refused_connection(self: &Rc<Self>, upstream: &UpstreamId, address: SocketAddr) {
        let Some(key) = self.newest_incarnation(upstream) else { return };
        let mut crashes = self.crashes.borrow_mut();
        if crashes.has_unanswered(&key) && !crashes.under_check.contains(&key) {
            crashes.under_check.push(key.clone());
            let entry = self.clone();
            task::spawn_local(async move {
                confirm_crash(&entry, &key, address).await;
                entry.crashes.borrow_mut().under_check.retain(|it| *it != key);
            });
        }
    }

    /// Whether an incarnation has announced itself after `since`.
    fn has_announced_since(&self, key: &CrashId, since: Time) -> bool {
        let upstreams = self.upstreams.borrow();
        upstreams.get(&key.upstream).is_some_and(|known| {
            known.upstream.birth.0 == key.incarnation.0 && known.announced_at > since
        })
    }

    fn newest_incarnation(&self, upstream: &UpstreamId) -> Option<CrashId> {
        let upstreams = self.upstreams.borrow();
        upstreams.get(upstream).map(|it| key(upstream, it.upstream.birth))
    }

    /// Starts to check whether an upstream has crashed, after a connection to it broke.
    pub(super) fn start_crash_check(self: &Rc<Self>, upstream: &UpstreamId, address: SocketAddr) {
        let Some(key) = self.newest_incarnation(upstream) else { return };
        let mut crashes = self.crashes.borrow_mut();
        if !crashes.under_check.contains(&key) {
            crashes.under_check.push(key.clone());
            task::spawn_local(check_for_crash(self.clone(), key, address));
        }
    }

    /// Called when an upstream announces itself: an older incarnation with its id or address has
    /// crashed, unless it had announced that it was leaving.
    pub(super) fn on_replacement(&self, upstream: &Upstream) {
        let replaced = self.upstreams.borrow().crashed_predecessors(upstream);
        for (id, birth) in replaced {
            let key = key(&id, birth);
            if self.crashes.borrow().has_unanswered(&key) {
                self.record_crash(key, "another incarnation announced itself");
            }
        }
    }

    /// Applies facts that other instances have found out about contents that crash upstreams.
    pub(super) fn apply_facts(&self, facts: Vec<Fact>) {
        let now = self.now();
        let reported = facts.iter().filter_map(|fact| match fact {
            Fact::Crashed(report) => Some((report.key.clone(), now.saturating_sub(report.age))),
            Fact::Cleared { .. } => None,
        });
        let reported: Vec<(CrashId, Time)> = reported.collect();
        self.update_suspects(|suspects, now, out| suspects.apply_all(now, &facts, out));
        for (key, when) in reported {
            // The upstream is cold when it returns.
            if self.newest_incarnation(&key.upstream).as_ref() == Some(&key) {
                self.healths.borrow_mut().record_crash(when, &key.upstream);
            }
            if self.crashes.borrow().has_unanswered(&key) {
                self.record_crash(key, "reported by another instance");
            }
        }
    }

    /// The facts that a keeper needs again if it has lost its memory.
    pub(super) fn facts_to_resend(&self) -> Vec<Fact> {
        self.crashes.borrow().suspects.ledger().repeated_crashes(self.now())
    }

    /// Removes requests and trials that have expired.
    pub(super) fn expire_crashes(&self) {
        let now = self.now();
        let is_expired = |it: &mut (InFlight, Time)| now - it.1 > UNANSWERED_LIFETIME;
        let expired: Vec<InFlight> = {
            let mut crashes = self.crashes.borrow_mut();
            crashes.unanswered.extract_if(.., is_expired).map(|it| it.0).collect()
        };
        {
            let mut crashes = self.crashes.borrow_mut();
            let Crashes { suspects, trials, .. } = &mut *crashes;
            trials.retain(|it| suspects.ledger().trials(it.content).is_some());
        }
        for in_flight in expired {
            self.handle_event(Event::Inconclusive { request: in_flight.request });
        }
        self.handle_event(Event::Tick);
    }

    /// Records that an upstream has crashed with all requests that were in flight there.
    fn record_crash(&self, key: CrashId, evidence: &'static str) {
        let broke_at = {
            let mut crashes = self.crashes.borrow_mut();
            let is_there = |it: &&(InFlight, Time)| it.0.key == key;
            let broke_at = crashes.unanswered.iter().filter(is_there).map(|it| it.1).min();
            crashes.unanswered.retain(|(in_flight, _)| in_flight.key != key);
            broke_at.unwrap_or_else(|| self.now())
        };
        let has_exceeded = self.has_exceeded_memory(&key.upstream, broke_at);
        metrics::counter!(names::UPSTREAM_CRASHES).increment(1);
        tracing::warn!(upstream = %key.upstream, birth = key.incarnation.0, evidence, has_exceeded, "upstream crashed");
        let CrashId { upstream, incarnation } = key;
        self.handle_event(match has_exceeded {
            true => Event::CrashExplained { upstream, incarnation },
            false => Event::UpstreamCrashed { upstream, incarnation },
        });
    }

    /// Passes an event to the tracking of suspects.
    fn handle_event(&self, event: Event) {
        self.update_suspects(|suspects, now, out| suspects.handle(now, event, out));
    }

    /// Changes the suspects, logs contents that became quarantined, and sends the resulting facts
    /// to the keepers.
    fn update_suspects(&self, change: impl FnOnce(&mut SuspectTracker, Time, &mut Vec<Effect>)) {
        let mut effects = Vec::new();
        self.log_new_quarantines(|suspects, now| change(suspects, now, &mut effects));
        let facts = effects.into_iter().filter_map(|effect| match effect {
            Effect::Publish(fact) => Some(fact),
            Effect::PartsOmitted { crash, count } => {
                tracing::warn!(upstream = %crash.upstream, birth = crash.incarnation.0, count, "parts left out of a crash report, which names too many");
                None
            }
            // The gateway does not reserve upstreams for suspects: an upstream runs a hundred
            // requests at the same time.
            Effect::Reserve { .. }
            | Effect::ReleaseReservation { .. }
            | Effect::Interrupted { .. } => None,
        });
        let facts: Vec<Fact> = facts.collect();
        if facts.is_empty() {
            return;
        }
        for fact in &facts {
            if let Fact::Crashed(report) = fact {
                let (upstream, birth) = (&report.key.upstream, report.key.incarnation.0);
                let (requests, contents) = (report.in_flight.len(), fact.content_count());
                tracing::info!(%upstream, birth, requests, contents, "contents in flight at a crashed upstream are suspects");
            }
        }
        self.links.send_all(&Message::Facts(facts));
    }

    /// Changes the suspects and logs contents that became quarantined.
    fn log_new_quarantines(&self, change: impl FnOnce(&mut SuspectTracker, Time)) {
        let now = self.now();
        let suspects = &mut self.crashes.borrow_mut().suspects;
        let before = suspects.ledger().quarantines(now);
        change(suspects, now);
        for (content, _) in suspects.ledger().quarantines(now) {
            if before.binary_search_by_key(&content, |it| it.0).is_err() {
                let crashes = suspects.ledger().crashes_of(content);
                let upstreams = crashes.iter().map(|it| it.upstream.as_str());
                let upstreams = upstreams.collect::<Vec<_>>().join(",");
                let failed = suspects.ledger().trials(content).map_or(0, |it| it.failed);
                let group = suspects.ledger().group_of(content).len();
                tracing::warn!(%content, upstreams, failed, group, "content quarantined");
            }
        }
    }
}

fn log_unanswered(in_flight: &InFlight, contents: &RequestContents, has_begun: bool) {
    let InFlight { call, key, .. } = in_flight;
    let parts = contents.parts().iter().map(|it| it.to_string()).collect::<Vec<_>>().join(",");
    tracing::info!(
        request = %call,
        upstream = %key.upstream,
        birth = key.incarnation.0,
        content = %contents.whole(),
        parts,
        has_begun,
        "request ended without a complete answer"
    );
}

/// Considers an upstream crashed if no other connection to it outlasts one that broke. The contents
/// in flight there become suspects only if it refuses a new connection, too.
async fn check_for_crash(entry: Rc<Entry>, key: CrashId, address: SocketAddr) {
    let began = entry.now();
    sleep(CRASH_SETTLE_TIME).await;
    let running = entry.loads.borrow().report_of(&key.upstream).running;
    let idle = entry.client.idle_connections(address);
    if running == 0 && idle == 0 {
        tracing::warn!(upstream = %key.upstream, "all connections to the upstream broke; it may have crashed");
        entry.healths.borrow_mut().record_crash(began, &key.upstream);
        entry.tell_ended(&key.upstream);
        entry.check_path();
        if http_client::refuses_connections(address, PROBE_TIMEOUT).await {
            confirm_crash(&entry, &key, address).await;
        }
    }
    entry.crashes.borrow_mut().under_check.retain(|it| *it != key);
}

/// Records the crash of an upstream that refuses connections. If no other upstream can be reached
/// either, the network may be the cause: then waits until another one can be reached or the upstream
/// has missed its heartbeats, and records nothing if it announces itself or accepts connections.
async fn confirm_crash(entry: &Entry, key: &CrashId, address: SocketAddr) {
    let began = entry.now();
    while !entry.reaches_another(&key.upstream).await {
        if entry.now() - began > CRASH_CONFIRM_TIME {
            return entry
                .record_crash(key.clone(), "refuses connections, announcements are missing");
        }
        sleep(CRASH_POLL_INTERVAL).await;
        if entry.has_announced_since(key, began) {
            tracing::info!(upstream = %key.upstream, "no upstream can be reached, but it announces itself; not recorded as crashed");
            return;
        }
    }
    if http_client::refuses_connections(address, PROBE_TIMEOUT).await {
        entry.record_crash(key.clone(), "refuses connections");
    }
}

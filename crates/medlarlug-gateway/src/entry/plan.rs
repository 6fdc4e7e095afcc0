//! The state of one call while it is served.

use std::{rc::Rc, time::Duration};

use medlarlug_core::{
    gateway::{
        attempt_timeout,
        authentication::AcceptedTeam,
        fair_share::Holder,
        handover::{Attempts, ForwardedTeam, Handover},
        placement::Choice,
        prefill_queue::{self, PrefillDecision},
        retry_budget::Spending,
        software_version::SoftwareVersion,
        stream_timeout::{self, StreamSource},
        stream_version::StreamVersion,
        table::{Route, RouteTable, ServiceName, TableVersion},
        upstreams::Upstream,
    },
    ids::RegionId,
    time::Time,
};

use super::{
    Entry,
    attempt::{self, AttemptContext, NotRun, Outcome},
    brittle::SlotWait,
    call::Call,
    choice::{Hop, Tried},
    forwarded,
    limited::PermitWait,
    pace::RoomWait,
    pressure::MemoryWait,
    residency::Residency,
    serve::CallOutcome,
};
use crate::metrics as names;

/// Maximum number of requests of one call that may reach upstreams, including those that were
/// refused there.
pub(super) const MAX_ARRIVALS: u32 = 4;

/// The state of one call while it is served: its route, its deadlines, and the attempts so far.
pub(super) struct Plan {
    pub(super) table: Rc<RouteTable>,
    /// The route, restricted to what the team may use, and to the home regions of `homes_version`.
    pub(super) route: Route,
    /// Version of the newest table whose home regions the call obeys, here or at the instance that has
    /// forwarded it.
    pub(super) homes_version: TableVersion,
    /// Whether no region may serve the call any more.
    pub(super) is_barred: bool,
    /// The team that the call is served for; `None` on an anonymous route and without teams.
    pub(super) team: Option<Rc<AcceptedTeam>>,
    pub(super) service: ServiceName,
    /// When the call arrived.
    pub(super) began: Time,
    /// When it has to be answered: its caller's deadline or the timeout of its route, whichever is
    /// earlier.
    pub(super) answer_by: Time,
    pub(super) deadline: Time,
    /// Whether another instance has forwarded it.
    pub(super) is_forwarded: bool,
    /// Whether it may be forwarded to another instance.
    pub(super) may_forward: bool,
    /// Whether it is the trial of a quarantined content.
    pub(super) is_trial: bool,
    pub(super) last_event: Option<u64>,
    /// The software version to which the stream is bound.
    pub(super) version: StreamVersion,
    /// Whether an event has been passed on to the caller.
    pub(super) has_event: bool,
    pub(super) tried: Tried,
    /// Requests that may have run and requests that may have reached an upstream, including those
    /// of other instances that the call was forwarded to.
    pub(super) attempts: Attempts,
    /// What the call has taken from the retry budget at this instance.
    pub(super) spending: Spending,
    /// Hops to which no connection opened, or that could not serve the call for another reason than load.
    pub(super) unreachable: u32,
    /// Upstreams to which no connection opened.
    pub(super) failed_connections: u32,
    /// For the log: the hops that were tried, each with its predicted waiting time, the age of the
    /// announcement that the choice is based on, and the outcome.
    pub(super) path: Vec<String>,
    /// The upstream at which the call is queued for prefill.
    pub(super) admission_wait: Option<AdmissionWait>,
    /// Since when it has waited for an engine with room, or for its turn.
    pub(super) room_wait_since: Option<Time>,
    /// Whether it has requested permits for upstreams with a rate limit before.
    pub(super) has_requested_permits: bool,
    /// Set while it waits for a permit.
    pub(super) permit_wait: Option<PermitWait>,
    /// Set while it waits for room at an upstream that ramps up.
    pub(super) room_wait: Option<RoomWait>,
    /// Set while it waits for a slot of a brittle upstream.
    pub(super) slot_wait: Option<SlotWait>,
    pub(super) _running: RunningCall,
}

/// Counts a call that is queued for prefill at an upstream, until it is dropped.
pub(super) struct AdmissionWait {
    entry: Rc<Entry>,
    choice: Choice,
    /// The same call in the shares of teams; `None` if shares don't matter.
    room_wait: Option<MemoryWait>,
}

impl AdmissionWait {
    fn begin(entry: &Rc<Entry>, choice: &Choice, room_wait: Option<MemoryWait>) -> AdmissionWait {
        entry.loads.borrow_mut().enqueue(choice);
        entry.exchange.report_at_once(&choice.id);
        AdmissionWait { entry: entry.clone(), choice: choice.clone(), room_wait }
    }

    /// Whether it waits for the same as a call with `choice`.
    fn matches(&self, choice: &Choice) -> bool {
        self.choice.id == choice.id && self.room_wait.as_ref().is_none_or(|it| it.matches(choice))
    }
}

impl Drop for AdmissionWait {
    fn drop(&mut self) {
        self.entry.loads.borrow_mut().dequeue(&self.choice);
        self.entry.exchange.report_at_once(&self.choice.id);
    }
}

/// Counts a call that is being served, until it is dropped.
pub(super) struct RunningCall(Rc<Entry>);

impl RunningCall {
    pub(super) fn begin(entry: &Rc<Entry>) -> RunningCall {
        entry.running.set(entry.running.get() + 1);
        RunningCall(entry.clone())
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

impl Plan {
    /// Restricts the call to the home regions that its route and its team have in the newest table, which
    /// may have arrived while the call waited or its stream ran.
    pub(super) fn obey_newest_homes(&mut self, entry: &Entry, call: &Call) {
        let table = entry.table.borrow();
        let newest = table.as_ref().filter(|it| it.version() > self.homes_version);
        let Some(newest) = newest else { return };
        let [route_homes, team_homes] = self.residency().homes_in(newest, call);
        self.homes_version = newest.version();
        let may_go_on =
            self.route.restrict_homes(route_homes) && self.route.restrict_homes(team_homes);
        if !may_go_on {
            tracing::info!(request = %call.id, table = newest.version().0, "no home region left");
            self.is_barred = true;
        }
    }

    /// The home regions that the call obeys.
    pub(super) fn residency(&self) -> Residency<'_> {
        Residency {
            route: &self.route,
            version: self.homes_version,
            team: self.team.as_ref().map(|it| &it.team.name),
        }
    }

    /// Chooses the next hop; `None` if there is none, no region may serve the call, or its content is
    /// quarantined.
    pub(super) fn next_hop(&self, entry: &Entry, call: &Call) -> Option<Hop> {
        if self.is_barred {
            return None;
        }
        let may_try = self.is_trial && self.attempts.arrivals() == 0;
        if !may_try && entry.is_quarantined(call) {
            return None;
        }
        // The call's own place in the prefill queue must not count against it.
        let own = self.admission_wait.as_ref().map(|it| &it.choice);
        if let Some(choice) = own {
            entry.loads.borrow_mut().dequeue(choice);
        }
        let hop = entry.choose(self, call);
        if let Some(choice) = own {
            entry.loads.borrow_mut().enqueue(choice);
        }
        hop
    }

    /// Records that an event of an upstream with this software version is passed on to the caller.
    pub(super) fn record_event(
        &mut self,
        entry: &Entry,
        call: &Call,
        software: Option<&SoftwareVersion>,
    ) {
        if !self.has_event {
            self.has_event = true;
            self.version.bind(software);
            entry.remember_stream(call, self);
        }
    }

    /// Whether the call may be sent to an upstream: it was not tried, and runs the version to which
    /// the stream is bound.
    pub(super) fn may_use(&self, upstream: &Upstream) -> bool {
        !self.tried.upstreams.contains(&upstream.id)
            && self.version.allows(upstream.software.as_ref())
    }

    /// Requests permits for the upstreams with a rate limit. Returns whether the call has to wait
    /// for one: it has no hop, and there are enough permits for the calls that wait already.
    pub(super) fn waits_for_permit(&mut self, entry: &Rc<Entry>, hop: Option<&Hop>) -> bool {
        let limited = entry.limited_upstreams(self);
        let is_asked = entry.request_permits(&limited, !self.has_requested_permits);
        self.has_requested_permits |= is_asked;
        if hop.is_some() || !is_asked || !self.attempts.may_send() {
            self.permit_wait = None;
            return false;
        }
        if let Some(wait) = &self.permit_wait {
            return !wait.is_over();
        }
        self.permit_wait = PermitWait::begin(entry, &limited);
        self.permit_wait.is_some()
    }

    /// Whether the call has to wait for room at an upstream that ramps up: it has no hop, and has not
    /// waited for long.
    pub(super) fn waits_for_room(&mut self, entry: &Rc<Entry>, hop: Option<&Hop>) -> bool {
        if hop.is_some() || !self.attempts.may_send() || !entry.lacks_ramp_room(self) {
            self.room_wait = None;
            return false;
        }
        if let Some(wait) = &self.room_wait {
            return !wait.is_over();
        }
        self.room_wait = RoomWait::begin(entry);
        self.room_wait.is_some()
    }

    /// Decides whether the call is sent to the hop now. Only first attempts with long prompts at
    /// engines are queued for prefill. Where engines crash when their memory is exceeded, every
    /// request waits for an engine with room.
    pub(super) fn admission(
        &mut self,
        entry: &Rc<Entry>,
        call: &Call,
        hop: Option<&Hop>,
    ) -> PrefillDecision {
        let decision = self.next_admission(entry, call, hop);
        self.admission_wait = match hop {
            Some(Hop::Upstream { choice, .. }) if decision == PrefillDecision::Wait => {
                let current = self.admission_wait.take().filter(|it| it.matches(choice));
                current.or_else(|| {
                    let room_wait =
                        entry.has_pressure().then(|| MemoryWait::begin(entry, self, choice));
                    Some(AdmissionWait::begin(entry, choice, room_wait))
                })
            }
            _ => None,
        };
        self.room_wait_since = match decision {
            PrefillDecision::Wait => self.room_wait_since.or(Some(entry.now())),
            PrefillDecision::Send | PrefillDecision::Refuse => None,
        };
        decision
    }

    /// The service and the team of the call.
    pub(super) fn holder(&self) -> Holder {
        (self.service.clone(), self.team.as_ref().map(|it| it.team.name.clone()))
    }

    fn next_admission(&self, entry: &Entry, call: &Call, hop: Option<&Hop>) -> PrefillDecision {
        if let Some(Hop::Upstream { choice, memory, .. }) = hop
            && *memory > 0
            && entry.has_pressure()
        {
            return entry.admit(self, call, choice, *memory);
        }
        let Some(decision) = self.prefill_decision(entry, hop) else {
            return PrefillDecision::Send;
        };
        if decision != PrefillDecision::Wait {
            let now = entry.now();
            entry.queue_waits.borrow_mut().record(now, now - self.began);
        }
        decision
    }

    /// Decides whether a call with a long prompt is admitted to the hop; `None` for other calls.
    pub(super) fn prefill_decision(
        &self,
        entry: &Entry,
        hop: Option<&Hop>,
    ) -> Option<PrefillDecision> {
        let Some(Hop::Upstream { choice, .. }) = hop else { return None };
        if self.attempts.arrivals() > 0 || !choice.is_long() {
            return None;
        }
        let now = entry.now();
        let is_free = entry.loads.borrow().can_admit(now, choice, entry.exchange.instances());
        let (objective, priority) = (self.route.objective, self.route.priority);
        Some(prefill_queue::decide(is_free, now - self.began, objective, priority))
    }

    /// Counts a stream that broke off. If it came from another instance, that one has resumed it
    /// elsewhere before it gave up, but can no longer report its attempts.
    pub(super) fn count_broken(&mut self, hop: &Hop) {
        if matches!(hop, Hop::Peer { .. }) {
            self.attempts.record_missing_report();
        }
    }

    /// How long the stream of a hop may pause before another hop resumes it; `None` for no limit.
    pub(super) fn idle_timeout(&self, hop: &Hop) -> Option<Duration> {
        let source = hop.source();
        // No attempt is left after another instance broke off, see `count_broken`.
        let is_left = source == StreamSource::Upstream && self.attempts.may_send();
        stream_timeout::idle_timeout(
            source,
            self.route.pause,
            self.route.kind.is_retryable() && is_left,
        )
    }

    /// Whether another hop can take over the stream and is predicted to answer in time. If so, a retry
    /// has been taken from the budget for it.
    pub(super) fn may_resume(&mut self, entry: &Entry, call: &Call) -> bool {
        self.obey_newest_homes(entry, call);
        let left = self.answer_by - entry.now();
        let is_in_time = |hop: Hop| hop.wait() < left && !hop.lacks_room();
        self.last_event.is_some()
            && self.next_hop(entry, call).is_some_and(is_in_time)
            && self.may_send(entry, call)
    }

    /// Whether the call goes to model engines.
    pub(super) fn is_on_engines(&self) -> bool {
        self.table.service(&self.service).is_some_and(|service| service.engine.is_some())
    }

    /// Whether another request may be sent. Takes a retry from the budget unless the request is
    /// covered already.
    pub(super) fn may_send(&mut self, entry: &Entry, call: &Call) -> bool {
        if !self.attempts.may_send() {
            return false;
        }
        if !self.spending.is_covered() {
            if !entry.take_retry(call, &self.service) {
                return false;
            }
            self.spending.pay();
        }
        true
    }

    /// Whether an attempt may follow the present one. Otherwise the body is not needed any more.
    pub(super) fn can_repeat(&self) -> bool {
        self.route.kind.is_retryable() && self.attempts.may_send()
    }

    /// Sends the call to a hop.
    pub(super) async fn attempt(&mut self, entry: &Rc<Entry>, call: &Call, hop: &Hop) -> Outcome {
        match hop {
            Hop::Upstream { choice, age, software, .. } => {
                self.tried.upstreams.push(choice.id.clone());
                let (wait, age) = (choice.wait.as_millis(), age.as_millis());
                let unread = choice.prefill_tokens;
                let software = software.as_ref().map(|it| format!(",software={it}"));
                self.path.push(format!(
                    "{}(wait={wait}ms,unread={unread},age={age}ms{})",
                    choice.id,
                    software.unwrap_or_default()
                ));
            }
            Hop::Peer { id, region, wait, age, .. } => {
                self.tried.peers.push(id.clone());
                let (wait, age) = (wait.as_millis(), age.as_millis());
                self.path.push(format!("{id}(region={region},wait={wait}ms,age={age}ms)"));
                let is_passed_on = *region == entry.settings.borrow().info.region;
                let name = if is_passed_on { names::PASSED_CALLS } else { names::FORWARDED_CALLS };
                metrics::counter!(name).increment(1);
            }
        }
        let left = self.answer_by - entry.now();
        let answer_timeout = attempt_timeout::first_token_timeout(attempt_timeout::Attempt {
            source: hop.source(),
            predicted_wait: hop.wait(),
            objective: self.route.objective,
            time_left: left,
            is_last: !self.route.kind.is_retryable() || self.attempts.runs_left() <= 1,
        });
        let forwarded = match hop {
            Hop::Peer { .. } => forwarded::encode(&Handover {
                version: self.table.version(),
                route: Route { attempts: self.attempts.runs_left().max(1), ..self.route.clone() },
                service: self.service.clone(),
                arrivals: self.attempts.arrivals_left(),
                software: self.version.bound().cloned(),
                team: self
                    .team
                    .as_ref()
                    .map(|it| ForwardedTeam { name: it.team.name.clone(), key: it.key }),
            }),
            Hop::Upstream { .. } => None,
        };
        let context = AttemptContext {
            call,
            // `Plan::residency` would borrow the attempts as well, which change meanwhile.
            residency: Residency {
                route: &self.route,
                version: self.homes_version,
                team: self.team.as_ref().map(|it| &it.team.name),
            },
            kind: self.route.kind,
            priority: self.route.priority,
            forwarded,
            answer_by: self.answer_by,
            deadline: self.deadline,
            last_event: self.last_event,
            answer_timeout,
            holder: self.holder(),
        };
        let before = self.attempts.arrivals();
        let outcome = attempt::send(entry, &context, hop, &mut self.attempts).await;
        if let Some(hop) = self.path.last_mut() {
            hop.push('=');
            hop.push_str(outcome.name());
        }
        if self.attempts.arrivals() > before {
            // Retries at the other instance were taken from the budget there.
            self.spending.record_arrival();
        }
        match (&outcome, hop) {
            (Outcome::NotRun(NotRun::Unreachable | NotRun::Misdirected), hop) => {
                self.unreachable += 1;
                self.failed_connections += u32::from(matches!(hop, Hop::Upstream { .. }));
            }
            (Outcome::NotRun(NotRun::NoPath), Hop::Peer { id, .. }) => {
                self.unreachable += 1;
                entry.record_missing_path(id, &self.service);
            }
            (Outcome::NotRun(NotRun::Refused { .. }), Hop::Peer { region, .. }) => {
                // Another region that is full is a sign that all are.
                self.may_forward &= *region == entry.settings.borrow().info.region;
                self.tried.regions.push(region.clone());
            }
            _ => {}
        }
        outcome
    }

    /// For a call with homes: the time since the confirmation by which they are relied on.
    pub(super) fn confirmation_age(&self, entry: &Entry) -> Option<Duration> {
        let version = self.homes_version.max(entry.version());
        let age = entry.lease.borrow().age(entry.now(), version);
        age.filter(|_| !self.route.homes.is_empty())
    }

    /// The home regions of the route and the team for the log; `None` if there are none.
    fn homes_text(&self) -> Option<String> {
        let homes: Vec<&str> = self.route.homes.iter().map(RegionId::as_str).collect();
        (!homes.is_empty()).then(|| homes.join(","))
    }

    /// Logs and counts the end of the call.
    pub(super) fn record_outcome(&self, entry: &Entry, call: &Call, ended: CallOutcome) {
        let took = entry.now() - self.began;
        metrics::counter!(names::CALLS_ENDED, "outcome" => ended.to_string()).increment(1);
        tracing::info!(
            request = %call.id,
            route = %self.route.name,
            homes = self.homes_text(),
            team = self.team.as_ref().map(|it| it.team.name.as_str()),
            table = self.table.version().0,
            confirmed_ms = self.confirmation_age(entry).map(|it| it.as_millis() as u64),
            path = %self.path.join(","),
            arrivals = self.attempts.arrivals(),
            runs = self.attempts.runs(),
            outcome = %ended,
            is_forwarded = self.is_forwarded,
            took_ms = took.as_millis() as u64,
            "call ended"
        );
    }
}

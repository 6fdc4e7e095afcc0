//! How one call is served: its route, its times, and what was tried.

use std::{rc::Rc, time::Duration};

use medlarlug_core::{
    gateway::{
        attempt_timeout,
        handover::{Attempts, Handover},
        placement::Choice,
        prefill_queue::{self, Turn},
        retry_budget::Spending,
        stream_timeout::{self, Source},
        table::{Route, RouteTable, ServiceName},
    },
    time::Time,
};

use super::{
    Entry,
    attempt::{self, Attempted, NotRun, Outcome},
    call::Call,
    choice::{Hop, Tried},
    forwarded,
    limited::PermitWait,
    serve::Ended,
};
use crate::metrics as names;

/// Requests of one call that may reach upstreams, those included that refused it.
pub(super) const MAX_ARRIVALS: u32 = 4;

/// How a call is served: its route, its times, and what was tried.
pub(super) struct Plan {
    pub(super) table: Rc<RouteTable>,
    pub(super) route: Route,
    pub(super) service: ServiceName,
    /// When the call arrived.
    pub(super) began: Time,
    /// When it has to be answered: its caller's deadline or its route's timeout.
    pub(super) end: Time,
    pub(super) deadline: Time,
    /// Whether another region may serve it.
    pub(super) may_leave: bool,
    /// Whether it is the trial of a quarantined content.
    pub(super) is_trial: bool,
    pub(super) last_event: Option<u64>,
    pub(super) tried: Tried,
    /// Upstreams that may run it and requests that may reach one, those of other instances
    /// included.
    pub(super) attempts: Attempts,
    /// What the call has spent of the retry budget at this instance.
    pub(super) spending: Spending,
    pub(super) unreachable: u32,
    /// The hops that were tried, each with its predicted wait, the age of the news that the choice
    /// rests on, and what came of it, for the log.
    pub(super) path: Vec<String>,
    /// The upstream whose turn it waits for.
    pub(super) waiting: Option<Waiting>,
    /// Whether it has asked for permits of upstreams with a limit.
    pub(super) has_asked: bool,
    /// Set while it waits for one.
    pub(super) permit: Option<PermitWait>,
    pub(super) _running: Running,
}

/// Counts a call that waits for its turn at an upstream, for as long as it does.
pub(super) struct Waiting {
    entry: Rc<Entry>,
    choice: Choice,
}

impl Waiting {
    fn begin(entry: &Rc<Entry>, choice: &Choice) -> Waiting {
        entry.loads.borrow_mut().waits(choice);
        entry.exchange.note(&choice.id);
        Waiting { entry: entry.clone(), choice: choice.clone() }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.entry.loads.borrow_mut().waits_no_longer(&self.choice);
        self.entry.exchange.note(&self.choice.id);
    }
}

/// Counts a call that runs.
pub(super) struct Running(Rc<Entry>);

impl Running {
    pub(super) fn begin(entry: &Rc<Entry>) -> Running {
        entry.running.set(entry.running.get() + 1);
        Running(entry.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

impl Plan {
    /// The next hop; `None` if there is none, or the call may not run anywhere.
    pub(super) fn next_hop(&self, entry: &Entry, call: &Call) -> Option<Hop> {
        let may_try = self.is_trial && self.attempts.arrivals() == 0;
        if !may_try && entry.is_quarantined(call.content) {
            return None;
        }
        // The call does not stand in its own way.
        let own = self.waiting.as_ref().map(|it| &it.choice);
        if let Some(choice) = own {
            entry.loads.borrow_mut().waits_no_longer(choice);
        }
        let hop = entry.choose(self, &call.demand);
        if let Some(choice) = own {
            entry.loads.borrow_mut().waits(choice);
        }
        hop
    }

    /// Asks for permits of the upstreams with a limit, and tells whether the call waits for one: if it has no
    /// hop, and those that wait already can expect theirs in time.
    pub(super) fn waits_for_permit(&mut self, entry: &Rc<Entry>, hop: Option<&Hop>) -> bool {
        let limited = entry.limited_upstreams(self);
        let is_asked = entry.want_permits(&limited, !self.has_asked);
        self.has_asked |= is_asked;
        if hop.is_some() || !is_asked || !self.attempts.may_send() {
            self.permit = None;
            return false;
        }
        if let Some(wait) = &self.permit {
            return !wait.is_over();
        }
        self.permit = PermitWait::begin(entry, &limited);
        self.permit.is_some()
    }

    /// Whether the call goes to a hop now; only first attempts at engines wait for their turn.
    pub(super) fn turn(&mut self, entry: &Rc<Entry>, hop: Option<&Hop>) -> Turn {
        let turn = self.next_turn(entry, hop);
        self.waiting = match hop {
            Some(Hop::Upstream { choice, .. }) if turn == Turn::Wait => {
                let same = self.waiting.take().filter(|it| it.choice.id == choice.id);
                same.or_else(|| Some(Waiting::begin(entry, choice)))
            }
            _ => None,
        };
        turn
    }

    fn next_turn(&self, entry: &Entry, hop: Option<&Hop>) -> Turn {
        let Some(Hop::Upstream { choice, .. }) = hop else { return Turn::Go };
        if self.attempts.arrivals() > 0 || !choice.is_long() {
            return Turn::Go;
        }
        let now = entry.now();
        let waited = now - self.began;
        let is_free = entry.loads.borrow().is_free(now, choice, entry.exchange.instances());
        let turn = prefill_queue::turn(is_free, waited, self.route.objective, self.route.priority);
        if turn != Turn::Wait {
            entry.turn_waits.borrow_mut().count(now, waited);
        }
        turn
    }

    /// A stream broke off. Another instance has gone on elsewhere before it gave up, which it can no
    /// longer tell.
    pub(super) fn count_broken(&mut self, hop: &Hop) {
        if matches!(hop, Hop::Peer { .. }) {
            self.attempts.unreported();
        }
    }

    /// How long a stream from a hop may be silent before another hop goes on with it.
    pub(super) fn silence_limit(&self, hop: &Hop) -> Option<Duration> {
        let source = hop.source();
        // Nothing is left after another instance, see `count_broken`.
        let is_left = source == Source::Upstream && self.attempts.may_send();
        stream_timeout::limit(source, self.route.pause, self.route.kind.is_repeatable() && is_left)
    }

    /// Whether the call goes to model engines.
    pub(super) fn is_on_engines(&self) -> bool {
        self.table.service(&self.service).is_some_and(|service| service.engine.is_some())
    }

    /// Whether another request may go out that repeats an earlier one, and counts it.
    pub(super) fn may_repeat(&mut self, entry: &Entry, call: &Call) -> bool {
        if !self.attempts.may_send() {
            return false;
        }
        if !self.spending.is_covered() {
            if !entry.take_repeat(call, &self.service) {
                return false;
            }
            self.spending.pay();
        }
        true
    }

    /// Sends the call to a hop.
    pub(super) async fn attempt(&mut self, entry: &Rc<Entry>, call: &Call, hop: &Hop) -> Outcome {
        match hop {
            Hop::Upstream { choice, age, .. } => {
                self.tried.upstreams.push(choice.id.clone());
                let (wait, age) = (choice.wait.as_millis(), age.as_millis());
                let unread = choice.unread;
                self.path.push(format!("{}(wait={wait}ms,unread={unread},age={age}ms)", choice.id));
            }
            Hop::Peer { id, .. } => {
                self.tried.peers.push(id.clone());
                let wait = hop.wait().as_millis();
                self.path.push(format!("{id}(wait={wait}ms)"));
                metrics::counter!(names::FORWARDED).increment(1);
            }
        }
        let left = self.end - entry.now();
        let patience = attempt_timeout::limit(attempt_timeout::Attempt {
            source: hop.source(),
            wait: hop.wait(),
            objective: self.route.objective,
            left,
            is_last: !self.route.kind.is_repeatable() || self.attempts.left() <= 1,
        });
        let forwarded = match hop {
            Hop::Peer { .. } => forwarded::encode(&Handover {
                version: self.table.version(),
                route: Route { attempts: self.attempts.left().max(1), ..self.route.clone() },
                service: self.service.clone(),
                arrivals: self.attempts.arrivals_left(),
            }),
            Hop::Upstream { .. } => None,
        };
        let attempted = Attempted {
            call,
            kind: self.route.kind,
            priority: self.route.priority,
            forwarded,
            end: self.end,
            deadline: self.deadline,
            last_event: self.last_event,
            patience,
        };
        let before = self.attempts.arrivals();
        let outcome = attempt::send(entry, &attempted, hop, &mut self.attempts).await;
        if let Some(hop) = self.path.last_mut() {
            hop.push('=');
            hop.push_str(outcome.name());
        }
        if self.attempts.arrivals() > before {
            // What followed the first arrival at another instance was paid for there.
            self.spending.arrived();
        }
        match (&outcome, hop) {
            (Outcome::NotRun(NotRun::Unreachable | NotRun::Misdirected), _) => {
                self.unreachable += 1;
            }
            // The other region is as busy.
            (Outcome::NotRun(NotRun::Refused { .. }), Hop::Peer { .. }) => self.may_leave = false,
            _ => {}
        }
        outcome
    }

    /// Logs and counts the end of the call.
    pub(super) fn end(&self, entry: &Entry, call: &Call, ended: Ended) {
        let took = entry.now() - self.began;
        metrics::counter!(names::CALLS, "outcome" => ended.to_string()).increment(1);
        tracing::info!(
            request = %call.id,
            route = %self.route.name,
            table = self.table.version().0,
            path = %self.path.join(","),
            arrivals = self.attempts.arrivals(),
            runs = self.attempts.runs(),
            outcome = %ended,
            took_ms = took.as_millis() as u64,
            "call ended"
        );
    }
}

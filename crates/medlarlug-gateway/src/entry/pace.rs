//! Ramp-up of upstreams that started or recovered, see [`medlarlug_core::gateway::pace`].

use std::{net::SocketAddr, rc::Rc, time::Duration};

use medlarlug_core::{
    gateway::{
        availability::Availability,
        cold,
        pace::{self, FirstToken, Part, RampCause, RampChange, RampNotice, Ramps, Sight},
        placement::Choice,
        upstreams::{KnownUpstream, UpstreamState, Upstreams},
    },
    ids::{InstanceId, UpstreamId},
    time::Time,
};
use tokio::{
    net::UdpSocket,
    time::{MissedTickBehavior, interval},
};

use super::{Entry, plan::Plan};
use crate::{load_exchange, metrics as names};

/// Time between two rounds: a fraction of the time to the first token, in which a window doubles.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time that a call without another hop waits for room at an upstream that ramps up: a window
/// doubles a few times within it.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(400);
/// Time between two checks whether there is room.
pub(super) const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Calls of this instance that may wait for room at the same time. Each is chosen a hop for anew at
/// every check.
const MAX_ROOM_WAITS: usize = 32;

/// Counts a call that waits for room at an upstream that ramps up, until it is dropped.
pub(super) struct RoomWait {
    entry: Rc<Entry>,
    began: Time,
}

impl RoomWait {
    /// Starts to wait; `None` if enough calls wait already.
    pub(super) fn begin(entry: &Rc<Entry>) -> Option<RoomWait> {
        let waiting = entry.room_waits.get();
        if waiting >= MAX_ROOM_WAITS {
            return None;
        }
        entry.room_waits.set(waiting + 1);
        Some(RoomWait { entry: entry.clone(), began: entry.now() })
    }

    /// Whether [`MAX_ROOM_WAIT`] has passed.
    pub(super) fn is_over(&self) -> bool {
        self.entry.now() - self.began >= MAX_ROOM_WAIT
    }
}

impl Drop for RoomWait {
    fn drop(&mut self) {
        self.entry.room_waits.set(self.entry.room_waits.get() - 1);
    }
}

impl Entry {
    /// Whether an upstream of the own region could take the call if its ramp left room for it.
    pub(super) fn lacks_ramp_room(&self, plan: &Plan) -> bool {
        if !self.settings.borrow().has_pressure
            || self.is_isolated()
            || !plan.route.may_be_served_in(&self.settings.borrow().info.region)
        {
            return false;
        }
        let now = self.now();
        let upstreams = self.upstreams.borrow();
        upstreams.of_service(&plan.service).any(|known| {
            plan.may_use(&known.upstream)
                && self.accepts_requests(now, known)
                && !self.healths.borrow().is_avoided(now, &known.upstream.id)
                && !self.is_cold(now, known)
                && !self.has_ramp_room(now, known)
        })
    }

    /// Whether the ramp of an upstream leaves room for another call of this instance.
    pub(super) fn has_ramp_room(&self, now: Time, known: &KnownUpstream) -> bool {
        let (id, birth) = (&known.upstream.id, known.upstream.birth);
        let allowed = self.ramps.borrow().allowed(now, id, birth);
        allowed.is_none_or(|allowed| self.loads.borrow().running(id) < u64::from(allowed))
    }

    /// Records for a ramp that the first token of a call that was sent at `sent` has arrived.
    pub(super) fn record_ramp_token(&self, choice: &Choice, sent: Time, is_stream: bool) {
        let held = self.loads.borrow().running(&choice.id);
        let now = self.now();
        let token = FirstToken { sent, predicted: choice.wait, held, is_stream };
        if self.ramps.borrow_mut().record_first_token(now, &choice.id, token) {
            log_reduced(choice, "late", now - sent);
        }
    }

    /// Records for a ramp that a call that was sent at `sent` ended without a first token.
    pub(super) fn record_ramp_silence(&self, choice: &Choice, sent: Time) {
        let waited = self.now() - sent;
        if pace::is_late(waited, choice.wait) {
            self.record_ramp_strain(choice, "late", sent);
        }
    }

    /// Records a sign of strain of an upstream for its ramp.
    pub(super) fn record_ramp_strain(&self, choice: &Choice, sign: &'static str, sent: Time) {
        let now = self.now();
        if self.ramps.borrow_mut().record_strain(now, &choice.id, sent) {
            log_reduced(choice, sign, now - sent);
        }
    }

    /// Handles a message about a ramp from another instance.
    pub(crate) fn on_ramp_notice(&self, from: SocketAddr, notice: RampNotice) {
        if !self.settings.borrow().has_pressure {
            return;
        }
        let change = self.ramps.borrow_mut().apply(self.now(), &notice);
        if let Some(change) = change {
            log_change(&notice.upstream, change);
            tracing::debug!(upstream = %notice.upstream, round = notice.round, %from, "ramp changed by a notice");
        }
    }

    /// Updates all ramps. Returns the messages to send with their receivers.
    fn ramp_round(&self) -> Vec<(SocketAddr, RampNotice)> {
        let now = self.now();
        let entries = self.region_entries();
        self.observe_ramps(now, &entries);
        let notices = self.ramps.borrow_mut().due_notices(now);
        let (open, windows) = self.ramps.borrow().open();
        metrics::gauge!(names::RAMPS).set(open as f64);
        metrics::gauge!(names::RAMP_WINDOWS).set(f64::from(windows));
        if notices.is_empty() {
            return Vec::new();
        }
        let own = self.id();
        let (_, members) = self.region_members();
        let addressed = notices.into_iter().flat_map(|notice| {
            let owner = cold::designated_sender(&notice.upstream, &entries);
            let receivers = members.iter().filter(|(member, _)| {
                member.id != own && (notice.is_owner || Some(&member.id) == owner)
            });
            receivers.map(|it| (it.1, notice.clone())).collect::<Vec<_>>()
        });
        addressed.collect()
    }

    fn observe_ramps(&self, now: Time, entries: &[InstanceId]) {
        let own = self.id();
        let is_settled = self.view.borrow().is_settled(now);
        let upstreams = self.upstreams.borrow();
        let mut ramps = self.ramps.borrow_mut();
        for known in upstreams.all().iter().filter(|known| self.is_in_region(known)) {
            let (id, birth) = (&known.upstream.id, known.upstream.birth);
            let hold = self.ramp_hold(now, known);
            if hold.is_none() && ramps.is_warm(id, birth) {
                continue;
            }
            let part = Part::of(&own, id, entries);
            let is_owner = is_settled && part.rank == 0;
            let target = match ramps.is_ramping(id) {
                true => self.ramp_target(now, known, &upstreams, &ramps),
                false => 0.0,
            };
            let change = ramps.observe(now, Sight { id, birth, hold, part, is_owner, target });
            if let Some(change) = change {
                log_change(id, change);
            }
        }
        ramps.retain(|id| upstreams.get(id).is_some());
    }

    fn is_in_region(&self, known: &KnownUpstream) -> bool {
        let settings = self.settings.borrow();
        known.upstream.state == UpstreamState::Ready
            && settings.region_of(&known.upstream.zone) == Some(&settings.info.region)
    }

    /// Why an upstream does not get its share now. Only what it announces and answers counts, and the
    /// evacuated zones: an instance that was stalled takes all upstreams for cold until their next
    /// announcement, but none of them has become weaker by that.
    fn ramp_hold(&self, now: Time, known: &KnownUpstream) -> Option<RampCause> {
        if known.may_be_cold(now) {
            return Some(RampCause::Cold);
        }
        if self.head.borrow().evacuated.binary_search(&known.upstream.zone).is_ok() {
            return Some(RampCause::Evacuated);
        }
        match self.availability(now, known) {
            Availability::BackingOff { .. } => Some(RampCause::Backoff),
            Availability::Available | Availability::Leaving => None,
        }
    }

    /// Mean number of calls that the warm upstreams of the service hold in the region, at most the
    /// slots of the upstream; the slots if there is no warm one.
    fn ramp_target(
        &self,
        now: Time,
        known: &KnownUpstream,
        upstreams: &Upstreams,
        ramps: &Ramps,
    ) -> f64 {
        let is_warm = |it: &&KnownUpstream| {
            self.is_in_region(it) && ramps.is_warm(&it.upstream.id, it.upstream.birth)
        };
        let (loads, peers) = (self.loads.borrow(), self.exchange.instances());
        let warm = upstreams.of_service(&known.upstream.service).filter(is_warm);
        let held = warm.map(|it| loads.region_running(now, &it.upstream.id, peers));
        let (sum, count) = held.fold((0.0, 0), |(sum, count), held| (sum + held, count + 1));
        let slots = f64::from(known.upstream.slots);
        match count {
            0 => slots,
            count => slots.min(sum / f64::from(count)),
        }
    }
}

fn log_reduced(choice: &Choice, sign: &'static str, after: Duration) {
    metrics::counter!(names::RAMP_STRAINS, "sign" => sign).increment(1);
    let (predicted_ms, after_ms) = (choice.wait.as_millis() as u64, after.as_millis() as u64);
    tracing::info!(upstream = %choice.id, sign, predicted_ms, after_ms, "strain in a ramp; window halved");
}

fn log_change(upstream: &UpstreamId, change: RampChange) {
    match change {
        RampChange::Began { cause } => {
            tracing::info!(%upstream, %cause, "ramp of an upstream began");
        }
        RampChange::Ended { window, took, is_late } => {
            let took_ms = took.as_millis() as u64;
            tracing::info!(%upstream, window, took_ms, is_late, "ramp of an upstream ended");
        }
    }
}

/// Runs rounds and sends their messages for as long as the process runs.
pub(super) async fn run(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    let mut rounds = interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
        if !entry.settings.borrow().has_pressure {
            // Settings may change while a ramp is open.
            entry.ramps.take();
            continue;
        }
        for (to, notice) in entry.ramp_round() {
            load_exchange::send_ramp_notice(&socket, notice, to);
        }
    }
}

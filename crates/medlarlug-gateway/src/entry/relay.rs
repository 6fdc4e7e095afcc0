//! Passes a stream on to its caller, and resumes it at another upstream when its upstream breaks
//! off.
//!
//! Only complete events are passed on, so that another upstream can resume right after the last
//! one. The answer ends properly only if an upstream has ended the stream; in every other case the
//! connection is cut, so that a caller never mistakes a part for the whole.

use std::rc::Rc;

use bytes::Bytes;
use medlarlug::{
    protocol::events,
    transport::{body::Part, memory::AnswerMemory},
};
use medlarlug_core::gateway::{health::UpstreamOutcome, prefill_queue::PrefillDecision};
use rand::RngExt;
use tokio::{
    sync::mpsc::Sender,
    time::{sleep, timeout},
};

use super::{
    Entry,
    attempt::{self, EventStream, Outcome, Piece},
    brittle::SLOT_POLL_INTERVAL,
    call::Call,
    choice::Hop,
    limited::PERMIT_POLL_INTERVAL,
    plan::Plan,
    serve::{ADMISSION_POLL_INTERVAL, CallOutcome},
};

/// Takes the parts of the answer for the caller.
pub(super) struct Caller {
    pub(super) parts: Sender<Part>,
    /// Counts the parts until they are written.
    pub(super) memory: AnswerMemory,
}

impl Caller {
    /// Passes on events. Returns false if the caller has disconnected, or was cut because it does not
    /// read.
    async fn send(&self, events: Bytes) -> bool {
        match self.memory.hold(events).await {
            Some(events) => self.parts.send(Part::Chunk(events)).await.is_ok(),
            None => false,
        }
    }
}

/// Why passing on the stream of one upstream stopped.
enum Step {
    /// The stream is complete.
    Done,
    /// The caller has disconnected.
    Left,
    /// The time of the call is up.
    Late,
    /// The upstream broke the stream off or stopped sending.
    Broken,
}

/// Passes a stream on until it ends, its caller disconnects or the time is up.
pub(super) async fn run(
    entry: Rc<Entry>,
    call: Call,
    mut plan: Plan,
    stream: Box<EventStream>,
    caller: Caller,
) {
    let mut stream = stream;
    loop {
        let step = pass(&entry, &call, &mut plan, &mut stream, &caller).await;
        match step {
            Step::Done => {
                stream.finish(&entry);
                let _ = caller.parts.send(Part::End).await;
                return plan.record_outcome(&entry, &call, CallOutcome::Answered);
            }
            Step::Left => return plan.record_outcome(&entry, &call, CallOutcome::Left),
            Step::Late => return plan.record_outcome(&entry, &call, CallOutcome::TimedOut),
            Step::Broken => {}
        }
        attempt::record_health(&entry, stream.hop(), UpstreamOutcome::Broken);
        plan.count_broken(stream.hop());
        // Closes the connection before another upstream resumes the stream.
        drop(stream);
        match resume(&entry, &call, &mut plan, &caller.parts).await {
            Some(next) => stream = next,
            None => return plan.record_outcome(&entry, &call, CallOutcome::BrokenOff),
        }
    }
}

/// Passes on what one upstream sends. A stream that pauses for long is left to its upstream as long as
/// no other hop can resume it.
async fn pass(
    entry: &Rc<Entry>,
    call: &Call,
    plan: &mut Plan,
    stream: &mut EventStream,
    caller: &Caller,
) -> Step {
    let idle_timeout = plan.idle_timeout(stream.hop());
    let mut last_content = entry.now();
    loop {
        let now = entry.now();
        let left = plan.answer_by - now;
        if left.is_zero() {
            return Step::Late;
        }
        let limit = idle_timeout.map_or(left, |limit| ((last_content + limit) - now).min(left));
        let piece = tokio::select! {
            piece = timeout(limit, stream.next()) => piece,
            () = caller.parts.closed() => return Step::Left,
        };
        let events = match piece {
            Ok(Piece::Events(events)) => events,
            Ok(Piece::End) => return Step::Done,
            Ok(Piece::Broken) => return Step::Broken,
            Err(_) if entry.now() >= plan.answer_by => return Step::Late,
            Err(_) if plan.may_resume(entry, call) => {
                stream.abandon();
                return Step::Broken;
            }
            Err(_) => {
                tracing::info!(request = %call.id, after = plan.last_event, "stream pauses; no other hop can resume it");
                attempt::record_health(entry, stream.hop(), UpstreamOutcome::Broken);
                last_content = entry.now();
                continue;
            }
        };
        plan.record_event(entry, call, stream.software());
        let has_content = events::have_content(&events);
        if let Some(last) = events::last_id(&events) {
            plan.last_event = Some(last);
        }
        let sent = tokio::select! {
            sent = caller.send(events) => sent,
            () = caller.parts.closed() => false,
            () = sleep(left) => return Step::Late,
        };
        if !sent {
            return Step::Left;
        }
        if has_content {
            last_content = entry.now();
        }
    }
}

/// Chooses the next hop. Waits for a permit if only upstreams with a rate limit are left, for a slot if
/// only brittle ones are, and for room where engines crash when their memory is exceeded.
async fn permitted_hop(entry: &Rc<Entry>, call: &Call, plan: &mut Plan) -> Option<Hop> {
    loop {
        plan.obey_newest_homes(entry, call);
        if entry.lacks_confirmation(plan) {
            entry.record_unconfirmed(call, plan);
            return None;
        }
        let hop = plan.next_hop(entry, call);
        if plan.waits_for_permit(entry, hop.as_ref()) {
            sleep(PERMIT_POLL_INTERVAL).await;
            continue;
        }
        if plan.waits_for_slot(entry, hop.as_ref()) {
            sleep(SLOT_POLL_INTERVAL).await;
            continue;
        }
        if !entry.has_pressure() {
            return hop;
        }
        match plan.admission(entry, call, hop.as_ref()) {
            PrefillDecision::Send => return hop,
            PrefillDecision::Refuse => return None,
            PrefillDecision::Wait if entry.now() >= plan.answer_by => return None,
            PrefillDecision::Wait => {
                let share = rand::rng().random_range(0.5..1.5);
                sleep(ADMISSION_POLL_INTERVAL.mul_f64(share)).await;
            }
        }
    }
}

/// Resumes the stream at another upstream if the route allows it; `None` if that is not possible.
async fn resume(
    entry: &Rc<Entry>,
    call: &Call,
    plan: &mut Plan,
    sender: &Sender<Part>,
) -> Option<Box<EventStream>> {
    while plan.route.kind.is_retryable() && plan.last_event.is_some() {
        let hop = tokio::select! {
            hop = permitted_hop(entry, call, plan) => hop?,
            () = sender.closed() => return None,
        };
        if !plan.may_send(entry, call) {
            return None;
        }
        let outcome = tokio::select! {
            outcome = plan.attempt(entry, call, &hop) => outcome,
            () = sender.closed() => return None,
        };
        tracing::info!(request = %call.id, after = plan.last_event, "resuming stream at another hop");
        match outcome {
            Outcome::Stream(stream) => return Some(stream),
            Outcome::Answer(_) | Outcome::NotRun(_) | Outcome::Unknown(_) => {}
        }
    }
    None
}

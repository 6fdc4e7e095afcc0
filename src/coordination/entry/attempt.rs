//! The owner's side of the protocol between a booking and its home group.
//!
//! The protocol is implemented by [`medlarlug_core::home::attempt::Attempt`]; the task in this
//! module sends its proposals, and sends those again that got no reply. The task outlives the answer
//! to the caller: it ends when the home group has recorded how the booking ended. So an outcome is
//! not lost if it can't be recorded at once because the group has no leader or the team's home is
//! moving.

use std::{rc::Rc, time::Duration};

use medlarlug_core::{
    home::{
        Action, Begin, Reply,
        attempt::{Answer, Attempt, Effect, Event, NotRun},
    },
    ids::RegionId,
};
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::{self, JoinSet},
    time::{sleep, timeout},
};

use crate::coordination::{calls, entry::Entry};

/// Time for the reply to one proposal; after it the proposal is sent again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before a proposal that got no conclusive reply is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// An instruction from the attempt to the task of its booking.
#[derive(Debug)]
pub enum Step {
    /// Send the call now, and only once.
    Send,
    /// Answer the caller without sending the call.
    Answer(Answer),
}

/// The connection from the task of a booking to its running attempt.
///
/// Dropping it means that the caller's deadline has passed and that no more events will follow.
pub struct AttemptHandle {
    events: UnboundedSender<Event>,
    steps: UnboundedReceiver<Step>,
}

impl AttemptHandle {
    /// Reports an event to the attempt.
    pub fn send_event(&self, event: Event) {
        // If the receiver is closed, the attempt has ended and needs no more events.
        let _ = self.events.send(event);
    }

    /// Waits for the next step. If none arrives within `limit`, reports the deadline to the attempt
    /// and returns the answer that it gives then.
    pub async fn next(&mut self, limit: Duration) -> Step {
        if let Ok(Some(step)) = timeout(limit, self.steps.recv()).await {
            return step;
        }
        if let Ok(step) = self.steps.try_recv() {
            return step;
        }
        self.send_event(Event::Deadline);
        let fallback = Step::Answer(Answer::NotRun(NotRun::HomeUnavailable));
        self.steps.recv().await.unwrap_or(fallback)
    }
}

/// Starts an attempt and proposes `begin` to the home group of the region `home`.
pub fn start(entry: &Rc<Entry>, home: RegionId, begin: Begin) -> AttemptHandle {
    let (events, event_receiver) = unbounded_channel();
    let (step_sender, steps) = unbounded_channel();
    let mut effects = Vec::new();
    let attempt = Attempt::new(home, begin, &mut effects);
    let driver =
        AttemptDriver { entry: entry.clone(), attempt, proposals: JoinSet::new(), step_sender };
    task::spawn_local(driver.run(event_receiver, effects));
    AttemptHandle { events, steps }
}

/// The reply to the proposal that was made in `step`.
struct ProposalReply {
    step: u32,
    reply: Reply,
}

struct AttemptDriver {
    entry: Rc<Entry>,
    attempt: Attempt,
    proposals: JoinSet<Option<ProposalReply>>,
    step_sender: UnboundedSender<Step>,
}

impl AttemptDriver {
    async fn run(mut self, mut events: UnboundedReceiver<Event>, mut effects: Vec<Effect>) {
        let mut is_handle_open = true;
        loop {
            effects.drain(..).for_each(|it| self.carry_out(it));
            if self.attempt.is_settled() || (self.attempt.awaits_late_answer() && !is_handle_open) {
                return;
            }
            // Events of the booking come first, so that no call is sent after its deadline.
            let event = tokio::select! {
                biased;
                event = events.recv(), if is_handle_open => {
                    is_handle_open = event.is_some();
                    event.unwrap_or(Event::Deadline)
                }
                Some(replied) = self.proposals.join_next() => match replied {
                    Ok(Some(ProposalReply { step, reply })) => Event::Replied { step, reply },
                    _ => continue,
                },
                () = sleep(RETRY_INTERVAL), if self.proposals.is_empty() => Event::Tick,
            };
            self.attempt.handle(event, &mut effects);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Propose { step, home, action } => {
                let entry = self.entry.clone();
                self.proposals.spawn_local(propose(entry, step, home, action));
            }
            // A closed channel means that the booking has ended; it needs no more steps.
            Effect::Send => drop(self.step_sender.send(Step::Send)),
            Effect::Answer(answer) => drop(self.step_sender.send(Step::Answer(answer))),
        }
    }
}

async fn propose(
    entry: Rc<Entry>,
    step: u32,
    home: RegionId,
    action: Action,
) -> Option<ProposalReply> {
    match calls::submit_home_action(&entry.node, &home, action, PROPOSAL_TIMEOUT).await {
        Ok(reply) => Some(ProposalReply { step, reply }),
        Err(error) => {
            tracing::debug!(%error, "no reply to the proposal of a booking");
            None
        }
    }
}

//! Drives the owner's side of a booking against the home group.
//!
//! The rules are those of [`medlarlug_core::home::attempt::Attempt`]; this task carries its
//! proposals out, and repeats what got no reply. It lives on after the caller has its answer,
//! until the home group knows how the booking ended: an outcome that could not be recorded at
//! once, because the group had no leader or the team's home was moving, is not lost.

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

/// Time that one proposal has to get its reply before it is made again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause before a proposal without a useful reply is made again.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// What the attempt asks its booking to do.
#[derive(Debug)]
pub enum Step {
    /// Send the call, now and once.
    Send,
    /// Answer the caller.
    Answer(Answer),
}

/// The booking's end of a running attempt.
///
/// Dropping it says that the caller's deadline has passed and that nothing more will be told.
pub struct Handle {
    events: UnboundedSender<Event>,
    steps: UnboundedReceiver<Step>,
}

impl Handle {
    /// Tells the attempt what happened.
    pub fn send_event(&self, event: Event) {
        // The attempt has ended when nobody listens; it needs no event any more.
        let _ = self.events.send(event);
    }

    /// The next step; when none comes within `limit`, the answer at the deadline.
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

/// Starts an attempt at the home group of `home`.
pub fn start(entry: &Rc<Entry>, home: RegionId, begin: Begin) -> Handle {
    let (events, event_receiver) = unbounded_channel();
    let (step_sender, steps) = unbounded_channel();
    let mut effects = Vec::new();
    let attempt = Attempt::new(home, begin, &mut effects);
    let driver = Driver { entry: entry.clone(), attempt, proposals: JoinSet::new(), step_sender };
    task::spawn_local(driver.run(event_receiver, effects));
    Handle { events, steps }
}

/// A proposal that got its reply.
struct Replied {
    step: u32,
    reply: Reply,
}

struct Driver {
    entry: Rc<Entry>,
    attempt: Attempt,
    proposals: JoinSet<Option<Replied>>,
    step_sender: UnboundedSender<Step>,
}

impl Driver {
    async fn run(mut self, mut events: UnboundedReceiver<Event>, mut effects: Vec<Effect>) {
        let mut is_handle_open = true;
        loop {
            effects.drain(..).for_each(|it| self.carry_out(it));
            if self.attempt.is_settled() || (self.attempt.awaits_late_answer() && !is_handle_open) {
                return;
            }
            // What the booking tells goes first, so that no call is sent after its deadline.
            let event = tokio::select! {
                biased;
                event = events.recv(), if is_handle_open => {
                    is_handle_open = event.is_some();
                    event.unwrap_or(Event::Deadline)
                }
                Some(replied) = self.proposals.join_next() => match replied {
                    Ok(Some(Replied { step, reply })) => Event::Replied { step, reply },
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
            // A booking that has ended takes no step.
            Effect::Send => drop(self.step_sender.send(Step::Send)),
            Effect::Answer(answer) => drop(self.step_sender.send(Step::Answer(answer))),
        }
    }
}

async fn propose(entry: Rc<Entry>, step: u32, home: RegionId, action: Action) -> Option<Replied> {
    match calls::submit_home_action(&entry.node, &home, action, PROPOSAL_TIMEOUT).await {
        Ok(reply) => Some(Replied { step, reply }),
        Err(error) => {
            tracing::debug!(%error, "a booking's proposal had no reply");
            None
        }
    }
}

//! One attempt of an entry instance to carry out a booking.
//!
//! An [`Attempt`] runs in the process that owns the booking. It proposes the intent to the home group,
//! sends the call once, and records the outcome. Messages may be late, duplicated or lost: the call is
//! sent at most once, on the first [`BeginReply::Started`], and never after the attempt has timed out.
//!
//! The caller is answered when the outcome is recorded, or at its deadline. The attempt continues until
//! the home group has recorded how it ended; see [`Attempt::is_settled`].

use crate::{
    home::{
        booking::RecordedAnswer,
        command::{Action, Begin, BeginReply, Reply},
    },
    ids::{RegionId, RequestId, Revision},
};

/// Input to an [`Attempt`].
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The home group replied to a proposal of this attempt.
    Replied {
        /// Step of the proposal; replies to earlier steps are ignored.
        step: u32,
        /// Reply of the home group.
        reply: Reply,
    },
    /// The upstream returned an answer to the call.
    Answered(RecordedAnswer),
    /// The call was sent, and its answer can no longer be received.
    AnswerLost,
    /// No byte of the call was sent, and none will be.
    NotSent,
    /// The caller's deadline has passed.
    Deadline,
    /// Periodic timer; an unanswered proposal is sent again.
    Tick,
}

/// Action that an [`Attempt`] requests from the embedding process.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Propose an action to the home group of a region.
    Propose {
        /// Step of the attempt; [`Event::Replied`] has to carry it.
        step: u32,
        /// Region of the home group.
        home: RegionId,
        /// Action to propose.
        action: Action,
    },
    /// Send the call to the upstream immediately, and only once.
    Send,
    /// Answer the caller; emitted at most once.
    Answer(Answer),
}

/// Answer to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Answer of the upstream, to this request or to an earlier one with the same key.
    Done(RecordedAnswer),
    /// The call was not run for this request.
    NotRun(NotRun),
    /// The call may have run; it is not sent again.
    Unknown,
}

/// Reason for which the call was not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotRun {
    /// Another request with this key is in progress.
    InProgress(RequestId),
    /// The key was already used for a call with another content.
    KeyReused(RequestId),
    /// The team's home is this other region; this instance's configuration is older than the home group's.
    NotHome(RegionId),
    /// This instance's configuration is older than this revision, at which the home group was founded
    /// again.
    StaleConfiguration(Revision),
    /// The team's new home group has not yet received the team's bookings.
    NotAdopted,
    /// The home group has reached its limit of stored keys.
    Full,
    /// The home group did not answer in time, or is not founded yet.
    HomeUnavailable,
    /// The upstream could not be reached.
    UpstreamUnavailable,
    /// A newer incarnation of this instance is running.
    Replaced,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// The intent is proposed to the home group.
    Proposed,
    /// The call is sent, and no answer has been received.
    Sent,
    /// The answer is being recorded.
    Recording(RecordedAnswer),
    /// The unknown outcome is being recorded; the answer may still arrive.
    RecordingUnknown,
    /// The unknown outcome is recorded; the answer may still arrive.
    AwaitingLateAnswer,
    /// The deadline passed before the intent was confirmed; the call is never sent.
    TimedOut,
    /// The intent was recorded but the call was not sent; the booking is being abandoned.
    Abandoning,
    /// The home group has recorded the end of the attempt, or refused to start it.
    Settled,
}

/// One attempt to carry out a booking.
///
/// ```
/// use medlarlug_core::{
///     fingerprint::Fingerprint,
///     home::{
///         Begin, BeginReply, Owner, Reply,
///         attempt::{Attempt, Effect, Event},
///     },
///     ids::{Incarnation, Revision},
/// };
///
/// let owner = Owner { instance: "entry-1".parse().unwrap(), incarnation: Incarnation(1) };
/// let begin = Begin {
///     team: "loft-3".parse().unwrap(),
///     key: "boat-9".parse().unwrap(),
///     content: Fingerprint::of(b"repair"),
///     request: "kochi.entry-1.1.1".parse().unwrap(),
///     owner,
///     revision: Revision(1),
///     epoch: Revision(1),
///     moved: false,
///     queryable_service: None,
/// };
/// let mut out = Vec::new();
/// let mut attempt = Attempt::new("kochi".parse().unwrap(), begin, &mut out);
/// assert!(matches!(out.pop(), Some(Effect::Propose { .. })));
///
/// let reply = Reply::Begin(BeginReply::Started);
/// attempt.handle(Event::Replied { step: 0, reply }, &mut out);
/// assert_eq!(out, [Effect::Send]);
/// ```
#[derive(Debug, Clone)]
pub struct Attempt {
    home: RegionId,
    begin: Begin,
    state: State,
    step: u32,
    is_answered: bool,
}

impl Attempt {
    /// Creates an attempt that proposes `begin` to the home group of `home`.
    pub fn new(home: RegionId, begin: Begin, out: &mut Vec<Effect>) -> Attempt {
        let attempt = Attempt { home, begin, state: State::Proposed, step: 0, is_answered: false };
        attempt.propose(out);
        attempt
    }

    /// Whether the attempt needs no further events and can be dropped.
    pub fn is_settled(&self) -> bool {
        self.state == State::Settled
    }

    /// Whether the unknown outcome is recorded and only a late answer could still change it.
    pub fn awaits_late_answer(&self) -> bool {
        self.state == State::AwaitingLateAnswer
    }

    /// Processes an event and appends the resulting effects to `out`.
    pub fn handle(&mut self, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Replied { step, reply } if step == self.step => self.on_reply(reply, out),
            Event::Replied { .. } => {}
            Event::Answered(answer) => self.on_answer(answer, out),
            Event::AnswerLost => self.on_answer_lost(out),
            Event::NotSent => self.on_not_sent(out),
            Event::Deadline => self.on_deadline(out),
            Event::Tick => self.propose(out),
        }
    }

    fn on_reply(&mut self, reply: Reply, out: &mut Vec<Effect>) {
        match reply {
            Reply::Begin(reply) => self.on_begin_reply(reply, out),
            Reply::Moved(region) => self.on_moved(region, out),
            // If the group no longer has the booking, there is nothing left to record.
            Reply::Ok | Reply::NoSuchBooking => self.on_recorded(out),
            _ => {}
        }
    }

    /// Enters a state that requires another proposal to the home group.
    fn advance(&mut self, state: State, out: &mut Vec<Effect>) {
        self.state = state;
        self.step += 1;
        self.propose(out);
    }

    fn on_begin_reply(&mut self, reply: BeginReply, out: &mut Vec<Effect>) {
        match (&self.state, reply) {
            (State::Proposed, BeginReply::Started) => {
                self.state = State::Sent;
                out.push(Effect::Send);
            }
            (State::TimedOut, BeginReply::Started) => {
                self.advance(State::Abandoning, out);
            }
            // The intent may have been transferred with the team's other bookings.
            (State::TimedOut, BeginReply::NotHome(region)) => {
                self.home = region;
                self.advance(State::Abandoning, out);
            }
            // The group may be founded before the deadline.
            (State::Proposed | State::TimedOut, BeginReply::NotFounded) => {}
            (State::Proposed | State::TimedOut, reply) => {
                self.state = State::Settled;
                self.answer(answer_for(reply), out);
            }
            _ => {}
        }
    }

    fn on_moved(&mut self, region: RegionId, out: &mut Vec<Effect>) {
        if !matches!(self.state, State::Proposed | State::TimedOut | State::Settled)
            && self.home != region
        {
            self.home = region;
            self.propose(out);
        }
    }

    fn on_recorded(&mut self, out: &mut Vec<Effect>) {
        match std::mem::replace(&mut self.state, State::Settled) {
            State::Recording(answer) => self.answer(Answer::Done(answer), out),
            State::RecordingUnknown => self.state = State::AwaitingLateAnswer,
            State::Abandoning | State::Settled => {}
            state => self.state = state,
        }
    }

    fn on_answer(&mut self, answer: RecordedAnswer, out: &mut Vec<Effect>) {
        if matches!(self.state, State::Sent | State::RecordingUnknown | State::AwaitingLateAnswer) {
            self.advance(State::Recording(answer), out);
        }
    }

    fn on_answer_lost(&mut self, out: &mut Vec<Effect>) {
        if self.state == State::Sent {
            self.advance(State::RecordingUnknown, out);
            self.answer(Answer::Unknown, out);
        }
    }

    fn on_not_sent(&mut self, out: &mut Vec<Effect>) {
        if self.state == State::Sent {
            self.advance(State::Abandoning, out);
            self.answer(Answer::NotRun(NotRun::UpstreamUnavailable), out);
        }
    }

    fn on_deadline(&mut self, out: &mut Vec<Effect>) {
        match &self.state {
            State::Proposed => {
                self.state = State::TimedOut;
                self.answer(Answer::NotRun(NotRun::HomeUnavailable), out);
            }
            State::Sent => self.on_answer_lost(out),
            State::Recording(answer) => {
                let answer = Answer::Done(answer.clone());
                self.answer(answer, out);
            }
            _ => {}
        }
    }

    fn answer(&mut self, answer: Answer, out: &mut Vec<Effect>) {
        if !self.is_answered {
            self.is_answered = true;
            out.push(Effect::Answer(answer));
        }
    }

    /// Proposes the action that the current state requires, if any.
    fn propose(&self, out: &mut Vec<Effect>) {
        let Begin { team, key, request, .. } = self.begin.clone();
        let action = match &self.state {
            State::Proposed | State::TimedOut => Action::Begin(self.begin.clone()),
            State::Recording(answer) => {
                Action::Finish { team, key, request, answer: answer.clone() }
            }
            State::RecordingUnknown => Action::MarkUnknown { team, key, request },
            State::Abandoning => Action::Abandon { team, key, request },
            State::Sent | State::AwaitingLateAnswer | State::Settled => return,
        };
        out.push(Effect::Propose { step: self.step, home: self.home.clone(), action });
    }
}

fn answer_for(reply: BeginReply) -> Answer {
    let reason = match reply {
        BeginReply::Done { answer, .. } => return Answer::Done(answer),
        BeginReply::Unknown(_) => return Answer::Unknown,
        BeginReply::InProgress(request) => NotRun::InProgress(request),
        BeginReply::KeyReused(request) => NotRun::KeyReused(request),
        BeginReply::NotHome(region) => NotRun::NotHome(region),
        BeginReply::StaleConfiguration(revision) => NotRun::StaleConfiguration(revision),
        BeginReply::NotAdopted => NotRun::NotAdopted,
        BeginReply::Full => NotRun::Full,
        BeginReply::StaleOwner(_) => NotRun::Replaced,
        BeginReply::Started | BeginReply::Abandoned | BeginReply::NotFounded => {
            NotRun::HomeUnavailable
        }
    };
    Answer::NotRun(reason)
}

//! One attempt of an entry instance to carry out a booking.
//!
//! An [`Attempt`] is the owner's side of a booking: it proposes the intent to the home group,
//! sends the call once, and records the outcome. It may be driven by messages that come late,
//! twice or never: the call is sent at most once, on the first [`BeginReply::Started`], and never
//! after the attempt has been given up.
//!
//! The caller gets its answer once the outcome is recorded, or at the deadline. The attempt lives
//! on until the home group knows how it ended; see [`Attempt::is_settled`].

use crate::{
    home::{
        booking::RecordedAnswer,
        command::{Action, Begin, BeginReply, Reply},
    },
    ids::{RegionId, RequestId, Revision},
};

/// An event for an [`Attempt`].
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The home group replied to a proposal of this attempt.
    Replied {
        /// Step of the proposal.
        step: u32,
        /// The reply.
        reply: Reply,
    },
    /// The upstream answered the call.
    Answered(RecordedAnswer),
    /// The call was sent and its answer will not come any more.
    AnswerLost,
    /// Not one byte of the call has left, and none will.
    NotSent,
    /// The caller's deadline has passed.
    Deadline,
    /// Time has passed; unanswered proposals are made again.
    Tick,
}

/// What an [`Attempt`] wants to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Propose an action to the home group of a region.
    Propose {
        /// Step of the attempt; the reply has to carry it.
        step: u32,
        /// The region.
        home: RegionId,
        /// The action.
        action: Action,
    },
    /// Send the call to the upstream, now and once.
    Send,
    /// Answer the caller.
    Answer(Answer),
}

/// The answer to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The upstream's answer, now or when the booking was first made.
    Done(RecordedAnswer),
    /// Nothing was run for this request.
    NotRun(NotRun),
    /// The booking may have run; it is not sent again.
    Unknown,
}

/// Why nothing was run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotRun {
    /// Another request with this key is under way.
    InProgress(RequestId),
    /// The key was used for another content.
    KeyReused(RequestId),
    /// The team's home is this region; the caller's configuration is older than the home group's.
    NotHome(RegionId),
    /// This instance's configuration is older than this revision, at which the home group was
    /// founded anew.
    StaleConfiguration(Revision),
    /// The team's bookings have not arrived in its new home yet.
    NotAdopted,
    /// The home group keeps as many keys as it can.
    Full,
    /// The home group did not answer in time, or has no state yet.
    HomeUnavailable,
    /// The upstream could not be reached.
    UpstreamUnavailable,
    /// This instance has been replaced.
    Replaced,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// The intent is proposed.
    Proposed,
    /// The call is sent; its answer is awaited.
    Sent,
    /// The answer came and is being recorded.
    Recording(RecordedAnswer),
    /// The answer was lost and this is being recorded; it may still come.
    Losing,
    /// The loss is recorded; the answer may still come.
    Lost,
    /// Given up before the intent was known to be recorded; the call is never sent.
    GivenUp,
    /// Recorded, and never sent; the intent is being taken back.
    Abandoning,
    /// The home group knows the end.
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
    /// Begins an attempt at the home group of `home`.
    pub fn new(home: RegionId, begin: Begin, out: &mut Vec<Effect>) -> Attempt {
        let attempt = Attempt { home, begin, state: State::Proposed, step: 0, is_answered: false };
        attempt.propose(out);
        attempt
    }

    /// Whether the attempt needs no further event; it can be dropped.
    pub fn is_settled(&self) -> bool {
        self.state == State::Settled
    }

    /// Whether the call was sent and only a late answer is awaited.
    pub fn awaits_late_answer(&self) -> bool {
        self.state == State::Lost
    }

    /// Takes an event in and appends what is to be done to `out`.
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
            // A group that no longer knows the booking has nothing to record.
            Reply::Ok | Reply::NoSuchBooking => self.on_recorded(out),
            _ => {}
        }
    }

    /// Goes on to a state in which the home group has to be told something else.
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
            (State::GivenUp, BeginReply::Started) => {
                self.advance(State::Abandoning, out);
            }
            // The intent may have been handed over with the team's other bookings.
            (State::GivenUp, BeginReply::NotHome(region)) => {
                self.home = region;
                self.advance(State::Abandoning, out);
            }
            // The group may become able to answer before the deadline.
            (State::Proposed | State::GivenUp, BeginReply::NotFounded) => {}
            (State::Proposed | State::GivenUp, reply) => {
                self.state = State::Settled;
                self.answer(answer_of(reply), out);
            }
            _ => {}
        }
    }

    fn on_moved(&mut self, region: RegionId, out: &mut Vec<Effect>) {
        if !matches!(self.state, State::Proposed | State::GivenUp | State::Settled)
            && self.home != region
        {
            self.home = region;
            self.propose(out);
        }
    }

    fn on_recorded(&mut self, out: &mut Vec<Effect>) {
        match std::mem::replace(&mut self.state, State::Settled) {
            State::Recording(answer) => self.answer(Answer::Done(answer), out),
            State::Losing => self.state = State::Lost,
            State::Abandoning | State::Settled => {}
            state => self.state = state,
        }
    }

    fn on_answer(&mut self, answer: RecordedAnswer, out: &mut Vec<Effect>) {
        if matches!(self.state, State::Sent | State::Losing | State::Lost) {
            self.advance(State::Recording(answer), out);
        }
    }

    fn on_answer_lost(&mut self, out: &mut Vec<Effect>) {
        if self.state == State::Sent {
            self.advance(State::Losing, out);
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
                self.state = State::GivenUp;
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

    /// Proposes what the home group has to be told in this state.
    fn propose(&self, out: &mut Vec<Effect>) {
        let Begin { team, key, request, .. } = self.begin.clone();
        let action = match &self.state {
            State::Proposed | State::GivenUp => Action::Begin(self.begin.clone()),
            State::Recording(answer) => {
                Action::Finish { team, key, request, answer: answer.clone() }
            }
            State::Losing => Action::MarkUnknown { team, key, request },
            State::Abandoning => Action::Abandon { team, key, request },
            State::Sent | State::Lost | State::Settled => return,
        };
        out.push(Effect::Propose { step: self.step, home: self.home.clone(), action });
    }
}

fn answer_of(reply: BeginReply) -> Answer {
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

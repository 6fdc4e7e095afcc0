//! An instance's copy of the configuration.
//!
//! A [`Follower`] holds the newest revision that its instance has heard of; the revision only
//! rises. It asks one source after another, keepers first and then peers, whether its revision is
//! still the newest, and takes in what keepers push.
//!
//! A source answers with a [`Confirmation`]: "this was the newest revision, `age` before I
//! answered". The follower counts the age from the moment it *asked*, so an answer that was long
//! under way does not count as fresh. While the last confirmation is younger than the
//! configuration lease, requests may cross regions; afterwards the instance serves its own callers
//! only, because a stricter residency rule may exist that it has not heard of.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    configuration_group::Change,
    ids::{InstanceId, Revision},
    release::Configuration,
    time::Time,
};

/// Tells that `revision` was the newest one `age` before the message was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The newest revision.
    pub revision: Revision,
    /// Time since it was known to be the newest.
    pub age: Duration,
}

/// What brings a follower to a newer revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The whole configuration.
    Full(Configuration),
    /// The changes that follow `base`, in order.
    Changes {
        /// Revision that the first change applies to.
        base: Revision,
        /// The changes, one a revision.
        changes: Vec<Change>,
    },
}

/// Asks a source for what is newer than `revision`; sent as [`Effect::Ask`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Names the question within the asking process.
    pub token: u64,
    /// Revision of the asking instance; 0 if it knows none.
    pub revision: Revision,
    /// Whether the whole configuration is needed, as changes could not be applied.
    pub full: bool,
}

/// The answer of a source to an [`Ask`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Token of the question.
    pub token: u64,
    /// What the asking instance lacks, if the source has it.
    pub update: Option<Update>,
    /// What the source knows about the newest revision, if its own knowledge is fresh.
    pub confirmation: Option<Confirmation>,
}

/// An event for a [`Follower`].
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The keepers and peers that may be asked, keepers first.
    Sources(Vec<InstanceId>),
    /// A keeper or peer sent an update unasked.
    Push(Update),
    /// A source answered.
    Answered(Answer),
    /// A keeper on this instance confirmed its revision with the group's majority.
    Confirmed(Confirmation),
    /// Time has passed.
    Tick,
}

/// What a [`Follower`] wants to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Ask a source.
    Ask {
        /// The source.
        source: InstanceId,
        /// The question.
        ask: Ask,
    },
    /// The configuration has a new revision: save it where there is a disk, and use it.
    Changed(Revision),
}

/// Durations of a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time between two questions.
    pub interval: Duration,
    /// Longest age of a confirmation with which requests may cross regions.
    pub lease: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { interval: Duration::from_secs(1), lease: Duration::from_secs(8) }
    }
}

/// Questions whose answers are still awaited.
const MAX_OPEN_ASKS: usize = 16;

/// An instance's copy of the configuration.
///
/// ```
/// use medlarlug_core::{follower::{Follower, Timing}, time::Time};
///
/// let follower = Follower::new(Timing::default(), None);
/// assert!(follower.configuration().is_none());
/// assert!(!follower.may_cross_regions(Time::ZERO));
/// ```
#[derive(Debug, Clone)]
pub struct Follower {
    timing: Timing,
    current: Option<Configuration>,
    confirmed: Option<Time>,
    sources: Vec<InstanceId>,
    turn: usize,
    token: u64,
    open: Vec<(u64, Time)>,
    next_ask: Time,
    needs_full: bool,
}

impl Follower {
    /// A follower that begins with `saved`, the configuration read from disk, if any.
    pub fn new(timing: Timing, saved: Option<Configuration>) -> Follower {
        Follower {
            timing,
            current: saved,
            confirmed: None,
            sources: Vec::new(),
            turn: 0,
            token: 0,
            open: Vec::new(),
            next_ask: Time::ZERO,
            needs_full: false,
        }
    }

    /// The newest configuration that this instance knows; without one it serves nothing.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.current.as_ref()
    }

    /// Its revision, 0 if none is known.
    pub fn revision(&self) -> Revision {
        self.current.as_ref().map_or(Revision(0), |it| it.revision)
    }

    /// Age of the last confirmation.
    pub fn confirmed_age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now - at)
    }

    /// Whether requests may be sent to another region.
    pub fn may_cross_regions(&self, now: Time) -> bool {
        self.current.is_some() && self.confirmed_age(now).is_some_and(|age| age < self.timing.lease)
    }

    /// Answers the question of another instance out of this copy.
    pub fn answer(&self, now: Time, ask: Ask) -> Answer {
        let newer = self.current.as_ref().filter(|it| it.revision > ask.revision);
        let confirmation = self
            .confirmed_age(now)
            .filter(|age| *age < self.timing.lease)
            .map(|age| Confirmation { revision: self.revision(), age });
        Answer { token: ask.token, update: newer.cloned().map(Update::Full), confirmation }
    }

    /// Takes an event in at `now` and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Sources(sources) => self.sources = sources,
            Event::Push(update) => self.take(update, out),
            Event::Answered(answer) => self.on_answer(now, answer, out),
            Event::Confirmed(confirmation) => self.confirm(now, confirmation),
            Event::Tick => {}
        }
        if now >= self.next_ask {
            self.ask(now, out);
        }
    }

    fn ask(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(source) = self.sources.get(self.turn % self.sources.len().max(1)) else {
            return;
        };
        let source = source.clone();
        self.turn = self.turn.wrapping_add(1);
        self.token += 1;
        self.next_ask = now + self.timing.interval;
        if self.open.len() == MAX_OPEN_ASKS {
            self.open.remove(0);
        }
        self.open.push((self.token, now));
        let ask = Ask { token: self.token, revision: self.revision(), full: self.needs_full };
        out.push(Effect::Ask { source, ask });
    }

    fn on_answer(&mut self, now: Time, answer: Answer, out: &mut Vec<Effect>) {
        let Ok(found) = self.open.binary_search_by_key(&answer.token, |(token, _)| *token) else {
            return;
        };
        let (_, asked) = self.open.remove(found);
        if let Some(update) = answer.update {
            self.take(update, out);
        }
        if let Some(confirmation) = answer.confirmation {
            self.confirm(asked.min(now), confirmation);
        }
    }

    fn confirm(&mut self, heard: Time, confirmation: Confirmation) {
        if self.current.is_none() || self.revision() < confirmation.revision {
            return;
        }
        if confirmation.age > heard - Time::ZERO {
            return;
        }
        let at = heard.saturating_sub(confirmation.age);
        self.confirmed = Some(self.confirmed.map_or(at, |earlier| earlier.max(at)));
    }

    fn take(&mut self, update: Update, out: &mut Vec<Effect>) {
        let before = self.current.as_ref().map(|it| it.revision);
        match update {
            Update::Full(next) => {
                if before.is_none_or(|revision| next.revision > revision) {
                    self.current = Some(next);
                    self.needs_full = false;
                }
            }
            Update::Changes { base, changes } => self.take_changes(base, &changes),
        }
        let after = self.current.as_ref().map(|it| it.revision);
        if let Some(revision) = after.filter(|_| after != before) {
            out.push(Effect::Changed(revision));
        }
    }

    fn take_changes(&mut self, base: Revision, changes: &[Change]) {
        let revision = self.revision();
        let skipped = usize::try_from(revision.0.saturating_sub(base.0)).unwrap_or(usize::MAX);
        if base > revision {
            self.needs_full = true;
            return;
        }
        let mut next = self.current.clone().unwrap_or_default();
        for change in changes.iter().skip(skipped) {
            match change.apply(&next) {
                Ok(changed) => next = changed,
                Err(_) => {
                    self.needs_full = true;
                    return;
                }
            }
        }
        if next.revision > revision {
            self.current = Some(next);
        }
    }
}

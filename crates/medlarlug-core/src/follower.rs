//! An instance's copy of the configuration.
//!
//! A [`Follower`] holds the newest revision that its instance has heard of; the revision only
//! rises. It asks a peer of its zone or a voter of the configuration group each second whether its
//! revision is still the newest, and takes in what voters push. A voter is asked one time in eight,
//! and every other time once the last confirmation is older than half the lease.
//!
//! A source answers with a [`Confirmation`]: "this was the newest revision, `age` before I
//! answered". The follower counts the age from the moment it *asked*, so an answer that was long
//! under way does not count as fresh. While the last confirmation is younger than the
//! configuration lease, requests may cross regions; afterwards the instance serves its own callers
//! only, because a stricter residency rule may exist that it has not heard of.
//!
//! # Restarts
//!
//! An instance must not fall behind the revision that it had before its restart.
//!
//! * With a disk, a configuration is saved first and in force afterwards ([`Effect::Save`],
//!   [`Event::Saved`]). The instance starts with the saved one.
//! * Without a disk, it knows no revision. It takes its first configuration only with a
//!   confirmation that is younger than its start by every clock; see [`MAX_CLOCK_DRIFT`]. Until a source
//!   gives one, it serves nothing.
//!
//! Answers may outlive the process that asked, so the numbers of questions begin at another place
//! at each start.

use std::{collections::VecDeque, time::Duration};

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

/// Asks a source for what is newer than `revision`; sent as [`Effect::RequestUpdate`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateRequest {
    /// Names the question within the asking process.
    pub token: u64,
    /// Revision of the asking instance; 0 if it knows none.
    pub revision: Revision,
    /// Whether the whole configuration is needed, as changes could not be applied.
    pub full: bool,
}

/// Largest difference in speed between two clocks.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;

/// What outlives the process.
#[derive(Debug, Clone, PartialEq)]
pub enum Storage {
    /// Nothing.
    Memory,
    /// The newest configuration in force, if one was saved.
    Disk(Option<Configuration>),
}

/// The answer of a source to an [`UpdateRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpdateResponse {
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
    /// The instances that may be asked.
    Sources(Sources),
    /// A keeper or peer sent an update unasked.
    Pushed(Update),
    /// A source answered.
    ResponseReceived(UpdateResponse),
    /// A keeper on this instance confirmed its revision with the group's majority.
    Confirmed(Confirmation),
    /// A configuration is saved and synced.
    Saved(Box<Configuration>),
    /// Time has passed.
    Tick,
}

/// Whom a follower asks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sources {
    /// Voters of the configuration group.
    pub voters: Vec<InstanceId>,
    /// Other instances of the zone, which may pass on what they had confirmed, with its age.
    pub peers: Vec<InstanceId>,
}

/// What a [`Follower`] wants to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Ask a source.
    RequestUpdate {
        /// The source.
        source: InstanceId,
        /// The question.
        ask: UpdateRequest,
    },
    /// Save the configuration and report it as [`Event::Saved`]; a later one replaces it.
    Save(Box<Configuration>),
    /// A new revision is in force.
    Changed(Revision),
}

/// Durations of a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time between two questions.
    pub poll_interval: Duration,
    /// Time between two questions while no configuration is known.
    pub startup_poll_interval: Duration,
    /// Longest age of a confirmation with which requests may cross regions.
    pub lease: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            poll_interval: Duration::from_secs(1),
            startup_poll_interval: Duration::from_millis(200),
            lease: Duration::from_secs(8),
        }
    }
}

/// Changes that are kept to answer others without sending the whole configuration.
const MAX_RECENT: usize = 64;

/// Questions in a row of which a voter gets one, while the last confirmation is young.
pub const VOTER_REQUEST_INTERVAL: usize = 8;

/// The same while the last confirmation is old, or no configuration is known.
const STALE_VOTER_REQUEST_INTERVAL: usize = 2;

/// Questions whose answers are still awaited.
const MAX_OPEN_ASKS: usize = 16;

/// An instance's copy of the configuration.
///
/// ```
/// use medlarlug_core::{follower::{Follower, Storage, Timing}, time::Time};
///
/// let follower = Follower::new(Timing::default(), Storage::Memory, 7);
/// assert!(follower.configuration().is_none());
/// assert!(!follower.may_cross_regions(Time::ZERO));
/// ```
#[derive(Debug, Clone)]
pub struct Follower {
    timing: Timing,
    /// The newest configuration that is known.
    current: Option<Configuration>,
    /// The newest one that is saved; `None` without a disk.
    saved: Option<Option<Configuration>>,
    confirmed: Option<Time>,
    sources: Sources,
    turn: usize,
    voter_turn: usize,
    peer_turn: usize,
    token: u64,
    open: Vec<(u64, Time)>,
    next_ask: Time,
    needs_full: bool,
    /// The changes that led to the current configuration, oldest first.
    recent: VecDeque<Change>,
    /// Newest configuration that was offered while none is known.
    offered: Option<Configuration>,
}

impl Follower {
    /// A follower that begins with what `storage` holds.
    ///
    /// `start` numbers the questions and has to differ, by more than the number of questions that
    /// a process asks, from one start of the instance to the next. The origin of the clock,
    /// [`Time::ZERO`], must not be before the start of the process.
    pub fn new(timing: Timing, storage: Storage, start: u64) -> Follower {
        let saved = match storage {
            Storage::Memory => None,
            Storage::Disk(saved) => Some(saved),
        };
        Follower {
            timing,
            current: saved.clone().flatten(),
            saved,
            confirmed: None,
            sources: Sources::default(),
            turn: 0,
            voter_turn: spread(start),
            peer_turn: spread(start),
            token: start,
            open: Vec::new(),
            next_ask: Time::ZERO,
            needs_full: false,
            recent: VecDeque::new(),
            offered: None,
        }
    }

    /// The configuration in force; without one the instance serves nothing.
    pub fn configuration(&self) -> Option<&Configuration> {
        match &self.saved {
            Some(saved) => saved.as_ref(),
            None => self.current.as_ref(),
        }
    }

    /// Its revision, 0 if none is in force.
    pub fn revision(&self) -> Revision {
        self.configuration().map_or(Revision(0), |it| it.revision)
    }

    /// Age of the last confirmation.
    pub fn confirmed_age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now - at)
    }

    /// Whether requests may be sent to another region.
    pub fn may_cross_regions(&self, now: Time) -> bool {
        let age = self.confirmed_age(now);
        self.configuration().is_some() && age.is_some_and(|age| age < self.timing.lease)
    }

    /// Answers a question out of this copy.
    pub fn answer(&self, now: Time, ask: UpdateRequest) -> UpdateResponse {
        let update = self.update_for(&ask);
        let confirmation = self
            .confirmed_age(now)
            .filter(|age| *age < self.timing.lease)
            .map(|age| Confirmation { revision: self.revision(), age });
        UpdateResponse { token: ask.token, update, confirmation }
    }

    fn update_for(&self, ask: &UpdateRequest) -> Option<Update> {
        let current = self.current.as_ref()?;
        let missing = current.revision.0.checked_sub(ask.revision.0).filter(|it| *it > 0)?;
        let missing = usize::try_from(missing).unwrap_or(usize::MAX);
        if ask.full || missing > self.recent.len() {
            return Some(Update::Full(current.clone()));
        }
        let skipped = self.recent.len() - missing;
        let changes = self.recent.iter().skip(skipped).cloned().collect();
        Some(Update::Changes { base: ask.revision, changes })
    }

    /// Takes an event in at `now` and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Sources(sources) => self.sources = sources,
            Event::Pushed(update) => self.take(update, None, out),
            Event::ResponseReceived(answer) => self.on_answer(answer, out),
            Event::Confirmed(confirmation) => {
                self.confirm(now, confirmation, out);
                self.next_ask = self.next_ask.max(now + self.timing.poll_interval);
            }
            Event::Saved(saved) => self.on_saved(*saved, out),
            Event::Tick => {}
        }
        if now >= self.next_ask {
            self.ask(now, out);
        }
    }

    fn ask(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(source) = self.next_source(now) else {
            return;
        };
        self.token += 1;
        let is_starting = self.configuration().is_none();
        let pause =
            if is_starting { self.timing.startup_poll_interval } else { self.timing.poll_interval };
        self.next_ask = now + pause;
        if self.open.len() == MAX_OPEN_ASKS {
            self.open.remove(0);
        }
        self.open.push((self.token, now));
        let ask =
            UpdateRequest { token: self.token, revision: self.revision(), full: self.needs_full };
        out.push(Effect::RequestUpdate { source, ask });
    }

    fn next_source(&mut self, now: Time) -> Option<InstanceId> {
        let age = self.confirmed_age(now);
        let is_fresh = age.is_some_and(|age| age < self.timing.lease / 2);
        let voter_turn =
            if is_fresh { VOTER_REQUEST_INTERVAL } else { STALE_VOTER_REQUEST_INTERVAL };
        let is_voter_turn = self.turn.is_multiple_of(voter_turn);
        self.turn = self.turn.wrapping_add(1);
        let Sources { voters, peers } = &self.sources;
        let asks_voter = !voters.is_empty() && (is_voter_turn || peers.is_empty());
        let (list, turn) = match asks_voter {
            true => (voters, &mut self.voter_turn),
            false => (peers, &mut self.peer_turn),
        };
        *turn = turn.wrapping_add(1);
        list.get(*turn % list.len().max(1)).cloned()
    }

    fn on_answer(&mut self, answer: UpdateResponse, out: &mut Vec<Effect>) {
        let Ok(found) = self.open.binary_search_by_key(&answer.token, |(token, _)| *token) else {
            return;
        };
        let (_, asked) = self.open.remove(found);
        let confirmation = answer.confirmation.filter(|it| is_of_this_start(asked, it.age));
        if let Some(update) = answer.update {
            self.take(update, confirmation.map(|it| it.revision), out);
        }
        if let Some(confirmation) = confirmation {
            self.confirm(asked, confirmation, out);
        }
    }

    fn confirm(&mut self, heard: Time, confirmation: Confirmation, out: &mut Vec<Effect>) {
        let Confirmation { revision, age } = confirmation;
        if !is_of_this_start(heard, age) {
            return;
        }
        if let Some(offered) = self.offered.take_if(|it| it.revision >= revision) {
            self.take(Update::Full(offered), Some(revision), out);
        }
        if self.configuration().is_none() || self.revision() < revision {
            return;
        }
        let at = heard.saturating_sub(age);
        self.confirmed = Some(self.confirmed.map_or(at, |earlier| earlier.max(at)));
    }

    fn take(&mut self, update: Update, newest: Option<Revision>, out: &mut Vec<Effect>) {
        let (next, changes) = match update {
            Update::Full(next) => (next, None),
            Update::Changes { base, changes } => match self.changed(base, &changes) {
                Some(next) => (next, Some(changes)),
                None => return,
            },
        };
        let is_newest = newest.is_some_and(|it| next.revision >= it);
        if self.current.is_none() && !is_newest {
            let is_newer = self.offered.as_ref().is_none_or(|it| next.revision > it.revision);
            self.offered = if is_newer { Some(next) } else { self.offered.take() };
            return;
        }
        if self.current.as_ref().is_some_and(|it| next.revision <= it.revision) {
            return;
        }
        out.push(match self.saved {
            Some(_) => Effect::Save(Box::new(next.clone())),
            None => Effect::Changed(next.revision),
        });
        self.keep_recent(next.revision, changes);
        self.current = Some(next);
        self.offered = None;
        self.needs_full = false;
    }

    /// Keeps the changes that lead from the current configuration to that of `revision`.
    fn keep_recent(&mut self, revision: Revision, changes: Option<Vec<Change>>) {
        let current = self.current.as_ref().map_or(0, |it| it.revision.0);
        let new = usize::try_from(revision.0 - current).unwrap_or(usize::MAX);
        let Some(changes) = changes.filter(|it| it.len() >= new) else {
            self.recent.clear();
            return;
        };
        let known = changes.len() - new;
        self.recent.extend(changes.into_iter().skip(known));
        while self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
    }

    fn on_saved(&mut self, saved: Configuration, out: &mut Vec<Effect>) {
        if self.saved.is_none() || saved.revision <= self.revision() {
            return;
        }
        out.push(Effect::Changed(saved.revision));
        self.saved = Some(Some(saved));
    }

    /// The configuration that follows from `changes`, or `None` when they don't fit.
    fn changed(&mut self, base: Revision, changes: &[Change]) -> Option<Configuration> {
        let mut next = self.current.clone().unwrap_or_default();
        let known = next.revision.0.checked_sub(base.0);
        let Some(known) = known.and_then(|it| usize::try_from(it).ok()) else {
            self.needs_full = true;
            return None;
        };
        for change in changes.iter().skip(known) {
            match change.apply(&next) {
                Ok(changed) => next = changed,
                Err(_) => {
                    self.needs_full = true;
                    return None;
                }
            }
        }
        Some(next)
    }
}

/// Whether what was known `age` before `heard` was known after this process started, by the clock
/// that measured `age` too.
fn is_of_this_start(heard: Time, age: Duration) -> bool {
    age.mul_f64(1.0 + MAX_CLOCK_DRIFT) <= heard - Time::ZERO
}

/// Where an instance begins in a list of sources, so that many that start at once ask different
/// ones.
fn spread(start: u64) -> usize {
    // The golden ratio spreads neighbouring numbers evenly.
    (start.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33) as usize
}

//! An instance's copy of the configuration.
//!
//! A [`Follower`] holds the newest revision that its instance has received; the revision only rises.
//! Each second, it asks a peer of its zone or a voter of the configuration group whether its revision
//! is still the newest, and it applies the updates that voters push. One in eight requests goes to a
//! voter, and every other one once the last confirmation is older than half the lease.
//!
//! A source answers with a [`Confirmation`]: a revision was the newest one, `age` before the answer was
//! sent. The follower counts the age from the moment when it sent the *request*, so a delayed answer
//! does not count as fresh. While the last confirmation is younger than the configuration lease,
//! requests may cross regions; afterwards the instance serves its own callers only, because a stricter
//! residency rule may exist that it has not received.
//!
//! # Restarts
//!
//! An instance must not fall behind the revision that it had before its restart.
//!
//! * With a disk, a configuration is saved before it comes into force ([`Effect::Save`],
//!   [`Event::Saved`]). The instance starts with the saved one.
//! * Without a disk, the instance starts without a revision. It accepts its first configuration only
//!   with a confirmation that dates from after its start by every clock; see [`MAX_CLOCK_DRIFT`]. Until
//!   it has one, it serves no requests.
//!
//! A response may arrive after the process that sent the request was restarted, so the tokens of
//! requests begin at a different number at each start.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    configuration_group::Change,
    ids::{InstanceId, Revision},
    release::Configuration,
    time::Time,
};

/// States that `revision` was the newest one `age` before the message was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Revision that a follower must have reached to be confirmed.
    pub revision: Revision,
    /// Time between the moment when the revision was known to be the newest and the sending of the message.
    pub age: Duration,
}

/// Brings a follower to a newer revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The whole configuration.
    Full(Configuration),
    /// The changes that follow `base`, in order.
    Changes {
        /// Revision that the first change applies to.
        base: Revision,
        /// The changes, one per revision.
        changes: Vec<Change>,
    },
}

/// Requests the changes after `revision` from a source; sent by [`Effect::RequestUpdate`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateRequest {
    /// Identifies the request within the requesting process.
    pub token: u64,
    /// Revision of the requesting instance; 0 if it has none.
    pub revision: Revision,
    /// Whether the whole configuration is needed because changes could not be applied.
    pub full: bool,
}

/// Maximum relative difference in speed between two clocks.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;

/// What the instance retains over a restart.
#[derive(Debug, Clone, PartialEq)]
pub enum Storage {
    /// Nothing: the instance has no disk.
    Memory,
    /// The newest saved configuration, if any.
    Disk(Option<Configuration>),
}

/// The response of a source to an [`UpdateRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpdateResponse {
    /// Token of the request.
    pub token: u64,
    /// The update to the source's revision, if it is newer than that of the request.
    pub update: Option<Update>,
    /// The source's own confirmation, if it is younger than the lease.
    pub confirmation: Option<Confirmation>,
}

/// An event for a [`Follower`].
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The instances that requests may be sent to; replaces the earlier ones.
    Sources(Sources),
    /// A keeper or peer pushed an update without a request.
    Pushed(Update),
    /// A source responded to a request.
    ResponseReceived(UpdateResponse),
    /// The keeper on this instance confirmed its revision with the majority of the configuration group.
    Confirmed(Confirmation),
    /// A configuration has been written to disk and synced.
    Saved(Box<Configuration>),
    /// Sends a request if one is due; sent at regular intervals.
    Tick,
}

/// The instances that a follower sends its requests to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sources {
    /// Voters of the configuration group.
    pub voters: Vec<InstanceId>,
    /// Other instances of the zone, which forward their own last confirmation with its age.
    pub peers: Vec<InstanceId>,
}

/// An action that the embedding process has to carry out for a [`Follower`].
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a request to a source.
    RequestUpdate {
        /// Voter or peer of [`Sources`] to send it to.
        source: InstanceId,
        /// Carries the follower's revision and the token that the response repeats.
        request: UpdateRequest,
    },
    /// Save the configuration and send [`Event::Saved`]; a later one replaces it.
    Save(Box<Configuration>),
    /// A new revision is in force.
    Changed(Revision),
}

/// Durations of a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time between two requests.
    pub poll_interval: Duration,
    /// Time between two requests while no configuration is in force.
    pub startup_interval: Duration,
    /// Age of the last confirmation from which requests may no longer cross regions.
    pub lease: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            poll_interval: Duration::from_secs(1),
            startup_interval: Duration::from_millis(200),
            lease: Duration::from_secs(8),
        }
    }
}

/// Maximum number of recent changes kept, so that most responses need not contain the whole configuration.
const MAX_RECENT: usize = 64;

/// One in this many requests goes to a voter while the last confirmation is younger than half the lease.
pub const VOTER_REQUEST_INTERVAL: usize = 8;

/// One in this many requests goes to a voter while the last confirmation is older, or there is none.
const STALE_VOTER_REQUEST_INTERVAL: usize = 2;

/// Maximum number of requests whose responses are awaited; the oldest one is dropped first.
const MAX_PENDING_REQUESTS: usize = 16;

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
    /// The newest accepted configuration, in force only once it is saved if there is a disk.
    current: Option<Configuration>,
    /// The newest saved configuration, if any; `None` without a disk.
    saved: Option<Option<Configuration>>,
    confirmed_at: Option<Time>,
    sources: Sources,
    requests_sent: usize,
    next_voter: usize,
    next_peer: usize,
    token: u64,
    pending: Vec<(u64, Time)>,
    next_request: Time,
    needs_full: bool,
    /// The changes that led to the current configuration, oldest first.
    recent: VecDeque<Change>,
    /// The newest configuration received while none is accepted; it still needs a confirmation.
    unconfirmed: Option<Configuration>,
}

impl Follower {
    /// Creates a follower that starts with the configuration in `storage`.
    ///
    /// `start` is the token before that of the first request. From one start of the instance to the
    /// next, it has to differ by more than the number of requests that a process sends. The origin of
    /// the clock, [`Time::ZERO`], must not be before the start of the process.
    pub fn new(timing: Timing, storage: Storage, start: u64) -> Follower {
        let saved = match storage {
            Storage::Memory => None,
            Storage::Disk(saved) => Some(saved),
        };
        Follower {
            timing,
            current: saved.clone().flatten(),
            saved,
            confirmed_at: None,
            sources: Sources::default(),
            requests_sent: 0,
            next_voter: start_index(start),
            next_peer: start_index(start),
            token: start,
            pending: Vec::new(),
            next_request: Time::ZERO,
            needs_full: false,
            recent: VecDeque::new(),
            unconfirmed: None,
        }
    }

    /// The configuration in force; without one, the instance serves no requests.
    pub fn configuration(&self) -> Option<&Configuration> {
        match &self.saved {
            Some(saved) => saved.as_ref(),
            None => self.current.as_ref(),
        }
    }

    /// Revision of the configuration in force; 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.configuration().map_or(Revision(0), |it| it.revision)
    }

    /// Age of the last confirmation; `None` if there was none since the start.
    pub fn confirmed_age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now - at)
    }

    /// Whether requests may be sent to another region: the last confirmation is younger than the lease.
    pub fn may_cross_regions(&self, now: Time) -> bool {
        let age = self.confirmed_age(now);
        self.configuration().is_some() && age.is_some_and(|age| age < self.timing.lease)
    }

    /// The response to a request, from this instance's copy and confirmation.
    pub fn answer(&self, now: Time, request: UpdateRequest) -> UpdateResponse {
        let update = self.update_for(&request);
        let confirmation = self
            .confirmed_age(now)
            .filter(|age| *age < self.timing.lease)
            .map(|age| Confirmation { revision: self.revision(), age });
        UpdateResponse { token: request.token, update, confirmation }
    }

    fn update_for(&self, request: &UpdateRequest) -> Option<Update> {
        let current = self.current.as_ref()?;
        let missing = current.revision.0.checked_sub(request.revision.0).filter(|it| *it > 0)?;
        let missing = usize::try_from(missing).unwrap_or(usize::MAX);
        if request.full || missing > self.recent.len() {
            return Some(Update::Full(current.clone()));
        }
        let skipped = self.recent.len() - missing;
        let changes = self.recent.iter().skip(skipped).cloned().collect();
        Some(Update::Changes { base: request.revision, changes })
    }

    /// Handles one event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Sources(sources) => self.sources = sources,
            Event::Pushed(update) => self.accept(update, None, out),
            Event::ResponseReceived(answer) => self.on_response(answer, out),
            Event::Confirmed(confirmation) => {
                self.confirm(now, confirmation, out);
                self.next_request = self.next_request.max(now + self.timing.poll_interval);
            }
            Event::Saved(saved) => self.on_saved(*saved, out),
            Event::Tick => {}
        }
        if now >= self.next_request {
            self.send_request(now, out);
        }
    }

    fn send_request(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(source) = self.next_source(now) else {
            return;
        };
        self.token += 1;
        let is_starting = self.configuration().is_none();
        let interval =
            if is_starting { self.timing.startup_interval } else { self.timing.poll_interval };
        self.next_request = now + interval;
        if self.pending.len() == MAX_PENDING_REQUESTS {
            self.pending.remove(0);
        }
        self.pending.push((self.token, now));
        let request =
            UpdateRequest { token: self.token, revision: self.revision(), full: self.needs_full };
        out.push(Effect::RequestUpdate { source, request });
    }

    fn next_source(&mut self, now: Time) -> Option<InstanceId> {
        let age = self.confirmed_age(now);
        let is_fresh = age.is_some_and(|age| age < self.timing.lease / 2);
        let interval = if is_fresh { VOTER_REQUEST_INTERVAL } else { STALE_VOTER_REQUEST_INTERVAL };
        let is_voter_due = self.requests_sent.is_multiple_of(interval);
        self.requests_sent = self.requests_sent.wrapping_add(1);
        let Sources { voters, peers } = &self.sources;
        let uses_voter = !voters.is_empty() && (is_voter_due || peers.is_empty());
        let (list, next) = match uses_voter {
            true => (voters, &mut self.next_voter),
            false => (peers, &mut self.next_peer),
        };
        *next = next.wrapping_add(1);
        list.get(*next % list.len().max(1)).cloned()
    }

    fn on_response(&mut self, answer: UpdateResponse, out: &mut Vec<Effect>) {
        let Ok(found) = self.pending.binary_search_by_key(&answer.token, |(token, _)| *token)
        else {
            return;
        };
        let (_, sent_at) = self.pending.remove(found);
        let confirmation = answer.confirmation.filter(|it| is_after_start(sent_at, it.age));
        if let Some(update) = answer.update {
            self.accept(update, confirmation.map(|it| it.revision), out);
        }
        if let Some(confirmation) = confirmation {
            self.confirm(sent_at, confirmation, out);
        }
    }

    fn confirm(&mut self, reference: Time, confirmation: Confirmation, out: &mut Vec<Effect>) {
        let Confirmation { revision, age } = confirmation;
        if !is_after_start(reference, age) {
            return;
        }
        if let Some(unconfirmed) = self.unconfirmed.take_if(|it| it.revision >= revision) {
            self.accept(Update::Full(unconfirmed), Some(revision), out);
        }
        if self.configuration().is_none() || self.revision() < revision {
            return;
        }
        let at = reference.saturating_sub(age);
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |earlier| earlier.max(at)));
    }

    fn accept(&mut self, update: Update, newest: Option<Revision>, out: &mut Vec<Effect>) {
        let (next, changes) = match update {
            Update::Full(next) => (next, None),
            Update::Changes { base, changes } => match self.apply_changes(base, &changes) {
                Some(next) => (next, Some(changes)),
                None => return,
            },
        };
        let is_newest = newest.is_some_and(|it| next.revision >= it);
        if self.current.is_none() && !is_newest {
            let is_newer = self.unconfirmed.as_ref().is_none_or(|it| next.revision > it.revision);
            self.unconfirmed = if is_newer { Some(next) } else { self.unconfirmed.take() };
            return;
        }
        if self.current.as_ref().is_some_and(|it| next.revision <= it.revision) {
            return;
        }
        out.push(match self.saved {
            Some(_) => Effect::Save(Box::new(next.clone())),
            None => Effect::Changed(next.revision),
        });
        self.store_recent(next.revision, changes);
        self.current = Some(next);
        self.unconfirmed = None;
        self.needs_full = false;
    }

    /// Stores the changes that lead from the current configuration to that of `revision`.
    fn store_recent(&mut self, revision: Revision, changes: Option<Vec<Change>>) {
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

    /// The current configuration with `changes` applied; `None` if they can't be applied, in which case
    /// the next request asks for the whole configuration.
    fn apply_changes(&mut self, base: Revision, changes: &[Change]) -> Option<Configuration> {
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

/// Whether the moment `age` before `reference` is after the start of this process, even if the clock that
/// measured `age` was slower by [`MAX_CLOCK_DRIFT`].
fn is_after_start(reference: Time, age: Duration) -> bool {
    age.mul_f64(1.0 + MAX_CLOCK_DRIFT) <= reference - Time::ZERO
}

/// Index at which an instance begins in a list of sources, so that instances that start together send their
/// requests to different ones.
fn start_index(start: u64) -> usize {
    // Multiplication by the golden ratio spreads consecutive numbers evenly (Fibonacci hashing).
    (start.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33) as usize
}

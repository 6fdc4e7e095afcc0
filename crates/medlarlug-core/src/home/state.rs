//! The state machine of a home group.
//!
//! # At most one run
//!
//! A booking is sent only by the owner of its intent, only after [`BeginReply::Started`], and only once. An
//! intent is never transferred to another owner. If the owner dies or the answer is lost, the outcome is
//! unknown until the owner or the plain service reports it. That a plain service does not know a key
//! proves nothing, because the call may still be in flight; therefore no reply of a service frees a key.
//!
//! # A group that lost its state
//!
//! A group whose voters lost their state is founded again. It then answers every key that may have been
//! used before the loss as unknown and never runs it. These are all keys without a record, except keys
//! that contain a creation revision not older than the founding, and keys of teams that are newer than
//! the founding. The restriction ends after [`KEY_RETENTION`], when the retention period of every lost key
//! has expired.
//!
//! A group that was rebuilt from one surviving replica ([`Action::Rebuilt`]) is founded again as well. It
//! keeps the answers that the survivor had; open and abandoned bookings become unknown.
//!
//! Such a group has also lost which teams it had transferred to other regions. It accepts a booking only
//! from an owner whose configuration is not older than the founding and names this region as the team's
//! home. From a handover that is older than the founding it takes over only the outcomes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    fingerprint::Fingerprint,
    home::{
        booking::{Booking, BookingKey, Handover, OutcomeQuery, Owner, StateLoss},
        bookings::Bookings,
        command::{Action, Begin, BeginReply, Command, RecordLookup, Reply, Suspect},
        issuer_lease::IssuerLease,
        quarantines::Quarantines,
        records::Records,
    },
    ids::{Incarnation, InstanceId, RequestId, Revision, TeamId},
    release::TeamHome,
};

/// Time for which a key is kept after its booking ended, by the logical clock.
///
/// A call that is sent again with the same key after this time may run again.
pub const KEY_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

pub(crate) const KEY_RETENTION_MICROS: u64 = 24 * 60 * 60 * 1_000_000;

/// Time for which a service is queried for an outcome, counted from when the outcome became unknown.
pub const OUTCOME_QUERY_PERIOD: Duration = Duration::from_secs(10 * 60);

const OUTCOME_QUERY_PERIOD_MICROS: u64 = 10 * 60 * 1_000_000;

/// Maximum duration of the lease of the order issuer.
pub const MAX_LEASE: Duration = Duration::from_secs(60);

const MAX_LEASE_MICROS: u64 = 60 * 1_000_000;

/// Last founding of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Founding {
    revision: Revision,
    is_first: bool,
    state_loss: Option<StateLoss>,
}

impl Founding {
    /// Whether the group may have lost changes made since `revision`, because `revision` is older than a
    /// founding after a loss of state.
    fn may_have_lost(&self, revision: Revision) -> bool {
        !self.is_first && revision < self.revision
    }
}

/// Newest known incarnation of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct KnownInstance {
    instance: InstanceId,
    incarnation: Incarnation,
}

/// The state machine of a home group.
///
/// ```
/// use medlarlug_core::{
///     home::{Action, Command, HomeGroup, Reply},
///     ids::Revision,
/// };
/// use std::time::Duration;
///
/// let mut group = HomeGroup::default();
/// let action = Action::Found { revision: Revision(3), first: true };
/// let reply = group.apply(Command { elapsed: Duration::ZERO, action });
/// assert_eq!(reply, Reply::Founded(Revision(3)));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeGroup {
    clock: u64,
    founding: Option<Founding>,
    is_rebuilt: bool,
    instances: Vec<KnownInstance>,
    bookings: Bookings,
    records: Records,
    quarantines: Quarantines,
    lease: IssuerLease,
}

impl HomeGroup {
    /// Applies one command of the replicated log and returns the reply to its sender.
    pub fn apply(&mut self, command: Command) -> Reply {
        let elapsed = u64::try_from(command.elapsed.as_micros()).unwrap_or(u64::MAX);
        self.clock = self.clock.saturating_add(elapsed);
        self.bookings.expire(self.clock);
        self.quarantines.expire(self.clock);
        match command.action {
            Action::Found { revision, first } => self.found(revision, first),
            Action::Begin(begin) => Reply::Begin(self.begin(begin)),
            Action::Rebuilt => {
                self.mark_rebuilt();
                Reply::Ok
            }
            _ if self.founding.is_none() => Reply::NotFounded,
            action => self.apply_founded(action),
        }
    }

    /// Revision at which the group was founded; `None` until it is founded.
    pub fn founding_revision(&self) -> Option<Revision> {
        self.founding.map(|it| it.revision)
    }

    /// Time until the group accepts keys without a record as new again, if it has lost its state.
    pub fn state_loss_remaining(&self) -> Option<Duration> {
        let state_loss = self.founding?.state_loss?;
        let left = state_loss.until.checked_sub(self.clock).filter(|left| *left > 0)?;
        Some(Duration::from_micros(left))
    }

    /// The logical clock: the sum of the commands' elapsed times.
    pub fn clock(&self) -> Duration {
        Duration::from_micros(self.clock)
    }

    /// Booking of `team` with `key`, also if the team's bookings have been transferred.
    pub fn booking(&self, team: &TeamId, key: &BookingKey) -> Option<&Booking> {
        self.bookings.find(team, key)
    }

    /// Bookings of unknown outcome, with their teams.
    pub fn unknown_bookings(&self) -> impl Iterator<Item = (&TeamId, &Booking)> {
        self.bookings.unknown()
    }

    /// Queries to services for the outcomes that became unknown within the last [`OUTCOME_QUERY_PERIOD`].
    ///
    /// The leader has them sent repeatedly until the outcomes are known.
    pub fn outcome_queries(&self) -> impl Iterator<Item = OutcomeQuery> {
        self.bookings.outcome_queries(self.clock.saturating_sub(OUTCOME_QUERY_PERIOD_MICROS))
    }

    /// Owners of open bookings, sorted and without duplicates.
    ///
    /// The leader compares them with the running instances, so that no dead owner is missed when the leader
    /// changes.
    pub fn open_owners(&self) -> Vec<Owner> {
        self.bookings.open_owners()
    }

    /// Whether the group has adopted the team of `home`, or has already started bookings for it.
    ///
    /// Until then, if `home` is in the group's region and the team had another home region before, the
    /// leader requests the team's bookings from the former home group with [`Action::Seal`].
    pub fn has_adopted(&self, home: &TeamHome) -> bool {
        self.bookings.held_since(&home.team).is_some_and(|epoch| epoch >= home.epoch)
    }

    /// Number of stored booking keys of all teams.
    pub fn key_count(&self) -> usize {
        self.bookings.count()
    }

    /// Looks up the record of a request.
    pub fn look_up(&self, id: &RequestId) -> RecordLookup {
        self.records.look_up(id)
    }

    /// Suspicion or quarantine of a request, if there is one that has not expired.
    pub fn suspect(&self, fingerprint: Fingerprint) -> Option<Suspect> {
        self.quarantines.find(self.clock, fingerprint)
    }

    /// All quarantined requests, sorted by fingerprint.
    pub fn quarantined(&self) -> Vec<Suspect> {
        self.quarantines.quarantined(self.clock)
    }

    /// Lease of the order issuer, which may have expired.
    pub fn lease(&self) -> &IssuerLease {
        &self.lease
    }

    /// Encodes the state for a snapshot of the log.
    pub fn encode_snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("state encodes to memory")
    }

    /// Decodes a state that [`encode_snapshot`](Self::encode_snapshot) encoded.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not an encoded state.
    pub fn decode_snapshot(bytes: &[u8]) -> Result<HomeGroup, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    fn apply_founded(&mut self, action: Action) -> Reply {
        let clock = self.clock;
        match action {
            Action::Found { .. } | Action::Begin(_) | Action::Rebuilt | Action::Tick => Reply::Ok,
            Action::InstanceStarted { instance, incarnation } => {
                self.start_incarnation(instance, incarnation);
                Reply::Ok
            }
            Action::InstanceDead { instance, incarnation } => {
                self.bookings.mark_owner_dead(clock, &instance, |it| it == incarnation);
                self.records.mark_dead(&instance, incarnation);
                Reply::Ok
            }
            Action::Finish { .. }
            | Action::Abandon { .. }
            | Action::MarkUnknown { .. }
            | Action::ResolveOutcome { .. } => self.apply_end(action),
            Action::Seal { team, to, epoch } => {
                let state_loss = self.state_loss();
                let founding = self.founding;
                let may_have_lost = |known| founding.is_some_and(|it| it.may_have_lost(known));
                self.bookings.seal(clock, (team, to, epoch), state_loss, may_have_lost)
            }
            Action::Adopt(handover) => self.adopt(handover),
            Action::AdoptWithStateLoss { team, epoch } => self.adopt_with_state_loss(team, epoch),
            Action::Release { team, epoch } => self.bookings.release(&team, epoch),
            Action::Records(records) => {
                self.records.store(records);
                Reply::Ok
            }
            Action::Loss { upstream, incarnation, suspects } => Reply::Suspects(
                self.quarantines.record_crash(clock, &upstream, incarnation, &suspects),
            ),
            Action::Clear(fingerprint) => {
                self.quarantines.clear(fingerprint);
                Reply::Ok
            }
            Action::Quarantine { fingerprint, remaining } => {
                self.quarantines.quarantine(clock, fingerprint, remaining);
                Reply::Ok
            }
            Action::Lease { holder, duration } => {
                self.lease.request(clock, holder, duration.min(MAX_LEASE))
            }
        }
    }

    /// Applies an action that ends a booking.
    fn apply_end(&mut self, action: Action) -> Reply {
        let (clock, bookings) = (self.clock, &mut self.bookings);
        let (team, key, reply) = match action {
            Action::Finish { team, key, request, answer } => {
                let reply = bookings.finish(clock, (team.clone(), key.clone()), &request, answer);
                (team, key, reply)
            }
            Action::ResolveOutcome { team, key, request, answer } => {
                let reply = bookings.resolve(clock, (team.clone(), key.clone()), &request, answer);
                (team, key, reply)
            }
            Action::Abandon { team, key, request } => {
                let reply = bookings.abandon(clock, (team.clone(), key.clone()), &request);
                (team, key, reply)
            }
            Action::MarkUnknown { team, key, request } => {
                let reply = bookings.mark_unknown(clock, (team.clone(), key.clone()), &request);
                (team, key, reply)
            }
            _ => return Reply::Ok,
        };
        if reply == Reply::NoSuchBooking && self.may_have_moved(&team, &key) {
            return Reply::NotAdopted;
        }
        reply
    }

    /// Whether a booking without a record may still be received from the team's former home group, because
    /// this group lost its state after the home change since which it holds the team.
    fn may_have_moved(&self, team: &TeamId, key: &BookingKey) -> bool {
        let held = self.bookings.held_since(team);
        let is_doubtful = self.founding.zip(held).is_some_and(|(it, held)| it.may_have_lost(held));
        is_doubtful && self.bookings.find(team, key).is_none()
    }

    fn found(&mut self, revision: Revision, first: bool) -> Reply {
        if let Some(founding) = self.founding {
            return Reply::Founded(founding.revision);
        }
        let first = first && !self.is_rebuilt;
        let after = |duration: u64| self.clock.saturating_add(duration);
        let state_loss =
            (!first).then(|| StateLoss { before: revision, until: after(KEY_RETENTION_MICROS) });
        let lease_until = if first { self.clock } else { after(MAX_LEASE_MICROS) };
        self.lease = IssuerLease::after_founding(revision, lease_until);
        self.founding = Some(Founding { revision, is_first: first, state_loss });
        Reply::Founded(revision)
    }

    fn mark_rebuilt(&mut self) {
        self.is_rebuilt = true;
        self.founding = None;
        self.bookings.mark_unrecorded_unknown(self.clock);
    }

    fn state_loss(&self) -> Option<StateLoss> {
        self.founding.and_then(|it| it.state_loss).filter(|it| it.until > self.clock)
    }

    fn begin(&mut self, begin: Begin) -> BeginReply {
        let Some(founding) = self.founding else {
            return BeginReply::NotFounded;
        };
        if founding.may_have_lost(begin.revision) {
            return BeginReply::StaleConfiguration(founding.revision);
        }
        let Owner { instance, incarnation } = begin.owner.clone();
        if let Some(newest) = self.newest_incarnation(&instance)
            && newest > incarnation
        {
            return BeginReply::StaleOwner(newest);
        }
        self.start_incarnation(instance, incarnation);
        let state_loss = self.state_loss();
        self.bookings.begin(self.clock, begin, state_loss)
    }

    fn newest_incarnation(&self, instance: &InstanceId) -> Option<Incarnation> {
        let found = self.find_instance(instance).ok()?;
        Some(self.instances[found].incarnation)
    }

    fn find_instance(&self, instance: &InstanceId) -> Result<usize, usize> {
        self.instances.binary_search_by(|it| it.instance.cmp(instance))
    }

    fn start_incarnation(&mut self, instance: InstanceId, incarnation: Incarnation) {
        match self.find_instance(&instance) {
            Ok(found) if self.instances[found].incarnation >= incarnation => return,
            Ok(found) => self.instances[found].incarnation = incarnation,
            Err(index) => {
                self.instances
                    .insert(index, KnownInstance { instance: instance.clone(), incarnation });
            }
        }
        self.bookings.mark_owner_dead(self.clock, &instance, |it| it < incarnation);
        self.records.start_incarnation(&instance, incarnation);
    }

    fn adopt(&mut self, mut handover: Handover) -> Reply {
        if self.founding.is_some_and(|it| it.may_have_lost(handover.epoch)) {
            handover.retain_outcomes();
        }
        let reply = self.bookings.adopt(self.clock, handover);
        for it in &self.instances {
            self.bookings.mark_owner_dead(self.clock, &it.instance, |other| other < it.incarnation);
        }
        reply
    }

    fn adopt_with_state_loss(&mut self, team: TeamId, epoch: Revision) -> Reply {
        let state_loss = Some(StateLoss { before: epoch, until: KEY_RETENTION_MICROS });
        let handover = Handover { team, epoch, state_loss, bookings: Vec::new() };
        self.bookings.adopt(self.clock, handover)
    }
}

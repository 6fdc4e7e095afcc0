//! The state machine of a home group.
//!
//! # At most one run
//!
//! A booking is sent only by the owner of its intent, only after [`BeginReply::Started`], and
//! once. An intent never goes over to another owner. When its owner is lost, or the answer is, the
//! outcome is unknown and stays so until the owner or the plain service tells it. That a plain
//! service does not know a key proves nothing, as the call may still arrive; therefore no reply of
//! it frees a key.
//!
//! # A group that lost its state
//!
//! A group whose voters lost their state is founded anew. Keys that may have been used before are
//! then answered as unknown and are never run: all that the group does not know, unless the key
//! names a revision at which it was made that is not older than the founding, or the team is
//! newer than the founding. This ends after a [`KEY_RETENTION`], when every former key has
//! outlived its promise.
//!
//! A group that was rebuilt from one survivor ([`Action::Rebuilt`]) is founded anew as well. It keeps
//! the answers that it knows; what was open or given up is unknown.
//!
//! Such a group has also forgotten which teams it had handed over. It takes a booking only from an
//! owner whose configuration is not older than the founding and says that the team's home is here.
//! Of a hand-over from before the founding it takes over the outcomes only.

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

/// How long a key is kept after its booking ended, by the logical clock.
///
/// A key that is sent again later than this may run again.
pub const KEY_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

pub(crate) const KEY_RETENTION_MICROS: u64 = 24 * 60 * 60 * 1_000_000;

/// Time for which a service is asked about a booking since its outcome became unknown.
pub const OUTCOME_QUERY_PERIOD: Duration = Duration::from_secs(10 * 60);

const OUTCOME_QUERY_PERIOD_MICROS: u64 = 10 * 60 * 1_000_000;

/// Longest lease of an issuer of orders.
pub const MAX_LEASE: Duration = Duration::from_secs(60);

const MAX_LEASE_MICROS: u64 = 60 * 1_000_000;

/// The founding of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Founding {
    revision: Revision,
    is_first: bool,
    state_loss: Option<StateLoss>,
}

impl Founding {
    /// Whether `revision` is older than the loss of an earlier founding's state.
    fn is_older(&self, revision: Revision) -> bool {
        !self.is_first && revision < self.revision
    }
}

/// The newest incarnation of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Started {
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
    instances: Vec<Started>,
    bookings: Bookings,
    records: Records,
    quarantines: Quarantines,
    lease: IssuerLease,
}

impl HomeGroup {
    /// Applies one command of the log.
    pub fn apply(&mut self, command: Command) -> Reply {
        let elapsed = u64::try_from(command.elapsed.as_micros()).unwrap_or(u64::MAX);
        self.clock = self.clock.saturating_add(elapsed);
        self.bookings.expire(self.clock);
        self.quarantines.expire(self.clock);
        match command.action {
            Action::Found { revision, first } => self.found(revision, first),
            Action::Begin(begin) => Reply::Begin(self.begin(begin)),
            Action::Rebuilt => {
                self.rebuilt();
                Reply::Ok
            }
            _ if self.founding.is_none() => Reply::NotFounded,
            action => self.apply_founded(action),
        }
    }

    /// Revision at which the group was founded.
    pub fn founded(&self) -> Option<Revision> {
        self.founding.map(|it| it.revision)
    }

    /// Time until keys that the group does not know are taken as new again.
    pub fn state_loss_remaining(&self) -> Option<Duration> {
        let state_loss = self.founding?.state_loss?;
        let left = state_loss.until.checked_sub(self.clock).filter(|left| *left > 0)?;
        Some(Duration::from_micros(left))
    }

    /// The logical clock: the sum of the commands' elapsed times.
    pub fn clock(&self) -> Duration {
        Duration::from_micros(self.clock)
    }

    /// The booking of `team` under `key`.
    pub fn booking(&self, team: &TeamId, key: &BookingKey) -> Option<&Booking> {
        self.bookings.find(team, key)
    }

    /// Bookings of unknown outcome.
    pub fn unknown_bookings(&self) -> impl Iterator<Item = (&TeamId, &Booking)> {
        self.bookings.unknown()
    }

    /// Questions to services about bookings whose outcome has become unknown within the last
    /// [`OUTCOME_QUERY_PERIOD`].
    ///
    /// The leader has them asked until they are settled.
    pub fn outcome_queries(&self) -> impl Iterator<Item = OutcomeQuery> {
        self.bookings.outcome_queries(self.clock.saturating_sub(OUTCOME_QUERY_PERIOD_MICROS))
    }

    /// Owners of bookings under way, sorted, each once.
    ///
    /// The leader compares them with the instances that run, so that no loss of an owner is missed
    /// at a change of leader.
    pub fn open_owners(&self) -> Vec<Owner> {
        self.bookings.open_owners()
    }

    /// Whether the group has adopted the team of `home`, or has begun to book for it.
    ///
    /// While this is not so for a home in the group's own region that has a former one, the
    /// leader asks the former home group for the team's bookings by [`Action::Seal`].
    pub fn has_adopted(&self, home: &TeamHome) -> bool {
        self.bookings.held_since(&home.team).is_some_and(|epoch| epoch >= home.epoch)
    }

    /// Number of booking keys that are kept.
    pub fn key_count(&self) -> usize {
        self.bookings.count()
    }

    /// What is known of a request.
    pub fn look_up(&self, id: &RequestId) -> RecordLookup {
        self.records.look_up(id)
    }

    /// Whether a request is suspected or quarantined.
    pub fn suspect(&self, fingerprint: Fingerprint) -> Option<Suspect> {
        self.quarantines.find(self.clock, fingerprint)
    }

    /// All quarantined requests, sorted by fingerprint.
    pub fn quarantined(&self) -> Vec<Suspect> {
        self.quarantines.quarantined(self.clock)
    }

    /// The lease of the issuer of orders.
    pub fn lease(&self) -> &IssuerLease {
        &self.lease
    }

    /// The state as bytes.
    pub fn encode_snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("state encodes to memory")
    }

    /// The state that [`encode_snapshot`](Self::encode_snapshot) wrote.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no such state.
    pub fn decode_snapshot(bytes: &[u8]) -> Result<HomeGroup, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    fn apply_founded(&mut self, action: Action) -> Reply {
        let clock = self.clock;
        match action {
            Action::Found { .. } | Action::Begin(_) | Action::Rebuilt | Action::Tick => Reply::Ok,
            Action::InstanceStarted { instance, incarnation } => {
                self.start(instance, incarnation);
                Reply::Ok
            }
            Action::InstanceDead { instance, incarnation } => {
                self.bookings.mark_owner_dead(clock, &instance, |it| it == incarnation);
                self.records.lose(&instance, incarnation);
                Reply::Ok
            }
            Action::Finish { .. }
            | Action::Abandon { .. }
            | Action::MarkUnknown { .. }
            | Action::ResolveOutcome { .. } => self.end(action),
            Action::Seal { team, to, epoch } => {
                let state_loss = self.state_loss();
                let founding = self.founding;
                let may_lack = |known| founding.is_some_and(|it| it.is_older(known));
                self.bookings.seal(clock, (team, to, epoch), state_loss, may_lack)
            }
            Action::Adopt(handover) => self.adopt(handover),
            Action::AdoptWithStateLoss { team, epoch } => self.adopt_lost(team, epoch),
            Action::Release { team, epoch } => self.bookings.release(&team, epoch),
            Action::Records(records) => {
                self.records.store(records);
                Reply::Ok
            }
            Action::Loss { upstream, incarnation, suspects } => {
                Reply::Suspects(self.quarantines.lose(clock, &upstream, incarnation, &suspects))
            }
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
    fn end(&mut self, action: Action) -> Reply {
        let (clock, bookings) = (self.clock, &mut self.bookings);
        let (team, key, reply) = match action {
            Action::Finish { team, key, request, answer } => {
                let reply = bookings.finish(clock, (team.clone(), key.clone()), &request, answer);
                (team, key, reply)
            }
            Action::ResolveOutcome { team, key, request, answer } => {
                let reply = bookings.settle(clock, (team.clone(), key.clone()), &request, answer);
                (team, key, reply)
            }
            Action::Abandon { team, key, request } => {
                let reply = bookings.abandon(clock, (team.clone(), key.clone()), &request);
                (team, key, reply)
            }
            Action::MarkUnknown { team, key, request } => {
                let reply = bookings.lose(clock, (team.clone(), key.clone()), &request);
                (team, key, reply)
            }
            _ => return Reply::Ok,
        };
        if reply == Reply::NoSuchBooking && self.may_have_moved(&team, &key) {
            return Reply::NotAdopted;
        }
        reply
    }

    /// Whether a booking that is not here may still arrive, as the group lost its state after the
    /// home change by which it holds the team.
    fn may_have_moved(&self, team: &TeamId, key: &BookingKey) -> bool {
        let held = self.bookings.held_since(team);
        let is_doubtful = self.founding.zip(held).is_some_and(|(it, held)| it.is_older(held));
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
        let granted = if first { self.clock } else { after(MAX_LEASE_MICROS) };
        self.lease = IssuerLease::founded(revision, granted);
        self.founding = Some(Founding { revision, is_first: first, state_loss });
        Reply::Founded(revision)
    }

    fn rebuilt(&mut self) {
        self.is_rebuilt = true;
        self.founding = None;
        self.bookings.mark_uncertain(self.clock);
    }

    fn state_loss(&self) -> Option<StateLoss> {
        self.founding.and_then(|it| it.state_loss).filter(|it| it.until > self.clock)
    }

    fn begin(&mut self, begin: Begin) -> BeginReply {
        let Some(founding) = self.founding else {
            return BeginReply::NotFounded;
        };
        if founding.is_older(begin.revision) {
            return BeginReply::StaleConfiguration(founding.revision);
        }
        let Owner { instance, incarnation } = begin.owner.clone();
        if let Some(newest) = self.newest(&instance)
            && newest > incarnation
        {
            return BeginReply::StaleOwner(newest);
        }
        self.start(instance, incarnation);
        let state_loss = self.state_loss();
        self.bookings.begin(self.clock, begin, state_loss)
    }

    fn newest(&self, instance: &InstanceId) -> Option<Incarnation> {
        let found = self.find_instance(instance).ok()?;
        Some(self.instances[found].incarnation)
    }

    fn find_instance(&self, instance: &InstanceId) -> Result<usize, usize> {
        self.instances.binary_search_by(|it| it.instance.cmp(instance))
    }

    fn start(&mut self, instance: InstanceId, incarnation: Incarnation) {
        match self.find_instance(&instance) {
            Ok(found) if self.instances[found].incarnation >= incarnation => return,
            Ok(found) => self.instances[found].incarnation = incarnation,
            Err(place) => {
                self.instances.insert(place, Started { instance: instance.clone(), incarnation });
            }
        }
        self.bookings.mark_owner_dead(self.clock, &instance, |it| it < incarnation);
        self.records.start(&instance, incarnation);
    }

    fn adopt(&mut self, mut handover: Handover) -> Reply {
        if self.founding.is_some_and(|it| it.is_older(handover.epoch)) {
            handover.retain_outcomes();
        }
        let reply = self.bookings.adopt(self.clock, handover);
        for it in &self.instances {
            self.bookings.mark_owner_dead(self.clock, &it.instance, |other| other < it.incarnation);
        }
        reply
    }

    fn adopt_lost(&mut self, team: TeamId, epoch: Revision) -> Reply {
        let state_loss = Some(StateLoss { before: epoch, until: KEY_RETENTION_MICROS });
        let handover = Handover { team, epoch, state_loss, bookings: Vec::new() };
        self.bookings.adopt(self.clock, handover)
    }
}

//! Storage of the bookings of all teams.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    home::{
        booking::{
            Booking, BookingKey, BookingState, OutcomeQuery, Owner, RecordedAnswer, StateLoss,
        },
        command::{Begin, BeginReply, Reply},
        retention::recorded_size,
    },
    ids::{Incarnation, InstanceId, RegionId, RequestId, Revision, TeamId},
};

/// Maximum number of stored bookings of one team; further ones are refused.
pub const MAX_BOOKINGS_PER_TEAM: usize = 16_384;

/// Maximum number of stored bookings of all teams; further ones are refused.
pub const MAX_BOOKINGS: usize = 262_144;

/// Whether the group holds the bookings of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum TeamStatus {
    /// The group holds them, since the home change of this revision.
    Held(Revision),
    /// The bookings are transferred to another region by the home change of this revision.
    Sealed { to: RegionId, epoch: Revision },
}

/// The bookings of one team, sorted by key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct TeamBookings {
    pub(super) team: TeamId,
    #[serde(rename = "hold")]
    pub(super) status: TeamStatus,
    pub(super) state_loss: Option<StateLoss>,
    pub(super) bookings: Vec<Booking>,
}

impl TeamBookings {
    /// Revision of the home change since which the group holds the team; zero if it does not.
    fn held_since(&self) -> Revision {
        match self.status {
            TeamStatus::Held(epoch) => epoch,
            TeamStatus::Sealed { .. } => Revision(0),
        }
    }
}

/// Refers to a booking that ended at a logical time; invalid once the booking has changed again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EndMark {
    pub(super) at: u64,
    pub(super) team: TeamId,
    pub(super) key: BookingKey,
}

/// Reason for which the group accepts no booking of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
enum TeamNotHeld {
    NotAdopted,
    Moved(RegionId),
}

impl From<TeamNotHeld> for BeginReply {
    fn from(reason: TeamNotHeld) -> BeginReply {
        match reason {
            TeamNotHeld::NotAdopted => BeginReply::NotAdopted,
            TeamNotHeld::Moved(region) => BeginReply::NotHome(region),
        }
    }
}

/// Reason for which the booking of a command is not found.
#[derive(Debug, Clone, PartialEq, Eq)]
enum LookupError {
    NoSuchBooking,
    NotAdopted,
    Moved(RegionId),
}

impl From<LookupError> for Reply {
    fn from(reason: LookupError) -> Reply {
        match reason {
            LookupError::NoSuchBooking => Reply::NoSuchBooking,
            LookupError::NotAdopted => Reply::NotAdopted,
            LookupError::Moved(region) => Reply::Moved(region),
        }
    }
}

/// Bookings of all teams, sorted by team.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Bookings {
    #[serde(rename = "books")]
    pub(super) teams: Vec<TeamBookings>,
    /// Ended bookings, oldest first.
    pub(super) ended: VecDeque<EndMark>,
    /// Ended bookings whose answer body is recorded in full, oldest first.
    pub(super) bodies: VecDeque<EndMark>,
    pub(super) count: usize,
    pub(super) body_bytes: usize,
}

impl Bookings {
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Revision of the home change since which the group holds `team`, if it does.
    pub(crate) fn held_since(&self, team: &TeamId) -> Option<Revision> {
        match self.teams[self.find_team(team).ok()?].status {
            TeamStatus::Held(epoch) => Some(epoch),
            TeamStatus::Sealed { .. } => None,
        }
    }

    pub(crate) fn find(&self, team: &TeamId, key: &BookingKey) -> Option<&Booking> {
        let entry = &self.teams[self.find_team(team).ok()?];
        let found = entry.bookings.binary_search_by(|it| it.key.cmp(key)).ok()?;
        Some(&entry.bookings[found])
    }

    /// Bookings of unknown outcome of all held teams.
    pub(crate) fn unknown(&self) -> impl Iterator<Item = (&TeamId, &Booking)> {
        let held = self.teams.iter().filter(|it| matches!(it.status, TeamStatus::Held(_)));
        held.flat_map(|entry| entry.bookings.iter().map(|it| (&entry.team, it)))
            .filter(|(_, it)| it.state == BookingState::Unknown)
    }

    /// Queries for the bookings whose outcome became unknown at the logical time `since` or later.
    pub(crate) fn outcome_queries(&self, since: u64) -> impl Iterator<Item = OutcomeQuery> {
        self.unknown().filter(move |(_, it)| it.since >= since).filter_map(|(team, it)| {
            let (key, request) = (it.key.clone(), it.request.clone());
            Some(OutcomeQuery {
                team: team.clone(),
                key,
                request,
                service: it.queryable_service.clone()?,
            })
        })
    }

    /// Owners of open bookings, sorted and without duplicates.
    pub(crate) fn open_owners(&self) -> Vec<Owner> {
        let held = self.teams.iter().filter(|it| matches!(it.status, TeamStatus::Held(_)));
        let owner = |it: &Booking| match &it.state {
            BookingState::Open(owner) => Some(owner.clone()),
            _ => None,
        };
        let mut owners: Vec<Owner> =
            held.flat_map(|entry| entry.bookings.iter().filter_map(owner)).collect();
        owners.sort_by(|a, b| (&a.instance, a.incarnation).cmp(&(&b.instance, b.incarnation)));
        owners.dedup();
        owners
    }

    /// Records the intent to send a booking, unless its key was already used.
    pub(crate) fn begin(
        &mut self,
        clock: u64,
        begin: Begin,
        state_loss: Option<StateLoss>,
    ) -> BeginReply {
        let index = match self.find_or_insert_team(&begin) {
            Ok(index) => index,
            Err(reason) => return reason.into(),
        };
        let is_full = self.count >= MAX_BOOKINGS;
        let entry = &mut self.teams[index];
        let group_loss = state_loss.filter(|it| entry.held_since() < it.before);
        let found = match entry.bookings.binary_search_by(|it| it.key.cmp(&begin.key)) {
            Ok(found) => {
                let booking = &mut entry.bookings[found];
                if booking.state != BookingState::Abandoned || booking.request == begin.request {
                    return reply_for_used_key(booking, &begin);
                }
                *booking = new_booking(clock, begin);
                return BeginReply::Started;
            }
            Err(found) => found,
        };
        let may_have_lost = |it: &StateLoss| {
            it.until > clock
                && begin
                    .key
                    .creation_revision()
                    .is_none_or(|creation_revision| creation_revision < it.before)
        };
        if group_loss.iter().chain(&entry.state_loss).any(may_have_lost) {
            return BeginReply::Unknown(None);
        }
        if is_full || entry.bookings.len() >= MAX_BOOKINGS_PER_TEAM {
            return BeginReply::Full;
        }
        entry.bookings.insert(found, new_booking(clock, begin));
        self.count += 1;
        BeginReply::Started
    }

    /// Records the answer of the upstream to a booking.
    pub(crate) fn finish(
        &mut self,
        clock: u64,
        (team, key): (TeamId, BookingKey),
        request: &RequestId,
        answer: RecordedAnswer,
    ) -> Reply {
        let booking = match self.find_mut(&team, &key, request) {
            Ok(booking) => booking,
            Err(reason) => return reason.into(),
        };
        match booking.state {
            BookingState::Done(_) => return Reply::Ok,
            BookingState::Abandoned => return Reply::NoSuchBooking,
            BookingState::Open(_) | BookingState::Unknown => {}
        }
        let size = recorded_size(&answer.body);
        booking.state = BookingState::Done(answer);
        booking.since = clock;
        self.mark_ended(clock, team, key, size);
        Reply::Ok
    }

    /// Abandons a booking that was not sent, so that its key can be used again.
    pub(crate) fn abandon(
        &mut self,
        clock: u64,
        id: (TeamId, BookingKey),
        request: &RequestId,
    ) -> Reply {
        let check = |booking: &Booking| match booking.state {
            BookingState::Abandoned => Err(Reply::Ok),
            BookingState::Done(_) => Err(Reply::NoSuchBooking),
            BookingState::Open(_) | BookingState::Unknown if booking.is_doubtful => Err(Reply::Ok),
            BookingState::Open(_) | BookingState::Unknown => Ok(BookingState::Abandoned),
        };
        self.end_without_answer(clock, id, request, check)
    }

    /// Records that the outcome of a booking is unknown.
    pub(crate) fn mark_unknown(
        &mut self,
        clock: u64,
        id: (TeamId, BookingKey),
        request: &RequestId,
    ) -> Reply {
        let check = |booking: &Booking| match booking.state {
            BookingState::Open(_) => Ok(BookingState::Unknown),
            BookingState::Unknown | BookingState::Done(_) => Err(Reply::Ok),
            BookingState::Abandoned => Err(Reply::NoSuchBooking),
        };
        self.end_without_answer(clock, id, request, check)
    }

    /// Sets a booking to the state that `check` returns, or returns the reply that `check` fails with.
    fn end_without_answer(
        &mut self,
        clock: u64,
        (team, key): (TeamId, BookingKey),
        request: &RequestId,
        check: impl FnOnce(&Booking) -> Result<BookingState, Reply>,
    ) -> Reply {
        let booking = match self.find_mut(&team, &key, request) {
            Ok(booking) => booking,
            Err(reason) => return reason.into(),
        };
        booking.state = match check(booking) {
            Ok(state) => state,
            Err(reply) => return reply,
        };
        booking.since = clock;
        self.mark_ended(clock, team, key, 0);
        Reply::Ok
    }

    /// Records the answer that a plain service returned to a query for an unknown outcome.
    pub(crate) fn resolve(
        &mut self,
        clock: u64,
        (team, key): (TeamId, BookingKey),
        request: &RequestId,
        answer: RecordedAnswer,
    ) -> Reply {
        match self.find_mut(&team, &key, request) {
            Ok(booking) if matches!(booking.state, BookingState::Open(_)) => Reply::NoSuchBooking,
            Ok(_) => self.finish(clock, (team, key), request, answer),
            Err(reason) => reason.into(),
        }
    }

    /// Marks the open bookings of those incarnations of `instance` as unknown for which `is_dead` holds.
    pub(crate) fn mark_owner_dead(
        &mut self,
        clock: u64,
        instance: &InstanceId,
        is_dead: impl Fn(Incarnation) -> bool,
    ) {
        let is_dead = |owner: &Owner| owner.instance == *instance && is_dead(owner.incarnation);
        let mut changed = Vec::new();
        for entry in self.teams.iter_mut().filter(|it| matches!(it.status, TeamStatus::Held(_))) {
            for booking in &mut entry.bookings {
                if !matches!(&booking.state, BookingState::Open(owner) if is_dead(owner)) {
                    continue;
                }
                booking.state = BookingState::Unknown;
                booking.since = clock;
                changed.push((entry.team.clone(), booking.key.clone()));
            }
        }
        for (team, key) in changed {
            self.mark_ended(clock, team, key, 0);
        }
    }

    /// Marks every booking as unknown whose later changes may have been lost: the open and the abandoned
    /// ones.
    pub(crate) fn mark_unrecorded_unknown(&mut self, clock: u64) {
        let mut changed = Vec::new();
        for entry in &mut self.teams {
            for booking in &mut entry.bookings {
                booking.is_doubtful = true;
                if matches!(booking.state, BookingState::Open(_) | BookingState::Abandoned) {
                    booking.state = BookingState::Unknown;
                    booking.since = clock;
                    changed.push((entry.team.clone(), booking.key.clone()));
                }
            }
        }
        for (team, key) in changed {
            self.mark_ended(clock, team, key, 0);
        }
    }

    pub(super) fn find_team(&self, team: &TeamId) -> Result<usize, usize> {
        self.teams.binary_search_by(|it| it.team.cmp(team))
    }

    fn find_or_insert_team(&mut self, begin: &Begin) -> Result<usize, TeamNotHeld> {
        let index = match self.find_team(&begin.team) {
            Ok(found) => found,
            Err(_) if begin.moved => return Err(TeamNotHeld::NotAdopted),
            Err(index) => {
                let (team, status) = (begin.team.clone(), TeamStatus::Held(begin.epoch));
                let entry = TeamBookings { team, status, state_loss: None, bookings: Vec::new() };
                self.teams.insert(index, entry);
                index
            }
        };
        match &self.teams[index].status {
            TeamStatus::Held(held) if *held < begin.epoch && begin.moved => {
                Err(TeamNotHeld::NotAdopted)
            }
            TeamStatus::Held(_) => Ok(index),
            TeamStatus::Sealed { epoch, .. } if *epoch < begin.epoch => {
                Err(TeamNotHeld::NotAdopted)
            }
            TeamStatus::Sealed { to, .. } => Err(TeamNotHeld::Moved(to.clone())),
        }
    }

    fn find_mut(
        &mut self,
        team: &TeamId,
        key: &BookingKey,
        request: &RequestId,
    ) -> Result<&mut Booking, LookupError> {
        let found = self.find_team(team).map_err(|_| LookupError::NotAdopted)?;
        let entry = &mut self.teams[found];
        if let TeamStatus::Sealed { to, .. } = &entry.status {
            return Err(LookupError::Moved(to.clone()));
        }
        let found = entry.bookings.binary_search_by(|it| it.key.cmp(key));
        let found = found.map_err(|_| LookupError::NoSuchBooking)?;
        let booking = &mut entry.bookings[found];
        if booking.request != *request {
            return Err(LookupError::NoSuchBooking);
        }
        Ok(booking)
    }
}

fn new_booking(clock: u64, begin: Begin) -> Booking {
    let Begin { key, content, request, owner, queryable_service, .. } = begin;
    let state = BookingState::Open(owner);
    Booking { key, content, request, queryable_service, state, is_doubtful: false, since: clock }
}

fn reply_for_used_key(booking: &Booking, begin: &Begin) -> BeginReply {
    if booking.content != begin.content {
        return BeginReply::KeyReused(booking.request.clone());
    }
    match &booking.state {
        BookingState::Open(_) if booking.request == begin.request => BeginReply::Started,
        BookingState::Open(_) => BeginReply::InProgress(booking.request.clone()),
        BookingState::Abandoned => BeginReply::Abandoned,
        BookingState::Unknown => BeginReply::Unknown(Some(booking.request.clone())),
        BookingState::Done(answer) => {
            BeginReply::Done { request: booking.request.clone(), answer: answer.clone() }
        }
    }
}

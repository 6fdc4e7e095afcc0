//! The bookings of all teams.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    home::{
        booking::{
            Booking, BookingKey, BookingState, OutcomeQuery, Owner, RecordedAnswer, StateLoss,
        },
        command::{Begin, BeginReply, Reply},
        retention::whole_size,
    },
    ids::{Incarnation, InstanceId, RegionId, RequestId, Revision, TeamId},
};

/// Keys that are kept for one team; a new booking beyond them is refused.
pub const MAX_BOOKINGS_PER_TEAM: usize = 16_384;

/// Keys that are kept for all teams; a new booking beyond them is refused.
pub const MAX_BOOKINGS: usize = 262_144;

/// Whether the group holds the bookings of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Hold {
    /// It does, by the home change of this revision.
    Held(Revision),
    /// Handed over to another region by the home change of this revision.
    Sealed { to: RegionId, epoch: Revision },
}

/// The bookings of one team, sorted by key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct TeamBook {
    pub(super) team: TeamId,
    pub(super) hold: Hold,
    pub(super) state_loss: Option<StateLoss>,
    pub(super) bookings: Vec<Booking>,
}

impl TeamBook {
    /// Revision since which the group holds the team.
    fn held_since(&self) -> Revision {
        match self.hold {
            Hold::Held(epoch) => epoch,
            Hold::Sealed { .. } => Revision(0),
        }
    }
}

/// Names a booking whose state was reached at a logical time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Mark {
    pub(super) at: u64,
    pub(super) team: TeamId,
    pub(super) key: BookingKey,
}

/// Why the group takes no booking of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
enum NotHeld {
    NotAdopted,
    Elsewhere(RegionId),
}

impl From<NotHeld> for BeginReply {
    fn from(reason: NotHeld) -> BeginReply {
        match reason {
            NotHeld::NotAdopted => BeginReply::NotAdopted,
            NotHeld::Elsewhere(region) => BeginReply::NotHome(region),
        }
    }
}

/// Why a command finds no booking.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Absent {
    NoSuchBooking,
    NotAdopted,
    Moved(RegionId),
}

impl From<Absent> for Reply {
    fn from(reason: Absent) -> Reply {
        match reason {
            Absent::NoSuchBooking => Reply::NoSuchBooking,
            Absent::NotAdopted => Reply::NotAdopted,
            Absent::Moved(region) => Reply::Moved(region),
        }
    }
}

/// The bookings of all teams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Bookings {
    pub(super) books: Vec<TeamBook>,
    /// Ended bookings in the order of their end; a mark is void once its booking has changed.
    pub(super) ended: VecDeque<Mark>,
    /// Ended bookings with a whole body, in the order of their end.
    pub(super) bodies: VecDeque<Mark>,
    pub(super) count: usize,
    pub(super) body_bytes: usize,
}

impl Bookings {
    /// Number of keys that are kept.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Revision since which `team` is held, if it is.
    pub(crate) fn held_since(&self, team: &TeamId) -> Option<Revision> {
        match self.books[self.find_book(team).ok()?].hold {
            Hold::Held(epoch) => Some(epoch),
            Hold::Sealed { .. } => None,
        }
    }

    pub(crate) fn find(&self, team: &TeamId, key: &BookingKey) -> Option<&Booking> {
        let book = &self.books[self.find_book(team).ok()?];
        let found = book.bookings.binary_search_by(|it| it.key.cmp(key)).ok()?;
        Some(&book.bookings[found])
    }

    /// Bookings of unknown outcome: what a plain service can be asked about.
    pub(crate) fn unknown(&self) -> impl Iterator<Item = (&TeamId, &Booking)> {
        let held = self.books.iter().filter(|it| matches!(it.hold, Hold::Held(_)));
        held.flat_map(|book| book.bookings.iter().map(|it| (&book.team, it)))
            .filter(|(_, it)| it.state == BookingState::Unknown)
    }

    /// Questions about the bookings whose outcome is unknown since `since` or later.
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

    /// Owners of open bookings, sorted, each once.
    pub(crate) fn open_owners(&self) -> Vec<Owner> {
        let held = self.books.iter().filter(|it| matches!(it.hold, Hold::Held(_)));
        let owner = |it: &Booking| match &it.state {
            BookingState::Open(owner) => Some(owner.clone()),
            _ => None,
        };
        let mut owners: Vec<Owner> =
            held.flat_map(|book| book.bookings.iter().filter_map(owner)).collect();
        owners.sort_by(|a, b| (&a.instance, a.incarnation).cmp(&(&b.instance, b.incarnation)));
        owners.dedup();
        owners
    }

    /// Records the intent to send a booking, unless the key was used.
    pub(crate) fn begin(
        &mut self,
        clock: u64,
        begin: Begin,
        state_loss: Option<StateLoss>,
    ) -> BeginReply {
        let place = match self.book_for(&begin) {
            Ok(place) => place,
            Err(reason) => return reason.into(),
        };
        let is_full = self.count >= MAX_BOOKINGS;
        let book = &mut self.books[place];
        let group = state_loss.filter(|it| book.held_since() < it.before);
        let found = match book.bookings.binary_search_by(|it| it.key.cmp(&begin.key)) {
            Ok(found) => {
                let booking = &mut book.bookings[found];
                if booking.state != BookingState::Abandoned || booking.request == begin.request {
                    return known(booking, &begin);
                }
                *booking = open(clock, begin);
                return BeginReply::Started;
            }
            Err(found) => found,
        };
        let forgets = |it: &StateLoss| {
            it.until > clock
                && begin
                    .key
                    .creation_revision()
                    .is_none_or(|creation_revision| creation_revision < it.before)
        };
        if group.iter().chain(&book.state_loss).any(forgets) {
            return BeginReply::Unknown(None);
        }
        if is_full || book.bookings.len() >= MAX_BOOKINGS_PER_TEAM {
            return BeginReply::Full;
        }
        book.bookings.insert(found, open(clock, begin));
        self.count += 1;
        BeginReply::Started
    }

    /// Ends a booking with the answer of the upstream.
    pub(crate) fn finish(
        &mut self,
        clock: u64,
        (team, key): (TeamId, BookingKey),
        request: &RequestId,
        answer: RecordedAnswer,
    ) -> Reply {
        let booking = match self.held(&team, &key, request) {
            Ok(booking) => booking,
            Err(reason) => return reason.into(),
        };
        match booking.state {
            BookingState::Done(_) => return Reply::Ok,
            BookingState::Abandoned => return Reply::NoSuchBooking,
            BookingState::Open(_) | BookingState::Unknown => {}
        }
        let size = whole_size(&answer.body);
        booking.state = BookingState::Done(answer);
        booking.since = clock;
        self.mark_ended(clock, team, key, size);
        Reply::Ok
    }

    /// Gives up a booking that was not sent.
    pub(crate) fn abandon(
        &mut self,
        clock: u64,
        place: (TeamId, BookingKey),
        request: &RequestId,
    ) -> Reply {
        let check = |booking: &Booking| match booking.state {
            BookingState::Abandoned => Err(Reply::Ok),
            BookingState::Done(_) => Err(Reply::NoSuchBooking),
            BookingState::Open(_) | BookingState::Unknown if booking.is_doubtful => Err(Reply::Ok),
            BookingState::Open(_) | BookingState::Unknown => Ok(BookingState::Abandoned),
        };
        self.end_without_answer(clock, place, request, check)
    }

    /// Notes that the owner does not know whether a booking ran.
    pub(crate) fn lose(
        &mut self,
        clock: u64,
        place: (TeamId, BookingKey),
        request: &RequestId,
    ) -> Reply {
        let check = |booking: &Booking| match booking.state {
            BookingState::Open(_) => Ok(BookingState::Unknown),
            BookingState::Unknown | BookingState::Done(_) => Err(Reply::Ok),
            BookingState::Abandoned => Err(Reply::NoSuchBooking),
        };
        self.end_without_answer(clock, place, request, check)
    }

    /// Moves a booking to the state that `check` gives, unless it replies at once.
    fn end_without_answer(
        &mut self,
        clock: u64,
        (team, key): (TeamId, BookingKey),
        request: &RequestId,
        check: impl FnOnce(&Booking) -> Result<BookingState, Reply>,
    ) -> Reply {
        let booking = match self.held(&team, &key, request) {
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

    /// Ends a booking of unknown outcome with an answer that the plain service gave later.
    pub(crate) fn settle(
        &mut self,
        clock: u64,
        (team, key): (TeamId, BookingKey),
        request: &RequestId,
        answer: RecordedAnswer,
    ) -> Reply {
        match self.held(&team, &key, request) {
            Ok(booking) if matches!(booking.state, BookingState::Open(_)) => Reply::NoSuchBooking,
            Ok(_) => self.finish(clock, (team, key), request, answer),
            Err(reason) => reason.into(),
        }
    }

    /// Marks the open bookings of `instance` as unknown whose incarnation `is_lost`.
    pub(crate) fn mark_owner_dead(
        &mut self,
        clock: u64,
        instance: &InstanceId,
        is_lost: impl Fn(Incarnation) -> bool,
    ) {
        let is_lost = |owner: &Owner| owner.instance == *instance && is_lost(owner.incarnation);
        let mut lost = Vec::new();
        for book in self.books.iter_mut().filter(|it| matches!(it.hold, Hold::Held(_))) {
            for booking in &mut book.bookings {
                if !matches!(&booking.state, BookingState::Open(owner) if is_lost(owner)) {
                    continue;
                }
                booking.state = BookingState::Unknown;
                booking.since = clock;
                lost.push((book.team.clone(), booking.key.clone()));
            }
        }
        for (team, key) in lost {
            self.mark_ended(clock, team, key, 0);
        }
    }

    /// Marks every booking as unknown that may have gone on without a record.
    pub(crate) fn mark_uncertain(&mut self, clock: u64) {
        let mut doubtful = Vec::new();
        for book in &mut self.books {
            for booking in &mut book.bookings {
                booking.is_doubtful = true;
                if matches!(booking.state, BookingState::Open(_) | BookingState::Abandoned) {
                    booking.state = BookingState::Unknown;
                    booking.since = clock;
                    doubtful.push((book.team.clone(), booking.key.clone()));
                }
            }
        }
        for (team, key) in doubtful {
            self.mark_ended(clock, team, key, 0);
        }
    }

    pub(super) fn find_book(&self, team: &TeamId) -> Result<usize, usize> {
        self.books.binary_search_by(|it| it.team.cmp(team))
    }

    fn book_for(&mut self, begin: &Begin) -> Result<usize, NotHeld> {
        let place = match self.find_book(&begin.team) {
            Ok(found) => found,
            Err(_) if begin.moved => return Err(NotHeld::NotAdopted),
            Err(place) => {
                let (team, hold) = (begin.team.clone(), Hold::Held(begin.epoch));
                let book = TeamBook { team, hold, state_loss: None, bookings: Vec::new() };
                self.books.insert(place, book);
                place
            }
        };
        match &self.books[place].hold {
            Hold::Held(held) if *held < begin.epoch && begin.moved => Err(NotHeld::NotAdopted),
            Hold::Held(_) => Ok(place),
            Hold::Sealed { epoch, .. } if *epoch < begin.epoch => Err(NotHeld::NotAdopted),
            Hold::Sealed { to, .. } => Err(NotHeld::Elsewhere(to.clone())),
        }
    }

    fn held(
        &mut self,
        team: &TeamId,
        key: &BookingKey,
        request: &RequestId,
    ) -> Result<&mut Booking, Absent> {
        let found = self.find_book(team).map_err(|_| Absent::NotAdopted)?;
        let book = &mut self.books[found];
        if let Hold::Sealed { to, .. } = &book.hold {
            return Err(Absent::Moved(to.clone()));
        }
        let found = book.bookings.binary_search_by(|it| it.key.cmp(key));
        let found = found.map_err(|_| Absent::NoSuchBooking)?;
        let booking = &mut book.bookings[found];
        if booking.request != *request {
            return Err(Absent::NoSuchBooking);
        }
        Ok(booking)
    }
}

fn open(clock: u64, begin: Begin) -> Booking {
    let Begin { key, content, request, owner, queryable_service, .. } = begin;
    let state = BookingState::Open(owner);
    Booking { key, content, request, queryable_service, state, is_doubtful: false, since: clock }
}

fn known(booking: &Booking, begin: &Begin) -> BeginReply {
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

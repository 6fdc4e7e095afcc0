//! Bookings on their way from one home group to another.

use crate::{
    home::{
        booking::{Booking, BookingState, Handover, StateLoss},
        bookings::{Bookings, Hold, Mark, TeamBook},
        command::Reply,
        retention::{omit, state_size},
    },
    ids::{RegionId, Revision, TeamId},
};

/// Bytes of recorded bodies that a [`Handover`] carries; the oldest are omitted beyond them.
pub const MAX_HANDOVER_BODY_BYTES: usize = 1024 * 1024;

impl Bookings {
    /// Hands the bookings of `team` over to `to`.
    ///
    /// `may_lack` tells of a revision whether the group may have lost what it knew since then. It
    /// may have adopted the team again after it had handed it over, and have lost just that.
    pub(crate) fn seal(
        &mut self,
        clock: u64,
        (team, to, epoch): (TeamId, RegionId, Revision),
        state_loss: Option<StateLoss>,
        may_lack: impl Fn(Revision) -> bool,
    ) -> Reply {
        let place = match self.find_book(&team) {
            Ok(found) => found,
            Err(place) => {
                let hold = Hold::Held(Revision(0));
                let book = TeamBook { team, hold, state_loss: None, bookings: Vec::new() };
                self.books.insert(place, book);
                place
            }
        };
        let book = &mut self.books[place];
        let (known, is_due) = match &book.hold {
            Hold::Held(held) => (*held, *held < epoch),
            Hold::Sealed { epoch: sealed, .. } => (*sealed, *sealed < epoch && may_lack(*sealed)),
        };
        if is_due {
            let group = state_loss.filter(|it| known < it.before);
            book.state_loss = later(book.state_loss, group);
            book.hold = Hold::Sealed { to, epoch };
        }
        if !matches!(&book.hold, Hold::Sealed { epoch: sealed, .. } if *sealed == epoch) {
            return Reply::NotAdopted;
        }
        Reply::Handover(handover(clock, book, epoch))
    }

    /// Takes the bookings of a team over.
    pub(crate) fn adopt(&mut self, clock: u64, handover: Handover) -> Reply {
        let place = match self.find_book(&handover.team) {
            Ok(found) => found,
            Err(place) => {
                let (team, hold) = (handover.team.clone(), Hold::Held(handover.epoch));
                let book = TeamBook { team, hold, state_loss: None, bookings: Vec::new() };
                self.books.insert(place, book);
                return self.fill(clock, place, handover);
            }
        };
        match &self.books[place].hold {
            Hold::Held(held) if *held >= handover.epoch => {
                self.learn_outcomes(clock, handover);
                return Reply::Ok;
            }
            Hold::Sealed { epoch, .. } if *epoch >= handover.epoch => return Reply::Ok,
            Hold::Sealed { .. } => self.empty(place),
            // Bookings that a group still holds although its team has come back are kept, too.
            Hold::Held(_) => {}
        }
        self.books[place].hold = Hold::Held(handover.epoch);
        self.fill(clock, place, handover)
    }

    /// Takes the outcomes of a repeated hand-over: a former home that was rebuilt without its `Seal`
    /// may have recorded some meanwhile.
    fn learn_outcomes(&mut self, clock: u64, handover: Handover) {
        for Booking { key, request, state, .. } in handover.bookings {
            if let BookingState::Done(answer) = state {
                self.finish(clock, (handover.team.clone(), key), &request, answer);
            }
        }
    }

    /// Drops the bookings of a team that its new home has adopted.
    pub(crate) fn release(&mut self, team: &TeamId, epoch: Revision) -> Reply {
        let Ok(found) = self.find_book(team) else {
            return Reply::NoSuchBooking;
        };
        match &self.books[found].hold {
            Hold::Sealed { epoch: sealed, .. } if *sealed == epoch => {
                self.empty(found);
                Reply::Ok
            }
            Hold::Held(_) | Hold::Sealed { .. } => Reply::NoSuchBooking,
        }
    }

    fn empty(&mut self, place: usize) {
        let bookings = std::mem::take(&mut self.books[place].bookings);
        self.count -= bookings.len();
        self.body_bytes -= bookings.iter().map(|it| state_size(&it.state)).sum::<usize>();
    }

    fn fill(&mut self, clock: u64, place: usize, handover: Handover) -> Reply {
        let restore = |it: StateLoss| StateLoss { until: clock.saturating_add(it.until), ..it };
        let book = &mut self.books[place];
        book.state_loss = later(book.state_loss, handover.state_loss.map(restore));
        for mut booking in handover.bookings {
            let Err(found) = book.bookings.binary_search_by(|it| it.key.cmp(&booking.key)) else {
                continue;
            };
            booking.since = clock.saturating_sub(booking.since);
            self.count += 1;
            if !matches!(booking.state, BookingState::Open(_)) {
                let (at, team, key) = (booking.since, book.team.clone(), booking.key.clone());
                self.ended.push_back(Mark { at, team, key });
            }
            let size = state_size(&booking.state);
            if size > 0 {
                let (at, team, key) = (booking.since, book.team.clone(), booking.key.clone());
                self.body_bytes += size;
                self.bodies.push_back(Mark { at, team, key });
            }
            book.bookings.insert(found, booking);
        }
        self.ended.make_contiguous().sort_by_key(|it| it.at);
        self.bodies.make_contiguous().sort_by_key(|it| it.at);
        Reply::Ok
    }
}

fn later(first: Option<StateLoss>, second: Option<StateLoss>) -> Option<StateLoss> {
    match (first, second) {
        (Some(a), Some(b)) => {
            Some(StateLoss { before: a.before.max(b.before), until: a.until.max(b.until) })
        }
        (one, other) => one.or(other),
    }
}

fn handover(clock: u64, book: &TeamBook, epoch: Revision) -> Handover {
    let mut bookings = book.bookings.clone();
    let mut newest: Vec<usize> = (0..bookings.len()).collect();
    newest.sort_by_key(|&it| std::cmp::Reverse(bookings[it].since));
    let mut bytes = 0;
    for it in newest {
        bytes += state_size(&bookings[it].state);
        if bytes > MAX_HANDOVER_BODY_BYTES {
            omit(&mut bookings[it].state);
        }
    }
    for booking in &mut bookings {
        booking.since = clock.saturating_sub(booking.since);
    }
    let remaining = |it: StateLoss| StateLoss { until: it.until.saturating_sub(clock), ..it };
    let state_loss = book.state_loss.map(remaining);
    Handover { team: book.team.clone(), epoch, state_loss, bookings }
}

//! How long bookings and the bodies of their answers are kept.

use crate::{
    home::{
        booking::{Body, BookingKey, BookingState},
        bookings::{Bookings, Mark},
        state::KEY_RETENTION_MICROS,
    },
    ids::TeamId,
};

/// Bytes of recorded bodies that are kept; the oldest bodies are omitted beyond them.
pub const MAX_TOTAL_BODY_BYTES: usize = 64 * 1024 * 1024;

impl Bookings {
    /// Drops the bookings that ended a retention ago.
    pub(crate) fn expire(&mut self, clock: u64) {
        let is_expired = |it: &mut Mark| it.at.saturating_add(KEY_RETENTION_MICROS) <= clock;
        while let Some(mark) = self.ended.pop_front_if(is_expired) {
            self.drop_marked(&mark);
        }
        while self.bodies.pop_front_if(is_expired).is_some() {}
        self.omit_bodies();
    }

    pub(super) fn mark_ended(&mut self, at: u64, team: TeamId, key: BookingKey, body: usize) {
        let mark = Mark { at, team, key };
        if body > 0 {
            self.body_bytes += body;
            self.bodies.push_back(mark.clone());
        }
        self.ended.push_back(mark);
    }

    fn marked(&mut self, mark: &Mark) -> Option<(usize, usize)> {
        let book = self.find_book(&mark.team).ok()?;
        let bookings = &self.books[book].bookings;
        let found = bookings.binary_search_by(|it| it.key.cmp(&mark.key)).ok()?;
        let booking = &bookings[found];
        let is_current =
            booking.since == mark.at && !matches!(booking.state, BookingState::Open(_));
        is_current.then_some((book, found))
    }

    fn drop_marked(&mut self, mark: &Mark) {
        let Some((book, found)) = self.marked(mark) else {
            return;
        };
        let booking = self.books[book].bookings.remove(found);
        self.count -= 1;
        self.body_bytes -= state_size(&booking.state);
    }

    fn omit_bodies(&mut self) {
        while self.body_bytes > MAX_TOTAL_BODY_BYTES {
            let Some(mark) = self.bodies.pop_front() else {
                return;
            };
            let Some((book, found)) = self.marked(&mark) else {
                continue;
            };
            let state = &mut self.books[book].bookings[found].state;
            self.body_bytes -= state_size(state);
            omit(state);
        }
    }
}

pub(super) fn whole_size(body: &Body) -> usize {
    match body {
        Body::Whole(bytes) => bytes.len(),
        Body::Omitted { .. } => 0,
    }
}

pub(super) fn state_size(state: &BookingState) -> usize {
    match state {
        BookingState::Done(answer) => whole_size(&answer.body),
        _ => 0,
    }
}

pub(super) fn omit(state: &mut BookingState) {
    if let BookingState::Done(answer) = state
        && let Body::Whole(bytes) = &answer.body
    {
        answer.body = Body::omitted(bytes);
    }
}

//! Retention of bookings and of the bodies of their answers.

use crate::{
    home::{
        booking::{Body, BookingKey, BookingState},
        bookings::{Bookings, EndMark},
        state::KEY_RETENTION_MICROS,
    },
    ids::TeamId,
};

/// Maximum total size of the recorded bodies, in bytes; the oldest ones are omitted beyond it.
pub const MAX_TOTAL_BODY_BYTES: usize = 64 * 1024 * 1024;

impl Bookings {
    /// Deletes the bookings whose retention period has expired, and omits the oldest bodies over the limit.
    pub(crate) fn expire(&mut self, clock: u64) {
        let is_expired = |it: &mut EndMark| it.at.saturating_add(KEY_RETENTION_MICROS) <= clock;
        while let Some(mark) = self.ended.pop_front_if(is_expired) {
            self.drop_marked(&mark);
        }
        while self.bodies.pop_front_if(is_expired).is_some() {}
        self.omit_bodies();
    }

    pub(super) fn mark_ended(&mut self, at: u64, team: TeamId, key: BookingKey, body: usize) {
        let mark = EndMark { at, team, key };
        if body > 0 {
            self.body_bytes += body;
            self.bodies.push_back(mark.clone());
        }
        self.ended.push_back(mark);
    }

    fn find_marked(&mut self, mark: &EndMark) -> Option<(usize, usize)> {
        let entry = self.find_team(&mark.team).ok()?;
        let bookings = &self.teams[entry].bookings;
        let found = bookings.binary_search_by(|it| it.key.cmp(&mark.key)).ok()?;
        let booking = &bookings[found];
        let is_current =
            booking.since == mark.at && !matches!(booking.state, BookingState::Open(_));
        is_current.then_some((entry, found))
    }

    fn drop_marked(&mut self, mark: &EndMark) {
        let Some((entry, found)) = self.find_marked(mark) else {
            return;
        };
        let booking = self.teams[entry].bookings.remove(found);
        self.count -= 1;
        self.body_bytes -= recorded_body_size(&booking.state);
    }

    fn omit_bodies(&mut self) {
        while self.body_bytes > MAX_TOTAL_BODY_BYTES {
            let Some(mark) = self.bodies.pop_front() else {
                return;
            };
            let Some((entry, found)) = self.find_marked(&mark) else {
                continue;
            };
            let state = &mut self.teams[entry].bookings[found].state;
            self.body_bytes -= recorded_body_size(state);
            omit_body(state);
        }
    }
}

pub(super) fn recorded_size(body: &Body) -> usize {
    match body {
        Body::Whole(bytes) => bytes.len(),
        Body::Omitted { .. } => 0,
    }
}

pub(super) fn recorded_body_size(state: &BookingState) -> usize {
    match state {
        BookingState::Done(answer) => recorded_size(&answer.body),
        _ => 0,
    }
}

pub(super) fn omit_body(state: &mut BookingState) {
    if let BookingState::Done(answer) = state
        && let Body::Whole(bytes) = &answer.body
    {
        answer.body = Body::omitted(bytes);
    }
}

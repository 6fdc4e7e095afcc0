//! Transfer of a team's bookings from one home group to another.

use crate::{
    home::{
        booking::{Booking, BookingState, Handover, StateLoss},
        bookings::{Bookings, EndMark, TeamBookings, TeamStatus},
        command::Reply,
        retention::{omit_body, recorded_body_size},
    },
    ids::{RegionId, Revision, TeamId},
};

/// Maximum total size of the bodies in a [`Handover`], in bytes; the oldest ones are omitted beyond it.
pub const MAX_HANDOVER_BODY_BYTES: usize = 1024 * 1024;

impl Bookings {
    /// Transfers the bookings of `team` to the region `to`.
    ///
    /// `may_have_lost` returns whether the group may have lost changes made since a revision. If so, it may
    /// have adopted the team again after it had transferred it, and have lost just that.
    pub(crate) fn seal(
        &mut self,
        clock: u64,
        (team, to, epoch): (TeamId, RegionId, Revision),
        state_loss: Option<StateLoss>,
        may_have_lost: impl Fn(Revision) -> bool,
    ) -> Reply {
        let index = match self.find_team(&team) {
            Ok(found) => found,
            Err(index) => {
                let status = TeamStatus::Held(Revision(0));
                let entry = TeamBookings { team, status, state_loss: None, bookings: Vec::new() };
                self.teams.insert(index, entry);
                index
            }
        };
        let entry = &mut self.teams[index];
        let (held_since, is_due) = match &entry.status {
            TeamStatus::Held(held) => (*held, *held < epoch),
            TeamStatus::Sealed { epoch: sealed, .. } => {
                (*sealed, *sealed < epoch && may_have_lost(*sealed))
            }
        };
        if is_due {
            let group_loss = state_loss.filter(|it| held_since < it.before);
            entry.state_loss = merge_state_loss(entry.state_loss, group_loss);
            entry.status = TeamStatus::Sealed { to, epoch };
        }
        if !matches!(&entry.status, TeamStatus::Sealed { epoch: sealed, .. } if *sealed == epoch) {
            return Reply::NotAdopted;
        }
        Reply::Handover(build_handover(clock, entry, epoch))
    }

    /// Takes over the bookings of a team from its former home group.
    pub(crate) fn adopt(&mut self, clock: u64, handover: Handover) -> Reply {
        let index = match self.find_team(&handover.team) {
            Ok(found) => found,
            Err(index) => {
                let (team, status) = (handover.team.clone(), TeamStatus::Held(handover.epoch));
                let entry = TeamBookings { team, status, state_loss: None, bookings: Vec::new() };
                self.teams.insert(index, entry);
                return self.insert_bookings(clock, index, handover);
            }
        };
        match &self.teams[index].status {
            TeamStatus::Held(held) if *held >= handover.epoch => {
                self.record_outcomes(clock, handover);
                return Reply::Ok;
            }
            TeamStatus::Sealed { epoch, .. } if *epoch >= handover.epoch => return Reply::Ok,
            TeamStatus::Sealed { .. } => self.clear_team(index),
            // If the team moved away and back while the group still held bookings of it, these are kept.
            TeamStatus::Held(_) => {}
        }
        self.teams[index].status = TeamStatus::Held(handover.epoch);
        self.insert_bookings(clock, index, handover)
    }

    /// Records the outcomes in a repeated handover: a former home group that was rebuilt without its `Seal`
    /// command may have recorded further outcomes since the first one.
    fn record_outcomes(&mut self, clock: u64, handover: Handover) {
        for Booking { key, request, state, .. } in handover.bookings {
            if let BookingState::Done(answer) = state {
                self.finish(clock, (handover.team.clone(), key), &request, answer);
            }
        }
    }

    /// Deletes the bookings of a team that its new home group has adopted.
    pub(crate) fn release(&mut self, team: &TeamId, epoch: Revision) -> Reply {
        let Ok(found) = self.find_team(team) else {
            return Reply::NoSuchBooking;
        };
        match &self.teams[found].status {
            TeamStatus::Sealed { epoch: sealed, .. } if *sealed == epoch => {
                self.clear_team(found);
                Reply::Ok
            }
            TeamStatus::Held(_) | TeamStatus::Sealed { .. } => Reply::NoSuchBooking,
        }
    }

    fn clear_team(&mut self, index: usize) {
        let bookings = std::mem::take(&mut self.teams[index].bookings);
        self.count -= bookings.len();
        self.body_bytes -= bookings.iter().map(|it| recorded_body_size(&it.state)).sum::<usize>();
    }

    fn insert_bookings(&mut self, clock: u64, index: usize, handover: Handover) -> Reply {
        let restore = |it: StateLoss| StateLoss { until: clock.saturating_add(it.until), ..it };
        let entry = &mut self.teams[index];
        entry.state_loss = merge_state_loss(entry.state_loss, handover.state_loss.map(restore));
        for mut booking in handover.bookings {
            let Err(found) = entry.bookings.binary_search_by(|it| it.key.cmp(&booking.key)) else {
                continue;
            };
            booking.since = clock.saturating_sub(booking.since);
            self.count += 1;
            if !matches!(booking.state, BookingState::Open(_)) {
                let (at, team, key) = (booking.since, entry.team.clone(), booking.key.clone());
                self.ended.push_back(EndMark { at, team, key });
            }
            let size = recorded_body_size(&booking.state);
            if size > 0 {
                let (at, team, key) = (booking.since, entry.team.clone(), booking.key.clone());
                self.body_bytes += size;
                self.bodies.push_back(EndMark { at, team, key });
            }
            entry.bookings.insert(found, booking);
        }
        self.ended.make_contiguous().sort_by_key(|it| it.at);
        self.bodies.make_contiguous().sort_by_key(|it| it.at);
        Reply::Ok
    }
}

fn merge_state_loss(first: Option<StateLoss>, second: Option<StateLoss>) -> Option<StateLoss> {
    match (first, second) {
        (Some(a), Some(b)) => {
            Some(StateLoss { before: a.before.max(b.before), until: a.until.max(b.until) })
        }
        (one, other) => one.or(other),
    }
}

fn build_handover(clock: u64, entry: &TeamBookings, epoch: Revision) -> Handover {
    let mut bookings = entry.bookings.clone();
    let mut newest: Vec<usize> = (0..bookings.len()).collect();
    newest.sort_by_key(|&it| std::cmp::Reverse(bookings[it].since));
    let mut bytes = 0;
    for it in newest {
        bytes += recorded_body_size(&bookings[it].state);
        if bytes > MAX_HANDOVER_BODY_BYTES {
            omit_body(&mut bookings[it].state);
        }
    }
    for booking in &mut bookings {
        booking.since = clock.saturating_sub(booking.since);
    }
    let remaining = |it: StateLoss| StateLoss { until: it.until.saturating_sub(clock), ..it };
    let state_loss = entry.state_loss.map(remaining);
    Handover { team: entry.team.clone(), epoch, state_loss, bookings }
}

//! Measures the configuration (size, memory, time to decode), update requests and pushed changes.

use std::{hint::black_box, time::Instant};

use medlarlug::protocol::Message;
use medlarlug_core::{
    configuration_group::Change,
    follower::{Confirmation, Update, UpdateRequest, UpdateResponse},
    ids::Revision,
    release::{Configuration, Item, RawNote},
};
use test_support::{note, scale::Scale};

use crate::wire;

const COPIES: usize = 64;
const ROUNDS: u32 = 20;

pub struct Sample {
    /// Size of the frame with the whole configuration.
    pub bytes: f64,
    /// Bytes in memory.
    pub memory: f64,
    /// Seconds to decode the configuration.
    pub decode: f64,
    /// Seconds to apply a change of one team.
    pub change: f64,
}

pub fn measure(scale: &Scale) -> Sample {
    let configuration = scale.configuration();
    let full = Message::Push(Box::new(Update::Full(configuration.clone())));
    let encoded = postcard::to_stdvec(&configuration).expect("a configuration");
    let before = wire::resident_bytes();
    let copies: Vec<Configuration> = (0..COPIES).map(|_| configuration.clone()).collect();
    let memory = (wire::resident_bytes() - before) / COPIES as f64;
    // Leaked, so that the next measurement can't reuse freed memory of this one.
    std::mem::forget(black_box(copies));
    let decode = best_time(|| {
        let decoded: Configuration = postcard::from_bytes(&encoded).expect("a configuration");
        black_box(decoded);
    });
    let change = team_change(scale, 1);
    let apply = best_time(|| {
        black_box(change.apply(&configuration)).expect("a change of this revision");
    });
    Sample { bytes: wire::frame_bytes(full) as f64, memory, decode, change: apply }
}

/// The shortest time of a round in seconds.
fn best_time(mut round: impl FnMut()) -> f64 {
    let time = |_| {
        let start = Instant::now();
        round();
        start.elapsed().as_secs_f64()
    };
    (0..ROUNDS).map(time).fold(f64::MAX, f64::min)
}

/// A release note that changes `teams` teams.
pub fn team_change(scale: &Scale, teams: usize) -> Change {
    let changed = (0..teams).map(|it| Item::Team(scale.team(it))).collect();
    let raw = RawNote { changed, ..note(1, Vec::new()) };
    Change::Note(raw.try_into().expect("a note"))
}

/// Size of the frame of a pushed update of one revision that changes `teams` teams.
pub fn push_bytes(scale: &Scale, teams: usize) -> usize {
    let changes = vec![team_change(scale, teams)];
    let update = Update::Changes { base: Revision(1), changes };
    wire::frame_bytes(Message::Push(Box::new(update)))
}

/// Sizes of the frames of an update request and its response when there is no newer revision.
pub fn update_request_bytes() -> (usize, usize) {
    let token = (1_764_720_000_000 << 20) + 100_000;
    let request = UpdateRequest { token, revision: Revision(100_000), full: false };
    let age = std::time::Duration::from_millis(300);
    let confirmation = Some(Confirmation { revision: Revision(100_000), age });
    let response = UpdateResponse { token, update: None, confirmation };
    let response = Message::UpdateResponse(Box::new(response));
    (wire::frame_bytes(Message::UpdateRequest(request)), wire::frame_bytes(response))
}

/// Sizes of the frames of the call by which a voter confirms the newest revision, and of its reply.
pub fn confirm_bytes() -> (usize, usize) {
    use medlarlug::protocol::{GroupId, GroupReply, GroupRequest};
    let call = Message::Call {
        call: 100_000,
        group: GroupId::Configuration,
        request: GroupRequest::Revision,
    };
    let reply = GroupReply::Revision(Revision(100_000));
    (wire::frame_bytes(call), wire::frame_bytes(Message::Reply { call: 100_000, reply }))
}

//! The configuration: bytes, memory and time to decode; questions, answers and pushed changes.

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
    pub bytes: f64,
    pub memory: f64,
    /// Seconds.
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
    // Never given back, so that the next size does not find free memory of this one.
    std::mem::forget(black_box(copies));
    let decode = best(|| {
        let decoded: Configuration = postcard::from_bytes(&encoded).expect("a configuration");
        black_box(decoded);
    });
    let change = change_of_team(scale, 1);
    let apply = best(|| {
        black_box(change.apply(&configuration)).expect("a fitting change");
    });
    Sample { bytes: wire::frame_bytes(full) as f64, memory, decode, change: apply }
}

fn best(mut round: impl FnMut()) -> f64 {
    let time = |_| {
        let start = Instant::now();
        round();
        start.elapsed().as_secs_f64()
    };
    (0..ROUNDS).map(time).fold(f64::MAX, f64::min)
}

/// A note that changes some of the teams.
pub fn change_of_team(scale: &Scale, teams: usize) -> Change {
    let changed = (0..teams).map(|it| Item::Team(scale.team(it))).collect();
    let raw = RawNote { changed, ..note(1, Vec::new()) };
    Change::Note(raw.try_into().expect("a note"))
}

/// Frame of a pushed update of one revision with so many changed teams.
pub fn push_bytes(scale: &Scale, teams: usize) -> usize {
    let changes = vec![change_of_team(scale, teams)];
    let update = Update::Changes { base: Revision(1), changes };
    wire::frame_bytes(Message::Push(Box::new(update)))
}

/// Frames of a question and its answer when there is nothing new.
pub fn ask_bytes() -> (usize, usize) {
    let token = (1_764_720_000_000 << 20) + 100_000;
    let ask = UpdateRequest { token, revision: Revision(100_000), full: false };
    let age = std::time::Duration::from_millis(300);
    let confirmation = Some(Confirmation { revision: Revision(100_000), age });
    let answer = UpdateResponse { token, update: None, confirmation };
    let answer = Message::UpdateResponse(Box::new(answer));
    (wire::frame_bytes(Message::UpdateRequest(ask)), wire::frame_bytes(answer))
}

/// Frames of the call by which a voter confirms the newest revision, and of its reply.
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

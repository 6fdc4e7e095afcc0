//! Sizes of messages against the bytes that a node may spend on control.
//!
//! The bounds follow from 5,000 bytes a second and the size that the capacity page plans for, never
//! from what was measured. Each allows a message the share that its part of the budget has.

use std::time::Duration;

use medlarlug::protocol::{
    DeploymentKey, DeploymentKeys, GroupId, GroupRequest, Message,
    frame::{self, Envelope, MAX_FRAME_BYTES},
};
use medlarlug_core::{
    configuration_group::Change,
    follower::{Confirmation, Update, UpdateRequest, UpdateResponse, VOTER_REQUEST_INTERVAL},
    home,
    ids::{Incarnation, LogIndex, Revision, Term},
    limits::{DemandEntry, DemandLevel, DemandReport, LimitPolicy, TeamKey},
    membership::{
        EntryLoad, Heartbeat, LoadUpdate, Message as Membership, Millis, QueueTime, Scope, Sketch,
        Status, Summaries, Target, TargetSummary, UpstreamKey, UpstreamUpdate, ZoneUpdate,
    },
    record::{Outcome, RequestRecord, Stage, TimelineEntry},
    release::{Item, ItemKey, RawNote},
    replication::{self, Body, FormationId, Position, StorageId},
};
use test_support::{
    id, note,
    scale::{self, Scale, TARGET_SCALE},
};

/// Bytes a second that a node may spend on control.
const NODE: usize = 5_000;
/// Entry instances of a zone.
const ZONE_PEERS: usize = 12;
/// Entry instances of the largest region.
const REGION_PEERS: usize = 48;
/// Engines of a zone.
const ZONE_ENGINES: usize = 21;
/// Heartbeats a second to each peer in a zone of that size.
const BEATS: usize = 1;
/// Time in which a change is in force everywhere, in seconds.
const CHANGE_LIMIT: usize = 10;

fn frame_bytes(message: Message) -> usize {
    let keys = DeploymentKeys::new(vec![DeploymentKey::derive("a key")]).expect("one key");
    let envelope = Envelope { from: id("entry-001"), to: id("entry-002"), message };
    frame::encode(&keys, &envelope).expect("a frame").len()
}

fn zone_news(zone: usize) -> ZoneUpdate {
    let entry = |number| EntryLoad { id: id(&format!("entry-{number:03}")), load: 300 };
    let row = |number| TargetSummary {
        target: Target::Model(id(&format!("model-{number:02}"))),
        upstreams: 21,
        free: 300,
        queueing: QueueTime(1_500),
        speed: 20_000,
        warm: Sketch::default(),
    };
    ZoneUpdate {
        zone: id(&TARGET_SCALE.zone_name(zone)),
        speaker: id("entry-001"),
        age: Millis(700),
        revision: Revision(100_000),
        entries: (0..3).map(entry).collect(),
        rows: (0..TARGET_SCALE.models).map(row).collect(),
    }
}

fn summaries(zones: usize) -> Message {
    let zones = (0..zones).map(zone_news).collect();
    Message::Membership(Membership::Summaries(Summaries { scope: Scope::Chain(11), zones }))
}

#[test]
fn heartbeats_of_a_zone_take_a_quarter_of_the_budget() {
    let status = Status { load: 300, revision: Revision(100_000), leaving: false, settling: false };
    let incarnation = Incarnation(1_764_720_000_000);
    let beat = Heartbeat { incarnation, status, digest: u32::MAX, updates: Vec::new() };

    let bytes = frame_bytes(Message::Membership(Membership::Heartbeat(beat)));

    let both = 2 * bytes * BEATS * (ZONE_PEERS - 1);
    assert!(both <= NODE / 4, "{both} B/s of heartbeats of {bytes} B");
}

#[test]
fn renewals_of_a_zone_take_two_fifths_of_the_budget() {
    let renewal = |number: u64| UpstreamUpdate::Renewal {
        key: UpstreamKey([255; 4]),
        sequence: 100_000,
        age: Millis(400),
        load: LoadUpdate::from(&scale::load_report(number)),
    };
    let news = (0..ZONE_ENGINES as u64).map(renewal).collect();

    let bytes = frame_bytes(Message::Membership(Membership::Upstreams(news)));

    // Each is received once a second, and sent as often on average.
    let both = 2 * bytes;
    assert!(both <= NODE * 2 / 5, "{both} B/s of renewals");
}

#[test]
fn summaries_of_all_zones_fit_their_refresh() {
    let refresh = medlarlug_core::membership::timing::CROSS_REGION_LIFETIME.as_secs() as usize;

    let bytes = frame_bytes(summaries(TARGET_SCALE.zones));

    // Each is received once within its lifetime, and handed on once.
    let both = 2 * bytes / refresh;
    assert!(both <= NODE / 5, "{bytes} B of summaries, {both} B/s within their lifetime");
}

#[test]
fn a_changed_row_takes_a_hundredth_of_the_budget() {
    let whole = zone_news(3);
    let rows = whole.rows[..1].to_vec();
    let news = ZoneUpdate { rows, ..whole };
    let summaries = Summaries { scope: Scope::Zone, zones: vec![news] };

    let one = frame_bytes(Message::Membership(Membership::Summaries(summaries)));
    let growth = (frame_bytes(self::summaries(1)) - one) / (TARGET_SCALE.models - 1);

    assert!(growth <= NODE / 100, "{growth} B for each further row");
}

#[test]
fn a_configuration_of_all_teams_arrives_within_the_limit_of_a_change() {
    let configuration = TARGET_SCALE.configuration();

    let bytes = frame_bytes(Message::Push(Box::new(Update::Full(configuration))));

    let link = 2_000_000_000 / 8 / 100;
    assert!(bytes <= MAX_FRAME_BYTES / 8, "{bytes} B is an eighth of the longest frame");
    assert!(bytes <= link * CHANGE_LIMIT, "{bytes} B takes more than a hundredth of a link");
}

#[test]
fn a_burst_of_changes_fits_the_budget_of_a_follower() {
    let change = |number: u64| {
        let changed = vec![Item::Team(scale_team(number as usize))];
        let raw = RawNote { changed, ..note(number, Vec::new()) };
        Change::Note(raw.try_into().expect("a note"))
    };
    let push = |number: u64| {
        let changes = vec![change(number)];
        frame_bytes(Message::Push(Box::new(Update::Changes { base: Revision(number), changes })))
    };

    let bytes: usize = (1..=50).map(push).sum();

    assert!(bytes <= NODE * CHANGE_LIMIT, "{bytes} B for 50 changes");
}

fn scale_team(number: usize) -> medlarlug_core::release::item::Team {
    Scale::team(&TARGET_SCALE, number)
}

/// Frames of a question and of its answer when nothing is new.
fn question_bytes() -> usize {
    let token = (1_764_720_000_000 << 20) + 100_000;
    let ask = UpdateRequest { token, revision: Revision(100_000), full: false };
    let age = Duration::from_millis(300);
    let confirmation = Some(Confirmation { revision: Revision(100_000), age });
    let answer = UpdateResponse { token, update: None, confirmation };
    frame_bytes(Message::UpdateRequest(ask))
        + frame_bytes(Message::UpdateResponse(Box::new(answer)))
}

#[test]
fn questions_about_the_configuration_take_a_twentieth_of_the_budget() {
    let bytes = question_bytes();

    assert!(bytes <= NODE / 20, "{bytes} B a second");
}

/// Frames of a heartbeat of the configuration group and of its answer.
fn group_heartbeat_bytes() -> usize {
    let (term, index, round) = (Term(100), LogIndex(100_000), 100_000_000);
    let frame = |body| {
        let storage = StorageId(u64::MAX);
        let formation = FormationId(u64::MAX);
        let envelope = replication::Envelope { formation, from: storage, to: storage, term, body };
        let message = replication::Message::Group(envelope);
        frame_bytes(Message::Replication { group: GroupId::Configuration, message })
    };
    let prev = Position { term, index };
    let append = Body::Append { prev, entries: Vec::new(), commit: index, round };
    frame(append) + frame(Body::Appended { last: index, round })
}

#[test]
fn leader_of_five_voters_and_its_share_of_questions_fit_the_budget() {
    let (voters, heartbeats, nodes) = (5, 4, 340);
    let group = (voters - 1) * (heartbeats * group_heartbeat_bytes() + question_bytes());

    let bytes = group + nodes * question_bytes() / VOTER_REQUEST_INTERVAL / voters;

    assert!(bytes <= NODE, "{bytes} B/s, {group} of them within the group");
}

#[test]
fn demand_reports_without_a_change_take_half_of_the_budget() {
    let policy = LimitPolicy::default();
    let report = DemandReport {
        from: id("entry-001"),
        incarnation: Incarnation(1_764_720_000_000),
        sequence: 100_000,
        base: 1,
        entries: Vec::new(),
    };

    let bytes = frame_bytes(Message::Demand { report });

    let both = 2 * bytes * (REGION_PEERS - 1) / policy.refresh_interval.as_secs() as usize;
    assert!(both <= NODE / 2, "{both} B/s of reports of {bytes} B");
}

#[test]
fn a_demand_report_with_every_changed_team_fits_one_peer() {
    let entry =
        |number: u32| DemandEntry { team: TeamKey(u32::MAX - number), level: DemandLevel(9) };
    let report = DemandReport {
        from: id("entry-001"),
        incarnation: Incarnation(1_764_720_000_000),
        sequence: 100_000,
        base: 1,
        entries: (0..64).map(entry).collect(),
    };

    let bytes = frame_bytes(Message::Demand { report });

    assert!(bytes <= NODE / 10, "{bytes} B for the longest report");
}

#[test]
fn a_full_demand_report_fits_a_tenth_of_a_frame() {
    let entry = |number: usize| DemandEntry {
        team: TeamKey(u32::MAX - number as u32),
        level: DemandLevel(9),
    };
    let report = DemandReport {
        from: id("entry-001"),
        incarnation: Incarnation(1_764_720_000_000),
        sequence: 1,
        base: 1,
        entries: (0..TARGET_SCALE.teams).map(entry).collect(),
    };

    let bytes = frame_bytes(Message::Demand { report });

    assert!(bytes <= NODE * CHANGE_LIMIT / 2, "{bytes} B after a restart");
}

#[test]
fn records_of_ten_requests_take_half_of_the_budget() {
    // 3,200 requests a second over the entry instances are 10 a second for each.
    let step = |millis: u64, stage| TimelineEntry { after: Duration::from_millis(millis), stage };
    let timeline = vec![
        step(0, Stage::Received { instance: id("entry-117") }),
        step(1, Stage::Sent { upstream: id("engine-344") }),
        step(700, Stage::FirstByte),
        step(12_000, Stage::Ended { outcome: Outcome::Answered, reason: "complete".into() }),
    ];
    let record = |sequence: u64| RequestRecord {
        id: id(&format!("region-3.entry-117.1764720000000.{sequence}")),
        team: id("team-1234"),
        target: ItemKey::Model(id("model-07")),
        outcome: Some(Outcome::Answered),
        timeline: timeline.clone(),
    };
    let batch = |count: u64| {
        let records = (0..count).map(|it| record(1_000_000 + it)).collect();
        let request = GroupRequest::Act(home::Action::Records(records));
        frame_bytes(Message::Call { call: 1, group: GroupId::Home(id("region-3")), request })
    };

    let bytes = (batch(101) - batch(1)) / 100;

    assert!(bytes * 10 <= NODE / 2, "{bytes} B for each ended request");
}

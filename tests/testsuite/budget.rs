//! Sizes of control messages against the bandwidth that a node may spend on control traffic.
//!
//! The bounds follow from the budget of 5,000 bytes per second and from the deployment size that the
//! capacity page plans for, never from measured sizes. Each kind of message has a share of the budget.

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

/// Control traffic that a node may cause.
const CONTROL_BYTES_PER_SECOND: usize = 5_000;
/// Entry instances in a zone.
const ENTRIES_PER_ZONE: usize = 12;
/// Entry instances of the largest region.
const ENTRIES_PER_REGION: usize = 48;
/// Engines in a zone.
const ENGINES_PER_ZONE: usize = 21;
/// Heartbeats that an instance of such a zone sends to each of its peers.
const HEARTBEATS_PER_SECOND: usize = 1;
/// Time within which a change of the configuration takes effect everywhere.
const CHANGE_LIMIT_SECONDS: usize = 10;

fn frame_bytes(message: Message) -> usize {
    let keys = DeploymentKeys::new(vec![DeploymentKey::derive("a key")]).expect("one key");
    let envelope = Envelope { from: id("entry-001"), to: id("entry-002"), message };
    frame::encode(&keys, &envelope).expect("a frame").len()
}

fn zone_update(zone: usize) -> ZoneUpdate {
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
    let zones = (0..zones).map(zone_update).collect();
    Message::Membership(Membership::Summaries(Summaries { scope: Scope::Chain(11), zones }))
}

#[test]
fn heartbeats_of_a_zone_take_a_quarter_of_the_budget() {
    let status = Status { load: 300, revision: Revision(100_000), leaving: false, settling: false };
    let incarnation = Incarnation(1_764_720_000_000);
    let heartbeat = Heartbeat { incarnation, status, digest: u32::MAX, updates: Vec::new() };

    let bytes = frame_bytes(Message::Membership(Membership::Heartbeat(heartbeat)));

    let both = 2 * bytes * HEARTBEATS_PER_SECOND * (ENTRIES_PER_ZONE - 1);
    assert!(both <= CONTROL_BYTES_PER_SECOND / 4, "{both} B/s of heartbeats of {bytes} B");
}

#[test]
fn renewals_of_a_zone_take_two_fifths_of_the_budget() {
    let renewal = |number: u64| UpstreamUpdate::Renewal {
        key: UpstreamKey([255; 4]),
        sequence: 100_000,
        age: Millis(400),
        load: LoadUpdate::from(&scale::load_report(number)),
    };
    let updates = (0..ENGINES_PER_ZONE as u64).map(renewal).collect();

    let bytes = frame_bytes(Message::Membership(Membership::Upstreams(updates)));

    // Each renewal is received once per second, and sent as often on average.
    let both = 2 * bytes;
    assert!(both <= CONTROL_BYTES_PER_SECOND * 2 / 5, "{both} B/s of renewals");
}

#[test]
fn summaries_of_all_zones_take_a_fifth_of_the_budget() {
    let refresh = medlarlug_core::membership::timing::CROSS_REGION_LIFETIME.as_secs() as usize;

    let bytes = frame_bytes(summaries(TARGET_SCALE.zones));

    // Each summary is received once within its lifetime, and passed on once.
    let both = 2 * bytes / refresh;
    assert!(
        both <= CONTROL_BYTES_PER_SECOND / 5,
        "{bytes} B of summaries, {both} B/s within their lifetime"
    );
}

#[test]
fn a_changed_row_takes_a_hundredth_of_the_budget() {
    let full = zone_update(3);
    let rows = full.rows[..1].to_vec();
    let update = ZoneUpdate { rows, ..full };
    let summaries = Summaries { scope: Scope::Zone, zones: vec![update] };

    let one = frame_bytes(Message::Membership(Membership::Summaries(summaries)));
    let growth = (frame_bytes(self::summaries(1)) - one) / (TARGET_SCALE.models - 1);

    assert!(growth <= CONTROL_BYTES_PER_SECOND / 100, "{growth} B for each further row");
}

#[test]
fn a_configuration_of_all_teams_arrives_within_the_limit_of_a_change() {
    let configuration = TARGET_SCALE.configuration();

    let bytes = frame_bytes(Message::Push(Box::new(Update::Full(configuration))));

    let byte_rate = 2_000_000_000 / 8 / 100; // a hundredth of a link of 2 Gbit/s
    assert!(bytes <= MAX_FRAME_BYTES / 8, "{bytes} B is more than an eighth of the longest frame");
    assert!(
        bytes <= byte_rate * CHANGE_LIMIT_SECONDS,
        "{bytes} B takes more than a hundredth of a link"
    );
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

    assert!(bytes <= CONTROL_BYTES_PER_SECOND * CHANGE_LIMIT_SECONDS, "{bytes} B for 50 changes");
}

fn scale_team(number: usize) -> medlarlug_core::release::item::Team {
    Scale::team(&TARGET_SCALE, number)
}

/// Size of the frames of an update request and of a response without an update.
fn update_request_bytes() -> usize {
    let token = (1_764_720_000_000 << 20) + 100_000;
    let request = UpdateRequest { token, revision: Revision(100_000), full: false };
    let age = Duration::from_millis(300);
    let confirmation = Some(Confirmation { revision: Revision(100_000), age });
    let answer = UpdateResponse { token, update: None, confirmation };
    frame_bytes(Message::UpdateRequest(request))
        + frame_bytes(Message::UpdateResponse(Box::new(answer)))
}

#[test]
fn update_requests_take_a_twentieth_of_the_budget() {
    let bytes = update_request_bytes();

    assert!(bytes <= CONTROL_BYTES_PER_SECOND / 20, "{bytes} B/s");
}

/// Size of the frames of a heartbeat within the configuration group and of its answer.
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
fn leader_of_five_voters_and_its_share_of_update_requests_fit_the_budget() {
    let (voters, heartbeats, nodes) = (5, 4, 340);
    let group = (voters - 1) * (heartbeats * group_heartbeat_bytes() + update_request_bytes());

    let bytes = group + nodes * update_request_bytes() / VOTER_REQUEST_INTERVAL / voters;

    assert!(bytes <= CONTROL_BYTES_PER_SECOND, "{bytes} B/s, {group} of them within the group");
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

    let both = 2 * bytes * (ENTRIES_PER_REGION - 1) / policy.refresh_interval.as_secs() as usize;
    assert!(both <= CONTROL_BYTES_PER_SECOND / 2, "{both} B/s of reports of {bytes} B");
}

#[test]
fn a_demand_report_with_every_changed_team_takes_a_tenth_of_the_budget() {
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

    assert!(bytes <= CONTROL_BYTES_PER_SECOND / 10, "{bytes} B for the longest report");
}

#[test]
fn a_full_demand_report_takes_half_of_the_budget_within_the_limit_of_a_change() {
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

    assert!(
        bytes <= CONTROL_BYTES_PER_SECOND * CHANGE_LIMIT_SECONDS / 2,
        "{bytes} B after a restart"
    );
}

#[test]
fn records_of_ten_requests_take_half_of_the_budget() {
    // 3,200 requests per second over all entry instances are 10 per second for each.
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

    assert!(bytes * 10 <= CONTROL_BYTES_PER_SECOND / 2, "{bytes} B for each ended request");
}

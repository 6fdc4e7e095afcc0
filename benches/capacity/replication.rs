//! Measures idle replication groups, and the size of the request records that a home group stores.

use std::{collections::VecDeque, time::Duration};

use medlarlug::protocol::{GroupId, GroupRequest, Message, frame};
use medlarlug_core::{
    home,
    ids::{Incarnation, InstanceId, LogIndex, RequestId, Term},
    record::{Outcome, RequestRecord, Stage, TimelineEntry},
    release::ItemKey,
    replication::{
        self, Config, Effect, Entry, Event, MemberKey, Payload, Replica, Role, StorageId,
        StoredState,
    },
    time::Time,
};
use test_support::id;

use crate::wire;

/// Heartbeat interval of the configuration group.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Ticks between two reads by which the leader confirms the newest revision.
const READ_INTERVAL_TICKS: u32 = 25;
const TICK: Duration = Duration::from_millis(20);
const WARM_UP_TICKS: u32 = 500;
const MEASURED_TICKS: u32 = 1_000;

/// Bytes and messages per second of a leader and of one follower.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sample {
    pub leader: f64,
    pub follower: f64,
    pub leader_messages: f64,
    /// Share of a core that the leader and its followers use together.
    pub processor: f64,
}

fn instance(number: usize) -> InstanceId {
    id(&format!("keeper-{number:03}"))
}

/// Simulates a group of `voters` without proposals.
pub fn measure(voters: usize) -> Sample {
    let replica = |number: usize| {
        let key = MemberKey { id: instance(number), storage: StorageId(u64::MAX - number as u64) };
        let config = Config::new(key, (0..voters).map(instance).collect());
        let config = config.with_heartbeat_interval(HEARTBEAT_INTERVAL);
        Replica::new(config, StoredState::default(), number as u64, Time::ZERO)
    };
    let mut replicas: Vec<Replica> = (0..voters).map(replica).collect();
    let mut bytes = vec![0.0; voters];
    let mut messages = vec![0.0; voters];
    let mut processor = 0.0;
    let keys = wire::keys();
    for tick in 0..WARM_UP_TICKS + MEASURED_TICKS {
        if tick == WARM_UP_TICKS {
            processor = wire::processor_seconds();
        }
        let now = Time::ZERO + TICK * tick;
        let mut events: VecDeque<(usize, Event)> =
            (0..voters).map(|it| (it, Event::Tick)).collect();
        if tick.is_multiple_of(READ_INTERVAL_TICKS) {
            let leader = (0..voters).find(|it| replicas[*it].role() == Role::Leader);
            events.extend(leader.map(|it| (it, Event::Read { ticket: u64::from(tick) })));
        }
        while let Some((at, event)) = events.pop_front() {
            let mut out = Vec::new();
            replicas[at].handle(now, event, &mut out);
            for effect in out {
                match effect {
                    Effect::Send { to, message } => {
                        let receiver = (0..voters).find(|it| instance(*it) == to);
                        let receiver = receiver.expect("a replica");
                        let group = GroupId::Configuration;
                        let sent = Message::Replication { group, message };
                        let envelope = wire::envelope(&instance(at), &to, sent);
                        let frame = frame::encode(&keys, &envelope).expect("a frame");
                        if tick >= WARM_UP_TICKS {
                            for index in [at, receiver] {
                                bytes[index] += frame.len() as f64;
                                messages[index] += 1.0;
                            }
                        }
                        let decoded = frame::decode(&keys, &to, &frame).expect("a frame");
                        let Message::Replication { message, .. } = decoded.message else {
                            continue;
                        };
                        let from = instance(at);
                        events.push_back((receiver, Event::Message { from, message }));
                    }
                    Effect::Persist(batch) => {
                        let sequence = batch.sequence;
                        events.push_back((at, Event::Persisted { sequence }));
                    }
                    _ => {}
                }
            }
        }
    }
    let seconds = (TICK * MEASURED_TICKS).as_secs_f64();
    let leader = (0..voters).find(|it| replicas[*it].role() == Role::Leader).expect("a leader");
    let others = bytes.iter().sum::<f64>() - bytes[leader];
    Sample {
        leader: bytes[leader] / seconds,
        follower: others / (voters - 1).max(1) as f64 / seconds,
        leader_messages: messages[leader] / seconds,
        processor: (wire::processor_seconds() - processor) / seconds,
    }
}

/// The two records of a request: one sent when it is received, one when it has ended.
pub fn records(sequence: u64) -> [RequestRecord; 2] {
    let request = RequestId {
        region: id("region-3"),
        instance: id("entry-117"),
        incarnation: Incarnation(1_764_720_000_000),
        sequence,
    };
    let step = |millis: u64, stage| TimelineEntry { after: Duration::from_millis(millis), stage };
    let received = vec![step(0, Stage::Received { instance: id("entry-117") })];
    let mut ended = received.clone();
    ended.push(step(1, Stage::Sent { upstream: id("engine-344") }));
    ended.push(step(700, Stage::FirstByte));
    let outcome = Outcome::Answered;
    ended.push(step(12_000, Stage::Ended { outcome, reason: "complete".into() }));
    let record = |outcome, timeline| RequestRecord {
        id: request.clone(),
        team: id("team-1234"),
        target: ItemKey::Model(id("model-07")),
        outcome,
        timeline,
    };
    [record(None, received), record(Some(outcome), ended)]
}

/// Size of the frame of a batch with both records of each of `requests` requests.
pub fn batch_bytes(requests: u64) -> usize {
    let batch = (0..requests).flat_map(|it| records(1_000_000 + it)).collect();
    let request = GroupRequest::Act(home::Action::Records(batch));
    wire::frame_bytes(Message::Call {
        call: 100_000,
        group: GroupId::Home(id("region-3")),
        request,
    })
}

/// Size of the frame that replicates such a batch to one follower.
pub fn append_bytes(requests: u64) -> usize {
    let batch = (0..requests).flat_map(|it| records(1_000_000 + it)).collect();
    let elapsed = Duration::from_millis(5);
    let command = home::Command { elapsed, action: home::Action::Records(batch) };
    let command = postcard::to_stdvec(&command).expect("a command");
    let position = replication::Position { term: Term(7), index: LogIndex(1_000_000) };
    let entry = Entry {
        index: LogIndex(1_000_001),
        term: Term(7),
        payload: Payload::Command(command.into()),
    };
    let envelope = replication::Envelope {
        formation: replication::FormationId(u64::MAX),
        from: StorageId(u64::MAX),
        to: StorageId(u64::MAX),
        term: Term(7),
        body: replication::Body::Append {
            prev: position,
            entries: vec![entry],
            commit: LogIndex(1_000_000),
            round: 1_000_000,
        },
    };
    let message = replication::Message::Group(envelope);
    wire::frame_bytes(Message::Replication { group: GroupId::Home(id("region-3")), message })
}

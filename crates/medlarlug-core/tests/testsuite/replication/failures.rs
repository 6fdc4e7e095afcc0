//! Focused failures of a group, and of single replicas.

use std::time::Duration;

use assert_matches::assert_matches;
use medlarlug_core::{
    configuration_group::{Command, ConfigurationGroup, Reply},
    ids::{LogIndex, Term},
    replication::{
        Body, Change, Config, Effect, Envelope, Event, FormationId, Hello, Member, MemberKey,
        MemberRole, Message, Persist, Position, Replica, StorageId, StoredState,
    },
    time::Time,
};
use test_support::{id, note, region};

use super::cluster::{Cluster, Fault, Weather};

const DURABLE: &[bool] = &[true, true, true];
const ONE_DISK: &[bool] = &[true, false, false];
/// Time in which a new leader has to stand.
const NEW_LEADER: Duration = Duration::from_secs(2);

fn formed(seed: u64, durable: &[bool], tune: fn(&mut Config)) -> Cluster {
    let mut cluster = Cluster::new(seed, durable, Fault::None, tune);
    assert!(cluster.settle(10));
    cluster
}

fn key(name: &str, storage: u64) -> MemberKey {
    MemberKey { id: id(name), storage: StorageId(storage) }
}

fn vote_request(from: &MemberKey, to: &MemberKey) -> Event {
    let body = Body::Vote { last: Position::default(), handover: false };
    let envelope = Envelope {
        formation: FormationId(1),
        from: from.storage,
        to: to.storage,
        term: Term(2),
        body,
    };
    Event::Message { from: from.id.clone(), message: Message::Group(envelope) }
}

fn persist(effects: &[Effect]) -> Option<&Persist> {
    effects.iter().find_map(|effect| match effect {
        Effect::Persist(batch) => Some(batch),
        _ => None,
    })
}

fn grants(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| match effect {
        Effect::Send { message: Message::Group(envelope), .. } => {
            envelope.body == Body::Voted { granted: true }
        }
        _ => false,
    })
}

/// Asks for a vote and returns what storage and the network got before and after the sync.
fn ask(replica: &mut Replica, from: &MemberKey, to: &MemberKey) -> (bool, bool, Option<Persist>) {
    let mut out = Vec::new();
    replica.handle(Time::ZERO, vote_request(from, to), &mut out);
    let batch = persist(&out).cloned();
    let mut synced = Vec::new();
    if let Some(batch) = &batch {
        let event = Event::Persisted { sequence: batch.sequence };
        replica.handle(Time::ZERO, event, &mut synced);
    }
    (grants(&out), grants(&synced), batch)
}

#[test]
fn vote_waits_for_sync_and_survives_restart() {
    let (a, b, c) = (key("a", 1), key("b", 2), key("c", 3));
    let config = Config::new(c.clone(), vec![id("a"), id("b"), id("c")]);
    let mut replica = Replica::new(config.clone(), StoredState::default(), 1, Time::ZERO);

    let (early, late, batch) = ask(&mut replica, &a, &c);
    let hard = batch.and_then(|batch| batch.hard).expect("a vote to keep");
    let restored = StoredState { hard: hard.clone(), ..StoredState::default() };
    let mut kept = Replica::new(config.clone(), restored, 1, Time::ZERO);
    let second = ask(&mut kept, &b, &c);
    let mut lost = Replica::new(config, StoredState::default(), 1, Time::ZERO);
    let broken = ask(&mut lost, &b, &c);

    assert!(!early && late);
    assert_eq!(hard.vote, Some(a));
    assert!(!second.0 && !second.1);
    assert!(broken.1, "storage that forgets the vote lets two candidates win");
}

#[test]
fn wiped_replica_ignores_what_its_former_self_was_asked() {
    let (a, former, present) = (key("a", 1), key("c", 3), key("c", 4));
    let config = Config::new(present, vec![id("a"), id("b"), id("c")]);
    let mut replica = Replica::new(config, StoredState::default(), 1, Time::ZERO);

    let (early, late, batch) = ask(&mut replica, &a, &former);

    assert!(!early && !late);
    assert_eq!(batch, None);
}

fn is_leader_after_cut(tune: fn(&mut Config)) -> bool {
    let mut cluster = formed(1, DURABLE, tune);
    let leader = cluster.leader().expect("a leader");
    cluster.isolate(leader);
    cluster.run(NEW_LEADER);
    cluster.nodes[leader].is_leader
}

#[test]
fn cut_off_leader_steps_down() {
    assert!(!is_leader_after_cut(|_| {}));
    assert!(is_leader_after_cut(|config| config.check_quorum = false));
}

/// Terms before a follower is cut off and after its return.
fn terms_around_return(tune: fn(&mut Config)) -> (Term, Term) {
    let mut cluster = formed(2, DURABLE, tune);
    let leader = cluster.leader().expect("a leader");
    let follower = (leader + 1) % 3;
    let before = cluster.term(leader);
    cluster.isolate(follower);
    cluster.run(Duration::from_secs(10));
    cluster.heal();
    cluster.run(Duration::from_secs(5));
    (before, cluster.term(cluster.leader().expect("a leader")))
}

#[test]
fn returning_member_does_not_disturb_the_group() {
    let (before, after) = terms_around_return(|_| {});
    let (unguarded_before, unguarded_after) = terms_around_return(|config| config.pre_vote = false);

    assert_eq!(before, after);
    assert!(unguarded_before < unguarded_after);
}

#[test]
fn group_stops_when_every_holder_of_a_commit_lost_its_storage() {
    let mut cluster = formed(3, DURABLE, |_| {});
    let leader = cluster.leader().expect("a leader");
    let (holder, survivor) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.isolate(survivor);
    cluster.propose(leader);
    cluster.run(Duration::from_millis(300));
    cluster.wipe(leader);
    cluster.wipe(holder);
    cluster.heal();

    let is_whole = cluster.settle(20);

    assert_eq!(cluster.history.acknowledged(), 1);
    assert!(!is_whole);
    assert_eq!(cluster.leader(), None);
    assert_eq!(cluster.membership(leader), None);
}

#[test]
fn survivor_is_rebuilt_into_a_group_of_its_own() {
    let mut cluster = formed(4, DURABLE, |_| {});
    let leader = cluster.leader().expect("a leader");
    let (other, survivor) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.propose(leader);
    cluster.run(Duration::from_secs(1));
    cluster.wipe(leader);
    cluster.wipe(other);
    cluster.crash(survivor);
    cluster.rebuild(survivor, FormationId(77));
    cluster.settle(5);
    let key = cluster.nodes[other].key.clone();
    let member = Member { key: key.clone(), role: MemberRole::Joining, durable: true };

    cluster.change(survivor, Change::Add(member));
    cluster.run(Duration::from_secs(5));

    let members = cluster.membership(survivor).expect("a group");
    assert_eq!(members.formation, FormationId(77));
    assert!(members.is_voter(&key));
    assert_eq!(cluster.nodes[other].applied, cluster.nodes[survivor].applied);
    assert_eq!(cluster.nodes[other].applied.len(), 1);
}

#[test]
fn commit_includes_the_durable_voter() {
    let mut cluster = formed(5, ONE_DISK, |_| {});
    cluster.isolate(0);
    cluster.run(NEW_LEADER);
    let leader = cluster.leader().expect("a volatile leader");

    cluster.propose(leader);
    cluster.run(Duration::from_secs(5));
    let before = cluster.history.acknowledged();
    cluster.heal();
    cluster.run(Duration::from_secs(5));

    assert_ne!(leader, 0);
    assert_eq!((before, cluster.history.acknowledged()), (0, 1));
}

#[test]
fn lost_disk_of_the_only_durable_voter_is_readmitted() {
    let mut cluster = formed(6, ONE_DISK, |_| {});
    let leader = cluster.leader().expect("a leader");
    cluster.propose(leader);
    cluster.run(Duration::from_secs(1));

    cluster.wipe(0);
    let is_whole = cluster.settle(20);

    assert!(is_whole);
    assert_eq!(cluster.nodes[0].applied.len(), 1);
}

#[test]
fn restart_of_all_volatile_voters_stops_the_group() {
    let mut cluster = formed(7, ONE_DISK, |_| {});
    cluster.crash(1);
    cluster.crash(2);

    let is_whole = cluster.settle(20);

    assert!(!is_whole);
    assert_eq!(cluster.leader(), None);
}

#[test]
fn new_leader_stands_in_time() {
    for seed in 0..50 {
        let mut cluster = formed(seed, DURABLE, |_| {});
        cluster.weather =
            Weather { drop: 0.01, repeat: 0.0, delay: (54_000, 58_000), sync: (500, 8_000) };
        cluster.run(Duration::from_secs(2));
        let leader = cluster.leader().expect("a leader");

        cluster.crash(leader);
        cluster.run(NEW_LEADER);

        assert!(cluster.leader().is_some(), "seed {seed}");
    }
}

#[test]
fn leadership_is_handed_over() {
    let mut cluster = formed(8, DURABLE, |_| {});
    let leader = cluster.leader().expect("a leader");

    cluster.handle(leader, Event::TransferLeadership);
    cluster.run(Duration::from_millis(100));

    let next = cluster.leader();
    assert!(next.is_some_and(|next| next != leader), "{next:?}");
}

#[test]
fn lagging_member_gets_a_snapshot_in_parts() {
    let mut cluster = formed(9, DURABLE, |_| {});
    let leader = cluster.leader().expect("a leader");
    let late = (leader + 1) % 3;
    cluster.isolate(late);
    for _ in 0..50 {
        cluster.propose(leader);
        cluster.run(Duration::from_millis(10));
    }
    cluster.run(Duration::from_secs(1));
    cluster.compact(leader);

    cluster.heal();
    cluster.run(Duration::from_secs(3));

    assert_eq!(cluster.history.acknowledged(), 50);
    assert_eq!(cluster.nodes[late].applied, cluster.nodes[leader].applied);
    assert!(cluster.committed(late) > LogIndex(50));
    assert_eq!(cluster.history.failures, Vec::<String>::new());
}

#[test]
fn snapshot_under_way_is_not_replaced() {
    let mut cluster = formed(10, DURABLE, |config| config.chunk_bytes = 8);
    let leader = cluster.leader().expect("a leader");
    let late = (leader + 1) % 3;
    cluster.isolate(late);
    for _ in 0..100 {
        cluster.propose(leader);
        cluster.run(Duration::from_millis(10));
    }
    cluster.compact(leader);

    cluster.heal();
    for _ in 0..100 {
        cluster.propose(leader);
        cluster.run(Duration::from_millis(20));
        cluster.compact(leader);
    }
    cluster.run(Duration::from_secs(1));

    assert_eq!(cluster.nodes[late].applied.len(), 200);
}

fn hello(from: &MemberKey, heard: Option<StorageId>) -> Event {
    let hello = Hello {
        key: from.clone(),
        durable: true,
        formation: None,
        leader: None,
        heard,
        founders: vec![id("a"), id("b")],
    };
    Event::Message { from: from.id.clone(), message: Message::Hello(hello) }
}

#[test]
fn group_is_not_formed_on_an_old_introduction() {
    let (a, b) = (key("a", 1), key("b", 2));
    let config = Config::new(a.clone(), vec![id("a"), id("b")]);
    let mut replica = Replica::new(config, StoredState::default(), 1, Time::ZERO);
    let mut out = Vec::new();

    replica.handle(Time::ZERO, hello(&b, Some(StorageId(9))), &mut out);
    replica.handle(Time::ZERO, Event::Tick, &mut out);
    let before = replica.membership().is_some();
    replica.handle(Time::ZERO, hello(&b, Some(a.storage)), &mut out);
    replica.handle(Time::ZERO, Event::Tick, &mut out);

    assert!(!before);
    assert!(replica.membership().is_some());
}

#[test]
fn leader_change_in_a_founding_leaves_it_the_first_and_a_rebuild_does_not() {
    let mut cluster = formed(7, DURABLE, |_| {});
    let mut configuration = ConfigurationGroup::default();
    let note = note(0, vec![region("riga", &["riga-a"])]).try_into().expect("a note");
    configuration.apply(Command::Apply(note));
    let mut found = |cluster: &Cluster, leader: usize| {
        let token = cluster.membership(leader).expect("a group").formation.into();
        configuration.apply(Command::FoundHome { region: id("riga"), token })
    };
    let leader = cluster.leader().expect("a leader");

    let first = found(&cluster, leader);
    cluster.crash(leader);
    cluster.run(NEW_LEADER);
    let next = cluster.leader().expect("another leader");
    let second = found(&cluster, next);
    cluster.crash(next);
    cluster.rebuild(next, FormationId(77));
    cluster.start(next);
    let rebuilt = found(&cluster, next);

    assert_ne!(leader, next);
    assert_matches!(first, Reply::Founded { first: true, .. });
    assert_eq!(second, first);
    assert_matches!(rebuilt, Reply::Founded { first: false, .. });
}

//! Single failures of a group and of replicas.

use std::time::Duration;

use assert_matches::assert_matches;
use medlarlug_core::{
    configuration_group::{Command, ConfigurationGroup, Reply},
    ids::{LogIndex, Term},
    replication::{
        Body, Change, Config, Effect, Entry, Envelope, Event, FormationId, Hello, Member,
        MemberKey, MemberRole, Membership, Message, Payload, Persist, Position, Rejection, Replica,
        Role, StorageId, StoredState,
    },
    time::Time,
};
use test_support::{id, note, region};

use super::cluster::{Cluster, Fault, NetworkConditions};

const ALL_DURABLE: &[bool] = &[true, true, true];
const ONE_DURABLE: &[bool] = &[true, false, false];
/// Time within which a new leader has to be elected.
const ELECTION_LIMIT: Duration = Duration::from_secs(2);

fn formed_cluster(seed: u64, durable: &[bool], configure: fn(&mut Config)) -> Cluster {
    let mut cluster = Cluster::new(seed, durable, Fault::None, configure);
    assert!(cluster.recover(10));
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

fn grants_vote(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| match effect {
        Effect::Send { message: Message::Group(envelope), .. } => {
            envelope.body == Body::Voted { granted: true }
        }
        _ => false,
    })
}

/// Requests a vote. Returns whether it was granted before and after the sync, and the batch for storage.
fn request_vote(
    replica: &mut Replica,
    from: &MemberKey,
    to: &MemberKey,
) -> (bool, bool, Option<Persist>) {
    let mut out = Vec::new();
    replica.handle(Time::ZERO, vote_request(from, to), &mut out);
    let batch = persist(&out).cloned();
    let mut synced = Vec::new();
    if let Some(batch) = &batch {
        let event = Event::Persisted { sequence: batch.sequence };
        replica.handle(Time::ZERO, event, &mut synced);
    }
    (grants_vote(&out), grants_vote(&synced), batch)
}

#[test]
fn vote_waits_for_sync_and_survives_restart() {
    let (a, b, c) = (key("a", 1), key("b", 2), key("c", 3));
    let config = Config::new(c.clone(), vec![id("a"), id("b"), id("c")]);
    let mut replica = Replica::new(config.clone(), StoredState::default(), 1, Time::ZERO);

    let (granted_before_sync, granted_after_sync, batch) = request_vote(&mut replica, &a, &c);
    let hard = batch.and_then(|batch| batch.hard).expect("a vote to persist");
    let restored = StoredState { hard: hard.clone(), ..StoredState::default() };
    let mut kept = Replica::new(config.clone(), restored, 1, Time::ZERO);
    let second = request_vote(&mut kept, &b, &c);
    let mut lost = Replica::new(config, StoredState::default(), 1, Time::ZERO);
    let broken = request_vote(&mut lost, &b, &c);

    assert!(!granted_before_sync && granted_after_sync);
    assert_eq!(hard.vote, Some(a));
    assert!(!second.0 && !second.1);
    assert!(broken.1, "storage that loses the vote lets two candidates win");
}

#[test]
fn wiped_replica_ignores_vote_requests_to_its_former_storage() {
    let (a, former, present) = (key("a", 1), key("c", 3), key("c", 4));
    let config = Config::new(present, vec![id("a"), id("b"), id("c")]);
    let mut replica = Replica::new(config, StoredState::default(), 1, Time::ZERO);

    let (granted_before_sync, granted_after_sync, batch) = request_vote(&mut replica, &a, &former);

    assert!(!granted_before_sync && !granted_after_sync);
    assert_eq!(batch, None);
}

fn leads_after_isolation(configure: fn(&mut Config)) -> bool {
    let mut cluster = formed_cluster(1, ALL_DURABLE, configure);
    let leader = cluster.leader().expect("a leader");
    cluster.isolate(leader);
    cluster.run(ELECTION_LIMIT);
    cluster.nodes[leader].is_leader
}

#[test]
fn cut_off_leader_steps_down() {
    assert!(!leads_after_isolation(|_| {}));
    assert!(leads_after_isolation(|config| config.check_quorum = false));
}

/// Terms of the leader before a follower is isolated and after its return.
fn terms_before_and_after_return(configure: fn(&mut Config)) -> (Term, Term) {
    let mut cluster = formed_cluster(2, ALL_DURABLE, configure);
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
    let (before, after) = terms_before_and_after_return(|_| {});
    let (unguarded_before, unguarded_after) =
        terms_before_and_after_return(|config| config.pre_vote = false);

    assert_eq!(before, after);
    assert!(unguarded_before < unguarded_after);
}

#[test]
fn group_stops_when_every_holder_of_a_commit_lost_its_storage() {
    let mut cluster = formed_cluster(3, ALL_DURABLE, |_| {});
    let leader = cluster.leader().expect("a leader");
    let (holder, survivor) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.isolate(survivor);
    cluster.propose(leader);
    cluster.run(Duration::from_millis(300));
    cluster.wipe(leader);
    cluster.wipe(holder);
    cluster.heal();

    let is_recovered = cluster.recover(20);

    assert_eq!(cluster.history.acknowledged(), 1);
    assert!(!is_recovered);
    assert_eq!(cluster.leader(), None);
    assert_eq!(cluster.membership(leader), None);
}

#[test]
fn survivor_is_rebuilt_into_a_new_group() {
    let mut cluster = formed_cluster(4, ALL_DURABLE, |_| {});
    let leader = cluster.leader().expect("a leader");
    let (other, survivor) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.propose(leader);
    cluster.run(Duration::from_secs(1));
    cluster.wipe(leader);
    cluster.wipe(other);
    cluster.crash(survivor);
    cluster.rebuild(survivor, FormationId(77));
    cluster.recover(5);
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
    let mut cluster = formed_cluster(5, ONE_DURABLE, |_| {});
    cluster.isolate(0);
    cluster.run(ELECTION_LIMIT);
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
fn only_durable_voter_is_readmitted_after_it_lost_its_disk() {
    let mut cluster = formed_cluster(6, ONE_DURABLE, |_| {});
    let leader = cluster.leader().expect("a leader");
    cluster.propose(leader);
    cluster.run(Duration::from_secs(1));

    cluster.wipe(0);
    let is_recovered = cluster.recover(20);

    assert!(is_recovered);
    assert_eq!(cluster.nodes[0].applied.len(), 1);
}

#[test]
fn restart_of_all_volatile_voters_stops_the_group() {
    let mut cluster = formed_cluster(7, ONE_DURABLE, |_| {});
    cluster.crash(1);
    cluster.crash(2);

    let is_recovered = cluster.recover(20);

    assert!(!is_recovered);
    assert_eq!(cluster.leader(), None);
}

#[test]
fn new_leader_is_elected_in_time() {
    for seed in 0..50 {
        let mut cluster = formed_cluster(seed, ALL_DURABLE, |_| {});
        cluster.network = NetworkConditions {
            drop: 0.01,
            duplicate: 0.0,
            delay_micros: (54_000, 58_000),
            sync_micros: (500, 8_000),
        };
        cluster.run(Duration::from_secs(2));
        let leader = cluster.leader().expect("a leader");

        cluster.crash(leader);
        cluster.run(ELECTION_LIMIT);

        assert!(cluster.leader().is_some(), "seed {seed}");
    }
}

#[test]
fn leadership_is_transferred() {
    let mut cluster = formed_cluster(8, ALL_DURABLE, |_| {});
    let leader = cluster.leader().expect("a leader");

    cluster.handle(leader, Event::TransferLeadership);
    cluster.run(Duration::from_millis(100));

    let next = cluster.leader();
    assert!(next.is_some_and(|next| next != leader), "{next:?}");
}

#[test]
fn lagging_member_gets_a_snapshot_in_chunks() {
    let mut cluster = formed_cluster(9, ALL_DURABLE, |_| {});
    let leader = cluster.leader().expect("a leader");
    let lagging = (leader + 1) % 3;
    cluster.isolate(lagging);
    for _ in 0..50 {
        cluster.propose(leader);
        cluster.run(Duration::from_millis(10));
    }
    cluster.run(Duration::from_secs(1));
    cluster.compact(leader);

    cluster.heal();
    cluster.run(Duration::from_secs(3));

    assert_eq!(cluster.history.acknowledged(), 50);
    assert_eq!(cluster.nodes[lagging].applied, cluster.nodes[leader].applied);
    assert!(cluster.committed(lagging) > LogIndex(50));
    assert_eq!(cluster.history.failures, Vec::<String>::new());
}

#[test]
fn snapshot_in_transfer_is_not_replaced() {
    let mut cluster = formed_cluster(10, ALL_DURABLE, |config| config.chunk_bytes = 8);
    let leader = cluster.leader().expect("a leader");
    let lagging = (leader + 1) % 3;
    cluster.isolate(lagging);
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

    assert_eq!(cluster.nodes[lagging].applied.len(), 200);
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
fn group_is_not_formed_on_an_outdated_hello() {
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
fn home_group_stays_the_first_after_a_leader_change_but_not_after_a_rebuild() {
    let mut cluster = formed_cluster(7, ALL_DURABLE, |_| {});
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
    cluster.run(ELECTION_LIMIT);
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

/// Payload of the log entries that a leader has sent to a member that does not acknowledge them.
fn propose_without_answers(config: Config, payloads: &[usize]) -> (Vec<Rejection>, usize) {
    let key = config.key.clone();
    let other = MemberKey { id: id("b"), storage: StorageId(2) };
    let voter =
        |key: &MemberKey| Member { key: key.clone(), role: MemberRole::Voter, durable: true };
    let members = Membership::new(FormationId(1), vec![voter(&key), voter(&other)]);
    let entry = Entry { index: LogIndex(1), term: Term(1), payload: Payload::Members(members) };
    let restored = StoredState { entries: vec![entry], ..StoredState::default() };
    let mut replica = Replica::new(config, restored, 1, Time::ZERO);
    let mut out = Vec::new();
    let now = Time::from_millis(2_000);
    replica.handle(now, Event::Tick, &mut out);
    let answer = |term, body| {
        let (formation, from, to) = (FormationId(1), other.storage, key.storage);
        let envelope = Envelope { formation, from, to, term, body };
        Event::Message { from: other.id.clone(), message: Message::Group(envelope) }
    };
    let pre_voted = Body::PreVoted { term: Term(1), granted: true };
    replica.handle(now, answer(Term(0), pre_voted), &mut out);
    replica.handle(now, Event::Persisted { sequence: 1 }, &mut out);
    replica.handle(now, answer(Term(1), Body::Voted { granted: true }), &mut out);
    let last = replica.last_index();
    replica.handle(now, answer(Term(1), Body::Appended { last, round: 1 }), &mut out);
    assert_eq!(replica.role(), Role::Leader);
    out.clear();
    for (ticket, bytes) in payloads.iter().enumerate() {
        let command = vec![0; *bytes].into();
        replica.handle(now, Event::Propose { ticket: ticket as u64, command }, &mut out);
    }
    let rejected = out.iter().filter_map(|effect| match effect {
        Effect::Rejected { reason, .. } => Some(reason.clone()),
        _ => None,
    });
    let sent = out.iter().map(|effect| match effect {
        Effect::Send { message: Message::Group(envelope), .. } => match &envelope.body {
            Body::Append { entries, .. } => entries.iter().map(|it| it.payload.len()).sum(),
            _ => 0,
        },
        _ => 0,
    });
    (rejected.collect(), sent.sum())
}

/// Guards against a window that counts messages only: sixteen long entries to a member that does not
/// answer filled the memory of both.
#[test]
fn window_of_a_member_is_bounded_by_bytes() {
    let config = Config::new(key("a", 1), vec![id("a"), id("b")]);
    let limit = config.max_inflight_bytes;

    let (_, sent) = propose_without_answers(config, &[1 << 20; 14]);

    assert!(sent <= limit + (1 << 20), "{sent} bytes were sent, {limit} is the limit");
}

/// Guards against a log that grows without bound while nothing is applied, as with a disk that hangs.
#[test]
fn leader_with_a_full_log_rejects_proposals() {
    let config =
        Config { max_log_bytes: 4_000, ..Config::new(key("a", 1), vec![id("a"), id("b")]) };

    let (rejected, _) = propose_without_answers(config, &[1_000; 6]);

    assert_matches!(rejected[..], [Rejection::LogFull { limit: 4_000 }, Rejection::LogFull { .. }]);
}

/// Guards against a leader whose transfer waits for its own disk: all changes were unanswered for as long
/// as its disk was full, and the transfer began when it had room again.
#[test]
fn leader_with_a_full_disk_hands_over_and_changes_go_on() {
    for seed in 0..20 {
        let mut cluster = formed_cluster(seed, ALL_DURABLE, |_| {});
        for _ in 0..3 {
            let leader = cluster.leader().expect("a leader");
            cluster.fill_disk(leader);
            cluster.propose(leader);
            cluster.run(Duration::from_millis(600));
            cluster.handle(leader, Event::TransferLeadership);
            cluster.run(ELECTION_LIMIT);

            let next = cluster.leader().expect("a leader");
            assert_ne!(next, leader, "seed {seed}");
            let before = cluster.nodes[next].applied.len();
            cluster.propose(next);
            cluster.run(Duration::from_millis(500));
            assert!(cluster.nodes[next].applied.len() > before, "seed {seed}");

            cluster.free_disk(leader);
            cluster.run(ELECTION_LIMIT);
        }
        assert!(cluster.recover(10));
        let leader = cluster.leader().expect("a leader");
        let applied = cluster.nodes[leader].applied.clone();
        cluster.history.check_final(&applied);
        assert_eq!(cluster.history.failures, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn storage_lag_counts_from_the_oldest_batch_that_is_not_synced() {
    let config = Config::new(key("a", 1), vec![id("a")]);
    let mut replica = Replica::new(config, StoredState::default(), 1, Time::ZERO);
    let mut out = Vec::new();

    replica.handle(Time::from_millis(100), Event::Tick, &mut out);
    let batch = persist(&out).expect("a batch").sequence;
    let before = replica.storage_lag(Time::from_millis(900));
    replica.handle(Time::from_millis(900), Event::Persisted { sequence: batch }, &mut out);

    assert_eq!(before, Duration::from_millis(800));
    assert_eq!(replica.storage_lag(Time::from_millis(900)), Duration::ZERO);
}

//! Open groups: instances that are not members are admitted and replace unresponsive voters.

use std::time::Duration;

use medlarlug_core::replication::MemberRole;
use rand::RngExt;

use super::cluster::{Cluster, Fault};

/// Time within which an instance is admitted and has caught up.
const ADMISSION_LIMIT: Duration = Duration::from_secs(3);
/// Time within which an unresponsive voter is replaced.
const REPLACEMENT_LIMIT: Duration = Duration::from_secs(6);

/// Creates a group of three founders, open or not, and one instance that is not a founder.
fn group(seed: u64, is_open: bool) -> Cluster {
    let configure: fn(&mut medlarlug_core::replication::Config) = match is_open {
        true => |config| config.target_voters = Some(3),
        false => |_| {},
    };
    let mut cluster = Cluster::new(seed, &[true, true, true], Fault::None, configure);
    assert!(cluster.recover(10));
    cluster.run(ADMISSION_LIMIT);
    cluster
}

/// Role of a node in the leader's membership.
fn role(cluster: &Cluster, node: usize) -> Option<MemberRole> {
    let members = cluster.membership(cluster.leader()?)?;
    members.get(&cluster.nodes[node].key).map(|member| member.role)
}

fn voters(cluster: &Cluster) -> usize {
    let members = cluster.leader().and_then(|leader| cluster.membership(leader));
    members.map_or(0, |members| members.voters().count())
}

fn follower(cluster: &Cluster) -> usize {
    (cluster.leader().expect("a leader") + 1) % 3
}

const NON_MEMBER: usize = 3;

#[test]
fn non_member_is_admitted_without_a_vote() {
    assert_eq!(role(&group(1, true), NON_MEMBER), Some(MemberRole::Learner));
}

#[test]
fn closed_group_does_not_admit_a_non_member() {
    assert_eq!(role(&group(1, false), NON_MEMBER), None);
}

#[test]
fn learner_replaces_an_unresponsive_voter() {
    let mut cluster = group(2, true);
    let lost = follower(&cluster);

    cluster.crash(lost);
    cluster.run(REPLACEMENT_LIMIT);

    assert_eq!(role(&cluster, NON_MEMBER), Some(MemberRole::Voter));
    assert_eq!((role(&cluster, lost), voters(&cluster)), (None, 3));
}

#[test]
fn learner_replaces_a_crashed_leader() {
    let mut cluster = group(3, true);
    let lost = cluster.leader().expect("a leader");

    cluster.crash(lost);
    cluster.run(REPLACEMENT_LIMIT);

    assert_eq!(role(&cluster, NON_MEMBER), Some(MemberRole::Voter));
    assert_eq!(voters(&cluster), 3);
}

#[test]
fn replaced_voter_returns_without_a_vote() {
    let mut cluster = group(4, true);
    let lost = follower(&cluster);
    cluster.crash(lost);
    cluster.run(REPLACEMENT_LIMIT);

    cluster.start(lost);
    cluster.run(ADMISSION_LIMIT);

    assert_eq!((role(&cluster, lost), voters(&cluster)), (Some(MemberRole::Learner), 3));
}

#[test]
fn short_freeze_changes_no_vote() {
    let mut cluster = group(5, true);
    let frozen = follower(&cluster);

    cluster.freeze(frozen);
    cluster.run(Duration::from_millis(1_500));
    cluster.thaw(frozen);
    cluster.run(ADMISSION_LIMIT);

    assert_eq!(role(&cluster, frozen), Some(MemberRole::Voter));
    assert_eq!(role(&cluster, NON_MEMBER), Some(MemberRole::Learner));
}

/// One instance at a time is stopped, wiped, frozen or isolated during writes. No acknowledged write
/// may be lost, and the group has to accept writes afterwards.
#[test]
fn histories_of_an_open_group() {
    for seed in 0..150 {
        let mut cluster = group(seed, true);
        for _ in 0..8 {
            let node = cluster.rng.random_range(0..4);
            match cluster.rng.random_range(0..4) {
                0 => cluster.crash(node),
                1 => cluster.wipe(node),
                2 => cluster.freeze(node),
                _ => cluster.isolate(node),
            }
            let time = cluster.rng.random_range(200..7_000);
            for _ in 0..4 {
                if let Some(leader) = cluster.leader() {
                    cluster.propose(leader);
                }
                cluster.run(Duration::from_millis(time / 4));
            }
            cluster.heal();
            cluster.thaw(node);
            cluster.start(node);
            cluster.run(REPLACEMENT_LIMIT);
        }

        let before = cluster.history.acknowledged();
        let leader = cluster.leader().unwrap_or_else(|| panic!("seed {seed}: no leader"));
        cluster.propose(leader);
        cluster.run(ADMISSION_LIMIT);

        assert!(cluster.history.acknowledged() > before, "seed {seed}: no write is acknowledged");
        assert_eq!(voters(&cluster), 3, "seed {seed}");
        let applied = cluster.nodes[leader].applied.clone();
        cluster.history.check_final(&applied);
        assert_eq!(cluster.history.failures, Vec::<String>::new(), "seed {seed}");
    }
}

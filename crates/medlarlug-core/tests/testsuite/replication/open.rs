//! Open groups: strangers are let in and take the votes of those that are gone.

use std::time::Duration;

use medlarlug_core::replication::MemberRole;
use rand::RngExt;

use super::cluster::{Cluster, Fault};

/// Time in which a stranger is let in and has caught up.
const LET_IN: Duration = Duration::from_secs(3);
/// Time in which the vote of a silent member has gone to another one.
const REPLACED: Duration = Duration::from_secs(6);

/// Three founders and a stranger, in a group that is open or not.
fn group(seed: u64, is_open: bool) -> Cluster {
    let tune: fn(&mut medlarlug_core::replication::Config) = match is_open {
        true => |config| config.target_voters = Some(3),
        false => |_| {},
    };
    let mut cluster = Cluster::new(seed, &[true, true, true], Fault::None, tune);
    assert!(cluster.settle(10));
    cluster.run(LET_IN);
    cluster
}

/// The part of a node in the membership that the leader holds.
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

const STRANGER: usize = 3;

#[test]
fn stranger_is_let_in_without_a_vote() {
    assert_eq!(role(&group(1, true), STRANGER), Some(MemberRole::Learner));
}

#[test]
fn closed_group_lets_no_stranger_in() {
    assert_eq!(role(&group(1, false), STRANGER), None);
}

#[test]
fn vote_of_a_silent_member_goes_to_the_stranger() {
    let mut cluster = group(2, true);
    let lost = follower(&cluster);

    cluster.crash(lost);
    cluster.run(REPLACED);

    assert_eq!(role(&cluster, STRANGER), Some(MemberRole::Voter));
    assert_eq!((role(&cluster, lost), voters(&cluster)), (None, 3));
}

#[test]
fn vote_of_the_leader_goes_to_the_stranger_as_well() {
    let mut cluster = group(3, true);
    let lost = cluster.leader().expect("a leader");

    cluster.crash(lost);
    cluster.run(REPLACED);

    assert_eq!(role(&cluster, STRANGER), Some(MemberRole::Voter));
    assert_eq!(voters(&cluster), 3);
}

#[test]
fn member_that_lost_its_vote_returns_without_one() {
    let mut cluster = group(4, true);
    let lost = follower(&cluster);
    cluster.crash(lost);
    cluster.run(REPLACED);

    cluster.start(lost);
    cluster.run(LET_IN);

    assert_eq!((role(&cluster, lost), voters(&cluster)), (Some(MemberRole::Learner), 3));
}

#[test]
fn short_silence_changes_no_vote() {
    let mut cluster = group(5, true);
    let frozen = follower(&cluster);

    cluster.freeze(frozen);
    cluster.run(Duration::from_millis(1_500));
    cluster.thaw(frozen);
    cluster.run(LET_IN);

    assert_eq!(role(&cluster, frozen), Some(MemberRole::Voter));
    assert_eq!(role(&cluster, STRANGER), Some(MemberRole::Learner));
}

/// One instance at a time is down, wiped, frozen or cut off while changes are made; nothing
/// acknowledged is lost, and the group goes on.
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
            cluster.run(REPLACED);
        }

        let before = cluster.history.acknowledged();
        let leader = cluster.leader().unwrap_or_else(|| panic!("seed {seed}: no leader"));
        cluster.propose(leader);
        cluster.run(LET_IN);

        assert!(cluster.history.acknowledged() > before, "seed {seed}: no change is acknowledged");
        assert_eq!(voters(&cluster), 3, "seed {seed}");
        let applied = cluster.nodes[leader].applied.clone();
        cluster.history.check_final(&applied);
        assert_eq!(cluster.history.failures, Vec::<String>::new(), "seed {seed}");
    }
}

//! Announcements of upstreams that arrive late, twice or from an earlier incarnation.

use std::{net::SocketAddr, time::Duration};

use medlarlug_core::{
    gateway::upstreams::{Birth, Effect, Renewal, Upstream, UpstreamState, Upstreams},
    time::Time,
};

use super::fixture::upstream;

const NOW: Duration = Duration::ZERO;

fn draining(sequence: u64) -> Upstream {
    Upstream { state: UpstreamState::Draining, ..upstream("engine-1", sequence) }
}

fn state(upstreams: &Upstreams) -> UpstreamState {
    upstreams.get(&"engine-1".parse().unwrap()).unwrap().upstream.state
}

#[test]
fn late_announcement_does_not_revive_a_draining_upstream() {
    let mut upstreams = Upstreams::default();
    upstreams.announce(Time::ZERO, draining(5), NOW);

    let late = upstreams.announce(Time::ZERO, upstream("engine-1", 4), NOW);
    let newer = upstreams.announce(Time::ZERO, upstream("engine-1", 6), NOW);

    assert_eq!((late, newer), (Effect::Ignored, Effect::Ignored));
    assert_eq!(state(&upstreams), UpstreamState::Draining);
}

#[test]
fn announcement_after_leaving_is_ignored_within_the_incarnation() {
    let mut upstreams = Upstreams::default();
    upstreams.announce(Time::ZERO, upstream("engine-1", 1), NOW);
    upstreams.mark_gone(&"engine-1".parse().unwrap());

    let late = upstreams.announce(Time::ZERO, upstream("engine-1", 9), NOW);

    assert_eq!((late, state(&upstreams)), (Effect::Ignored, UpstreamState::Gone));
}

#[test]
fn new_incarnation_under_the_same_id_is_accepted() {
    let mut upstreams = Upstreams::default();
    upstreams.announce(Time::ZERO, upstream("engine-1", 40), NOW);
    upstreams.mark_gone(&"engine-1".parse().unwrap());

    let restarted = Upstream { birth: Birth(2_000), ..upstream("engine-1", 1) };
    let effect = upstreams.announce(Time::ZERO, restarted, NOW);

    assert_eq!((effect, state(&upstreams)), (Effect::Changed, UpstreamState::Ready));
}

#[test]
fn delayed_announcement_of_an_older_upstream_at_a_reused_address_is_ignored() {
    let mut upstreams = Upstreams::default();
    let younger = Upstream { birth: Birth(5_000), ..upstream("engine-2", 1) };
    upstreams.announce(Time::ZERO, younger, NOW);

    let effect = upstreams.announce(Time::ZERO, upstream("engine-1", 7), NOW);

    assert_eq!(effect, Effect::Ignored);
    assert!(upstreams.get(&"engine-1".parse().unwrap()).is_none());
}

#[test]
fn leaving_of_an_unknown_upstream_suppresses_its_late_announcement() {
    let mut upstreams = Upstreams::default();
    upstreams.mark_unknown_gone(Time::ZERO, upstream("engine-1", 0));

    let late = upstreams.announce(Time::ZERO, upstream("engine-1", 17), NOW);
    let first = Upstream { birth: Birth(9_000), ..upstream("engine-1", 1) };
    let restarted = upstreams.announce(Time::ZERO, first, NOW);

    assert_eq!((late, restarted), (Effect::Ignored, Effect::Changed));
}

#[test]
fn upstream_that_turns_cold_again_has_changed() {
    let mut upstreams = Upstreams::default();
    upstreams.announce(Time::ZERO, upstream("engine-1", 1), NOW);

    let cold = Upstream { cold: Duration::from_secs(3), ..upstream("engine-1", 2) };
    let effect = upstreams.announce(Time::from_millis(1_200), cold, NOW);

    let known = upstreams.get(&"engine-1".parse().unwrap()).unwrap();
    assert_eq!(effect, Effect::Changed);
    assert_eq!(known.cold_remaining(Time::from_millis(2_200)), Duration::from_secs(2));
}

#[test]
fn renewal_keeps_the_end_of_the_cold_time() {
    let mut upstreams = Upstreams::default();
    let cold = Upstream { cold: Duration::from_secs(3), ..upstream("engine-1", 1) };
    upstreams.announce(Time::ZERO, cold, NOW);

    let id = "engine-1".parse().unwrap();
    let renewal = Renewal { id, birth: Birth(1_000), sequence: 2, age_ms: 0 };
    let effect = upstreams.renew(Time::from_millis(1_000), &renewal);

    let known = upstreams.get(&"engine-1".parse().unwrap()).unwrap();
    assert_eq!(effect, Effect::Renewed);
    assert_eq!(known.cold_remaining(Time::from_millis(1_000)), Duration::from_secs(2));
}

#[test]
fn renewal_of_another_incarnation_is_ignored() {
    let mut upstreams = Upstreams::default();
    upstreams.announce(Time::ZERO, upstream("engine-1", 1), NOW);

    let id = "engine-1".parse().unwrap();
    let renewal = Renewal { id, birth: Birth(2_000), sequence: 2, age_ms: 0 };

    assert_eq!(upstreams.renew(Time::ZERO, &renewal), Effect::Ignored);
}

#[test]
fn upstream_without_announcements_is_forgotten() {
    let mut upstreams = Upstreams::default();
    upstreams.announce(Time::ZERO, upstream("engine-1", 1), NOW);

    let early = upstreams.forget_expired(Time::from_millis(39_000));
    let late = upstreams.forget_expired(Time::from_millis(41_000));

    assert_eq!((early.len(), late.len()), (0, 1));
}

/// The same announcements in any order lead to the same state.
#[test]
fn order_of_arrival_does_not_matter() {
    use rand::{SeedableRng, seq::SliceRandom};

    let restarted = |sequence| Upstream { birth: Birth(2_000), ..upstream("engine-1", sequence) };
    let announcements = [
        upstream("engine-1", 1),
        upstream("engine-1", 2),
        draining(3),
        upstream("engine-1", 4),
        restarted(1),
        restarted(2),
        Upstream { state: UpstreamState::Draining, ..restarted(3) },
    ];
    for seed in 0..500 {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut shuffled = announcements.clone();
        shuffled.shuffle(&mut random);
        let mut upstreams = Upstreams::default();
        for upstream in shuffled {
            upstreams.announce(Time::ZERO, upstream, NOW);
        }

        let known = upstreams.get(&"engine-1".parse().unwrap()).unwrap();
        let newest = (known.upstream.birth, known.upstream.state);
        assert_eq!(newest, (Birth(2_000), UpstreamState::Draining), "seed {seed}");
    }
}

/// Keepers forward the content of changes, but only the fact of a renewal. If a new cold time were
/// treated as a renewal, other processes would not receive it.
#[test]
fn upstream_that_turns_cold_again_before_it_is_warm_has_changed() {
    let mut upstreams = Upstreams::default();
    let cold = |sequence, seconds| Upstream {
        cold: Duration::from_secs(seconds),
        ..upstream("engine-1", sequence)
    };
    upstreams.announce(Time::ZERO, cold(1, 3), NOW);

    let cooling = upstreams.announce(Time::from_millis(1_000), cold(2, 2), NOW);
    let again = upstreams.announce(Time::from_millis(2_000), cold(3, 3), NOW);

    assert_eq!((cooling, again), (Effect::Renewed, Effect::Changed));
}

#[test]
fn warm_upstream_that_stays_warm_is_renewed() {
    let mut upstreams = Upstreams::default();
    upstreams.announce(Time::ZERO, upstream("engine-1", 1), NOW);

    let later = upstreams.announce(Time::from_millis(1_200), upstream("engine-1", 2), NOW);

    assert_eq!(later, Effect::Renewed);
}

/// Guards against an upstream that becomes warm too early: it turned cold twice within 234 ms and
/// got 12 requests in a second (soak, seed 402).
#[test]
fn upstream_that_turns_cold_again_within_the_jitter_does_not_become_warm_too_early() {
    let mut upstreams = Upstreams::default();
    let id = "engine-1".parse().unwrap();
    let cold = |sequence, millis| Upstream {
        cold: Duration::from_millis(millis),
        ..upstream("engine-1", sequence)
    };
    upstreams.announce(Time::ZERO, cold(1, 3_000), NOW);

    let renewed = upstreams.announce(Time::from_millis(400), cold(2, 2_834), NOW);
    let renewal = Renewal { id, birth: Birth(1_000), sequence: 2, age_ms: 0 };
    let mut received = Upstreams::default();
    received.announce(Time::ZERO, cold(1, 3_000), NOW);
    received.renew(Time::from_millis(400), &renewal);

    let known = received.get(&renewal.id).unwrap();
    assert_eq!(renewed, Effect::Renewed);
    assert!(known.may_be_cold(Time::from_millis(3_230)));
}

/// Keepers forward what upstreams announced to them, not what they received from each other.
#[test]
fn announcement_received_by_another_process_is_not_local() {
    let mut upstreams = Upstreams::default();

    upstreams.announce(Time::ZERO, upstream("engine-1", 1), Duration::ZERO);

    assert!(!upstreams.get(&"engine-1".parse().unwrap()).unwrap().is_local);
}

fn keeper(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7_660))
}

/// An entry instance and a keeper that has sent it one upstream, both at time zero.
fn entry_and_keeper(birth: u64) -> (Upstreams, Upstreams) {
    let announced = Upstream { birth: Birth(birth), ..upstream("engine-1", 1) };
    let (mut entry, mut at_keeper) = (Upstreams::default(), Upstreams::default());
    at_keeper.announce_local(Time::ZERO, announced.clone(), NOW);
    entry.announce(Time::ZERO, announced, NOW);
    entry.record_keeper(keeper(1), &"engine-1".parse().unwrap(), Birth(birth));
    (entry, at_keeper)
}

fn announced_at(upstreams: &Upstreams) -> Time {
    upstreams.get(&"engine-1".parse().unwrap()).unwrap().announced_at
}

/// Guards against one renewal message per upstream: a keeper sent each renewal of 3,000 upstreams
/// to 100 of 300 instances, 9 MB per second.
#[test]
fn heartbeat_renews_upstreams_that_the_keeper_has_sent_without_naming_them() {
    let (mut entry, mut at_keeper) = entry_and_keeper(7);
    let now = Time::from_millis(10_000);
    at_keeper.announce_local(now, Upstream { birth: Birth(7), ..upstream("engine-1", 9) }, NOW);

    let heartbeat = at_keeper.heartbeat(now);
    entry.apply_heartbeat(now, keeper(1), &heartbeat);

    assert!(heartbeat.late.is_empty());
    assert_eq!(announced_at(&entry), Time::from_millis(8_200));
}

#[test]
fn heartbeat_names_an_upstream_without_recent_announcements_with_its_age() {
    let (mut entry, at_keeper) = entry_and_keeper(7);
    let now = Time::from_millis(3_000);

    let heartbeat = at_keeper.heartbeat(now);
    entry.apply_heartbeat(now, keeper(1), &heartbeat);

    assert_eq!(heartbeat.late.len(), 1);
    assert_eq!(announced_at(&entry), Time::ZERO);
}

/// A keeper that has just started does not know an upstream that crashed before.
#[test]
fn heartbeat_of_a_keeper_that_has_not_sent_an_upstream_does_not_renew_it() {
    let (mut entry, _) = entry_and_keeper(7);
    let now = Time::from_millis(3_000);

    entry.apply_heartbeat(now, keeper(2), &Upstreams::default().heartbeat(now));
    entry.forget_keeper(keeper(1));
    entry.apply_heartbeat(now, keeper(1), &Upstreams::default().heartbeat(now));

    assert_eq!(announced_at(&entry), Time::ZERO);
}

#[test]
fn heartbeat_of_a_keeper_that_sent_an_earlier_incarnation_does_not_renew_the_present_one() {
    let (mut entry, mut at_keeper) = entry_and_keeper(7);
    entry.announce(Time::ZERO, Upstream { birth: Birth(8), ..upstream("engine-1", 1) }, NOW);
    let now = Time::from_millis(3_000);
    at_keeper.announce_local(now, Upstream { birth: Birth(7), ..upstream("engine-1", 9) }, NOW);

    entry.apply_heartbeat(now, keeper(1), &at_keeper.heartbeat(now));

    assert_eq!(announced_at(&entry), Time::ZERO);
}

/// The keeper has forgotten the upstream and does not name it any more.
#[test]
fn heartbeat_does_not_renew_an_upstream_without_announcements_for_long() {
    let (mut entry, _) = entry_and_keeper(7);
    let now = Time::from_millis(39_900);

    entry.apply_heartbeat(now, keeper(1), &Upstreams::default().heartbeat(now));

    assert_eq!(announced_at(&entry), Time::ZERO);
}

#[test]
fn heartbeat_does_not_end_a_cold_time_before_it_is_over() {
    let cold = Upstream { cold: Duration::from_secs(6), ..upstream("engine-1", 1) };
    let mut entry = Upstreams::default();
    entry.announce(Time::ZERO, cold.clone(), NOW);
    entry.record_keeper(keeper(1), &cold.id, cold.birth);
    let mut at_keeper = Upstreams::default();
    at_keeper.announce_local(Time::ZERO, cold, NOW);

    let now = Time::from_millis(1_700);
    entry.apply_heartbeat(now, keeper(1), &at_keeper.heartbeat(now));

    let known = entry.get(&"engine-1".parse().unwrap()).unwrap();
    assert!(known.may_be_cold(Time::from_millis(5_900)));
    assert!(!known.may_be_cold(Time::from_millis(6_400)));
}

#[test]
fn upstream_that_comes_back_has_crashed_unless_it_was_leaving() {
    let mut upstreams = Upstreams::default();
    let other = Upstream { address: "10.128.0.10:8080".parse().unwrap(), ..draining(1) };
    upstreams.announce(Time::ZERO, upstream("engine-0", 1), NOW);
    upstreams.announce(Time::ZERO, other, NOW);
    let back = Upstream { birth: Birth(2_000), ..upstream("engine-2", 1) };
    let returned = Upstream { birth: Birth(2_000), ..upstream("engine-1", 1) };

    let at_address = upstreams.crashed_predecessors(&back);
    let after_leaving = upstreams.crashed_predecessors(&Upstream {
        address: "10.128.0.11:8080".parse().unwrap(),
        ..returned
    });
    let same = upstreams.crashed_predecessors(&upstream("engine-0", 2));

    assert_eq!(at_address, [("engine-0".parse().unwrap(), Birth(1_000))]);
    assert_eq!((after_leaving, same), (Vec::new(), Vec::new()));
}

fn with_software(upstream: Upstream, version: &str) -> Upstream {
    Upstream { software: Some(version.parse().unwrap()), ..upstream }
}

fn software(upstreams: &Upstreams) -> Option<String> {
    let known = upstreams.get(&"engine-1".parse().unwrap()).unwrap();
    known.upstream.software.as_ref().map(ToString::to_string)
}

#[test]
fn id_that_comes_back_with_another_software_version_is_known_by_the_new_one() {
    let mut upstreams = Upstreams::default();
    upstreams.announce(Time::ZERO, with_software(upstream("engine-1", 40), "v1"), NOW);

    let restarted = Upstream { birth: Birth(2_000), ..upstream("engine-1", 1) };
    upstreams.announce(Time::ZERO, with_software(restarted, "v1.1"), NOW);
    let late = upstreams.announce(Time::ZERO, with_software(upstream("engine-1", 41), "v1"), NOW);

    assert_eq!(late, Effect::Ignored);
    assert_eq!(software(&upstreams).as_deref(), Some("v1.1"));
}

#[test]
fn software_version_that_a_process_of_an_earlier_build_left_out_is_completed() {
    let mut upstreams = Upstreams::default();
    upstreams.announce(Time::ZERO, upstream("engine-1", 5), NOW);

    let effect = upstreams.announce(Time::ZERO, with_software(upstream("engine-1", 5), "v1"), NOW);
    upstreams.announce(Time::ZERO, upstream("engine-1", 6), NOW);

    assert_eq!(effect, Effect::Changed);
    assert_eq!(software(&upstreams).as_deref(), Some("v1"));
}

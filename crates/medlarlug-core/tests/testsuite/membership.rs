//! Tests of the membership core on a simulated network.

use std::time::Duration;

use assert_matches::assert_matches;
use medlarlug_core::{
    fingerprint::Fingerprint,
    ids::{Incarnation, Revision},
    membership::{
        DeadPeer, Effect, Event, Heartbeat, InstanceKind, Membership, Message, Notice,
        PendingResponses, Seed, Settings, Status, UpstreamUpdate,
        timing::{ANSWER_TIMEOUT, DEAD_REPORT_LIFETIME},
    },
    time::Time,
};
use rand::RngExt;
use test_support::id;

use crate::network::{Faults, Network, engine, entry};

const SECOND: Duration = Duration::from_secs(1);

fn one_zone(seed: u64, entries: usize, upstreams: usize) -> Network {
    let seeds = (0..entries).map(|it| entry(&format!("e{it}"), "riga-a", "riga")).collect();
    let mut network = Network::new(seed, seeds);
    for it in 0..upstreams {
        network.add_upstream(engine(&format!("u{it}"), "riga-a", &["m"]));
    }
    network
}

fn single(now: Time) -> Membership {
    let own = entry("e0", "riga-a", "riga");
    let peers = vec![entry("e1", "riga-a", "riga")];
    Membership::new(now, Settings { own, incarnation: Incarnation(1), peers })
}

#[test]
fn every_instance_knows_every_upstream() {
    let mut network = one_zone(1, 4, 6);

    network.run(3 * SECOND);

    let expected = network.expected_usable(&id("riga-a"));
    assert_eq!(expected.len(), 6);
    for node in 0..4 {
        assert_eq!(network.usable(node), expected);
    }
}

/// Guards against a connection that is never replaced: if this instance starts while the connection
/// of the peer to it is unresponsive, it never gets a first message whose successors it could miss.
#[test]
fn connection_of_a_peer_is_replaced_until_its_first_message_arrives() {
    let mut membership = single(Time::ZERO);
    let mut reconnects = |millis: std::ops::Range<u64>, event: Option<Event>| {
        let mut out = Vec::new();
        let events = event.into_iter().map(|it| (millis.start, it));
        let ticks = millis.clone().step_by(250).map(|it| (it, Event::Tick));
        for (at, event) in events.chain(ticks) {
            membership.handle(Time::from_millis(at), event, &mut out);
        }
        out.iter().filter(|it| matches!(it, Effect::Reconnect { .. })).count()
    };
    let (status, updates) = (Status::default(), Vec::new());
    let beat = Heartbeat { incarnation: Incarnation(1), status, digest: 0, updates };
    let received = Event::Message { from: id("e1"), message: Message::Heartbeat(beat) };

    let first = reconnects(0..10_000, None);
    let later = reconnects(10_000..20_000, None);
    let after = reconnects(20_000..21_000, Some(received));

    assert!(first > 0 && later > 0, "{first} and {later} times replaced");
    assert_eq!(after, 0);
}

#[test]
fn leaving_overrides_an_older_announcement_that_arrives_late() {
    let mut membership = single(Time::ZERO);
    let mut left = engine("u0", "riga-a", &["m"]);
    let late = left.clone();
    left.sequence = 5;
    left.leaving = true;

    let mut out = Vec::new();
    membership.handle(Time::from_millis(10), Event::Announced(left), &mut out);
    membership.handle(Time::from_millis(20), Event::Announced(late.clone()), &mut out);

    assert_eq!(membership.upstreams(Time::from_millis(20)).count(), 0);

    let higher = medlarlug_core::announcement::Announcement { incarnation: Incarnation(2), ..late };
    membership.handle(Time::from_millis(30), Event::Announced(higher), &mut out);

    assert_eq!(membership.upstreams(Time::from_millis(30)).count(), 1);
}

#[test]
fn peer_that_missed_the_leaving_is_sent_it() {
    let mut membership = single(Time::ZERO);
    let mut left = engine("u0", "riga-a", &["m"]);
    let announcement = Box::new(left.clone());
    left.sequence = 5;
    left.leaving = true;
    membership.handle(Time::ZERO, Event::Announced(left), &mut Vec::new());

    let mut out = Vec::new();
    let updates = vec![UpstreamUpdate::Full { announcement, age: SECOND }];
    let message = Message::Upstreams(updates);
    let event = Event::Message { from: id("e1"), message };
    membership.handle(Time::from_millis(10), event, &mut out);

    let is_sent = out.iter().any(|it| {
        matches!(it, Effect::Send { message: Message::Upstreams(updates), .. }
            if matches!(updates[..], [UpstreamUpdate::Left { .. }]))
    });
    assert!(is_sent);
}

#[test]
fn peer_whose_digest_differs_is_sent_the_full_view() {
    let mut membership = single(Time::ZERO);
    let announced = Event::Announced(engine("u0", "riga-a", &["m"]));
    membership.handle(Time::ZERO, announced, &mut Vec::new());
    let status = Status::default();
    let beat = Heartbeat { incarnation: Incarnation(1), status, digest: 1, updates: Vec::new() };

    let mut out = Vec::new();
    for millis in [500, 1_000] {
        let message = Message::Heartbeat(beat.clone());
        let event = Event::Message { from: id("e1"), message };
        membership.handle(Time::from_millis(millis), event, &mut out);
    }

    let full_views = out.iter().filter(|it| {
        matches!(it, Effect::Send { message: Message::Upstreams(updates), .. } if updates.len() == 1)
    });
    assert_eq!(full_views.count(), 1);
}

#[test]
fn announcement_for_another_zone_is_refused() {
    let mut membership = single(Time::ZERO);

    let mut out = Vec::new();
    membership.handle(Time::ZERO, Event::Announced(engine("u0", "kochi-a", &["m"])), &mut out);

    assert_matches!(out[..], [Effect::Notice(Notice::ForeignZone(_))]);
}

#[test]
fn leaving_and_dead_upstreams_stop_getting_requests_in_time() {
    for seed in 0..1_000 {
        let mut network = one_zone(seed, 4, 5);
        network.run(3 * SECOND);
        network.faults = Faults::ROUGH;
        let removed = network.random().random_range(0..5);
        let is_leaving = network.random().random_bool(0.5);

        if is_leaving {
            network.leave(removed);
        } else {
            network.upstreams[removed].is_up = false;
        }
        network.run(if is_leaving { 2 * SECOND } else { 3 * SECOND });

        let removed = network.upstreams[removed].announcement.id.clone();
        for _ in 0..40 {
            for node in 0..4 {
                assert!(!network.usable(node).contains(&removed), "seed {seed}, instance {node}");
            }
            network.step();
        }
    }
}

#[test]
fn views_agree_with_the_reference_list_after_a_partition_heals() {
    for seed in 0..400 {
        let mut network = one_zone(seed, 5, 6);
        network.run(2 * SECOND);
        network.faults = Faults::ROUGH;
        let cut = network.random().random_range(1..4);
        network.cut = (0..cut).collect();
        for _ in 0..6 {
            inject_fault(&mut network);
            network.run(SECOND);
        }

        network.cut.clear();
        network.faults = Faults::NONE;
        network.run(3 * SECOND);

        let expected = network.expected_usable(&id("riga-a"));
        for node in 0..5 {
            assert_eq!(network.usable(node), expected, "seed {seed}, instance {node}");
        }
    }
}

fn inject_fault(network: &mut Network) {
    let upstream = network.random().random_range(0..6);
    let node = network.random().random_range(0..5);
    match network.random().random_range(0..4) {
        0 => network.leave(upstream),
        1 => network.upstreams[upstream].is_up = false,
        2 => network.restart_upstream(upstream),
        _ => network.restart_node(node),
    }
}

#[test]
fn restarted_instance_is_sent_the_tombstone_of_an_upstream() {
    let mut network = one_zone(3, 3, 3);
    network.run(3 * SECOND);
    network.leave(0);
    network.run(SECOND);

    network.restart_node(2);
    network.run(2 * SECOND);

    assert_eq!(network.usable(2), network.expected_usable(&id("riga-a")));
}

#[test]
fn unresponsive_connection_is_replaced_without_declaring_an_instance_dead() {
    let mut network = one_zone(4, 3, 2);
    network.run(3 * SECOND);
    network.notices.clear();

    network.unresponsive.push((0, 1));
    network.run(5 * SECOND);

    assert!(network.unresponsive.is_empty());
    let is_dead = |notice: &Notice| matches!(notice, Notice::PeerDead(_));
    assert!(!network.notices.iter().any(|(_, it)| is_dead(it)));
}

#[test]
fn instance_that_is_unresponsive_on_new_connections_counts_as_dead() {
    let mut network = one_zone(5, 3, 2);
    network.run(3 * SECOND);

    network.nodes[0].is_up = false;
    network.run(4 * SECOND);

    assert!(network.notices.contains(&(1, Notice::PeerDead(id("e0")))));
    let entries = network.nodes[1].membership.entries(network.clock(1));
    assert!(entries.iter().all(|it| it.id != id("e0")));
    assert!(network.nodes[1].membership.is_speaker());
}

#[test]
fn leaving_instance_accepts_no_callers() {
    let mut network = one_zone(6, 3, 0);
    network.run(2 * SECOND);

    let now = network.clock(0);
    let status = Status { load: 3, revision: Revision(7), leaving: true, settling: false };
    network.nodes[0].membership.handle(now, Event::Status(status), &mut Vec::new());
    network.run(SECOND);

    for node in 0..3 {
        let entries = network.nodes[node].membership.entries(network.clock(node));
        assert_eq!(entries.len(), 2);
        assert_eq!(network.nodes[node].membership.highest_revision(), Revision(7));
    }
}

fn regions(regions: usize, zones: usize, entries: usize) -> Network {
    let mut seeds = Vec::new();
    for zone in 0..zones {
        let (name, region) = (format!("z{zone}"), format!("r{}", zone % regions));
        seeds.extend((0..entries).map(|it| entry(&format!("e{zone}-{it}"), &name, &region)));
    }
    Network::new(8, seeds)
}

#[test]
fn summaries_reach_every_instance_and_survive_the_crash_of_a_speaker() {
    let mut network = regions(3, 6, 3);
    for zone in 0..6 {
        let zone_name = format!("z{zone}");
        network.add_upstream(engine(&format!("u{zone}"), &zone_name, &["m"]));
    }
    network.run(10 * SECOND);

    network.nodes[0].is_up = false;
    network.run(25 * SECOND);

    let target = medlarlug_core::membership::Target::Model(id("m"));
    for node in 1..network.nodes.len() {
        let now = network.clock(node);
        for zone in network.nodes[node].membership.zones() {
            let row = zone.row(now, &target);
            assert!(row.is_some_and(|it| it.summary.upstreams == 1), "{node}: {}", zone.zone);
        }
    }
}

#[test]
fn control_traffic_stays_within_its_budget_at_full_scale() {
    let mut network = regions(8, 29, 12);
    let models: Vec<String> = (0..12).map(|it| format!("model-{it:02}")).collect();
    for it in 0..600 {
        let zone = format!("z{}", it % 29);
        let loaded = [models[it % 12].as_str(), models[(it / 12) % 12].as_str()];
        let mut upstream = engine(&format!("engine-{it:03}"), &zone, &loaded[..1 + it % 2]);
        upstream.load.speed = 2_000.0;
        network.add_upstream(upstream);
    }
    network.run(4 * SECOND);
    network.measures_bytes = true;

    for _ in 0..8 {
        change_loads(&mut network);
        network.run(SECOND);
    }

    let both = network.nodes.iter().map(|it| (it.sent + it.received) / 8).max().unwrap();
    let sent = network.nodes.iter().map(|it| it.sent / 8).max().unwrap();
    let received = network.nodes.iter().map(|it| it.received / 8).max().unwrap();
    println!("most bytes a second: {sent} sent, {received} received, {both} both");
    assert!(both < 5_000, "{both} bytes a second sent and received");
}

fn change_loads(network: &mut Network) {
    for it in 0..network.upstreams.len() {
        let running = network.random().random_range(0..12);
        let prefix = network.random().random_range(0..u128::MAX);
        let load = &mut network.upstreams[it].announcement.load;
        load.running = running;
        load.waiting = running / 3;
        load.cached = vec![Fingerprint(prefix)];
        load.evicted = vec![Fingerprint(prefix / 2)];
    }
}

#[test]
fn summaries_are_fresh_in_every_zone_after_a_long_partition_heals() {
    for seed in 0..20 {
        let mut network = regions(3, 3, 3);
        for zone in 0..3 {
            network.add_upstream(engine(&format!("u{zone}"), &format!("z{zone}"), &["m"]));
        }
        network.run(Duration::from_millis(5_000 + 150 * seed));
        network.cut = vec![0, 1, 2];
        network.run(30 * SECOND);

        network.cut.clear();
        network.run(3 * SECOND);

        let target = medlarlug_core::membership::Target::Model(id("m"));
        for node in 0..network.nodes.len() {
            let now = network.clock(node);
            for zone in network.nodes[node].membership.zones() {
                let row = zone.row(now, &target);
                let is_fresh = row.is_some_and(|it| now - it.created_at < 3 * SECOND);
                assert!(is_fresh, "seed {seed}, instance {node}, {}", zone.zone);
            }
        }
    }
}

/// Two zones of a region with many entry instances, and a keeper in the second zone.
fn two_zones_and_a_keeper() -> Network {
    let mut seeds: Vec<Seed> = Vec::new();
    for zone in ["a", "b"] {
        let name = format!("riga-{zone}");
        seeds.extend((0..10).map(|it| entry(&format!("{zone}{it}"), &name, "riga")));
    }
    seeds.push(Seed { kind: InstanceKind::Keeper, ..entry("k0", "riga-b", "riga") });
    Network::new(9, seeds)
}

#[test]
fn dead_entry_instance_is_reported_to_a_keeper_of_another_zone() {
    let mut network = two_zones_and_a_keeper();
    let keeper = network.node(&id("k0"));
    network.run(3 * SECOND);

    network.nodes[4].is_up = false;
    network.run(10 * SECOND);

    let dead = Notice::PeerDead(id("a4"));
    assert_eq!(network.notices.iter().filter(|it| **it == (keeper, dead.clone())).count(), 1);
    assert!(!network.notices.contains(&(keeper, Notice::PeerDead(id("a3")))));
}

#[test]
fn restarted_instance_does_not_count_as_dead_for_long() {
    let mut network = two_zones_and_a_keeper();
    let keeper = network.node(&id("k0"));
    network.run(3 * SECOND);
    network.nodes[4].is_up = false;
    network.run(15 * SECOND);
    let before = network.nodes[keeper].membership.reported_dead().to_vec();

    network.restart_node(4);
    network.run(DEAD_REPORT_LIFETIME + 2 * SECOND);

    assert_eq!(before, [DeadPeer { id: id("a4"), incarnation: Incarnation(1) }]);
    assert_eq!(network.nodes[keeper].membership.reported_dead(), []);
}

#[test]
fn peer_that_responds_is_not_unresponsive() {
    let mut pending = PendingResponses::default();
    let (responsive, unresponsive) = (id("keeper-1"), id("keeper-2"));
    for peer in [&responsive, &unresponsive] {
        pending.expect_response(Time::ZERO, peer);
        pending.expect_response(Time::from_millis(2_000), peer);
    }

    pending.response_received(&responsive);

    assert_eq!(pending.take_unresponsive(Time::ZERO + ANSWER_TIMEOUT), [unresponsive]);
    assert!(pending.take_unresponsive(Time::ZERO + 2 * ANSWER_TIMEOUT).is_empty());
}

#[test]
fn rows_of_every_zone_are_usable_at_the_planned_number_of_zones_and_models() {
    let mut network = regions(8, 29, 2);
    let models: Vec<String> = (0..12).map(|it| format!("model-{it:02}")).collect();
    let models: Vec<&str> = models.iter().map(String::as_str).collect();
    for zone in 0..29 {
        network.add_upstream(engine(&format!("u{zone}"), &format!("z{zone}"), &models));
    }
    network.run(30 * SECOND);

    for _ in 0..10 {
        network.run(3 * SECOND);

        for node in 0..network.nodes.len() {
            let now = network.clock(node);
            for zone in network.nodes[node].membership.zones() {
                assert_eq!(zone.rows(now).count(), 12, "instance {node}, {}", zone.zone);
            }
        }
    }
}

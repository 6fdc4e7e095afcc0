//! Which instances are known, and which of them are returned to callers.

use std::time::Duration;

use medlarlug_core::{
    gateway::{
        contacts::{
            Contacts, DirectoryQuery, Listing, Scope, ServiceWait, Status, entry_addresses,
        },
        table::Route,
    },
    time::Time,
};

use super::fixture::{entry, region, route, service, table};

const NOW: Duration = Duration::ZERO;

type Names<'a> = &'a [&'a str];

fn ready() -> Option<Status> {
    Some(Status { ready: true, service_waits: Vec::new() })
}

fn with_wait(wait_ms: u32) -> Option<Status> {
    let waits = vec![ServiceWait { service: service("scribe"), wait_ms: Some(wait_ms) }];
    Some(Status { ready: true, service_waits: waits })
}

fn two_regions() -> Contacts {
    let mut contacts = Contacts::default();
    for (id, region) in [("e-1", "kochi"), ("e-2", "kochi"), ("e-3", "kollam")] {
        contacts.update(Time::ZERO, entry(id, region), ready(), NOW);
    }
    contacts
}

/// What is listed to a caller of a host whose routes have these homes.
fn listing(contacts: &Contacts, now: Time, near: &str, routes: &[Names]) -> Listing {
    let routes = routes.iter().enumerate().map(|(number, homes)| {
        let homes = homes.iter().map(|it| region(it)).collect();
        Route { homes, ..route(&format!("/{number}/")) }
    });
    let table = table(1, routes.collect()).unwrap();
    let zone = format!("{near}-a").parse().unwrap();
    let homes = table.homes_of("kochi.example");
    let query = DirectoryQuery { zone: Some(&zone), region: Some(&region(near)), homes };
    entry_addresses(contacts, now, query)
}

fn addresses(contacts: &Contacts, now: Time, near: &str, homes: Names) -> Vec<String> {
    let found = listing(contacts, now, near, &[homes]);
    found.addresses.iter().map(ToString::to_string).collect()
}

#[test]
fn callers_are_sent_to_their_own_zone() {
    let found = addresses(&two_regions(), Time::ZERO, "kochi", &[]);

    assert_eq!(found, ["10.1.0.1:8100", "10.1.0.2:8100"]);
}

#[test]
fn callers_of_a_region_without_instances_are_sent_to_a_home() {
    let found = addresses(&two_regions(), Time::ZERO, "kozhikode", &["kollam"]);

    assert_eq!(found, ["10.1.0.3:8100"]);
}

/// Instances that are restarted in turn drain for longer than the pause in between.
#[test]
fn caller_is_sent_to_an_instance_that_begins_to_leave_rather_than_out_of_its_homes() {
    let mut contacts = two_regions();
    let at = Time::from_millis;
    let leaving = || Some(Status { ready: false, service_waits: Vec::new() });
    contacts.update(at(100), entry("e-1", "kochi"), leaving(), NOW);
    contacts.update(at(2_000), entry("e-2", "kochi"), leaving(), NOW);
    contacts.update(at(2_000), entry("e-3", "kollam"), ready(), NOW);
    let found = |now| addresses(&contacts, at(now), "kochi", &["kochi"]);

    let just_left = found(2_400);
    let later = found(3_000);

    assert_eq!(just_left, ["10.1.0.2:8100"]);
    assert!(later.is_empty());
}

/// Whatever a keeper hears of the home: it may have started, been stalled or be cut off.
#[test]
fn callers_of_a_host_with_homes_are_never_led_out_of_their_region_and_homes() {
    let leaving = || Some(Status::default());
    let views = [
        ("unheard", vec![]),
        ("silent for a moment", vec![(3_000, ready())]),
        ("silent", vec![(500, ready())]),
        ("never ready", vec![(5_900, leaving())]),
        ("leaving", vec![(5_000, ready()), (5_200, leaving()), (5_900, leaving())]),
    ];
    let hosts: [&[Names]; 3] = [&[&["kochi"]], &[&["kochi"], &[]], &[&[], &[], &["kochi"]]];
    let now = Time::from_millis(6_000);

    for ((view, heard), routes) in views.iter().flat_map(|it| hosts.map(|routes| (it, routes))) {
        let mut contacts = Contacts::default();
        contacts.update(now, entry("e-3", "kollam"), ready(), NOW);
        for (at, status) in heard {
            let at = Time::from_millis(*at);
            contacts.update(at, entry("e-1", "kochi"), status.clone(), NOW);
        }

        let found = listing(&contacts, now, "kochi", routes);

        let named = (found.scope, found.addresses.len());
        assert_eq!(named, (Scope::Withheld, 0), "{view}, homes {routes:?}");
    }
}

#[test]
fn callers_are_not_led_out_of_a_home_whose_instances_all_leave_and_start_again() {
    let mut contacts = Contacts::default();
    contacts.update(Time::ZERO, entry("e-1", "kochi"), ready(), NOW);
    let mut scopes = Vec::new();

    for millis in (200..=10_000).step_by(200) {
        let now = Time::from_millis(millis);
        contacts.update(now, entry("e-3", "kollam"), ready(), NOW);
        contacts.update(now, entry("e-1", "kochi"), Some(Status::default()), NOW);
        scopes.push(listing(&contacts, now, "kochi", &[&["kochi"], &[]]).scope);
    }

    let named = scopes.iter().filter(|it| !matches!(it, Scope::Leaving | Scope::Withheld));
    assert_eq!(named.count(), 0);
}

/// A keeper that has no table yet took hosts with home regions for hosts without.
#[test]
fn keeper_that_knows_no_routes_does_not_lead_callers_out_of_their_region() {
    let own = region("kozhikode");
    let query = DirectoryQuery { zone: None, region: Some(&own), homes: None };

    let found = entry_addresses(&two_regions(), Time::ZERO, query);

    assert_eq!((found.scope, found.addresses.len()), (Scope::Withheld, 0));
}

/// A route without calls made its home an equal choice for the callers of all others.
#[test]
fn callers_are_led_to_the_regions_that_may_serve_the_most_routes_of_their_host() {
    let (both, kochi): (Names, Names) = (&["kochi", "kollam"], &["kochi"]);
    let (kollam, third): (Names, Names) = (&["kollam"], &["kozhikode"]);
    let all = ["kochi", "kollam", "kozhikode"];
    let cases: [(&[Names], Names, Names); 10] = [
        (&[both, kochi, kollam], &all, &["kochi", "kollam"]),
        (&[both, kochi, kollam], &["kollam", "kozhikode"], &["kollam"]),
        (&[both, both, third], &all, &["kochi", "kollam"]),
        (&[both, both, third], &["kozhikode"], &[]),
        (&[both, both, kochi, kochi, kollam, &[]], &all, &["kochi"]),
        (&[both, both, kochi, kochi, kollam, &[]], &["kollam", "kozhikode"], &["kollam"]),
        (&[both, both, kochi], &all, &["kochi"]),
        (&[both, both, kochi], &["kollam", "kozhikode"], &[]),
        (&[kochi, kollam], &all, &["kochi", "kollam"]),
        (&[third, third, kollam, kochi, &["kochi", "kochi"]], &all, &["kochi", "kozhikode"]),
    ];

    for (routes, running, expected) in cases {
        let mut contacts = Contacts::default();
        for name in running {
            let number = 1 + all.iter().position(|it| it == name).unwrap();
            contacts.update(Time::ZERO, entry(&format!("e-{number}"), name), ready(), NOW);
        }

        let found = listing(&contacts, Time::ZERO, "kottayam", routes).addresses;

        let info = |it| contacts.all().iter().find(|known| known.info.public == Some(it));
        let named = found.iter().map(|it| info(*it).unwrap().info.region.to_string());
        assert_eq!(named.collect::<Vec<_>>(), expected, "{routes:?}, running {running:?}");
    }
}

#[test]
fn instance_that_was_never_ready_is_not_returned() {
    let mut contacts = Contacts::default();
    contacts.update(Time::ZERO, entry("e-1", "kochi"), None, NOW);
    contacts.update(Time::ZERO, entry("e-3", "kollam"), ready(), NOW);

    let found = addresses(&contacts, Time::ZERO, "kochi", &[]);

    assert_eq!(found, ["10.1.0.3:8100"]);
}

#[test]
fn instance_without_heartbeats_is_not_returned() {
    let mut contacts = two_regions();
    contacts.update(Time::from_millis(4_000), entry("e-2", "kochi"), ready(), NOW);

    let found = addresses(&contacts, Time::from_millis(4_000), "kochi", &[]);

    assert_eq!(found, ["10.1.0.2:8100"]);
}

#[test]
fn instance_that_is_not_ready_is_not_returned() {
    let mut contacts = two_regions();
    contacts.update(Time::ZERO, entry("e-1", "kochi"), Some(Status::default()), NOW);

    let found = addresses(&contacts, Time::ZERO, "kochi", &[]);

    assert_eq!(found, ["10.1.0.2:8100"]);
}

#[test]
fn heartbeat_without_a_change_does_not_count_as_changed() {
    let mut contacts = two_regions();
    let before = contacts.last_change();

    contacts.update(Time::from_millis(1), entry("e-1", "kochi"), ready(), NOW);
    let renewed = contacts.changed_since(before).count();
    contacts.update(Time::from_millis(2), entry("e-1", "kochi"), Some(Status::default()), NOW);
    let changed = contacts.changed_since(before).count();

    assert_eq!((renewed, changed), (0, 1));
}

#[test]
fn wait_of_a_region_is_the_median_of_its_instances() {
    let mut contacts = Contacts::default();
    for (id, wait_ms) in [("e-1", 900), ("e-2", 40), ("e-3", 60)] {
        contacts.update(Time::ZERO, entry(id, "kochi"), with_wait(wait_ms), NOW);
    }

    let waits = contacts.waits(Time::ZERO);

    assert_eq!(waits.len(), 1);
    assert_eq!((waits[0].region.clone(), waits[0].wait_ms), (region("kochi"), 60));
}

/// An instance's share of a limit must not grow because others are unresponsive.
#[test]
fn forgotten_instances_count_towards_the_peak() {
    let mut contacts = two_regions();

    let later = Time::from_millis(90_000);
    contacts.forget_expired(later, Duration::from_secs(60));
    contacts.update(later, entry("e-1", "kochi"), ready(), NOW);

    assert_eq!(contacts.live_entries(later).count(), 1);
    assert_eq!(contacts.peak_entries(), 3);
}

//! Bookings and the configuration under unresponsive links, partitions and restarts.

use medlarlug_core::{
    fingerprint::Fingerprint,
    release::{
        Item, RawNote,
        item::{Residency, Team},
    },
};
use test_support::{
    deployment::{CALLER_KEY, Deployment, wait_for},
    id, idempotent_service, note, survey_team, team,
};

use crate::processes::fixture::{
    KEEPERS, book_until_answered, group, items, revision, two_regions, wait_leader,
};

fn is_keeper(id: &str) -> bool {
    id.starts_with("keeper")
}

fn with_service(deployment: Deployment) -> Deployment {
    let deployment = deployment.with_relays().service("desk", "riga-a", "jobdesk").start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 1);
    deployment
}

fn apply_until_accepted(deployment: &Deployment, entry: &str, name: &str) -> u64 {
    let mut accepted = None;
    wait_for("acceptance of a note", || {
        let base = revision(deployment, entry);
        let note = test_support::note(base, vec![idempotent_service(name)]);
        let reply = deployment.apply(entry, &note);
        accepted = reply.json["revision"].as_u64();
        reply.status == 200
    });
    accepted.expect("a revision")
}

#[test]
fn bookings_continue_after_every_open_link_of_keepers_becomes_unresponsive() {
    let deployment = with_service(two_regions());
    let first = book_until_answered(&deployment, "entry-1", "parcel-1");

    deployment.network().blackhole_open(is_keeper, |_| true);
    deployment.network().blackhole_open(|_| true, is_keeper);
    book_until_answered(&deployment, "entry-2", "parcel-2");
    let again = book_until_answered(&deployment, "entry-2", "parcel-1");

    assert_eq!(first, again);
    assert_eq!((deployment.run_count("parcel-1"), deployment.run_count("parcel-2")), (1, 1));
}

#[test]
fn bookings_continue_after_open_links_become_unresponsive_in_one_direction() {
    let deployment = with_service(two_regions());
    book_until_answered(&deployment, "entry-1", "parcel-1");

    deployment.network().blackhole_open(is_keeper, |it| !is_keeper(it));
    book_until_answered(&deployment, "entry-1", "parcel-2");
    deployment.network().blackhole_open(|it| !is_keeper(it), is_keeper);
    book_until_answered(&deployment, "entry-1", "parcel-3");

    for key in ["parcel-1", "parcel-2", "parcel-3"] {
        assert_eq!(deployment.run_count(key), 1, "{key}");
    }
}

#[test]
fn partitioned_leader_steps_down_and_returns_without_a_new_term() {
    let deployment = with_service(two_regions());
    let first = book_until_answered(&deployment, "entry-1", "parcel-1");
    let isolated = wait_leader(&deployment, "home-riga");

    deployment.network().partition(|it| it == isolated, true);
    wait_for("the isolated leader to step down", || {
        group(&deployment, &isolated, "home-riga")["role"] != "leader"
    });
    book_until_answered(&deployment, "entry-1", "parcel-2");
    let next = wait_leader(&deployment, "home-riga");
    let term = group(&deployment, &next, "home-riga")["term"].clone();
    deployment.network().partition(|it| it == isolated, false);
    wait_for("the isolated keeper to follow", || {
        let own = group(&deployment, &isolated, "home-riga");
        own["leader"] == next.as_str() && own["term"] == term
    });
    let again = book_until_answered(&deployment, "entry-2", "parcel-1");
    book_until_answered(&deployment, "entry-2", "parcel-2");

    assert_ne!(next, isolated);
    assert_eq!(first, again);
    assert_eq!((deployment.run_count("parcel-1"), deployment.run_count("parcel-2")), (1, 1));
    for keeper in KEEPERS {
        assert_eq!(group(&deployment, keeper, "home-riga")["term"], term, "{keeper}");
    }
}

#[test]
fn isolated_region_serves_bookings_of_its_own_teams_and_refuses_others_as_not_run() {
    let (nets_key, isolated_entry) = ("caller-key-of-nets", "entry-2");
    let nets = Team {
        keys: vec![Fingerprint::of(nets_key.as_bytes())],
        residency: Residency::Home,
        rate: id("1000/s"),
        burst: id("1000"),
        ..team("nets", "kurzeme")
    };
    let deployment = two_regions()
        .keeper("keeper-4", "liepaja-a")
        .home_voters("kurzeme", &["keeper-2", "keeper-3", "keeper-4"])
        .home_voters("riga", &["keeper-1", "keeper-2", "keeper-3"])
        .with_relays()
        .service("desk", "riga-a", "jobdesk")
        .service("desk-2", "liepaja-a", "jobdesk")
        .start();
    let all = items(Residency::Anywhere).into_iter().chain([Item::Team(nets)]);
    deployment.configure(all.collect());
    deployment.wait_upstreams("entry-1", 1);
    deployment.wait_upstreams(isolated_entry, 1);
    let is_isolated = |it: &str| ["entry-2", "keeper-3", "keeper-4"].contains(&it);

    deployment.network().partition(is_isolated, true);
    let mut own = None;
    wait_for("a booking in the isolated region", || {
        let reply = deployment.book_as(nets_key, isolated_entry, "parcel-1", "{}");
        let is_answered = reply.status == 200;
        own = Some(reply);
        is_answered
    });
    let other = deployment.book_as(CALLER_KEY, isolated_entry, "parcel-2", "{}");

    assert_eq!(other.status, 503, "{}", other.text);
    assert_eq!(other.json["outcome"], "not_run", "{}", other.text);
    assert_eq!((deployment.run_count("parcel-1"), deployment.run_count("parcel-2")), (1, 0));

    deployment.network().partition(is_isolated, false);
    book_until_answered(&deployment, isolated_entry, "parcel-2");
    let again = deployment.book_as(nets_key, "entry-1", "parcel-1", "{}");
    assert_eq!(Some(again.text), own.map(|it| it.text));
    assert_eq!((deployment.run_count("parcel-1"), deployment.run_count("parcel-2")), (1, 1));
}

/// Its own region is no home of the team, and the note that takes it away comes in force without it.
#[test]
fn isolated_instance_does_not_serve_a_team_that_has_lost_the_region_since() {
    let (nets_key, isolated) = ("caller-key-of-nets", "entry-2");
    let nets = Team {
        keys: vec![Fingerprint::of(nets_key.as_bytes())],
        residency: Residency::Home,
        ..survey_team("kurzeme")
    };
    let nets = Team { id: id("nets"), ..nets };
    let deployment = two_regions().engine("engine-1", "liepaja-a", "medlar").with_relays().start();
    let in_both = items(Residency::Regions(vec![id("kurzeme"), id("riga")]));
    deployment.configure(in_both.into_iter().chain([Item::Team(nets)]).collect());
    deployment.wait_upstreams(isolated, 1);
    let before = deployment.complete(isolated, "medlar", "shift");

    deployment.network().partition(|it| it == isolated, true);
    let base = revision(&deployment, "entry-1");
    let at_home = Team { residency: Residency::Home, ..survey_team("riga") };
    let stricter = RawNote { changed: vec![Item::Team(at_home)], ..note(base, Vec::new()) };
    let accepted = deployment.apply("entry-1", &stricter).json["revision"].clone();
    wait_for("the note to be in force everywhere", || {
        let path = format!("/release/confirmations?revision={accepted}");
        deployment.operator_get("keeper-1", &path).json["everywhere"] == true
    });
    let after = deployment.complete(isolated, "medlar", "shift");
    let at_its_home = deployment.complete_as(nets_key, isolated, "medlar", "shift");

    assert_eq!(before.status, 200, "{}", before.text);
    assert_eq!(after.status, 503, "{}", after.text);
    assert_eq!(after.json["outcome"], "not_run", "{}", after.text);
    assert_eq!(at_its_home.status, 200, "{}", at_its_home.text);
}

#[test]
fn revision_never_reverts_over_restarts_beside_a_lagging_keeper() {
    let mut deployment = with_service(two_regions().with_disk("entry-2"));
    let old = revision(&deployment, "entry-2");

    deployment.network().partition(|it| it == "keeper-3", true);
    let new = apply_until_accepted(&deployment, "entry-1", "further");
    wait_for("the new revision", || {
        ["entry-1", "entry-2"].iter().all(|it| revision(&deployment, it) >= new)
    });
    // The restarted instances can reach the lagging keeper only.
    let is_isolated = |it: &str| ["keeper-3", "entry-1", "entry-2"].contains(&it);
    deployment.network().partition(|it| it == "keeper-3", false);
    deployment.network().partition(is_isolated, true);
    let mut lowest = u64::MAX;
    for entry in ["entry-1", "entry-2"] {
        deployment.kill(entry);
        deployment.start_process(entry);
        wait_for("the restarted instance to receive heartbeats of keeper-3", || {
            lowest = lowest.min(revision_or_max(&deployment, entry));
            sees_up(&deployment, entry, "keeper-3")
        });
    }
    deployment.network().partition(is_isolated, false);
    for entry in ["entry-1", "entry-2"] {
        wait_for("the new revision after the restart", || {
            lowest = lowest.min(revision_or_max(&deployment, entry));
            revision(&deployment, entry) >= new
        });
    }

    assert!(old < new);
    assert!(lowest >= new, "revision {lowest} was active after {new}");
}

/// The active revision of an instance; `u64::MAX` while it has none.
fn revision_or_max(deployment: &Deployment, instance: &str) -> u64 {
    match revision(deployment, instance) {
        0 => u64::MAX,
        known => known,
    }
}

/// Whether `instance` sees `peer` as up.
fn sees_up(deployment: &Deployment, instance: &str, peer: &str) -> bool {
    let peers = deployment.operator_get(instance, "/status").json["peers"].clone();
    let peers = peers.as_array().cloned().unwrap_or_default();
    peers.iter().any(|it| it["instance"] == peer && it["state"] == "up")
}

#[test]
fn keeper_that_starts_while_links_to_it_are_unresponsive_is_reached_again() {
    let mut deployment = with_service(two_regions());
    let is_restarted = |it: &str| it == "keeper-3";
    let term = |it: &Deployment| group(it, "keeper-3", "home-riga")["term"].as_u64();
    wait_for("a term at the keeper", || term(&deployment).is_some_and(|it| it > 0));

    // The restarted keeper has never received anything from the peers whose connections are unresponsive.
    deployment.network().blackhole_open(|_| true, is_restarted);
    deployment.kill("keeper-3");
    deployment.start_process("keeper-3");

    for peer in ["keeper-1", "keeper-2", "entry-1", "entry-2"] {
        wait_for("the keeper to receive heartbeats of each instance", || {
            sees_up(&deployment, "keeper-3", peer)
        });
    }
    wait_for("the keeper to follow again", || {
        group(&deployment, "keeper-3", "home-riga")["leader"].is_string()
    });
}

//! Procedures of the operators' page: change of the deployment key, backup and restore.

use medlarlug_core::release::item::Residency;
use nix::sys::signal::Signal;
use test_support::deployment::{Deployment, wait_for};

use crate::processes::fixture::{
    GROUPS, KEEPERS, add_engines, book_until_answered, items, two_regions,
};

/// Restarts every process in turn and gracefully; after each one waits until bookings are answered.
fn restart_in_turn(deployment: &mut Deployment) {
    let instances = deployment.instances.iter().map(|it| it.id.clone());
    let upstreams = deployment.upstreams.iter().map(|it| it.id.clone());
    let all: Vec<String> = instances.chain(upstreams).collect();
    for id in &all {
        deployment.signal(id, Signal::SIGTERM);
        deployment.wait_exit(id);
        deployment.start_process(id);
        wait_for("a booking through each entry instance", || {
            ["entry-1", "entry-2"].iter().all(|it| deployment.book(it, id, "{}").status == 200)
        });
    }
    deployment.wait_upstreams("entry-1", 2);
}

#[test]
fn deployment_key_is_changed_by_three_restarts_of_every_process() {
    let deployment = add_engines(two_regions(), 1, 500).service("desk", "riga-a", "jobdesk");
    let mut deployment = deployment.start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 2);
    let first = book_until_answered(&deployment, "entry-1", "parcel-1");

    let steps: [&[&str]; 3] =
        [&["deployment.key", "new.key"], &["new.key", "deployment.key"], &["new.key"]];
    for files in steps {
        deployment.set_keys(files);
        restart_in_turn(&mut deployment);
    }
    let again = book_until_answered(&deployment, "entry-2", "parcel-1");
    let inferred = deployment.complete("entry-1", "medlar", "shift");

    assert_eq!(again, first);
    // The service has restarted after the run, and its ledger counts from the restart.
    assert_eq!(deployment.run_count("parcel-1"), 0);
    assert_eq!(inferred.status, 200, "{}", inferred.text);
}

#[test]
fn backup_of_a_keeper_rebuilds_the_groups_that_lost_every_disk() {
    let mut deployment = two_regions().service("desk", "riga-a", "jobdesk").start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 1);
    let first = book_until_answered(&deployment, "entry-1", "parcel-1");
    deployment.signal("keeper-1", Signal::SIGTERM);
    assert!(deployment.wait_exit("keeper-1"));
    deployment.back_up("keeper-1");
    deployment.start_process("keeper-1");
    book_until_answered(&deployment, "entry-1", "parcel-2");

    for keeper in KEEPERS {
        deployment.kill(keeper);
        deployment.delete_data(keeper);
    }
    deployment.restore("keeper-1");
    assert!(GROUPS.iter().all(|it| deployment.rebuild("keeper-1", it)));
    for keeper in KEEPERS {
        deployment.start_process(keeper);
    }
    let known = book_until_answered(&deployment, "entry-1", "parcel-1");
    let lost = deployment.book("entry-1", "parcel-2", "{}");

    assert_eq!(known, first);
    assert_eq!(lost.json["type"], "outcome-unknown", "{}", lost.text);
    assert_eq!(["parcel-1", "parcel-2"].map(|it| deployment.run_count(it)), [1, 1]);
}

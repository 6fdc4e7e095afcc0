//! Entry instances that are cut off from upstreams while callers and other instances reach them.

use std::{
    thread,
    time::{Duration, Instant},
};

use medlarlug_core::release::item::Residency;
use test_support::{deployment::Deployment, relay::Cut};

use crate::processes::fixture::{add_engines, items, two_regions};

/// Time after the begin of a cut from which on callers have to be served.
const CONTACT_TIME: Duration = Duration::from_secs(5);
/// Requests and bookings that are sent to an instance.
const CALLS: usize = 10;

/// Two entry instances in the zone riga-a, with engines and a plain service behind relays.
fn with_upstream_relays() -> Deployment {
    let deployment = add_engines(two_regions().entry("entry-3", "riga-a"), 2, 200);
    let deployment = deployment.service("jobdesk-1", "riga-a", "jobdesk");
    let deployment = deployment.with_upstream_relays().start();
    deployment.configure(items(Residency::Anywhere));
    ["entry-1", "entry-3"].iter().for_each(|it| deployment.wait_upstreams(it, 3));
    deployment
}

/// The number of requests and bookings that are answered, of [`CALLS`] each.
fn count_served(deployment: &Deployment, entry: &str, round: &str) -> usize {
    let is_served = |number: usize| {
        let completed = deployment.complete(entry, "medlar", &format!("shift {round} {number}"));
        let booked = deployment.book(entry, &format!("{entry}-{round}-{number}"), "{}");
        usize::from(completed.status == 200) + usize::from(booked.status == 200)
    };
    (0..CALLS).map(is_served).sum()
}

#[test]
fn callers_of_an_instance_that_cannot_connect_to_upstreams_are_served() {
    let deployment = with_upstream_relays();
    let cut = [deployment.pid("entry-1")];
    deployment.upstream_relays.iter().for_each(|it| it.1.cut(&cut, Cut::Closed));
    let cut_at = Instant::now();
    count_served(&deployment, "entry-1", "early");
    thread::sleep(CONTACT_TIME.saturating_sub(cut_at.elapsed()));

    let at_cut = count_served(&deployment, "entry-1", "late");
    let at_other = count_served(&deployment, "entry-3", "late");

    assert_eq!(at_other, 2 * CALLS);
    assert!(3 * at_cut >= 2 * at_other, "{at_cut} served\n{}", deployment.log("entry-1"));
    for number in 0..CALLS {
        assert!(deployment.run_count(&format!("entry-1-late-{number}")) <= 1, "ran twice");
    }
}

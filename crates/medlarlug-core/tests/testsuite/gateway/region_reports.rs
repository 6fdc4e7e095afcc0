//! When a keeper may take a region for empty, and what the directory names until then.

use std::{net::SocketAddr, time::Duration};

use medlarlug_core::{
    gateway::{
        contacts::{Contacts, DirectoryQuery, Scope, Status, entry_addresses},
        region_reports::RegionReports,
        table::HostHomes,
    },
    time::Time,
};

use super::fixture::{entry, region};

const FRESH: Duration = Duration::ZERO;

fn other_keepers(count: u8) -> Vec<SocketAddr> {
    (1..=count).map(|last| SocketAddr::from(([10, 1, 0, last], 7_660))).collect()
}

/// A keeper that listens since the start, with the instances of these regions heard at `now`.
struct Keeper {
    contacts: Contacts,
    reports: RegionReports,
    others: Vec<SocketAddr>,
}

impl Keeper {
    fn new(others: u8) -> Keeper {
        Keeper {
            contacts: Contacts::default(),
            reports: RegionReports::new(Time::ZERO),
            others: other_keepers(others),
        }
    }

    fn listen(&mut self, from: u64, to: u64, regions: &[&str]) {
        for millis in (from..=to).step_by(200) {
            let now = Time::from_millis(millis);
            self.reports.tick(now);
            self.hear(now, regions);
        }
    }

    fn hear(&mut self, now: Time, regions: &[&str]) {
        for (number, name) in regions.iter().enumerate() {
            let status = Status { ready: true, service_waits: Vec::new() };
            let info = entry(&format!("{name}-{}", number + 1), name);
            self.contacts.update(now, info, Some(status), FRESH);
        }
    }

    fn report(&mut self, now: Time, keeper: usize, regions: &[&str]) {
        let regions = regions.iter().map(|it| region(it)).collect();
        self.reports.record(now, self.others[keeper], regions, FRESH);
    }

    /// The scope for a caller of kochi on a host with a route whose home is kochi and another route.
    fn scope(&self, now: Time) -> Scope {
        self.scope_with(now, false)
    }

    fn scope_with(&self, now: Time, is_exclusive: bool) -> Scope {
        let own = region("kochi");
        let homes = HostHomes { regions: vec![region("kochi")], is_exclusive };
        let query = DirectoryQuery { zone: None, region: Some(&own), homes: Some(&homes) };
        let listing = entry_addresses(&self.contacts, now, query, |regions| {
            self.reports.are_empty(now, &self.contacts, &self.others, regions)
        });
        listing.scope
    }
}

#[test]
fn caller_is_led_out_of_an_empty_home_once_a_majority_hears_nothing_there() {
    let now = Time::from_millis(7_000);
    let mut keeper = Keeper::new(4);
    keeper.listen(0, 7_000, &["kollam"]);

    keeper.report(now, 0, &["kollam"]);
    let with_two = keeper.scope(now);
    keeper.report(now, 1, &["kollam"]);
    let with_three = keeper.scope(now);

    assert_eq!((with_two, with_three), (Scope::Withheld, Scope::Anywhere));
}

#[test]
fn keeper_that_is_cut_off_from_a_home_does_not_lead_callers_out_of_it() {
    let now = Time::from_millis(7_000);
    let mut keeper = Keeper::new(4);
    keeper.listen(0, 7_000, &["kollam"]);
    (0..3).for_each(|other| keeper.report(now, other, &["kollam"]));

    keeper.report(now, 3, &["kochi", "kollam"]);

    assert_eq!(keeper.scope(now), Scope::Withheld);
}

#[test]
fn keeper_that_hears_no_other_keeper_does_not_lead_callers_out_of_their_home() {
    let mut keeper = Keeper::new(2);
    keeper.listen(0, 14_000, &["kollam"]);
    keeper.report(Time::from_millis(7_000), 0, &["kollam"]);

    assert_eq!(keeper.scope(Time::from_millis(14_000)), Scope::Withheld);
}

#[test]
fn keeper_that_resumes_from_a_stall_does_not_lead_callers_to_the_first_instance_it_reads() {
    let resumed = Time::from_millis(14_000);
    let mut keeper = Keeper::new(0);
    keeper.listen(0, 7_000, &["kochi", "kollam"]);

    keeper.hear(resumed, &["kollam"]);
    let before_tick = keeper.scope(resumed);
    keeper.reports.tick(resumed);
    let after_tick = keeper.scope(resumed);
    keeper.listen(14_200, 20_000, &["kollam"]);
    let settled = keeper.scope(Time::from_millis(20_000));

    assert_eq!((before_tick, after_tick), (Scope::Withheld, Scope::Withheld));
    assert_eq!(settled, Scope::Anywhere);
}

#[test]
fn keeper_that_has_just_started_does_not_report_or_lead_callers_away() {
    let mut keeper = Keeper::new(0);
    keeper.listen(0, 4_800, &["kollam"]);
    let early = Time::from_millis(4_800);

    assert_eq!(keeper.reports.own(early, &keeper.contacts), None);
    assert_eq!(keeper.scope(early), Scope::Withheld);
}

#[test]
fn report_that_is_old_no_longer_counts() {
    let (made, later) = (Time::from_millis(7_000), Time::from_millis(9_200));
    let mut keeper = Keeper::new(1);
    keeper.listen(0, 9_200, &["kollam"]);

    keeper.report(made, 0, &["kochi"]);
    keeper.report(later, 0, &["kollam"]);
    let renewed = keeper.scope(later);
    keeper.listen(9_400, 11_600, &["kollam"]);
    let old = keeper.scope(Time::from_millis(11_600));

    assert_eq!((renewed, old), (Scope::Anywhere, Scope::Withheld));
}

/// A keeper that has no table yet took hosts with home regions for hosts without.
#[test]
fn keeper_that_knows_no_routes_does_not_lead_callers_out_of_their_region() {
    let mut keeper = Keeper::new(0);
    keeper.listen(0, 7_000, &["kollam"]);
    let own = region("kochi");
    let query = DirectoryQuery { zone: None, region: Some(&own), homes: None };

    let found = entry_addresses(&keeper.contacts, Time::from_millis(7_000), query, |_| true);

    assert_eq!((found.scope, found.addresses.len()), (Scope::Withheld, 0));
}

/// Instances drain for longer than the time after which a silent region counts as empty.
#[test]
fn region_whose_instances_all_leave_and_start_again_is_not_empty() {
    let mut keeper = Keeper::new(0);
    keeper.listen(0, 6_000, &["kochi", "kollam"]);
    let mut scopes = Vec::new();

    for millis in (6_200..=16_000).step_by(200) {
        keeper.listen(millis, millis, &["kollam"]);
        let now = Time::from_millis(millis);
        let status = Some(Status::default());
        keeper.contacts.update(now, entry("kochi-1", "kochi"), status, FRESH);
        scopes.push(keeper.scope(now));
    }

    let named = scopes.iter().filter(|it| !matches!(it, Scope::Leaving | Scope::Withheld));
    assert_eq!(named.count(), 0);
}

/// No instance elsewhere can serve such a host, so a call only took its body out of its homes.
#[test]
fn callers_of_a_host_whose_routes_all_have_homes_are_never_led_out_of_them() {
    let now = Time::from_millis(7_000);
    let mut keeper = Keeper::new(0);
    keeper.listen(0, 7_000, &["kollam"]);

    let mixed = keeper.scope(now);
    let exclusive = keeper.scope_with(now, true);

    assert_eq!((mixed, exclusive), (Scope::Anywhere, Scope::Withheld));
}

/// A keeper that has just joined hears instances before it is a member of the group.
#[test]
fn report_of_a_keeper_that_is_no_member_counts_against_an_empty_region() {
    let now = Time::from_millis(7_000);
    let mut keeper = Keeper::new(1);
    keeper.listen(0, 7_000, &["kollam"]);
    keeper.report(now, 0, &["kollam"]);
    let before = keeper.scope(now);

    let joining = "10.1.0.9:7660".parse().unwrap();
    keeper.reports.record(now, joining, vec![region("kochi")], FRESH);

    assert_eq!((before, keeper.scope(now)), (Scope::Anywhere, Scope::Withheld));
}

/// Instances of a busy region were late with their heartbeats together.
#[test]
fn region_that_is_silent_for_a_moment_is_not_empty() {
    let mut keeper = Keeper::new(0);
    keeper.listen(0, 7_000, &["kochi", "kollam"]);

    keeper.listen(7_200, 11_800, &["kollam"]);
    let silent = keeper.scope(Time::from_millis(11_800));
    keeper.listen(12_000, 12_200, &["kollam"]);
    let gone = keeper.scope(Time::from_millis(12_200));

    assert_eq!((silent, gone), (Scope::Withheld, Scope::Anywhere));
}

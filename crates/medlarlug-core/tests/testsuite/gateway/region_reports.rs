//! When a keeper may take a region for empty, and what the directory names until then.

use std::{net::SocketAddr, time::Duration};

use medlarlug_core::{
    gateway::{
        contacts::{Contacts, DirectoryQuery, Reach, Status, entry_addresses},
        region_reports::RegionReports,
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

    /// The reach for a caller of kochi on a host with the home region kochi.
    fn reach(&self, now: Time) -> Reach {
        let (own, homes) = (region("kochi"), [region("kochi")]);
        let query = DirectoryQuery { zone: None, region: Some(&own), homes: Some(&homes) };
        let listing = entry_addresses(&self.contacts, now, query, |regions| {
            self.reports.are_empty(now, &self.contacts, &self.others, regions)
        });
        listing.reach
    }
}

#[test]
fn caller_is_led_out_of_an_empty_home_once_a_majority_hears_nothing_there() {
    let now = Time::from_millis(7_000);
    let mut keeper = Keeper::new(4);
    keeper.listen(0, 7_000, &["kollam"]);

    keeper.report(now, 0, &["kollam"]);
    let with_two = keeper.reach(now);
    keeper.report(now, 1, &["kollam"]);
    let with_three = keeper.reach(now);

    assert_eq!((with_two, with_three), (Reach::Withheld, Reach::Anywhere));
}

#[test]
fn keeper_that_is_cut_off_from_a_home_does_not_lead_callers_out_of_it() {
    let now = Time::from_millis(7_000);
    let mut keeper = Keeper::new(4);
    keeper.listen(0, 7_000, &["kollam"]);
    (0..3).for_each(|other| keeper.report(now, other, &["kollam"]));

    keeper.report(now, 3, &["kochi", "kollam"]);

    assert_eq!(keeper.reach(now), Reach::Withheld);
}

#[test]
fn keeper_that_hears_no_other_keeper_does_not_lead_callers_out_of_their_home() {
    let mut keeper = Keeper::new(2);
    keeper.listen(0, 14_000, &["kollam"]);
    keeper.report(Time::from_millis(7_000), 0, &["kollam"]);

    assert_eq!(keeper.reach(Time::from_millis(14_000)), Reach::Withheld);
}

#[test]
fn keeper_that_resumes_from_a_stall_does_not_lead_callers_to_the_first_instance_it_reads() {
    let resumed = Time::from_millis(14_000);
    let mut keeper = Keeper::new(0);
    keeper.listen(0, 7_000, &["kochi", "kollam"]);

    keeper.hear(resumed, &["kollam"]);
    let before_tick = keeper.reach(resumed);
    keeper.reports.tick(resumed);
    let after_tick = keeper.reach(resumed);
    keeper.listen(14_200, 20_000, &["kollam"]);
    let settled = keeper.reach(Time::from_millis(20_000));

    assert_eq!((before_tick, after_tick), (Reach::Withheld, Reach::Withheld));
    assert_eq!(settled, Reach::Anywhere);
}

#[test]
fn keeper_that_has_just_started_does_not_report_or_lead_callers_away() {
    let mut keeper = Keeper::new(0);
    keeper.listen(0, 4_800, &["kollam"]);
    let early = Time::from_millis(4_800);

    assert_eq!(keeper.reports.own(early, &keeper.contacts), None);
    assert_eq!(keeper.reach(early), Reach::Withheld);
}

#[test]
fn instance_that_leaves_the_keepers_no_longer_counts() {
    let now = Time::from_millis(7_000);
    let mut keeper = Keeper::new(2);
    keeper.listen(0, 7_000, &["kollam"]);
    keeper.report(now, 0, &["kollam"]);
    keeper.report(now, 1, &["kochi"]);

    let as_member = keeper.reach(now);
    keeper.others.pop();
    let after = keeper.reach(now);

    assert_eq!((as_member, after), (Reach::Withheld, Reach::Anywhere));
}

/// A keeper that has no table yet took hosts with home regions for hosts without.
#[test]
fn keeper_that_knows_no_routes_does_not_lead_callers_out_of_their_region() {
    let mut keeper = Keeper::new(0);
    keeper.listen(0, 7_000, &["kollam"]);
    let own = region("kochi");
    let query = DirectoryQuery { zone: None, region: Some(&own), homes: None };

    let found = entry_addresses(&keeper.contacts, Time::from_millis(7_000), query, |_| true);

    assert_eq!((found.reach, found.addresses.len()), (Reach::Withheld, 0));
}

#[test]
fn region_whose_instances_all_start_or_have_just_begun_to_leave_is_not_empty() {
    let (left, later) = (Time::from_millis(6_000), Time::from_millis(11_000));
    let not_ready = || Some(Status::default());
    let mut keeper = Keeper::new(0);
    keeper.listen(0, 6_000, &["kochi", "kollam"]);
    keeper.contacts.update(left, entry("kochi-1", "kochi"), not_ready(), FRESH);

    keeper.listen(6_200, 8_000, &["kollam"]);
    let after_a_moment = keeper.reach(Time::from_millis(8_000));
    keeper.contacts.update(later, entry("kochi-1", "kochi"), not_ready(), FRESH);
    keeper.listen(8_200, 11_000, &["kollam"]);
    let after_long = keeper.reach(later);
    keeper.contacts.update(later, entry("kochi-2", "kochi"), not_ready(), FRESH);
    let beside_one_that_starts = keeper.reach(later);

    assert_eq!((after_a_moment, after_long), (Reach::Withheld, Reach::Anywhere));
    assert_eq!(beside_one_that_starts, Reach::Withheld);
}

/// Instances of a busy region were late with their heartbeats together.
#[test]
fn region_that_is_silent_for_a_moment_is_not_empty() {
    let mut keeper = Keeper::new(0);
    keeper.listen(0, 7_000, &["kochi", "kollam"]);

    keeper.listen(7_200, 11_800, &["kollam"]);
    let silent = keeper.reach(Time::from_millis(11_800));
    keeper.listen(12_000, 12_200, &["kollam"]);
    let gone = keeper.reach(Time::from_millis(12_200));

    assert_eq!((silent, gone), (Reach::Withheld, Reach::Anywhere));
}

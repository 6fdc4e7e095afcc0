//! The routing core: what a refusal says of the reason.

use std::time::Duration;

use assert_matches::assert_matches;
use medlarlug_core::{
    announcement::{Announcement, LoadReport},
    ids::RegionId,
    membership::Membership,
    refusal::Reason,
    release::item::{Residency, Team},
    routing::{CallerRequest, Choice, ConfigurationLease, Refusal, ResidencyError, Router, View},
    units::Tokens,
};
use test_support::{id, team};

use crate::routing::{NOW, configuration, facts, membership, open_team, tell, upstream, view};

fn home_team() -> Team {
    team("crew", "riga")
}

fn team_of(regions: &[&str]) -> Team {
    let regions = regions.iter().map(|it| id(it)).collect();
    Team { residency: Residency::Regions(regions), ..home_team() }
}

fn refusal(membership: &Membership, team: Team, request: &CallerRequest) -> Refusal {
    let configuration = configuration(team, Residency::Anywhere);
    Router::new(NOW, 1).decide(NOW, view(membership, &configuration), request).unwrap_err()
}

#[test]
fn request_whose_target_is_served_only_where_it_may_not_go_is_told_so() {
    let mut membership = membership(Vec::new());
    tell(&mut membership, NOW, "latgale");
    tell(&mut membership, NOW, "kurzeme");

    let refusal = refusal(&membership, home_team(), &CallerRequest::new(facts()));

    let elsewhere: Vec<RegionId> = vec![id("kurzeme"), id("latgale")];
    assert_matches!(&refusal, Refusal::ServedElsewhere { regions, .. } if *regions == elsewhere);
    assert_eq!(refusal.reason(), Reason::ServedElsewhere);
    assert_eq!(refusal.retry_after(), Some(Duration::from_secs(1)));
}

#[test]
fn own_region_counts_as_one_that_serves_the_target_elsewhere() {
    let membership = membership(vec![upstream("u0")]);

    let refusal = refusal(&membership, team_of(&["kurzeme"]), &CallerRequest::new(facts()));

    assert_matches!(refusal, Refusal::ServedElsewhere { regions, .. } if regions == [id("riga")]);
}

#[test]
fn target_that_nobody_serves_has_no_upstream_whatever_the_rules() {
    let membership = membership(Vec::new());
    let teams = [home_team(), open_team(), team_of(&["kurzeme"])];

    let reasons = teams.map(|it| refusal(&membership, it, &CallerRequest::new(facts())).reason());

    assert_eq!(reasons, [Reason::NoUpstream; 3]);
}

#[test]
fn team_without_a_permitted_region_is_refused_by_residency() {
    let membership = membership(Vec::new());

    let refusal = refusal(&membership, team_of(&[]), &CallerRequest::new(facts()));

    assert_matches!(refusal, Refusal::Residency(ResidencyError::Forbidden { .. }));
}

#[test]
fn permitted_upstream_that_failed_the_request_is_not_blamed_on_residency() {
    let mut membership = membership(vec![upstream("u0")]);
    tell(&mut membership, NOW, "kurzeme");
    let mut request = CallerRequest::new(facts());
    request.facts.exclude(&id("u0"));

    let refusal = refusal(&membership, home_team(), &request);

    assert_matches!(refusal, Refusal::NoUpstream { .. });
}

#[test]
fn zone_that_is_out_of_reach_by_a_lapsed_lease_is_not_blamed_on_residency() {
    let configuration = configuration(open_team(), Residency::Anywhere);
    let mut membership = membership(Vec::new());
    tell(&mut membership, NOW, "kurzeme");
    let lease = ConfigurationLease::Lapsed;
    let view = View { lease, ..view(&membership, &configuration) };

    let decision = Router::new(NOW, 1).decide(NOW, view, &CallerRequest::new(facts()));

    assert_matches!(decision, Err(Refusal::NoUpstream { .. }));
}

#[test]
fn permitted_zone_that_is_too_late_is_told_as_such() {
    let mut membership = membership(Vec::new());
    tell(&mut membership, NOW, "kurzeme");
    let mut request = CallerRequest::new(facts());
    request.facts.deadline = Duration::from_millis(10);

    let refusal = refusal(&membership, open_team(), &request);

    assert_matches!(&refusal, Refusal::Deadline { deadline, .. } if *deadline == request.facts.deadline);
}

#[test]
fn late_home_is_told_as_late_also_when_others_are_forbidden() {
    let load = LoadReport { running: 8, waiting: 400, ..LoadReport::default() };
    let mut membership = membership(vec![Announcement { load, ..upstream("u0") }]);
    tell(&mut membership, NOW, "kurzeme");

    let refusal = refusal(&membership, home_team(), &CallerRequest::new(facts()));

    assert_matches!(refusal, Refusal::Deadline { .. });
}

#[test]
fn request_is_taken_in_only_with_a_margin_to_its_deadline() {
    let configuration = configuration(home_team(), Residency::Anywhere);
    let request = CallerRequest::new(facts());
    let decide = |backlog: u64| {
        let load = LoadReport { backlog: Tokens(backlog), ..LoadReport::default() };
        let membership = membership(vec![Announcement { load, ..upstream("u0") }]);
        Router::new(NOW, 1).decide(NOW, view(&membership, &configuration), &request)
    };

    let early = decide(28_000);
    let barely = decide(36_000);

    assert_matches!(early, Ok(Choice::Serve(_)));
    assert_matches!(barely, Err(Refusal::Deadline { predicted, deadline, .. }) => {
        assert!(predicted < deadline);
    });
}

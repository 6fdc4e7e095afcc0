//! Tests of the routing core: the reason that a refusal reports.

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

use crate::routing::{
    NOW, add_zone_summary, configuration, facts, membership, open_team, upstream, view,
};

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
fn refusal_names_the_forbidden_regions_that_serve_the_target() {
    let mut membership = membership(Vec::new());
    add_zone_summary(&mut membership, NOW, "latgale");
    add_zone_summary(&mut membership, NOW, "kurzeme");

    let refusal = refusal(&membership, home_team(), &CallerRequest::new(facts()));

    let elsewhere: Vec<RegionId> = vec![id("kurzeme"), id("latgale")];
    assert_matches!(&refusal, Refusal::ServedElsewhere { regions, .. } if *regions == elsewhere);
    assert_eq!(refusal.reason(), Reason::ServedElsewhere);
    assert_eq!(refusal.retry_after(), Some(Duration::from_secs(1)));
}

#[test]
fn own_region_is_named_if_it_serves_the_target_but_is_forbidden() {
    let membership = membership(vec![upstream("u0")]);

    let refusal = refusal(&membership, team_of(&["kurzeme"]), &CallerRequest::new(facts()));

    assert_matches!(refusal, Refusal::ServedElsewhere { regions, .. } if regions == [id("riga")]);
}

#[test]
fn target_that_no_upstream_serves_is_refused_as_such_whatever_the_rules() {
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
fn failed_permitted_upstream_is_not_reported_as_residency() {
    let mut membership = membership(vec![upstream("u0")]);
    add_zone_summary(&mut membership, NOW, "kurzeme");
    let mut request = CallerRequest::new(facts());
    request.facts.exclude(&id("u0"));

    let refusal = refusal(&membership, home_team(), &request);

    assert_matches!(refusal, Refusal::NoUpstream { .. });
}

#[test]
fn zone_that_a_lapsed_lease_rules_out_is_not_reported_as_residency() {
    let configuration = configuration(open_team(), Residency::Anywhere);
    let mut membership = membership(Vec::new());
    add_zone_summary(&mut membership, NOW, "kurzeme");
    let lease = ConfigurationLease::Lapsed;
    let view = View { lease, ..view(&membership, &configuration) };

    let decision = Router::new(NOW, 1).decide(NOW, view, &CallerRequest::new(facts()));

    assert_matches!(decision, Err(Refusal::NoUpstream { .. }));
}

#[test]
fn late_permitted_zone_is_reported_as_late() {
    let mut membership = membership(Vec::new());
    add_zone_summary(&mut membership, NOW, "kurzeme");
    let mut request = CallerRequest::new(facts());
    request.facts.deadline = Duration::from_millis(10);

    let refusal = refusal(&membership, open_team(), &request);

    assert_matches!(&refusal, Refusal::Deadline { deadline, .. } if *deadline == request.facts.deadline);
}

#[test]
fn late_local_zone_is_reported_as_late_even_if_others_are_forbidden() {
    let load = LoadReport { running: 8, waiting: 400, ..LoadReport::default() };
    let mut membership = membership(vec![Announcement { load, ..upstream("u0") }]);
    add_zone_summary(&mut membership, NOW, "kurzeme");

    let refusal = refusal(&membership, home_team(), &CallerRequest::new(facts()));

    assert_matches!(refusal, Refusal::Deadline { .. });
}

#[test]
fn request_is_admitted_only_with_a_margin_to_its_deadline() {
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

//! Which team a call is served for, under any table, key and forwarding.

use medlarlug_core::{
    fingerprint::Fingerprint,
    gateway::{
        authentication::{
            Acceptance, AcceptedTeam, AuthenticationError, Evidence, Forwarding, Identity,
            authenticate,
        },
        handover::{ForwardedTeam, Handover},
        table::{Route, RouteTable, TableVersion},
        teams::{Quota, QuotaUnit, Team, TeamTable},
    },
};
use proptest::prelude::*;

use super::fixture::{region, route, service, table};

fn key(name: &str) -> Fingerprint {
    Fingerprint::of(name.as_bytes())
}

/// A team of the priority 1 with one key of its own, `key of NAME`.
fn team(name: &str, homes: &[&str]) -> (Team, Vec<Fingerprint>) {
    let homes = homes.iter().map(|it| region(it)).collect();
    let team = Team { name: name.parse().unwrap(), priority: Some(1), homes, quota: None };
    (team, vec![key(&format!("key of {name}"))])
}

fn with_teams(version: u64, teams: Vec<(Team, Vec<Fingerprint>)>) -> RouteTable {
    table(version, Vec::new()).unwrap().with_teams(TeamTable::new(teams).unwrap())
}

fn route_in(homes: &[&str]) -> Route {
    Route { homes: homes.iter().map(|it| region(it)).collect(), priority: 4, ..route("/mend/") }
}

fn anonymous() -> Route {
    Route { is_anonymous: true, ..route("/mend/") }
}

/// Decides about a call at a current instance in `kochi`.
fn decide(
    table: &RouteTable,
    route: Route,
    key: Option<Fingerprint>,
    forwarding: Option<Forwarding>,
) -> Result<Acceptance, AuthenticationError> {
    let region = region("kochi");
    authenticate(table, route, Evidence { key, forwarding, is_current: true, region: &region })
}

/// Decides about a call from a caller.
fn direct(
    table: &RouteTable,
    route: Route,
    key: Option<Fingerprint>,
) -> Result<Acceptance, AuthenticationError> {
    decide(table, route, key, None)
}

fn forwarding(version: u64, name: Option<&str>) -> Option<Forwarding> {
    let team = name.map(|name| ForwardedTeam {
        name: name.parse().unwrap(),
        key: key(&format!("key of {name}")),
    });
    Some(Forwarding { version: TableVersion(version), team })
}

fn accepted(found: &Acceptance) -> &AcceptedTeam {
    match &found.identity {
        Identity::Team(accepted) => accepted,
        other => panic!("no team: {other:?}"),
    }
}

#[test]
fn table_without_teams_leaves_calls_as_they_are() {
    let table = table(7, Vec::new()).unwrap();

    let found = direct(&table, route("/mend/"), Some(key("any"))).unwrap();

    assert_eq!(found, Acceptance { identity: Identity::Unchecked, route: route("/mend/") });
}

#[test]
fn empty_list_of_teams_rejects_every_call_on_a_route_that_needs_a_key() {
    let table = with_teams(7, Vec::new());

    assert_eq!(direct(&table, route("/mend/"), None), Err(AuthenticationError::MissingKey));
    assert_eq!(
        direct(&table, route("/mend/"), Some(key("any"))),
        Err(AuthenticationError::UnknownKey)
    );
}

#[test]
fn anonymous_route_needs_no_key_but_rejects_an_unknown_one() {
    let table = with_teams(7, vec![team("survey", &[])]);

    let without = direct(&table, anonymous(), None).unwrap();
    let known = direct(&table, anonymous(), Some(key("key of survey"))).unwrap();

    assert_eq!(without.identity, Identity::Anonymous);
    assert_eq!(accepted(&known).team.name.as_str(), "survey");
    assert_eq!(
        direct(&table, anonymous(), Some(key("another"))),
        Err(AuthenticationError::UnknownKey)
    );
}

#[test]
fn priority_of_the_team_replaces_that_of_the_route() {
    let (mut plain, keys) = team("plain", &[]);
    plain.priority = None;
    let table = with_teams(7, vec![team("survey", &[]), (plain, keys)]);

    let own = direct(&table, route_in(&[]), Some(key("key of survey"))).unwrap();
    let kept = direct(&table, route_in(&[]), Some(key("key of plain"))).unwrap();

    assert_eq!((own.route.priority, kept.route.priority), (1, 4));
}

/// Guards against an empty intersection that is taken for "all regions".
#[test]
fn only_regions_of_both_route_and_team_may_serve() {
    for (of_route, of_team, common) in [
        (&["kochi", "kollam"][..], &["kollam", "munnar"][..], Some(&["kollam"][..])),
        (&[], &["kollam"], Some(&["kollam"])),
        (&["kochi"], &[], Some(&["kochi"])),
        (&[], &[], Some(&[])),
        (&["kochi"], &["kollam"], None),
    ] {
        let table = with_teams(7, vec![team("survey", of_team)]);

        let found = direct(&table, route_in(of_route), Some(key("key of survey")));

        let homes = found.map(|it| it.route.homes);
        let expected = common.map(|it| it.iter().map(|it| region(it)).collect::<Vec<_>>());
        assert_eq!(homes, expected.ok_or(AuthenticationError::NoCommonHome));
    }
}

#[test]
fn instance_that_may_lack_a_newer_table_does_not_reject_a_key() {
    let table = with_teams(7, vec![team("survey", &[])]);
    let kochi = region("kochi");
    let evidence = Evidence {
        key: Some(key("added later")),
        forwarding: None,
        is_current: false,
        region: &kochi,
    };

    assert_eq!(
        authenticate(&table, route("/mend/"), evidence),
        Err(AuthenticationError::Undecided)
    );
}

#[test]
fn receiver_with_the_newer_table_looks_the_key_up_again() {
    let moved = (team("harbor", &["kochi"]).0, team("survey", &[]).1);
    let own = with_teams(8, vec![moved]);

    let found = decide(&own, route_in(&[]), None, forwarding(7, Some("survey"))).unwrap();
    let removed = decide(&own, route_in(&[]), None, forwarding(7, Some("gone")));

    assert_eq!(accepted(&found).team.name.as_str(), "harbor");
    assert!(accepted(&found).is_charged);
    assert_eq!(found.route.homes, [region("kochi")]);
    assert_eq!(removed, Err(AuthenticationError::UnknownKey));
}

#[test]
fn receiver_with_the_older_table_uses_the_team_of_the_sender() {
    let quota = Quota { unit: QuotaUnit::Requests, rate: 5.0, burst: 5.0, plain_cost: 1 };
    let (mut old, _) = team("survey", &["kollam"]);
    old.quota = Some(quota);
    let own = with_teams(6, vec![(old, Vec::new())]);

    let found = decide(&own, route_in(&["kochi"]), None, forwarding(7, Some("survey"))).unwrap();
    let without_teams = table(6, Vec::new()).unwrap();
    let other = decide(&without_teams, route_in(&[]), None, forwarding(7, Some("new"))).unwrap();

    assert_eq!(found.route, route_in(&["kochi"]));
    let Team { priority, quota: kept, .. } = accepted(&found).team.clone();
    assert_eq!((priority, kept), (Some(4), Some(quota)));
    assert_eq!(accepted(&other).team.name.as_str(), "new");
}

#[test]
fn team_that_a_newer_table_without_teams_dropped_is_not_named() {
    let own = table(8, Vec::new()).unwrap();

    let found = decide(&own, route_in(&[]), None, forwarding(7, Some("survey"))).unwrap();

    assert_eq!(found.identity, Identity::Anonymous);
}

/// An earlier build forwards the key itself, and chooses regions by the route alone.
#[test]
fn call_forwarded_by_an_earlier_build_is_checked_by_the_receiver() {
    let own = with_teams(7, vec![team("survey", &[]), team("harbor", &["kollam"])]);

    let known = decide(&own, route_in(&[]), Some(key("key of survey")), forwarding(7, None));
    let foreign = decide(&own, route_in(&[]), Some(key("key of harbor")), forwarding(7, None));
    let unknown = decide(&own, route_in(&[]), Some(key("another")), forwarding(7, None));
    let ahead = decide(&own, route_in(&[]), Some(key("another")), forwarding(8, None));
    let unsure = decide(&own, route_in(&[]), None, forwarding(8, None));

    assert!(!accepted(&known.unwrap()).is_charged);
    assert_eq!(foreign, Err(AuthenticationError::ForeignRegion));
    assert_eq!(unknown, Err(AuthenticationError::UnknownKey));
    assert_eq!(ahead, Err(AuthenticationError::Undecided));
    assert_eq!(unsure, Err(AuthenticationError::Undecided));
}

#[test]
fn anonymous_route_of_a_newer_sender_needs_no_key() {
    let own = with_teams(6, Vec::new());

    let found = decide(&own, anonymous(), None, forwarding(7, None)).unwrap();

    assert_eq!(found.identity, Identity::Anonymous);
}

#[test]
fn handover_without_a_team_reads_as_one_of_an_earlier_build_and_back() {
    let handover = Handover {
        version: TableVersion(7),
        route: route("/mend/"),
        service: service("scribe"),
        arrivals: 4,
        software: None,
        team: None,
    };
    let team = forwarding(7, Some("survey")).unwrap().team;
    let with_team = Handover { team, ..handover.clone() };

    let old = serde_json::to_string(&handover).unwrap();
    let new = serde_json::to_string(&with_team).unwrap();

    assert!(!old.contains("team") && !old.contains("is_anonymous"), "{old}");
    assert_eq!(serde_json::from_str::<Handover>(&old).unwrap(), handover);
    assert_eq!(serde_json::from_str::<Handover>(&new).unwrap(), with_team);
    assert!(!new.contains("key of"), "{new}");
}

/// The team that holds each of four keys; `None` if no team does.
type Holders = [Option<u8>; 4];

fn holders() -> impl Strategy<Value = Holders> {
    prop::array::uniform4(prop::option::of(0u8..3))
}

fn table_of(version: u64, holders: Holders) -> RouteTable {
    let teams = (0..3).map(|number| {
        let keys = holders.iter().enumerate().filter(|it| *it.1 == Some(number));
        (team(&format!("team-{number}"), &[]).0, keys.map(|it| key(&it.0.to_string())).collect())
    });
    with_teams(version, teams.collect())
}

proptest! {
    /// Keys are added, moved and removed between versions, and instances have any of them.
    #[test]
    fn key_of_all_tables_is_never_rejected_and_one_of_none_never_accepted(
        versions in prop::collection::vec(holders(), 1..5),
        index in 0usize..4,
        at in any::<prop::sample::Index>(),
        to in any::<prop::sample::Index>(),
        has_field: bool,
        is_settled: bool,
    ) {
        let newest = versions.len() - 1;
        let (at, to) = (at.index(versions.len()), to.index(versions.len()));
        let sent = key(&index.to_string());
        let kochi = region("kochi");
        let serve = |number: usize, key, forwarding| {
            let is_current = number == newest && is_settled;
            let evidence = Evidence { key, forwarding, is_current, region: &kochi };
            authenticate(&table_of(number as u64, versions[number]), route_in(&[]), evidence)
        };

        let first = serve(at, Some(sent), None);
        let mut found = vec![first.clone()];
        if let Ok(first) = &first {
            // An earlier build passes the key on instead of the team.
            let AcceptedTeam { team, key, .. } = accepted(first).clone();
            let forwarded = ForwardedTeam { name: team.name, key };
            let version = TableVersion(at as u64);
            let forwarding = Forwarding { version, team: Some(forwarded).filter(|_| has_field) };
            found.push(serve(to, Some(sent).filter(|_| !has_field), Some(forwarding)));
        }

        let is_everywhere = versions.iter().all(|it| it[index].is_some());
        let is_nowhere = versions.iter().all(|it| it[index].is_none());
        for result in &found {
            let is_rejected = matches!(
                result,
                Err(AuthenticationError::UnknownKey | AuthenticationError::MissingKey)
            );
            prop_assert!(!is_rejected || (!is_everywhere && newest == at.max(to) && is_settled));
            prop_assert!(!is_everywhere || result.is_ok());
            prop_assert!(!is_nowhere || result.is_err());
        }
        // Of two instances that serve a call, the one with the newer table names the team.
        if let Some(Ok(last)) = found.get(1).filter(|_| has_field) {
            let holder = versions[at.max(to)][index];
            prop_assert_eq!(
                accepted(last).team.name.as_str(),
                format!("team-{}", holder.unwrap())
            );
        }
    }
}

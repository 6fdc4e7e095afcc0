//! Tests of the order planner.

use std::net::{Ipv4Addr, SocketAddr};

use medlarlug_core::{
    announcement::{Announcement, LoadReport, LoadedModel, UpstreamKind},
    ids::{Incarnation, Revision},
    orders::{OrderKind, Planner, Task},
    release::{
        Configuration, Item,
        item::{Model, Residency},
    },
    units::Slots,
};
use test_support::id;

fn configuration(models: &[(&str, &[&str])]) -> Configuration {
    let model = |&(name, versions): &(&str, &[&str])| {
        Item::Model(Model {
            id: id(name),
            versions: versions.iter().map(|it| id(it)).collect(),
            adapters: Vec::new(),
            residency: Residency::Regions(vec![id("riga")]),
        })
    };
    Configuration::new(Revision(1), models.iter().map(model).collect())
}

fn engine(name: &str, loaded: &[(&str, &str)], running: u32) -> Announcement {
    let model = |&(model, version): &(&str, &str)| LoadedModel {
        model: id(model),
        version: id(version),
        adapters: Vec::new(),
    };
    Announcement {
        id: id(name),
        incarnation: Incarnation(1),
        sequence: 1,
        zone: id("riga-a"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        kind: UpstreamKind::Engine { models: loaded.iter().map(model).collect() },
        slots: Slots(8),
        fencing: true,
        leaving: false,
        load: LoadReport { running, ..LoadReport::default() },
    }
}

fn load(engine: &str, model: &str, version: &str) -> Task {
    let kind = OrderKind::Load { model: id(model), version: id(version) };
    Task { upstream: id(engine), incarnation: Incarnation(1), kind }
}

fn unload(engine: &str, model: &str, version: &str) -> Task {
    let kind = OrderKind::Unload { model: id(model), version: id(version) };
    Task { upstream: id(engine), incarnation: Incarnation(1), kind }
}

fn planner() -> Planner {
    Planner::new(id("riga"))
}

#[test]
fn version_that_no_engine_has_is_loaded_by_the_engine_with_the_fewest() {
    let configuration = configuration(&[("medlar", &["v1", "v2"])]);
    let engines = [engine("e-1", &[("medlar", "v1"), ("net", "v1")], 0), engine("e-2", &[], 0)];

    let first = planner().plan(&configuration, &engines, &[]);
    let next = planner().plan(&configuration, &engines, &first);

    assert_eq!(first, [load("e-2", "medlar", "v2")]);
    assert_eq!(next, []);
}

#[test]
fn replaced_version_is_unloaded_after_the_new_one_is_loaded_and_the_engine_is_idle() {
    let configuration = configuration(&[("medlar", &["v2"])]);
    let old = [engine("e-1", &[("medlar", "v1")], 0), engine("e-2", &[("medlar", "v2")], 0)];
    let busy = [engine("e-1", &[("medlar", "v1"), ("medlar", "v2")], 1)];
    let idle = [engine("e-1", &[("medlar", "v1"), ("medlar", "v2")], 0)];

    let first = planner().plan(&configuration, &old, &[]);
    let while_busy = planner().plan(&configuration, &busy, &[]);
    let when_idle = planner().plan(&configuration, &idle, &[]);

    assert_eq!(first, [load("e-1", "medlar", "v2")]);
    assert_eq!(while_busy, []);
    assert_eq!(when_idle, [unload("e-1", "medlar", "v1")]);
}

#[test]
fn withdrawn_model_is_unloaded_and_a_never_configured_one_is_left_alone() {
    let engines = [engine("e-1", &[("medlar", "v1"), ("net", "v1")], 0)];
    let mut planner = planner();

    let named = planner.plan(&configuration(&[("medlar", &["v1"])]), &engines, &[]);
    let withdrawn = planner.plan(&configuration(&[]), &engines, &[]);

    assert_eq!(named, []);
    assert_eq!(withdrawn, [unload("e-1", "medlar", "v1")]);
}

#[test]
fn model_that_may_not_be_served_in_the_region_is_not_loaded() {
    let configuration = configuration(&[("medlar", &["v1"])]);

    let tasks = Planner::new(id("kurzeme")).plan(&configuration, &[engine("e-1", &[], 0)], &[]);

    assert_eq!(tasks, []);
}

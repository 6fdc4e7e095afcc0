//! The software versions to which streams are bound.

use std::time::Duration;

use medlarlug_core::{
    gateway::{
        software_version::SoftwareVersion,
        stream_bindings::{
            BindingAnswer, BindingQuery, BindingRecord, StreamBinding, StreamBindings, holders,
        },
        stream_version::StreamVersion,
        upstreams::{Birth, FORGET_AFTER, Upstream, Upstreams},
    },
    ids::InstanceId,
    time::Time,
};

use super::fixture::{service, upstream};

fn version(text: &str) -> SoftwareVersion {
    text.parse().unwrap()
}

#[test]
fn first_event_binds_a_stream_and_later_ones_do_not() {
    let mut stream = StreamVersion::Free;

    stream.bind(Some(&version("v1")));
    stream.bind(Some(&version("v1.1")));

    assert_eq!(stream, StreamVersion::Bound(version("v1")));
}

#[test]
fn stream_of_an_upstream_without_a_version_goes_on_nowhere() {
    let mut stream = StreamVersion::Free;

    stream.bind(None);

    assert!(!stream.allows(None));
    assert!(!stream.allows(Some(&version("v1"))));
}

const SECOND: Duration = Duration::from_secs(1);

fn binding(software: &str) -> StreamBinding {
    StreamBinding { service: service("scribe"), software: version(software) }
}

fn instances(count: usize) -> Vec<InstanceId> {
    (0..count).map(|at| format!("entry-{at}").parse().unwrap()).collect()
}

#[test]
fn stream_keeps_its_first_binding_and_is_remembered_until_its_last_attempt() {
    let mut bindings = StreamBindings::default();
    let (call, end) = ("call-1".into(), Time::ZERO + SECOND * 5);
    bindings.bind(Time::ZERO, &call, binding("v1"), SECOND, end);

    bindings.bind(Time::ZERO, &call, binding("v1.1"), SECOND, end + SECOND);

    assert_eq!(bindings.get(end, "call-1"), Some(&binding("v1")));
    assert_eq!(bindings.get(end + SECOND, "call-1"), None);
    bindings.forget_expired(end + SECOND);
    assert!(bindings.is_empty());
}

#[test]
fn stream_is_sent_to_holders_once_it_is_needed_there_and_by_its_instance_alone() {
    let mut own = StreamBindings::default();
    let mut holder = StreamBindings::default();
    own.bind(Time::ZERO, &"call-1".into(), binding("v1"), SECOND, Time::ZERO + SECOND * 5);

    let before = own.take_unpublished(Time::ZERO, |_, _| false);
    let records = own.take_unpublished(Time::ZERO + SECOND, |_, _| true);
    let again = own.take_unpublished(Time::ZERO + SECOND, |_, _| true);
    records.iter().cloned().for_each(|it| assert!(holder.learn(Time::ZERO, it)));

    assert_eq!((before.len(), again.len()), (0, 0));
    let call = "call-1".into();
    assert_eq!(records, [BindingRecord { call, binding: binding("v1"), lifetime_ms: 4_000 }]);
    assert_eq!(holder.get(Time::ZERO, "call-1"), Some(&binding("v1")));
    assert!(!holder.has_unpublished());
}

#[test]
fn number_of_remembered_streams_is_bounded_and_the_first_to_expire_is_forgotten() {
    let mut bindings = StreamBindings::default();
    let mut forgotten = 0;
    for at in 0..16_400_u64 {
        let end = Time::ZERO + SECOND + Duration::from_millis(at);
        let kept = bindings.bind(Time::ZERO, &format!("{at}").into(), binding("v1"), SECOND, end);
        forgotten += u64::from(!kept);
    }

    assert_eq!(forgotten, 16_400 - bindings.len() as u64);
    assert_eq!(bindings.get(Time::ZERO, "0"), None);
    assert!(bindings.get(Time::ZERO, "16399").is_some());
}

#[test]
fn one_holder_that_is_asked_has_the_binding_when_the_instance_or_another_holder_has_ended() {
    for streams in 0..200 {
        let call = format!("call-{streams}");
        let all = instances(12);
        let others = |missing: &[&InstanceId]| -> Vec<InstanceId> {
            all.iter().filter(|it| !missing.contains(it)).cloned().collect()
        };
        let (own, asking) = (&all[0], &all[1]);
        let held = holders(&call, &others(&[own]), 2);
        // The asking instance still considers the ended one live.
        let asked = holders(&call, &others(&[asking]), 3);

        for ended in &held {
            let known = held.iter().filter(|it| *it != ended);
            let mut known = known.chain([asking].into_iter().filter(|it| held.contains(it)));
            assert!(known.any(|it| asked.contains(it) || it == asking), "{call}");
        }
    }
}

#[test]
fn binding_of_a_holder_decides_whatever_versions_serve() {
    let mut query = BindingQuery::new(service("scribe"), true);
    query.record(BindingAnswer::Several);
    assert!(!query.is_decided());

    query.record(BindingAnswer::Bound(binding("v1")));

    assert!(query.is_decided());
    assert_eq!(query.result(), Some(binding("v1")));
}

#[test]
fn only_version_counts_unless_an_instance_knows_of_another() {
    let only = |text| BindingAnswer::Only(version(text));
    let result = |answers: &[BindingAnswer]| {
        let mut query = BindingQuery::new(service("scribe"), true);
        answers.iter().cloned().for_each(|it| query.record(it));
        query.result()
    };

    assert_eq!(result(&[BindingAnswer::Unsure, only("v1"), only("v1")]), Some(binding("v1")));
    assert_eq!(result(&[only("v1"), only("v1.1")]), None);
    assert_eq!(result(&[only("v1"), BindingAnswer::Several]), None);
    assert_eq!(result(&[BindingAnswer::Unsure]), None);
}

#[test]
fn first_settled_view_decides_about_a_stream_that_no_holder_can_know() {
    let mut query = BindingQuery::new(service("scribe"), false);
    query.record(BindingAnswer::Unsure);
    assert!(!query.is_decided());

    query.record(BindingAnswer::Only(version("v1")));

    assert!(query.is_decided());
    assert_eq!(query.result(), Some(binding("v1")));
}

/// A version has served even if no upstream of it is left: they left, crashed, or run another one now.
#[test]
fn versions_of_upstreams_that_are_gone_count_for_as_long_as_streams_may_last() {
    let mut upstreams = Upstreams::default();
    let announced = |software: &str, birth| Upstream {
        software: Some(version(software)),
        birth: Birth(birth),
        ..upstream("engine-1", 1)
    };
    upstreams.announce(Time::ZERO, announced("v1", 1), Duration::ZERO);
    upstreams.announce(Time::ZERO, announced("v1.1", 2), Duration::ZERO);
    upstreams.mark_gone(&"engine-1".parse().unwrap());

    let versions = |upstreams: &Upstreams| upstreams.software_versions(&service("scribe")).len();

    assert_eq!(versions(&upstreams), 2);
    upstreams.forget_expired(Time::ZERO + FORGET_AFTER);
    assert_eq!(versions(&upstreams), 2);
    upstreams.forget_expired(Time::ZERO + FORGET_AFTER + SECOND);
    assert_eq!(versions(&upstreams), 0);
}

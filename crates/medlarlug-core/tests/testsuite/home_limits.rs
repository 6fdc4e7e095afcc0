//! Limits of a home group on keys and bodies, retention, and replies of a group that lost its state.

use std::time::Duration;

use assert_matches::assert_matches;
use medlarlug_core::{
    fingerprint::Fingerprint,
    home::{
        Action, Begin, BeginReply, Body, Booking, BookingState, Command, Handover, HomeGroup,
        Owner, RecordedAnswer, Reply,
        state::{KEY_RETENTION, OUTCOME_QUERY_PERIOD},
    },
    ids::{Incarnation, Revision},
};
use test_support::id;

const FOUNDED: Revision = Revision(50);

fn founded(first: bool) -> HomeGroup {
    let mut group = HomeGroup::default();
    apply(&mut group, Duration::ZERO, Action::Found { revision: FOUNDED, first });
    group
}

fn apply(group: &mut HomeGroup, elapsed: Duration, action: Action) -> Reply {
    group.apply(Command { elapsed, action })
}

fn begin(key: &str, epoch: u64) -> Begin {
    Begin {
        team: id("anna"),
        key: key.parse().unwrap(),
        content: Fingerprint::of(key.as_bytes()),
        request: id("riga.entry-1.1.1"),
        owner: Owner { instance: id("entry-1"), incarnation: Incarnation(1) },
        revision: FOUNDED,
        epoch: Revision(epoch),
        moved: false,
        queryable_service: None,
    }
}

fn reply_to(group: &mut HomeGroup, begin: Begin) -> BeginReply {
    match apply(group, Duration::ZERO, Action::Begin(begin)) {
        Reply::Begin(reply) => reply,
        reply => panic!("no reply to a begin: {reply:?}"),
    }
}

fn finish(group: &mut HomeGroup, begin: &Begin, body: &[u8]) {
    let Begin { team, key, request, .. } = begin.clone();
    let body = Body::of(body);
    let answer = RecordedAnswer { status: 201, content_type: "text/plain".into(), body };
    apply(group, Duration::ZERO, Action::Finish { team, key, request, answer });
}

#[test]
fn group_that_lost_its_state_runs_only_keys_that_prove_to_be_new() {
    let mut group = founded(false);

    let plain = reply_to(&mut group, begin("boat-1", 3));
    let older = reply_to(&mut group, begin("49~boat-2", 3));
    let newer = reply_to(&mut group, begin("50~boat-3", 3));

    assert_eq!(plain, BeginReply::Unknown(None));
    assert_eq!(older, BeginReply::Unknown(None));
    assert_eq!(newer, BeginReply::Started);
}

#[test]
fn group_rebuilt_from_a_survivor_keeps_answers_and_runs_nothing_that_it_may_have_lost() {
    let mut group = founded(true);
    let request = id("riga.entry-1.1.1");
    let (team, key) = (id("anna"), "given-up".parse().unwrap());
    for key in ["done", "open", "given-up"] {
        reply_to(&mut group, begin(key, 3));
    }
    finish(&mut group, &begin("done", 3), b"ok");
    apply(&mut group, Duration::ZERO, Action::Abandon { team, key, request });

    apply(&mut group, Duration::ZERO, Action::Rebuilt);
    let early = reply_to(&mut group, begin("done", 3));
    // Duplicate of an owner's command; another request may have used the key since then.
    let (team, key) = (id("anna"), "open".parse().unwrap());
    let late = Action::Abandon { team, key, request: id("riga.entry-1.1.1") };
    // A configuration group that was rebuilt as well may report that this founding is the first.
    apply(&mut group, Duration::ZERO, Action::Found { revision: FOUNDED, first: true });

    let late = apply(&mut group, Duration::ZERO, late);

    assert_eq!(early, BeginReply::NotFounded);
    assert_eq!(late, Reply::Ok);
    assert_matches!(reply_to(&mut group, begin("done", 3)), BeginReply::Done { .. });
    for key in ["open", "given-up", "lost"] {
        assert_matches!(reply_to(&mut group, begin(key, 3)), BeginReply::Unknown(_), "{key}");
    }
}

#[test]
fn group_that_lost_its_state_refuses_bookings_from_an_older_configuration() {
    let mut group = founded(false);
    let older = Begin { revision: Revision(49), ..begin("50~boat-1", 3) };

    let reply = reply_to(&mut group, older);

    assert_eq!(reply, BeginReply::StaleConfiguration(FOUNDED));
}

#[test]
fn team_newer_than_the_loss_can_book_at_once() {
    let mut group = founded(false);

    let reply = reply_to(&mut group, begin("boat-1", 51));

    assert_eq!(reply, BeginReply::Started);
}

#[test]
fn loss_of_state_ends_after_the_retention() {
    let mut group = founded(false);

    apply(&mut group, KEY_RETENTION - Duration::from_micros(1), Action::Tick);
    let early = reply_to(&mut group, begin("boat-1", 3));
    apply(&mut group, Duration::from_micros(1), Action::Tick);
    let late = reply_to(&mut group, begin("boat-1", 3));

    assert_eq!((early, late), (BeginReply::Unknown(None), BeginReply::Started));
    assert_eq!(group.state_loss_remaining(), None);
}

#[test]
fn group_that_is_not_founded_refuses_commands() {
    let mut group = HomeGroup::default();

    let begun = reply_to(&mut group, begin("boat-1", 3));
    let ticked = apply(&mut group, Duration::ZERO, Action::Tick);

    assert_eq!((begun, ticked), (BeginReply::NotFounded, Reply::NotFounded));
}

#[test]
fn key_is_kept_for_the_retention_after_its_end() {
    let mut group = founded(true);
    let first = begin("boat-1", 3);
    reply_to(&mut group, first.clone());
    apply(&mut group, 2 * KEY_RETENTION, Action::Tick);
    finish(&mut group, &first, b"booked");

    apply(&mut group, KEY_RETENTION - Duration::from_micros(1), Action::Tick);
    let early = reply_to(&mut group, first.clone());
    apply(&mut group, Duration::from_micros(1), Action::Tick);
    let late = reply_to(&mut group, first);

    assert_matches!(early, BeginReply::Done { .. });
    assert_eq!(late, BeginReply::Started);
}

#[test]
fn key_over_the_limit_is_refused_and_no_key_is_evicted() {
    let mut group = founded(true);
    for number in 0..16_384 {
        assert_eq!(reply_to(&mut group, begin(&format!("k{number}"), 3)), BeginReply::Started);
    }

    let refused = reply_to(&mut group, begin("one-more", 3));

    assert_eq!(refused, BeginReply::Full);
    assert_eq!(group.key_count(), 16_384);
}

#[test]
fn oldest_bodies_over_the_limit_are_omitted_but_outcomes_are_kept() {
    let mut group = founded(true);
    let body = [7; 16 * 1024];
    let count = 64 * 64 + 10;
    for number in 0..count {
        let it = begin(&format!("k{number}"), 3);
        reply_to(&mut group, it.clone());
        finish(&mut group, &it, &body);
    }
    apply(&mut group, Duration::ZERO, Action::Tick);
    let body_of = |number: usize| {
        let key = format!("k{number}").parse().unwrap();
        match &group.booking(&id("anna"), &key).unwrap().state {
            BookingState::Done(answer) => answer.body.clone(),
            state => panic!("not done: {state:?}"),
        }
    };

    let (omitted, kept) = (body_of(9), body_of(10));

    assert_eq!(omitted, Body::omitted(&body));
    assert_eq!(kept, Body::Whole(body.to_vec()));
}

/// Handover of revision 40, older than the founding, with one booking in each state.
fn old_handover() -> Handover {
    let booking = |key: &str, state| {
        let Begin { key, content, request, .. } = begin(key, 3);
        Booking {
            key,
            content,
            request,
            queryable_service: None,
            state,
            is_doubtful: false,
            since: 0,
        }
    };
    let answer = RecordedAnswer {
        status: 201,
        content_type: "text/plain".into(),
        body: Body::of(b"booked"),
    };
    let bookings = vec![
        booking("abandoned", BookingState::Abandoned),
        booking("done", BookingState::Done(answer)),
        booking("open", BookingState::Open(begin("open", 3).owner)),
        booking("unknown", BookingState::Unknown),
    ];
    Handover { team: id("anna"), epoch: Revision(40), state_loss: None, bookings }
}

#[test]
fn group_that_lost_its_state_adopts_only_outcomes_from_an_older_handover() {
    let mut group = founded(false);
    apply(&mut group, Duration::ZERO, Action::Adopt(old_handover()));
    let Begin { team, key, request, .. } = begin("unknown", 40);

    let late = Action::Abandon { team, key, request };
    let late = apply(&mut group, Duration::ZERO, late);
    let replies: Vec<BeginReply> = ["abandoned", "open", "unknown"]
        .map(|key| reply_to(&mut group, Begin { moved: true, ..begin(key, 40) }))
        .into();
    let done = reply_to(&mut group, Begin { moved: true, ..begin("done", 40) });

    assert_eq!(late, Reply::NotAdopted);
    assert_eq!(replies, vec![BeginReply::Unknown(None); 3]);
    assert_matches!(done, BeginReply::Done { .. });
}

#[test]
fn services_are_queried_only_for_unknown_outcomes_and_for_a_limited_time() {
    let mut group = founded(true);
    let queryable = |key: &str| Begin { queryable_service: Some(id("jobdesk")), ..begin(key, 3) };
    for it in [queryable("lost"), queryable("settled"), queryable("done"), begin("unaskable", 3)] {
        reply_to(&mut group, it);
    }
    finish(&mut group, &begin("done", 3), b"booked");
    let Begin { owner: Owner { instance, incarnation }, .. } = begin("lost", 3);
    let queried = |group: &HomeGroup| -> Vec<String> {
        group.outcome_queries().map(|it| it.key.to_string()).collect()
    };

    let open = queried(&group);
    apply(&mut group, Duration::ZERO, Action::InstanceDead { instance, incarnation });
    let lost = queried(&group);
    let Begin { team, key, request, .. } = begin("settled", 3);
    let answer =
        RecordedAnswer { status: 200, content_type: "text/plain".into(), body: Body::of(b"") };
    apply(&mut group, Duration::ZERO, Action::ResolveOutcome { team, key, request, answer });
    let resolved = queried(&group);
    apply(&mut group, OUTCOME_QUERY_PERIOD + Duration::from_secs(1), Action::Tick);

    assert!(open.is_empty());
    assert_eq!(lost, ["lost", "settled"]);
    assert_eq!(resolved, ["lost"]);
    assert!(queried(&group).is_empty());
}

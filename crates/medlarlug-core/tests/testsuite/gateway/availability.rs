//! What upstreams say about whether they want requests, in any order and late.

use std::time::Duration;

use medlarlug_core::{
    gateway::{
        availability::{Availability, AvailabilityTracker, Backoff},
        upstreams::Birth,
    },
    ids::UpstreamId,
    time::Time,
};
use proptest::prelude::*;

fn engine() -> UpstreamId {
    "engine-1".parse().unwrap()
}

fn rest(text: &str) -> Backoff {
    text.parse().unwrap()
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn fractions_of_seconds_are_rested() {
    let mut told = AvailabilityTracker::default();

    let granted = told.record_backoff(at(0), &engine(), Birth(1), rest("0.25"), 0.0);

    assert_eq!(granted, Some(Duration::from_millis(250)));
    assert_eq!(told.of(at(250), &engine(), Birth(1)), Availability::Available);
}

#[test]
fn absurdly_long_rests_count_as_a_day() {
    for text in ["86401", "1e300", "inf"] {
        assert_eq!(rest(text), rest("86400"), "{text}");
    }
}

#[test]
fn what_is_no_time_is_no_rest() {
    for text in ["", "soon", "-0.5", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        assert!(text.parse::<Backoff>().is_err(), "{text}");
    }
}

#[test]
fn shorter_rest_does_not_end_a_longer_one() {
    let mut told = AvailabilityTracker::default();
    told.record_backoff(at(0), &engine(), Birth(1), rest("5"), 0.0);

    let granted = told.record_backoff(at(100), &engine(), Birth(1), rest("1"), 0.0);

    let left = Duration::from_millis(4_900);
    assert_eq!(granted, None);
    assert_eq!(told.of(at(100), &engine(), Birth(1)), Availability::BackingOff { remaining: left });
}

#[test]
fn younger_incarnation_neither_rests_nor_leaves() {
    let mut told = AvailabilityTracker::default();
    told.record_leaving(at(0), &engine(), Birth(1));

    let younger = told.of(at(0), &engine(), Birth(2));
    told.record_backoff(at(0), &engine(), Birth(2), rest("2"), 0.0);
    // A late answer of the older one.
    told.record_leaving(at(10), &engine(), Birth(1));

    let left = Duration::from_millis(1_990);
    assert_eq!(younger, Availability::Available);
    assert_eq!(told.of(at(10), &engine(), Birth(2)), Availability::BackingOff { remaining: left });
}

#[test]
fn instances_return_at_different_times() {
    let ends = [0.0, 0.5, 1.0].map(|spread| {
        AvailabilityTracker::default().record_backoff(
            at(0),
            &engine(),
            Birth(1),
            rest("10"),
            spread,
        )
    });

    assert_eq!(ends, [10_000, 10_500, 11_000].map(|end| Some(Duration::from_millis(end))));
}

/// What happens at an upstream with one instance.
#[derive(Debug, Clone)]
enum Event {
    /// A call arrives at the instance.
    Call,
    /// The upstream asks for a rest of so many milliseconds with its next answers.
    Tires(u64),
    /// It says with its next answers that it is leaving.
    Leaves,
    /// It starts anew, and is announced at once.
    Starts,
    /// It announces itself as ready.
    Announces,
    /// The answer of the oldest request arrives.
    Answers,
    /// The answer of the newest request overtakes the others.
    Overtakes,
    /// Time passes, in milliseconds.
    Waits(u64),
}

/// A request and what the upstream had to say when it was sent.
#[derive(Debug, Clone, Copy)]
struct Sent {
    birth: u64,
    says: Says,
}

#[derive(Debug, Clone, Copy, Default)]
struct Says {
    tired_until: Option<u64>,
    is_leaving: bool,
}

/// One upstream and one instance; `is_deaf` is an instance that ignores what upstreams say.
#[derive(Debug, Default)]
struct Trial {
    is_deaf: bool,
    now: u64,
    birth: u64,
    says: Says,
    told: AvailabilityTracker,
    open: Vec<Sent>,
    /// Until when the instance was told to rest, by incarnation, and since when it knows.
    rested: Option<(u64, u64, u64)>,
    left: Option<(u64, u64)>,
    /// Requests in the present rest, later than half a second after it was asked for.
    in_rest: u32,
    /// Requests more than three seconds after the instance was told of the leaving.
    after_leaving: u32,
}

impl Trial {
    fn feed(&mut self, event: Event) {
        match event {
            Event::Call => self.call(),
            Event::Tires(millis) => self.says.tired_until = Some(self.now + millis),
            Event::Leaves => self.says.is_leaving = true,
            Event::Starts => {
                self.birth += 1;
                self.says = Says::default();
            }
            Event::Announces => {}
            Event::Answers if !self.open.is_empty() => {
                let sent = self.open.remove(0);
                self.answer(sent);
            }
            Event::Overtakes => {
                if let Some(sent) = self.open.pop() {
                    self.answer(sent);
                }
            }
            Event::Answers => {}
            Event::Waits(millis) => self.now += millis,
        }
    }

    fn call(&mut self) {
        let availability = self.told.of(at(self.now), &engine(), Birth(self.birth));
        if !self.is_deaf && availability != Availability::Available {
            return;
        }
        let is_rested = self.rested.is_some_and(|(birth, since, until)| {
            birth == self.birth && (since + 500..until).contains(&self.now)
        });
        self.in_rest += u32::from(is_rested);
        let has_left =
            self.left.is_some_and(|(birth, since)| birth == self.birth && self.now > since + 3_000);
        self.after_leaving += u32::from(has_left);
        self.open.push(Sent { birth: self.birth, says: self.says });
    }

    fn answer(&mut self, sent: Sent) {
        let Sent { birth, says } = sent;
        if says.is_leaving {
            self.told.record_leaving(at(self.now), &engine(), Birth(birth));
            if self.left.is_none_or(|it| it.0 < birth) {
                self.left = Some((birth, self.now));
            }
        }
        let tired = says.tired_until.filter(|until| *until > self.now);
        if let Some(until) = tired {
            let seconds = (until - self.now) as f64 / 1_000.0;
            let asked = rest(&seconds.to_string());
            self.told.record_backoff(at(self.now), &engine(), Birth(birth), asked, 0.3);
            if self.rested.is_none_or(|it| it.0 < birth || (it.0 == birth && it.2 < until)) {
                self.rested = Some((birth, self.now, until));
            }
        }
    }
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => Just(Event::Call),
        1 => (200u64..8_000).prop_map(Event::Tires),
        1 => Just(Event::Leaves),
        1 => Just(Event::Starts),
        1 => Just(Event::Announces),
        3 => Just(Event::Answers),
        1 => Just(Event::Overtakes),
        3 => (1u64..2_000).prop_map(Event::Waits),
    ]
}

fn play(is_deaf: bool, events: &[Event]) -> (u32, u32) {
    let mut trial = Trial { is_deaf, birth: 1, ..Trial::default() };
    events.iter().for_each(|event| trial.feed(event.clone()));
    (trial.in_rest, trial.after_leaving)
}

proptest! {
    /// Two requests may reach an upstream in a rest, none after its leaving; no more than that count
    /// here, as the upstream counts them.
    #[test]
    fn upstreams_get_what_they_asked_for(events in prop::collection::vec(event(), 0..120)) {
        let (in_rest, after_leaving) = play(false, &events);

        prop_assert!(in_rest <= 2 && after_leaving == 0, "{in_rest} {after_leaving}");
    }
}

#[test]
fn instance_that_ignores_answers_fails_the_same_check() {
    let calls = |count| std::iter::repeat_n([Event::Call, Event::Waits(100)], count).flatten();
    let tired = [Event::Tires(3_000), Event::Call, Event::Answers].into_iter();
    let leaving = [Event::Leaves, Event::Call, Event::Overtakes].into_iter();
    let events: Vec<Event> = tired.chain(calls(40)).chain(leaving).chain(calls(40)).collect();

    let (deaf, heeding) = (play(true, &events), play(false, &events));

    assert!(deaf.0 > 2 && deaf.1 > 0, "{deaf:?}");
    assert_eq!(heeding, (0, 0));
}

//! What upstreams say about whether they accept requests, in any order and late.

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

fn backoff(text: &str) -> Backoff {
    text.parse().unwrap()
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn backoff_may_be_a_fraction_of_a_second() {
    let mut tracker = AvailabilityTracker::default();

    let granted = tracker.record_backoff(at(0), &engine(), Birth(1), backoff("0.25"), 0.0);

    assert_eq!(granted, Some(Duration::from_millis(250)));
    assert_eq!(tracker.get(at(250), &engine(), Birth(1)), Availability::Available);
}

#[test]
fn backoff_is_at_most_a_day() {
    for text in ["86401", "1e300", "inf"] {
        assert_eq!(backoff(text), backoff("86400"), "{text}");
    }
}

#[test]
fn text_that_is_no_duration_is_rejected() {
    for text in ["", "soon", "-0.5", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        assert!(text.parse::<Backoff>().is_err(), "{text}");
    }
}

#[test]
fn shorter_backoff_does_not_end_a_longer_one() {
    let mut tracker = AvailabilityTracker::default();
    tracker.record_backoff(at(0), &engine(), Birth(1), backoff("5"), 0.0);

    let granted = tracker.record_backoff(at(100), &engine(), Birth(1), backoff("1"), 0.0);

    let left = Duration::from_millis(4_900);
    assert_eq!(granted, None);
    assert_eq!(
        tracker.get(at(100), &engine(), Birth(1)),
        Availability::BackingOff { remaining: left }
    );
}

#[test]
fn younger_incarnation_inherits_neither_backoff_nor_leaving() {
    let mut tracker = AvailabilityTracker::default();
    tracker.record_leaving(at(0), &engine(), Birth(1));

    let younger = tracker.get(at(0), &engine(), Birth(2));
    tracker.record_backoff(at(0), &engine(), Birth(2), backoff("2"), 0.0);
    // A late answer of the older incarnation.
    tracker.record_leaving(at(10), &engine(), Birth(1));

    let left = Duration::from_millis(1_990);
    assert_eq!(younger, Availability::Available);
    assert_eq!(
        tracker.get(at(10), &engine(), Birth(2)),
        Availability::BackingOff { remaining: left }
    );
}

#[test]
fn instances_return_at_different_times() {
    let ends = [0.0, 0.5, 1.0].map(|jitter| {
        AvailabilityTracker::default().record_backoff(
            at(0),
            &engine(),
            Birth(1),
            backoff("10"),
            jitter,
        )
    });

    assert_eq!(ends, [10_000, 10_500, 11_000].map(|end| Some(Duration::from_millis(end))));
}

/// What happens at an upstream with one instance.
#[derive(Debug, Clone)]
enum Event {
    /// A call arrives at the instance.
    Call,
    /// The upstream asks for a backoff of so many milliseconds in its next answers.
    AsksForBackoff(u64),
    /// The upstream says in its next answers that it is leaving.
    Leaves,
    /// The upstream restarts, and its announcement arrives at once.
    Starts,
    /// The upstream announces itself as ready.
    Announces,
    /// The answer to the oldest request arrives.
    Answers,
    /// The answer to the newest request arrives before the others.
    AnswersOutOfOrder,
    /// Time passes, in milliseconds.
    TimePasses(u64),
}

/// A request, and what the upstream says in its answer.
#[derive(Debug, Clone, Copy)]
struct Sent {
    birth: u64,
    statement: Statement,
}

#[derive(Debug, Clone, Copy, Default)]
struct Statement {
    backoff_until: Option<u64>,
    is_leaving: bool,
}

/// One upstream and one instance; with `ignores_answers`, the instance ignores what the upstream
/// says.
#[derive(Debug, Default)]
struct Simulation {
    ignores_answers: bool,
    now: u64,
    birth: u64,
    statement: Statement,
    tracker: AvailabilityTracker,
    in_flight: Vec<Sent>,
    /// The latest backoff that the instance received: incarnation, time of receipt and end.
    last_backoff: Option<(u64, u64, u64)>,
    leaving: Option<(u64, u64)>,
    /// Requests during a backoff, later than half a second after it was received.
    during_backoff: u32,
    /// Requests more than three seconds after the instance received that the upstream is leaving.
    after_leaving: u32,
}

impl Simulation {
    fn apply(&mut self, event: Event) {
        match event {
            Event::Call => self.call(),
            Event::AsksForBackoff(millis) => self.statement.backoff_until = Some(self.now + millis),
            Event::Leaves => self.statement.is_leaving = true,
            Event::Starts => {
                self.birth += 1;
                self.statement = Statement::default();
            }
            Event::Announces => {}
            Event::Answers if !self.in_flight.is_empty() => {
                let sent = self.in_flight.remove(0);
                self.answer(sent);
            }
            Event::AnswersOutOfOrder => {
                if let Some(sent) = self.in_flight.pop() {
                    self.answer(sent);
                }
            }
            Event::Answers => {}
            Event::TimePasses(millis) => self.now += millis,
        }
    }

    fn call(&mut self) {
        let availability = self.tracker.get(at(self.now), &engine(), Birth(self.birth));
        if !self.ignores_answers && availability != Availability::Available {
            return;
        }
        let is_in_backoff = self.last_backoff.is_some_and(|(birth, since, until)| {
            birth == self.birth && (since + 500..until).contains(&self.now)
        });
        self.during_backoff += u32::from(is_in_backoff);
        let is_after_leaving = self
            .leaving
            .is_some_and(|(birth, since)| birth == self.birth && self.now > since + 3_000);
        self.after_leaving += u32::from(is_after_leaving);
        self.in_flight.push(Sent { birth: self.birth, statement: self.statement });
    }

    fn answer(&mut self, sent: Sent) {
        let Sent { birth, statement } = sent;
        if statement.is_leaving {
            self.tracker.record_leaving(at(self.now), &engine(), Birth(birth));
            if self.leaving.is_none_or(|it| it.0 < birth) {
                self.leaving = Some((birth, self.now));
            }
        }
        let until = statement.backoff_until.filter(|until| *until > self.now);
        if let Some(until) = until {
            let seconds = (until - self.now) as f64 / 1_000.0;
            let requested = backoff(&seconds.to_string());
            self.tracker.record_backoff(at(self.now), &engine(), Birth(birth), requested, 0.3);
            if self.last_backoff.is_none_or(|it| it.0 < birth || (it.0 == birth && it.2 < until)) {
                self.last_backoff = Some((birth, self.now, until));
            }
        }
    }
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => Just(Event::Call),
        1 => (200u64..8_000).prop_map(Event::AsksForBackoff),
        1 => Just(Event::Leaves),
        1 => Just(Event::Starts),
        1 => Just(Event::Announces),
        3 => Just(Event::Answers),
        1 => Just(Event::AnswersOutOfOrder),
        3 => (1u64..2_000).prop_map(Event::TimePasses),
    ]
}

fn simulate(ignores_answers: bool, events: &[Event]) -> (u32, u32) {
    let mut simulation = Simulation { ignores_answers, birth: 1, ..Simulation::default() };
    events.iter().for_each(|event| simulation.apply(event.clone()));
    (simulation.during_backoff, simulation.after_leaving)
}

proptest! {
    /// Two requests may reach an upstream during a backoff, none after it has left; no more than
    /// that are counted here, the way the upstream counts them.
    #[test]
    fn backoff_and_leaving_of_an_upstream_are_respected(
        events in prop::collection::vec(event(), 0..120),
    ) {
        let (during_backoff, after_leaving) = simulate(false, &events);

        prop_assert!(during_backoff <= 2 && after_leaving == 0, "{during_backoff} {after_leaving}");
    }
}

#[test]
fn instance_that_ignores_answers_fails_the_same_check() {
    let calls = |count| std::iter::repeat_n([Event::Call, Event::TimePasses(100)], count).flatten();
    let backoff = [Event::AsksForBackoff(3_000), Event::Call, Event::Answers].into_iter();
    let leaving = [Event::Leaves, Event::Call, Event::AnswersOutOfOrder].into_iter();
    let events: Vec<Event> = backoff.chain(calls(40)).chain(leaving).chain(calls(40)).collect();

    let (ignoring, respecting) = (simulate(true, &events), simulate(false, &events));

    assert!(ignoring.0 > 2 && ignoring.1 > 0, "{ignoring:?}");
    assert_eq!(respecting, (0, 0));
}

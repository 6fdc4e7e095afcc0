//! Continuous batching and the prefix cache of emulated engines.

use std::{rc::Rc, time::Duration};

use medlarlug::standin::{
    answer::Answer,
    batch::Batch,
    cache::PrefixCache,
    streams::{Phase, Stream},
};
use medlarlug_core::units::{Slots, Tokens};
use test_support::id;
use tokio::time::Instant;

fn batch(slots: u32) -> Batch {
    Batch::new(Slots(slots), id("100/s"), id("1000/s"))
}

fn stream(name: &str, tokens: usize) -> Stream {
    Stream::new(name.into(), "medlar".into(), true, 1, Answer::new("prompt", Some(tokens)))
}

#[test]
fn higher_priority_gets_the_free_slot_first() {
    let mut batch = batch(1);
    let (low, high) = (Rc::new(stream("low", 1)), Rc::new(stream("high", 1)));
    batch.push(Rc::clone(&low), 0, Tokens(0));
    batch.push(Rc::clone(&high), 5, Tokens(0));

    batch.step(Instant::now(), 1.0);

    assert_eq!((low.phase(), high.phase()), (Phase::Waiting, Phase::Running));
}

#[test]
fn step_takes_longer_the_more_streams_share_it() {
    let now = Instant::now();
    let step_duration = |streams: u32| {
        let mut batch = batch(streams);
        for index in 0..streams {
            batch.push(Rc::new(stream(&format!("s{index}"), 9)), 0, Tokens(0));
        }
        batch.step(now, 1.0).unwrap() - now
    };

    assert_eq!(step_duration(1), Duration::from_millis(10));
    assert_eq!(step_duration(11), Duration::from_millis(13));
}

#[test]
fn prompts_are_processed_one_after_another() {
    let now = Instant::now() + Duration::from_secs(1);
    let mut batch = batch(2);
    batch.push(Rc::new(stream("first", 1)), 0, Tokens(500));
    batch.push(Rc::new(stream("second", 1)), 0, Tokens(500));

    let next = batch.step(now, 1.0).unwrap();
    let after_first = batch.step(next, 1.0).unwrap();

    assert_eq!(next - now, Duration::from_millis(500));
    assert_eq!(after_first - now, Duration::from_millis(1_000));
}

#[test]
fn stream_whose_deadline_passes_in_the_queue_is_not_started() {
    let now = Instant::now();
    let mut batch = batch(1);
    let mut late = stream("late", 1);
    late.deadline = Some(now);
    let late = Rc::new(late);
    batch.push(Rc::new(stream("first", 2)), 0, Tokens(0));
    batch.push(Rc::clone(&late), 0, Tokens(0));

    batch.step(now, 1.0);
    batch.step(now + Duration::from_millis(10), 1.0);

    assert_eq!(late.phase(), Phase::Expired);
}

#[test]
fn least_recently_used_prefix_is_evicted_from_a_full_cache() {
    let mut cache = PrefixCache::new(Tokens(128));
    let prompt = |letter: &str| letter.repeat(256);
    for letter in ["a", "b", "a", "c"] {
        cache.insert_prompt(&prompt(letter));
    }

    assert_eq!(cache.insert_prompt(&prompt("a")), Tokens(64));
    assert_eq!(cache.insert_prompt(&prompt("b")), Tokens(0));
}

#[test]
fn some_cache_changes_are_never_reported() {
    let mut cache = PrefixCache::new(Tokens(1_000_000));
    for index in 0..70 {
        cache.insert_prompt(&format!("{index:0>256}"));
    }

    let (cached, evicted) = cache.take_changes();

    assert_eq!((cached.len(), evicted.len()), (60, 0));
}

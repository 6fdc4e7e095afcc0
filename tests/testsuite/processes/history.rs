//! The history of concurrent bookings while processes are killed, checked afterwards.
//!
//! The timing of processes differs from run to run; what is checked has to hold for every history.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::Duration,
};

use medlarlug_core::release::item::Residency;
use rand::{SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use test_support::deployment::{Deployment, Reply};

use crate::processes::fixture::{items, two_regions};

const CALLERS: u64 = 6;
const BOOKINGS: u64 = 20;
const SENDS: u32 = 4;

/// Pause of a caller after a booking, so that the history outlasts several disturbances.
const THINK_TIME: Duration = Duration::from_millis(200);

/// What one caller was told about one key, in order.
struct Told {
    key: String,
    replies: Vec<Reply>,
}

impl Told {
    fn acknowledged(&self) -> Option<&Reply> {
        self.replies.iter().find(|it| it.status == 200)
    }

    /// Whether every reply says that the booking was not run.
    fn is_refused(&self) -> bool {
        self.replies.iter().all(|it| it.json["outcome"] == "not_run")
    }
}

/// Sends one booking, and again through any instance until its outcome is told.
fn book(deployment: &Deployment, random: &mut ChaCha8Rng, key: String) -> Told {
    let mut replies = Vec::new();
    for _ in 0..SENDS {
        let entry = ["entry-1", "entry-2"].choose(random).expect("an entry instance");
        let reply = deployment.book(entry, &key, "{\"parcel\":1}");
        let is_final = reply.status == 200 || reply.json["type"] == "outcome-unknown";
        replies.push(reply);
        if is_final {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    Told { key, replies }
}

fn run_caller(deployment: &Deployment, seed: u64) -> Vec<Told> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let keys = (0..BOOKINGS).map(|count| format!("parcel-{seed}-{count}"));
    let mut told = Vec::new();
    for key in keys {
        told.push(book(deployment, &mut random, key));
        thread::sleep(THINK_TIME);
    }
    told
}

/// Kills and restarts processes in turn, and loses answers, until every caller is done.
fn disturb(deployment: &Deployment, done: &AtomicUsize) {
    let victims = ["keeper-1", "entry-1", "keeper-2", "entry-2", "keeper-3"];
    for victim in victims.iter().cycle() {
        if done.load(Ordering::Relaxed) == CALLERS as usize {
            return;
        }
        deployment.inject_fault("desk", &json!({ "kind": "lose_answer", "count": 2 }));
        thread::sleep(Duration::from_millis(500));
        deployment.restart(victim);
    }
}

fn history(deployment: &Deployment) -> Vec<Told> {
    let done = &AtomicUsize::new(0);
    thread::scope(|scope| {
        scope.spawn(|| disturb(deployment, done));
        let caller = |seed| {
            let told = run_caller(deployment, seed);
            done.fetch_add(1, Ordering::Relaxed);
            told
        };
        let callers: Vec<_> = (0..CALLERS).map(|seed| scope.spawn(move || caller(seed))).collect();
        callers.into_iter().flat_map(|it| it.join().expect("a caller")).collect()
    })
}

fn check(deployment: &Deployment, told: &Told) {
    let runs = deployment.run_count(&told.key);
    let replies: Vec<&str> = told.replies.iter().map(|it| it.text.as_str()).collect();
    assert!(runs <= 1, "{} ran {runs} times: {replies:?}", told.key);
    if told.is_refused() {
        assert_eq!(runs, 0, "{} was refused as not run: {replies:?}", told.key);
    }
    if let Some(first) = told.acknowledged() {
        assert_eq!(runs, 1, "{} was acknowledged: {replies:?}", told.key);
        let again = deployment.book("entry-1", &told.key, "{\"parcel\":1}");
        assert_eq!(again.text, first.text, "{} is known by another answer", told.key);
    }
}

#[test]
fn bookings_stay_single_and_acknowledged_ones_known_while_processes_are_killed() {
    let deployment = two_regions()
        .service("desk", "riga-a", "jobdesk")
        .service("desk-2", "liepaja-a", "jobdesk")
        .start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 1);
    deployment.wait_upstreams("entry-2", 1);

    let told = history(&deployment);
    deployment.wait_recovered();

    told.iter().for_each(|it| check(&deployment, it));
    let acknowledged = told.iter().filter(|it| it.acknowledged().is_some()).count();
    assert!(acknowledged > 0, "no booking was acknowledged");
}

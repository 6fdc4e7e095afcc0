//! The history of concurrent bookings while processes are killed, checked afterwards.
//!
//! The timing of processes differs between runs, so the checks have to hold for every history.

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
const BOOKINGS_PER_CALLER: u64 = 20;
const MAX_SENDS_PER_BOOKING: u32 = 4;

/// Pause of a caller after each booking, so that the history spans several injected faults.
const THINK_TIME: Duration = Duration::from_millis(200);

/// All replies that one caller received for one key, in order.
struct BookingReplies {
    key: String,
    replies: Vec<Reply>,
}

impl BookingReplies {
    fn acknowledged(&self) -> Option<&Reply> {
        self.replies.iter().find(|it| it.status == 200)
    }

    /// Whether every reply says that the booking was not run.
    fn is_refused(&self) -> bool {
        self.replies.iter().all(|it| it.json["outcome"] == "not_run")
    }
}

/// Sends one booking through random instances until its outcome is final.
fn book(deployment: &Deployment, random: &mut ChaCha8Rng, key: String) -> BookingReplies {
    let mut replies = Vec::new();
    for _ in 0..MAX_SENDS_PER_BOOKING {
        let entry = ["entry-1", "entry-2"].choose(random).expect("an entry instance");
        let reply = deployment.book(entry, &key, "{\"parcel\":1}");
        let is_final = reply.status == 200 || reply.json["type"] == "outcome-unknown";
        replies.push(reply);
        if is_final {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    BookingReplies { key, replies }
}

fn run_caller(deployment: &Deployment, seed: u64) -> Vec<BookingReplies> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let keys = (0..BOOKINGS_PER_CALLER).map(|count| format!("parcel-{seed}-{count}"));
    let mut observed = Vec::new();
    for key in keys {
        observed.push(book(deployment, &mut random, key));
        thread::sleep(THINK_TIME);
    }
    observed
}

/// Kills and restarts processes in turn and makes the service lose answers, until every caller is done.
fn inject_faults(deployment: &Deployment, done: &AtomicUsize) {
    let processes = ["keeper-1", "entry-1", "keeper-2", "entry-2", "keeper-3"];
    for process in processes.iter().cycle() {
        if done.load(Ordering::Relaxed) == CALLERS as usize {
            return;
        }
        deployment.inject_fault("desk", &json!({ "kind": "lose_answer", "count": 2 }));
        thread::sleep(Duration::from_millis(500));
        deployment.restart(process);
    }
}

fn history(deployment: &Deployment) -> Vec<BookingReplies> {
    let done = &AtomicUsize::new(0);
    thread::scope(|scope| {
        scope.spawn(|| inject_faults(deployment, done));
        let caller = |seed| {
            let observed = run_caller(deployment, seed);
            done.fetch_add(1, Ordering::Relaxed);
            observed
        };
        let callers: Vec<_> = (0..CALLERS).map(|seed| scope.spawn(move || caller(seed))).collect();
        callers.into_iter().flat_map(|it| it.join().expect("a caller")).collect()
    })
}

fn check(deployment: &Deployment, observed: &BookingReplies) {
    let runs = deployment.run_count(&observed.key);
    let replies: Vec<&str> = observed.replies.iter().map(|it| it.text.as_str()).collect();
    assert!(runs <= 1, "{} ran {runs} times: {replies:?}", observed.key);
    if observed.is_refused() {
        assert_eq!(runs, 0, "{} was refused as not run: {replies:?}", observed.key);
    }
    if let Some(first) = observed.acknowledged() {
        assert_eq!(runs, 1, "{} was acknowledged: {replies:?}", observed.key);
        let again = deployment.book("entry-1", &observed.key, "{\"parcel\":1}");
        assert_eq!(again.text, first.text, "{} got another answer later", observed.key);
    }
}

#[test]
fn bookings_run_at_most_once_and_acknowledged_ones_stay_known_while_processes_are_killed() {
    let deployment = two_regions()
        .service("desk", "riga-a", "jobdesk")
        .service("desk-2", "liepaja-a", "jobdesk")
        .start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 1);
    deployment.wait_upstreams("entry-2", 1);

    let observed = history(&deployment);
    deployment.wait_recovered();

    observed.iter().for_each(|it| check(&deployment, it));
    let acknowledged = observed.iter().filter(|it| it.acknowledged().is_some()).count();
    assert!(acknowledged > 0, "no booking was acknowledged");
}

//! Upstreams that never stop sending, beside the smallest memory of an entry instance.

use std::{sync::atomic::Ordering, thread};

use medlarlug_core::release::item::Residency;
use test_support::{
    crowd::{MEMORY_MB, Meter, run_alone},
    deployment::{Deployment, Reply, wait_for},
    endless::{EndlessAnswer, EndlessUpstream},
};

use crate::processes::fixture::{add_engines, items, two_regions};

/// Calls at a time; together their answers exceed the memory several times.
const CALLS: usize = 40;
/// What an upstream sends at once: less than the longest answers that are accepted.
const BURST_BYTES: usize = 15 << 20;
/// As [`BURST_BYTES`], for the answers of services.
const SERVICE_BURST_BYTES: usize = 3 << 20;
const MAX_FDS: u64 = 2_870;

/// Sends calls to an upstream whose answers have no end. Asserts that the entry instance lives on within
/// the memory of its settings, and that it answers one ordinary request.
fn assert_endless_answers_do_no_harm(
    upstream: &str,
    answer: EndlessAnswer,
    send: impl Fn(&Deployment, usize) -> Reply + Sync,
) {
    let _alone = run_alone();
    let endless = EndlessUpstream::start(move |_| answer);
    let mut deployment =
        add_engines(two_regions(), 1, 500).service("jobdesk-1", "riga-a", "jobdesk");
    deployment.resources =
        format!("resources: {{ memory_mb: {MEMORY_MB}, descriptors: {MAX_FDS} }}\n");
    for it in &mut deployment.upstreams {
        it.slots = CALLS as u32;
        if it.id == upstream {
            it.extra.push(format!("announced: {}", endless.address));
        }
    }
    let deployment = deployment.start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 2);
    let meter = Meter::start(deployment.pid("entry-1"), &[deployment.get("entry-1").callers]);

    let replies: Vec<Reply> = thread::scope(|scope| {
        let (deployment, send) = (&deployment, &send);
        let calls: Vec<_> =
            (0..CALLS).map(|it| scope.spawn(move || send(deployment, it))).collect();
        calls.into_iter().map(|it| it.join().expect("no panic")).collect()
    });
    wait_for("an answer to an ordinary request", || match upstream {
        "engine-1" => deployment.book("entry-1", "ordinary", "{}").status == 200,
        _ => deployment.complete("entry-1", "medlar", "shift").status == 200,
    });
    let peak = meter.stop();

    let begun = endless.begun.load(Ordering::SeqCst);
    println!("{begun} endless answers, {peak:?}");
    assert!(begun >= CALLS / 2, "{begun} of {CALLS}: {:?}", replies[0]);
    assert!(replies.iter().all(|it| it.status != 200), "{replies:?}");
    assert!(peak.memory_kb <= MEMORY_MB * 1024, "{peak:?} over {MEMORY_MB} MB");
}

fn complete(deployment: &Deployment, number: usize) -> Reply {
    deployment.complete("entry-1", "medlar", &format!("shift {number}"))
}

fn book(deployment: &Deployment, number: usize) -> Reply {
    deployment.book("entry-1", &format!("booking-{number}"), "{}")
}

const BODY: EndlessAnswer = EndlessAnswer {
    first: "HTTP/1.1 200 OK\r\n{}\r\n",
    repeated: "0123456789abcdef",
    burst: Some(BURST_BYTES),
};

#[test]
fn bodies_without_end_of_an_engine_do_not_exhaust_an_entry_instance() {
    assert_endless_answers_do_no_harm("engine-1", BODY, complete);
}

#[test]
fn bodies_without_end_of_a_service_do_not_exhaust_an_entry_instance() {
    let answer = EndlessAnswer { burst: Some(SERVICE_BURST_BYTES), ..BODY };
    assert_endless_answers_do_no_harm("jobdesk-1", answer, book);
}

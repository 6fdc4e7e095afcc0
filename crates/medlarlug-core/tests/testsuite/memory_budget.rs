//! The memory budget: who gets room, who is ended, and that everything is released.

use medlarlug_core::{
    memory_budget::{
        BudgetLimits, Class, Decision, HolderId, MAX_WAIT, MemoryBudget, ORDINARY_ANSWER_BYTES,
        SMALL_BODY_BYTES, STALL_TIME,
    },
    time::Time,
    units::ByteSize,
};

const MIB: u64 = 1 << 20;

/// A budget with room for two shared bodies of 4 MiB and one in the floor.
fn budget() -> MemoryBudget {
    MemoryBudget::new(BudgetLimits {
        small: ByteSize(MIB),
        shared: ByteSize(8 * MIB),
        largest: ByteSize(4 * MIB),
        answers: ByteSize(MIB),
    })
}

fn body(budget: &mut MemoryBudget, bytes: u64) -> (HolderId, Decision) {
    let id = budget.open(Time::ZERO, Class::Body);
    let decision = budget.reserve(Time::ZERO, id, bytes);
    (id, decision)
}

/// Bodies at the limit fill the shared pool and the floor, and all bodies stay under the sum.
#[test]
fn bodies_stay_within_their_pools() {
    let mut budget = budget();

    let granted = (0..20).filter(|_| body(&mut budget, 4 * MIB).1 == Decision::Granted).count();

    assert_eq!(granted, 3);
    assert_eq!(budget.bytes(Class::Body), 12 * MIB);
}

/// Large bodies that stall must not delay ordinary requests.
#[test]
fn small_bodies_have_room_while_large_ones_wait() {
    let mut budget = budget();
    for _ in 0..5 {
        body(&mut budget, 4 * MIB);
    }

    assert_eq!(body(&mut budget, SMALL_BODY_BYTES).1, Decision::Granted);
}

/// Bodies that all wait halfway must not block each other for ever.
#[test]
fn oldest_waiting_body_can_complete() {
    let mut budget = budget();
    let bodies: Vec<HolderId> = (0..8).map(|_| body(&mut budget, MIB).0).collect();

    let decisions: Vec<Decision> =
        bodies.iter().map(|id| budget.reserve(Time::ZERO, *id, 3 * MIB)).collect();

    assert_eq!(decisions[0], Decision::Granted);
    assert!(decisions[2..].iter().all(|it| *it == Decision::Wait), "{decisions:?}");
}

/// A body that arrives slowly but steadily is not ended, however long it takes.
#[test]
fn only_stalled_bodies_are_evicted_the_one_with_most_bytes_first() {
    let mut budget = budget();
    let (slow, _) = body(&mut budget, 4 * MIB);
    let (stalled, _) = body(&mut budget, 2 * MIB);
    let (most, _) = body(&mut budget, 4 * MIB);
    let now = Time::ZERO + STALL_TIME;
    budget.record_progress(now, slow, 2_048);
    let waiting = budget.open(now, Class::Body);

    let first = budget.reserve(now, waiting, 4 * MIB);
    let second = budget.reserve(now, waiting, 4 * MIB);
    budget.close(most);
    let third = budget.reserve(now, waiting, 4 * MIB);

    assert_eq!(first, Decision::Evict(most));
    // The bytes of the first one are not released yet.
    assert_eq!(second, Decision::Wait);
    assert_eq!(third, Decision::Granted);
    assert!(budget.is_evicted(most) && !budget.is_evicted(stalled) && !budget.is_evicted(slow));
}

/// Single bytes do not keep a body alive.
#[test]
fn trickling_body_counts_as_stalled() {
    let mut budget = budget();
    let bodies: Vec<HolderId> = (0..3).map(|_| body(&mut budget, 4 * MIB).0).collect();
    let now = Time::ZERO + STALL_TIME;
    bodies.iter().for_each(|id| budget.record_progress(now, *id, 1));
    let waiting = budget.open(now, Class::Body);

    assert!(matches!(budget.reserve(now, waiting, MIB), Decision::Evict(_)));
}

/// Complete bodies belong to calls that may be running, which must not be ended.
#[test]
fn complete_bodies_are_kept_and_waiting_ones_refused_in_time() {
    let mut budget = budget();
    let bodies: Vec<HolderId> = (0..3).map(|_| body(&mut budget, 4 * MIB).0).collect();
    bodies.iter().for_each(|id| budget.complete(*id));
    let (waiting, first) = body(&mut budget, MIB);

    let last = budget.reserve(Time::ZERO + MAX_WAIT, waiting, MIB);

    assert_eq!((first, last), (Decision::Wait, Decision::Refused));
}

/// A single answer may exceed the pool; of several, the one that is read least is ended.
#[test]
fn slowest_answer_is_evicted() {
    let mut budget = budget();
    let long = budget.open(Time::ZERO, Class::Answer);
    assert_eq!(budget.reserve(Time::ZERO, long, 8 * MIB), Decision::Granted);
    let next = budget.open(Time::ZERO, Class::Answer);

    let bytes = ORDINARY_ANSWER_BYTES + 1;
    assert_eq!(budget.reserve(Time::ZERO, next, bytes), Decision::Wait);
    let now = Time::ZERO + STALL_TIME;
    assert_eq!(budget.reserve(now, next, bytes), Decision::Evict(long));
    budget.close(long);
    assert_eq!(budget.reserve(now, next, bytes), Decision::Granted);
    assert_eq!(budget.reserve(now, long, 1), Decision::Evicted);
    budget.close(next);
    assert_eq!(budget.bytes(Class::Answer), 0);
}

/// Answers that never end fill the pool; another one that is short must not wait for them.
#[test]
fn ordinary_answer_does_not_wait_for_answers_that_fill_the_pool() {
    let mut budget = budget();
    let endless = budget.open(Time::ZERO, Class::Answer);
    budget.reserve(Time::ZERO, endless, 8 * MIB);
    budget.complete(endless);
    let ordinary = budget.open(Time::ZERO, Class::Answer);

    assert_eq!(budget.reserve(Time::ZERO, ordinary, ORDINARY_ANSWER_BYTES), Decision::Granted);
    assert_eq!(budget.reserve(Time::ZERO, ordinary, 1), Decision::Wait);
}

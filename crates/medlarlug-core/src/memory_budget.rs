//! A budget for the memory that an instance holds for its clients: bodies that arrive or wait, and
//! answers that are not read yet.
//!
//! Every body and every answer is a *holder*. It reserves bytes before they are read. Room is divided so
//! that no class of clients can take all of it:
//!
//! | pool | holders |
//! | --- | --- |
//! | small | bodies of at most [`SMALL_BODY_BYTES`] |
//! | shared | larger bodies |
//! | floor | one larger body at a time, so that a body at the limit can always be read |
//! | answers | answers; a single one may exceed the pool, and each may have [`ORDINARY_ANSWER_BYTES`] |
//!
//! Without room a holder waits, which stops reading from its client. Older holders are granted room
//! first, so that some complete instead of all stopping halfway. While others wait, holders whose client
//! has made no progress for [`STALL_TIME`] are ended, the one with the most bytes for the least progress
//! first. A holder that waits for [`MAX_WAIT`] is refused.

use std::time::Duration;

use crate::{time::Time, units::ByteSize};

/// Bodies up to this size have a pool of their own, so that many large bodies do not delay ordinary
/// requests.
pub const SMALL_BODY_BYTES: u64 = 64 * 1024;
/// Bytes that an answer may always have, so that answers that never end do not delay ordinary ones. All
/// together are bounded by the number of connections.
pub const ORDINARY_ANSWER_BYTES: u64 = 16 * 1024;
/// Time without progress after which a holder may be ended in favor of others. It covers several
/// retransmissions on a slow link.
pub const STALL_TIME: Duration = Duration::from_secs(2);
/// Longest time for which a body waits for room.
pub const MAX_WAIT: Duration = Duration::from_secs(3);
/// Bytes that count as progress. A client that sends single bytes makes none.
const MIN_PROGRESS_BYTES: u64 = 1_024;

/// Sizes of the pools.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Bytes of small bodies.
    pub small: ByteSize,
    /// Bytes of larger bodies.
    pub shared: ByteSize,
    /// Longest body that is accepted.
    pub largest: ByteSize,
    /// Bytes of answers.
    pub answers: ByteSize,
}

impl BudgetLimits {
    /// Divides the memory of a process. Half of it is left to the process itself, to the buffers of its
    /// connections and to the allocator.
    ///
    /// ```
    /// use medlarlug_core::{memory_budget::BudgetLimits, units::ByteSize};
    ///
    /// let limits = BudgetLimits::new(ByteSize(160 << 20), ByteSize(4 << 20));
    /// assert_eq!(limits.small, ByteSize(10 << 20));
    /// assert_eq!(limits.shared, ByteSize(26 << 20));
    /// assert_eq!(limits.answers, ByteSize(20 << 20));
    /// ```
    pub fn new(memory: ByteSize, largest: ByteSize) -> BudgetLimits {
        let (bodies, small) = (memory.0 / 4, memory.0 / 16);
        let shared = bodies.saturating_sub(small + largest.0).max(bodies / 4);
        let answers = ByteSize(memory.0 / 8);
        BudgetLimits { small: ByteSize(small), shared: ByteSize(shared), largest, answers }
    }
}

/// What a holder holds bytes for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// The body of a request.
    Body,
    /// An answer that its caller has not read yet.
    Answer,
}

/// A holder of bytes; ids are not reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderId(u64);

/// Whether bytes may be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The bytes are reserved.
    Granted,
    /// There is no room; the holder asks again later.
    Wait,
    /// There is no room; this other holder is ended for it, and the holder asks again later.
    Evict(HolderId),
    /// The holder has waited for too long.
    Refused,
    /// The holder was ended in favor of others.
    Evicted,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pool {
    Small,
    Shared,
    Floor,
    Answers,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Its client is sending or reading.
    Active,
    /// It waits for room since then.
    Waiting(Time),
    /// The body is complete.
    Complete,
    Evicted,
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    id: HolderId,
    pool: Pool,
    bytes: u64,
    stage: Stage,
    /// Time of the last progress of its client.
    progress: Time,
    /// Bytes since then.
    moved: u64,
}

/// Counts the bytes of all holders against the limits.
#[derive(Debug)]
pub struct MemoryBudget {
    limits: BudgetLimits,
    /// Sorted by id, so the oldest is first.
    holders: Vec<Holder>,
    next: u64,
    /// Bytes by pool, indexed by [`Pool`].
    used: [u64; 4],
}

impl MemoryBudget {
    /// Creates a budget without holders.
    pub fn new(limits: BudgetLimits) -> MemoryBudget {
        MemoryBudget { limits, holders: Vec::new(), next: 0, used: [0; 4] }
    }

    /// Adds a holder without bytes.
    ///
    /// ```
    /// use medlarlug_core::{
    ///     memory_budget::{BudgetLimits, Class, Decision, MemoryBudget},
    ///     time::Time,
    ///     units::ByteSize,
    /// };
    ///
    /// let limits = BudgetLimits::new(ByteSize(160 << 20), ByteSize(4 << 20));
    /// let mut budget = MemoryBudget::new(limits);
    /// let body = budget.open(Time::ZERO, Class::Body);
    /// assert_eq!(budget.reserve(Time::ZERO, body, 4 << 20), Decision::Granted);
    /// budget.close(body);
    /// assert_eq!(budget.bytes(Class::Body), 0);
    /// ```
    pub fn open(&mut self, now: Time, class: Class) -> HolderId {
        let id = HolderId(self.next);
        self.next += 1;
        let pool = match class {
            Class::Body => Pool::Small,
            Class::Answer => Pool::Answers,
        };
        let stage = Stage::Active;
        self.holders.push(Holder { id, pool, bytes: 0, stage, progress: now, moved: 0 });
        id
    }

    /// Reserves bytes for a holder before they are read.
    pub fn reserve(&mut self, now: Time, id: HolderId, bytes: u64) -> Decision {
        let Some(at) = self.find(id) else { return Decision::Evicted };
        let holder = self.holders[at];
        if holder.stage == Stage::Evicted {
            return Decision::Evicted;
        }
        if let Some(pool) = self.pool_for(at, bytes) {
            self.used[holder.pool as usize] -= holder.bytes;
            self.used[pool as usize] += holder.bytes + bytes;
            let holder = &mut self.holders[at];
            if holder.stage != Stage::Complete {
                if let Stage::Waiting(_) = holder.stage {
                    // Its client could not make progress while it waited.
                    holder.progress = now;
                }
                holder.stage = Stage::Active;
            }
            holder.pool = pool;
            holder.bytes += bytes;
            return Decision::Granted;
        }
        let since = match holder.stage {
            Stage::Waiting(since) => since,
            _ => now,
        };
        if holder.stage != Stage::Complete {
            self.holders[at].stage = Stage::Waiting(since);
        }
        if let Some(victim) = self.evict_stalled(now, holder.pool == Pool::Answers) {
            return Decision::Evict(victim);
        }
        match now - since >= MAX_WAIT {
            true => Decision::Refused,
            false => Decision::Wait,
        }
    }

    /// Reserves bytes that are already in memory, whether there is room or not.
    pub fn charge(&mut self, id: HolderId, bytes: u64) {
        let Some(at) = self.find(id) else { return };
        let holder = &mut self.holders[at];
        holder.bytes += bytes;
        self.used[holder.pool as usize] += bytes;
    }

    /// Ends the answer that is read least, if the answers take more than their pool.
    pub fn relieve_answers(&mut self, now: Time) -> Option<HolderId> {
        let is_over = self.used[Pool::Answers as usize] > self.limits.answers.0;
        if is_over { self.evict_stalled(now, true) } else { None }
    }

    /// Releases a part of the bytes of a holder.
    pub fn release(&mut self, id: HolderId, bytes: u64) {
        let Some(at) = self.find(id) else { return };
        let holder = &mut self.holders[at];
        let bytes = bytes.min(holder.bytes);
        holder.bytes -= bytes;
        self.used[holder.pool as usize] -= bytes;
        self.move_off_floor();
    }

    /// Records that the client of a holder has sent or read bytes.
    pub fn record_progress(&mut self, now: Time, id: HolderId, bytes: u64) {
        let Some(at) = self.find(id) else { return };
        let holder = &mut self.holders[at];
        holder.moved += bytes;
        if holder.moved >= MIN_PROGRESS_BYTES {
            (holder.moved, holder.progress) = (0, now);
        }
    }

    /// Records that a body is complete, or that an answer does not depend on a caller yet; the holder is
    /// not evicted any more.
    pub fn complete(&mut self, id: HolderId) {
        let Some(at) = self.find(id) else { return };
        if self.holders[at].stage != Stage::Evicted {
            self.holders[at].stage = Stage::Complete;
        }
    }

    /// Removes a holder and releases its bytes.
    pub fn close(&mut self, id: HolderId) {
        let Some(at) = self.find(id) else { return };
        let holder = self.holders.remove(at);
        self.used[holder.pool as usize] -= holder.bytes;
        self.move_off_floor();
    }

    /// Bytes of all holders of a class.
    pub fn bytes(&self, class: Class) -> u64 {
        match class {
            Class::Body => self.used[..3].iter().sum(),
            Class::Answer => self.used[Pool::Answers as usize],
        }
    }

    /// Returns the holders that wait for room, the oldest first.
    pub fn waiting(&self) -> impl Iterator<Item = HolderId> {
        let waits = |it: &&Holder| matches!(it.stage, Stage::Waiting(_));
        self.holders.iter().filter(waits).map(|it| it.id)
    }

    /// Whether a holder was ended in favor of others.
    pub fn is_evicted(&self, id: HolderId) -> bool {
        self.find(id).is_none_or(|at| self.holders[at].stage == Stage::Evicted)
    }

    fn find(&self, id: HolderId) -> Option<usize> {
        self.holders.binary_search_by(|it| it.id.cmp(&id)).ok()
    }

    /// The pool in which a holder may have `bytes` more; `None` if there is no room.
    fn pool_for(&self, at: usize, bytes: u64) -> Option<Pool> {
        let holder = self.holders[at];
        let total = holder.bytes + bytes;
        let room = |pool: Pool, limit: ByteSize| {
            let own = if holder.pool == pool { holder.bytes } else { 0 };
            self.used[pool as usize] - own + total <= limit.0
        };
        if holder.pool == Pool::Answers {
            let is_alone = self.used[Pool::Answers as usize] == holder.bytes;
            let may_exceed = is_alone || total <= ORDINARY_ANSWER_BYTES;
            let has_room = may_exceed || room(Pool::Answers, self.limits.answers);
            return has_room.then_some(Pool::Answers);
        }
        if holder.pool == Pool::Floor {
            return (total <= self.limits.largest.0).then_some(Pool::Floor);
        }
        if total <= SMALL_BODY_BYTES
            && holder.pool == Pool::Small
            && room(Pool::Small, self.limits.small)
        {
            return Some(Pool::Small);
        }
        let is_first = !self.holders[..at].iter().any(|it| {
            it.pool != Pool::Answers
                && it.bytes >= SMALL_BODY_BYTES
                && matches!(it.stage, Stage::Waiting(_))
        });
        if is_first && room(Pool::Shared, self.limits.shared) {
            return Some(Pool::Shared);
        }
        let is_floor_free = !self.holders.iter().any(|it| it.pool == Pool::Floor);
        (is_first && is_floor_free && total <= self.limits.largest.0).then_some(Pool::Floor)
    }

    /// Ends the holder whose client has made the least progress for its bytes, if one has stalled.
    /// Nothing is ended while the bytes of an earlier one are not released yet.
    fn evict_stalled(&mut self, now: Time, among_answers: bool) -> Option<HolderId> {
        let is_of_class = |it: &&mut Holder| (it.pool == Pool::Answers) == among_answers;
        let mut found: Option<(u128, &mut Holder)> = None;
        for holder in self.holders.iter_mut().filter(is_of_class) {
            let idle = now - holder.progress;
            match holder.stage {
                Stage::Evicted if holder.bytes > 0 => return None,
                Stage::Active if holder.bytes > 0 && idle >= STALL_TIME => {
                    let cost = u128::from(holder.bytes) * idle.as_micros();
                    if found.as_ref().is_none_or(|it| it.0 < cost) {
                        found = Some((cost, holder));
                    }
                }
                _ => {}
            }
        }
        let (_, holder) = found?;
        holder.stage = Stage::Evicted;
        Some(holder.id)
    }

    /// Moves a body from the floor to the shared pool once there is room, so that the floor is free for
    /// the next one.
    fn move_off_floor(&mut self) {
        let Some(holder) = self.holders.iter_mut().find(|it| it.pool == Pool::Floor) else {
            return;
        };
        if self.used[Pool::Shared as usize] + holder.bytes <= self.limits.shared.0 {
            self.used[Pool::Floor as usize] -= holder.bytes;
            self.used[Pool::Shared as usize] += holder.bytes;
            holder.pool = Pool::Shared;
        }
    }
}

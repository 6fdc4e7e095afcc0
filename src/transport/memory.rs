//! What the servers of a process hold for their clients, within one [`MemoryBudget`].
//!
//! A server adds a [`ClientMemory`] to the extensions of each request. It reads the body of the request
//! into one buffer, so that the cost depends on the bytes and not on their division into frames, and
//! counts the bytes of the answer until they are written. Without limits only the copying remains.

use std::{
    fmt,
    future::pending,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use medlarlug_core::{
    memory_budget::{BudgetLimits, Class, Decision, HolderId, MemoryBudget},
    time::Time,
    units::ByteSize,
};
use metrics::{Unit, describe_counter, describe_gauge};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{coordination::clock::Clock, transport::body::BodyError};

/// Counter: bodies and answers that were ended or refused for lack of memory. Label: `reason`.
pub const ENDED: &str = "medlarlug_memory_ended_total";
/// Gauge in bytes: memory held for clients. Label: `class`.
pub const HELD_BYTES: &str = "medlarlug_memory_held_bytes";

/// Describes the metrics of this module.
pub fn describe() {
    describe_counter!(ENDED, "Bodies and answers ended or refused for lack of memory, by reason");
    describe_gauge!(HELD_BYTES, Unit::Bytes, "Memory held for clients, by class");
}

/// Capacity of the buffer of a body at first.
const MIN_CAPACITY: usize = 8 * 1024;
/// Free capacity that is reserved before the next bytes are read.
const READ_BYTES: usize = 4 * 1024;
/// Interval in which waiting holders ask for room. They are also woken when room is released.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time without progress of a body; only with limits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Least time without activity after which a connection may be closed in favor of a new one.
const MIN_IDLE: Duration = Duration::from_secs(1);
/// Buffer of a socket in each direction. It carries 7 Mbit/s over a round trip of 75 ms; with 16 KiB,
/// bodies of 4 MB took longer than 15 s on loopback.
const SOCKET_BUFFER_BYTES: usize = 64 * 1024;
/// Memory for a connection. Few connections fill the buffer in both directions at the same time.
const CONNECTION_BYTES: u64 = 32 * 1024;
/// Time in which the rest of a body is read and dropped after there was no room for it. A client that is
/// still sending would not read the refusal.
const DISCARD_TIME: Duration = Duration::from_secs(2);
/// Descriptors that are left to files, listeners and links.
const OWN_DESCRIPTORS: u32 = 64;

/// Memory and descriptors of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Memory above which the process is killed.
    pub memory: ByteSize,
    /// Open descriptors; `None` if unknown.
    pub descriptors: Option<u32>,
    /// Longest body that is accepted.
    pub largest_body: ByteSize,
}

/// The memory that all servers of a process share; clones share it as well.
#[derive(Clone, Default)]
pub struct Memory(Option<Arc<Shared>>);

struct Shared {
    clock: Clock,
    limits: MemoryLimits,
    // The owner of a body may be dropped on another thread, so this is no `RefCell`.
    state: Mutex<State>,
}

struct State {
    budget: MemoryBudget,
    /// How to reach the owners of holders, sorted by holder.
    owners: Vec<Owner>,
}

/// How to reach the owner of a holder.
struct Owner {
    holder: HolderId,
    /// Wakes the task that reads the body or waits for room.
    wake: Arc<Notify>,
    /// Connection of the caller of an answer. Its caller blocks it, so nothing but closing it ends the
    /// answer.
    connection: Option<Arc<ClientConnection>>,
}

impl fmt::Debug for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let limits = self.0.as_ref().map(|it| it.limits);
        f.debug_struct("Memory").field("limits", &limits).finish()
    }
}

impl Memory {
    /// Memory without limits; bodies are read all the same.
    pub fn unlimited() -> Memory {
        Memory::default()
    }

    /// Memory within limits.
    pub fn new(limits: MemoryLimits) -> Memory {
        let budget = MemoryBudget::new(BudgetLimits::new(limits.memory, limits.largest_body));
        let state = Mutex::new(State { budget, owners: Vec::new() });
        Memory(Some(Arc::new(Shared { clock: Clock::start(), limits, state })))
    }

    /// Whether there are limits.
    pub fn is_limited(&self) -> bool {
        self.0.is_some()
    }

    /// The connections of a server that may have `most` of them: not more than `fraction` of the
    /// descriptors, and not more than twice the fraction of those that fit into a quarter of the memory.
    pub fn connections(&self, most: usize, fraction: f64) -> usize {
        let Some(shared) = &self.0 else { return most };
        let limits = shared.limits;
        let by_memory = limits.memory.0 / 4 / CONNECTION_BYTES;
        let by_memory = (by_memory as f64 * 2.0 * fraction) as usize;
        let descriptors = limits.descriptors.map(|it| it.saturating_sub(OWN_DESCRIPTORS));
        let by_descriptors = descriptors.map_or(most, |it| (f64::from(it) * fraction) as usize);
        most.min(by_memory).min(by_descriptors).max(1)
    }

    /// Size of the buffers of a socket in each direction; `None` to leave it to the system.
    pub fn socket_buffer(&self) -> Option<usize> {
        self.is_limited().then_some(SOCKET_BUFFER_BYTES)
    }

    /// Counts bytes that are already in memory until they are dropped.
    pub fn charge(&self, bytes: Bytes) -> Bytes {
        let Some(holder) = self.open(Class::Body, None) else { return bytes };
        holder.with_state(|state, _| {
            state.budget.charge(holder.id, bytes.len() as u64);
            state.budget.complete(holder.id);
        });
        Bytes::from_owner(Held { bytes, _holder: holder })
    }

    /// Counts the parts of an answer whose caller is not known yet; see [`AnswerMemory::attach`].
    pub fn answer(&self) -> AnswerMemory {
        AnswerMemory(self.open(Class::Answer, None).map(Arc::new))
    }

    /// Counts the bytes of an answer that is read from an upstream. It is not ended in favor of others.
    pub fn incoming_answer(&self) -> AnswerMemory {
        let memory = self.answer();
        if let Some(holder) = &memory.0 {
            holder.with_state(|state, _| state.budget.complete(holder.id));
        }
        memory
    }

    fn open(&self, class: Class, connection: Option<Arc<ClientConnection>>) -> Option<Holder> {
        let shared = self.0.clone()?;
        let wake = Arc::<Notify>::default();
        let id = {
            let mut state = shared.state();
            let id = state.budget.open(shared.clock.now(), class);
            state.owners.push(Owner { holder: id, wake: wake.clone(), connection });
            id
        };
        Some(Holder { shared, id, class, wake })
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_bytes(&self, state: &State, class: Class) {
        let label = match class {
            Class::Body => "bodies",
            Class::Answer => "answers",
        };
        metrics::gauge!(HELD_BYTES, "class" => label).set(state.budget.bytes(class) as f64);
    }
}

impl State {
    fn wake(&self, id: HolderId) {
        if let Ok(at) = self.owners.binary_search_by(|it| it.holder.cmp(&id)) {
            self.owners[at].wake.notify_one();
        }
    }

    /// Tells the owner of a holder that it was ended in favor of others.
    fn end(&self, id: HolderId) {
        self.wake(id);
        let found = self.owners.binary_search_by(|it| it.holder.cmp(&id));
        if let Some(connection) = found.ok().and_then(|at| self.owners[at].connection.as_ref()) {
            metrics::counter!(ENDED, "reason" => "unread").increment(1);
            tracing::info!("closing a connection whose answer is not read");
            connection.close();
        }
    }

    /// Wakes the holders that have waited longest; each of them asks again.
    fn wake_waiting(&self) {
        const WOKEN: usize = 4;
        self.budget.waiting().take(WOKEN).for_each(|id| self.wake(id));
    }
}

/// A holder of the budget; dropping it releases its bytes.
struct Holder {
    shared: Arc<Shared>,
    id: HolderId,
    class: Class,
    wake: Arc<Notify>,
}

impl Holder {
    fn with_state<T>(&self, act: impl FnOnce(&mut State, Time) -> T) -> T {
        let mut state = self.shared.state();
        let result = act(&mut state, self.shared.clock.now());
        self.shared.record_bytes(&state, self.class);
        result
    }

    /// Waits for room.
    async fn reserve(&self, bytes: usize) -> Result<(), Ended> {
        loop {
            let decision = self.with_state(|state, now| {
                let decision = state.budget.reserve(now, self.id, bytes as u64);
                if let Decision::Evict(victim) = decision {
                    state.end(victim);
                }
                decision
            });
            match decision {
                Decision::Granted => return Ok(()),
                Decision::Evicted => return Err(Ended::Evicted),
                Decision::Refused if self.class == Class::Body => return Err(Ended::NoRoom),
                Decision::Wait | Decision::Evict(_) | Decision::Refused => {
                    let _ = timeout(POLL_INTERVAL, self.wake.notified()).await;
                }
            }
        }
    }

    fn record_progress(&self, bytes: usize) {
        self.with_state(|state, now| state.budget.record_progress(now, self.id, bytes as u64));
    }

    /// Completes once the holder has been ended in favor of others.
    async fn evicted(&self) {
        while !self.with_state(|state, _| state.budget.is_evicted(self.id)) {
            self.wake.notified().await;
        }
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.budget.close(self.id);
        if let Ok(at) = state.owners.binary_search_by(|it| it.holder.cmp(&self.id)) {
            state.owners.remove(at);
        }
        state.wake_waiting();
        self.shared.record_bytes(&state, self.class);
    }
}

/// Why a holder has to give up its bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    NoRoom,
    Evicted,
}

/// Bytes of a body that are counted until the last reference to them is dropped.
struct Held<T> {
    bytes: T,
    _holder: Holder,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// A part of an answer, counted until it is written to the caller's connection.
struct HeldPart {
    bytes: Bytes,
    holder: Arc<Holder>,
}

impl AsRef<[u8]> for HeldPart {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldPart {
    fn drop(&mut self) {
        self.holder.with_state(|state, now| {
            state.budget.release(self.holder.id, self.bytes.len() as u64);
            state.budget.record_progress(now, self.holder.id, self.bytes.len().max(1_024) as u64);
            state.wake_waiting();
        });
    }
}

/// State of an accepted connection, from which the server chooses the one to close when there are too
/// many.
#[derive(Debug, Default)]
pub struct ClientConnection {
    /// Reading of the server's clock in microseconds when bytes were last read or written.
    active_at: AtomicU64,
    /// Requests whose answers are not complete.
    requests: AtomicU32,
    /// Whether the body of the current request is arriving.
    is_receiving: AtomicBool,
    /// Whether the caller does not read its answer.
    is_write_blocked: AtomicBool,
    close: Notify,
}

impl ClientConnection {
    /// Records that bytes were read or written.
    pub(super) fn record_activity(&self, now: Time) {
        self.active_at.store(now.as_micros(), Ordering::Relaxed);
    }

    pub(super) fn set_write_blocked(&self, is_blocked: bool) {
        self.is_write_blocked.store(is_blocked, Ordering::Relaxed);
    }

    pub(super) fn begin_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn end_request(&self) {
        self.requests.fetch_sub(1, Ordering::Relaxed);
    }

    /// Time for which the server has been waiting for the client, if that is long enough to close the
    /// connection in favor of another one.
    pub(super) fn idle(&self, now: Time) -> Option<Duration> {
        let waits_for_client = self.requests.load(Ordering::Relaxed) == 0
            || self.is_receiving.load(Ordering::Relaxed)
            || self.is_write_blocked.load(Ordering::Relaxed);
        let idle = now - Time::from_micros(self.active_at.load(Ordering::Relaxed));
        (waits_for_client && idle >= MIN_IDLE).then_some(idle)
    }

    /// Closes the connection at once.
    pub(super) fn close(&self) {
        self.close.notify_one();
    }

    pub(super) async fn closed(&self) {
        self.close.notified().await;
    }
}

/// The memory for one request and its answer.
#[derive(Debug, Clone, Default)]
pub struct ClientMemory {
    memory: Memory,
    connection: Option<Arc<ClientConnection>>,
}

impl ClientMemory {
    pub(super) fn new(memory: Memory, connection: Arc<ClientConnection>) -> ClientMemory {
        ClientMemory { memory, connection: Some(connection) }
    }

    /// The memory that the server has added to a request; without limits if it has added none.
    pub fn of<B>(request: &Request<B>) -> ClientMemory {
        request.extensions().get().cloned().unwrap_or_default()
    }

    /// The memory that all servers of the process share.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Reads a complete body of at most `limit` bytes into one buffer. The bytes are counted until the
    /// last reference to them is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the body is longer than `limit`, announced or not, when it is truncated, and when
    /// there is no memory for it or it makes no progress. In the last two cases the connection has to be
    /// closed, because the rest of the body is not read.
    pub async fn read_body<B>(&self, mut body: B, limit: usize) -> Result<Bytes, BodyError>
    where
        B: hyper::body::Body<Data = Bytes> + Unpin,
    {
        if let Some(connection) = &self.connection {
            connection.is_receiving.store(true, Ordering::Relaxed);
        }
        let result = self.read(&mut body, limit).await;
        if matches!(result, Err(BodyError::NoRoom)) {
            let discarding = async { while let Some(Ok(_)) = body.frame().await {} };
            let _ = timeout(DISCARD_TIME, discarding).await;
        }
        if let Some(connection) = &self.connection {
            connection.is_receiving.store(false, Ordering::Relaxed);
        }
        let reason = match &result {
            Err(BodyError::NoRoom) => "no_room",
            Err(BodyError::Stalled) => "stalled",
            _ => return result,
        };
        metrics::counter!(ENDED, "reason" => reason).increment(1);
        tracing::info!(reason, "ending a body for lack of memory or progress");
        result
    }

    async fn read<B>(&self, body: &mut B, limit: usize) -> Result<Bytes, BodyError>
    where
        B: hyper::body::Body<Data = Bytes> + Unpin,
    {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let too_long = BodyError::TooLong { limit };
        let size = body.size_hint();
        if size.lower() > limit as u64 {
            return Err(too_long);
        }
        let longest = size.exact().map_or(limit, |exact| exact as usize);
        let holder = self.memory.open(Class::Body, None);
        let mut buffer = Vec::new();
        loop {
            let ahead = READ_BYTES.min(longest - buffer.len());
            grow(&mut buffer, ahead, longest, holder.as_ref()).await?;
            let frame = tokio::select! {
                frame = body.frame() => frame,
                error = stalled(holder.as_ref()) => return Err(error),
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|_| BodyError::Truncated)?;
            let Ok(data) = frame.into_data() else { continue };
            if data.len() > longest - buffer.len() {
                return Err(too_long);
            }
            grow(&mut buffer, data.len(), longest, holder.as_ref()).await?;
            buffer.extend_from_slice(&data);
            if let Some(holder) = &holder {
                holder.record_progress(data.len());
            }
        }
        let Some(holder) = holder else { return Ok(buffer.into()) };
        holder.with_state(|state, _| state.budget.complete(holder.id));
        Ok(Bytes::from_owner(Held { bytes: buffer, _holder: holder }))
    }

    /// Counts the parts of the answer to this request.
    pub fn answer(&self) -> AnswerMemory {
        let memory = self.memory.answer();
        if let Some(connection) = &self.connection {
            memory.attach(connection);
        }
        memory
    }
}

/// Counts the parts of one answer until they are written.
#[derive(Clone, Default)]
pub struct AnswerMemory(Option<Arc<Holder>>);

impl AnswerMemory {
    /// Waits for room for a part. Returns `None` if the answer was ended in favor of others.
    pub async fn hold(&self, bytes: Bytes) -> Option<Bytes> {
        let Some(holder) = &self.0 else { return Some(bytes) };
        if bytes.is_empty() {
            return Some(bytes);
        }
        holder.reserve(bytes.len()).await.ok()?;
        Some(Bytes::from_owner(HeldPart { bytes, holder: holder.clone() }))
    }
}

impl AnswerMemory {
    /// Waits for room for bytes that are about to be read. They are counted until this is dropped.
    pub async fn reserve(&self, bytes: usize) {
        if let Some(holder) = &self.0 {
            // Fails only for an answer that was ended.
            let _ = holder.reserve(bytes).await;
        }
    }

    /// Counts bytes that are about to be read until this is dropped, if there is room for them.
    pub fn try_reserve(&self, bytes: usize) -> bool {
        let Some(holder) = &self.0 else { return true };
        holder.with_state(|state, now| {
            let decision = state.budget.reserve(now, holder.id, bytes as u64);
            if let Decision::Evict(victim) = decision {
                state.end(victim);
            }
            decision == Decision::Granted
        })
    }

    /// Counts a part that is in memory already. If there is no room, the answer that is read least is
    /// ended.
    pub fn charge(&self, bytes: Bytes) -> Bytes {
        let Some(holder) = self.0.clone().filter(|_| !bytes.is_empty()) else { return bytes };
        holder.with_state(|state, now| {
            state.budget.charge(holder.id, bytes.len() as u64);
            if let Some(victim) = state.budget.relieve_answers(now) {
                state.end(victim);
            }
        });
        Bytes::from_owner(HeldPart { bytes, holder })
    }

    /// Names the connection that is closed when the answer is ended in favor of others.
    pub(super) fn attach(&self, connection: &Arc<ClientConnection>) {
        let Some(holder) = &self.0 else { return };
        holder.with_state(|state, _| {
            let found = state.owners.binary_search_by(|it| it.holder.cmp(&holder.id));
            if let Ok(at) = found {
                state.owners[at].connection = Some(connection.clone());
            }
        });
    }
}

/// Makes room for `bytes` more. The capacity at least doubles, up to `longest`.
async fn grow(
    buffer: &mut Vec<u8>,
    bytes: usize,
    longest: usize,
    holder: Option<&Holder>,
) -> Result<(), BodyError> {
    let needed = buffer.len() + bytes;
    if needed <= buffer.capacity() {
        return Ok(());
    }
    let capacity = needed.max(2 * buffer.capacity()).max(MIN_CAPACITY).min(longest.max(needed));
    if let Some(holder) = holder {
        holder.reserve(capacity - buffer.capacity()).await.map_err(|ended| match ended {
            Ended::NoRoom => BodyError::NoRoom,
            Ended::Evicted => BodyError::Stalled,
        })?;
    }
    buffer.reserve_exact(capacity - buffer.len());
    Ok(())
}

/// Completes once a body was ended in favor of others, or has not arrived for [`IDLE_TIMEOUT`].
async fn stalled(holder: Option<&Holder>) -> BodyError {
    let Some(holder) = holder else { return pending().await };
    tokio::select! {
        () = holder.evicted() => {}
        () = sleep(IDLE_TIMEOUT) => {}
    }
    BodyError::Stalled
}

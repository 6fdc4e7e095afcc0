//! Selects the upstream for a call.
//!
//! For model engines, the time to the first token is mostly prefill time: that of the prompts that
//! already wait, and that of the parts of this prompt that the engine does not have cached.
//! [`Loads`] counts the former from what this instance has sent itself and what the other instances
//! of its region have [reported](super::peer_loads). A peer without a fresh report is assumed to
//! send as much as this instance does on average. For plain services, the time is the wait for a
//! free slot.
//!
//! Recomputing a part delays every stream of its engine, since engines interleave prefill with the
//! steps of all other requests. So a part that is not cached costs more than its own prefill time,
//! and calls that share a part stay on the engine that every instance ranks highest for it, until
//! the wait there is well above the cost of recomputing the part elsewhere. A long queue of prompts
//! stalls the streams of its engine, so it costs more than the time that it takes, and long prompts
//! are admitted to an engine one at a time, see [`prefill_queue`](super::prefill_queue).
//!
//! This handles load that is high but sustainable. What to do when no upstream can serve a call in
//! time is decided by [`load_shedding`](super::load_shedding).

use std::time::Duration;

use crate::{
    gateway::{
        engine_memory::EngineMemory,
        peer_loads::{LoadReport, PeerLoads, ReportSource, UpstreamKey},
    },
    ids::{InstanceId, UpstreamId},
    time::Time,
};

/// A part of a prompt that other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part; equal parts have equal ids.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// What a call requires of its upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Demand {
    /// Parts of the prompt in order; the last one belongs to this call only.
    pub parts: Vec<PromptPart>,
    /// Length of the prompt in tokens; zero for plain services.
    pub prompt_tokens: u32,
    /// Maximum length of the answer in tokens.
    pub output_tokens: u32,
    /// Priority of the call; engines prefill prompts of priority 0 first.
    pub priority: u8,
}

impl Choice {
    /// Whether it is a long prompt, which has to be admitted to its engine.
    pub fn is_long(&self) -> bool {
        self.prefill_tokens >= LONG_PROMPT_TOKENS
    }

    /// Whether peers have to be notified at once: it is a long prompt, or a call to a plain
    /// service, which has few slots.
    pub fn needs_immediate_report(&self) -> bool {
        self.is_long() || self.prefill_tokens == 0
    }
}

impl Demand {
    /// Tokens of the parts that other prompts may share: all but the last part.
    pub fn shared_tokens(&self) -> u32 {
        self.parts.iter().rev().skip(1).map(|part| part.tokens).sum()
    }

    /// The part by which calls are kept on the same engine: the last one that others may share.
    fn affinity(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        Some(self.parts[shared].id)
    }
}

/// An upstream that may be chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<'a> {
    /// Id of the upstream.
    pub id: &'a UpstreamId,
    /// Requests that it works on concurrently.
    pub slots: u32,
    /// Tokens that fit into its memory; zero for a plain service.
    pub memory_tokens: u64,
    /// Share of its recent calls that failed, from 0 to 1.
    pub failure_rate: f64,
    /// Network round-trip time to it.
    pub round_trip: Duration,
}

/// The upstream that was chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Predicted time until the first token or the answer.
    pub wait: Duration,
    /// The predicted wait with the round trip, the delay to other calls and the penalty for
    /// failures.
    pub cost: Duration,
    /// Prompt tokens that the engine is expected to prefill.
    pub prefill_tokens: u32,
    /// Priority of the call.
    pub priority: u8,
    /// Whether no engine has room for the call in its memory, so that it has to wait.
    pub lacks_room: bool,
    /// Number of engines that have room for the call; 0 if the memory of engines does not matter.
    pub roomy_engines: usize,
}

/// Prompt tokens that an engine prefills in a millisecond, before measurements correct the
/// prediction; the engines of the first deployments reach 38 to 52.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 40.0;
/// Time to the first token without prefill: one engine step and the round trip.
const FIRST_TOKEN_MS: f64 = 30.0;
/// Delay caused by each request that runs concurrently.
const CONCURRENT_REQUEST_MS: f64 = 0.4;
/// Duration of one call to a plain service, before measurements correct the prediction.
const PLAIN_CALL_MS: f64 = 30.0;
/// Time after its last use for which a part is assumed to be cached.
const CACHE_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum share of an engine's memory that shared parts are assumed to occupy.
const CACHE_SHARE: f64 = 0.5;
/// Extra cost of an upstream that fails all its calls. It grows with the square of the failure
/// rate: some calls fail at every upstream, and a common rate counts for little.
const FAILURE_PENALTY_MS: f64 = 2_000.0;
/// Share of the prefill of a shared part that is assumed to be saved on its preferred engine, where
/// peers have probably sent the part.
const PREFERRED_CACHE_SHARE: f64 = 0.9;
/// Weight of recomputing a shared part, which delays all streams of the engine.
const RECOMPUTE_WEIGHT: f64 = 8.0;
/// Queued prompt tokens above which the streams of an engine stall noticeably: a few steps with as
/// much prefill as fits into each.
const STALL_THRESHOLD_TOKENS: f64 = 12_000.0;
/// Prompt tokens that an engine prefills in one step; a more urgent prompt waits for at most these.
const STEP_TOKENS: f64 = 4_096.0;
/// Prefill tokens from which on a prompt has to be admitted to its engine, and peers are notified
/// at once; shorter prompts hardly delay streams.
const LONG_PROMPT_TOKENS: u32 = 1_000;
/// Queued prompt tokens at an engine above which a long prompt waits for admission: one prompt.
const ADMISSION_QUEUE_TOKENS: f64 = 3_000.0;
/// Weight of the time that queued tokens above [`STALL_THRESHOLD_TOKENS`] take.
const STALL_WEIGHT: f64 = 2.0;
/// Time over which the own load is averaged, for peers without a report.
const AVERAGING_TIME: Duration = Duration::from_secs(2);
/// Weight of the newest call in the smoothed latency ratio.
const LATENCY_RATIO_SMOOTHING: f64 = 0.1;
/// Bounds of a single measured latency ratio before smoothing.
const LATENCY_RATIO_BOUNDS: std::ops::RangeInclusive<f64> = 0.5..=12.0;

/// In-flight load of peers at an upstream.
#[derive(Debug, Default)]
struct PeerLoad {
    running: f64,
    prefill_tokens: f64,
    urgent_tokens: f64,
    queued_tokens: f64,
}

/// Predicted cost of a candidate for a call.
struct Prediction {
    /// Prompt tokens that the candidate has to prefill.
    prefill_tokens: u32,
    /// Time to the first token or the answer, in milliseconds.
    wait_ms: f64,
    /// Delay to other calls, in milliseconds, by recomputed parts and by stalls.
    delay_ms: f64,
}

#[derive(Debug, Clone)]
struct CachedPart {
    part: u64,
    tokens: u32,
    last_used: Time,
}

#[derive(Debug, Clone)]
struct UpstreamLoad {
    id: UpstreamId,
    running: Averaged,
    /// Prompt tokens that were sent and not yet prefilled.
    prefill_tokens: Averaged,
    /// The part of `prefill_tokens` that belongs to calls of priority 0.
    urgent_tokens: Averaged,
    /// Prompt tokens of calls that wait for admission.
    queued_tokens: u64,
    /// Cached parts, sorted by part.
    cached: Vec<CachedPart>,
    /// Measured time to the first token, or duration of a plain call, divided by the prediction.
    latency_ratio: f64,
}

/// A quantity with its average over [`AVERAGING_TIME`].
#[derive(Debug, Clone, Default)]
struct Averaged {
    value: u64,
    average: f64,
    /// When the average was last updated.
    updated_at: Time,
}

impl Averaged {
    fn average_at(&self, now: Time) -> f64 {
        let age = (now - self.updated_at).as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        let value = self.value as f64;
        value + (self.average - value) * (-age).exp()
    }

    fn change(&mut self, now: Time, value: u64) {
        self.average = self.average_at(now);
        self.updated_at = now;
        self.value = value;
    }
}

/// In-flight load of this instance and its peers at each upstream.
#[derive(Debug, Clone, Default)]
pub struct Loads {
    /// Sorted by id.
    known: Vec<UpstreamLoad>,
    peers: PeerLoads,
}

/// Rendezvous hash that orders upstreams for a key, equally at every instance; the highest rank is
/// preferred.
pub fn rendezvous_rank(key: &str, upstream: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(upstream.as_bytes());
    let hash = hasher.finalize();
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("a hash has 32 bytes"))
}

/// Rendezvous rank of an upstream for a prompt part; cheaper to compute than [`rendezvous_rank`].
fn part_rendezvous_rank(part: u64, upstream: &UpstreamId) -> u64 {
    // FNV-1a, then the finalizer of SplitMix64.
    let mut hash = 0xcbf2_9ce4_8422_2325 ^ part;
    for byte in upstream.as_str().bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

impl Loads {
    /// The candidate with the lowest cost; `None` if there are no candidates. `peers` is the number
    /// of entry instances that send to the same upstreams, this one included.
    ///
    /// ```
    /// use medlarlug_core::{gateway::placement::*, time::Time};
    ///
    /// let id = "engine-1".parse().unwrap();
    /// let only = Candidate {
    ///     id: &id,
    ///     slots: 8,
    ///     memory_tokens: 0,
    ///     failure_rate: 0.0,
    ///     round_trip: Default::default(),
    /// };
    /// let choice = Loads::default().choose(Time::ZERO, &Demand::default(), &[only], 1).unwrap();
    /// assert_eq!(choice.id, id);
    /// ```
    pub fn choose(
        &self,
        now: Time,
        demand: &Demand,
        candidates: &[Candidate],
        peers: usize,
    ) -> Option<Choice> {
        let preferred = demand.affinity().and_then(|part| {
            let ranked = candidates.iter().max_by_key(|it| part_rendezvous_rank(part, it.id));
            ranked.map(|candidate| candidate.id)
        });
        let predicted = candidates.iter().map(|candidate| {
            let is_preferred = preferred == Some(candidate.id);
            let predicted = self.predict(now, demand, candidate, peers, is_preferred);
            let travel_ms = candidate.round_trip.as_secs_f64() * 1_000.0;
            let cost_ms = travel_ms
                + predicted.wait_ms
                + predicted.delay_ms
                + candidate.failure_rate.powi(2) * FAILURE_PENALTY_MS;
            (cost_ms, predicted, candidate)
        });
        let best = predicted.min_by(|a, b| {
            // Equal costs: the upstream with fewer calls of this instance, which spreads the calls.
            a.0.total_cmp(&b.0).then_with(|| self.running(a.2.id).cmp(&self.running(b.2.id)))
        })?;
        let (cost_ms, predicted, candidate) = best;
        let wait = Duration::from_secs_f64(predicted.wait_ms / 1_000.0);
        let cost = Duration::from_secs_f64(cost_ms / 1_000.0);
        let (prefill_tokens, priority) = (predicted.prefill_tokens, demand.priority);
        Some(Choice {
            id: candidate.id.clone(),
            wait,
            cost,
            prefill_tokens,
            priority,
            lacks_room: false,
            roomy_engines: 0,
        })
    }

    /// The same choice among the engines that have room for the call in their memory. If none has,
    /// the call waits for that with the lowest cost; `None` if it exceeds the memory of all.
    pub fn choose_with_room(
        &self,
        now: Time,
        demand: &Demand,
        candidates: &[Candidate],
        peers: usize,
        memory: &EngineMemory,
    ) -> Option<Choice> {
        let (roomy, lacks_room) = memory.with_room(now, demand, candidates, peers);
        let choice = self.choose(now, demand, &roomy, peers)?;
        let roomy_engines = if lacks_room { 0 } else { roomy.len() };
        Some(Choice { lacks_room, roomy_engines, ..choice })
    }

    fn predict(
        &self,
        now: Time,
        demand: &Demand,
        candidate: &Candidate,
        peers: usize,
        is_preferred: bool,
    ) -> Prediction {
        let load = self.index_of(candidate.id).ok().map(|at| &self.known[at]);
        let latency_ratio = load.map_or(1.0, |load| load.latency_ratio);
        let peer_load = self.peer_load(now, candidate.id, peers);
        let running = load.map_or(0.0, |load| load.running.value as f64) + peer_load.running;
        if candidate.memory_tokens == 0 {
            let queue = (running + 1.0 - f64::from(candidate.slots)).max(0.0);
            let busy = 0.1 * running / f64::from(candidate.slots.max(1));
            let calls = 1.0 + busy + queue / f64::from(candidate.slots.max(1));
            let wait_ms = calls * PLAIN_CALL_MS * latency_ratio;
            return Prediction { prefill_tokens: 0, wait_ms, delay_ms: 0.0 };
        }
        let cached = load.map_or(0, |load| load.cached_tokens(now, &demand.parts));
        let mut prefill_tokens = f64::from(demand.prompt_tokens.saturating_sub(cached));
        let own_tokens = demand.parts.last().map_or(demand.prompt_tokens, |part| part.tokens);
        let mut shared_tokens = (prefill_tokens - f64::from(own_tokens)).max(0.0);
        if is_preferred {
            prefill_tokens -= shared_tokens * PREFERRED_CACHE_SHARE;
            shared_tokens *= 1.0 - PREFERRED_CACHE_SHARE;
        }
        let in_prefill_tokens =
            load.map_or(0.0, |load| load.prefill_tokens.value as f64) + peer_load.prefill_tokens;
        let excess_requests = (running + 1.0 - f64::from(candidate.slots)).max(0.0);
        let urgent_tokens =
            load.map_or(0.0, |load| load.urgent_tokens.value as f64) + peer_load.urgent_tokens;
        let queued_tokens =
            load.map_or(0.0, |load| load.queued_tokens as f64) + peer_load.queued_tokens;
        let tokens_ahead = match demand.priority {
            0 => urgent_tokens + (in_prefill_tokens - urgent_tokens).clamp(0.0, STEP_TOKENS),
            _ => in_prefill_tokens + queued_tokens,
        };
        let prefill_ms = (tokens_ahead + prefill_tokens) / PREFILL_TOKENS_PER_MS;
        let wait_ms = FIRST_TOKEN_MS
            + prefill_ms
            + running * CONCURRENT_REQUEST_MS
            + excess_requests * FIRST_TOKEN_MS;
        let stall_tokens =
            (in_prefill_tokens + prefill_tokens - STALL_THRESHOLD_TOKENS).max(0.0) * STALL_WEIGHT;
        let delay_ms = (shared_tokens * RECOMPUTE_WEIGHT + stall_tokens) / PREFILL_TOKENS_PER_MS;
        Prediction {
            prefill_tokens: prefill_tokens as u32,
            wait_ms: wait_ms * latency_ratio,
            delay_ms: delay_ms * latency_ratio,
        }
    }

    /// The in-flight load of this instance, to be reported to its peers, sorted by upstream; idle
    /// upstreams are omitted.
    pub fn report(&self) -> Vec<LoadReport> {
        let busy =
            self.known.iter().filter(|load| load.running.value > 0 || load.queued_tokens > 0);
        let mut reports: Vec<LoadReport> = busy.map(UpstreamLoad::report).collect();
        reports.sort_by_key(|it| it.upstream);
        reports
    }

    /// The in-flight load of this instance at one upstream.
    pub fn report_of(&self, id: &UpstreamId) -> LoadReport {
        let idle = || LoadReport::idle(UpstreamKey::new(id));
        self.index_of(id).map_or_else(|_| idle(), |at| self.known[at].report())
    }

    /// Applies a full report of peers, see [`PeerLoads::apply_report`].
    pub fn apply_report(
        &mut self,
        now: Time,
        source: ReportSource,
        instances: usize,
        loads: Vec<LoadReport>,
    ) {
        self.peers.apply_report(now, source, instances, loads);
    }

    /// Applies the load of peers at one upstream, see [`PeerLoads::apply_change`].
    pub fn apply_change(&mut self, source: &ReportSource, change: LoadReport) {
        self.peers.apply_change(source, change);
    }

    /// Drops reports of peers that have expired.
    pub fn drop_expired_reports(&mut self, now: Time) {
        self.peers.drop_expired(now);
    }

    /// The aggregate that a collector sends to the instance `to`: the sum over all instances but
    /// that one, and their number.
    pub fn aggregate_for(&self, to: &InstanceId) -> (usize, Vec<LoadReport>) {
        let is_receiver =
            |source: &ReportSource| matches!(source, ReportSource::Peer(id) if id == to);
        self.peers.aggregate(&self.report(), is_receiver)
    }

    /// The aggregate that a collector sends to other zones: the sum over the instances of its own
    /// zone, and their number.
    pub fn zone_aggregate(&self) -> (usize, Vec<LoadReport>) {
        self.peers.aggregate(&self.report(), |source| matches!(source, ReportSource::Zone(_)))
    }

    /// The in-flight load of the other `peers` at an upstream.
    fn peer_load(&self, now: Time, id: &UpstreamId, peers: usize) -> PeerLoad {
        let (reported, instances) = self.peers.load_at(now, UpstreamKey::new(id));
        let mut load = PeerLoad {
            running: f64::from(reported.running),
            prefill_tokens: f64::from(reported.prefill_tokens),
            urgent_tokens: f64::from(reported.urgent_tokens),
            queued_tokens: f64::from(reported.queued_tokens),
        };
        let unreported = peers.saturating_sub(1 + instances) as f64;
        if unreported > 0.0
            && let Ok(at) = self.index_of(id)
        {
            load.running += self.known[at].running.average_at(now) * unreported;
            load.prefill_tokens += self.known[at].prefill_tokens.average_at(now) * unreported;
            load.urgent_tokens += self.known[at].urgent_tokens.average_at(now) * unreported;
        }
        load
    }

    /// Whether the chosen engine accepts the call now: long prompts are admitted one at a time,
    /// short ones always.
    pub fn can_admit(&self, now: Time, choice: &Choice, peers: usize) -> bool {
        if !choice.is_long() {
            return true;
        }
        let own = self.index_of(&choice.id).map_or(0, |at| self.known[at].prefill_tokens.value);
        own as f64 + self.peer_load(now, &choice.id, peers).prefill_tokens <= ADMISSION_QUEUE_TOKENS
    }

    /// Counts a call that waits for admission at `choice`, so that other calls avoid that engine.
    pub fn enqueue(&mut self, choice: &Choice) {
        self.entry(&choice.id).queued_tokens += u64::from(choice.prefill_tokens);
    }

    /// Removes a call that no longer waits for admission.
    pub fn dequeue(&mut self, choice: &Choice) {
        let load = self.entry(&choice.id);
        load.queued_tokens = load.queued_tokens.saturating_sub(u64::from(choice.prefill_tokens));
    }

    /// Counts a call that is sent to `choice`; `memory` is the upstream's memory in tokens.
    pub fn record_sent(&mut self, now: Time, choice: &Choice, demand: &Demand, memory: u64) {
        let load = self.entry(&choice.id);
        load.running.change(now, load.running.value + 1);
        load.prefill_tokens
            .change(now, load.prefill_tokens.value + u64::from(choice.prefill_tokens));
        if demand.priority == 0 {
            load.urgent_tokens
                .change(now, load.urgent_tokens.value + u64::from(choice.prefill_tokens));
        }
        for part in demand.parts.iter().rev().skip(1) {
            load.touch_part(now, *part);
        }
        load.evict(now, memory);
    }

    /// Records that the first token or the answer of a call arrived after `took`.
    pub fn record_first_token(&mut self, now: Time, choice: &Choice, took: Duration) {
        let load = self.entry(&choice.id);
        load.finish_prefill(now, choice);
        let predicted = choice.wait.as_secs_f64().max(0.001) / load.latency_ratio;
        let ratio = (took.as_secs_f64() / predicted)
            .clamp(*LATENCY_RATIO_BOUNDS.start(), *LATENCY_RATIO_BOUNDS.end());
        load.latency_ratio += LATENCY_RATIO_SMOOTHING * (ratio - load.latency_ratio);
    }

    /// Records that a call ended; `prefill_done` tells whether [`Loads::record_first_token`] was
    /// called for it.
    pub fn record_end(&mut self, now: Time, choice: &Choice, prefill_done: bool) {
        let load = self.entry(&choice.id);
        load.running.change(now, load.running.value.saturating_sub(1));
        if !prefill_done {
            load.finish_prefill(now, choice);
        }
    }

    /// Clears the cached parts and the latency ratio of an upstream that has a new incarnation.
    pub fn reset(&mut self, id: &UpstreamId) {
        if let Ok(at) = self.index_of(id) {
            self.known[at].cached.clear();
            self.known[at].latency_ratio = 1.0;
        }
    }

    /// Calls of this instance in flight at the upstream.
    pub fn running(&self, id: &UpstreamId) -> u64 {
        self.index_of(id).map_or(0, |at| self.known[at].running.value)
    }

    /// Calls of this instance and of the other `peers` in flight at the upstream.
    pub fn region_running(&self, now: Time, id: &UpstreamId, peers: usize) -> f64 {
        self.running(id) as f64 + self.peer_load(now, id, peers).running
    }

    fn index_of(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.known.binary_search_by(|load| load.id.cmp(id))
    }

    fn entry(&mut self, id: &UpstreamId) -> &mut UpstreamLoad {
        let at = match self.index_of(id) {
            Ok(at) => at,
            Err(at) => {
                let load = UpstreamLoad {
                    id: id.clone(),
                    running: Averaged::default(),
                    prefill_tokens: Averaged::default(),
                    urgent_tokens: Averaged::default(),
                    queued_tokens: 0,
                    cached: Vec::new(),
                    latency_ratio: 1.0,
                };
                self.known.insert(at, load);
                at
            }
        };
        &mut self.known[at]
    }
}

impl UpstreamLoad {
    fn report(&self) -> LoadReport {
        let count = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
        LoadReport {
            upstream: UpstreamKey::new(&self.id),
            running: count(self.running.value),
            prefill_tokens: count(self.prefill_tokens.value),
            urgent_tokens: count(self.urgent_tokens.value),
            queued_tokens: count(self.queued_tokens),
        }
    }

    /// The prompt of a call was prefilled, or the call no longer waits for it.
    fn finish_prefill(&mut self, now: Time, choice: &Choice) {
        let tokens = u64::from(choice.prefill_tokens);
        self.prefill_tokens.change(now, self.prefill_tokens.value.saturating_sub(tokens));
        if choice.priority == 0 {
            self.urgent_tokens.change(now, self.urgent_tokens.value.saturating_sub(tokens));
        }
    }

    /// Tokens at the beginning of the prompt that the engine is assumed to have cached.
    fn cached_tokens(&self, now: Time, parts: &[PromptPart]) -> u32 {
        let is_cached = |part: &&PromptPart| {
            let at = self.cached.binary_search_by(|cached| cached.part.cmp(&part.id));
            at.is_ok_and(|at| now - self.cached[at].last_used < CACHE_LIFETIME)
        };
        parts.iter().take_while(is_cached).map(|part| part.tokens).sum()
    }

    fn touch_part(&mut self, now: Time, part: PromptPart) {
        match self.cached.binary_search_by(|cached| cached.part.cmp(&part.id)) {
            Ok(at) => self.cached[at].last_used = now,
            Err(at) => {
                let cached = CachedPart { part: part.id, tokens: part.tokens, last_used: now };
                self.cached.insert(at, cached);
            }
        }
    }

    /// Drops the parts that the engine no longer holds: the least recently used ones.
    fn evict(&mut self, now: Time, memory: u64) {
        let limit = (memory as f64 * CACHE_SHARE) as u64;
        let mut total: u64 = self.cached.iter().map(|cached| u64::from(cached.tokens)).sum();
        while total > limit {
            let oldest = self.cached.iter().enumerate().min_by_key(|(_, cached)| cached.last_used);
            let Some((at, _)) = oldest else { return };
            total -= u64::from(self.cached.remove(at).tokens);
        }
        self.cached.retain(|cached| now - cached.last_used < CACHE_LIFETIME);
    }
}

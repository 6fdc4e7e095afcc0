//! Which upstream a call goes to.
//!
//! For model engines the time to the first token is mostly the time in which prompts are read:
//! those that wait already, and the parts of this prompt that the engine does not hold in its
//! cache. [`Loads`] counts the former from what this instance has sent itself and what the other
//! instances of its region have [reported](super::peer_loads); a peer without a fresh report is taken
//! to send as much as this instance does on average. For plain services the time is that until a slot is free.
//!
//! Reading a part again delays every stream of its engine, since engines read prompts between the
//! steps of all others. So a part that is not held counts for more than the time in which it is
//! read, and calls that share a part stay on the engine that every instance finds for it by the
//! same rank, until waiting there has grown well above reading it again elsewhere. A long queue of
//! prompts stalls the streams of its engine, so it weighs more than the time that it takes, and long
//! prompts take turns at an engine, see [`prefill_queue`](super::prefill_queue).
//!
//! This answers load that is high but bearable. What to do when no upstream can serve in time is
//! decided by [`load_shedding`](super::load_shedding).

use std::time::Duration;

use crate::{
    gateway::peer_loads::{LoadReport, PeerLoads, Source, UpstreamKey},
    ids::{InstanceId, UpstreamId},
    time::Time,
};

/// A part of a prompt that other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a call asks of its upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Demand {
    /// Parts of the prompt in order; the last one is the call's own.
    pub parts: Vec<PromptPart>,
    /// Tokens of the prompt; zero for plain services.
    pub prompt: u32,
    /// Tokens of the answer, at most.
    pub output: u32,
    /// Rank of the call; engines read the prompts of rank 0 first.
    pub rank: u8,
}

impl Choice {
    /// Whether it is a long prompt, which takes turns with others at its engine.
    pub fn is_long(&self) -> bool {
        self.unread >= LONG_PROMPT
    }

    /// Whether peers have to know of it at once: it is a long prompt, or a call to a plain service,
    /// which has few places.
    pub fn is_told(&self) -> bool {
        self.is_long() || self.unread == 0
    }
}

impl Demand {
    /// Tokens of the parts that others may share: all but the last one.
    pub fn shared(&self) -> u32 {
        self.parts.iter().rev().skip(1).map(|part| part.tokens).sum()
    }

    /// The part by which calls are kept together: the last one that others share.
    fn affinity(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        Some(self.parts[shared].id)
    }
}

/// An upstream that may be chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<'a> {
    /// Its id.
    pub id: &'a UpstreamId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Tokens that fit into its memory; zero for a plain service.
    pub memory: u64,
    /// Share of its recent calls that failed, 0 to 1.
    pub failures: f64,
    /// Time on the way to it and back.
    pub distance: Duration,
}

/// The upstream that was chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Its id.
    pub id: UpstreamId,
    /// Predicted time until the first token or the answer.
    pub wait: Duration,
    /// The same with the delay of other calls and the risk of a failure.
    pub cost: Duration,
    /// Tokens of the prompt that it is expected to read.
    pub unread: u32,
    /// Rank of the call.
    pub rank: u8,
}

/// Prompt tokens that an engine reads in a millisecond, until it is known better; the engines of
/// the first deployments read 38 to 52.
pub(super) const READ_RATE: f64 = 40.0;
/// Time to the first token beside reading, in milliseconds: a step and the way there and back.
const FIRST_TOKEN_MS: f64 = 30.0;
/// Delay by each request that runs beside, in milliseconds.
const BESIDE_MS: f64 = 0.4;
/// Time of one call to a plain service, in milliseconds, until it is known better.
const PLAIN_CALL_MS: f64 = 30.0;
/// Time for which a part is taken to be held after its last use.
const WARM_FOR: Duration = Duration::from_secs(10);
/// Part of an engine's memory that shared parts are taken to fill at most.
const WARM_SHARE: f64 = 0.5;
/// Extra cost of an upstream that fails all its calls, in milliseconds. It grows with the square of
/// the share of failures: some calls fail everywhere, and a share that is common counts for little.
const FAILURE_MS: f64 = 2_000.0;
/// Part of the reading of a shared part that is taken to be saved on its preferred engine, where
/// peers have probably sent it.
const PREFERRED_GAIN: f64 = 0.9;
/// Weight of reading a shared part again, which delays all streams of the engine.
const REREAD_WEIGHT: f64 = 8.0;
/// Queued prompt tokens above which the streams of an engine stall noticeably: a few steps in which
/// it reads as much as it takes at once.
const STALL_TOKENS: f64 = 12_000.0;
/// Prompt tokens that an engine reads in one step; a more urgent prompt waits for these at most.
const STEP_TOKENS: f64 = 4_096.0;
/// Tokens to read from which on a prompt waits for its turn, and peers are told of it at once;
/// shorter ones hardly stop streams.
const LONG_PROMPT: u32 = 1_000;
/// Queued prompt tokens at an engine above which a long prompt waits for its turn: one prompt.
const TURN_TOKENS: f64 = 3_000.0;
/// Weight of the time that queued tokens above [`STALL_TOKENS`] take.
const STALL_WEIGHT: f64 = 2.0;
/// Time over which the own load is averaged, for peers without a report.
const AVERAGE_TIME: Duration = Duration::from_secs(2);
/// Weight of the newest call in the smoothed slowness.
const SMOOTHING: f64 = 0.1;
/// Bounds of the smoothed slowness.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.5..=12.0;

/// What peers have under way at an upstream.
#[derive(Debug, Default)]
struct Others {
    running: f64,
    unread: f64,
    urgent: f64,
    waiting: f64,
}

/// What a candidate would cost a call.
struct Predicted {
    /// Tokens to read.
    unread: u32,
    /// Time to the first token or the answer, in milliseconds.
    wait: f64,
    /// Delay of other calls, in milliseconds: by parts that are read again, and by stalls.
    others: f64,
}

#[derive(Debug, Clone)]
struct Warm {
    part: u64,
    tokens: u32,
    used: Time,
}

#[derive(Debug, Clone)]
struct Load {
    id: UpstreamId,
    running: Averaged,
    /// Prompt tokens sent and not yet read.
    unread: Averaged,
    /// Those of them that have rank 0.
    urgent: Averaged,
    /// Prompt tokens of calls that wait for their turn.
    waiting: u64,
    /// Held parts, sorted by part.
    warm: Vec<Warm>,
    /// Measured time to the first token, or of a plain call, against the prediction.
    slowness: f64,
}

/// A quantity with its average over [`AVERAGE_TIME`].
#[derive(Debug, Clone, Default)]
struct Averaged {
    value: u64,
    average: f64,
    /// When the average was last brought up to date.
    updated: Time,
}

impl Averaged {
    fn average_at(&self, now: Time) -> f64 {
        let age = (now - self.updated).as_secs_f64() / AVERAGE_TIME.as_secs_f64();
        let value = self.value as f64;
        value + (self.average - value) * (-age).exp()
    }

    fn change(&mut self, now: Time, value: u64) {
        self.average = self.average_at(now);
        self.updated = now;
        self.value = value;
    }
}

/// What this instance and its peers have under way at each upstream.
#[derive(Debug, Clone, Default)]
pub struct Loads {
    /// Sorted by id.
    known: Vec<Load>,
    peers: PeerLoads,
}

/// Orders upstreams for a key, alike at every instance: the highest rank is preferred.
pub fn rank(key: &str, upstream: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(upstream.as_bytes());
    let hash = hasher.finalize();
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("a hash has 32 bytes"))
}

/// Rank of an upstream for a prompt part, cheaper than [`rank`].
fn part_rank(part: u64, upstream: &UpstreamId) -> u64 {
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
    /// The candidate with the shortest predicted wait. `peers` entry instances, this one included,
    /// send to the same upstreams.
    ///
    /// ```
    /// use medlarlug_core::{gateway::placement::*, time::Time};
    ///
    /// let id = "engine-1".parse().unwrap();
    /// let only = Candidate { id: &id, slots: 8, memory: 0, failures: 0.0, distance: Default::default() };
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
            let ranked = candidates.iter().max_by_key(|it| part_rank(part, it.id));
            ranked.map(|candidate| candidate.id)
        });
        let predicted = candidates.iter().map(|candidate| {
            let is_preferred = preferred == Some(candidate.id);
            let predicted = self.predict(now, demand, candidate, peers, is_preferred);
            let way = candidate.distance.as_secs_f64() * 1_000.0;
            let cost =
                way + predicted.wait + predicted.others + candidate.failures.powi(2) * FAILURE_MS;
            (cost, predicted, candidate)
        });
        let best = predicted.min_by(|a, b| {
            // Equal waits are spread by the instance's own order of upstreams.
            a.0.total_cmp(&b.0).then_with(|| self.running(a.2.id).cmp(&self.running(b.2.id)))
        })?;
        let (cost, predicted, candidate) = best;
        let wait = Duration::from_secs_f64(predicted.wait / 1_000.0);
        let cost = Duration::from_secs_f64(cost / 1_000.0);
        let (unread, rank) = (predicted.unread, demand.rank);
        Some(Choice { id: candidate.id.clone(), wait, cost, unread, rank })
    }

    fn predict(
        &self,
        now: Time,
        demand: &Demand,
        candidate: &Candidate,
        peers: usize,
        is_preferred: bool,
    ) -> Predicted {
        let load = self.place(candidate.id).ok().map(|at| &self.known[at]);
        let slowness = load.map_or(1.0, |load| load.slowness);
        let others = self.others(now, candidate.id, peers);
        let running = load.map_or(0.0, |load| load.running.value as f64) + others.running;
        if candidate.memory == 0 {
            let queue = (running + 1.0 - f64::from(candidate.slots)).max(0.0);
            let busy = 0.1 * running / f64::from(candidate.slots.max(1));
            let calls = 1.0 + busy + queue / f64::from(candidate.slots.max(1));
            let wait = calls * PLAIN_CALL_MS * slowness;
            return Predicted { unread: 0, wait, others: 0.0 };
        }
        let held = load.map_or(0, |load| load.held(now, &demand.parts));
        let mut unread = f64::from(demand.prompt.saturating_sub(held));
        let own = demand.parts.last().map_or(demand.prompt, |part| part.tokens);
        let mut shared = (unread - f64::from(own)).max(0.0);
        if is_preferred {
            unread -= shared * PREFERRED_GAIN;
            shared *= 1.0 - PREFERRED_GAIN;
        }
        let waiting = load.map_or(0.0, |load| load.unread.value as f64) + others.unread;
        let excess = (running + 1.0 - f64::from(candidate.slots)).max(0.0);
        let urgent = load.map_or(0.0, |load| load.urgent.value as f64) + others.urgent;
        let queued = load.map_or(0.0, |load| load.waiting as f64) + others.waiting;
        let ahead = match demand.rank {
            0 => urgent + (waiting - urgent).clamp(0.0, STEP_TOKENS),
            _ => waiting + queued,
        };
        let read = (ahead + unread) / READ_RATE;
        let wait = FIRST_TOKEN_MS + read + running * BESIDE_MS + excess * FIRST_TOKEN_MS;
        let stall = (waiting + unread - STALL_TOKENS).max(0.0) * STALL_WEIGHT;
        let others = (shared * REREAD_WEIGHT + stall) / READ_RATE;
        Predicted { unread: unread as u32, wait: wait * slowness, others: others * slowness }
    }

    /// What this instance has under way, to be told to its peers, sorted by upstream; idle upstreams
    /// are left out.
    pub fn report(&self) -> Vec<LoadReport> {
        let busy = self.known.iter().filter(|load| load.running.value > 0 || load.waiting > 0);
        let mut reports: Vec<LoadReport> = busy.map(Load::report).collect();
        reports.sort_by_key(|it| it.upstream);
        reports
    }

    /// What this instance has under way at one upstream.
    pub fn report_of(&self, id: &UpstreamId) -> LoadReport {
        let idle = || LoadReport::idle(UpstreamKey::of(id));
        self.place(id).map_or_else(|_| idle(), |at| self.known[at].report())
    }

    /// Takes in what peers have under way, see [`PeerLoads::hear`].
    pub fn hear(&mut self, now: Time, source: Source, instances: usize, loads: Vec<LoadReport>) {
        self.peers.hear(now, source, instances, loads);
    }

    /// Takes in what peers have under way at one upstream, see [`PeerLoads::hear_change`].
    pub fn hear_change(&mut self, source: &Source, change: LoadReport) {
        self.peers.hear_change(source, change);
    }

    /// Drops reports of peers that count no more.
    pub fn forget_silent(&mut self, now: Time) {
        self.peers.forget(now);
    }

    /// What a collector tells the instance `to`: the sum over all instances but that one, and how many
    /// they are.
    pub fn sum_for(&self, to: &InstanceId) -> (usize, Vec<LoadReport>) {
        let is_receiver = |source: &Source| matches!(source, Source::Peer(id) if id == to);
        self.peers.sum(&self.report(), is_receiver)
    }

    /// What a collector tells other zones: the sum over the instances of its own, and how many they
    /// are.
    pub fn zone_sum(&self) -> (usize, Vec<LoadReport>) {
        self.peers.sum(&self.report(), |source| matches!(source, Source::Zone(_)))
    }

    /// What the other `peers` have under way at an upstream.
    fn others(&self, now: Time, id: &UpstreamId, peers: usize) -> Others {
        let (told, instances) = self.peers.at(now, UpstreamKey::of(id));
        let mut others = Others {
            running: f64::from(told.running),
            unread: f64::from(told.unread),
            urgent: f64::from(told.urgent),
            waiting: f64::from(told.waiting),
        };
        let silent = peers.saturating_sub(1 + instances) as f64;
        if silent > 0.0
            && let Ok(at) = self.place(id)
        {
            others.running += self.known[at].running.average_at(now) * silent;
            others.unread += self.known[at].unread.average_at(now) * silent;
            others.urgent += self.known[at].urgent.average_at(now) * silent;
        }
        others
    }

    /// Whether the engine that was chosen would take the call now: long prompts go to an engine one
    /// after the other, short ones at any time.
    pub fn is_free(&self, now: Time, choice: &Choice, peers: usize) -> bool {
        if !choice.is_long() {
            return true;
        }
        let own = self.place(&choice.id).map_or(0, |at| self.known[at].unread.value);
        own as f64 + self.others(now, &choice.id, peers).unread <= TURN_TOKENS
    }

    /// Counts a call that waits for its turn at `choice`, so that others go elsewhere.
    pub fn waits(&mut self, choice: &Choice) {
        self.entry(&choice.id).waiting += u64::from(choice.unread);
    }

    /// A call waits no longer for its turn.
    pub fn waits_no_longer(&mut self, choice: &Choice) {
        let load = self.entry(&choice.id);
        load.waiting = load.waiting.saturating_sub(u64::from(choice.unread));
    }

    /// Counts a call that goes out to `choice`; `memory` is that of the upstream in tokens.
    pub fn sent(&mut self, now: Time, choice: &Choice, demand: &Demand, memory: u64) {
        let load = self.entry(&choice.id);
        load.running.change(now, load.running.value + 1);
        load.unread.change(now, load.unread.value + u64::from(choice.unread));
        if demand.rank == 0 {
            load.urgent.change(now, load.urgent.value + u64::from(choice.unread));
        }
        for part in demand.parts.iter().rev().skip(1) {
            load.use_part(now, *part);
        }
        load.trim(now, memory);
    }

    /// The first token or the answer of a call came after `took`.
    pub fn answered(&mut self, now: Time, choice: &Choice, took: Duration) {
        let load = self.entry(&choice.id);
        load.was_read(now, choice);
        let predicted = choice.wait.as_secs_f64().max(0.001) / load.slowness;
        let ratio = (took.as_secs_f64() / predicted).clamp(*SLOWNESS.start(), *SLOWNESS.end());
        load.slowness += SMOOTHING * (ratio - load.slowness);
    }

    /// A call ended; `was_read` tells whether [`Loads::answered`] was called for it.
    pub fn ended(&mut self, now: Time, choice: &Choice, was_read: bool) {
        let load = self.entry(&choice.id);
        load.running.change(now, load.running.value.saturating_sub(1));
        if !was_read {
            load.was_read(now, choice);
        }
    }

    /// Forgets what an upstream holds, which has a new incarnation.
    pub fn forget(&mut self, id: &UpstreamId) {
        if let Ok(at) = self.place(id) {
            self.known[at].warm.clear();
            self.known[at].slowness = 1.0;
        }
    }

    /// Calls of this instance that run at the upstream.
    pub fn running(&self, id: &UpstreamId) -> u64 {
        self.place(id).map_or(0, |at| self.known[at].running.value)
    }

    fn place(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.known.binary_search_by(|load| load.id.cmp(id))
    }

    fn entry(&mut self, id: &UpstreamId) -> &mut Load {
        let at = match self.place(id) {
            Ok(at) => at,
            Err(at) => {
                let load = Load {
                    id: id.clone(),
                    running: Averaged::default(),
                    unread: Averaged::default(),
                    urgent: Averaged::default(),
                    waiting: 0,
                    warm: Vec::new(),
                    slowness: 1.0,
                };
                self.known.insert(at, load);
                at
            }
        };
        &mut self.known[at]
    }
}

impl Load {
    fn report(&self) -> LoadReport {
        let count = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
        LoadReport {
            upstream: UpstreamKey::of(&self.id),
            running: count(self.running.value),
            unread: count(self.unread.value),
            urgent: count(self.urgent.value),
            waiting: count(self.waiting),
        }
    }

    /// The prompt of a call was read, or nobody waits for it any more.
    fn was_read(&mut self, now: Time, choice: &Choice) {
        let tokens = u64::from(choice.unread);
        self.unread.change(now, self.unread.value.saturating_sub(tokens));
        if choice.rank == 0 {
            self.urgent.change(now, self.urgent.value.saturating_sub(tokens));
        }
    }

    /// Tokens at the beginning of the prompt that are held.
    fn held(&self, now: Time, parts: &[PromptPart]) -> u32 {
        let is_held = |part: &&PromptPart| {
            let at = self.warm.binary_search_by(|warm| warm.part.cmp(&part.id));
            at.is_ok_and(|at| now - self.warm[at].used < WARM_FOR)
        };
        parts.iter().take_while(is_held).map(|part| part.tokens).sum()
    }

    fn use_part(&mut self, now: Time, part: PromptPart) {
        match self.warm.binary_search_by(|warm| warm.part.cmp(&part.id)) {
            Ok(at) => self.warm[at].used = now,
            Err(at) => {
                let warm = Warm { part: part.id, tokens: part.tokens, used: now };
                self.warm.insert(at, warm);
            }
        }
    }

    /// Drops the parts that the engine no longer holds: the least recently used ones.
    fn trim(&mut self, now: Time, memory: u64) {
        let limit = (memory as f64 * WARM_SHARE) as u64;
        let mut total: u64 = self.warm.iter().map(|warm| u64::from(warm.tokens)).sum();
        while total > limit {
            let oldest = self.warm.iter().enumerate().min_by_key(|(_, warm)| warm.used);
            let Some((at, _)) = oldest else { return };
            total -= u64::from(self.warm.remove(at).tokens);
        }
        self.warm.retain(|warm| now - warm.used < WARM_FOR);
    }
}

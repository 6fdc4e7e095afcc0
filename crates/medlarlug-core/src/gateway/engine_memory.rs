//! Tokens that calls may come to occupy in the memory of each model engine.
//!
//! An engine crashes if the requests that it holds exceed its memory. So each call is booked with
//! all tokens that it may come to hold: its prompt and its longest answer. A part of a prompt that
//! several calls at an engine share is counted once. Instances report their bookings to the others
//! of their region along the plan of the [`load_exchange`](super::load_exchange). A report lists
//! the parts that are most widely shared, so that the bookings of several instances count these
//! once, too; what is not listed counts once for each instance, which errs on the safe side.
//!
//! A peer that no longer reports is assumed to hold what it held: its calls run on at the engines
//! while it is frozen or cut off. The assumption ends after [`ASSUMED_LIFETIME`].
//!
//! Reports take time, so several instances may see the same free room. Each leaves a margin of
//! a margin: a few more calls of the same size, or as many tokens as it has itself booked there within
//! the delay of a report, for each of some other instances. While calls wait at several instances, each instance
//! tries once in [`TRY_INTERVAL`], and with a probability that seldom lets more calls through within
//! the delay of a report than the margin covers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    gateway::{
        fair_share::Standing,
        peer_loads::{ReportSource, UpstreamKey},
        placement::{Candidate, Demand, PromptPart},
    },
    ids::{InstanceId, UpstreamId},
    time::Time,
};

/// Time for which a silent peer is assumed to hold what it last reported: the deadline of calls
/// whose callers state none.
pub const ASSUMED_LIFETIME: Duration = Duration::from_secs(30);
/// Age of a report above which its sender counts as silent: a few report intervals.
const FRESH_LIFETIME: Duration = Duration::from_millis(1_200);
/// Maximum number of parts in the report of one engine: with more, the report of thirty engines
/// would not fit into a datagram.
pub const MAX_REPORTED_PARTS: usize = 3;
/// Parts with fewer tokens are not listed; an entry costs about ten bytes.
const MIN_REPORTED_PART: u32 = 256;
/// Maximum margin, as a share of the memory, so that long calls can run at all.
const MAX_MARGIN_SHARE: f64 = 0.1;
/// Calls that fit into the margin. In trials with a margin of one call, engines held up to 9 % more
/// than their memory.
const MARGIN_CALLS: u64 = 2;
/// Divides the probability of a team over its part while calls wait at other instances, which may be
/// those of teams below theirs. The factor was not measured alone.
const OVER_PART_RELUCTANCE: f64 = 4.0;
/// Time between two tries of an instance to take room for which other instances wait, too.
const TRY_INTERVAL: Duration = Duration::from_millis(12);
/// Mean time between two tries that succeed at an engine with room, as a multiple of
/// [`TRY_INTERVAL`]: about the delay of a report through a collector.
const TRIES_PER_REPORT: f64 = 2.0;
/// Time after the first broken connection in which reports of bookings from before may arrive.
const BREAK_TIME: Duration = Duration::from_millis(300);
/// Share of the memory from which on changes are reported at once. Below, the next full report is
/// early enough.
const TIGHT_SHARE: f64 = 0.25;
/// Share of the memory from which on a single call is reported at once.
const LARGE_CALL_SHARE: f64 = 0.05;
/// Delay of a report through a collector, with the time until it is handled.
const REPORT_DELAY: Duration = Duration::from_millis(40);
/// Number of other instances that are assumed to book as much as this one within the delay of a
/// report. Without this, two instances booked 30,000 tokens at an engine of 20,000 when calls arrived
/// at both at the same moment.
const ASSUMED_RIVALS: usize = 4;

/// Identifies a prompt part in reports by a part of its id, which is shorter. Two parts at the same
/// engine have the same key with a probability of one in four billion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartKey(u32);

impl PartKey {
    /// The key of the part with `id`.
    pub fn new(id: u64) -> PartKey {
        // Ids of parts may be small numbers that differ in any bits.
        PartKey((id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as u32)
    }
}

/// A prompt part that calls hold at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldPart {
    /// Key of the part.
    pub key: PartKey,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// What the calls of one or several instances have booked at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BookingReport {
    /// Key of the engine.
    pub upstream: UpstreamKey,
    /// Booked tokens, without those of `parts`.
    pub tokens: u32,
    /// Instances with calls that wait for room, each counted at one engine only: its calls take room
    /// at any.
    pub waiting: u32,
    /// The most widely shared of the parts that the calls hold.
    pub parts: Vec<HeldPart>,
}

impl BookingReport {
    /// The report of an engine at which nothing is booked.
    pub fn empty(upstream: UpstreamKey) -> BookingReport {
        BookingReport { upstream, tokens: 0, waiting: 0, parts: Vec::new() }
    }

    /// Whether nothing is booked and nothing waits.
    pub fn is_empty(&self) -> bool {
        self.tokens == 0 && self.waiting == 0 && self.parts.is_empty()
    }

    /// All booked tokens.
    pub fn total(&self) -> u64 {
        u64::from(self.tokens) + self.parts.iter().map(|it| u64::from(it.tokens)).sum::<u64>()
    }

    /// The report without its list of parts, whose tokens are then counted as those of one instance.
    pub fn without_parts(&self) -> BookingReport {
        let tokens = u32::try_from(self.total()).unwrap_or(u32::MAX);
        BookingReport { tokens, parts: Vec::new(), ..*self }
    }
}

/// The conditions under which a call tries to take room.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoomTry {
    /// Memory of the engine in tokens.
    pub memory: u64,
    /// Number of instances that send to the engine, this one included.
    pub peers: usize,
    /// Number of engines with room for the call, over which the waiting instances are spread.
    pub engines: usize,
    /// Standing of the call's team at this instance.
    pub standing: Standing,
    /// A random number between 0 and 1.
    pub draw: f64,
}

/// The tokens that one call has booked at an engine; to be released when it ends there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Booking {
    upstream: UpstreamId,
    tokens: u64,
    parts: Vec<HeldPart>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct SharedPart {
    part: HeldPart,
    /// Number of calls that hold it.
    calls: u32,
}

/// Bookings of this instance at one engine.
#[derive(Debug, Clone)]
struct Engine {
    id: UpstreamId,
    memory: u64,
    /// Booked tokens outside of shared parts.
    tokens: u64,
    /// Shared parts, sorted by key.
    parts: Vec<SharedPart>,
    /// Calls of this instance that wait for room.
    waiting: u32,
    /// When more was last booked than the memory holds.
    exceeded_at: Option<Time>,
    /// What was booked when connections to it began to break, and when that was.
    broken: Option<(Time, u64)>,
    /// Tokens of each call that was booked within [`REPORT_DELAY`], and when.
    recent: Vec<(Time, u64)>,
}

#[derive(Debug, Clone)]
struct SourceReport {
    source: ReportSource,
    received_at: Time,
    /// Sorted by engine.
    reports: Vec<BookingReport>,
}

/// Bookings of this instance and its peers at each engine.
///
/// ```
/// use medlarlug_core::{
///     gateway::{engine_memory::EngineMemory, placement::{Demand, PromptPart}},
///     time::Time,
/// };
///
/// let engine = "engine-1".parse().unwrap();
/// let part = |id, tokens| PromptPart { id, tokens };
/// let demand = |call| Demand {
///     parts: vec![part(1, 2_500), part(call, 500)],
///     prompt_tokens: 3_000,
///     output_tokens: 100,
///     priority: 1,
/// };
/// let mut memory = EngineMemory::default();
/// let first = memory.book(Time::ZERO, &engine, 6_000, &demand(7));
/// memory.book(Time::ZERO, &engine, 6_000, &demand(8));
/// assert_eq!(memory.booked(&engine), 2_500 + 2 * 600);
/// memory.release(Time::ZERO, &first);
/// assert_eq!(memory.booked(&engine), 3_100);
/// ```
#[derive(Debug, Clone, Default)]
pub struct EngineMemory {
    /// Sorted by id.
    engines: Vec<Engine>,
    /// Newest report of each source, sorted by source.
    sources: Vec<SourceReport>,
    /// What all peers together have booked, sorted by engine.
    peers: Vec<BookingReport>,
    /// When this instance last tried to take room for which others wait.
    last_try: Option<Time>,
}

/// Tokens of a call outside of the parts that others may share, and these parts.
fn split(demand: &Demand) -> (u64, Vec<HeldPart>) {
    let shared = demand.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let held = |part: &PromptPart| HeldPart { key: PartKey::new(part.id), tokens: part.tokens };
    let mut parts: Vec<HeldPart> = shared.iter().map(held).collect();
    parts.sort_by_key(|it| it.key);
    parts.dedup_by_key(|it| it.key);
    let shared: u64 = parts.iter().map(|it| u64::from(it.tokens)).sum();
    let listed = demand.parts.iter().map(|it| u64::from(it.tokens)).sum();
    let prompt = u64::from(demand.prompt_tokens).max(listed);
    (prompt.saturating_sub(shared) + u64::from(demand.output_tokens), parts)
}

/// Tokens that a call books at an engine where it shares no part with others.
pub fn full_cost(demand: &Demand) -> u64 {
    let (tokens, parts) = split(demand);
    tokens + parts.iter().map(|it| u64::from(it.tokens)).sum::<u64>()
}

/// Sums reports about the same engine, and counts the parts that they list once.
fn merge<'a>(
    upstream: UpstreamKey,
    reports: impl Iterator<Item = &'a BookingReport>,
) -> (BookingReport, Vec<u32>) {
    let mut sum = BookingReport::empty(upstream);
    let mut holders: Vec<u32> = Vec::new();
    for report in reports {
        sum.tokens = sum.tokens.saturating_add(report.tokens);
        sum.waiting = sum.waiting.saturating_add(report.waiting);
        for part in &report.parts {
            match sum.parts.binary_search_by_key(&part.key, |it| it.key) {
                Ok(at) => {
                    sum.parts[at].tokens = sum.parts[at].tokens.max(part.tokens);
                    holders[at] += 1;
                }
                Err(at) => {
                    sum.parts.insert(at, *part);
                    holders.insert(at, 1);
                }
            }
        }
    }
    (sum, holders)
}

/// Limits the parts of a report to those with the most holders, which are most likely held at other
/// instances as well. The tokens of the others are added to those outside of parts.
fn limit_parts(report: BookingReport, holders: &[u32]) -> BookingReport {
    let mut ranked: Vec<(u32, HeldPart)> = holders.iter().copied().zip(report.parts).collect();
    ranked.sort_by_key(|(holders, part)| {
        (part.tokens < MIN_REPORTED_PART, std::cmp::Reverse((*holders, part.tokens)))
    });
    let is_listed =
        |at: usize, part: &HeldPart| at < MAX_REPORTED_PARTS && part.tokens >= MIN_REPORTED_PART;
    let (mut parts, mut tokens) = (Vec::new(), report.tokens);
    for (at, (_, part)) in ranked.into_iter().enumerate() {
        match is_listed(at, &part) {
            true => parts.push(part),
            false => tokens = tokens.saturating_add(part.tokens),
        }
    }
    parts.sort_by_key(|it| it.key);
    BookingReport { tokens, parts, ..report }
}

fn report_in(reports: &[BookingReport], upstream: UpstreamKey) -> Option<&BookingReport> {
    let at = reports.binary_search_by_key(&upstream, |it| it.upstream).ok()?;
    Some(&reports[at])
}

impl EngineMemory {
    /// Books what a call that is sent to an engine may come to hold; `memory` is the engine's memory
    /// in tokens.
    pub fn book(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        memory: u64,
        demand: &Demand,
    ) -> Booking {
        let cost = self.cost_at(upstream, demand);
        let (tokens, parts) = split(demand);
        let engine = self.engine_mut(upstream);
        engine.memory = memory;
        engine.recent.retain(|it| now - it.0 < REPORT_DELAY);
        engine.recent.push((now, cost));
        engine.tokens += tokens;
        for part in &parts {
            engine.hold(*part);
        }
        self.note_excess(now, upstream);
        Booking { upstream: upstream.clone(), tokens, parts }
    }

    /// Releases what a call has booked.
    pub fn release(&mut self, now: Time, booking: &Booking) {
        self.note_excess(now, &booking.upstream);
        let Ok(at) = self.index_of(&booking.upstream) else { return };
        let engine = &mut self.engines[at];
        engine.tokens = engine.tokens.saturating_sub(booking.tokens);
        booking.parts.iter().for_each(|part| engine.drop_part(part.key));
    }

    /// Records that a connection to an engine broke, before what its call had booked is released.
    /// If the engine has crashed, its other connections break as well, and reports of what others
    /// had booked there may still arrive.
    pub fn record_break(&mut self, now: Time, upstream: &UpstreamId) {
        let Ok(at) = self.index_of(upstream) else { return };
        let engine = &mut self.engines[at];
        if engine.broken.is_none_or(|(when, _)| now - when >= BREAK_TIME) {
            engine.broken = Some((now, engine.total()));
        }
    }

    /// Counts a call of this instance that waits for room at an engine.
    pub fn enqueue(&mut self, upstream: &UpstreamId) {
        self.engine_mut(upstream).waiting += 1;
    }

    /// Removes a call that no longer waits for room.
    pub fn dequeue(&mut self, upstream: &UpstreamId) {
        let engine = self.engine_mut(upstream);
        engine.waiting = engine.waiting.saturating_sub(1);
    }

    /// Tokens booked at an engine by this instance and its peers.
    pub fn booked(&self, upstream: &UpstreamId) -> u64 {
        self.booked_with(upstream, &[])
    }

    /// Tokens that a call would add to those booked at an engine.
    pub fn cost_at(&self, upstream: &UpstreamId, demand: &Demand) -> u64 {
        let (tokens, parts) = split(demand);
        tokens + self.booked_with(upstream, &parts) - self.booked(upstream)
    }

    /// The candidates that have room for a call. If none has, those that could hold the call at all
    /// are returned, and true.
    pub fn with_room<'a>(
        &self,
        now: Time,
        demand: &Demand,
        candidates: &[Candidate<'a>],
        peers: usize,
    ) -> (Vec<Candidate<'a>>, bool) {
        let parts = split(demand);
        let is_plain = |it: &Candidate| it.memory_tokens == 0;
        let has_room = |it: &&Candidate| {
            is_plain(it) || self.free_calls(now, it.id, it.memory_tokens, &parts, peers) > 0
        };
        let roomy: Vec<Candidate> = candidates.iter().filter(has_room).copied().collect();
        if !roomy.is_empty() {
            return (roomy, false);
        }
        let cost = full_cost(demand);
        let can_hold = |it: &&Candidate| cost <= it.memory_tokens;
        (candidates.iter().filter(can_hold).copied().collect(), true)
    }

    /// How many calls of this size fit into the room that an engine has left. The margin for what
    /// other instances send meanwhile is not counted as room. The tokens and parts of the call are
    /// those of [`split`].
    fn free_calls(
        &self,
        now: Time,
        id: &UpstreamId,
        memory: u64,
        (tokens, parts): &(u64, Vec<HeldPart>),
        peers: usize,
    ) -> u64 {
        let booked = self.booked(id);
        let cost = tokens + self.booked_with(id, parts) - booked;
        if booked == 0 {
            return u64::from(cost <= memory);
        }
        let limit = (memory as f64 * MAX_MARGIN_SHARE) as u64;
        let others = peers.saturating_sub(1).min(ASSUMED_RIVALS) as u64;
        let unreported = others * self.recent_tokens(now, id);
        let margin = if others > 0 { (MARGIN_CALLS * cost).min(limit).max(unreported) } else { 0 };
        memory.saturating_sub(margin).saturating_sub(booked) / cost.max(1)
    }

    /// Whether a call takes the room that an engine has for it now. If calls wait at other instances
    /// as well, it does so with a probability that depends on their number.
    pub fn may_take(
        &mut self,
        now: Time,
        id: &UpstreamId,
        demand: &Demand,
        conditions: RoomTry,
    ) -> bool {
        let RoomTry { memory, peers, engines, standing, draw } = conditions;
        let free = self.free_calls(now, id, memory, &split(demand), peers);
        let rivals: u32 = self.peers.iter().map(|it| it.waiting).sum();
        if u64::from(rivals) * MARGIN_CALLS < free {
            return true;
        }
        if free == 0 || self.last_try.is_some_and(|it| now - it < TRY_INTERVAL) {
            return false;
        }
        self.last_try = Some(now);
        let reluctance = if standing == Standing::Over { OVER_PART_RELUCTANCE } else { 1.0 };
        draw * TRIES_PER_REPORT * reluctance * f64::from(rivals) < engines.max(1) as f64
    }

    /// Whether other instances have to know at once that `booking` begins or ends: much of the
    /// engine's memory is booked, or the call is large.
    pub fn is_urgent(&self, booking: &Booking) -> bool {
        let upstream = &booking.upstream;
        let memory = self.index_of(upstream).map_or(0, |at| self.engines[at].memory) as f64;
        self.booked(upstream) as f64 > memory * TIGHT_SHARE
            || booking.tokens as f64 > memory * LARGE_CALL_SHARE
    }

    /// Tokens that this instance has booked at an engine within the delay of a report.
    fn recent_tokens(&self, now: Time, id: &UpstreamId) -> u64 {
        let Ok(at) = self.index_of(id) else { return 0 };
        let recent = self.engines[at].recent.iter().filter(|it| now - it.0 < REPORT_DELAY);
        recent.map(|it| it.1).sum()
    }

    /// Whether more was booked at an engine than its memory holds, at some time after `since`.
    pub fn has_exceeded(&self, upstream: &UpstreamId, since: Time) -> bool {
        let Ok(at) = self.index_of(upstream) else { return false };
        let engine = &self.engines[at];
        engine.exceeded_at.is_some_and(|it| it >= since) || self.booked(upstream) > engine.memory
    }

    /// The bookings of this instance, to be reported to its peers, sorted by engine.
    pub fn report(&self) -> Vec<BookingReport> {
        let first_waiting = self.first_waiting();
        let report = |it: &Engine| it.report(first_waiting == Some(&it.id));
        let reports = self.engines.iter().map(report).filter(|it| !it.is_empty());
        let mut reports: Vec<BookingReport> = reports.collect();
        reports.sort_by_key(|it| it.upstream);
        reports
    }

    /// The bookings of this instance at one engine.
    pub fn report_of(&self, id: &UpstreamId) -> BookingReport {
        let empty = || BookingReport::empty(UpstreamKey::new(id));
        let is_waiting = self.first_waiting() == Some(id);
        self.index_of(id).map_or_else(|_| empty(), |at| self.engines[at].report(is_waiting))
    }

    /// The engine at which this instance reports that it has waiting calls.
    fn first_waiting(&self) -> Option<&UpstreamId> {
        self.engines.iter().find(|it| it.waiting > 0).map(|it| &it.id)
    }

    /// Applies a full report of peers. An aggregate of a collector covers all other instances, so it
    /// replaces all other reports once they are no longer fresh, and the other way round.
    pub fn apply_report(&mut self, now: Time, source: ReportSource, reports: Vec<BookingReport>) {
        let is_aggregate = source == ReportSource::Collector;
        let is_kept = |it: &SourceReport| {
            let is_same_kind = (it.source == ReportSource::Collector) == is_aggregate;
            let lifetime = if is_same_kind { ASSUMED_LIFETIME } else { FRESH_LIFETIME };
            now - it.received_at < lifetime
        };
        self.retain(now, is_kept);
        let new = SourceReport { source, received_at: now, reports };
        let mut changed: Vec<UpstreamKey> = new.reports.iter().map(|it| it.upstream).collect();
        match self.sources.binary_search_by(|it| it.source.cmp(&new.source)) {
            Ok(at) => {
                let old = std::mem::replace(&mut self.sources[at], new);
                changed.extend(old.reports.iter().map(|it| it.upstream));
            }
            Err(at) => self.sources.insert(at, new),
        }
        self.update_peers(now, changed);
    }

    /// Applies the bookings of a source at one engine. A source without a full report counts as well:
    /// instances send none while they have booked nothing.
    pub fn apply_change(&mut self, now: Time, source: &ReportSource, change: BookingReport) {
        let at = self.sources.binary_search_by(|it| it.source.cmp(source)).unwrap_or_else(|at| {
            let source = source.clone();
            self.sources.insert(at, SourceReport { source, received_at: now, reports: Vec::new() });
            at
        });
        let upstream = change.upstream;
        let reports = &mut self.sources[at].reports;
        match reports.binary_search_by_key(&upstream, |it| it.upstream) {
            Ok(at) => reports[at] = change,
            Err(at) => reports.insert(at, change),
        }
        self.update_peers(now, vec![upstream]);
    }

    /// Forgets what peers held that have been silent for [`ASSUMED_LIFETIME`].
    pub fn drop_expired(&mut self, now: Time) {
        self.retain(now, |it| now - it.received_at < ASSUMED_LIFETIME);
    }

    /// The aggregate that a collector sends to the instance `to`: the sum over all instances but that
    /// one, at all engines or at those in `only`.
    pub fn aggregate_for(
        &self,
        to: &InstanceId,
        only: Option<&[UpstreamKey]>,
    ) -> Vec<BookingReport> {
        let is_receiver =
            |source: &ReportSource| matches!(source, ReportSource::Peer(id) if id == to);
        self.aggregate(only, is_receiver)
    }

    /// The aggregate that a collector sends to other zones: the sum over the instances of its own
    /// zone.
    pub fn zone_aggregate(&self, only: Option<&[UpstreamKey]>) -> Vec<BookingReport> {
        self.aggregate(only, |source| matches!(source, ReportSource::Zone(_)))
    }

    fn aggregate(
        &self,
        only: Option<&[UpstreamKey]>,
        is_excluded: impl Fn(&ReportSource) -> bool,
    ) -> Vec<BookingReport> {
        let own = self.report();
        let included: Vec<&[BookingReport]> = self
            .sources
            .iter()
            .filter(|it| it.source != ReportSource::Collector && !is_excluded(&it.source))
            .map(|it| &it.reports[..])
            .chain([&own[..]])
            .collect();
        let mut upstreams: Vec<UpstreamKey> = match only {
            Some(only) => only.to_vec(),
            None => included.iter().flat_map(|it| it.iter().map(|it| it.upstream)).collect(),
        };
        upstreams.sort();
        upstreams.dedup();
        let sums = upstreams.into_iter().map(|upstream| {
            let reports = included.iter().filter_map(|it| report_in(it, upstream));
            let (sum, holders) = merge(upstream, reports);
            limit_parts(sum, &holders)
        });
        // A change to nothing has to be told, too.
        sums.filter(|it| only.is_some() || !it.is_empty()).collect()
    }

    fn retain(&mut self, now: Time, keep: impl Fn(&SourceReport) -> bool) {
        if self.sources.iter().all(&keep) {
            return;
        }
        let (kept, dropped): (Vec<SourceReport>, Vec<SourceReport>) =
            std::mem::take(&mut self.sources).into_iter().partition(keep);
        self.sources = kept;
        let reports = dropped.iter().flat_map(|it| &it.reports);
        self.update_peers(now, reports.map(|it| it.upstream).collect());
    }

    /// Computes what the peers have booked at the given engines. While reports of instances and an
    /// aggregate of all of them are known, the one with more tokens counts.
    fn update_peers(&mut self, now: Time, mut changed: Vec<UpstreamKey>) {
        changed.sort();
        changed.dedup();
        for upstream in &changed {
            let of = |is_aggregate: bool| {
                let sources = self
                    .sources
                    .iter()
                    .filter(move |it| (it.source == ReportSource::Collector) == is_aggregate);
                merge(*upstream, sources.filter_map(|it| report_in(&it.reports, *upstream))).0
            };
            let (single, aggregate) = (of(false), of(true));
            let sum = if aggregate.total() > single.total() { aggregate } else { single };
            match (self.peers.binary_search_by_key(upstream, |it| it.upstream), sum.is_empty()) {
                (Ok(at), false) => self.peers[at] = sum,
                (Ok(at), true) => drop(self.peers.remove(at)),
                (Err(at), false) => self.peers.insert(at, sum),
                (Err(_), true) => {}
            }
        }
        let is_changed = |it: &Engine| changed.binary_search(&UpstreamKey::new(&it.id)).is_ok();
        let own: Vec<UpstreamId> = self
            .engines
            .iter()
            .filter(|it| (it.tokens > 0 || it.broken.is_some()) && is_changed(it))
            .map(|it| it.id.clone())
            .collect();
        own.iter().for_each(|id| self.note_excess(now, id));
    }

    /// Tokens booked at an engine if its calls held `more` parts.
    fn booked_with(&self, upstream: &UpstreamId, more: &[HeldPart]) -> u64 {
        let engine = self.index_of(upstream).ok().map(|at| &self.engines[at]);
        let peers = report_in(&self.peers, UpstreamKey::new(upstream));
        let is_own = |key: PartKey| {
            engine.is_some_and(|it| it.parts.binary_search_by_key(&key, |it| it.part.key).is_ok())
        };
        let own = engine.map_or(0, Engine::total);
        let outside = peers.map_or(0, |it| u64::from(it.tokens));
        let reported = peers.map_or(&[][..], |it| &it.parts);
        let at_peers = reported.iter().filter(|it| !is_own(it.key));
        let added = more.iter().filter(|it| {
            !is_own(it.key) && reported.binary_search_by_key(&it.key, |it| it.key).is_err()
        });
        own + outside + at_peers.chain(added).map(|it| u64::from(it.tokens)).sum::<u64>()
    }

    fn note_excess(&mut self, now: Time, upstream: &UpstreamId) {
        let booked = self.booked(upstream);
        let Ok(at) = self.index_of(upstream) else { return };
        let engine = &mut self.engines[at];
        let broken = engine.broken.filter(|(when, _)| now - *when < BREAK_TIME);
        let released = broken.map_or(0, |(_, before)| before.saturating_sub(engine.total()));
        if booked + released > engine.memory {
            engine.exceeded_at = Some(now);
        }
    }

    fn index_of(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.engines.binary_search_by(|it| it.id.cmp(id))
    }

    fn engine_mut(&mut self, id: &UpstreamId) -> &mut Engine {
        let at = self.index_of(id).unwrap_or_else(|at| {
            let engine = Engine {
                id: id.clone(),
                memory: 0,
                tokens: 0,
                parts: Vec::new(),
                waiting: 0,
                exceeded_at: None,
                broken: None,
                recent: Vec::new(),
            };
            self.engines.insert(at, engine);
            at
        });
        &mut self.engines[at]
    }
}

impl Engine {
    fn total(&self) -> u64 {
        self.tokens + self.parts.iter().map(|it| u64::from(it.part.tokens)).sum::<u64>()
    }

    fn report(&self, is_waiting: bool) -> BookingReport {
        let report = BookingReport {
            upstream: UpstreamKey::new(&self.id),
            tokens: u32::try_from(self.tokens).unwrap_or(u32::MAX),
            waiting: u32::from(is_waiting),
            parts: self.parts.iter().map(|it| it.part).collect(),
        };
        let holders: Vec<u32> = self.parts.iter().map(|it| it.calls).collect();
        limit_parts(report, &holders)
    }

    fn hold(&mut self, part: HeldPart) {
        match self.parts.binary_search_by_key(&part.key, |it| it.part.key) {
            Ok(at) => self.parts[at].calls += 1,
            Err(at) => self.parts.insert(at, SharedPart { part, calls: 1 }),
        }
    }

    fn drop_part(&mut self, key: PartKey) {
        let Ok(at) = self.parts.binary_search_by_key(&key, |it| it.part.key) else { return };
        self.parts[at].calls -= 1;
        if self.parts[at].calls == 0 {
            self.parts.remove(at);
        }
    }
}

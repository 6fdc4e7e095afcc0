//! One team's token bucket at one instance.

use std::{collections::VecDeque, time::Duration};

use crate::{
    limits::{BASE_WEIGHT, DemandLevel, TeamKey, TeamLimit},
    time::Time,
};

/// Time constant of the exponential mean that measures demand. With a shorter one, a team that sends a
/// request every few seconds would cause a report for each.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(8);
/// Rise of the demand, in levels, that is reported: a doubling.
const MIN_REPORTED_RISE_LEVELS: u8 = 2;
/// Fall of the demand, in levels, that is reported: to a quarter. Until peers know of it, their shares are
/// smaller than they could be.
const MIN_REPORTED_FALL_LEVELS: u8 = 4;
/// Demand, as a multiple of the base weight of every instance, from which it is reported.
const MIN_REPORTED_DEMAND: f64 = 2.0;
/// Demand, as a multiple of the base weight, below which a reported demand counts as ended.
const MIN_CONTINUED_DEMAND: f64 = 0.5;

/// A token bucket whose rate and size are a share of the team's rate and burst.
#[derive(Debug, Clone)]
pub(super) struct Bucket {
    pub limit: TeamLimit,
    pub key: TeamKey,
    share: f64,
    tokens: f64,
    filled_at: Time,
    arrivals: u32,
    demand: f64,
    /// Whether a request was refused since the last heartbeat.
    refused: bool,
    /// Levels that were reported, and when, oldest first; the last one is the current one.
    reported: VecDeque<(Time, DemandLevel)>,
    /// Sequence number of the last report that listed a change, or 0.
    last_change: u64,
    /// Sequence number of the last report that listed a rise, or 0.
    last_rise: u64,
}

impl Bucket {
    /// Creates a bucket that is filled up to `share`.
    pub fn new(now: Time, limit: TeamLimit, share: f64) -> Bucket {
        let key = TeamKey::of(&limit.team);
        let mut bucket = Bucket {
            limit,
            key,
            share,
            tokens: 0.0,
            filled_at: now,
            arrivals: 0,
            demand: 0.0,
            refused: false,
            reported: VecDeque::new(),
            last_change: 0,
            last_rise: 0,
        };
        bucket.tokens = bucket.capacity();
        bucket
    }

    /// Rate of the team in the region, in requests a second.
    pub fn rate(&self) -> f64 {
        self.limit.rate.get()
    }

    /// Share of the team's rate and burst that this instance uses.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Capacity in tokens: the share of the burst, but at least one.
    fn capacity(&self) -> f64 {
        (self.share * f64::from(self.limit.burst.0)).max(1.0)
    }

    /// Refills the bucket up to `now` with the old share, then sets the new one. Tokens above the new
    /// capacity are dropped by the next refill.
    pub fn set_share(&mut self, now: Time, share: f64) {
        self.refill(now);
        self.share = share;
    }

    fn refill(&mut self, now: Time) {
        let seconds = (now - self.filled_at).as_secs_f64();
        let filled = self.tokens + seconds * self.share * self.rate();
        self.tokens = filled.min(self.capacity());
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes a token; fails with the time until one is available.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
        self.arrivals = self.arrivals.saturating_add(1);
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        self.refused = true;
        let seconds = (1.0 - self.tokens) / (self.share * self.rate());
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Ends a heartbeat interval; returns whether the demand has to be reported.
    ///
    /// A rise that the current share covers is not reported: most teams stay far below their limits.
    pub fn end_interval(&mut self, now: Time, interval: Duration) -> bool {
        self.refill(now);
        let needs_tokens = std::mem::take(&mut self.refused) || self.is_running_low();
        if !interval.is_zero() {
            let sample = f64::from(self.arrivals) / interval.as_secs_f64();
            self.arrivals = 0;
            let weight = 1.0 - (-interval.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
            self.demand += weight * (sample - self.demand);
        }
        let (level, reported) = (self.level(), self.reported());
        let has_ended = level == DemandLevel(0) && reported > level;
        let has_fallen = level.0 + MIN_REPORTED_FALL_LEVELS <= reported.0;
        let has_risen = level.0 >= reported.0 + MIN_REPORTED_RISE_LEVELS;
        has_ended || has_fallen || (has_risen && needs_tokens)
    }

    fn is_running_low(&self) -> bool {
        self.capacity() >= 2.0 && self.tokens < self.capacity() / 2.0
    }

    /// The measured demand.
    pub fn level(&self) -> DemandLevel {
        let is_reported = self.reported() > DemandLevel(0);
        let threshold = if is_reported { MIN_CONTINUED_DEMAND } else { MIN_REPORTED_DEMAND };
        if self.demand < threshold * BASE_WEIGHT * self.rate() {
            return DemandLevel(0);
        }
        DemandLevel::of(self.demand)
    }

    /// The demand that was reported last.
    pub fn reported(&self) -> DemandLevel {
        self.reported.back().map_or(DemandLevel(0), |it| it.1)
    }

    /// Sequence number of the last report that listed a change, or 0.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Sequence number of the last report that listed a rise, or 0.
    pub fn last_rise(&self) -> u64 {
        self.last_rise
    }

    /// Records that the report `sequence` lists the measured level.
    pub fn record_report(&mut self, now: Time, sequence: u64) {
        if self.level() > self.reported() {
            self.last_rise = sequence;
        }
        self.reported.push_back((now, self.level()));
        self.last_change = sequence;
    }

    /// Drops the reported levels that were replaced by `since`; returns whether there were any.
    pub fn drop_reports_before(&mut self, since: Time) -> bool {
        let count = self.reported.len();
        while self.reported.get(1).is_some_and(|it| it.0 <= since) {
            self.reported.pop_front();
        }
        self.reported.len() < count
    }

    /// The lowest reported level at any time from `since` on; level 0 if nothing had been reported by then.
    pub fn lowest_reported(&self, since: Time) -> DemandLevel {
        let began_within = self.reported.front().is_none_or(|it| it.0 > since);
        if began_within {
            return DemandLevel(0);
        }
        let is_before = |it: &&(Time, DemandLevel)| it.0 <= since;
        let first = self.reported.iter().take_while(is_before).count() - 1;
        self.reported.iter().skip(first).map(|it| it.1).min().unwrap_or_default()
    }

    /// Forgets the reported levels: after a stall, peers may no longer have them.
    pub fn reset_reports(&mut self) {
        self.reported.clear();
    }
}

//! One team's token bucket at one instance.

use std::{collections::VecDeque, time::Duration};

use crate::{
    limits::{BASE_WEIGHT, DemandLevel, TeamKey, TeamLimit},
    time::Time,
};

/// Time constant of the mean over which demand is measured. A shorter one follows single requests of
/// teams that send one in some seconds, and reports each.
const DEMAND_TIME: Duration = Duration::from_secs(8);
/// Rise of the demand, in levels, that is worth a report: a doubling.
const REPORTED_RISE: u8 = 2;
/// Fall of the demand, in levels, that is worth a report: to a quarter. It is told for the sake of
/// the others, whose shares are too small until then.
const REPORTED_FALL: u8 = 4;
/// Demand, as a multiple of the weight that every instance has, from which on it is reported.
const LEAST_DEMAND: f64 = 2.0;
/// The same multiple below which a demand that was reported has ended.
const ENDED_DEMAND: f64 = 0.5;

/// A token bucket whose rate and size are a share of the team's.
#[derive(Debug, Clone)]
pub(super) struct Bucket {
    pub limit: TeamLimit,
    pub key: TeamKey,
    share: f64,
    tokens: f64,
    filled: Time,
    arrivals: u32,
    demand: f64,
    /// Whether a request was refused since the last heartbeat.
    refused: bool,
    /// Levels that were reported, and when; the last one is in force.
    reported: VecDeque<(Time, DemandLevel)>,
    /// Number of the last report that told a change.
    told: u64,
    /// Number of the last report that told a rise.
    risen: u64,
}

impl Bucket {
    /// A bucket filled up to its share.
    pub fn new(now: Time, limit: TeamLimit, share: f64) -> Bucket {
        let key = TeamKey::of(&limit.team);
        let mut bucket = Bucket {
            limit,
            key,
            share,
            tokens: 0.0,
            filled: now,
            arrivals: 0,
            demand: 0.0,
            refused: false,
            reported: VecDeque::new(),
            told: 0,
            risen: 0,
        };
        bucket.tokens = bucket.size();
        bucket
    }

    /// Rate of the team in the region, in requests a second.
    pub fn rate(&self) -> f64 {
        self.limit.rate.get()
    }

    /// Share of the team's rate and burst.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Tokens that fit in: the share of the burst, one at least.
    fn size(&self) -> f64 {
        (self.share * f64::from(self.limit.burst.0)).max(1.0)
    }

    /// Fills up to `now` by the share so far, then sets the share; the next filling spills what is
    /// too much for it.
    pub fn set_share(&mut self, now: Time, share: f64) {
        self.fill(now);
        self.share = share;
    }

    fn fill(&mut self, now: Time) {
        let seconds = (now - self.filled).as_secs_f64();
        let filled = self.tokens + seconds * self.share * self.rate();
        self.tokens = filled.min(self.size());
        self.filled = self.filled.max(now);
    }

    /// Takes a token, or tells how long until there is one.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
        self.arrivals = self.arrivals.saturating_add(1);
        self.fill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        self.refused = true;
        let seconds = (1.0 - self.tokens) / (self.share * self.rate());
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Ends a heartbeat interval; tells whether the demand is worth a report.
    ///
    /// A demand that the share covers is not: most teams stay far below their limits.
    pub fn measure(&mut self, now: Time, interval: Duration) -> bool {
        self.fill(now);
        let is_short = std::mem::take(&mut self.refused) || self.is_running_low();
        if !interval.is_zero() {
            let sample = f64::from(self.arrivals) / interval.as_secs_f64();
            self.arrivals = 0;
            let weight = 1.0 - (-interval.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp();
            self.demand += weight * (sample - self.demand);
        }
        let (level, told) = (self.level(), self.reported());
        let has_ended = level == DemandLevel(0) && told > level;
        let has_fallen = level.0 + REPORTED_FALL <= told.0;
        let has_risen = level.0 >= told.0 + REPORTED_RISE;
        has_ended || has_fallen || (has_risen && is_short)
    }

    fn is_running_low(&self) -> bool {
        self.size() >= 2.0 && self.tokens < self.size() / 2.0
    }

    /// The demand as measured.
    pub fn level(&self) -> DemandLevel {
        let is_told = self.reported() > DemandLevel(0);
        let least = if is_told { ENDED_DEMAND } else { LEAST_DEMAND };
        if self.demand < least * BASE_WEIGHT * self.rate() {
            return DemandLevel(0);
        }
        DemandLevel::of(self.demand)
    }

    /// The demand as reported last.
    pub fn reported(&self) -> DemandLevel {
        self.reported.back().map_or(DemandLevel(0), |it| it.1)
    }

    /// Number of the last report that told a change, or 0.
    pub fn told(&self) -> u64 {
        self.told
    }

    /// Number of the last report that told a rise, or 0.
    pub fn risen(&self) -> u64 {
        self.risen
    }

    /// Notes that the present level goes into a report.
    pub fn report(&mut self, now: Time, sequence: u64) {
        if self.level() > self.reported() {
            self.risen = sequence;
        }
        self.reported.push_back((now, self.level()));
        self.told = sequence;
    }

    /// Drops the reports before the one that was in force at `since`; tells whether there were
    /// any.
    pub fn forget(&mut self, since: Time) -> bool {
        let count = self.reported.len();
        while self.reported.get(1).is_some_and(|it| it.0 <= since) {
            self.reported.pop_front();
        }
        self.reported.len() < count
    }

    /// The lowest level that was in force at any time from `since` on.
    pub fn lowest(&self, since: Time) -> DemandLevel {
        let began_within = self.reported.front().is_none_or(|it| it.0 > since);
        if began_within {
            return DemandLevel(0);
        }
        let is_before = |it: &&(Time, DemandLevel)| it.0 <= since;
        let first = self.reported.iter().take_while(is_before).count() - 1;
        self.reported.iter().skip(first).map(|it| it.1).min().unwrap_or_default()
    }

    /// Forgets what was reported, because no peer can know it any more.
    pub fn reset_reports(&mut self) {
        self.reported.clear();
    }
}

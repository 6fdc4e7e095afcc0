//! One instance's shares of every team's limit.

use std::time::Duration;

use crate::{
    ids::{Incarnation, InstanceId, TeamId},
    limits::{
        BASE_WEIGHT, DemandEntry, DemandLevel, DemandReport, Effect, Event, INITIAL_SHARE,
        LimitPolicy, REPORTS_PER_CHANGE, TeamKey, TeamLimit,
        bucket::Bucket,
        peers::{Change, Peers},
    },
    refusal::{Reason, Refusal, RetryJitter},
    time::Time,
};

/// The limits of all teams at one entry instance.
///
/// ```
/// use medlarlug_core::{
///     limits::{Event, LimitPolicy, RateLimiter, TeamLimit},
///     time::Time,
/// };
///
/// let mut limits = RateLimiter::new("entry-1".parse().unwrap(), Default::default(), LimitPolicy::default());
/// let (rate, burst) = ("10/s".parse().unwrap(), "16".parse().unwrap());
/// let team: medlarlug_core::ids::TeamId = "survey".parse().unwrap();
/// let limit = TeamLimit { team: team.clone(), rate, burst };
/// limits.handle(Time::ZERO, Event::Configured(vec![limit]), &mut Vec::new());
/// // Until its reports are settled, an instance has an eighth of the burst.
/// assert!(limits.admit(Time::ZERO, &team).is_ok());
/// assert!(limits.admit(Time::ZERO, &team).is_ok());
/// assert!(limits.admit(Time::ZERO, &team).is_err());
/// ```
#[derive(Debug, Clone)]
pub struct RateLimiter {
    id: InstanceId,
    incarnation: Incarnation,
    policy: LimitPolicy,
    buckets: Vec<Bucket>,
    /// Places of the buckets, sorted by the teams' keys.
    keys: Vec<(TeamKey, usize)>,
    peers: Peers,
    sequence: u64,
    joined: Option<Time>,
    beat: Option<Time>,
    /// When the last report was sent.
    sent: Option<Time>,
    /// Heartbeats that still bring a report though nothing has changed, for a peer that is new.
    greetings: u64,
    settled: bool,
    cursor: usize,
    full_due: bool,
    base: u64,
    spread: RetryJitter,
}

impl RateLimiter {
    /// An instance that has reported nothing and heard nobody.
    pub fn new(id: InstanceId, incarnation: Incarnation, policy: LimitPolicy) -> RateLimiter {
        RateLimiter {
            id,
            incarnation,
            spread: RetryJitter::new(policy.seed),
            policy,
            buckets: Vec::new(),
            keys: Vec::new(),
            peers: Peers::default(),
            sequence: 0,
            joined: None,
            beat: None,
            sent: None,
            greetings: 0,
            settled: false,
            cursor: 0,
            full_due: true,
            base: 0,
        }
    }

    /// Whether every live peer counts this instance, so that it uses its full share.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Entry instances among which the limits are divided, this one included.
    pub fn instances(&self) -> usize {
        self.peers.len() + 1
    }

    /// The share of the team's limit that this instance has.
    pub fn share(&self, team: &TeamId) -> Option<f64> {
        Some(self.buckets[self.find(team).ok()?].share())
    }

    /// Admits one request of `team`, or refuses it as rate limited.
    pub fn admit(&mut self, now: Time, team: &TeamId) -> Result<(), Refusal> {
        self.check_beat(now);
        let Ok(found) = self.find(team) else {
            let reason = match self.buckets.is_empty() {
                true => Reason::NoConfiguration,
                false => Reason::NotPermitted,
            };
            return Err(self.spread.refuse(reason, Duration::ZERO));
        };
        let taken = self.buckets[found].take(now);
        taken.map_err(|wait| self.spread.refuse(Reason::RateLimited, wait))
    }

    /// Feeds one event in.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Configured(limits) => self.configure(now, limits),
            Event::Heartbeat => self.heartbeat(now, out),
            Event::ReportReceived { report, age } => self.hear(now, age, &report, out),
            Event::PeerStopped(id) => self.drop_peer(now, &id),
            Event::ResyncRequested(to) => out.push(Effect::Send { to, report: self.full_report() }),
        }
    }

    fn find(&self, team: &TeamId) -> Result<usize, usize> {
        self.buckets.binary_search_by(|it| it.limit.team.cmp(team))
    }

    fn configure(&mut self, now: Time, limits: Vec<TeamLimit>) {
        let mut old = std::mem::take(&mut self.buckets);
        for limit in limits {
            let known = old.binary_search_by(|it| it.limit.team.cmp(&limit.team));
            let bucket = match known {
                Ok(found) => {
                    let mut bucket = old.remove(found);
                    bucket.set_share(now, bucket.share());
                    bucket.limit = limit;
                    bucket
                }
                Err(_) => {
                    let mut bucket = Bucket::new(now, limit, INITIAL_SHARE);
                    let share = self.compute_share(now, &bucket);
                    bucket.set_share(now, share.min(INITIAL_SHARE));
                    bucket
                }
            };
            self.buckets.push(bucket);
        }
        self.buckets.sort_by(|a, b| a.limit.team.cmp(&b.limit.team));
        let keys = self.buckets.iter().enumerate().map(|(place, it)| (it.key, place));
        self.keys = keys.collect();
        self.keys.sort_unstable();
        // A team that was withdrawn has no demand any more, which only a full report tells.
        self.full_due |= old.iter().any(|it| it.reported() > DemandLevel(0));
        self.share_all(now);
    }

    fn heartbeat(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.check_beat(now);
        let joined = *self.joined.get_or_insert(now);
        let interval = now - self.beat.unwrap_or(now);
        self.beat = Some(now);
        self.peers.drop_silent(now.saturating_sub(self.policy.peer_lifetime));
        self.settled = now - joined >= self.policy.settle_time;
        if let Some(report) = self.report(now, interval) {
            out.push(Effect::Broadcast(report));
        }
        self.share_all(now);
    }

    /// An instance that stood still for the settle time knows too little of its peers, and may
    /// have been dropped by them: it joins anew.
    fn check_beat(&mut self, now: Time) {
        let is_silent = self.beat.is_some_and(|beat| now - beat >= self.policy.settle_time);
        if !is_silent {
            return;
        }
        self.joined = None;
        self.beat = None;
        self.settled = false;
        self.full_due = true;
        self.buckets.iter_mut().for_each(Bucket::reset_reports);
        self.share_all(now);
    }

    /// The next report; `None` when it would tell no rise and the last one is young enough for peers
    /// to go on counting with it. A fall waits for the next report, as peers that don't know of it
    /// count this instance for more than it counts itself.
    ///
    /// Only reports that are sent have a number, so that a skipped one is no gap.
    fn report(&mut self, now: Time, interval: Duration) -> Option<DemandReport> {
        self.sequence += 1;
        let full = std::mem::take(&mut self.full_due);
        if full {
            self.base = self.sequence;
        }
        self.measure(now, interval, full);
        let since = self.sequence.saturating_sub(REPORTS_PER_CHANGE - 1).max(1);
        let is_told = |it: &Bucket| it.told() >= since;
        let is_old = self.sent.is_none_or(|sent| now - sent >= self.policy.refresh_interval);
        let is_due = is_old || !self.settled || self.greetings > 0;
        self.greetings = self.greetings.saturating_sub(1);
        let has_rise = self.buckets.iter().any(|it| it.risen() >= since);
        if !full && !is_due && !has_rise {
            self.sequence -= 1;
            return None;
        }
        self.sent = Some(now);
        Some(self.report_of(is_told))
    }

    /// Measures every team's demand and notes which ones the next report tells.
    fn measure(&mut self, now: Time, interval: Duration, full: bool) {
        let count = self.buckets.len();
        // A report has room for the changes of several.
        let mut room =
            if full { count } else { self.policy.max_entries / REPORTS_PER_CHANGE as usize };
        for step in 0..count {
            let bucket = &mut self.buckets[(self.cursor + step) % count];
            let is_due = bucket.measure(now, interval) || (full && bucket.level() > DemandLevel(0));
            if is_due && room > 0 {
                bucket.report(now, self.sequence);
                room -= 1;
            }
        }
        self.cursor = (self.cursor + self.policy.max_entries) % count.max(1);
    }

    fn full_report(&self) -> DemandReport {
        let report = self.report_of(|it| it.reported() > DemandLevel(0));
        DemandReport { base: self.sequence, ..report }
    }

    fn report_of(&self, is_listed: impl Fn(&Bucket) -> bool) -> DemandReport {
        let listed = self.buckets.iter().filter(|it| is_listed(it));
        let entry = |it: &Bucket| DemandEntry { team: it.key, level: it.reported() };
        let mut entries: Vec<DemandEntry> = listed.map(entry).collect();
        entries.sort_by_key(|it| it.team);
        DemandReport {
            from: self.id.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            base: self.base,
            entries,
        }
    }

    fn hear(&mut self, now: Time, age: Duration, report: &DemandReport, out: &mut Vec<Effect>) {
        if report.from == self.id || age >= self.policy.peer_lifetime {
            return;
        }
        match self.peers.hear(now.saturating_sub(age), report) {
            Change::None => {}
            Change::Entries => self.share_listed(now, &report.entries),
            Change::Everything { resync } => {
                self.greetings = REPORTS_PER_CHANGE;
                if resync {
                    out.push(Effect::RequestResync(report.from.clone()));
                }
                self.share_all(now);
            }
        }
    }

    fn drop_peer(&mut self, now: Time, id: &InstanceId) {
        if self.peers.drop_peer(id) {
            self.share_all(now);
        }
    }

    fn share_all(&mut self, now: Time) {
        for place in 0..self.buckets.len() {
            self.share_one(now, place);
        }
    }

    fn share_listed(&mut self, now: Time, entries: &[DemandEntry]) {
        for entry in entries {
            let first = self.keys.partition_point(|it| it.0 < entry.team);
            let last = self.keys.partition_point(|it| it.0 <= entry.team);
            for index in first..last {
                self.share_one(now, self.keys[index].1);
            }
        }
    }

    fn share_one(&mut self, now: Time, place: usize) {
        let since = now.saturating_sub(self.policy.settle_time);
        self.buckets[place].forget(since);
        let share = self.compute_share(now, &self.buckets[place]);
        self.buckets[place].set_share(now, share);
    }

    fn compute_share(&self, now: Time, bucket: &Bucket) -> f64 {
        if !self.settled {
            return INITIAL_SHARE.min(1.0 / self.instances() as f64);
        }
        let rate = bucket.rate();
        let base = rate * BASE_WEIGHT;
        let since = now.saturating_sub(self.policy.settle_time);
        let own = base + bucket.lowest(since).demand().min(rate);
        own / (own + self.peers.weight(bucket.key, rate, base))
    }
}

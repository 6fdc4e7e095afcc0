//! The share of every team's limit that one instance uses.

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

/// Admits requests at one entry instance, within its share of every team's limit.
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
/// // Until its reports have reached all peers, an instance uses at most an eighth of the burst.
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
    /// Indices into `buckets`, sorted by the key of the team.
    key_buckets: Vec<(TeamKey, usize)>,
    peers: Peers,
    sequence: u64,
    joined_at: Option<Time>,
    last_heartbeat: Option<Time>,
    last_report: Option<Time>,
    /// Number of heartbeats that send a report even without a change, for a peer that is new.
    forced_reports: u64,
    settled: bool,
    next_bucket: usize,
    is_full_due: bool,
    full_sequence: u64,
    jitter: RetryJitter,
}

impl RateLimiter {
    /// Creates an instance without teams that has sent and received no report.
    pub fn new(id: InstanceId, incarnation: Incarnation, policy: LimitPolicy) -> RateLimiter {
        RateLimiter {
            id,
            incarnation,
            jitter: RetryJitter::new(policy.seed),
            policy,
            buckets: Vec::new(),
            key_buckets: Vec::new(),
            peers: Peers::default(),
            sequence: 0,
            joined_at: None,
            last_heartbeat: None,
            last_report: None,
            forced_reports: 0,
            settled: false,
            next_bucket: 0,
            is_full_due: true,
            full_sequence: 0,
        }
    }

    /// Whether every live peer has received this instance's reports, so that it uses its full share.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Number of entry instances among which the limits are divided, including this one.
    pub fn instances(&self) -> usize {
        self.peers.len() + 1
    }

    /// The share of the team's limit that this instance uses; `None` for an unknown team.
    pub fn share(&self, team: &TeamId) -> Option<f64> {
        Some(self.buckets[self.find(team).ok()?].share())
    }

    /// Admits one request of `team`.
    ///
    /// # Errors
    ///
    /// Refuses the request if the team's share is used up, if the team is unknown, or if no team is
    /// configured yet.
    pub fn admit(&mut self, now: Time, team: &TeamId) -> Result<(), Refusal> {
        self.check_heartbeat(now);
        let Ok(found) = self.find(team) else {
            let reason = match self.buckets.is_empty() {
                true => Reason::NoConfiguration,
                false => Reason::NotPermitted,
            };
            return Err(self.jitter.refuse(reason, Duration::ZERO));
        };
        let taken = self.buckets[found].take(now);
        taken.map_err(|wait| self.jitter.refuse(Reason::RateLimited, wait))
    }

    /// Handles one event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Configured(limits) => self.configure(now, limits),
            Event::Heartbeat => self.heartbeat(now, out),
            Event::ReportReceived { report, age } => self.apply_report(now, age, &report, out),
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
        self.key_buckets = keys.collect();
        self.key_buckets.sort_unstable();
        // The demand of a removed team has ended, which only a full report conveys.
        self.is_full_due |= old.iter().any(|it| it.reported() > DemandLevel(0));
        self.update_all_shares(now);
    }

    fn heartbeat(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.check_heartbeat(now);
        let joined_at = *self.joined_at.get_or_insert(now);
        let interval = now - self.last_heartbeat.unwrap_or(now);
        self.last_heartbeat = Some(now);
        self.peers.drop_expired(now.saturating_sub(self.policy.peer_lifetime));
        self.settled = now - joined_at >= self.policy.settle_time;
        if let Some(report) = self.next_report(now, interval) {
            out.push(Effect::Broadcast(report));
        }
        self.update_all_shares(now);
    }

    /// Starts over as a new instance after a stall of the settle time or longer: reports of peers are
    /// missing, and peers may have dropped this instance.
    fn check_heartbeat(&mut self, now: Time) {
        let was_stalled =
            self.last_heartbeat.is_some_and(|last| now - last >= self.policy.settle_time);
        if !was_stalled {
            return;
        }
        self.joined_at = None;
        self.last_heartbeat = None;
        self.settled = false;
        self.is_full_due = true;
        self.buckets.iter_mut().for_each(Bucket::reset_reports);
        self.update_all_shares(now);
    }

    /// The next report; `None` if it would list no rise and the last one is recent enough for peers to
    /// keep using it. A fall waits for the next report, because peers that don't know of it only
    /// overestimate the weight of this instance.
    ///
    /// Only reports that are sent get a sequence number, so that a skipped one leaves no gap.
    fn next_report(&mut self, now: Time, interval: Duration) -> Option<DemandReport> {
        self.sequence += 1;
        let full = std::mem::take(&mut self.is_full_due);
        if full {
            self.full_sequence = self.sequence;
        }
        self.measure_demand(now, interval, full);
        let since = self.sequence.saturating_sub(REPORTS_PER_CHANGE - 1).max(1);
        let is_listed = |it: &Bucket| it.last_change() >= since;
        let is_refresh_due =
            self.last_report.is_none_or(|sent| now - sent >= self.policy.refresh_interval);
        let is_due = is_refresh_due || !self.settled || self.forced_reports > 0;
        self.forced_reports = self.forced_reports.saturating_sub(1);
        let lists_rise = self.buckets.iter().any(|it| it.last_rise() >= since);
        if !full && !is_due && !lists_rise {
            self.sequence -= 1;
            return None;
        }
        self.last_report = Some(now);
        Some(self.report_of(is_listed))
    }

    /// Measures every team's demand and records which teams the next report lists.
    fn measure_demand(&mut self, now: Time, interval: Duration, full: bool) {
        let count = self.buckets.len();
        // A report also lists the changes of earlier reports, so each gets a part of its entries.
        let mut room =
            if full { count } else { self.policy.max_entries / REPORTS_PER_CHANGE as usize };
        for step in 0..count {
            let bucket = &mut self.buckets[(self.next_bucket + step) % count];
            let is_due =
                bucket.end_interval(now, interval) || (full && bucket.level() > DemandLevel(0));
            if is_due && room > 0 {
                bucket.record_report(now, self.sequence);
                room -= 1;
            }
        }
        self.next_bucket = (self.next_bucket + self.policy.max_entries) % count.max(1);
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
            base: self.full_sequence,
            entries,
        }
    }

    fn apply_report(
        &mut self,
        now: Time,
        age: Duration,
        report: &DemandReport,
        out: &mut Vec<Effect>,
    ) {
        if report.from == self.id || age >= self.policy.peer_lifetime {
            return;
        }
        match self.peers.apply_report(now.saturating_sub(age), report) {
            Change::None => {}
            Change::Entries => self.update_listed_shares(now, &report.entries),
            Change::Everything { resync } => {
                self.forced_reports = REPORTS_PER_CHANGE;
                if resync {
                    out.push(Effect::RequestResync(report.from.clone()));
                }
                self.update_all_shares(now);
            }
        }
    }

    fn drop_peer(&mut self, now: Time, id: &InstanceId) {
        if self.peers.drop_peer(id) {
            self.update_all_shares(now);
        }
    }

    fn update_all_shares(&mut self, now: Time) {
        for place in 0..self.buckets.len() {
            self.update_share(now, place);
        }
    }

    fn update_listed_shares(&mut self, now: Time, entries: &[DemandEntry]) {
        for entry in entries {
            let first = self.key_buckets.partition_point(|it| it.0 < entry.team);
            let last = self.key_buckets.partition_point(|it| it.0 <= entry.team);
            for index in first..last {
                self.update_share(now, self.key_buckets[index].1);
            }
        }
    }

    fn update_share(&mut self, now: Time, place: usize) {
        let since = now.saturating_sub(self.policy.settle_time);
        self.buckets[place].drop_reports_before(since);
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
        let own = base + bucket.lowest_reported(since).demand().min(rate);
        own / (own + self.peers.weight(bucket.key, rate, base))
    }
}

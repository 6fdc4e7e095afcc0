//! Division of an upstream's limit among all entry instances of a region.
//!
//! For each upstream, one instance of the region, the *permit allocator*, grants permits for single
//! requests at a rate below the limit. The other instances request permits from it for the calls
//! that they have. A permit that is not used within [`PERMIT_LIFETIME`] expires, so requests that
//! were delayed don't arrive together. Instances that see the same peers agree on the allocator,
//! see [`cold::designated_sender`](super::cold::designated_sender).
//!
//! Alternatives: equal shares for all instances leave most of a low limit unused wherever demand is
//! uneven, and a burst exceeds the limit when each of many instances has one permit saved up. A
//! single instance that sends alone, as to cold upstreams, serves only the callers that happen to
//! use it.
//!
//! An instance whose [`keeper_view`](super::keeper_view) is not settled grants permits to itself, at
//! an equal share of the rate. Such instances start at a random point of their interval, so that
//! they don't send at the same time.

use std::{collections::VecDeque, time::Duration};

use crate::{
    gateway::{upstream_limits::UpstreamLimit, upstreams::Birth},
    ids::{InstanceId, UpstreamId},
    time::Time,
};

/// Share of a limit that is granted. The rest covers permits that are used late, and instances that
/// don't know of the limit yet.
const ALLOCATED_SHARE: f64 = 0.8;
/// Time after which an unused permit expires.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(500);
/// Time after which a request for permits expires: two request intervals and a lost request.
const REQUEST_LIFETIME: Duration = Duration::from_millis(250);
/// Interval between two requests of an instance for permits for the same upstream.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(80);
/// Time for which unused permits accumulate, beyond a single one: a few rounds of the allocator.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Time without requests after which an allocator drops the bucket of an upstream.
const BUCKET_RETENTION: Duration = Duration::from_secs(60);

/// Rate at which permits are granted, in permits per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct PermitRate(f64);

impl PermitRate {
    /// The rate of the allocator, which grants for all instances of the region.
    pub fn for_allocator(limit: UpstreamLimit) -> PermitRate {
        PermitRate(limit.per_second() * ALLOCATED_SHARE)
    }

    /// The rate of one of `instances` that don't know what the others do and grant to themselves.
    pub fn for_isolated(limit: UpstreamLimit, instances: usize) -> PermitRate {
        PermitRate(PermitRate::for_allocator(limit).0 / instances.max(1) as f64)
    }

    /// Permits per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Maximum number of permits that accumulate.
    fn capacity(self) -> f64 {
        1.0 + self.0 * BURST_TIME.as_secs_f64()
    }
}

/// A request for permits.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitRequest {
    /// The instance that requests them.
    pub from: InstanceId,
    /// The upstream that the permits are for.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream.
    pub birth: Birth,
    /// Number of calls that would use a permit.
    pub calls: u32,
}

/// Permits granted to an instance.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitGrant {
    /// The instance that may use them.
    pub to: InstanceId,
    /// The upstream that the permits are for.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream.
    pub birth: Birth,
    /// Number of requests that may be sent.
    pub permits: u32,
}

/// An instance that waits for permits.
#[derive(Debug, Clone)]
struct Waiter {
    id: InstanceId,
    /// Number of calls that would use a permit.
    calls: u32,
    requested_at: Time,
}

/// Token bucket of one upstream.
#[derive(Debug, Clone)]
struct PermitBucket {
    upstream: UpstreamId,
    birth: Birth,
    rate: PermitRate,
    /// Permits that have accumulated, as of `refilled_at`.
    available: f64,
    refilled_at: Time,
    /// Time of the newest request from any instance.
    requested_at: Time,
    /// Waiting instances; the one that got a permit longest ago comes first.
    queue: VecDeque<Waiter>,
}

impl PermitBucket {
    fn refill(&mut self, now: Time) {
        let gained = self.rate.0 * (now - self.refilled_at).as_secs_f64();
        self.available = (self.available + gained).min(self.rate.capacity());
        self.refilled_at = now;
        self.queue.retain(|it| now - it.requested_at <= REQUEST_LIFETIME);
    }

    fn enqueue(&mut self, now: Time, id: InstanceId, calls: u32) {
        self.requested_at = now;
        match self.queue.iter_mut().find(|it| it.id == id) {
            Some(waiter) => (waiter.calls, waiter.requested_at) = (calls, now),
            None => self.queue.push_back(Waiter { id, calls, requested_at: now }),
        }
    }

    /// Grants the available permits one by one, round-robin over the waiting instances.
    fn grant(&mut self, now: Time) -> Vec<PermitGrant> {
        self.refill(now);
        let mut grants: Vec<PermitGrant> = Vec::new();
        while self.available >= 1.0
            && let Some(waiter) = self.queue.pop_front()
        {
            self.available -= 1.0;
            match grants.iter_mut().find(|it| it.to == waiter.id) {
                Some(grant) => grant.permits += 1,
                None => {
                    let (upstream, birth) = (self.upstream.clone(), self.birth);
                    grants.push(PermitGrant { to: waiter.id.clone(), upstream, birth, permits: 1 });
                }
            }
            if waiter.calls > 1 {
                self.queue.push_back(Waiter { calls: waiter.calls - 1, ..waiter });
            }
        }
        grants
    }
}

/// The permit buckets that an instance keeps as an allocator, sorted by upstream.
#[derive(Debug, Clone, Default)]
pub struct PermitAllocator {
    buckets: Vec<PermitBucket>,
}

impl PermitAllocator {
    /// Handles a request. A new bucket starts with `available` permits, which is below one.
    pub fn request(&mut self, now: Time, request: PermitRequest, rate: PermitRate, available: f64) {
        self.buckets.retain(|it| now - it.requested_at <= BUCKET_RETENTION);
        let PermitRequest { from, upstream, birth, calls } = request;
        let at = match self.buckets.binary_search_by(|it| it.upstream.cmp(&upstream)) {
            Ok(at) => at,
            Err(at) => {
                let (refilled_at, queue) = (now, VecDeque::new());
                let bucket = PermitBucket {
                    upstream,
                    birth,
                    rate,
                    available,
                    refilled_at,
                    requested_at: now,
                    queue,
                };
                self.buckets.insert(at, bucket);
                at
            }
        };
        let bucket = &mut self.buckets[at];
        if bucket.birth > birth {
            return;
        }
        bucket.refill(now);
        (bucket.birth, bucket.rate) = (birth, rate);
        bucket.enqueue(now, from, calls);
    }

    /// Grants the permits that are available at `now`.
    pub fn grant(&mut self, now: Time) -> Vec<PermitGrant> {
        self.buckets.iter_mut().flat_map(|it| it.grant(now)).collect()
    }

    /// Whether any instance waits for a permit.
    pub fn has_waiters(&self) -> bool {
        self.buckets.iter().any(|it| !it.queue.is_empty())
    }
}

/// The permits that an instance holds, and those that it has yet to request.
#[derive(Debug, Clone, Default)]
pub struct Permits {
    held: Vec<Permit>,
    pending: Vec<PendingRequest>,
}

/// The right to send one request to an incarnation of an upstream.
#[derive(Debug, Clone)]
struct Permit {
    upstream: UpstreamId,
    birth: Birth,
    expires_at: Time,
}

impl Permit {
    fn is_for(&self, now: Time, upstream: &UpstreamId, birth: Birth) -> bool {
        self.upstream == *upstream && self.birth == birth && self.expires_at > now
    }
}

/// An upstream for which calls need permits.
#[derive(Debug, Clone)]
struct PendingRequest {
    upstream: UpstreamId,
    birth: Birth,
    /// Calls that have been added since the last request.
    calls: u32,
    /// Whether a call has asked for a permit since the last request.
    is_due: bool,
    requested_at: Option<Time>,
}

impl Permits {
    /// Adds permits that were granted to this instance.
    pub fn add_granted(&mut self, now: Time, upstream: &UpstreamId, birth: Birth, permits: u32) {
        let expires_at = now + PERMIT_LIFETIME;
        let granted =
            (0..permits).map(|_| Permit { upstream: upstream.clone(), birth, expires_at });
        self.held.retain(|it| it.expires_at > now);
        self.held.extend(granted);
    }

    /// Whether a permit for a request to an incarnation is held.
    pub fn has(&self, now: Time, upstream: &UpstreamId, birth: Birth) -> bool {
        self.held.iter().any(|it| it.is_for(now, upstream, birth))
    }

    /// Uses a permit for a request that is sent; returns whether there was one.
    pub fn take(&mut self, now: Time, upstream: &UpstreamId, birth: Birth) -> bool {
        let at = self.held.iter().position(|it| it.is_for(now, upstream, birth));
        at.map(|at| self.held.remove(at)).is_some()
    }

    /// Notes that a call could use a permit for an incarnation; `is_first` unless the call has been
    /// noted before.
    pub fn record_demand(&mut self, upstream: &UpstreamId, birth: Birth, is_first: bool) {
        let at = match self.pending.binary_search_by(|it| it.upstream.cmp(upstream)) {
            Ok(at) => at,
            Err(at) => {
                let upstream = upstream.clone();
                let pending =
                    PendingRequest { upstream, birth, calls: 0, is_due: false, requested_at: None };
                self.pending.insert(at, pending);
                at
            }
        };
        let pending = &mut self.pending[at];
        (pending.birth, pending.is_due) = (birth, true);
        pending.calls = pending.calls.saturating_add(u32::from(is_first));
    }

    /// The requests that are due now, and whether more will be due later.
    pub fn due_requests(&mut self, now: Time, from: &InstanceId) -> (Vec<PermitRequest>, bool) {
        let is_recent = |it: &PendingRequest| {
            it.requested_at.is_some_and(|requested_at| now - requested_at < REQUEST_INTERVAL)
        };
        self.pending.retain(|it| it.is_due || is_recent(it));
        let due = self.pending.iter_mut().filter(|it| it.is_due && !is_recent(it));
        let requests = due.map(|it| {
            let calls = std::mem::take(&mut it.calls).max(1);
            (it.is_due, it.requested_at) = (false, Some(now));
            let (upstream, birth) = (it.upstream.clone(), it.birth);
            PermitRequest { from: from.clone(), upstream, birth, calls }
        });
        (requests.collect(), self.pending.iter().any(|it| it.is_due))
    }
}

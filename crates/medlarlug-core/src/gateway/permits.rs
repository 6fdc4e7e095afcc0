//! Division of a limit that holds for all entry instances of a region together.
//!
//! One instance of the region, the *allotter* of an upstream, gives out permits for single requests at a
//! pace below the limit; the others ask it, each for the calls that it has. A permit that is not used in
//! [`PERMIT_LIFETIME`] is void, so requests that were put off don't arrive together. Instances that see the
//! same peers agree on the allotter, see [`cold::sender`](super::cold::sender).
//!
//! Weighed against it: equal parts for all instances leave most of a low limit unused wherever demand is
//! uneven, and with one permit saved up by each of many instances a burst exceeds it; one instance that sends
//! alone, as to cold upstreams, serves only the callers that happen to use it.
//!
//! An instance whose [`keeper_view`](super::keeper_view) of the others is not settled gives permits to itself, at an
//! equal part of the pace. Such instances begin at a random moment of their turn, so that they don't act
//! together.

use std::{collections::VecDeque, time::Duration};

use crate::{
    gateway::{upstream_limits::NamedLimit, upstreams::Birth},
    ids::{InstanceId, UpstreamId},
    time::Time,
};

/// Part of a limit that is given out. The rest covers permits that are used late, and instances that don't
/// know of the limit yet.
const PACE_SHARE: f64 = 0.8;
/// Time after which a permit is void that was not used.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(500);
/// Time after which what an instance asked for is void: two of its questions and a lost one.
const WANT_LIFETIME: Duration = Duration::from_millis(250);
/// Time between two questions of an instance for permits for the same upstream.
pub const ASK_INTERVAL: Duration = Duration::from_millis(80);
/// Time for which permits may be saved up, beyond a single one: a few rounds of the allotter.
const SAVED_TIME: Duration = Duration::from_millis(100);
/// Time without questions after which an allotter forgets an upstream.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Permits a second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Pace(f64);

impl Pace {
    /// The pace of the allotter.
    pub fn whole(limit: NamedLimit) -> Pace {
        Pace(limit.per_second() * PACE_SHARE)
    }

    /// The pace of one of `instances` that don't know what the others do.
    pub fn alone(limit: NamedLimit, instances: usize) -> Pace {
        Pace(Pace::whole(limit).0 / instances.max(1) as f64)
    }

    /// Permits a second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Most permits that are saved up.
    fn capacity(self) -> f64 {
        1.0 + self.0 * SAVED_TIME.as_secs_f64()
    }
}

/// A question for permits.
#[derive(Debug, Clone, PartialEq)]
pub struct Want {
    /// Who asks.
    pub from: InstanceId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its incarnation.
    pub birth: Birth,
    /// Calls that would use a permit.
    pub calls: u32,
}

/// Permits that an instance gets.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// Who gets them.
    pub to: InstanceId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its incarnation.
    pub birth: Birth,
    /// How many.
    pub permits: u32,
}

/// An instance that waits for permits.
#[derive(Debug, Clone)]
struct Waiter {
    id: InstanceId,
    /// Calls that would use a permit.
    calls: u32,
    asked: Time,
}

/// What an allotter gives out for one upstream.
#[derive(Debug, Clone)]
struct Account {
    upstream: UpstreamId,
    birth: Birth,
    pace: Pace,
    /// Permits that are saved up, as of `filled`.
    saved: f64,
    filled: Time,
    /// When an instance last asked.
    asked: Time,
    /// Instances that wait, those that got a permit longest ago first.
    queue: VecDeque<Waiter>,
}

impl Account {
    fn fill(&mut self, now: Time) {
        let gained = self.pace.0 * (now - self.filled).as_secs_f64();
        self.saved = (self.saved + gained).min(self.pace.capacity());
        self.filled = now;
        self.queue.retain(|it| now - it.asked <= WANT_LIFETIME);
    }

    fn ask(&mut self, now: Time, id: InstanceId, calls: u32) {
        self.asked = now;
        match self.queue.iter_mut().find(|it| it.id == id) {
            Some(waiter) => (waiter.calls, waiter.asked) = (calls, now),
            None => self.queue.push_back(Waiter { id, calls, asked: now }),
        }
    }

    /// Gives out one permit after the other, in turn.
    fn grant(&mut self, now: Time) -> Vec<Grant> {
        self.fill(now);
        let mut grants: Vec<Grant> = Vec::new();
        while self.saved >= 1.0
            && let Some(waiter) = self.queue.pop_front()
        {
            self.saved -= 1.0;
            match grants.iter_mut().find(|it| it.to == waiter.id) {
                Some(grant) => grant.permits += 1,
                None => {
                    let (upstream, birth) = (self.upstream.clone(), self.birth);
                    grants.push(Grant { to: waiter.id.clone(), upstream, birth, permits: 1 });
                }
            }
            if waiter.calls > 1 {
                self.queue.push_back(Waiter { calls: waiter.calls - 1, ..waiter });
            }
        }
        grants
    }
}

/// What an instance gives out as an allotter, sorted by upstream.
#[derive(Debug, Clone, Default)]
pub struct Allotter {
    accounts: Vec<Account>,
}

impl Allotter {
    /// An instance asks. A new account begins with `saved` of a permit, below one.
    pub fn ask(&mut self, now: Time, want: Want, pace: Pace, saved: f64) {
        self.accounts.retain(|it| now - it.asked <= FORGET_AFTER);
        let Want { from, upstream, birth, calls } = want;
        let at = match self.accounts.binary_search_by(|it| it.upstream.cmp(&upstream)) {
            Ok(at) => at,
            Err(at) => {
                let (filled, queue) = (now, VecDeque::new());
                let account = Account { upstream, birth, pace, saved, filled, asked: now, queue };
                self.accounts.insert(at, account);
                at
            }
        };
        let account = &mut self.accounts[at];
        if account.birth > birth {
            return;
        }
        account.fill(now);
        (account.birth, account.pace) = (birth, pace);
        account.ask(now, from, calls);
    }

    /// The permits that may be used from now on.
    pub fn grant(&mut self, now: Time) -> Vec<Grant> {
        self.accounts.iter_mut().flat_map(|it| it.grant(now)).collect()
    }

    /// Whether an instance waits for a permit.
    pub fn is_asked(&self) -> bool {
        self.accounts.iter().any(|it| !it.queue.is_empty())
    }
}

/// The permits that an instance holds, and those that it asks for.
#[derive(Debug, Clone, Default)]
pub struct Permits {
    held: Vec<Permit>,
    wanted: Vec<Wanted>,
}

/// The right to send one request to an incarnation of an upstream.
#[derive(Debug, Clone)]
struct Permit {
    upstream: UpstreamId,
    birth: Birth,
    until: Time,
}

impl Permit {
    fn is_for(&self, now: Time, upstream: &UpstreamId, birth: Birth) -> bool {
        self.upstream == *upstream && self.birth == birth && self.until > now
    }
}

/// An upstream for which calls want permits.
#[derive(Debug, Clone)]
struct Wanted {
    upstream: UpstreamId,
    birth: Birth,
    /// Calls since the last question.
    calls: u32,
    /// Whether a call has wanted a permit since.
    is_due: bool,
    asked: Option<Time>,
}

impl Permits {
    /// Takes in permits that were granted to this instance.
    pub fn hold(&mut self, now: Time, upstream: &UpstreamId, birth: Birth, permits: u32) {
        let until = now + PERMIT_LIFETIME;
        let granted = (0..permits).map(|_| Permit { upstream: upstream.clone(), birth, until });
        self.held.retain(|it| it.until > now);
        self.held.extend(granted);
    }

    /// Whether a request may go out to an incarnation.
    pub fn has(&self, now: Time, upstream: &UpstreamId, birth: Birth) -> bool {
        self.held.iter().any(|it| it.is_for(now, upstream, birth))
    }

    /// Uses a permit for a request that goes out; returns whether there was one.
    pub fn take(&mut self, now: Time, upstream: &UpstreamId, birth: Birth) -> bool {
        let at = self.held.iter().position(|it| it.is_for(now, upstream, birth));
        at.map(|at| self.held.remove(at)).is_some()
    }

    /// A call could use a permit for an incarnation; `is_first` if it had not said so before.
    pub fn want(&mut self, upstream: &UpstreamId, birth: Birth, is_first: bool) {
        let at = match self.wanted.binary_search_by(|it| it.upstream.cmp(upstream)) {
            Ok(at) => at,
            Err(at) => {
                let upstream = upstream.clone();
                let wanted = Wanted { upstream, birth, calls: 0, is_due: false, asked: None };
                self.wanted.insert(at, wanted);
                at
            }
        };
        let wanted = &mut self.wanted[at];
        (wanted.birth, wanted.is_due) = (birth, true);
        wanted.calls = wanted.calls.saturating_add(u32::from(is_first));
    }

    /// The questions that are due, and whether there are more later.
    pub fn questions(&mut self, now: Time, from: &InstanceId) -> (Vec<Want>, bool) {
        let is_recent = |it: &Wanted| it.asked.is_some_and(|asked| now - asked < ASK_INTERVAL);
        self.wanted.retain(|it| it.is_due || is_recent(it));
        let due = self.wanted.iter_mut().filter(|it| it.is_due && !is_recent(it));
        let questions = due.map(|it| {
            let calls = std::mem::take(&mut it.calls).max(1);
            (it.is_due, it.asked) = (false, Some(now));
            let (upstream, birth) = (it.upstream.clone(), it.birth);
            Want { from: from.clone(), upstream, birth, calls }
        });
        (questions.collect(), self.wanted.iter().any(|it| it.is_due))
    }
}

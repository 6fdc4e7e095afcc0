//! Where a call goes next: an upstream of the own region, or an entry instance of another one.

use std::{cell::OnceCell, net::SocketAddr, time::Duration};

use medlarlug_core::{
    gateway::{
        availability::Availability,
        cold::{self, FRESH_FOR, Process},
        contacts::Contact,
        placement::{Candidate, Choice, Demand},
        remote_region,
        stream_timeout::Source,
        table::{Route, RouteTable, ServiceName},
        upstreams::{Birth, Known, UpstreamState},
    },
    ids::{InstanceId, RegionId, UpstreamId},
    time::Time,
};
use rand::RngExt;

use super::{Entry, plan::Plan};

/// Time from one region to another and back, and the work of the instance there.
const REGION_TRIP: Duration = Duration::from_millis(130);
/// Time that an upstream in another availability zone of the region costs: a new connection and the
/// request there and back, with about 4 ms one way.
const ZONE_TRIP: Duration = Duration::from_millis(16);
/// Part of the local cost that the cost elsewhere has to stay below: news from there is old, and
/// every call that crosses is paid for.
const AWAY_SHARE: f64 = 0.8;
/// Part of the latency objective below which a local cost is good enough.
const NEAR_SHARE: f64 = 0.2;
/// Idle connections that are kept to an instance of another region.
const PEER_IDLE: usize = 32;

/// Where to send a call.
#[derive(Debug, Clone)]
pub(super) enum Hop {
    /// To an upstream of the own region.
    Upstream {
        choice: Choice,
        /// Its incarnation.
        birth: Birth,
        address: SocketAddr,
        memory: u64,
        cold_rate: Option<f64>,
        /// Idle connections to it that may be kept.
        idle: usize,
        /// Age of the upstream's newest announcement.
        age: Duration,
    },
    /// To an entry instance of another region.
    Peer { id: InstanceId, region: RegionId, address: SocketAddr, wait: Duration },
}

impl Hop {
    /// Idle connections that may be kept to it.
    pub(super) fn idle(&self) -> usize {
        match self {
            Hop::Upstream { idle, .. } => *idle,
            Hop::Peer { .. } => PEER_IDLE,
        }
    }

    /// What answers there.
    pub(super) fn source(&self) -> Source {
        match self {
            Hop::Upstream { .. } => Source::Upstream,
            Hop::Peer { .. } => Source::Instance,
        }
    }

    /// Predicted time to the first token or the answer.
    pub(super) fn wait(&self) -> Duration {
        match self {
            Hop::Upstream { choice, .. } => choice.wait,
            Hop::Peer { wait, .. } => *wait,
        }
    }
}

/// What was tried before for the same call.
#[derive(Debug, Default)]
pub(super) struct Tried {
    pub(super) upstreams: Vec<UpstreamId>,
    pub(super) peers: Vec<InstanceId>,
}

impl Entry {
    /// The best hop for a call, if there is any.
    pub(super) fn choose(&self, plan: &Plan, demand: &Demand) -> Option<Hop> {
        let Plan { table, route, service, tried, .. } = plan;
        let own = self.settings.borrow().card.region.clone();
        let local = match route.may_be_served_in(&own) {
            true => self.choose_local(table, service, demand, &tried.upstreams),
            false => None,
        };
        let cost = local.as_ref().map(|local| self.cost(local));
        let is_near = cost.is_some_and(|cost| cost <= route.objective.mul_f64(NEAR_SHARE));
        let away = match plan.may_leave && !is_near {
            true => self.choose_peer(route, service, demand, &tried.peers),
            false => None,
        };
        match (local, away) {
            (Some(local), Some(away)) if away.wait() < self.cost(&local).mul_f64(AWAY_SHARE) => {
                Some(away)
            }
            (Some(local), _) => self.local_hop(table, service, local),
            (None, away) => away,
        }
    }

    /// Cost of an upstream with the wait for its turn.
    pub(super) fn cost(&self, choice: &Choice) -> Duration {
        match choice.is_long() {
            true => choice.cost + self.turn_waits.borrow().expected(self.now()),
            false => choice.cost,
        }
    }

    fn local_hop(&self, table: &RouteTable, service: &ServiceName, choice: Choice) -> Option<Hop> {
        let now = self.now();
        let upstreams = self.upstreams.borrow();
        let known = upstreams.get(&choice.id)?;
        let spec = table.service(service);
        let memory = spec.and_then(|spec| spec.engine).map_or(0, |engine| engine.memory);
        let is_cold = self.is_cold(now, known);
        let cold_rate = spec.map(|spec| spec.cold_rate).filter(|_| is_cold);
        let accepted = spec.map_or(0, |spec| spec.connections) as usize;
        // Half of what it accepts, divided among the instances, is left for calls that take a new one.
        let idle = (accepted / 2 / self.exchange.instances()).max(1);
        let (address, age) = (known.upstream.address, now - known.heard);
        let birth = known.upstream.birth;
        Some(Hop::Upstream { choice, birth, address, memory, cold_rate, idle, age })
    }

    /// The best upstream of the own region; one that was not heard of lately only if there is no
    /// other.
    pub(super) fn choose_local(
        &self,
        table: &RouteTable,
        service: &ServiceName,
        demand: &Demand,
        tried: &[UpstreamId],
    ) -> Option<Choice> {
        let now = self.now();
        let spec = table.service(service)?;
        let memory = spec.engine.map_or(0, |engine| engine.memory);
        // Needed for cold upstreams only.
        let entries = OnceCell::new();
        let upstreams = self.upstreams.borrow();
        let usable: Vec<&Known> = upstreams
            .of(service)
            .filter(|known| !tried.contains(&known.upstream.id))
            .filter(|known| self.is_usable(now, known, spec.cold_rate, &entries))
            .collect();
        let healths = self.healths.borrow();
        let own_zone = self.settings.borrow().card.zone.clone();
        let is_fresh = |known: &Known| now - known.heard <= FRESH_FOR;
        let has_fresh = usable.iter().any(|known| is_fresh(known));
        let candidates = usable.iter().filter(|known| is_fresh(known) == has_fresh);
        let candidates: Vec<Candidate> = candidates
            .map(|known| Candidate {
                id: &known.upstream.id,
                slots: known.upstream.slots,
                memory,
                failures: healths.failures(&known.upstream.id),
                distance: match known.upstream.zone == own_zone {
                    true => Duration::ZERO,
                    false => ZONE_TRIP,
                },
            })
            .collect();
        self.loads.borrow().choose(now, demand, &candidates, self.exchange.instances())
    }

    fn is_cold(&self, now: Time, known: &Known) -> bool {
        let observations = self.healths.borrow().observations(&known.upstream.id);
        let resumed = self.view.borrow().resumed(now);
        let process = Process { started: self.started, resumed };
        self.suspicions.borrow().is_cold(now, known, observations, process)
    }

    /// Whether an upstream wants requests, by its answers.
    fn availability(&self, now: Time, known: &Known) -> Availability {
        let Known { upstream, .. } = known;
        self.availabilities.borrow().of(now, &upstream.id, upstream.birth)
    }

    /// Time until the first of the region's upstreams of a service has rested; `None` if none that could
    /// serve rests.
    pub(super) fn rest_left(&self, service: &ServiceName) -> Option<Duration> {
        let now = self.now();
        let settings = self.settings.borrow();
        let own = Some(&settings.card.region);
        let upstreams = self.upstreams.borrow();
        let here = upstreams.of(service).filter(|known| {
            known.upstream.state == UpstreamState::Ready
                && settings.region_of(&known.upstream.zone) == own
        });
        let rests = here.filter_map(|known| match self.availability(now, known) {
            Availability::Resting { left } => Some(left),
            Availability::Open | Availability::Leaving => None,
        });
        rests.min()
    }

    /// Whether a request may go to an upstream now. Every request asks here: first ones, repeats, those
    /// that have waited, those of other regions, and streams that go on.
    fn is_usable(
        &self,
        now: Time,
        known: &Known,
        cold_rate: f64,
        entries: &OnceCell<Vec<InstanceId>>,
    ) -> bool {
        self.is_permitted(now, known) && self.is_open(now, known, cold_rate, entries)
    }

    /// The same but for the limit that the upstream may have named.
    pub(super) fn is_open(
        &self,
        now: Time,
        known: &Known,
        cold_rate: f64,
        entries: &OnceCell<Vec<InstanceId>>,
    ) -> bool {
        let upstream = &known.upstream;
        if !self.takes(now, known) || self.healths.borrow().is_avoided(now, &upstream.id) {
            return false;
        }
        if cold_rate <= 0.0 || !self.is_cold(now, known) {
            return true;
        }
        let settings = self.settings.borrow();
        let entries = entries.get_or_init(|| self.region_entries());
        let is_sender = self.view.borrow().is_settled(now)
            && cold::sender(&upstream.id, entries) == Some(&settings.card.id);
        is_sender && self.cold.borrow().may_send(now, &upstream.id, cold_rate)
    }

    /// Whether an upstream of the region takes new requests, by its announcements, its answers and the
    /// evacuated zones.
    fn takes(&self, now: Time, known: &Known) -> bool {
        let upstream = &known.upstream;
        let settings = self.settings.borrow();
        upstream.state == UpstreamState::Ready
            && settings.region_of(&upstream.zone) == Some(&settings.card.region)
            && self.head.borrow().evacuated.binary_search(&upstream.zone).is_err()
            && self.availability(now, known) == Availability::Open
    }

    /// Whether an incarnation that a request was decided for takes it still.
    pub(super) fn still_takes(&self, id: &UpstreamId, birth: Birth) -> bool {
        let upstreams = self.upstreams.borrow();
        let known = upstreams.get(id).filter(|known| known.upstream.birth == birth);
        known.is_some_and(|known| self.takes(self.now(), known))
    }

    /// The entry instance of another region that can serve the call soonest.
    fn choose_peer(
        &self,
        route: &Route,
        service: &ServiceName,
        demand: &Demand,
        tried: &[InstanceId],
    ) -> Option<Hop> {
        let now = self.now();
        let own = self.settings.borrow().card.region.clone();
        let contacts = self.contacts.borrow();
        let is_fit = |contact: &&Contact| {
            contact.status.ready
                && contact.card.region != own
                && route.may_be_served_in(&contact.card.region)
                && !tried.contains(&contact.card.id)
        };
        let fit = contacts.live_entries(now).filter(is_fit);
        let waits = self.waits.borrow();
        let cost = |region: &RegionId| {
            let at = waits.binary_search_by(|it| (&it.region, &it.service).cmp(&(region, service)));
            let told = Duration::from_millis(waits[at.ok()?].wait_ms.into());
            let unread = self.away_unread(region);
            let upstreams = self.upstreams_in(region, service);
            Some(remote_region::cost(remote_region::Region { told, unread, upstreams }, demand))
        };
        let fit: Vec<&Contact> = fit.collect();
        let mut regions: Vec<&RegionId> = fit.iter().map(|it| &it.card.region).collect();
        regions.sort();
        regions.dedup();
        let costs = regions.into_iter().filter_map(|region| Some((cost(region)?, region)));
        let (wait, region) = costs.min()?;
        // Any instance of that region will do; one alone would be flooded.
        let there: Vec<&&Contact> = fit.iter().filter(|it| it.card.region == *region).collect();
        let contact = there[rand::rng().random_range(0..there.len())];
        let card = &contact.card;
        Some(Hop::Peer {
            id: card.id.clone(),
            region: card.region.clone(),
            address: card.internal,
            wait: wait + REGION_TRIP,
        })
    }

    /// Prompt tokens that were handed over to a region and are not answered yet.
    fn away_unread(&self, region: &RegionId) -> u64 {
        let away = self.away.borrow();
        away.binary_search_by(|it| it.0.cmp(region)).map_or(0, |at| away[at].1)
    }

    /// Counts prompt tokens that are handed over to a region, or were answered there.
    pub(super) fn change_away(&self, region: &RegionId, change: impl Fn(u64) -> u64) {
        let mut away = self.away.borrow_mut();
        let at = match away.binary_search_by(|it| it.0.cmp(region)) {
            Ok(at) => at,
            Err(at) => {
                away.insert(at, (region.clone(), 0));
                at
            }
        };
        away[at].1 = change(away[at].1);
    }

    /// Ready upstreams of a service in a region.
    pub(super) fn upstreams_in(&self, region: &RegionId, service: &ServiceName) -> usize {
        let settings = self.settings.borrow();
        let upstreams = self.upstreams.borrow();
        let ready = upstreams.of(service).filter(|known| {
            known.upstream.state == UpstreamState::Ready
                && settings.region_of(&known.upstream.zone) == Some(region)
        });
        ready.count()
    }
}

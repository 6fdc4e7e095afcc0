//! Chooses the next hop of a call: an upstream of the own region, or another entry instance. That is
//! one of another region or, while this instance lacks a path to upstreams, of the own one.

use std::{cell::OnceCell, net::SocketAddr, time::Duration};

use medlarlug_core::{
    gateway::{
        availability::Availability,
        cold::{self, ANNOUNCEMENT_LIFETIME, ProcessTimes},
        contacts::{Contact, InstanceInfo},
        placement::{Candidate, Choice, Demand},
        remote_region::{self, RemoteService},
        software_version::SoftwareVersion,
        stream_timeout::StreamSource,
        stream_version::StreamVersion,
        table::{RouteTable, ServiceName},
        upstreams::{Birth, KnownUpstream, Upstream, UpstreamState},
    },
    ids::{InstanceId, RegionId, UpstreamId},
    time::Time,
};
use rand::RngExt;

use super::{Entry, call::Call, plan::Plan};

/// Round trip to another region, and the processing time of the instance there.
const REGION_ROUND_TRIP: Duration = Duration::from_millis(130);
/// Round trip to another instance of the region, which may be in another availability zone, and its
/// processing time.
const INSTANCE_ROUND_TRIP: Duration = Duration::from_millis(20);
/// Added time of a request to an upstream in another availability zone of the region: opening a
/// connection, the request and the answer, with about 4 ms each way.
const ZONE_CROSSING_COST: Duration = Duration::from_millis(16);
/// A call is forwarded to another region only if the cost there is below this fraction of the local
/// cost: the predictions for other regions are older, and traffic between regions is charged for.
const FORWARD_COST_RATIO: f64 = 0.8;
/// A local cost below this fraction of the latency objective is good enough not to consider other
/// regions.
const LOCAL_COST_FRACTION: f64 = 0.2;
/// Connections to upstreams that failed for a call, from which on it is forwarded if possible.
const MAX_FAILED_BEFORE_FORWARD: u32 = 2;
/// Idle connections that are kept to another instance.
const MAX_IDLE_PEER_CONNECTIONS: usize = 32;

/// Where to send a call.
#[derive(Debug, Clone)]
pub(super) enum Hop {
    /// An upstream of the own region.
    Upstream {
        choice: Choice,
        /// Incarnation of the upstream that the choice was made for.
        birth: Birth,
        address: SocketAddr,
        memory: u64,
        cold_rate: Option<f64>,
        /// Maximum number of idle connections to keep to it.
        idle: usize,
        /// Age of the newest announcement of the upstream.
        age: Duration,
        /// The software that the upstream runs, as it announced.
        software: Option<SoftwareVersion>,
    },
    /// Another entry instance, in another region or in the own one.
    Peer {
        id: InstanceId,
        region: RegionId,
        address: SocketAddr,
        wait: Duration,
        /// Time since the instance was last heard.
        age: Duration,
    },
}

impl Hop {
    /// Maximum number of idle connections to keep to the hop.
    pub(super) fn idle(&self) -> usize {
        match self {
            Hop::Upstream { idle, .. } => *idle,
            Hop::Peer { .. } => MAX_IDLE_PEER_CONNECTIONS,
        }
    }

    /// Whether an upstream or an entry instance answers.
    pub(super) fn source(&self) -> StreamSource {
        match self {
            Hop::Upstream { .. } => StreamSource::Upstream,
            Hop::Peer { .. } => StreamSource::Instance,
        }
    }

    /// Whether the call has to wait until an engine has room for it.
    pub(super) fn lacks_room(&self) -> bool {
        matches!(self, Hop::Upstream { choice, .. } if choice.lacks_room)
    }

    /// Predicted time to the first token or the answer.
    pub(super) fn wait(&self) -> Duration {
        match self {
            Hop::Upstream { choice, .. } => choice.wait,
            Hop::Peer { wait, .. } => *wait,
        }
    }
}

/// The hops that were tried for a call.
#[derive(Debug, Default)]
pub(super) struct Tried {
    pub(super) upstreams: Vec<UpstreamId>,
    pub(super) peers: Vec<InstanceId>,
    /// Regions with an instance that has refused the call for another reason than that it lacks a
    /// path to upstreams.
    pub(super) regions: Vec<RegionId>,
}

impl Entry {
    /// Chooses the best hop for a call; `None` if there is none.
    pub(super) fn choose(&self, plan: &Plan, call: &Call) -> Option<Hop> {
        let Plan { table, route, service, .. } = plan;
        let demand = &call.demand;
        let own = self.settings.borrow().info.region.clone();
        let may_stay = self.permit(call, plan.residency(), &own).is_ok();
        let local = match may_stay {
            true => self.choose_local(table, service, demand, &|it| plan.may_use(it)),
            false => None,
        };
        let cost = local.as_ref().map(|local| self.cost(local));
        let is_local_good =
            cost.is_some_and(|cost| cost <= route.objective.mul_f64(LOCAL_COST_FRACTION));
        let may_pass_on = may_stay && self.lacks_path(service);
        let remote = match plan.may_forward && !is_local_good {
            true => self.choose_peer(plan, call, may_pass_on),
            false => None,
        };
        match (local, remote) {
            (Some(_), Some(remote)) if plan.failed_connections >= MAX_FAILED_BEFORE_FORWARD => {
                Some(remote)
            }
            (Some(local), Some(remote))
                if remote.wait() < self.cost(&local).mul_f64(FORWARD_COST_RATIO) =>
            {
                Some(remote)
            }
            (Some(local), _) => self.local_hop(table, service, local),
            (None, remote) => remote,
        }
    }

    /// Cost of sending a call to an upstream, including the time queued for prefill and for room.
    pub(super) fn cost(&self, choice: &Choice) -> Duration {
        let cost = choice.cost + self.room_wait(choice);
        match choice.is_long() {
            true => cost + self.queue_waits.borrow().expected(self.now()),
            false => cost,
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
        // Half of the connections that the upstream accepts is divided among the instances. The
        // other half is left for calls that open a new connection.
        let idle = (accepted / 2 / self.exchange.instances()).max(1);
        let (address, age) = (known.upstream.address, now - known.announced_at);
        let (birth, software) = (known.upstream.birth, known.upstream.software.clone());
        Some(Hop::Upstream { choice, birth, address, memory, cold_rate, idle, age, software })
    }

    /// Chooses the best of the upstreams of the own region that `may_use` allows. One without a recent
    /// announcement is chosen only if there is no other.
    pub(super) fn choose_local(
        &self,
        table: &RouteTable,
        service: &ServiceName,
        demand: &Demand,
        may_use: &dyn Fn(&Upstream) -> bool,
    ) -> Option<Choice> {
        if self.is_isolated() {
            return None;
        }
        let now = self.now();
        let spec = table.service(service)?;
        let memory = spec.engine.map_or(0, |engine| engine.memory);
        // Computed only if there is a cold upstream.
        let entries = OnceCell::new();
        let upstreams = self.upstreams.borrow();
        let usable: Vec<&KnownUpstream> = upstreams
            .of_service(service)
            .filter(|known| may_use(&known.upstream))
            .filter(|known| self.is_usable(now, known, spec.cold_rate, &entries))
            .collect();
        let is_fresh = |known: &KnownUpstream| now - known.announced_at <= ANNOUNCEMENT_LIFETIME;
        let has_fresh = usable.iter().any(|known| is_fresh(known));
        let candidates = usable.iter().filter(|known| is_fresh(known) == has_fresh);
        let candidates: Vec<Candidate> =
            candidates.map(|known| self.candidate(known, memory)).collect();
        let (loads, peers) = (self.loads.borrow(), self.exchange.instances());
        if memory == 0 || !self.has_pressure() {
            return loads.choose(now, demand, &candidates, peers);
        }
        let memory = self.pressure.memory.borrow();
        loads.choose_with_room(now, demand, &candidates, peers, &memory)
    }

    /// An upstream of the region as a candidate; `memory` is its memory in tokens.
    pub(super) fn candidate<'a>(&self, known: &'a KnownUpstream, memory: u64) -> Candidate<'a> {
        Candidate {
            id: &known.upstream.id,
            slots: known.upstream.slots,
            memory_tokens: memory,
            failure_rate: self.healths.borrow().failure_rate(&known.upstream.id),
            round_trip: match known.upstream.zone == self.settings.borrow().info.zone {
                true => Duration::ZERO,
                false => ZONE_CROSSING_COST,
            },
        }
    }

    pub(super) fn is_cold(&self, now: Time, known: &KnownUpstream) -> bool {
        let observations = self.healths.borrow().observations(&known.upstream.id);
        let resumed = self.view.borrow().last_resumed(now);
        let process = ProcessTimes { started: self.started, resumed };
        self.cold_detector.borrow().is_cold(now, known, observations, process)
    }

    /// The availability of an upstream according to its answers.
    pub(super) fn availability(&self, now: Time, known: &KnownUpstream) -> Availability {
        let KnownUpstream { upstream, .. } = known;
        self.availabilities.borrow().get(now, &upstream.id, upstream.birth)
    }

    /// Time until the first of the region's upstreams of a service ends its backoff; `None` if no
    /// ready upstream backs off.
    pub(super) fn backoff_remaining(&self, service: &ServiceName) -> Option<Duration> {
        let now = self.now();
        let settings = self.settings.borrow();
        let own = Some(&settings.info.region);
        let upstreams = self.upstreams.borrow();
        let in_region = upstreams.of_service(service).filter(|known| {
            known.upstream.state == UpstreamState::Ready
                && settings.region_of(&known.upstream.zone) == own
        });
        let backoffs = in_region.filter_map(|known| match self.availability(now, known) {
            Availability::BackingOff { remaining: left } => Some(left),
            Availability::Available | Availability::Leaving => None,
        });
        backoffs.min()
    }

    /// Whether a request may be sent to an upstream now. Every request is checked here: first
    /// attempts, retries, those that were queued, those forwarded by other regions, and resumed
    /// streams.
    pub(super) fn is_usable(
        &self,
        now: Time,
        known: &KnownUpstream,
        cold_rate: f64,
        entries: &OnceCell<Vec<InstanceId>>,
    ) -> bool {
        self.is_permitted(now, known) && self.is_usable_with_permit(now, known, cold_rate, entries)
    }

    /// Whether a request may be sent to an upstream once it has a permit, if the upstream has named
    /// a rate limit.
    pub(super) fn is_usable_with_permit(
        &self,
        now: Time,
        known: &KnownUpstream,
        cold_rate: f64,
        entries: &OnceCell<Vec<InstanceId>>,
    ) -> bool {
        let upstream = &known.upstream;
        if !self.accepts_requests(now, known) || self.healths.borrow().is_avoided(now, &upstream.id)
        {
            return false;
        }
        let get_entries = || entries.get_or_init(|| self.region_entries());
        if !self.has_slot(now, known, get_entries) {
            return false;
        }
        if cold_rate <= 0.0 || !self.is_cold(now, known) {
            return self.has_ramp_room(now, known);
        }
        let settings = self.settings.borrow();
        let entries = get_entries();
        let is_sender = self.view.borrow().is_settled(now)
            && cold::designated_sender(&upstream.id, entries) == Some(&settings.info.id);
        is_sender && self.cold_pacer.borrow().may_send(now, &upstream.id, cold_rate)
    }

    /// Whether an upstream of the region accepts new requests, according to its announcements, its
    /// answers and the evacuated zones.
    pub(super) fn accepts_requests(&self, now: Time, known: &KnownUpstream) -> bool {
        let upstream = &known.upstream;
        let settings = self.settings.borrow();
        upstream.state == UpstreamState::Ready
            && settings.region_of(&upstream.zone) == Some(&settings.info.region)
            && self.head.borrow().evacuated.binary_search(&upstream.zone).is_err()
            && self.availability(now, known) == Availability::Available
    }

    /// Whether the incarnation that was chosen for a request still accepts it.
    pub(super) fn still_accepts(&self, id: &UpstreamId, birth: Birth) -> bool {
        let upstreams = self.upstreams.borrow();
        let known = upstreams.get(id).filter(|known| known.upstream.birth == birth);
        known.is_some_and(|known| self.accepts_requests(self.now(), known))
    }

    /// Chooses an entry instance of the region that can serve the call soonest: of another region or,
    /// if `may_pass_on`, of the own one.
    fn choose_peer(&self, plan: &Plan, call: &Call, may_pass_on: bool) -> Option<Hop> {
        let Plan { service, tried, .. } = plan;
        let now = self.now();
        let settings = self.settings.borrow();
        let own = &settings.info;
        let contacts = self.contacts.borrow();
        let is_eligible = |contact: &&Contact| {
            let InstanceInfo { id, region, .. } = &contact.info;
            contact.status.ready
                && *id != own.id
                && (may_pass_on || *region != own.region)
                && self.permit(call, plan.residency(), region).is_ok()
                && !tried.peers.contains(id)
                && !tried.regions.contains(region)
                && !self.is_path_missing(id, service)
        };
        let eligible = contacts.live_entries(now).filter(is_eligible);
        let cost = |region: &RegionId| self.region_cost(plan, &call.demand, region);
        let eligible: Vec<&Contact> = eligible.collect();
        let mut regions: Vec<&RegionId> = eligible.iter().map(|it| &it.info.region).collect();
        regions.sort();
        regions.dedup();
        let costs = regions.into_iter().filter_map(|region| Some((cost(region)?, region)));
        let (wait, region) = costs.min()?;
        // Chosen at random, so that the calls do not overload a single instance of that region.
        let in_region: Vec<&&Contact> =
            eligible.iter().filter(|it| it.info.region == *region).collect();
        let contact = in_region[rand::rng().random_range(0..in_region.len())];
        let info = &contact.info;
        Some(Hop::Peer {
            id: info.id.clone(),
            region: info.region.clone(),
            address: info.internal,
            wait,
            age: now - contact.last_seen,
        })
    }

    /// Predicted cost of forwarding a call to a region; `None` if that can't serve it or has reported
    /// no wait for its service.
    pub(super) fn region_cost(
        &self,
        plan: &Plan,
        demand: &Demand,
        region: &RegionId,
    ) -> Option<Duration> {
        let Plan { service, version, .. } = plan;
        let waits = self.waits.borrow();
        let at = waits.binary_search_by(|it| (&it.region, &it.service).cmp(&(region, service)));
        let reported_wait = Duration::from_millis(waits[at.ok()?].wait_ms.into());
        let pending_tokens = self.forwarded_tokens(region);
        let upstreams = self.upstreams_in(region, service, version);
        if upstreams == 0 && *version != StreamVersion::Free {
            return None;
        }
        let is_own = *region == self.settings.borrow().info.region;
        let round_trip = if is_own { INSTANCE_ROUND_TRIP } else { REGION_ROUND_TRIP };
        let there = RemoteService { reported_wait, pending_tokens, upstreams, is_own };
        Some(remote_region::predicted_cost(there, demand) + round_trip)
    }

    /// Prompt tokens of calls that were forwarded to a region and are not answered yet.
    fn forwarded_tokens(&self, region: &RegionId) -> u64 {
        let by_region = self.forwarded_tokens.borrow();
        by_region.binary_search_by(|it| it.0.cmp(region)).map_or(0, |at| by_region[at].1)
    }

    /// Changes the number of forwarded prompt tokens when a call is forwarded to a region or
    /// answered there.
    pub(super) fn update_forwarded_tokens(&self, region: &RegionId, change: impl Fn(u64) -> u64) {
        let mut by_region = self.forwarded_tokens.borrow_mut();
        let at = match by_region.binary_search_by(|it| it.0.cmp(region)) {
            Ok(at) => at,
            Err(at) => {
                by_region.insert(at, (region.clone(), 0));
                at
            }
        };
        by_region[at].1 = change(by_region[at].1);
    }

    /// Whether no upstream is left, in any region that may serve the call, at which its stream could go
    /// on.
    pub(super) fn has_version_gone(&self, plan: &Plan) -> bool {
        let settings = self.settings.borrow();
        let upstreams = self.upstreams.borrow();
        let mut ready = upstreams.of_service(&plan.service).filter(|known| {
            known.upstream.state == UpstreamState::Ready
                && plan.version.allows(known.upstream.software.as_ref())
        });
        let may_serve = |known: &KnownUpstream| {
            let region = settings.region_of(&known.upstream.zone);
            region.is_some_and(|region| plan.route.may_be_served_in(region))
        };
        plan.version != StreamVersion::Free && !ready.any(may_serve)
    }

    /// Number of ready upstreams of a service in a region at which a stream may go on.
    pub(super) fn upstreams_in(
        &self,
        region: &RegionId,
        service: &ServiceName,
        version: &StreamVersion,
    ) -> usize {
        let settings = self.settings.borrow();
        let upstreams = self.upstreams.borrow();
        let ready = upstreams.of_service(service).filter(|known| {
            known.upstream.state == UpstreamState::Ready
                && settings.region_of(&known.upstream.zone) == Some(region)
                && version.allows(known.upstream.software.as_ref())
        });
        ready.count()
    }
}

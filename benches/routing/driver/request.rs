//! A request from its arrival to the routing decision, and its retry after a failed attempt.

use std::time::Duration;

use medlarlug_core::{
    ids::{RegionId, UpstreamId, ZoneId},
    release::Configuration,
    routing::{CallerRequest, ConfigurationLease, Event, ForwardHeader, ForwardedRequest, Permit},
};
use rand::RngExt;
use test_support::id;

use crate::{
    deployment::RUN_SECONDS,
    driver::{
        ATTEMPT_TIMEOUT_SECONDS, Driver, Request, SimulationEvent, WARM_UP_SECONDS,
        ZONE_DELAY_SECONDS, engine_id,
    },
    policy::Decision,
};

/// Largest number of attempts of one request.
const MAX_ATTEMPTS: u32 = 3;

impl Driver {
    pub(super) fn arrive(&mut self, region: usize) {
        let rate = self.scenario.demand()[region]
            * self.deployment.engine_rate()
            * (self.deployment.engines / 3) as f64;
        let gap = self.traffic.interarrival_seconds(rate);
        if self.now + gap < RUN_SECONDS {
            self.after(gap, SimulationEvent::Arrive { region });
        }
        let request = self.request(region);
        self.requests.push(request);
        let request_index = self.requests.len() - 1;
        if self.is_measured(request_index) {
            self.figures.requests += 1;
        }
        self.after(self.deployment.deadline, SimulationEvent::GiveUp { request_index });
        self.decide(request_index);
    }

    pub(super) fn request(&mut self, region: usize) -> Request {
        let request_index = self.requests.len();
        let (facts, job) = self.traffic.request(region, request_index);
        Request {
            caller_request: CallerRequest::new(facts),
            entry: self.traffic.entry(region),
            arrived: self.now,
            job,
            attempts: 0,
            attempt_id: None,
            serving_entry: None,
            engine: None,
            is_remote: false,
            is_started: false,
            is_over: false,
        }
    }

    pub(super) fn is_measured(&self, request_index: usize) -> bool {
        self.requests[request_index].arrived >= WARM_UP_SECONDS
    }

    pub(super) fn decide(&mut self, request_index: usize) {
        let now = self.clock();
        let request = &mut self.requests[request_index];
        if request.is_over {
            return;
        }
        request.attempts += 1;
        let spent = self.now - request.arrived;
        let left = (self.deployment.deadline - spent).max(0.0);
        request.caller_request.facts.deadline = Duration::from_secs_f64(left);
        if request.attempts > MAX_ATTEMPTS {
            return self.refuse(request_index);
        }
        let entry = &mut self.entries[request.entry];
        let decision = entry.decider.decide(
            now,
            &entry.membership,
            &self.configuration,
            &request.caller_request,
        );
        match decision {
            Decision::Serve(upstream, attempt_id) => {
                request.attempt_id = None;
                request.serving_entry = Some((request.entry, attempt_id));
                request.is_remote = false;
                self.send(request_index, &upstream);
            }
            Decision::Forward(zone, attempt_id) => {
                request.attempt_id = attempt_id;
                request.serving_entry = None;
                request.is_remote = true;
                let zone = self.zone(&zone);
                let own = self.entries[self.requests[request_index].entry].zone;
                if self.is_partitioned(own, zone) {
                    self.after(
                        ATTEMPT_TIMEOUT_SECONDS,
                        SimulationEvent::AttemptFailed { request_index },
                    );
                } else {
                    self.after(
                        self.deployment.region_delay,
                        SimulationEvent::ReachZone { request_index, zone },
                    );
                }
            }
            Decision::Refuse => self.refuse(request_index),
        }
    }

    pub(super) fn zone(&self, zone: &ZoneId) -> usize {
        self.deployment.zones.iter().position(|it| it.0 == zone.as_str()).unwrap()
    }

    pub(super) fn send(&mut self, request_index: usize, upstream: &UpstreamId) {
        let engine = upstream.as_str()[1..].parse().unwrap();
        self.after(ZONE_DELAY_SECONDS, SimulationEvent::ReachEngine { request_index, engine });
    }

    pub(super) fn reach_zone(&mut self, request_index: usize, zone: usize) {
        let now = self.clock();
        let serving_index = self.entry_of_zone(zone);
        let own = id(self.deployment.zones[zone].1);
        let request = &mut self.requests[request_index];
        let header = header(&self.configuration, &request.caller_request, &own);
        let forwarded = ForwardedRequest::receive(header, &self.configuration, &own).unwrap();
        let entry = &mut self.entries[serving_index];
        let decision =
            entry.decider.decide_forwarded(now, &entry.membership, &self.configuration, &forwarded);
        match decision {
            Decision::Serve(upstream, attempt_id) => {
                request.serving_entry = Some((serving_index, attempt_id));
                self.send(request_index, &upstream);
            }
            _ => {
                request.caller_request.exclude_zone(id(self.deployment.zones[zone].0));
                self.after(
                    self.deployment.region_delay,
                    SimulationEvent::ForwardRefused { request_index },
                );
            }
        }
    }

    pub(super) fn forward_refused(&mut self, request_index: usize) {
        self.finish_attempt(request_index, Event::Failed);
        self.decide(request_index);
    }

    pub(super) fn refuse(&mut self, request_index: usize) {
        self.requests[request_index].is_over = true;
        if self.is_measured(request_index) {
            self.figures.refused += 1;
        }
    }

    pub(super) fn give_up(&mut self, request_index: usize) {
        if self.requests[request_index].is_over {
            return;
        }
        self.refuse(request_index);
        if let Some((engine, epoch)) = self.requests[request_index].engine
            && self.engines[engine].epoch == epoch
            && self.engines[engine].cancel(request_index)
        {
            self.finish_attempt(request_index, Event::Ended);
        }
    }

    /// Handles an attempt that failed before its first token: excludes its engine, if any, and retries.
    pub(super) fn attempt_failed(&mut self, request_index: usize) {
        self.finish_attempt(request_index, Event::Failed);
        let request = &mut self.requests[request_index];
        if let Some((engine, _)) = request.engine.take() {
            let upstream = engine_id(engine);
            if let Err(index) = request.caller_request.facts.excluded.binary_search(&upstream) {
                request.caller_request.facts.excluded.insert(index, upstream);
            }
        }
        request.is_started = false;
        self.decide(request_index);
    }

    pub(super) fn entry_of_zone(&mut self, zone: usize) -> usize {
        let first: usize = self.deployment.entries[..zone].iter().sum();
        first + self.random.random_range(0..self.deployment.entries[zone])
    }
}

fn header(
    configuration: &Configuration,
    caller_request: &CallerRequest,
    region: &RegionId,
) -> ForwardHeader {
    let lease = ConfigurationLease::Valid;
    let permit =
        Permit::check(configuration, lease, &caller_request.facts, region, region).unwrap();
    caller_request.header(&permit)
}

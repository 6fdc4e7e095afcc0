//! A request from its arrival to the decision, and what follows a failed attempt.

use std::time::Duration;

use medlarlug_core::{
    ids::{RegionId, UpstreamId, ZoneId},
    release::Configuration,
    routing::{CallerRequest, ConfigurationLease, Event, ForwardHeader, ForwardedRequest, Permit},
};
use rand::RngExt;
use test_support::id;

use crate::{
    deployment::SECONDS,
    driver::{Driver, LOSS, NEAR, Request, WARM_UP, What, engine_id},
    policy::Decision,
};

/// Attempts at most for one request.
const ATTEMPTS: u32 = 3;

impl Driver {
    pub(super) fn arrive(&mut self, region: usize) {
        let rate = self.scenario.demand()[region]
            * self.deployment.engine_rate()
            * (self.deployment.engines / 3) as f64;
        let gap = self.traffic.gap(rate);
        if self.now + gap < SECONDS {
            self.after(gap, What::Arrive { region });
        }
        let request = self.request(region);
        self.requests.push(request);
        let attempt = self.requests.len() - 1;
        if self.is_measured(attempt) {
            self.figures.requests += 1;
        }
        self.after(self.deployment.deadline, What::GiveUp { attempt });
        self.decide(attempt);
    }

    pub(super) fn request(&mut self, region: usize) -> Request {
        let attempt = self.requests.len();
        let (facts, job) = self.traffic.request(region, attempt);
        Request {
            origin: CallerRequest::new(facts),
            entry: self.traffic.entry(region),
            arrived: self.now,
            job,
            tries: 0,
            attempt_id: None,
            server: None,
            engine: None,
            is_away: false,
            is_started: false,
            is_over: false,
        }
    }

    pub(super) fn is_measured(&self, attempt: usize) -> bool {
        self.requests[attempt].arrived >= WARM_UP
    }

    pub(super) fn decide(&mut self, attempt: usize) {
        let now = self.clock();
        let request = &mut self.requests[attempt];
        if request.is_over {
            return;
        }
        request.tries += 1;
        let spent = self.now - request.arrived;
        let left = (self.deployment.deadline - spent).max(0.0);
        request.origin.facts.deadline = Duration::from_secs_f64(left);
        if request.tries > ATTEMPTS {
            return self.refuse(attempt);
        }
        let entry = &mut self.entries[request.entry];
        let decision =
            entry.decider.origin(now, &entry.membership, &self.configuration, &request.origin);
        match decision {
            Decision::Serve(upstream, attempt_id) => {
                request.attempt_id = None;
                request.server = Some((request.entry, attempt_id));
                request.is_away = false;
                self.send(attempt, &upstream);
            }
            Decision::Forward(zone, attempt_id) => {
                request.attempt_id = attempt_id;
                request.server = None;
                request.is_away = true;
                let zone = self.zone(&zone);
                let own = self.entries[self.requests[attempt].entry].zone;
                if self.is_cut(own, zone) {
                    self.after(LOSS, What::Lost { attempt });
                } else {
                    self.after(self.deployment.far, What::Cross { attempt, zone });
                }
            }
            Decision::Refuse => self.refuse(attempt),
        }
    }

    pub(super) fn zone(&self, zone: &ZoneId) -> usize {
        self.deployment.zones.iter().position(|it| it.0 == zone.as_str()).unwrap()
    }

    pub(super) fn send(&mut self, attempt: usize, upstream: &UpstreamId) {
        let engine = upstream.as_str()[1..].parse().unwrap();
        self.after(NEAR, What::Reach { attempt, engine });
    }

    pub(super) fn cross(&mut self, attempt: usize, zone: usize) {
        let now = self.clock();
        let entry_place = self.entry_of_zone(zone);
        let own = id(self.deployment.zones[zone].1);
        let request = &mut self.requests[attempt];
        let header = header(&self.configuration, &request.origin, &own);
        let forwarded = ForwardedRequest::receive(header, &self.configuration, &own).unwrap();
        let entry = &mut self.entries[entry_place];
        let decision =
            entry.decider.forwarded(now, &entry.membership, &self.configuration, &forwarded);
        match decision {
            Decision::Serve(upstream, attempt_id) => {
                request.server = Some((entry_place, attempt_id));
                self.send(attempt, &upstream);
            }
            _ => {
                request.origin.exclude_zone(id(self.deployment.zones[zone].0));
                self.after(self.deployment.far, What::Returned { attempt });
            }
        }
    }

    pub(super) fn returned(&mut self, attempt: usize) {
        self.settle(attempt, Event::Failed);
        self.decide(attempt);
    }

    pub(super) fn refuse(&mut self, attempt: usize) {
        self.requests[attempt].is_over = true;
        if self.is_measured(attempt) {
            self.figures.refused += 1;
        }
    }

    pub(super) fn give_up(&mut self, attempt: usize) {
        if self.requests[attempt].is_over {
            return;
        }
        self.refuse(attempt);
        if let Some((engine, epoch)) = self.requests[attempt].engine
            && self.engines[engine].epoch == epoch
            && self.engines[engine].cancel(attempt)
        {
            self.settle(attempt, Event::Ended);
        }
    }

    /// The attempt's answer was lost before the first token.
    pub(super) fn lost(&mut self, attempt: usize) {
        self.settle(attempt, Event::Failed);
        let request = &mut self.requests[attempt];
        if let Some((engine, _)) = request.engine.take() {
            let upstream = engine_id(engine);
            if let Err(place) = request.origin.facts.excluded.binary_search(&upstream) {
                request.origin.facts.excluded.insert(place, upstream);
            }
        }
        request.is_started = false;
        self.decide(attempt);
    }

    pub(super) fn entry_of_zone(&mut self, zone: usize) -> usize {
        let first: usize = self.deployment.entries[..zone].iter().sum();
        first + self.random.random_range(0..self.deployment.entries[zone])
    }
}

fn header(
    configuration: &Configuration,
    origin: &CallerRequest,
    region: &RegionId,
) -> ForwardHeader {
    let lease = ConfigurationLease::Valid;
    let permit = Permit::check(configuration, lease, &origin.facts, region, region).unwrap();
    origin.header(&permit)
}

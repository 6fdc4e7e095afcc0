//! A request at an engine, until it has ended.

use medlarlug_core::routing::{AttemptId, Event};

use crate::{
    deployment::{LINK_PRICE, PROMPT_PRICE},
    driver::{ATTEMPT_TIMEOUT_SECONDS, Driver, SimulationEvent, ZONE_DELAY_SECONDS},
    engine::Started,
};

impl Driver {
    pub(super) fn reach_engine(&mut self, request_index: usize, engine: usize) {
        if !self.engines[engine].is_up {
            return self
                .after(ATTEMPT_TIMEOUT_SECONDS, SimulationEvent::AttemptFailed { request_index });
        }
        if self.requests[request_index].is_over {
            return self.finish_attempt(request_index, Event::Ended);
        }
        self.requests[request_index].engine = Some((engine, self.engines[engine].epoch));
        let started = self.engines[engine].accept(self.now, self.requests[request_index].job);
        if let Some(started) = started {
            self.started(engine, started);
        }
    }

    pub(super) fn started(&mut self, engine: usize, started: Started) {
        let Started { request_index, token_at, end_at, prefill_tokens, is_hit } = started;
        let epoch = self.engines[engine].epoch;
        self.requests[request_index].is_started = true;
        if self.is_measured(request_index) {
            self.figures.starts += 1;
            self.figures.cache_hits += usize::from(is_hit);
            self.figures.cost += prefill_tokens as f64 / 1_000.0 * PROMPT_PRICE;
        }
        self.at(token_at, SimulationEvent::FirstToken { request_index });
        self.at(end_at, SimulationEvent::End { request_index, engine, epoch });
    }

    pub(super) fn first_token(&mut self, request_index: usize) {
        let request = &self.requests[request_index];
        let Some((engine, epoch)) = request.engine else {
            return;
        };
        if self.engines[engine].epoch != epoch || request.is_over {
            return;
        }
        let return_delay = if request.is_remote { self.deployment.region_delay } else { 0.0 };
        let time_to_first_token = self.now - request.arrived
            + return_delay
            + ZONE_DELAY_SECONDS
            + 2.0 * self.deployment.client_delay;
        self.apply(request_index, Event::FirstToken);
        let is_measured = self.is_measured(request_index);
        self.requests[request_index].is_over = true;
        if is_measured {
            self.figures.token_times.push(time_to_first_token);
            self.figures.within_deadline +=
                usize::from(time_to_first_token <= self.deployment.deadline);
            self.figures.remote += usize::from(self.requests[request_index].is_remote);
            let link_price = if self.requests[request_index].is_remote { LINK_PRICE } else { 0.0 };
            self.figures.cost += link_price;
        }
    }

    pub(super) fn apply(&mut self, request_index: usize, event: fn(AttemptId) -> Event) {
        let now = self.clock();
        let request = &self.requests[request_index];
        if let Some((serving_entry, Some(attempt_id))) = request.serving_entry {
            self.entries[serving_entry].decider.apply(now, event(attempt_id));
        }
        if let Some(attempt_id) = request.attempt_id {
            self.entries[request.entry].decider.apply(now, event(attempt_id));
        }
    }

    pub(super) fn finish_attempt(&mut self, request_index: usize, event: fn(AttemptId) -> Event) {
        self.apply(request_index, event);
        self.requests[request_index].serving_entry = None;
        self.requests[request_index].attempt_id = None;
    }

    pub(super) fn end(&mut self, request_index: usize, engine: usize, epoch: u64) {
        if self.engines[engine].epoch != epoch {
            return;
        }
        self.finish_attempt(request_index, Event::Ended);
        let next = self.engines[engine].finish(self.now);
        if let Some(started) = next {
            self.started(engine, started);
        }
    }
}

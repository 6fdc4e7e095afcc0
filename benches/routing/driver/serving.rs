//! A request at an engine, up to its end.

use medlarlug_core::routing::{AttemptId, Event};

use crate::{
    deployment::{LINK_PRICE, PROMPT_PRICE},
    driver::{Driver, LOSS, NEAR, What},
    engine::Started,
};

impl Driver {
    pub(super) fn reach(&mut self, attempt: usize, engine: usize) {
        if !self.engines[engine].is_up {
            return self.after(LOSS, What::Lost { attempt });
        }
        if self.requests[attempt].is_over {
            return self.settle(attempt, Event::Ended);
        }
        self.requests[attempt].engine = Some((engine, self.engines[engine].epoch));
        let started = self.engines[engine].accept(self.now, self.requests[attempt].job);
        if let Some(started) = started {
            self.started(engine, started);
        }
    }

    pub(super) fn started(&mut self, engine: usize, started: Started) {
        let Started { attempt, first, end, processed, is_hit } = started;
        let epoch = self.engines[engine].epoch;
        self.requests[attempt].is_started = true;
        if self.is_measured(attempt) {
            self.figures.starts += 1;
            self.figures.hits += usize::from(is_hit);
            self.figures.cost += processed as f64 / 1_000.0 * PROMPT_PRICE;
        }
        self.at(first, What::FirstToken { attempt });
        self.at(end, What::End { attempt, engine, epoch });
    }

    pub(super) fn first_token(&mut self, attempt: usize) {
        let request = &self.requests[attempt];
        let Some((engine, epoch)) = request.engine else {
            return;
        };
        if self.engines[engine].epoch != epoch || request.is_over {
            return;
        }
        let far = if request.is_away { self.deployment.far } else { 0.0 };
        let took = self.now - request.arrived + far + NEAR + 2.0 * self.deployment.client;
        self.learn(attempt, Event::FirstToken);
        let is_measured = self.is_measured(attempt);
        self.requests[attempt].is_over = true;
        if is_measured {
            self.figures.first_tokens.push(took);
            self.figures.good += usize::from(took <= self.deployment.deadline);
            self.figures.away += usize::from(self.requests[attempt].is_away);
            let link = if self.requests[attempt].is_away { LINK_PRICE } else { 0.0 };
            self.figures.cost += link;
        }
    }

    pub(super) fn learn(&mut self, attempt: usize, event: fn(AttemptId) -> Event) {
        let now = self.clock();
        let request = &self.requests[attempt];
        if let Some((server, Some(attempt_id))) = request.server {
            self.entries[server].decider.learn(now, event(attempt_id));
        }
        if let Some(attempt_id) = request.attempt_id {
            self.entries[request.entry].decider.learn(now, event(attempt_id));
        }
    }

    pub(super) fn settle(&mut self, attempt: usize, event: fn(AttemptId) -> Event) {
        self.learn(attempt, event);
        self.requests[attempt].server = None;
        self.requests[attempt].attempt_id = None;
    }

    pub(super) fn end(&mut self, attempt: usize, engine: usize, epoch: u64) {
        if self.engines[engine].epoch != epoch {
            return;
        }
        self.settle(attempt, Event::Ended);
        let next = self.engines[engine].end(self.now);
        if let Some(started) = next {
            self.started(engine, started);
        }
    }
}

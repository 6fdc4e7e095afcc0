//! Crash and restart of the engines of a region.

use crate::{
    deployment::Fault,
    driver::{ATTEMPT_TIMEOUT_SECONDS, Driver, SimulationEvent},
};

impl Driver {
    pub(super) fn fault(&mut self) {
        if self.scenario.fault != Fault::RegionDown {
            return;
        }
        for engine in 0..self.deployment.engines / 3 {
            self.engines[engine].crash();
        }
        for request_index in 0..self.requests.len() {
            let request = &self.requests[request_index];
            let is_hit = request.engine.is_some_and(|it| it.0 < self.deployment.engines / 3);
            if is_hit && (request.serving_entry.is_some() || request.attempt_id.is_some()) {
                self.after(
                    ATTEMPT_TIMEOUT_SECONDS,
                    SimulationEvent::AttemptFailed { request_index },
                );
            }
        }
    }

    pub(super) fn repair(&mut self) {
        for engine in &mut self.engines {
            engine.is_up = true;
        }
    }
}

//! The loss of a region and its return.

use crate::{
    deployment::Fault,
    driver::{Driver, LOSS, What},
};

impl Driver {
    pub(super) fn fault(&mut self) {
        if self.scenario.fault != Fault::RegionLost {
            return;
        }
        for engine in 0..self.deployment.engines / 3 {
            self.engines[engine].crash();
        }
        for attempt in 0..self.requests.len() {
            let request = &self.requests[attempt];
            let is_hit = request.engine.is_some_and(|it| it.0 < self.deployment.engines / 3);
            if is_hit && (request.server.is_some() || request.attempt_id.is_some()) {
                self.after(LOSS, What::Lost { attempt });
            }
        }
    }

    pub(super) fn repair(&mut self) {
        for engine in &mut self.engines {
            engine.is_up = true;
        }
    }
}

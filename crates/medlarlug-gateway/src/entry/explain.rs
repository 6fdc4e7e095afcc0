//! Explains where a call would go now, by the functions that choose for a real call. Nothing is sent,
//! and nothing is counted.

use std::{cell::OnceCell, rc::Rc, time::Duration};

use hyper::{Method, Request, header};
use medlarlug::protocol::explain::{Decision, Explanation, RegionView, UpstreamView, WaitReason};
use medlarlug_core::{
    gateway::{
        availability::Availability,
        load_shedding::Verdict,
        prefill_queue::PrefillDecision,
        remote_region::REFERENCE_PROMPT_TOKENS,
        upstreams::{KnownUpstream, UpstreamState},
    },
    ids::{InstanceId, RegionId},
};
use thiserror::Error;

use super::{
    Entry,
    call::Call,
    choice::Hop,
    plan::Plan,
    serve::{forecast, own_retry_after, plan_call},
};

/// Why a call can't be explained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ExplainError {
    /// Host or path are no valid ones.
    #[error("host or path are not valid")]
    Invalid,
    /// The instance has no route table yet.
    #[error("no route table is in force yet")]
    NoTable,
    /// No route leads from host and path to a service.
    #[error("no route")]
    NoRoute,
    /// The table has no team of the given name with a key.
    #[error("no team of this name holds a key")]
    UnknownTeam,
    /// The call would not be accepted: its route needs a key, or its team has no home region in common
    /// with it.
    #[error("a call of this team is not accepted on the route; without a team, a key is missing")]
    NotAccepted,
}

impl Entry {
    /// Explains where a call of `team` to `path` at `host` would go now if it arrived here from a
    /// caller. For an engine, a prompt of usual length that shares no part is assumed. Quotas are not
    /// considered.
    ///
    /// # Errors
    ///
    /// There is no such route or team, no table, or the call would not be accepted.
    pub fn explain(
        self: &Rc<Entry>,
        host: &str,
        path: &str,
        team: Option<&str>,
    ) -> Result<Explanation, ExplainError> {
        if !path.starts_with('/') {
            return Err(ExplainError::Invalid);
        }
        let request = Request::builder().method(Method::POST).uri(path).header(header::HOST, host);
        let request = request.body(()).map_err(|_| ExplainError::Invalid)?;
        let mut call = Call::read(request.into_parts().0, &self.names);
        let table = self.table.borrow().clone().ok_or(ExplainError::NoTable)?;
        table.route(&call.host, call.path()).ok_or(ExplainError::NoRoute)?;
        if let Some(team) = team {
            let name = team.parse().map_err(|_| ExplainError::UnknownTeam)?;
            let key = table.teams().and_then(|teams| teams.key_of(&name));
            call.key = Some(key.ok_or(ExplainError::UnknownTeam)?);
        }
        let plan = plan_call(self, &mut call, None, self.now());
        let plan = plan.map_err(|_| ExplainError::NotAccepted)?;
        call.demand.priority = plan.route.priority;
        let prompt_tokens = if plan.is_on_engines() { REFERENCE_PROMPT_TOKENS } else { 0 };
        call.demand.prompt_tokens = prompt_tokens;
        Ok(Explanation {
            route: plan.route.name.clone(),
            service: plan.service.0.clone(),
            table: plan.table.version().0,
            newest_table: self.head.borrow().version.0.max(plan.table.version().0),
            prompt_tokens,
            is_isolated: self.is_isolated(),
            may_serve: plan.route.may_be_served_in(&self.settings.borrow().info.region),
            decision: self.explain_decision(&plan, &call),
            upstreams: self.upstream_views(&plan, &call),
            regions: self.region_views(&plan, &call),
        })
    }

    fn explain_decision(&self, plan: &Plan, call: &Call) -> Decision {
        let hop = plan.next_hop(self, call);
        let left = plan.answer_by - self.now();
        if hop.is_none() && !self.limited_upstreams(plan).is_empty() {
            return Decision::Wait { reason: WaitReason::Permit };
        }
        if hop.is_none() && self.lacks_ramp_room(plan) {
            return Decision::Wait { reason: WaitReason::RampRoom };
        }
        let verdict = forecast(self, plan, hop.as_ref(), left, 0.5);
        if verdict == Verdict::Serve
            && plan.prefill_decision(self, hop.as_ref()) == Some(PrefillDecision::Wait)
        {
            return Decision::Wait { reason: WaitReason::Admission };
        }
        match (hop, verdict) {
            (Some(Hop::Upstream { choice, .. }), Verdict::Serve) => {
                Decision::Upstream { id: choice.id.as_str().into(), wait_ms: millis(choice.wait) }
            }
            (Some(Hop::Peer { id, region, wait, .. }), Verdict::Serve) => Decision::Instance {
                id: id.as_str().into(),
                region: region.as_str().into(),
                wait_ms: millis(wait),
            },
            (hop, verdict) => {
                let retry_after = own_retry_after(self, plan, hop.as_ref(), verdict, left);
                let wait_ms = hop.map(|hop| millis(hop.wait()));
                Decision::Refuse { retry_after_s: retry_after.as_secs_f64(), wait_ms }
            }
        }
    }

    fn upstream_views(&self, plan: &Plan, call: &Call) -> Vec<UpstreamView> {
        let settings = self.settings.borrow();
        let upstreams = self.upstreams.borrow();
        let entries = OnceCell::new();
        let in_region = upstreams.of_service(&plan.service).filter(|known| {
            settings.region_of(&known.upstream.zone) == Some(&settings.info.region)
        });
        in_region.map(|known| self.upstream_view(plan, call, known, &entries)).collect()
    }

    fn upstream_view(
        &self,
        plan: &Plan,
        call: &Call,
        known: &KnownUpstream,
        entries: &OnceCell<Vec<InstanceId>>,
    ) -> UpstreamView {
        let now = self.now();
        let upstream = &known.upstream;
        let (id, birth) = (&upstream.id, upstream.birth);
        let spec = plan.table.service(&plan.service);
        let memory = spec.and_then(|spec| spec.engine).map_or(0, |engine| engine.memory);
        let cold_rate = spec.map_or(0.0, |spec| spec.cold_rate);
        let (loads, peers) = (self.loads.borrow(), self.exchange.instances());
        let choice = loads.choose(now, &call.demand, &[self.candidate(known, memory)], peers);
        let availability = self.availability(now, known);
        UpstreamView {
            id: id.as_str().into(),
            zone: upstream.zone.as_str().into(),
            is_usable: plan.may_use(upstream) && self.is_usable(now, known, cold_rate, entries),
            wait_ms: choice.as_ref().map_or(0, |choice| millis(choice.wait)),
            cost_ms: choice.as_ref().map_or(0, |choice| millis(self.cost(choice))),
            running: loads.region_running(now, id, peers).round() as u64,
            age_ms: millis(now - known.announced_at),
            is_ready: upstream.state == UpstreamState::Ready,
            is_cold: self.is_cold(now, known),
            is_evacuated: self.head.borrow().evacuated.binary_search(&upstream.zone).is_ok(),
            is_avoided: self.healths.borrow().is_avoided(now, id),
            is_leaving: availability == Availability::Leaving,
            backoff_ms: match availability {
                Availability::BackingOff { remaining } => Some(millis(remaining)),
                Availability::Available | Availability::Leaving => None,
            },
            limit: self.named_limit(id, birth),
            has_permit: self.is_permitted(now, known),
            ramp_calls: self.ramps.borrow().allowed(now, id, birth),
        }
    }

    fn region_views(&self, plan: &Plan, call: &Call) -> Vec<RegionView> {
        let now = self.now();
        let own = self.settings.borrow().info.region.clone();
        let contacts = self.contacts.borrow();
        let ready = contacts.live_entries(now).filter(|contact| contact.status.ready);
        let mut of_instances: Vec<RegionId> =
            ready.map(|contact| contact.info.region.clone()).filter(|it| *it != own).collect();
        of_instances.sort();
        let same = of_instances.chunk_by(|a, b| a == b);
        let views = same.map(|instances| RegionView {
            region: instances[0].as_str().into(),
            instances: instances.len(),
            may_serve: plan.route.may_be_served_in(&instances[0]),
            wait_ms: self.region_cost(plan, &call.demand, &instances[0]).map(millis),
        });
        views.collect()
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

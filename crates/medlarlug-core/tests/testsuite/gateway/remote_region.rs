//! Predicted cost of a call in another region.

use std::time::Duration;

use medlarlug_core::gateway::{
    placement::{Demand, PromptPart},
    remote_region::{RemoteService, predicted_cost},
};

const REPORTED_WAIT: Duration = Duration::from_millis(50);

fn region(pending_tokens: u64) -> RemoteService {
    RemoteService { reported_wait: REPORTED_WAIT, pending_tokens, upstreams: 4, is_own: false }
}

/// A prompt with a part that all prompts share and a part of its session.
fn session() -> Demand {
    let part = |id, tokens| PromptPart { id, tokens };
    let parts = vec![part(1, 2_500), part(2, 3_800), part(3, 2_900)];
    Demand { parts, prompt_tokens: 9_200, output_tokens: 50, priority: 1 }
}

#[test]
fn cost_elsewhere_grows_with_forwarded_tokens() {
    let demand = Demand::default();

    let cost_with_pending = predicted_cost(region(40_000), &demand);

    assert!(cost_with_pending > predicted_cost(region(0), &demand) + Duration::from_millis(200));
}

#[test]
fn short_call_costs_the_reported_wait() {
    let query = Demand { prompt_tokens: 800, ..Demand::default() };

    assert_eq!(predicted_cost(region(0), &query), REPORTED_WAIT);
}

/// Guards against a cost that ignores the length of the prompt: regions reported the wait of a
/// short prompt, so every long one looked cheaper elsewhere. Two thirds of the long prompts crossed
/// regions on valaloft-grown, and each region prefilled all sessions.
#[test]
fn long_prompt_costs_its_prefill_elsewhere() {
    let own_part = Duration::from_millis(2_900 / 50);

    assert!(predicted_cost(region(0), &session()) > REPORTED_WAIT + own_part);
}

/// Instances of one region send to the same upstreams.
#[test]
fn shared_parts_are_not_computed_again_at_another_instance_of_the_region() {
    let own = RemoteService { is_own: true, ..region(0) };
    let own_part = Duration::from_secs_f64(0.9 / 40.0);

    assert_eq!(predicted_cost(own, &session()), REPORTED_WAIT + own_part);
}

/// The part of the session is cached locally, so the session moves only when the local region is
/// well behind.
#[test]
fn session_stays_local_while_the_local_wait_is_short() {
    let at_home = Duration::from_millis(250);

    assert!(predicted_cost(region(0), &session()) > at_home);
}

#[test]
fn session_moves_when_the_local_wait_is_long() {
    let at_home = Duration::from_millis(1_200);

    assert!(predicted_cost(region(0), &session()) < at_home);
}

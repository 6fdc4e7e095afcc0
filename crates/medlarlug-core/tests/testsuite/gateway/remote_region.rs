//! What a call costs in another region.

use std::time::Duration;

use medlarlug_core::gateway::{
    placement::{Demand, PromptPart},
    remote_region::{Region, cost},
};

const TOLD: Duration = Duration::from_millis(50);

fn region(unread: u64) -> Region {
    Region { told: TOLD, unread, upstreams: 4 }
}

/// A prompt with parts of everyone and of its session.
fn session() -> Demand {
    let part = |id, tokens| PromptPart { id, tokens };
    let parts = vec![part(1, 2_500), part(2, 3_800), part(3, 2_900)];
    Demand { parts, prompt: 9_200, output: 50, rank: 1 }
}

#[test]
fn cost_elsewhere_grows_with_what_was_handed_over() {
    let demand = Demand::default();

    let grown = cost(region(40_000), &demand);

    assert!(grown > cost(region(0), &demand) + Duration::from_millis(200));
}

#[test]
fn short_call_costs_what_the_region_tells() {
    let query = Demand { prompt: 800, ..Demand::default() };

    assert_eq!(cost(region(0), &query), TOLD);
}

/// Seen on the bench: regions told the wait of a short prompt, so every long one looked cheaper
/// elsewhere. Two thirds of them crossed on valaloft-grown, and each region read all sessions.
#[test]
fn long_prompt_costs_what_has_to_be_read_for_it_elsewhere() {
    let own_part = Duration::from_millis(2_900 / 50);

    assert!(cost(region(0), &session()) > TOLD + own_part);
}

/// At home its session's part is held, so it goes elsewhere only when home is well behind.
#[test]
fn session_stays_at_home_while_home_answers_soon() {
    let at_home = Duration::from_millis(250);

    assert!(cost(region(0), &session()) > at_home);
}

#[test]
fn session_leaves_when_home_is_far_behind() {
    let at_home = Duration::from_millis(1_200);

    assert!(cost(region(0), &session()) < at_home);
}

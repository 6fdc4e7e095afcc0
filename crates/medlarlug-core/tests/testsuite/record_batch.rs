//! Encoding of batches of request records.

use std::time::Duration;

use medlarlug_core::{
    home::Action,
    record::{Outcome, RequestRecord, Stage, TimelineEntry},
    release::ItemKey,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::id;

fn record(rng: &mut ChaCha8Rng) -> RequestRecord {
    let mut name = |kind: &str| format!("{kind}-{}", rng.random_range(0..40));
    let (instance, team, model, upstream) =
        (name("entry"), name("team"), name("model"), name("engine"));
    let stages = [
        Stage::Received { instance: id(&instance) },
        Stage::Forwarded { zone: id(&name("zone")) },
        Stage::Sent { upstream: id(&upstream) },
        Stage::Retried { reason: name("reason").into() },
        Stage::FirstByte,
        Stage::Ended { outcome: Outcome::Failed, reason: name("reason").into() },
    ];
    let count = rng.random_range(0..=stages.len());
    let after = Duration::from_micros(rng.random_range(0..100_000_000));
    let timeline =
        stages.into_iter().take(count).map(|stage| TimelineEntry { after, stage }).collect();
    let sequence: u64 = rng.random();
    let incarnation = rng.random_range(0..3);
    RequestRecord {
        id: id(&format!("riga.{instance}.{incarnation}.{sequence}")),
        team: id(&team),
        target: match rng.random_bool(0.5) {
            true => ItemKey::Model(id(&model)),
            false => ItemKey::Service(id("jobdesk")),
        },
        outcome: rng.random_bool(0.5).then_some(Outcome::Answered),
        timeline,
    }
}

#[test]
fn encoded_batch_decodes_to_the_same_records() {
    for seed in 0..500 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(0..60);
        let action = Action::Records((0..count).map(|_| record(&mut rng)).collect());

        let bytes = postcard::to_stdvec(&action).unwrap();
        let decoded: Action = postcard::from_bytes(&bytes).unwrap();

        assert_eq!(decoded, action, "seed {seed}");
    }
}

#[test]
fn corrupted_batch_is_refused_or_decodes_without_panic() {
    let mut refused = 0;
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let action = Action::Records((0..8).map(|_| record(&mut rng)).collect());
        let mut bytes = postcard::to_stdvec(&action).unwrap();
        let index = rng.random_range(0..bytes.len());
        bytes[index] ^= rng.random_range(1..=255u8);

        refused += usize::from(postcard::from_bytes::<Action>(&bytes).is_err());
    }

    assert!(refused > 0, "no corrupted batch was refused");
}

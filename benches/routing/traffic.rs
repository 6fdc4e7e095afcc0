//! Seeded traffic of one run, which is identical for both routers.

use std::time::Duration;

use medlarlug_core::{
    fingerprint::Fingerprint,
    ids::{Incarnation, RequestId},
    membership::Target,
    routing::{Prefix, RequestFacts},
    units::Tokens,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::id;

use crate::{
    deployment::{Deployment, HOME_BOUND_SHARE},
    engine::Job,
};

/// Number of different documents with which the prompts of one region begin.
const DOCUMENTS_PER_REGION: usize = 60;

pub struct Traffic {
    deployment: Deployment,
    random: ChaCha8Rng,
}

impl Traffic {
    pub fn new(deployment: Deployment, seed: u64) -> Traffic {
        Traffic { deployment, random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Seconds until the next arrival of a Poisson process with `rate` arrivals per second.
    pub fn interarrival_seconds(&mut self, rate: f64) -> f64 {
        -self.random.random_range(f64::MIN_POSITIVE..1.0f64).ln() / rate
    }

    /// Index of a random entry instance of a region.
    pub fn entry(&mut self, region: usize) -> usize {
        let first: usize = self.deployment.entries[..region].iter().sum();
        first + self.random.random_range(0..self.deployment.entries[region])
    }

    pub fn request(&mut self, region: usize, request_index: usize) -> (RequestFacts, Job) {
        let fingerprint = Fingerprint(self.document(region));
        let (low, high) = self.deployment.prompt_tokens;
        let prompt_tokens = self.random.random_range(low..high);
        let answer_tokens = self.random.random_range(0.2..1.8) * self.deployment.answer_tokens;
        let is_home_bound = self.random.random_bool(HOME_BOUND_SHARE);
        let name = self.deployment.zones[region].1;
        let team = format!("{name}-{}", if is_home_bound { "home" } else { "free" });
        let prefix_tokens = self.deployment.prefix_tokens;
        let facts = RequestFacts {
            id: RequestId {
                region: id(name),
                instance: id("e"),
                incarnation: Incarnation(1),
                sequence: request_index as u64,
            },
            team: id(&team),
            target: Target::Model(id("m")),
            adapter: None,
            prompt: Tokens(prompt_tokens),
            prefixes: vec![Prefix { fingerprint, tokens: Tokens(prefix_tokens) }],
            priority: 0,
            deadline: Duration::from_secs_f64(self.deployment.deadline),
            excluded: Vec::new(),
        };
        (
            facts,
            Job { request_index, prefix: fingerprint, prefix_tokens, prompt_tokens, answer_tokens },
        )
    }

    /// Fingerprint of a random document of the region, with probability proportional to 1 / rank.
    fn document(&mut self, region: usize) -> u128 {
        let total: f64 = (1..=DOCUMENTS_PER_REGION).map(|it| 1.0 / it as f64).sum();
        let mut draw = self.random.random_range(0.0..total);
        let mut rank = 1;
        while draw > 1.0 / rank as f64 && rank < DOCUMENTS_PER_REGION {
            draw -= 1.0 / rank as f64;
            rank += 1;
        }
        let number = (region * DOCUMENTS_PER_REGION + rank) as u64;
        Fingerprint::of(&number.to_be_bytes()).0
    }
}

//! The traffic of one run: the same for every router.

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
    deployment::{Deployment, HOME_BOUND},
    engine::Job,
};

/// Documents that the prompts of one region begin with.
const DOCUMENTS: usize = 60;

pub struct Traffic {
    deployment: Deployment,
    random: ChaCha8Rng,
}

impl Traffic {
    pub fn new(deployment: Deployment, seed: u64) -> Traffic {
        Traffic { deployment, random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Seconds until the next arrival at `rate` a second.
    pub fn gap(&mut self, rate: f64) -> f64 {
        -self.random.random_range(f64::MIN_POSITIVE..1.0f64).ln() / rate
    }

    /// The entry instance that a caller of a region uses.
    pub fn entry(&mut self, region: usize) -> usize {
        let first: usize = self.deployment.entries[..region].iter().sum();
        first + self.random.random_range(0..self.deployment.entries[region])
    }

    pub fn request(&mut self, region: usize, attempt: usize) -> (RequestFacts, Job) {
        let print = Fingerprint(self.document(region));
        let (low, high) = self.deployment.prompt;
        let prompt = self.random.random_range(low..high);
        let answer = self.random.random_range(0.2..1.8) * self.deployment.answer;
        let is_bound = self.random.random_bool(HOME_BOUND);
        let name = self.deployment.zones[region].1;
        let team = format!("{name}-{}", if is_bound { "home" } else { "free" });
        let prefix_tokens = self.deployment.prefix_tokens;
        let facts = RequestFacts {
            id: RequestId {
                region: id(name),
                instance: id("e"),
                incarnation: Incarnation(1),
                sequence: attempt as u64,
            },
            team: id(&team),
            target: Target::Model(id("m")),
            adapter: None,
            prompt: Tokens(prompt),
            prefixes: vec![Prefix { fingerprint: print, tokens: Tokens(prefix_tokens) }],
            priority: 0,
            deadline: Duration::from_secs_f64(self.deployment.deadline),
            excluded: Vec::new(),
        };
        (facts, Job { attempt, prefix: print, prefix_tokens, prompt, answer })
    }

    /// A document of the region, the popular ones more often.
    fn document(&mut self, region: usize) -> u128 {
        let total: f64 = (1..=DOCUMENTS).map(|it| 1.0 / it as f64).sum();
        let mut draw = self.random.random_range(0.0..total);
        let mut rank = 1;
        while draw > 1.0 / rank as f64 && rank < DOCUMENTS {
            draw -= 1.0 / rank as f64;
            rank += 1;
        }
        let number = (region * DOCUMENTS + rank) as u64;
        Fingerprint::of(&number.to_be_bytes()).0
    }
}

//! Where prefixes were sent lately: fills the gaps of late cache events.

use std::time::Duration;

use crate::{
    fingerprint::Fingerprint, ids::UpstreamId, routing::request::Prefix, time::Time, units::Tokens,
};

/// Time for which a prefix counts as warm where it was sent.
const LIFETIME: Duration = Duration::from_secs(30);
/// Prefixes that are remembered.
const CAPACITY: usize = 4_096;

/// Upstreams that prefixes were sent to lately, sorted by prefix.
#[derive(Debug, Clone, Default)]
pub(super) struct Affinity {
    sent: Vec<SentPrefix>,
}

#[derive(Debug, Clone)]
struct SentPrefix {
    fingerprint: Fingerprint,
    upstream: UpstreamId,
    tokens: Tokens,
    at: Time,
}

impl Affinity {
    /// Notes that a prompt with these prefixes was sent.
    pub(super) fn note(&mut self, now: Time, prefixes: &[Prefix], upstream: &UpstreamId) {
        if self.sent.len() + prefixes.len() > CAPACITY {
            self.shrink(now);
        }
        for prefix in prefixes {
            let Prefix { fingerprint, tokens } = *prefix;
            let key = |it: &SentPrefix| (it.fingerprint, it.upstream.clone());
            match self.sent.binary_search_by(|it| key(it).cmp(&(fingerprint, upstream.clone()))) {
                Ok(place) => self.sent[place].at = now,
                Err(place) => {
                    let upstream = upstream.clone();
                    self.sent.insert(place, SentPrefix { fingerprint, upstream, tokens, at: now });
                }
            }
        }
    }

    /// Forgets an upstream whose cache is gone.
    pub(super) fn forget(&mut self, upstream: &UpstreamId) {
        self.sent.retain(|it| it.upstream != *upstream);
    }

    fn shrink(&mut self, now: Time) {
        self.sent.retain(|it| now - it.at < LIFETIME);
        while self.sent.len() > CAPACITY / 2 {
            let mut times: Vec<Time> = self.sent.iter().map(|it| it.at).collect();
            times.sort_unstable();
            let middle = times[times.len() / 2];
            self.sent.retain(|it| it.at > middle);
        }
    }

    /// Upstreams where one of the prefixes was sent lately, with the longest one's length.
    pub(super) fn upstreams(&self, now: Time, prefixes: &[Prefix]) -> Vec<(&UpstreamId, Tokens)> {
        let mut found: Vec<(&UpstreamId, Tokens)> = Vec::new();
        for prefix in prefixes {
            let start = self.sent.partition_point(|it| it.fingerprint < prefix.fingerprint);
            let same =
                self.sent[start..].iter().take_while(|it| it.fingerprint == prefix.fingerprint);
            for it in same.filter(|it| now - it.at < LIFETIME) {
                if found.iter().all(|(id, _)| *id != &it.upstream) {
                    found.push((&it.upstream, it.tokens));
                }
            }
        }
        found
    }
}

//! Upstreams that prompt prefixes were recently sent to. A prefix is assumed to be cached where it
//! was sent, since cache events of upstreams arrive late and with gaps.

use std::time::Duration;

use crate::{
    fingerprint::Fingerprint, ids::UpstreamId, routing::request::Prefix, time::Time, units::Tokens,
};

/// Time for which a prefix is assumed to be cached at the upstream that it was sent to.
const AFFINITY_LIFETIME: Duration = Duration::from_secs(30);
/// Most pairs of a prefix and an upstream that are kept.
const MAX_SENT_PREFIXES: usize = 4_096;

/// Upstreams that prefixes were recently sent to, sorted by prefix.
#[derive(Debug, Clone, Default)]
pub(super) struct Affinity {
    sent: Vec<SentPrefix>,
}

#[derive(Debug, Clone)]
struct SentPrefix {
    fingerprint: Fingerprint,
    upstream: UpstreamId,
    tokens: Tokens,
    sent_at: Time,
}

impl Affinity {
    /// Records that a prompt with these prefixes was sent to `upstream`.
    pub(super) fn record(&mut self, now: Time, prefixes: &[Prefix], upstream: &UpstreamId) {
        if self.sent.len() + prefixes.len() > MAX_SENT_PREFIXES {
            self.evict(now);
        }
        for prefix in prefixes {
            let Prefix { fingerprint, tokens } = *prefix;
            let key = |it: &SentPrefix| (it.fingerprint, it.upstream.clone());
            match self.sent.binary_search_by(|it| key(it).cmp(&(fingerprint, upstream.clone()))) {
                Ok(index) => self.sent[index].sent_at = now,
                Err(index) => {
                    let upstream = upstream.clone();
                    self.sent
                        .insert(index, SentPrefix { fingerprint, upstream, tokens, sent_at: now });
                }
            }
        }
    }

    /// Removes an upstream whose cache is empty, because it restarted.
    pub(super) fn remove(&mut self, upstream: &UpstreamId) {
        self.sent.retain(|it| it.upstream != *upstream);
    }

    /// Evicts expired entries, then the older half until at most half of the capacity is used.
    fn evict(&mut self, now: Time) {
        self.sent.retain(|it| now - it.sent_at < AFFINITY_LIFETIME);
        while self.sent.len() > MAX_SENT_PREFIXES / 2 {
            let mut times: Vec<Time> = self.sent.iter().map(|it| it.sent_at).collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.sent.retain(|it| it.sent_at > median);
        }
    }

    /// Upstreams that any of `prefixes` was recently sent to, each with the length of the first
    /// such prefix; callers pass the longest prefix first.
    pub(super) fn upstreams(&self, now: Time, prefixes: &[Prefix]) -> Vec<(&UpstreamId, Tokens)> {
        let mut found: Vec<(&UpstreamId, Tokens)> = Vec::new();
        for prefix in prefixes {
            let start = self.sent.partition_point(|it| it.fingerprint < prefix.fingerprint);
            let same =
                self.sent[start..].iter().take_while(|it| it.fingerprint == prefix.fingerprint);
            for it in same.filter(|it| now - it.sent_at < AFFINITY_LIFETIME) {
                if found.iter().all(|(id, _)| *id != &it.upstream) {
                    found.push((&it.upstream, it.tokens));
                }
            }
        }
        found
    }
}

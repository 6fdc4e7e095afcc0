//! A bounded cache of prompt prefixes with LRU eviction.
//!
//! Prefixes are identified by their fingerprints from [`medlarlug_core::fingerprint::prefixes`]. As
//! with real engines, changes are reported late and some are never reported.

use medlarlug_core::{
    fingerprint::{Fingerprint, PREFIX_BLOCK_BYTES, prefixes},
    units::Tokens,
};

use crate::standin::answer::BYTES_PER_TOKEN;

/// Number of tokens of one block, the unit in which prefixes grow.
pub const BLOCK_TOKENS: u64 = (PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN) as u64;

/// Every n-th change of the cache is not reported.
const UNREPORTED_CHANGE_INTERVAL: u64 = 7;

/// The cache of one engine.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    entries: Vec<Entry>,
    /// Counts lookups of prefixes; the time of [`Entry::last_used`].
    clock: u64,
    change_count: u64,
    cached: Vec<Fingerprint>,
    evicted: Vec<Fingerprint>,
}

#[derive(Debug)]
struct Entry {
    prefix: Fingerprint,
    last_used: u64,
}

impl PrefixCache {
    /// An empty cache for `size` tokens.
    pub fn new(size: Tokens) -> PrefixCache {
        let capacity = usize::try_from(size.0 / BLOCK_TOKENS).unwrap_or(usize::MAX);
        PrefixCache {
            capacity,
            entries: Vec::new(),
            clock: 0,
            change_count: 0,
            cached: Vec::new(),
            evicted: Vec::new(),
        }
    }

    /// Inserts the prefixes of `prompt` and returns how many tokens of it were cached before.
    ///
    /// ```
    /// use medlarlug::standin::cache::PrefixCache;
    /// use medlarlug_core::units::Tokens;
    ///
    /// let mut cache = PrefixCache::new(Tokens(1_000));
    /// let prompt = "x".repeat(512);
    /// assert_eq!(cache.insert_prompt(&prompt), Tokens(0));
    /// assert_eq!(cache.insert_prompt(&prompt), Tokens(128));
    /// ```
    pub fn insert_prompt(&mut self, prompt: &str) -> Tokens {
        let mut hits = 0;
        let mut is_prefix = true;
        for prefix in prefixes(prompt) {
            self.clock += 1;
            match self.entries.binary_search_by(|it| it.prefix.cmp(&prefix)) {
                Ok(found) => {
                    self.entries[found].last_used = self.clock;
                    hits += u64::from(is_prefix);
                }
                Err(index) => {
                    is_prefix = false;
                    self.entries.insert(index, Entry { prefix, last_used: self.clock });
                    self.record_cached(prefix);
                }
            }
        }
        self.evict_excess();
        Tokens(hits * BLOCK_TOKENS)
    }

    /// Returns the changes to report since the last call: inserted and evicted prefixes.
    pub fn take_changes(&mut self) -> (Vec<Fingerprint>, Vec<Fingerprint>) {
        (std::mem::take(&mut self.cached), std::mem::take(&mut self.evicted))
    }

    fn evict_excess(&mut self) {
        while self.entries.len() > self.capacity {
            let oldest = self.entries.iter().enumerate().min_by_key(|(_, it)| it.last_used);
            let Some((index, _)) = oldest else {
                return;
            };
            let entry = self.entries.remove(index);
            if self.next_change_is_reported() {
                self.evicted.push(entry.prefix);
            }
        }
    }

    fn record_cached(&mut self, prefix: Fingerprint) {
        if self.next_change_is_reported() {
            self.cached.push(prefix);
        }
    }

    fn next_change_is_reported(&mut self) -> bool {
        self.change_count += 1;
        !self.change_count.is_multiple_of(UNREPORTED_CHANGE_INTERVAL)
    }
}

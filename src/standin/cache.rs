//! A bounded cache of prompt prefixes.
//!
//! Prefixes are named as [`medlarlug_core::fingerprint::prefixes`] names them. The least recently
//! used one leaves first. Changes are reported
//! late, and some are never reported, as engines do.

use medlarlug_core::{
    fingerprint::{Fingerprint, PREFIX_BLOCK_BYTES, prefixes},
    units::Tokens,
};

use crate::standin::answer::BYTES_PER_TOKEN;

/// Tokens of one block.
pub const BLOCK_TOKENS: u64 = (PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN) as u64;

/// One change out of this many is never reported.
const GAP: u64 = 7;

/// The cache of one engine.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    entries: Vec<Entry>,
    clock: u64,
    changes: u64,
    cached: Vec<Fingerprint>,
    evicted: Vec<Fingerprint>,
}

#[derive(Debug)]
struct Entry {
    prefix: Fingerprint,
    used: u64,
}

impl PrefixCache {
    /// An empty cache of `size` tokens.
    pub fn new(size: Tokens) -> PrefixCache {
        let capacity = usize::try_from(size.0 / BLOCK_TOKENS).unwrap_or(usize::MAX);
        PrefixCache {
            capacity,
            entries: Vec::new(),
            clock: 0,
            changes: 0,
            cached: Vec::new(),
            evicted: Vec::new(),
        }
    }

    /// Puts the prefixes of `prompt` in and returns how many of its tokens were there before.
    ///
    /// ```
    /// use medlarlug::standin::cache::PrefixCache;
    /// use medlarlug_core::units::Tokens;
    ///
    /// let mut cache = PrefixCache::new(Tokens(1_000));
    /// let prompt = "x".repeat(512);
    /// assert_eq!(cache.visit(&prompt), Tokens(0));
    /// assert_eq!(cache.visit(&prompt), Tokens(128));
    /// ```
    pub fn visit(&mut self, prompt: &str) -> Tokens {
        let mut hits = 0;
        let mut is_prefix = true;
        for prefix in prefixes(prompt) {
            self.clock += 1;
            match self.entries.binary_search_by(|it| it.prefix.cmp(&prefix)) {
                Ok(found) => {
                    self.entries[found].used = self.clock;
                    hits += u64::from(is_prefix);
                }
                Err(place) => {
                    is_prefix = false;
                    self.entries.insert(place, Entry { prefix, used: self.clock });
                    self.note_cached(prefix);
                }
            }
        }
        self.shrink();
        Tokens(hits * BLOCK_TOKENS)
    }

    /// Takes the changes to report: prefixes that came and prefixes that left.
    pub fn take_changes(&mut self) -> (Vec<Fingerprint>, Vec<Fingerprint>) {
        (std::mem::take(&mut self.cached), std::mem::take(&mut self.evicted))
    }

    fn shrink(&mut self) {
        while self.entries.len() > self.capacity {
            let oldest = self.entries.iter().enumerate().min_by_key(|(_, it)| it.used);
            let Some((index, _)) = oldest else {
                return;
            };
            let entry = self.entries.remove(index);
            if self.is_reported() {
                self.evicted.push(entry.prefix);
            }
        }
    }

    fn note_cached(&mut self, prefix: Fingerprint) {
        if self.is_reported() {
            self.cached.push(prefix);
        }
    }

    fn is_reported(&mut self) -> bool {
        self.changes += 1;
        !self.changes.is_multiple_of(GAP)
    }
}

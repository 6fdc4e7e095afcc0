//! Prefixes in the cache of an upstream, according to its cache events.

use serde::{Deserialize, Serialize};

use crate::{fingerprint::Fingerprint, membership::timing::MAX_WARM_PREFIXES};

/// The last 24 bits of the fingerprint of a prefix, which fit the byte budget of the messages. Two
/// prefixes that share them only make a prediction less exact: a prefix has a chance of one in
/// 65,536 of being mistaken for one of the 256 of an upstream.
///
/// ```
/// use medlarlug_core::{fingerprint::Fingerprint, membership::ShortFingerprint};
///
/// assert_eq!(ShortFingerprint::from(Fingerprint(7)), ShortFingerprint::from(Fingerprint(7 + (1 << 24))));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShortFingerprint([u8; 3]);

impl From<Fingerprint> for ShortFingerprint {
    fn from(fingerprint: Fingerprint) -> ShortFingerprint {
        let [_, bytes @ ..] = (fingerprint.0 as u32).to_be_bytes();
        ShortFingerprint(bytes)
    }
}

impl ShortFingerprint {
    /// The bits as a number.
    pub fn bits(self) -> u32 {
        let [first, second, third] = self.0;
        u32::from_be_bytes([0, first, second, third])
    }
}

/// A bounded set of prefixes, which evicts the one that was reported longest ago.
///
/// ```
/// use medlarlug_core::{fingerprint::Fingerprint, membership::WarmSet};
///
/// let mut warm = WarmSet::default();
/// warm.insert(Fingerprint(7).into());
/// assert!(warm.contains(Fingerprint(7).into()));
/// warm.remove(Fingerprint(7).into());
/// assert!(!warm.contains(Fingerprint(7).into()));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WarmSet {
    prefixes: Vec<ReportedPrefix>,
    report_count: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReportedPrefix {
    fingerprint: ShortFingerprint,
    report: u64,
}

impl WarmSet {
    /// Whether the prefix is expected to be cached.
    pub fn contains(&self, fingerprint: ShortFingerprint) -> bool {
        self.find(fingerprint).is_ok()
    }

    /// Adds a prefix, or records that it was reported again.
    pub fn insert(&mut self, fingerprint: ShortFingerprint) {
        self.report_count += 1;
        let report = self.report_count;
        match self.find(fingerprint) {
            Ok(index) => self.prefixes[index].report = report,
            Err(index) => self.prefixes.insert(index, ReportedPrefix { fingerprint, report }),
        }
        if self.prefixes.len() > MAX_WARM_PREFIXES {
            self.drop_oldest();
        }
    }

    /// Removes a prefix that the upstream has evicted.
    pub fn remove(&mut self, fingerprint: ShortFingerprint) {
        if let Ok(index) = self.find(fingerprint) {
            self.prefixes.remove(index);
        }
    }

    /// The `count` prefixes that were reported last, the newest first.
    pub fn newest(&self, count: usize) -> Vec<ShortFingerprint> {
        let mut prefixes = self.prefixes.clone();
        prefixes.sort_by_key(|it| std::cmp::Reverse(it.report));
        prefixes.into_iter().take(count).map(|it| it.fingerprint).collect()
    }

    fn find(&self, fingerprint: ShortFingerprint) -> Result<usize, usize> {
        self.prefixes.binary_search_by_key(&fingerprint, |it| it.fingerprint)
    }

    fn drop_oldest(&mut self) {
        let oldest = (0..self.prefixes.len()).min_by_key(|it| self.prefixes[*it].report);
        if let Some(index) = oldest {
            self.prefixes.remove(index);
        }
    }
}

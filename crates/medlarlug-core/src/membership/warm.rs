//! Prefixes in an upstream's cache, as far as its events tell.

use serde::{Deserialize, Serialize};

use crate::{fingerprint::Fingerprint, membership::timing::MAX_WARM_PREFIXES};

/// The last 24 bits of a prefix's fingerprint: short enough for the byte budget of the messages.
/// Two prefixes that share them only make a prediction less exact; one out of 65,536 is taken for
/// one of the 256 of an upstream.
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
    fn from(print: Fingerprint) -> ShortFingerprint {
        let [_, bytes @ ..] = (print.0 as u32).to_be_bytes();
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

/// A bounded set of prefixes; the one that was reported longest ago goes first.
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
    prints: Vec<Reported>,
    reports: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Reported {
    print: ShortFingerprint,
    report: u64,
}

impl WarmSet {
    /// Whether the prefix is in the set.
    pub fn contains(&self, print: ShortFingerprint) -> bool {
        self.find(print).is_ok()
    }

    /// Adds a prefix, or notes that it was reported again.
    pub fn insert(&mut self, print: ShortFingerprint) {
        self.reports += 1;
        let report = self.reports;
        match self.find(print) {
            Ok(place) => self.prints[place].report = report,
            Err(place) => self.prints.insert(place, Reported { print, report }),
        }
        if self.prints.len() > MAX_WARM_PREFIXES {
            self.drop_oldest();
        }
    }

    /// Takes a prefix out.
    pub fn remove(&mut self, print: ShortFingerprint) {
        if let Ok(place) = self.find(print) {
            self.prints.remove(place);
        }
    }

    /// The `count` prefixes that were reported last, the newest first.
    pub fn newest(&self, count: usize) -> Vec<ShortFingerprint> {
        let mut prints = self.prints.clone();
        prints.sort_by_key(|it| std::cmp::Reverse(it.report));
        prints.into_iter().take(count).map(|it| it.print).collect()
    }

    fn find(&self, print: ShortFingerprint) -> Result<usize, usize> {
        self.prints.binary_search_by_key(&print, |it| it.print)
    }

    fn drop_oldest(&mut self) {
        let oldest = (0..self.prints.len()).min_by_key(|it| self.prints[*it].report);
        if let Some(place) = oldest {
            self.prints.remove(place);
        }
    }
}

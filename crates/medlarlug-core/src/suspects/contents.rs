//! What a request holds that may crash an upstream.

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;

/// The contents of a request, by which requests that crash upstreams are recognized.
///
/// ```
/// use medlarlug_core::{fingerprint::Fingerprint, suspects::RequestContents};
///
/// let whole = Fingerprint::of(b"request");
/// let part = Fingerprint::of(b"part");
/// let contents = RequestContents::new(whole, vec![part, part]);
/// assert_eq!(contents.parts(), [part]);
/// assert!(contents.contains(part) && contents.contains(whole));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestContents {
    whole: Fingerprint,
    parts: Vec<Fingerprint>,
}

impl RequestContents {
    /// The contents of the request `whole`, whose prompt holds `parts` that other requests may hold as
    /// well.
    pub fn new(whole: Fingerprint, mut parts: Vec<Fingerprint>) -> RequestContents {
        parts.sort_unstable();
        parts.dedup();
        RequestContents { whole, parts }
    }

    /// Fingerprint of the request as a whole.
    pub fn whole(&self) -> Fingerprint {
        self.whole
    }

    /// Fingerprints of the parts of its prompt, sorted.
    pub fn parts(&self) -> &[Fingerprint] {
        &self.parts
    }

    /// The fingerprints of the request as a whole and of its parts.
    pub fn iter(&self) -> impl Iterator<Item = Fingerprint> {
        std::iter::once(self.whole).chain(self.parts.iter().copied())
    }

    /// Whether the request is the content, or holds it as a part.
    pub fn contains(&self, content: Fingerprint) -> bool {
        self.whole == content || self.parts.binary_search(&content).is_ok()
    }

    /// The same request with only those parts that satisfy `keep`.
    pub fn with_parts(&self, mut keep: impl FnMut(Fingerprint) -> bool) -> RequestContents {
        let parts = self.parts.iter().copied().filter(|&it| keep(it)).collect();
        RequestContents { whole: self.whole, parts }
    }
}

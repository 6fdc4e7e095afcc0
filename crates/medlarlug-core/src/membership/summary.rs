//! Summaries of what a zone can serve.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ModelId, ServiceId},
    membership::ShortFingerprint,
    release::ItemKey,
};

/// The model or service that a request names.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Target {
    /// A model, at any of its versions.
    Model(ModelId),
    /// A service that is not a model.
    Service(ServiceId),
}

impl Target {
    /// Key of the target's item in the configuration.
    pub fn key(&self) -> ItemKey {
        match self {
            Target::Model(id) => ItemKey::Model(id.clone()),
            Target::Service(id) => ItemKey::Service(id.clone()),
        }
    }
}

/// What one zone can serve of one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetSummary {
    /// Model or service that the other fields refer to.
    pub target: Target,
    /// Number of usable upstreams that serve the target.
    pub upstreams: u16,
    /// Free slots, over all upstreams.
    pub free: u32,
    /// Mean of the predicted queueing times of the upstreams.
    pub queueing: QueueTime,
    /// Tokens generated per second, over all upstreams.
    pub speed: u32,
    /// Prefixes that are cached at some upstream of the zone.
    pub warm: Sketch,
}

/// A queueing time in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct QueueTime(pub u32);

impl QueueTime {
    /// Converts to a [`Duration`].
    pub fn duration(self) -> Duration {
        Duration::from_millis(u64::from(self.0))
    }
}

/// A small Bloom filter of prefixes: false positives are possible, false negatives are not.
///
/// ```
/// use medlarlug_core::{fingerprint::Fingerprint, membership::Sketch};
///
/// let mut sketch = Sketch::default();
/// sketch.insert(Fingerprint::of(b"prefix").into());
/// assert!(sketch.contains(Fingerprint::of(b"prefix").into()));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Option<[u8; 8]>", into = "Option<[u8; 8]>")]
pub struct Sketch([u8; 8]);

impl From<Option<[u8; 8]>> for Sketch {
    fn from(bytes: Option<[u8; 8]>) -> Sketch {
        Sketch(bytes.unwrap_or_default())
    }
}

/// An empty sketch is encoded as one byte in messages.
impl From<Sketch> for Option<[u8; 8]> {
    fn from(sketch: Sketch) -> Option<[u8; 8]> {
        (sketch != Sketch::default()).then_some(sketch.0)
    }
}

impl Sketch {
    const BITS: u32 = 64;
    /// Number of prefixes of each upstream that enter the sketch, the newest ones.
    pub(super) const PREFIXES: usize = 4;

    /// Adds a prefix; it can't be removed again.
    pub fn insert(&mut self, prefix: ShortFingerprint) {
        for bit in Self::positions(prefix) {
            self.0[bit / 8] |= 1 << (bit % 8);
        }
    }

    /// Whether the prefix may have been added; false positives are possible.
    pub fn contains(&self, prefix: ShortFingerprint) -> bool {
        Self::positions(prefix).iter().all(|bit| self.0[bit / 8] & (1 << (bit % 8)) != 0)
    }

    fn positions(prefix: ShortFingerprint) -> [usize; 2] {
        let bits = prefix.bits();
        [(bits % Self::BITS) as usize, (bits / Self::BITS % Self::BITS) as usize]
    }
}

impl TargetSummary {
    /// An empty summary: the zone has no upstream for the target.
    pub fn empty(target: Target) -> TargetSummary {
        let (queueing, warm) = (QueueTime::default(), Sketch::default());
        TargetSummary { target, upstreams: 0, free: 0, queueing, speed: 0, warm }
    }

    /// Whether this summary differs so much from `other`, the one sent last, that routing may
    /// decide differently.
    pub fn differs(&self, other: &TargetSummary) -> bool {
        let free = self.free.abs_diff(other.free);
        let queueing = self.queueing.0.abs_diff(other.queueing.0);
        self.upstreams != other.upstreams
            || (self.free == 0) != (other.free == 0)
            || free * 4 > other.free
            || (queueing > MIN_DIFFERENCE_MS && queueing * 4 > other.queueing.0)
    }
}

/// Queueing times that differ by no more than this many milliseconds count as equal.
const MIN_DIFFERENCE_MS: u32 = 50;

//! Fingerprints of request contents, keys and prompt prefixes.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use smol_str::SmolStr;

use crate::ids::IdError;

/// A fingerprint: the first 128 bits of a BLAKE3 hash.
///
/// ```
/// use medlarlug_core::fingerprint::Fingerprint;
///
/// let fingerprint = Fingerprint::of(b"one request");
/// assert_eq!(fingerprint.to_string().parse::<Fingerprint>().unwrap(), fingerprint);
/// assert_ne!(fingerprint, Fingerprint::of(b"another"));
/// ```
///
/// Serialized as 32 hexadecimal digits in text formats, and as a number in binary ones.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// The fingerprint of `content`.
    pub fn of(content: &[u8]) -> Fingerprint {
        let hash = blake3::hash(content);
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.as_bytes()[..16]);
        Fingerprint(u128::from_be_bytes(bytes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for Fingerprint {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            serializer.serialize_u128(self.0)
        }
    }
}

impl<'de> Deserialize<'de> for Fingerprint {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Fingerprint, D::Error> {
        if deserializer.is_human_readable() {
            let text = SmolStr::deserialize(deserializer)?;
            text.parse().map_err(D::Error::custom)
        } else {
            u128::deserialize(deserializer).map(Fingerprint)
        }
    }
}

impl FromStr for Fingerprint {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        u128::from_str_radix(text, 16)
            .map(Fingerprint)
            .map_err(|_| IdError::Number { text: text.into() })
    }
}

/// Size of one block of prompt text in the prefix cache, in bytes.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Maximum number of blocks of a prompt that are fingerprinted.
pub const MAX_PREFIX_BLOCKS: usize = 32;

/// Fingerprints of the prefixes of a prompt: one for each complete block, computed over all text up to the
/// block's end.
///
/// Gateway and engines use the same scheme, so that cache events can be matched with prompts.
///
/// ```
/// use medlarlug_core::fingerprint::prefixes;
///
/// let (long, longer) = ("x".repeat(600), "x".repeat(600) + &"y".repeat(300));
/// assert_eq!(prefixes(&long).len(), 2);
/// assert_eq!(prefixes(&longer)[..2], prefixes(&long)[..]);
/// ```
pub fn prefixes(prompt: &str) -> Vec<Fingerprint> {
    let mut hasher = blake3::Hasher::new();
    let mut fingerprints = Vec::new();
    for block in prompt.as_bytes().chunks_exact(PREFIX_BLOCK_BYTES).take(MAX_PREFIX_BLOCKS) {
        hasher.update(block);
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        fingerprints.push(Fingerprint(u128::from_be_bytes(bytes)));
    }
    fingerprints
}

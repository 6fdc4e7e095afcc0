//! Content fingerprints of requests, keys and prompt prefixes.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::ids::IdError;

/// The first 128 bits of a BLAKE3 hash.
///
/// ```
/// use medlarlug_core::fingerprint::Fingerprint;
///
/// let print = Fingerprint::of(b"one request");
/// assert_eq!(print.to_string().parse::<Fingerprint>().unwrap(), print);
/// assert_ne!(print, Fingerprint::of(b"another"));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
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

impl FromStr for Fingerprint {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        u128::from_str_radix(text, 16)
            .map(Fingerprint)
            .map_err(|_| IdError::Number { text: text.into() })
    }
}

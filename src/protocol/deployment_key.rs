//! The deployment key, which authenticates messages between processes and announcements of
//! upstreams.
//!
//! The key is derived from the text of a key file. One or two keys are in use: the first signs, all
//! verify, so that a key can be rotated while processes run.

use std::fmt;

use blake3::Hash;
use medlarlug_core::ids::InstanceId;
use smol_str::SmolStr;

/// Most keys in use at once: the old and the new one during a rotation.
pub const MAX_KEYS: usize = 2;

/// Length of the message authentication code (MAC) of a frame: half of the hash, which RFC 2104
/// permits in section 5.
pub const FRAME_MAC_BYTES: usize = 16;

const CONTEXT: &str = "medlarlug deployment key v1";
const FRAME_CONTEXT: &str = "medlarlug frame key v1";

/// A key for message authentication codes; its `Debug` output doesn't show it.
#[derive(Clone, PartialEq, Eq)]
pub struct DeploymentKey {
    key: [u8; 32],
    /// Separate key for frames, so that the MAC of an HTTP request never authenticates a frame.
    frame_key: [u8; 32],
}

impl DeploymentKey {
    /// Derives the key from the text of a key file.
    ///
    /// ```
    /// use medlarlug::protocol::DeploymentKey;
    ///
    /// let key = DeploymentKey::derive("a long secret text\n");
    /// assert_eq!(key, DeploymentKey::derive("a long secret text"));
    /// ```
    pub fn derive(text: &str) -> DeploymentKey {
        let key = blake3::derive_key(CONTEXT, text.trim().as_bytes());
        DeploymentKey { key, frame_key: blake3::derive_key(FRAME_CONTEXT, &key) }
    }

    /// The message authentication code of `body`.
    pub fn mac(&self, body: &[u8]) -> Hash {
        blake3::keyed_hash(&self.key, body)
    }

    /// The MAC of a frame's content for one receiver.
    ///
    /// The receiver's id is hashed after a byte with its length, which is 63 at most, so that two
    /// different pairs of receiver and content never yield the same hash input.
    fn frame_mac(&self, to: &InstanceId, content: &[u8]) -> [u8; FRAME_MAC_BYTES] {
        let to = to.as_str().as_bytes();
        let mut hasher = blake3::Hasher::new_keyed(&self.frame_key);
        hasher.update(&[to.len() as u8]).update(to).update(content);
        let mut mac = [0; FRAME_MAC_BYTES];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..FRAME_MAC_BYTES]);
        mac
    }
}

impl fmt::Debug for DeploymentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DeploymentKey(..)")
    }
}

/// The keys in use: the first signs, all verify.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeploymentKeys(Vec<DeploymentKey>);

impl DeploymentKeys {
    /// Wraps derived keys, the signing one first; `None` unless there are one or two.
    pub fn new(keys: Vec<DeploymentKey>) -> Option<DeploymentKeys> {
        (1..=MAX_KEYS).contains(&keys.len()).then_some(DeploymentKeys(keys))
    }

    /// The MAC of `body` under the first key, in hexadecimal.
    ///
    /// ```
    /// use medlarlug::protocol::{DeploymentKey, DeploymentKeys};
    ///
    /// let keys = DeploymentKeys::new(vec![DeploymentKey::derive("a long secret text")]).unwrap();
    /// let mac = keys.sign(b"body");
    /// assert!(keys.verify(b"body", &mac));
    /// assert!(!keys.verify(b"another", &mac));
    /// ```
    pub fn sign(&self, body: &[u8]) -> SmolStr {
        self.0[0].mac(body).to_hex().as_str().into()
    }

    /// Whether `mac`, in hexadecimal, is the MAC of `body` under one of the keys; compares in
    /// constant time.
    pub fn verify(&self, body: &[u8], mac: &str) -> bool {
        let Ok(mac) = Hash::from_hex(mac) else {
            return false;
        };
        self.0.iter().any(|key| key.mac(body) == mac)
    }

    /// The MAC of the content of a frame to the receiver `to`, under the first key.
    pub fn sign_frame(&self, to: &InstanceId, content: &[u8]) -> [u8; FRAME_MAC_BYTES] {
        self.0[0].frame_mac(to, content)
    }

    /// Whether `mac` authenticates a frame's content to the receiver `to` under one of the keys;
    /// compares in constant time.
    pub fn verify_frame(&self, to: &InstanceId, content: &[u8], mac: &[u8]) -> bool {
        let Ok(mac) = <[u8; FRAME_MAC_BYTES]>::try_from(mac) else {
            return false;
        };
        self.0.iter().any(|key| as_hash(key.frame_mac(to, content)) == as_hash(mac))
    }

    /// The key that signs.
    pub fn signer(&self) -> &DeploymentKey {
        &self.0[0]
    }
}

/// Converts a MAC to a `Hash`, which is compared in constant time.
fn as_hash(mac: [u8; FRAME_MAC_BYTES]) -> Hash {
    let mut bytes = [0; blake3::OUT_LEN];
    bytes[..FRAME_MAC_BYTES].copy_from_slice(&mac);
    Hash::from(bytes)
}

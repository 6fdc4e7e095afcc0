//! The deployment key, which authenticates messages between processes and announcements.
//!
//! The key proper is derived from a text. One or two keys are in use: the first signs, all
//! verify, so that a key can be changed while processes run.

use std::fmt;

use blake3::Hash;
use medlarlug_core::ids::InstanceId;
use smol_str::SmolStr;

/// Most keys in use at once.
pub const MAX_KEYS: usize = 2;

/// Length of the message authentication code of a frame, in bytes: half of the hash, as RFC 2104
/// allows in section 5.
pub const FRAME_MAC_BYTES: usize = 16;

const CONTEXT: &str = "medlarlug deployment key v1";
const FRAME_CONTEXT: &str = "medlarlug frame key v1";

/// A key for message authentication codes; never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct DeploymentKey {
    key: [u8; 32],
    /// Key of frames, so that no code of an HTTP request authenticates a frame.
    frame: [u8; 32],
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
        DeploymentKey { key, frame: blake3::derive_key(FRAME_CONTEXT, &key) }
    }

    /// The message authentication code of `body`.
    pub fn mac(&self, body: &[u8]) -> Hash {
        blake3::keyed_hash(&self.key, body)
    }

    /// The code of a frame's content for one receiver.
    ///
    /// The receiver's id has 63 characters at most, so its length fits the byte before it, and no
    /// two pairs of receiver and content are hashed alike.
    fn frame_code(&self, to: &InstanceId, content: &[u8]) -> [u8; FRAME_MAC_BYTES] {
        let to = to.as_str().as_bytes();
        let mut hasher = blake3::Hasher::new_keyed(&self.frame);
        hasher.update(&[to.len() as u8]).update(to).update(content);
        let mut code = [0; FRAME_MAC_BYTES];
        code.copy_from_slice(&hasher.finalize().as_bytes()[..FRAME_MAC_BYTES]);
        code
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
    /// Keys that are known already; `None` unless there are one or two.
    pub fn new(keys: Vec<DeploymentKey>) -> Option<DeploymentKeys> {
        (1..=MAX_KEYS).contains(&keys.len()).then_some(DeploymentKeys(keys))
    }

    /// Signs `body`; the code is sent in hexadecimal.
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

    /// Whether `mac`, in hexadecimal, is the code of `body` under one of the keys; compares in
    /// constant time.
    pub fn verify(&self, body: &[u8], mac: &str) -> bool {
        let Ok(mac) = Hash::from_hex(mac) else {
            return false;
        };
        self.0.iter().any(|key| key.mac(body) == mac)
    }

    /// Signs the content of a frame to one receiver.
    pub fn sign_frame(&self, to: &InstanceId, content: &[u8]) -> [u8; FRAME_MAC_BYTES] {
        self.0[0].frame_code(to, content)
    }

    /// Whether `code` is the code of a frame's content to one receiver under one of the keys;
    /// compares in constant time.
    pub fn verify_frame(&self, to: &InstanceId, content: &[u8], code: &[u8]) -> bool {
        let Ok(code) = <[u8; FRAME_MAC_BYTES]>::try_from(code) else {
            return false;
        };
        self.0.iter().any(|key| comparable(key.frame_code(to, content)) == comparable(code))
    }

    /// The key that signs.
    pub fn signer(&self) -> &DeploymentKey {
        &self.0[0]
    }
}

/// A code as a hash, whose comparison takes constant time.
fn comparable(code: [u8; FRAME_MAC_BYTES]) -> Hash {
    let mut bytes = [0; blake3::OUT_LEN];
    bytes[..FRAME_MAC_BYTES].copy_from_slice(&code);
    Hash::from(bytes)
}

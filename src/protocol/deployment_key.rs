//! The deployment key, which authenticates messages between processes and announcements.
//!
//! The key proper is derived from a text. One or two keys are in use: the first signs, all
//! verify, so that a key can be changed while processes run.

use std::fmt;

use blake3::Hash;
use smol_str::SmolStr;

/// Most keys in use at once.
pub const MAX_KEYS: usize = 2;

/// Length of a message authentication code, in bytes.
pub const CODE_BYTES: usize = 32;

const CONTEXT: &str = "medlarlug deployment key v1";

/// A key for message authentication codes; never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct DeploymentKey([u8; 32]);

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
        DeploymentKey(blake3::derive_key(CONTEXT, text.trim().as_bytes()))
    }

    /// The message authentication code of `body`.
    pub fn mac(&self, body: &[u8]) -> Hash {
        blake3::keyed_hash(&self.0, body)
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

    /// Signs `content`; the code is sent as bytes.
    pub fn sign_bytes(&self, content: &[u8]) -> [u8; CODE_BYTES] {
        *self.0[0].mac(content).as_bytes()
    }

    /// Whether `code` is the code of `content` under one of the keys; compares in constant time.
    pub fn verify_bytes(&self, content: &[u8], code: &[u8]) -> bool {
        let Ok(code) = <[u8; CODE_BYTES]>::try_from(code) else {
            return false;
        };
        self.0.iter().any(|key| key.mac(content) == Hash::from(code))
    }

    /// The key that signs.
    pub fn signer(&self) -> &DeploymentKey {
        &self.0[0]
    }
}

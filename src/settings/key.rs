//! The deployment key, which authenticates messages between processes and announcements.
//!
//! The key file holds any text of [`MIN_KEY_CHARS`] characters or more; the key proper is derived
//! from it. One or two files are given: the first signs, all verify, so that a key can be
//! changed while processes run.

use std::{fmt, fs, path::Path};

use blake3::Hash;
use smol_str::SmolStr;

use crate::settings::error::{Fault, SettingsError};

/// Header that carries the message authentication code of an announcement, in hexadecimal.
pub const MAC_HEADER: &str = "x-medlarlug-mac";

/// Fewest characters of a key file, without white space around.
pub const MIN_KEY_CHARS: usize = 16;

/// Most key files.
pub const MAX_KEYS: usize = 2;

const CONTEXT: &str = "medlarlug deployment key v1";

/// A key for message authentication codes; never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct DeploymentKey([u8; 32]);

impl DeploymentKey {
    /// Derives the key from the text of a key file.
    ///
    /// ```
    /// use medlarlug::settings::DeploymentKey;
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
    /// use medlarlug::settings::{DeploymentKey, DeploymentKeys};
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

    /// The key that signs.
    pub fn signer(&self) -> &DeploymentKey {
        &self.0[0]
    }
}

/// Reads one key file.
pub(super) fn load(file: &Path) -> Result<DeploymentKey, SettingsError> {
    let error = |line, fault| SettingsError { file: file.to_owned(), line, fault };
    let text = fs::read_to_string(file).map_err(|cause| error(0, Fault::Read(cause)))?;
    if text.trim().chars().count() < MIN_KEY_CHARS {
        let fault = Fault::Invalid {
            field: "key".into(),
            text: "(hidden)".into(),
            valid: smol_str::format_smolstr!("a text of {MIN_KEY_CHARS} characters or more"),
        };
        return Err(error(1, fault));
    }
    Ok(DeploymentKey::derive(&text))
}

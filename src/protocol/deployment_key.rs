//! The key that authenticates messages between processes and the announcements of upstreams.

use std::fmt;

use thiserror::Error;

/// Context of the key derivation; part of the protocol.
const DERIVATION_CONTEXT: &str = "medlarlug deployment key v1";

/// Shortest text that is accepted as a key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// Length of an authentication code, in bytes.
pub const CODE_BYTES: usize = 32;

/// A text that is no deployment key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The text is too short.
    #[error("the deployment key has {length} bytes; give {MIN_KEY_BYTES} or more")]
    Short {
        /// Its length in bytes.
        length: usize,
    },
}

/// One or two keys: the first signs, both verify, so that a key can be replaced while running.
///
/// ```
/// use medlarlug::protocol::DeploymentKey;
///
/// let key = DeploymentKey::from_text("an example of a long key").unwrap();
/// let code = key.sign(b"message");
/// assert!(key.verify(b"message", &code));
/// assert!(!key.verify(b"another", &code));
/// ```
#[derive(Clone)]
pub struct DeploymentKey {
    signing: [u8; 32],
    former: Option<[u8; 32]>,
}

impl DeploymentKey {
    /// The key that `text`, trimmed, stands for.
    ///
    /// # Errors
    ///
    /// Fails when the text is shorter than [`MIN_KEY_BYTES`].
    pub fn from_text(text: &str) -> Result<DeploymentKey, KeyError> {
        Ok(DeploymentKey { signing: derive(text)?, former: None })
    }

    /// The same key, which also verifies codes that were made under the key `text`.
    ///
    /// # Errors
    ///
    /// Fails when the text is shorter than [`MIN_KEY_BYTES`].
    pub fn with_former(self, text: &str) -> Result<DeploymentKey, KeyError> {
        Ok(DeploymentKey { former: Some(derive(text)?), ..self })
    }

    /// The authentication code of `content`.
    pub fn sign(&self, content: &[u8]) -> [u8; CODE_BYTES] {
        *blake3::keyed_hash(&self.signing, content).as_bytes()
    }

    /// Whether `code` authenticates `content`; takes the same time for every wrong code.
    pub fn verify(&self, content: &[u8], code: &[u8]) -> bool {
        let Ok(code) = <[u8; CODE_BYTES]>::try_from(code) else {
            return false;
        };
        let code = blake3::Hash::from(code);
        let is_valid = |key: &[u8; 32]| blake3::keyed_hash(key, content) == code;
        is_valid(&self.signing) || self.former.as_ref().is_some_and(is_valid)
    }

    /// The authentication code of `content` in hexadecimal, for a header.
    pub fn sign_hex(&self, content: &[u8]) -> String {
        blake3::Hash::from(self.sign(content)).to_hex().to_string()
    }

    /// Whether `code`, in hexadecimal, authenticates `content`.
    pub fn verify_hex(&self, content: &[u8], code: &str) -> bool {
        blake3::Hash::from_hex(code).is_ok_and(|code| self.verify(content, code.as_bytes()))
    }
}

impl fmt::Debug for DeploymentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DeploymentKey(..)")
    }
}

fn derive(text: &str) -> Result<[u8; 32], KeyError> {
    let text = text.trim();
    if text.len() < MIN_KEY_BYTES {
        return Err(KeyError::Short { length: text.len() });
    }
    Ok(blake3::derive_key(DERIVATION_CONTEXT, text.as_bytes()))
}

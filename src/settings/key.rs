//! Files with deployment keys.
//!
//! A key file contains any text of at least [`MIN_KEY_CHARS`] characters.

use std::{fs, path::Path};

use crate::{
    protocol::DeploymentKey,
    settings::error::{Fault, SettingsError},
};

pub use crate::protocol::{DeploymentKeys, deployment_key::MAX_KEYS, headers::MAC as MAC_HEADER};

/// Fewest characters of a key file, not counting leading and trailing white space.
pub const MIN_KEY_CHARS: usize = 16;

/// Reads a key file and derives the key; errors never show the text of the file.
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

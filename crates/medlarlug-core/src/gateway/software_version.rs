//! The version of the software that an upstream runs.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Longest version, in bytes.
const MAX_VERSION_BYTES: usize = 64;

/// Version of the software that an upstream runs, not of the model weights that it has loaded.
///
/// Versions have no order. What two versions write into one stream does not fit together.
///
/// ```
/// use medlarlug_core::gateway::software_version::SoftwareVersion;
///
/// let version: SoftwareVersion = "v1.2".parse()?;
/// assert_eq!(version.to_string(), "v1.2");
/// # Ok::<(), medlarlug_core::gateway::software_version::SoftwareVersionError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "SmolStr")]
pub struct SoftwareVersion(SmolStr);

/// A text is not a software version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SoftwareVersionError {
    /// The text is empty.
    #[error("the software version is empty")]
    Empty,
    /// The text is too long.
    #[error("the software version has {bytes} bytes; {MAX_VERSION_BYTES} are allowed")]
    TooLong {
        /// Length of the text.
        bytes: usize,
    },
}

impl TryFrom<SmolStr> for SoftwareVersion {
    type Error = SoftwareVersionError;

    fn try_from(text: SmolStr) -> Result<SoftwareVersion, SoftwareVersionError> {
        match text.len() {
            0 => Err(SoftwareVersionError::Empty),
            bytes if bytes > MAX_VERSION_BYTES => Err(SoftwareVersionError::TooLong { bytes }),
            _ => Ok(SoftwareVersion(text)),
        }
    }
}

impl FromStr for SoftwareVersion {
    type Err = SoftwareVersionError;

    fn from_str(text: &str) -> Result<SoftwareVersion, SoftwareVersionError> {
        SmolStr::new(text).try_into()
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

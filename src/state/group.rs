//! Names of replication groups in the journal.

use std::{convert::Infallible, fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Name of a replication group in the journal of a data folder; any text is valid.
///
/// ```
/// use medlarlug::state::GroupName;
///
/// let group: GroupName = "home-riga".parse().unwrap();
/// assert_eq!(group.to_string(), "home-riga");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GroupName(SmolStr);

impl fmt::Display for GroupName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for GroupName {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self(text.into()))
    }
}

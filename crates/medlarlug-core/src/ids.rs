//! Identifiers: checked text newtypes and counters.
//!
//! A text identifier has 1 to 63 characters out of `a-z`, `0-9`, `-` and `_`, and begins with a
//! letter or a digit, so that it can stand in a path, a header, a metric label and a file name.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Longest text identifier, in characters.
pub const MAX_ID_CHARS: usize = 63;

/// A text that is no identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IdError {
    /// The text has no character, or more than [`MAX_ID_CHARS`].
    #[error("`{text}` has {length} characters; an id has 1 to {MAX_ID_CHARS}")]
    Length {
        /// The refused text.
        text: SmolStr,
        /// Its length in characters.
        length: usize,
    },
    /// The text holds a character that ids don't have, or begins with `-` or `_`.
    #[error("`{text}` is no id: use a-z, 0-9, `-` and `_`, beginning with a letter or digit")]
    Character {
        /// The refused text.
        text: SmolStr,
    },
    /// The text is no number.
    #[error("`{text}` is no whole number")]
    Number {
        /// The refused text.
        text: SmolStr,
    },
    /// The text is no request id.
    #[error("`{text}` is no request id; one reads region.instance.incarnation.sequence")]
    Request {
        /// The refused text.
        text: SmolStr,
    },
}

fn check_id(text: &str) -> Result<(), IdError> {
    let length = text.chars().count();
    if length == 0 || length > MAX_ID_CHARS {
        return Err(IdError::Length { text: text.into(), length });
    }
    let is_inner = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '_';
    let begins_well = text.starts_with(|c: char| c.is_ascii_lowercase() || c.is_ascii_digit());
    if !begins_well || !text.chars().all(is_inner) {
        return Err(IdError::Character { text: text.into() });
    }
    Ok(())
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use medlarlug_core::ids::", stringify!($name), ";")]
        #[doc = concat!("let id: ", stringify!($name), " = \"kochi-a\".parse().unwrap();")]
        /// assert_eq!(id.as_str(), "kochi-a");
        #[doc = concat!("assert!(\"Kochi A\".parse::<", stringify!($name), ">().is_err());")]
        /// ```
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_id(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = IdError;

            fn try_from(text: SmolStr) -> Result<Self, IdError> {
                check_id(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for SmolStr {
            fn from(id: $name) -> SmolStr {
                id.0
            }
        }
    };
}

text_id!(
    /// A process of the system: an entry instance or a keeper.
    InstanceId
);
text_id!(
    /// A model engine or plain service that requests are routed to.
    UpstreamId
);
text_id!(
    /// An availability zone.
    ZoneId
);
text_id!(
    /// A region: one or more availability zones.
    RegionId
);
text_id!(
    /// A team of callers, which owns keys, limits and a home region.
    TeamId
);
text_id!(
    /// A model that engines serve.
    ModelId
);
text_id!(
    /// A version of a model.
    VersionId
);
text_id!(
    /// An adapter that is loaded beside a model.
    AdapterId
);
text_id!(
    /// A plain service.
    ServiceId
);
text_id!(
    /// A person or program that applies release notes.
    OperatorId
);
macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use medlarlug_core::ids::", stringify!($name), ";")]
        #[doc = concat!("let n: ", stringify!($name), " = \"7\".parse().unwrap();")]
        #[doc = concat!("assert_eq!(n.next(), ", stringify!($name), "(8));")]
        /// ```
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The value that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                text.parse().map(Self).map_err(|_| IdError::Number { text: text.into() })
            }
        }
    };
}

counter!(
    /// A revision of the configuration; revision 0 is empty.
    Revision
);
counter!(
    /// Counts the starts of one process; a higher incarnation replaces a lower one.
    Incarnation
);
counter!(
    /// The number that an operator gives to a release note.
    ReleaseNumber
);
counter!(
    /// A term of a replication group: at most one leader each.
    Term
);
counter!(
    /// A position in a replicated log; the first entry has index 1.
    LogIndex
);

/// The id of one request, which names the place of its record.
///
/// Written as `region.instance.incarnation.sequence`.
///
/// ```
/// use medlarlug_core::ids::RequestId;
///
/// let id: RequestId = "riga.entry-1.3.42".parse().unwrap();
/// assert_eq!(id.sequence, 42);
/// assert_eq!(id.to_string(), "riga.entry-1.3.42");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct RequestId {
    /// Region of the instance that took the request in.
    pub region: RegionId,
    /// Instance that took the request in.
    pub instance: InstanceId,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
    /// Number of the request within the incarnation.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.region, self.instance, self.incarnation, self.sequence)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let error = || IdError::Request { text: text.into() };
        let parts: Vec<&str> = text.split('.').collect();
        let [region, instance, incarnation, sequence] = parts[..] else {
            return Err(error());
        };
        Ok(Self {
            region: region.parse()?,
            instance: instance.parse()?,
            incarnation: incarnation.parse()?,
            sequence: sequence.parse().map_err(|_| error())?,
        })
    }
}

impl TryFrom<SmolStr> for RequestId {
    type Error = IdError;

    fn try_from(text: SmolStr) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<RequestId> for SmolStr {
    fn from(id: RequestId) -> SmolStr {
        smol_str::format_smolstr!("{id}")
    }
}

//! Identifiers: validated text newtypes and counters.
//!
//! A text identifier has 1 to 63 characters from `a-z`, `0-9`, `-` and `_`, and begins with a
//! letter or a digit, so that it can be used in paths, headers, metric labels and file names.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Maximum length of a text identifier, in characters.
pub const MAX_ID_CHARS: usize = 63;

/// The error of parsing an identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IdError {
    /// The text is empty or longer than [`MAX_ID_CHARS`].
    #[error("`{text}` has {length} characters; an id has 1 to {MAX_ID_CHARS}")]
    Length {
        /// Input as given; may be empty.
        text: SmolStr,
        /// Its length in characters.
        length: usize,
    },
    /// The text contains a character that is not allowed in ids, or begins with `-` or `_`.
    #[error("`{text}` is no id: use a-z, 0-9, `-` and `_`, beginning with a letter or digit")]
    Character {
        /// Input as given; its length is valid.
        text: SmolStr,
    },
    /// The text is not an unsigned integer.
    #[error("`{text}` is no whole number")]
    Number {
        /// Input as given; it may be a number that is too large.
        text: SmolStr,
    },
    /// The text is not a request id.
    #[error("`{text}` is no request id; one reads region.instance.incarnation.sequence")]
    Request {
        /// Input as given, not only the invalid part.
        text: SmolStr,
    },
}

fn check_id(text: &str) -> Result<(), IdError> {
    let length = text.chars().count();
    if length == 0 || length > MAX_ID_CHARS {
        return Err(IdError::Length { text: text.into(), length });
    }
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '_';
    let has_valid_start = text.starts_with(|c: char| c.is_ascii_lowercase() || c.is_ascii_digit());
    if !has_valid_start || !text.chars().all(is_allowed) {
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
    /// Id of a process of the gateway: an entry instance or a keeper.
    InstanceId
);
text_id!(
    /// Id of an inference engine or other service that requests are routed to.
    UpstreamId
);
text_id!(
    /// Id of an availability zone.
    ZoneId
);
text_id!(
    /// Id of a region, which has one or more availability zones.
    RegionId
);
text_id!(
    /// Id of a team of callers, which has keys, limits and a home region.
    TeamId
);
text_id!(
    /// Id of a model that engines serve.
    ModelId
);
text_id!(
    /// Id of a version of a model.
    VersionId
);
text_id!(
    /// Id of an adapter that is loaded for a model.
    AdapterId
);
text_id!(
    /// Id of a service that is no inference engine.
    ServiceId
);
text_id!(
    /// Id of a person or program that applies release notes.
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
    /// Revision number of the configuration; revision 0 is empty.
    Revision
);
counter!(
    /// Number of a start of a process; a higher incarnation replaces a lower one.
    Incarnation
);
counter!(
    /// The number that an operator gives to a release note.
    ReleaseNumber
);
counter!(
    /// Term of a replication group; each has at most one leader.
    Term
);
counter!(
    /// Index of an entry in a replicated log; the first entry has index 1.
    LogIndex
);

/// Id of a request, which determines where its record is stored.
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
    /// Region of the instance that received the request.
    pub region: RegionId,
    /// Instance that received the request.
    pub instance: InstanceId,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
    /// Sequence number of the request within the incarnation.
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

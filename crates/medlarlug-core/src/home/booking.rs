//! Booking keys, recorded answers and the life cycle of a booking.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use crate::{
    fingerprint::Fingerprint,
    ids::{Incarnation, InstanceId, RegionId, RequestId, Revision, ServiceId, TeamId},
    release::{Configuration, ItemKey},
    replication::FormationId,
};

/// Longest booking key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Longest answer body that is recorded, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024;

/// Names one founding of a home group: the formation of its replication group, so that all leaders
/// of one formation ask for the founding under one token, and a group that lost its state, or was
/// rebuilt, asks under another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FoundingToken(pub u128);

impl From<FormationId> for FoundingToken {
    fn from(formation: FormationId) -> FoundingToken {
        FoundingToken(u128::from(formation.0))
    }
}

/// A text that is no booking key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BookingKeyError {
    /// The key is empty or too long.
    #[error("the key has {length} bytes; a key has 1 to {MAX_KEY_BYTES}")]
    Length {
        /// Length of the refused text, in bytes.
        length: usize,
    },
    /// The key holds a character that is not visible ASCII.
    #[error("a key consists of visible ASCII characters")]
    Character,
}

/// The key that a caller gives to a call that must not be repeated.
///
/// A key may begin with the configuration revision that the caller was told when it made the key,
/// followed by `~`. After a home group lost its state, this proves that a key was made afterwards.
///
/// ```
/// use medlarlug_core::{home::BookingKey, ids::Revision};
///
/// let key: BookingKey = "30~parcel-77".parse().unwrap();
/// assert_eq!(key.creation_revision(), Some(Revision(30)));
/// assert!("two words".parse::<BookingKey>().is_err());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct BookingKey(SmolStr);

impl BookingKey {
    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The revision at which the key was made, if it names one.
    pub fn creation_revision(&self) -> Option<Revision> {
        let (number, _) = self.0.split_once('~')?;
        number.parse().ok()
    }
}

impl TryFrom<SmolStr> for BookingKey {
    type Error = BookingKeyError;

    fn try_from(text: SmolStr) -> Result<Self, BookingKeyError> {
        if text.is_empty() || text.len() > MAX_KEY_BYTES {
            return Err(BookingKeyError::Length { length: text.len() });
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(BookingKeyError::Character);
        }
        Ok(Self(text))
    }
}

impl FromStr for BookingKey {
    type Err = BookingKeyError;

    fn from_str(text: &str) -> Result<Self, BookingKeyError> {
        Self::try_from(SmolStr::new(text))
    }
}

impl From<BookingKey> for SmolStr {
    fn from(key: BookingKey) -> SmolStr {
        key.0
    }
}

impl fmt::Display for BookingKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The only process that may send a booking to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// Entry instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Body of a recorded answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The whole body, [`MAX_BODY_BYTES`] at most.
    Whole(Vec<u8>),
    /// The body was too large to record or has been dropped to save space.
    Omitted {
        /// Size of the body, in bytes.
        size: u64,
        /// Fingerprint of the body.
        #[serde(rename = "print")]
        fingerprint: Fingerprint,
    },
}

impl Body {
    /// Records `bytes` if they are small enough, else their size and fingerprint.
    ///
    /// ```
    /// use medlarlug_core::home::Body;
    ///
    /// assert_eq!(Body::of(b"ok"), Body::Whole(b"ok".to_vec()));
    /// ```
    pub fn of(bytes: &[u8]) -> Body {
        if bytes.len() <= MAX_BODY_BYTES {
            return Body::Whole(bytes.to_vec());
        }
        Body::omitted(bytes)
    }

    /// The size and fingerprint of `bytes`.
    pub fn omitted(bytes: &[u8]) -> Body {
        Body::Omitted { size: bytes.len() as u64, fingerprint: Fingerprint::of(bytes) }
    }
}

/// The answer of a plain service to a booking.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: SmolStr,
    /// Body.
    pub body: Body,
}

/// Where a booking stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BookingState {
    /// Its owner may be sending it.
    Open(Owner),
    /// Its owner gave it up without sending; the key may be begun again.
    Abandoned,
    /// It ended with this answer.
    Done(RecordedAnswer),
    /// It may or may not have run and is never sent again.
    Unknown,
}

/// One recorded booking.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Booking {
    /// The caller's key.
    pub key: BookingKey,
    /// Fingerprint of the call: method, path and body.
    pub content: Fingerprint,
    /// The request under which it was begun.
    pub request: RequestId,
    /// The service, if it can be asked about the outcome.
    #[serde(rename = "askable")]
    pub queryable_service: Option<ServiceId>,
    /// Where it stands.
    pub state: BookingState,
    /// Whether the group may have forgotten that this request was given up and the key begun again
    /// by another one. Giving it up then frees nothing.
    pub is_doubtful: bool,
    /// Logical time at which it was begun or ended, in microseconds; its age in a [`Handover`].
    pub since: u64,
}

/// A booking of unknown outcome that its service can be asked about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeQuery {
    /// Whose booking it is.
    pub team: TeamId,
    /// Its key.
    pub key: BookingKey,
    /// The request that was sent to the service.
    pub request: RequestId,
    /// The service.
    pub service: ServiceId,
}

impl OutcomeQuery {
    /// Whether upstreams in `region` may be asked: the request might have gone on there.
    pub fn is_permitted_in(&self, configuration: &Configuration, region: &RegionId) -> bool {
        let key = ItemKey::Service(self.service.clone());
        let team = configuration.team(&self.team);
        team.is_some_and(|it| configuration.may_continue(it, &key, region))
    }
}

/// Keys that a group may have forgotten: unless they are known, they are answered as unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateLoss {
    /// Keys made at this revision or later are not concerned.
    pub before: Revision,
    /// Logical time at which every forgotten key has outlived its retention, in microseconds;
    /// the time left until then in a [`Handover`].
    pub until: u64,
}

/// All bookings of one team, on their way from its former home group to its new one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The team.
    pub team: TeamId,
    /// Revision at which the team's home was changed.
    pub epoch: Revision,
    /// Which keys may have been used without being listed, if any.
    pub state_loss: Option<StateLoss>,
    /// Its bookings, sorted by key; their ages count from the handover.
    pub bookings: Vec<Booking>,
}

impl Handover {
    /// Leaves only what is certain when the same bookings may have been adopted, and gone on,
    /// before: the outcomes.
    ///
    /// A booking that has not ended here may have been abandoned and begun again since then, so
    /// a late command of its owner must not find it.
    pub(crate) fn retain_outcomes(&mut self) {
        self.bookings.retain(|it| matches!(it.state, BookingState::Done(_)));
    }
}

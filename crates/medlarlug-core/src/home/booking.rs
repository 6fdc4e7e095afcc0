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

/// Maximum length of a booking key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Maximum size of an answer body that is recorded in full, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024;

/// Identifies one founding of a home group.
///
/// The token is the formation id of the group's replication group. All leaders of one formation therefore
/// request the founding with the same token, and a group that lost its state or was rebuilt uses another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FoundingToken(pub u128);

impl From<FormationId> for FoundingToken {
    fn from(formation: FormationId) -> FoundingToken {
        FoundingToken(u128::from(formation.0))
    }
}

/// Reason for which a text is not a valid booking key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BookingKeyError {
    /// The key is empty or too long.
    #[error("the key has {length} bytes; a key has 1 to {MAX_KEY_BYTES}")]
    Length {
        /// Length of the text, in bytes.
        length: usize,
    },
    /// The key contains a character that is not visible ASCII.
    #[error("a key consists of visible ASCII characters")]
    Character,
}

/// Idempotency key that a caller assigns to a call that must run at most once.
///
/// A key may start with the configuration revision that the gateway had reported to the caller when the
/// key was created, followed by `~`. After a home group has lost its state, the revision proves that the
/// key was created after the loss.
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

    /// Configuration revision at which the key was created, if the key contains one.
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

/// Process that holds a role exclusively: the right to send a booking to an upstream, or a lease.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// Instance that the process belongs to.
    pub instance: InstanceId,
    /// Incarnation of the instance; a restarted instance is another owner.
    pub incarnation: Incarnation,
}

/// Body of an answer, as recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The complete body, at most [`MAX_BODY_BYTES`] long.
    Whole(Vec<u8>),
    /// The body was too large to record, or was dropped later to save space.
    Omitted {
        /// Size of the body, in bytes.
        size: u64,
        /// Fingerprint of the body.
        #[serde(rename = "print")]
        fingerprint: Fingerprint,
    },
}

impl Body {
    /// Records `bytes` in full if they are at most [`MAX_BODY_BYTES`] long, otherwise only their size and
    /// fingerprint.
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

    /// Records only the size and fingerprint of `bytes`.
    pub fn omitted(bytes: &[u8]) -> Body {
        Body::Omitted { size: bytes.len() as u64, fingerprint: Fingerprint::of(bytes) }
    }
}

/// Answer of a plain service to a booking.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: SmolStr,
    /// Body, or its size and fingerprint if it is not kept.
    pub body: Body,
}

/// State in the life cycle of a booking.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BookingState {
    /// The owner may be sending the call or waiting for its answer.
    Open(Owner),
    /// The owner abandoned the booking without sending the call. Another request may use the key.
    Abandoned,
    /// The upstream returned this answer.
    Done(RecordedAnswer),
    /// The call may or may not have run. It is never sent again.
    Unknown,
}

/// Record of one booking.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Booking {
    /// Key that the caller assigned.
    pub key: BookingKey,
    /// Fingerprint of the call: method, path and body.
    pub content: Fingerprint,
    /// Request that started the booking.
    pub request: RequestId,
    /// Service that can be queried for the outcome, if there is one.
    #[serde(rename = "askable")]
    pub queryable_service: Option<ServiceId>,
    /// State that the booking reached at `since`.
    pub state: BookingState,
    /// Whether the group may have lost the information that this request abandoned the booking and that
    /// another request then used the key. If set, a command to abandon the booking does not free the key.
    pub is_doubtful: bool,
    /// Logical time at which the booking was started or ended, in microseconds. In a [`Handover`], the
    /// time since then.
    pub since: u64,
}

/// Query to a service for the outcome of a booking whose outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeQuery {
    /// Team that owns the booking.
    pub team: TeamId,
    /// Key of the booking.
    pub key: BookingKey,
    /// Request that was sent to the service.
    pub request: RequestId,
    /// Service to query.
    pub service: ServiceId,
}

impl OutcomeQuery {
    /// Whether the residency rules of the team and of the service let the query be sent to upstreams in
    /// `region`; a draining service may still be queried.
    pub fn is_permitted_in(&self, configuration: &Configuration, region: &RegionId) -> bool {
        let key = ItemKey::Service(self.service.clone());
        let team = configuration.team(&self.team);
        team.is_some_and(|it| configuration.may_continue(it, &key, region))
    }
}

/// Keys whose bookings the group may have lost. A call with such a key that the group has no record of is
/// answered as unknown and is not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateLoss {
    /// Keys created at this revision or later are not affected.
    pub before: Revision,
    /// Logical time at which the retention period of every lost key has expired, in microseconds. In a
    /// [`Handover`], the time until then.
    pub until: u64,
}

/// All bookings of one team, in transfer from its former home group to its new one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Team whose home region changed.
    pub team: TeamId,
    /// Revision that changed the team's home region.
    pub epoch: Revision,
    /// Keys that may have been used although `bookings` does not list them, if any.
    pub state_loss: Option<StateLoss>,
    /// Bookings of the team, sorted by key. Their `since` is the age at the time of the transfer.
    pub bookings: Vec<Booking>,
}

impl Handover {
    /// Removes all bookings except those with an answer, for a group that may have adopted the same
    /// bookings, and continued them, before it lost its state.
    ///
    /// A booking that has not ended in this handover may have been abandoned and its key used again since
    /// then, so a late command of its owner must not find the booking.
    pub(crate) fn retain_outcomes(&mut self) {
        self.bookings.retain(|it| matches!(it.state, BookingState::Done(_)));
    }
}

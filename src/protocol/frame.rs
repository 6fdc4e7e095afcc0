//! Authenticated frames: postcard content after a truncated keyed hash of it.
//!
//! ```text
//! frame    = code (16 bytes) content
//! content  = postcard of (sender, message)
//! ```
//!
//! The code covers the receiver as well, which is not sent: a frame that is reflected or redirected
//! is not authenticated for whoever gets it. Every frame names its sender, because any process of
//! the system may connect to the one socket that a receiver listens at.
//! Replayed frames pass: every core tolerates duplicates and late messages.

use medlarlug_core::ids::InstanceId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::protocol::{DeploymentKeys, Message, deployment_key::FRAME_MAC_BYTES};

/// Longest frame that is accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    /// Sending instance.
    pub from: InstanceId,
    /// Receiving instance.
    pub to: InstanceId,
    /// The message.
    pub message: Message,
}

/// The sent part of an envelope.
#[derive(Deserialize)]
struct Content {
    from: InstanceId,
    message: Message,
}

/// The sent part of an envelope, borrowed.
#[derive(Serialize)]
struct ContentRef<'a> {
    from: &'a InstanceId,
    message: &'a Message,
}

/// Why a frame is refused.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The frame is longer than [`MAX_FRAME_BYTES`] or shorter than its code.
    #[error("a frame of {length} bytes; it has {FRAME_MAC_BYTES} to {MAX_FRAME_BYTES}")]
    Length {
        /// Its length in bytes.
        length: usize,
    },
    /// The code does not authenticate the content for this receiver.
    #[error("the frame is not authenticated by the deployment key, or is for another instance")]
    Unauthenticated,
    /// The content is no envelope.
    #[error("the frame holds no message")]
    Codec(#[from] postcard::Error),
}

/// Encodes and signs an envelope.
///
/// # Errors
///
/// Fails when the message can't be encoded or makes the frame too long.
pub fn encode(keys: &DeploymentKeys, envelope: &Envelope) -> Result<Vec<u8>, FrameError> {
    let Envelope { from, to, message } = envelope;
    let content = postcard::to_stdvec(&ContentRef { from, message })?;
    let length = content.len() + FRAME_MAC_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::Length { length });
    }
    let mut frame = Vec::with_capacity(length);
    frame.extend_from_slice(&keys.sign_frame(to, &content));
    frame.extend_from_slice(&content);
    Ok(frame)
}

/// Verifies and decodes a frame that reached the instance `own`.
///
/// ```
/// use medlarlug::protocol::{
///     DeploymentKey, DeploymentKeys, GroupId, GroupRequest, Message, frame,
/// };
///
/// let keys = DeploymentKeys::new(vec![DeploymentKey::derive("a long secret text")]).unwrap();
/// let (group, request) = (GroupId::Configuration, GroupRequest::History);
/// let message = Message::Call { call: 1, group, request };
/// let (from, to) = ("entry-1".parse().unwrap(), "keeper-1".parse().unwrap());
/// let envelope = frame::Envelope { from, to, message };
/// let bytes = frame::encode(&keys, &envelope).unwrap();
/// assert_eq!(frame::decode(&keys, &envelope.to, &bytes).unwrap(), envelope);
/// assert!(frame::decode(&keys, &envelope.from, &bytes).is_err());
/// ```
///
/// # Errors
///
/// Fails when the frame is too long or short, is not authenticated for `own`, or holds no message.
pub fn decode(
    keys: &DeploymentKeys,
    own: &InstanceId,
    frame: &[u8],
) -> Result<Envelope, FrameError> {
    let length = frame.len();
    if !(FRAME_MAC_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(FrameError::Length { length });
    }
    let (code, content) = frame.split_at(FRAME_MAC_BYTES);
    if !keys.verify_frame(own, content, code) {
        return Err(FrameError::Unauthenticated);
    }
    let Content { from, message } = postcard::from_bytes(content)?;
    Ok(Envelope { from, to: own.clone(), message })
}

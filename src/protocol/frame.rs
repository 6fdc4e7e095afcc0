//! Authenticated frames: a truncated keyed hash followed by postcard content.
//!
//! ```text
//! frame    = MAC (16 bytes) content
//! content  = postcard of (sender, message)
//! ```
//!
//! The MAC also covers the receiver, which is not sent, so a reflected or redirected frame fails
//! authentication wherever it arrives. Every frame names its sender, because every process of the
//! deployment may connect to the one socket on which a receiver listens.
//! Replayed frames are accepted: every core tolerates duplicate and late messages.

use medlarlug_core::ids::InstanceId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::protocol::{DeploymentKeys, Message, deployment_key::FRAME_MAC_BYTES};

/// Longest frame that is sent or accepted.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    /// Sending instance.
    pub from: InstanceId,
    /// Receiving instance.
    pub to: InstanceId,
    /// Content for the receiver; a frame carries exactly one message.
    pub message: Message,
}

/// The transmitted part of an envelope.
#[derive(Deserialize)]
struct Content {
    from: InstanceId,
    message: Message,
}

/// The transmitted part of an envelope, borrowed.
#[derive(Serialize)]
struct ContentRef<'a> {
    from: &'a InstanceId,
    message: &'a Message,
}

/// Why a frame can't be sent or is rejected on receipt.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The frame is longer than [`MAX_FRAME_BYTES`] or shorter than its MAC.
    #[error("the frame has {length} bytes; {FRAME_MAC_BYTES} to {MAX_FRAME_BYTES} are valid")]
    Length {
        /// Length of the frame, in bytes.
        length: usize,
    },
    /// The MAC does not authenticate the content for this receiver.
    #[error("the frame is not authenticated by the deployment key, or is for another instance")]
    Unauthenticated,
    /// The content can't be encoded, or can't be decoded as sender and message.
    #[error("failed to encode or decode the content of a frame")]
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

/// Verifies and decodes a frame received by the instance `own`.
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
/// Fails when the length is out of range, the frame is not authenticated for `own`, or the content
/// can't be decoded.
pub fn decode(
    keys: &DeploymentKeys,
    own: &InstanceId,
    frame: &[u8],
) -> Result<Envelope, FrameError> {
    let length = frame.len();
    if !(FRAME_MAC_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(FrameError::Length { length });
    }
    let (mac, content) = frame.split_at(FRAME_MAC_BYTES);
    if !keys.verify_frame(own, content, mac) {
        return Err(FrameError::Unauthenticated);
    }
    let Content { from, message } = postcard::from_bytes(content)?;
    Ok(Envelope { from, to: own.clone(), message })
}

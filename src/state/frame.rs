//! Frames: checksummed records in a file.
//!
//! ```text
//! magic (4) | length (4, little endian) | number (8, little endian) | checksum (16) | payload
//! ```
//!
//! The checksum is the first 16 bytes of the BLAKE3 hash of length, number and payload. Frames are
//! numbered consecutively.

use super::error::StateError;

const MAGIC: [u8; 4] = *b"mdlg";
const CHECKSUM_BYTES: usize = 16;
/// Length of everything before the payload.
pub(super) const HEADER_BYTES: usize = 4 + 4 + 8 + CHECKSUM_BYTES;
pub(super) const MAX_PAYLOAD_BYTES: usize = 1 << 30;

fn checksum(number: u64, payload: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(payload.len() as u32).to_le_bytes());
    hasher.update(&number.to_le_bytes());
    hasher.update(payload);
    let mut checksum = [0; CHECKSUM_BYTES];
    checksum.copy_from_slice(&hasher.finalize().as_bytes()[..CHECKSUM_BYTES]);
    checksum
}

pub(super) fn encode(number: u64, payload: &[u8]) -> Result<Vec<u8>, StateError> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(StateError::TooLarge { bytes: payload.len(), limit: MAX_PAYLOAD_BYTES });
    }
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&number.to_le_bytes());
    frame.extend_from_slice(&checksum(number, payload));
    frame.extend_from_slice(payload);
    Ok(frame)
}

/// Number and payload of the frame at the start of `bytes`; `None` if it is not intact.
pub(super) fn decode(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let remaining = bytes.strip_prefix(&MAGIC)?;
    let (length, remaining) = remaining.split_first_chunk::<4>()?;
    let (number, remaining) = remaining.split_first_chunk::<8>()?;
    let (stored, remaining) = remaining.split_first_chunk::<CHECKSUM_BYTES>()?;
    let payload = remaining.get(..u32::from_le_bytes(*length) as usize)?;
    let number = u64::from_le_bytes(*number);
    (checksum(number, payload) == *stored).then_some((number, payload))
}

/// Whether an intact frame starts anywhere in `bytes` after the first byte.
pub(super) fn has_later_frame(bytes: &[u8]) -> bool {
    let starts = bytes.windows(MAGIC.len()).enumerate().skip(1);
    starts
        .filter(|(_, window)| *window == MAGIC)
        .any(|(offset, _)| decode(&bytes[offset..]).is_some())
}

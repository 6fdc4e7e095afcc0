//! Frames: checksummed records in a file.
//!
//! ```text
//! magic (4) | length (4, little endian) | number (8, little endian) | checksum (16) | payload
//! ```
//!
//! The checksum is the beginning of the BLAKE3 hash of length, number and payload. Frames are
//! numbered without gaps.

use super::error::StateError;

const MAGIC: [u8; 4] = *b"mdlg";
const CHECKSUM_BYTES: usize = 16;
/// Bytes of a frame besides its payload.
pub(super) const HEADER_BYTES: usize = 4 + 4 + 8 + CHECKSUM_BYTES;
/// Largest payload of a frame, in bytes.
pub(super) const MAX_PAYLOAD: usize = 1 << 30;

fn checksum(number: u64, payload: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(payload.len() as u32).to_le_bytes());
    hasher.update(&number.to_le_bytes());
    hasher.update(payload);
    let mut checksum = [0; CHECKSUM_BYTES];
    checksum.copy_from_slice(&hasher.finalize().as_bytes()[..CHECKSUM_BYTES]);
    checksum
}

/// Encodes one frame.
pub(super) fn encode(number: u64, payload: &[u8]) -> Result<Vec<u8>, StateError> {
    if payload.len() > MAX_PAYLOAD {
        return Err(StateError::TooLarge { bytes: payload.len(), limit: MAX_PAYLOAD });
    }
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&number.to_le_bytes());
    frame.extend_from_slice(&checksum(number, payload));
    frame.extend_from_slice(payload);
    Ok(frame)
}

/// The frame that begins with `bytes`: its number and payload; `None` if it is not intact.
pub(super) fn decode(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let rest = bytes.strip_prefix(&MAGIC)?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let (number, rest) = rest.split_first_chunk::<8>()?;
    let (stored, rest) = rest.split_first_chunk::<CHECKSUM_BYTES>()?;
    let payload = rest.get(..u32::from_le_bytes(*length) as usize)?;
    let number = u64::from_le_bytes(*number);
    (checksum(number, payload) == *stored).then_some((number, payload))
}

/// Whether an intact frame begins anywhere in `bytes` after the first byte.
pub(super) fn has_later(bytes: &[u8]) -> bool {
    let starts = bytes.windows(MAGIC.len()).enumerate().skip(1);
    starts.filter(|(_, window)| *window == MAGIC).any(|(at, _)| decode(&bytes[at..]).is_some())
}

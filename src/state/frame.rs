//! Frames: checksummed records in a file.
//!
//! ```text
//! magic (4) | length (4, little endian) | number (8, little endian) | checksum (16) | payload
//! ```
//!
//! The checksum is the first 16 bytes of the BLAKE3 hash of length, number and payload. Frames are
//! numbered consecutively.

use std::{
    fs::File,
    io::{self, BufWriter, Read, Seek, Write},
    path::Path,
};

use serde::Serialize;

use super::error::{Operation, StateError};

const MAGIC: [u8; 4] = *b"mdlg";
const CHECKSUM_BYTES: usize = 16;
/// Length of everything before the payload.
pub(super) const HEADER_BYTES: usize = 4 + 4 + 8 + CHECKSUM_BYTES;
pub(super) const MAX_PAYLOAD_BYTES: usize = 1 << 30;

/// Everything before the payload of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Header {
    /// Length of the payload, in bytes.
    length: u32,
    number: u64,
    checksum: [u8; CHECKSUM_BYTES],
}

impl Header {
    fn new(number: u64, payload: &[u8]) -> Result<Header, StateError> {
        let mut hasher = hasher(number, payload.len())?;
        hasher.update(payload);
        Ok(Header { length: payload.len() as u32, number, checksum: finish(&hasher) })
    }

    fn encode(&self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        bytes[..4].copy_from_slice(&MAGIC);
        bytes[4..8].copy_from_slice(&self.length.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.number.to_le_bytes());
        bytes[16..].copy_from_slice(&self.checksum);
        bytes
    }

    /// Decodes the header at the start of `bytes`; `None` if there is none.
    fn decode(bytes: &[u8]) -> Option<Header> {
        let remaining = bytes.strip_prefix(&MAGIC)?;
        let (length, remaining) = remaining.split_first_chunk::<4>()?;
        let (number, remaining) = remaining.split_first_chunk::<8>()?;
        let (checksum, _) = remaining.split_first_chunk::<CHECKSUM_BYTES>()?;
        Some(Header {
            length: u32::from_le_bytes(*length),
            number: u64::from_le_bytes(*number),
            checksum: *checksum,
        })
    }
}

/// A hasher that has been given the length and the number of a frame.
fn hasher(number: u64, length: usize) -> Result<blake3::Hasher, StateError> {
    if length > MAX_PAYLOAD_BYTES {
        return Err(StateError::TooLarge { bytes: length, limit: MAX_PAYLOAD_BYTES });
    }
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(length as u32).to_le_bytes());
    hasher.update(&number.to_le_bytes());
    Ok(hasher)
}

fn finish(hasher: &blake3::Hasher) -> [u8; CHECKSUM_BYTES] {
    let mut checksum = [0; CHECKSUM_BYTES];
    checksum.copy_from_slice(&hasher.finalize().as_bytes()[..CHECKSUM_BYTES]);
    checksum
}

/// Encodes a frame whose payload is the encoding of `value`.
pub(super) fn encode<T: Serialize>(number: u64, value: &T) -> Result<Vec<u8>, StateError> {
    let frame = postcard::to_extend(value, vec![0; HEADER_BYTES]);
    let mut frame = frame.map_err(StateError::Encode)?;
    let header = Header::new(number, &frame[HEADER_BYTES..])?;
    frame[..HEADER_BYTES].copy_from_slice(&header.encode());
    Ok(frame)
}

/// Number and payload of the frame at the start of `bytes`; `None` if it is not intact.
pub(super) fn decode(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let header = Header::decode(bytes)?;
    let payload = bytes[HEADER_BYTES..].get(..header.length as usize)?;
    (Header::new(header.number, payload).ok()? == header).then_some((header.number, payload))
}

/// Reads the next frame of a file of which `remaining` bytes are left; `None` if it is not intact.
pub(super) fn read(file: &mut impl Read, remaining: u64) -> io::Result<Option<(u64, Vec<u8>)>> {
    if remaining < HEADER_BYTES as u64 {
        return Ok(None);
    }
    let mut header = [0; HEADER_BYTES];
    file.read_exact(&mut header)?;
    let Some(header) = Header::decode(&header) else { return Ok(None) };
    if u64::from(header.length) > remaining - HEADER_BYTES as u64 {
        return Ok(None);
    }
    let mut payload = vec![0; header.length as usize];
    file.read_exact(&mut payload)?;
    let is_intact = Header::new(header.number, &payload).is_ok_and(|it| it == header);
    Ok(is_intact.then_some((header.number, payload)))
}

/// Writes the frame of `value` to the start of the empty file at `path`, piece by piece: the value may
/// be as large as the state of the process. Returns the length of the frame.
pub(super) fn write<T: Serialize>(
    file: &mut File,
    path: &Path,
    number: u64,
    value: &T,
) -> Result<u64, StateError> {
    let write_error = || StateError::io(Operation::Write, path);
    let length = postcard::experimental::serialized_size(value).map_err(StateError::Encode)?;
    let hasher = hasher(number, length)?;
    file.write_all(&[0; HEADER_BYTES]).map_err(write_error())?;
    let mut content = BufWriter::new(HashedFile { file, hasher, error: None });
    let encoded = postcard::to_io(value, &mut content).map(|_| ());
    let flushed = content.flush();
    let (content, _) = content.into_parts();
    if let Some(error) = content.error.or(flushed.err()) {
        return Err(write_error()(error));
    }
    encoded.map_err(StateError::Encode)?;
    let checksum = finish(&content.hasher);
    let header = Header { length: length as u32, number, checksum };
    let file = content.file;
    file.rewind().map_err(write_error())?;
    file.write_all(&header.encode()).map_err(write_error())?;
    Ok((HEADER_BYTES + length) as u64)
}

/// Writes to a file and hashes what it writes. Keeps the first error, which the encoder drops.
#[derive(Debug)]
struct HashedFile<'a> {
    file: &'a mut File,
    hasher: blake3::Hasher,
    error: Option<io::Error>,
}

impl Write for HashedFile<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.file.write(bytes) {
            Ok(count) => {
                self.hasher.update(&bytes[..count]);
                Ok(count)
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Err(error),
            Err(error) => {
                let kind = error.kind();
                self.error.get_or_insert(error);
                Err(kind.into())
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        self.file.flush()
    }
}

/// Whether an intact frame starts anywhere in `bytes` after the first byte.
pub(super) fn has_later_frame(bytes: &[u8]) -> bool {
    let starts = bytes.windows(MAGIC.len()).enumerate().skip(1);
    starts
        .filter(|(_, window)| *window == MAGIC)
        .any(|(offset, _)| decode(&bytes[offset..]).is_some())
}

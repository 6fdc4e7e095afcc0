//! Documents in the form in which they travel between processes.
//!
//! The document of a table repeats its names for each route, and compresses to a tenth and less. Every entry
//! instance fetches each version, and its link may carry less than a megabyte a second.

use std::io::{self, Read, Write};

use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use serde::{Deserialize, Serialize};

/// Length above which a document is not unpacked, in bytes: that of the longest message between processes.
const MAX_DOCUMENT_BYTES: u64 = 16 << 20;

/// A compressed document.
///
/// ```
/// use medlarlug_gateway::packed::PackedDocument;
///
/// let document = b"route ".repeat(1_000);
/// let packed = PackedDocument::pack(&document)?;
/// assert!(packed.len() < 100);
/// assert_eq!(packed.unpack()?, document);
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PackedDocument(#[serde(with = "serde_bytes")] Vec<u8>);

impl PackedDocument {
    /// Compresses a document.
    ///
    /// # Errors
    ///
    /// The compression failed.
    pub fn pack(document: &[u8]) -> io::Result<PackedDocument> {
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(document)?;
        encoder.finish().map(PackedDocument)
    }

    /// The document as it was before.
    ///
    /// # Errors
    ///
    /// The content is no compressed document, or one of over 16 MiB.
    pub fn unpack(&self) -> io::Result<Vec<u8>> {
        let mut document = Vec::new();
        let limit = MAX_DOCUMENT_BYTES + 1;
        ZlibDecoder::new(&self.0[..]).take(limit).read_to_end(&mut document)?;
        if document.len() as u64 == limit {
            let text = format!("document longer than {MAX_DOCUMENT_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        Ok(document)
    }

    /// Length in bytes.
    #[expect(clippy::len_without_is_empty, reason = "a compressed document is never empty")]
    pub fn len(&self) -> usize {
        self.0.len()
    }
}

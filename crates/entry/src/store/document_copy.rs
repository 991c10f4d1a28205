//! A compressed copy of the operators' document.

use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// The maximum size of a document, in bytes.
const DOCUMENT_MAX_BYTES: u64 = 8 * 1_024 * 1_024;

/// Compresses the operators' document into the value of a row, and back.
///
/// # Examples
///
/// ```
/// use sapphirestile_entry::DocumentCopy;
///
/// let document = br#"{"version":7}"#;
/// let copy = DocumentCopy::encode(document);
/// assert_eq!(DocumentCopy::decode(&copy).as_deref(), Some(&document[..]));
/// assert_eq!(DocumentCopy::decode(b"odd"), None);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct DocumentCopy;

impl DocumentCopy {
    /// Compresses a document.
    ///
    /// # Panics
    ///
    /// Never: a vector can always be written to.
    #[must_use]
    pub fn encode(document: &[u8]) -> Vec<u8> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
        encoder
            .write_all(document)
            .expect("a vector can be written");
        encoder.finish().expect("a vector can be written")
    }

    /// Decompresses a document; `None` when the copy is malformed or the document too large.
    #[must_use]
    pub fn decode(copy: &[u8]) -> Option<Vec<u8>> {
        let mut document = Vec::new();
        let source = DeflateDecoder::new(copy);
        let mut limited = source.take(DOCUMENT_MAX_BYTES + 1);
        limited.read_to_end(&mut document).ok()?;
        let is_complete = document.len() as u64 <= DOCUMENT_MAX_BYTES;
        is_complete.then_some(document)
    }
}

//! The content coding of response bodies.

use std::borrow::Cow;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;

use flate2::bufread::MultiGzDecoder;

use crate::http::HttpResponse;

const ENCODING_HEADER: &str = "content-encoding";

/// The content coding of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyCoding {
    Plain,
    Gzip,
    Unknown,
}

impl BodyCoding {
    /// Returns the coding given by the response's headers.
    pub(super) fn of(response: &HttpResponse) -> Self {
        if !response.headers.contains_key(ENCODING_HEADER) {
            return Self::Plain;
        }
        match response.sole_header(ENCODING_HEADER) {
            Some(value) if value.eq_ignore_ascii_case(b"gzip") => Self::Gzip,
            Some(value) if value.eq_ignore_ascii_case(b"identity") => Self::Plain,
            _ => Self::Unknown,
        }
    }

    /// Decodes a body. Fails if the result exceeds `bytes_max`; memory use is bounded by it.
    pub(super) fn decode(self, body: &[u8], bytes_max: usize) -> Result<Cow<'_, [u8]>, Error> {
        match self {
            Self::Plain => Ok(Cow::Borrowed(body)),
            Self::Gzip => decompress(body, bytes_max).map(Cow::Owned),
            Self::Unknown => Err(invalid_data("unknown content coding")),
        }
    }
}

fn decompress(body: &[u8], bytes_max: usize) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    let source = MultiGzDecoder::new(body);
    source.take(bytes_max as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > bytes_max {
        return Err(invalid_data("the decompressed body exceeds the size limit"));
    }
    Ok(bytes)
}

fn invalid_data(reason: &'static str) -> Error {
    Error::new(ErrorKind::InvalidData, reason)
}

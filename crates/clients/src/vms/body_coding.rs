//! How the body of an answer is coded.

use std::borrow::Cow;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;

use flate2::bufread::MultiGzDecoder;

use crate::http::HttpAnswer;

const CODING_HEADER: &str = "content-encoding";

/// How the body of an answer is coded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyCoding {
    Plain,
    Gzip,
    Unknown,
}

impl BodyCoding {
    /// The coding that an answer names.
    pub(super) fn of(answer: &HttpAnswer) -> Self {
        if !answer.headers.contains_key(CODING_HEADER) {
            return Self::Plain;
        }
        match answer.sole_header(CODING_HEADER) {
            Some(value) if value.eq_ignore_ascii_case(b"gzip") => Self::Gzip,
            Some(value) if value.eq_ignore_ascii_case(b"identity") => Self::Plain,
            _ => Self::Unknown,
        }
    }

    /// The body, of `bytes_max` bytes at the most; no more is ever kept.
    pub(super) fn decode(self, body: &[u8], bytes_max: usize) -> Result<Cow<'_, [u8]>, Error> {
        match self {
            Self::Plain => Ok(Cow::Borrowed(body)),
            Self::Gzip => unzip(body, bytes_max).map(Cow::Owned),
            Self::Unknown => Err(refused("the coding is not known")),
        }
    }
}

fn unzip(body: &[u8], bytes_max: usize) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    let source = MultiGzDecoder::new(body);
    source.take(bytes_max as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > bytes_max {
        return Err(refused("the answer is too large"));
    }
    Ok(bytes)
}

fn refused(reason: &'static str) -> Error {
    Error::new(ErrorKind::InvalidData, reason)
}

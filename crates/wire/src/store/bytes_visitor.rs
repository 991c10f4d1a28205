//! Decoding of base64 strings.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::de::Error;
use serde::de::Visitor;

use crate::store::Base64Bytes;
use crate::store::VALUE_MAX_BYTES;

/// The maximum length of the base64 string, in characters.
const TEXT_MAX_CHARS: usize = VALUE_MAX_BYTES.div_ceil(3) * 4;

/// Decodes a JSON string as base64.
pub(super) struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = Base64Bytes<'static>;

    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("base64 text of at most a megabyte of bytes")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Self::Value, E> {
        if text.len() > TEXT_MAX_CHARS {
            return Err(E::invalid_length(text.len(), &self));
        }
        STANDARD
            .decode(text)
            .map(Base64Bytes::from)
            .map_err(E::custom)
    }
}

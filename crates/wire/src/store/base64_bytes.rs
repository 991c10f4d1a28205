//! Bytes encoded as base64 in JSON.

use std::borrow::Cow;

use base64::display::Base64Display;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::store::bytes_visitor::BytesVisitor;

/// Bytes that are encoded as a base64 string.
///
/// Decoding fails for more than [`VALUE_MAX_BYTES`](crate::store::VALUE_MAX_BYTES).
///
/// # Examples
///
/// ```
/// use sapphirestile_wire::store::Base64Bytes;
///
/// let bytes = Base64Bytes::from(b"foo".as_slice());
/// assert_eq!(serde_json::to_string(&bytes).unwrap(), "\"Zm9v\"");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Base64Bytes<'a>(Cow<'a, [u8]>);

impl Base64Bytes<'_> {
    /// Returns the decoded bytes.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the decoded bytes as an owned value, copying them only if they are borrowed.
    #[must_use]
    pub fn into_vec(self) -> Vec<u8> {
        self.0.into_owned()
    }
}

impl<'a> From<&'a [u8]> for Base64Bytes<'a> {
    fn from(bytes: &'a [u8]) -> Self {
        Self(Cow::Borrowed(bytes))
    }
}

impl From<Vec<u8>> for Base64Bytes<'_> {
    fn from(bytes: Vec<u8>) -> Self {
        Self(Cow::Owned(bytes))
    }
}

impl Serialize for Base64Bytes<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&Base64Display::new(&self.0, &STANDARD))
    }
}

impl<'de> Deserialize<'de> for Base64Bytes<'_> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(BytesVisitor)
    }
}

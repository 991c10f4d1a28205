//! A row in the store's responses.

use serde::Deserialize;
use serde::Serialize;

use crate::store::Base64Bytes;
use crate::store::DecimalNumber;

/// A key, its value, and the revisions at which it was created and last written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue<'a> {
    /// The key of the row.
    pub key: Base64Bytes<'a>,
    /// The value of the row; empty when absent.
    #[serde(default)]
    pub value: Base64Bytes<'a>,
    /// The revision at which the key was created, that is, first written after being absent.
    #[serde(default)]
    pub create_revision: DecimalNumber,
    /// The revision of the last write.
    #[serde(default)]
    pub mod_revision: DecimalNumber,
    /// The id of the lease whose expiry deletes the row; 0 for none.
    #[serde(default)]
    pub lease: DecimalNumber,
}

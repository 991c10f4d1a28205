//! A write of one row.

use serde::Deserialize;
use serde::Serialize;

use crate::store::Base64Bytes;
use crate::store::DecimalNumber;

/// Sets the value of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest<'a> {
    /// The key to write.
    pub key: Base64Bytes<'a>,
    /// The new value.
    #[serde(default)]
    pub value: Base64Bytes<'a>,
    /// The id of the lease whose expiry deletes the row; 0 for none.
    #[serde(default)]
    pub lease: DecimalNumber,
}

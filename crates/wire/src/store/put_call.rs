//! Writes a row.

use serde::Deserialize;
use serde::Serialize;

use crate::store::Base64Bytes;
use crate::store::DecimalNumber;

/// Writes a value at a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutCall<'a> {
    /// The key.
    pub key: Base64Bytes<'a>,
    /// The value.
    #[serde(default)]
    pub value: Base64Bytes<'a>,
    /// The lease that the row ends with; 0 for none.
    #[serde(default)]
    pub lease: DecimalNumber,
}

//! A row as the store answers it.

use serde::Deserialize;
use serde::Serialize;

use crate::store::Base64Bytes;
use crate::store::DecimalNumber;

/// A key, its value and where they came from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue<'a> {
    /// The key.
    pub key: Base64Bytes<'a>,
    /// The value.
    #[serde(default)]
    pub value: Base64Bytes<'a>,
    /// The revision of the first write since the key was absent.
    #[serde(default)]
    pub create_revision: DecimalNumber,
    /// The revision of the last write.
    #[serde(default)]
    pub mod_revision: DecimalNumber,
    /// The lease that the row ends with; 0 for none.
    #[serde(default)]
    pub lease: DecimalNumber,
}

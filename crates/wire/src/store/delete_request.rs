//! A write that deletes rows.

use serde::Deserialize;
use serde::Serialize;

use crate::store::Base64Bytes;

/// Deletes the rows with keys from `key` (inclusive) to `range_end` (exclusive).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeleteRequest<'a> {
    /// The first key.
    pub key: Base64Bytes<'a>,
    /// The end of the range; empty for `key` alone, a zero byte for no end.
    #[serde(default, alias = "rangeEnd")]
    pub range_end: Base64Bytes<'a>,
}

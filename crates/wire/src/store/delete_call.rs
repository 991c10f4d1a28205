//! Deletes rows.

use serde::Deserialize;
use serde::Serialize;

use crate::store::Base64Bytes;

/// Deletes the rows from `key` up to, and not including, `range_end`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeleteCall<'a> {
    /// The first key.
    pub key: Base64Bytes<'a>,
    /// The first key left; empty for `key` alone, a zero byte for no end.
    #[serde(default, alias = "rangeEnd")]
    pub range_end: Base64Bytes<'a>,
}

//! What is watched.

use serde::Deserialize;
use serde::Serialize;

use crate::store::Base64Bytes;
use crate::store::DecimalNumber;

/// Watches the keys from `key` up to, and not including, `range_end`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchCreate<'a> {
    /// The first key.
    pub key: Base64Bytes<'a>,
    /// The first key left out; empty for `key` alone, a zero byte for no end.
    #[serde(default, alias = "rangeEnd")]
    pub range_end: Base64Bytes<'a>,
    /// The first revision that is reported.
    #[serde(default, alias = "startRevision")]
    pub start_revision: DecimalNumber,
}

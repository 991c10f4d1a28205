//! The parameters of a new watch.

use serde::Deserialize;
use serde::Serialize;

use crate::store::Base64Bytes;
use crate::store::DecimalNumber;

/// Watches the keys from `key` (inclusive) to `range_end` (exclusive).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchCreate<'a> {
    /// The first key.
    pub key: Base64Bytes<'a>,
    /// The end of the range; empty for `key` alone, a zero byte for no end.
    #[serde(default, alias = "rangeEnd")]
    pub range_end: Base64Bytes<'a>,
    /// The first revision whose changes are reported.
    #[serde(default, alias = "startRevision")]
    pub start_revision: DecimalNumber,
}

//! A response of a watch.

use serde::Deserialize;
use serde::Serialize;

use crate::store::DecimalNumber;
use crate::store::ResponseHeader;
use crate::store::WatchEvent;

/// Changes of watched keys, or a change in the state of the watch itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchResponse<'a> {
    /// The header, with the store's revision.
    #[serde(default)]
    pub header: ResponseHeader,
    /// Whether the store cancelled the watch.
    #[serde(default)]
    pub canceled: bool,
    /// The earliest revision that the store still has, set when the watch asked for an
    /// earlier one.
    #[serde(default)]
    pub compact_revision: DecimalNumber,
    /// The changed rows.
    #[serde(borrow, default)]
    pub events: Vec<WatchEvent<'a>>,
}

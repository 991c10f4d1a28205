//! One answer of a watch.

use serde::Deserialize;
use serde::Serialize;

use crate::store::AnswerHeader;
use crate::store::DecimalNumber;
use crate::store::WatchEvent;

/// Changes, or the state of the watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchAnswer<'a> {
    /// Where the store stood.
    #[serde(default)]
    pub header: AnswerHeader,
    /// Whether the watch was ended by the store.
    #[serde(default)]
    pub canceled: bool,
    /// The first revision that the store still knows, when the watch asked for an earlier one.
    #[serde(default)]
    pub compact_revision: DecimalNumber,
    /// The changes.
    #[serde(borrow, default)]
    pub events: Vec<WatchEvent<'a>>,
}

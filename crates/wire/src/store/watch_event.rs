//! A change reported by a watch.

use serde::Deserialize;
use serde::Serialize;

use crate::store::KeyValue;

/// A change of one row: a write or a deletion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchEvent<'a> {
    /// The row after the change; for a deletion, only its key and revision.
    #[serde(borrow)]
    pub kv: KeyValue<'a>,
}

//! A change that a watch reports.

use serde::Deserialize;
use serde::Serialize;

use crate::store::KeyValue;

/// A written or deleted row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchEvent<'a> {
    /// The row; of a deleted one, the key and the revision.
    #[serde(borrow)]
    pub kv: KeyValue<'a>,
}

//! The response to a transaction.

use serde::Deserialize;
use serde::Serialize;

use crate::store::ResponseHeader;

/// Whether the transaction was committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnResponse {
    /// The header; after a commit, its revision is that of the writes.
    pub header: ResponseHeader,
    /// Whether every condition held, and so every write took effect.
    #[serde(default)]
    pub succeeded: bool,
}

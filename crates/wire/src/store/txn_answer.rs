//! The answer to a transaction.

use serde::Deserialize;
use serde::Serialize;

use crate::store::AnswerHeader;

/// Whether the conditions held and the writes took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnAnswer {
    /// Where the store stood.
    pub header: AnswerHeader,
    /// Whether every condition held.
    #[serde(default)]
    pub succeeded: bool,
}

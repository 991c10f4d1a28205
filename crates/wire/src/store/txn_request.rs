//! A request to run a transaction.

use serde::Deserialize;
use serde::Serialize;

use crate::store::CompareClause;
use crate::store::TxnWrite;

/// Applies all writes atomically if every condition holds, and none otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnRequest<'a> {
    /// The conditions.
    #[serde(borrow, default)]
    pub compare: Vec<CompareClause<'a>>,
    /// The writes to apply if the conditions hold.
    #[serde(borrow, default)]
    pub success: Vec<TxnWrite<'a>>,
}

//! A transaction.

use serde::Deserialize;
use serde::Serialize;

use crate::store::CompareClause;
use crate::store::TxnWrite;

/// Writes as a whole when every condition holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnCall<'a> {
    /// What must hold.
    #[serde(borrow, default)]
    pub compare: Vec<CompareClause<'a>>,
    /// What is then written.
    #[serde(borrow, default)]
    pub success: Vec<TxnWrite<'a>>,
}

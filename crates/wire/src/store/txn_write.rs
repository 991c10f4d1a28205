//! One write of a transaction.

use serde::Deserialize;
use serde::Serialize;

use crate::store::DeleteCall;
use crate::store::PutCall;

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TxnWrite<'a> {
    /// Writes a row.
    #[serde(rename = "requestPut", alias = "request_put", borrow)]
    Put(PutCall<'a>),
    /// Deletes rows.
    #[serde(rename = "requestDeleteRange", alias = "request_delete_range", borrow)]
    Delete(DeleteCall<'a>),
}

//! A write of a transaction.

use serde::Deserialize;
use serde::Serialize;

use crate::store::DeleteRequest;
use crate::store::PutRequest;

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TxnWrite<'a> {
    /// Sets the value of one key.
    #[serde(rename = "requestPut", alias = "request_put", borrow)]
    Put(PutRequest<'a>),
    /// Deletes a range of keys.
    #[serde(rename = "requestDeleteRange", alias = "request_delete_range", borrow)]
    Delete(DeleteRequest<'a>),
}

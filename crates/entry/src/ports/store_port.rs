//! Port to the key-value store.

use std::time::Duration;

use crate::ports::CommitAnswer;
use crate::ports::ListTimeouts;
use crate::ports::RowListing;
use crate::ports::StoreCallError;
use crate::ports::StoreCommit;
use crate::ports::StoredRow;

/// A linearizable key-value store of rows, which are read and changed one at a time or
/// together. Calls are not retried.
pub trait StorePort: Send + Sync + 'static {
    /// Reads a row; `None` when it does not exist.
    ///
    /// # Errors
    ///
    /// [`StoreCallError`] when there is no complete answer within `timeout`.
    fn read(&self, key: &str, timeout: Duration) -> Result<Option<StoredRow>, StoreCallError>;

    /// Lists the rows whose keys begin with `prefix`.
    ///
    /// # Errors
    ///
    /// [`StoreCallError`] when there is no complete answer within `timeouts`.
    fn list(&self, prefix: &str, timeouts: ListTimeouts) -> Result<RowListing, StoreCallError>;

    /// Changes several rows, or none.
    ///
    /// # Errors
    ///
    /// [`StoreCallError::NotDone`] when nothing can have been changed, and
    /// [`StoreCallError::Unknown`] when there is no complete answer within `timeout`.
    fn commit(
        &self,
        commit: &StoreCommit,
        timeout: Duration,
    ) -> Result<CommitAnswer, StoreCallError>;
}

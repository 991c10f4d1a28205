//! A store of rows.

use std::time::Duration;

use crate::ports::CommitAnswer;
use crate::ports::RowListing;
use crate::ports::StoreCommit;
use crate::ports::StoreFault;
use crate::ports::StoredRow;

/// A store of rows that are read and changed one at a time or together. Every
/// answer is up to date. No call is repeated.
pub trait StorePort: Send + Sync + 'static {
    /// The row of a key, if there is one.
    ///
    /// # Errors
    ///
    /// When there is no whole answer within `timeout`.
    fn read(&self, key: &str, timeout: Duration) -> Result<Option<StoredRow>, StoreFault>;

    /// The rows whose keys begin with `prefix`.
    ///
    /// # Errors
    ///
    /// When there is no whole answer.
    fn list(&self, prefix: &str) -> Result<RowListing, StoreFault>;

    /// Changes several rows, or none.
    ///
    /// # Errors
    ///
    /// [`StoreFault::NotDone`] when nothing can have been changed, and
    /// [`StoreFault::Unknown`] when there is no whole answer within `timeout`.
    fn commit(&self, commit: &StoreCommit, timeout: Duration) -> Result<CommitAnswer, StoreFault>;
}

//! The calls of the platform's store.

use std::time::Duration;

use error_stack::Report;

use crate::store::CommitAnswer;
use crate::store::StoreCommit;
use crate::store::StoreError;
use crate::store::StoreWatch;
use crate::store::StoredRange;

/// A client of the platform's store. Every call counts towards its rates.
pub trait StoreClient: Send + Sync {
    /// Reads every row whose key begins with `prefix`, in the order of keys.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; a read that failed changed nothing.
    fn read(&self, prefix: &str) -> Result<StoredRange, Report<StoreError>>;

    /// Writes as a whole or not at all.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotRun`] when nothing was written, and
    /// [`StoreError::Unknown`] when the answer was lost.
    fn commit(&self, commit: &StoreCommit<'_>) -> Result<CommitAnswer, Report<StoreError>>;

    /// Waits until a row below the watch's prefix changes, and returns all its
    /// rows; returns nothing when none has changed within `wait`.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when the store cannot be reached or the revision is too old.
    fn watch(
        &self,
        watch: &StoreWatch<'_>,
        wait: Duration,
    ) -> Result<Option<StoredRange>, Report<StoreError>>;

    /// Opens a lease and returns its number.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; a lease whose answer was lost lapses by itself.
    fn grant_lease(&self, ttl: Duration) -> Result<i64, Report<StoreError>>;

    /// Renews a lease; false when it has lapsed.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when the store cannot be reached.
    fn keep_lease(&self, lease: i64) -> Result<bool, Report<StoreError>>;
}

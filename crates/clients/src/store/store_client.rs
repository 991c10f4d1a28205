//! The interface of the platform's store.

use std::time::Duration;

use error_stack::Report;

use crate::store::CommitAnswer;
use crate::store::StoreCommit;
use crate::store::StoreError;
use crate::store::StoreWatch;
use crate::store::StoredRange;

/// A client of the platform's store. Every call counts towards the store's rate limits.
pub trait StoreClient: Send + Sync {
    /// Reads all rows whose key starts with `prefix`, ordered by key.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; reading has no side effects.
    fn read(&self, prefix: &str) -> Result<StoredRange, Report<StoreError>>;

    /// Applies all writes atomically if every guard holds.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotRun`] when nothing was written, and
    /// [`StoreError::Unknown`] when the response was lost.
    fn commit(&self, commit: &StoreCommit<'_>) -> Result<CommitAnswer, Report<StoreError>>;

    /// Waits until a row under the watch's prefix changes and returns all rows under the
    /// prefix, or `None` when none has changed within `wait`.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when the store cannot be reached or no longer has the changes since the
    /// revision.
    fn watch(
        &self,
        watch: &StoreWatch<'_>,
        wait: Duration,
    ) -> Result<Option<StoredRange>, Report<StoreError>>;

    /// Creates a lease and returns its id.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; a lease whose response was lost expires by itself.
    fn grant_lease(&self, ttl: Duration) -> Result<i64, Report<StoreError>>;

    /// Renews a lease; returns `false` when it has expired.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when the store cannot be reached.
    fn renew_lease(&self, lease: i64) -> Result<bool, Report<StoreError>>;
}

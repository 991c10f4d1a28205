//! Port to a source of events.

use std::time::Duration;

use crate::ports::EventListing;
use crate::ports::StoreCallError;

/// A source of events that can be listed completely and then watched for changes.
pub trait EventSource<E>: Send + Sync + 'static {
    /// The name of the source in log lines.
    fn name(&self) -> &str;

    /// Lists everything that exists.
    ///
    /// # Errors
    ///
    /// [`StoreCallError`] when the source cannot be read.
    fn list(&self) -> Result<EventListing<E>, StoreCallError>;

    /// Returns the changes after a revision. Blocks until there are some or `wait` has
    /// passed.
    ///
    /// # Errors
    ///
    /// [`StoreCallError::HistoryGone`] when the source no longer keeps these changes, and
    /// [`StoreCallError::AnswerTooLarge`] when they are too many for one answer: it has to
    /// be listed again.
    fn watch(&self, after: u64, wait: Duration) -> Result<EventListing<E>, StoreCallError>;
}

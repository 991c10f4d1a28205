//! Something that can be listed and watched.

use std::time::Duration;

use crate::ports::EventListing;
use crate::ports::StoreFault;

/// Something that can be listed as a whole and then watched for changes.
pub trait EventSource<E>: Send + Sync + 'static {
    /// What the source is called in logs.
    fn name(&self) -> &'static str;

    /// All there is.
    ///
    /// # Errors
    ///
    /// When the source cannot be read.
    fn list(&self) -> Result<EventListing<E>, StoreFault>;

    /// What changed after a revision, as soon as anything did or `wait` is over.
    ///
    /// # Errors
    ///
    /// [`StoreFault::HistoryGone`] when the changes are no longer known: the source
    /// has to be listed again.
    fn watch(&self, after: u64, wait: Duration) -> Result<EventListing<E>, StoreFault>;
}

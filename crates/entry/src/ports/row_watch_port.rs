//! Port to sources of row changes.

use std::sync::Arc;

use crate::ports::EventSource;
use crate::ports::RowChange;

/// Creates sources of the changes of rows with a common prefix.
pub trait RowWatchPort: Send + Sync + 'static {
    /// Source of the rows whose keys begin with `prefix`.
    fn rows(&self, prefix: &str) -> Arc<dyn EventSource<RowChange>>;
}

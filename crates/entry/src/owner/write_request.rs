//! Requests to the commit thread.

use sapphirestile_jobs::CommitBatch;

use crate::owner::LayoutChange;

/// A request to the commit thread.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteRequest {
    /// Store a batch.
    Batch(Box<CommitBatch>),
    /// Extend the layout of cells.
    Layout(LayoutChange),
}

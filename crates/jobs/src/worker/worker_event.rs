//! Changes to the list of workers.

use sapphirestile_core::WorkerName;

use crate::worker::WorkerEntry;

/// A change to the list of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerEvent {
    /// A worker was added, or its entry changed.
    Present(WorkerEntry),
    /// A worker was removed from the list.
    Gone(WorkerName),
}

//! A change of the list of workers.

use sapphirestile_core::WorkerName;

use crate::worker::WorkerEntry;

/// A change of the list of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerEvent {
    /// A worker is there, or its entry changed.
    Present(WorkerEntry),
    /// A worker left the list.
    Gone(WorkerName),
}

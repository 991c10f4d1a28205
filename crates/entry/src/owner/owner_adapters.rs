//! The adapters that the owner uses.

use std::sync::Arc;

use sapphirestile_jobs::WorkerEvent;

use crate::ports::AdvicePort;
use crate::ports::EventSource;
use crate::ports::RowWatchPort;
use crate::ports::WorkerPort;

/// The adapters that the owner uses besides the store.
#[derive(Clone)]
pub struct OwnerAdapters {
    /// Sources of the rows of submissions and cancellations.
    pub rows: Arc<dyn RowWatchPort>,
    /// Source of the list of workers.
    pub workers: Arc<dyn EventSource<WorkerEvent>>,
    /// Sends requests to workers.
    pub calls: Arc<dyn WorkerPort>,
    /// Sends requests to the advisor; `None` when the settings name none.
    pub advice: Option<Arc<dyn AdvicePort>>,
}

//! A look at a worker.

use crate::job_ownership::look_shown::LookShown;
use crate::job_ownership::worker_order::WorkerOrder;

/// A look on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LookCall {
    /// The worker.
    pub worker: u8,
    /// The order.
    pub order: WorkerOrder,
    /// Whether the known run would be shown if it was there: its start or stop had
    /// been answered when the look began.
    pub covers_run: bool,
    /// The answer on its way back.
    pub shown: Option<LookShown>,
}

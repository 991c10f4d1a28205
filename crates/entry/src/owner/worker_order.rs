//! An order on its way to a worker.

use sapphirestile_jobs::PaceOrder;
use sapphirestile_jobs::StartOrder;
use sapphirestile_jobs::StopOrder;

/// An order on its way to a worker.
#[derive(Clone, Debug)]
pub enum WorkerOrder {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Change the pace of a run.
    Pace(PaceOrder),
}

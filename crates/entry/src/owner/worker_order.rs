//! An order on its way to a worker, beside starts and looks.

use sapphirestile_jobs::PaceOrder;
use sapphirestile_jobs::StopOrder;

/// An order on its way to a worker, beside starts and looks.
#[derive(Clone, Debug)]
pub enum WorkerOrder {
    /// Stop a run.
    Stop(StopOrder),
    /// Change the pace of a run.
    Pace(PaceOrder),
}

//! Requests that change a run at a worker.

use sapphirestile_jobs::PaceOrder;
use sapphirestile_jobs::StopOrder;

/// A request that changes a run which was started earlier.
#[derive(Clone, Debug)]
pub enum RunControl {
    /// Stop the run.
    Stop(StopOrder),
    /// Change the pace of the run.
    Pace(PaceOrder),
}

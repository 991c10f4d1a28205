//! An order on its way to a worker, beside starts and looks.

use sapphirestile_jobs::PaceRequest;
use sapphirestile_jobs::StopRequest;

/// An order on its way to a worker, beside starts and looks.
#[derive(Clone, Debug)]
pub enum WorkerOrder {
    /// Stop a run.
    Stop(StopRequest),
    /// Change the pace of a run.
    Pace(PaceRequest),
}

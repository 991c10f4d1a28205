//! Port to the workers.

use std::net::SocketAddr;

use sapphirestile_jobs::PaceRequest;
use sapphirestile_jobs::PollOutcome;
use sapphirestile_jobs::PollRequest;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StartRequest;
use sapphirestile_jobs::StopOutcome;
use sapphirestile_jobs::StopRequest;

/// Sends requests to workers. Each call blocks until its answer or its timeout, and is
/// not retried.
pub trait WorkerPort: Send + Sync + 'static {
    /// Starts a run.
    fn start(&self, request: &StartRequest) -> StartOutcome;

    /// Stops a run.
    fn stop(&self, request: &StopRequest) -> StopOutcome;

    /// Changes the pace of a run. Returns whether the worker accepted it.
    fn pace(&self, request: &PaceRequest) -> bool;

    /// Reads the runs at a worker and renews their lease.
    fn poll(&self, request: &PollRequest) -> PollOutcome;

    /// Closes the connections to a worker that has left, or that another owner calls from now
    /// on; those in use are closed when their calls end.
    fn close_connections(&self, address: SocketAddr);
}

//! Port to the workers.

use std::net::SocketAddr;

use sapphirestile_jobs::LookOrder;
use sapphirestile_jobs::LookOutcome;
use sapphirestile_jobs::PaceOrder;
use sapphirestile_jobs::StartOrder;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StopOrder;
use sapphirestile_jobs::StopOutcome;

/// Sends requests to workers. Each call blocks until its answer or its timeout, and is
/// not retried.
pub trait WorkerPort: Send + Sync + 'static {
    /// Starts a run.
    fn start(&self, order: &StartOrder) -> StartOutcome;

    /// Stops a run.
    fn stop(&self, order: &StopOrder) -> StopOutcome;

    /// Changes the pace of a run. Returns whether the worker accepted it.
    fn pace(&self, order: &PaceOrder) -> bool;

    /// Reads the runs at a worker and renews their lease.
    fn poll(&self, order: &LookOrder) -> LookOutcome;

    /// Closes the connections to an address whose worker has left.
    fn close_connections(&self, address: SocketAddr);
}

//! Workers that take orders.

use std::net::SocketAddr;

use sapphirestile_jobs::PaceRequest;
use sapphirestile_jobs::PollOutcome;
use sapphirestile_jobs::PollRequest;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StartRequest;
use sapphirestile_jobs::StopOutcome;
use sapphirestile_jobs::StopRequest;

/// Carries orders to workers. Each call waits for its answer or its timeout, and
/// none is repeated.
pub trait WorkerPort: Send + Sync + 'static {
    /// Has a run started.
    fn start(&self, order: &StartRequest) -> StartOutcome;

    /// Has a run stopped.
    fn stop(&self, order: &StopRequest) -> StopOutcome;

    /// Has a run work at another pace. Returns whether the worker said yes.
    fn pace(&self, order: &PaceRequest) -> bool;

    /// Looks at what runs, and renews its lease.
    fn look(&self, order: &PollRequest) -> PollOutcome;

    /// Lets go of the connections to an address whose worker left.
    fn forget(&self, address: SocketAddr);
}

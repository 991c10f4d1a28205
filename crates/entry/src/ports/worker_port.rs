//! Workers that take orders.

use std::net::SocketAddr;

use sapphirestile_jobs::LookOrder;
use sapphirestile_jobs::LookOutcome;
use sapphirestile_jobs::PaceOrder;
use sapphirestile_jobs::StartOrder;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StopOrder;
use sapphirestile_jobs::StopOutcome;

/// Carries orders to workers. Each call waits for its answer or its timeout, and
/// none is repeated.
pub trait WorkerPort: Send + Sync + 'static {
    /// Has a run started.
    fn start(&self, order: &StartOrder) -> StartOutcome;

    /// Has a run stopped.
    fn stop(&self, order: &StopOrder) -> StopOutcome;

    /// Has a run work at another pace. Returns whether the worker said yes.
    fn pace(&self, order: &PaceOrder) -> bool;

    /// Looks at what runs, and renews its lease.
    fn look(&self, order: &LookOrder) -> LookOutcome;

    /// Lets go of the connections to an address whose worker left.
    fn forget(&self, address: SocketAddr);
}

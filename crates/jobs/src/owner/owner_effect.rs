//! What the owner wants done.

use std::net::SocketAddr;

use crate::advice::AdviceOrder;
use crate::owner::LookOrder;
use crate::owner::PaceOrder;
use crate::owner::StartOrder;
use crate::owner::StopOrder;
use sapphirestile_core::WorkerName;

/// What the owner wants done outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerEffect {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Look at what runs.
    Look(LookOrder),
    /// Change the pace of a run.
    Pace(PaceOrder),
    /// Ask the advisor.
    Advise(AdviceOrder),
    /// Let go of the connections to a worker that left.
    Forget {
        /// The worker.
        worker: WorkerName,
        /// Where it was reached, if that was ever known.
        address: Option<SocketAddr>,
    },
}

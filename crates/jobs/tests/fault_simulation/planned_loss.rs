//! Losses that a case plans ahead.

use sapphirestile_core::WorkerName;

/// A loss at a point in virtual time.
#[derive(Clone, Debug)]
pub enum PlannedLoss {
    /// Begins the next series of losses of the case.
    Series,
    /// The owner dies, if it still has this epoch.
    Owner { epoch: u64 },
    /// A worker with a long-running task dies.
    AnyWorker,
    /// The worker is cut off for a while.
    Cut { name: WorkerName },
    /// The worker restarts under its name, and nobody notices.
    Restart { name: WorkerName },
    /// The worker dies.
    Worker { name: WorkerName },
    /// A worker with another name starts at the address of a dead one.
    Newcomer { dead: WorkerName },
}

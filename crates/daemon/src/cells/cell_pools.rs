//! The thread pools that cells' actors use.

use std::sync::Arc;

use crate::cells::SharePool;
use crate::cells::WorkerPool;
use crate::context::DaemonContext;

/// The thread pools that all actors of a daemon share for their calls.
#[derive(Clone)]
pub struct CellPools {
    /// Makes calls to workers.
    pub workers: WorkerPool,
    /// Sends share reports to lenders of quotas.
    pub shares: SharePool,
}

impl CellPools {
    /// Starts the threads of each pool.
    #[must_use]
    pub fn start(context: &Arc<DaemonContext>) -> Self {
        Self {
            workers: WorkerPool::start(context),
            shares: SharePool::start(context),
        }
    }
}

//! The threads that carry out what keepers decide.

use std::sync::Arc;

use crate::cells::SharePool;
use crate::cells::WorkerPool;
use crate::context::DaemonContext;

/// The pools that all keepers of a daemon use.
#[derive(Clone)]
pub struct KeeperPools {
    /// Calls workers.
    pub workers: WorkerPool,
    /// Calls lenders of quotas.
    pub shares: SharePool,
}

impl KeeperPools {
    /// Starts the threads of each pool.
    #[must_use]
    pub fn start(context: &Arc<DaemonContext>) -> Self {
        Self {
            workers: WorkerPool::start(context),
            shares: SharePool::start(context),
        }
    }
}

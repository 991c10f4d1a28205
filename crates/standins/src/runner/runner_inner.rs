//! The state of a runner service behind its lock.

use crate::runner::RunnerFaults;
use sapphirestile_core::SortedTable;

/// The state of a [`RunnerService`](crate::runner::RunnerService) behind its lock.
#[derive(Debug, Default)]
pub(super) struct RunnerInner {
    pub(super) faults: RunnerFaults,
    pub(super) runs: u64,
    pub(super) overruns: u64,
    pub(super) connections: u64,
    /// The number of runs by `idempotency-key`.
    pub(super) executions: SortedTable<String, u64>,
}

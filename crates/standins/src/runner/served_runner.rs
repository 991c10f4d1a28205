//! What a served runner holds.

use crate::runner::RunnerFaults;
use sapphirestile_core::SortedTable;

/// What a served runner holds.
#[derive(Debug, Default)]
pub(super) struct ServedRunner {
    pub(super) faults: RunnerFaults,
    pub(super) runs: u64,
    pub(super) overruns: u64,
    pub(super) connections: u64,
    pub(super) executions: SortedTable<String, u64>,
}

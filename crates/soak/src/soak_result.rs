//! The result of a run.

use crate::FaultCounts;

/// The result of running one seed. Equal for every run of the same seed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakResult {
    /// Seed of the random generator, which determines the whole run.
    pub seed: u64,
    /// Number of injected faults by kind; empty when the run panicked.
    pub fault_counts: FaultCounts,
    /// Number of attempts that workers started.
    pub attempts_started: u64,
    /// Number of entries written to the journals of all cells.
    pub entries_written: u64,
    /// The first violated invariant with the virtual time, or the message of a panic. `None`
    /// when every invariant held.
    pub violation: Option<String>,
}

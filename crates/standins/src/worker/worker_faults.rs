//! Faults of a worker.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::ResourceSize;

/// Faults, on request. Fields left out are set back to no fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Whether every task that is started fails at once.
    pub fail_all: bool,
    /// Whether every start is refused, as by a worker that is leaving.
    pub refuse: bool,
    /// How long each call waits before it does anything, in milliseconds.
    pub slow_ms: u64,
    /// How many of the next calls take effect without an answer.
    pub lose_answers: u64,
    /// What each task is seen to use, whatever it was given; none as given.
    pub used_size: Option<ResourceSize>,
    /// How long tasks started from now on run, in thousandths of what was declared;
    /// none as declared.
    pub run_permille: Option<u64>,
}

//! Faults of a runner.

use serde::Deserialize;
use serde::Serialize;

/// Faults, on request. Fields left out are set back to no fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunnerFaults {
    /// An added run time of each request, in milliseconds.
    pub slow_ms: u64,
    /// How many of the next requests are run and answered only in part.
    pub truncate_answers: u64,
    /// How many of the next requests are run and not answered.
    pub drop_answers: u64,
    /// How many of the next requests are run and answered with another number.
    pub foreign_answers: u64,
}

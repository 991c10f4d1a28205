//! What a worker runs.

use crate::worker::EndedRun;
use crate::worker::RunningRun;

/// What a worker told of itself when it was looked at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookAnswer {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// When this life of the worker began, in milliseconds of the Unix epoch.
    pub life_unix_ms: u64,
    /// What runs.
    pub running: Vec<RunningRun>,
    /// What ended and was not noted yet, the earliest first.
    pub ended: Vec<EndedRun>,
}

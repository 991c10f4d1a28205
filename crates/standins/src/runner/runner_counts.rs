//! What a runner was given.

use serde::Deserialize;
use serde::Serialize;

use crate::runner::ExecutionCount;

/// What a runner was given.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerCounts {
    /// Requests that were run.
    pub runs: u64,
    /// Requests that came while every slot was taken, and were not run.
    pub overruns: u64,
    /// The most requests that ran at a time.
    pub most_in_flight: u32,
    /// Connections that sent a request.
    pub connections: u64,
    /// Runs by `idempotency-key`, in the order of the keys.
    pub executions: Vec<ExecutionCount>,
}

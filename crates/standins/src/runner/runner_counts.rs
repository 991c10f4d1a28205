//! The numbers of requests to a runner.

use serde::Deserialize;
use serde::Serialize;

use crate::runner::ExecutionCount;

/// The numbers of requests to a runner since it was started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerCounts {
    /// Requests that were run, whether or not the response was sent.
    pub runs: u64,
    /// Requests that were not run because every slot was occupied.
    pub overruns: u64,
    /// The maximum number of requests that ran at the same time.
    pub most_in_flight: u32,
    /// Connections on which at least one request came.
    pub connections: u64,
    /// The runs by `idempotency-key`, in the order of the keys; requests without one are left
    /// out.
    pub executions: Vec<ExecutionCount>,
}

//! A long-running task that has run and does not run now.

use serde::Deserialize;
use serde::Serialize;

use crate::spec::TaskIdentity;

/// A long-running task that has run, waits for a worker, and finds none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdleTask {
    /// Task that waits.
    pub task: TaskIdentity,
    /// Time since its latest run ended, in milliseconds.
    pub idle_ms: u64,
}

//! How a run ended.

use serde::Deserialize;
use serde::Serialize;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// The run completed its task.
    Done,
    /// The run failed, through its own fault or that of the worker.
    Failed,
    /// The owner stopped the run.
    Stopped,
    /// The lease of the run expired.
    Lapsed,
    /// Another task of the same gang ended.
    Broken,
    /// The other tasks of the gang did not start in time.
    Alone,
}

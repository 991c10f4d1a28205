//! What became of a run.

/// What became of a run, for its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The task is done.
    Done,
    /// The run failed.
    Failed,
    /// The run is over, or never began; the task waits again.
    Returned,
}

//! Decisions about tasks that slow services.

/// A decision about one of the candidates on a worker, named by its index in the slice
/// that was passed in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PressureDecision {
    /// Limit a task's processor time.
    Limit {
        /// Index of the task.
        index: usize,
        /// Processor time left to it, in thousandths of what is allocated to it.
        permille: u64,
        /// The measurement behind the decision, for the decision log.
        cause: String,
    },
    /// Checkpoint and stop a task.
    Stop {
        /// Index of the task.
        index: usize,
        /// The measurement behind the decision, for the decision log.
        cause: String,
    },
}

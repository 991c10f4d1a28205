//! What was decided about the tasks on a worker.

/// What was decided about the tasks on a worker; places are those of the tasks
/// that were looked at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PressureStep {
    /// Leave a task this part of its processor time, in thousandths.
    Limit {
        /// Which task.
        place: usize,
        /// The part.
        permille: u64,
        /// Why.
        cause: String,
    },
    /// Checkpoint and stop a task.
    Stop {
        /// Which task.
        place: usize,
        /// Why.
        cause: String,
    },
}

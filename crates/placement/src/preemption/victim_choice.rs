//! The tasks to stop for urgent work.

/// One worker and the tasks to stop there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VictimChoice {
    /// The place of the worker in the slice of rooms.
    pub worker: usize,
    /// The places of the tasks in the slice of running tasks.
    pub tasks: Vec<usize>,
}

impl std::fmt::Display for VictimChoice {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "stopped with a checkpoint to make room for urgent work, {} tasks in all",
            self.tasks.len()
        )
    }
}

//! The tasks to preempt.

/// A worker and the tasks on it to preempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VictimChoice {
    /// The index of the worker in the slice of workers.
    pub worker_index: usize,
    /// The indices of the tasks in the slice of running tasks.
    pub tasks: Vec<usize>,
}

impl std::fmt::Display for VictimChoice {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "preempted with a checkpoint in favour of urgent work, {} tasks in total",
            self.tasks.len()
        )
    }
}

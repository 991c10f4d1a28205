//! The measured resource usage of a task.

/// The resource usage of a task at the time of a report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskUsage {
    pub(crate) task: usize,
    pub(crate) cpu_milli: u64,
    pub(crate) memory_mb: u64,
}

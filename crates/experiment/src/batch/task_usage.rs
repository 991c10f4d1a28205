//! What a task was seen to use.

/// What a task was seen to use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskUsage {
    pub(crate) task: usize,
    pub(crate) cpu_milli: u64,
    pub(crate) memory_mb: u64,
}

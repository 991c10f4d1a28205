//! What a task really needs.

/// What a task really needs; nobody but the fakes knows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskTruth {
    pub(crate) cpu_milli: f64,
    pub(crate) memory_mb: f64,
    pub(crate) run_ms: f64,
    pub(crate) checkpoint_bytes: f64,
}

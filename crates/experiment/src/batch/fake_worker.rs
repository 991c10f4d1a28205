//! A worker and the tasks on it.

/// A worker and the tasks on it.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeWorker {
    /// The places of its tasks in the world's list.
    pub(crate) tasks: Vec<usize>,
    /// Processor time that its tasks used in the last second, in thousandths of a core.
    pub(crate) used_milli: f64,
    /// By how much its runner is slowed; 0 is undisturbed.
    pub(crate) slowdown: f64,
    /// The mean of the slowdown since the last report.
    pub(crate) slowdown_sum: f64,
}

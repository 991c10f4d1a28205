//! A worker with its tasks and its slowdown.

/// A worker with its tasks, and how much they slow down the runner beside it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SimulatedWorker {
    /// The indices of its tasks in the list of all tasks.
    pub(crate) tasks: Vec<usize>,
    /// CPU that its tasks used in the last second, in thousandths of a core.
    pub(crate) used_milli: f64,
    /// The slowdown of its runner in the last second; 0 is undisturbed, 1 doubles the
    /// time of a request.
    pub(crate) slowdown: f64,
    /// The sum of `slowdown` over the seconds since the last report.
    pub(crate) slowdown_sum: f64,
}

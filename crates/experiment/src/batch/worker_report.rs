//! A worker's usage report.

use crate::batch::TaskUsage;

/// The usage of a worker and its tasks, which reaches the scheduler with a delay.
#[derive(Clone, Debug)]
pub(crate) struct WorkerReport {
    pub(crate) worker: usize,
    /// When the usage was measured, in seconds since the start of the run.
    pub(crate) measured_s: u64,
    /// When the scheduler receives the report.
    pub(crate) arrives_s: u64,
    pub(crate) cpu_milli: u64,
    /// The mean slowdown of the runner since the last report, in thousandths.
    pub(crate) slowdown_permille: u64,
    pub(crate) tasks: Vec<TaskUsage>,
}

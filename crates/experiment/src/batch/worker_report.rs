//! A late report of a worker.

use crate::batch::TaskUsage;

/// What a worker was seen to do; it arrives late.
#[derive(Clone, Debug)]
pub(crate) struct WorkerReport {
    pub(crate) worker: usize,
    pub(crate) measured_s: u64,
    pub(crate) arrives_s: u64,
    pub(crate) cpu_milli: u64,
    pub(crate) slowdown_permille: u64,
    pub(crate) tasks: Vec<TaskUsage>,
}

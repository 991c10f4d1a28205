//! Run times of the finished tasks of a job.

/// The number and total run time of the finished tasks of a job.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RuntimeStatistics {
    finished: u64,
    total_ms: u64,
}

impl RuntimeStatistics {
    /// Records a task that finished after `run_ms`.
    pub(crate) const fn record(&mut self, run_ms: u64) {
        self.finished += 1;
        self.total_ms += run_ms;
    }

    /// The expected remaining run time of a task that has run for `run_ms`; `None` if
    /// no task has finished yet or if this one has run longer than the mean.
    pub(crate) fn expected_remaining_ms(&self, run_ms: u64) -> Option<u64> {
        let mean = self.total_ms.checked_div(self.finished)?;
        mean.checked_sub(run_ms)
    }
}

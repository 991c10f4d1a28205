//! How long tasks of a job ran.

/// How long finished tasks of a job ran.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunRecord {
    finished: u64,
    total_ms: u64,
}

impl RunRecord {
    /// Counts a finished task.
    pub(crate) const fn add(&mut self, run_ms: u64) {
        self.finished += 1;
        self.total_ms += run_ms;
    }

    /// How long a task that has run for `run_ms` is expected to run still;
    /// unknown when it has outlived the mean.
    pub(crate) fn remaining_ms(&self, run_ms: u64) -> Option<u64> {
        let mean = self.total_ms.checked_div(self.finished)?;
        mean.checked_sub(run_ms)
    }
}

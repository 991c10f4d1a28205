//! Room on a worker.

use crate::spec::ResourceVector;
use crate::worker::TrackedWorker;

/// Average processor use of long-running tasks, in percent of what they reserve.
const LONG_RUNNING_USE_PERCENT: u64 = 50;

const FULL_PERCENT: u64 = 100;

impl TrackedWorker {
    /// Resources reserved by the runs. Best-effort runs reserve no processor time.
    #[must_use]
    pub const fn used(&self) -> &ResourceVector {
        &self.used
    }

    /// Room that long-running runs leave: what is free once all other runs have ended.
    #[must_use]
    pub fn room_without_short_runs(&self) -> ResourceVector {
        let capacity = self.entry.as_ref().map(|entry| entry.capacity);
        let lasting = self.runs.values().filter(|run| run.is_long_running);
        let lasting = lasting.fold(ResourceVector::default(), |sum, run| {
            sum.plus(&run.reserved())
        });
        capacity.unwrap_or_default().minus(&lasting)
    }

    /// Processor time that the best-effort runs use at full pace, in thousandths of a
    /// processor.
    #[must_use]
    pub const fn best_effort_cpu_milli(&self) -> u64 {
        self.best_effort_cpu_milli
    }

    /// Processor time reserved by long-running runs, in thousandths of a processor.
    #[must_use]
    pub const fn long_running_cpu_milli(&self) -> u64 {
        self.long_running_cpu_milli
    }

    /// Processor time out of `capacity_milli` that further best-effort runs can use, in
    /// thousandths of a processor: long-running runs use a part of what they reserve.
    #[must_use]
    pub const fn idle_cpu_milli(&self, capacity_milli: u64) -> u64 {
        let unused_percent = FULL_PERCENT - LONG_RUNNING_USE_PERCENT;
        let unused = self.long_running_cpu_milli * unused_percent / FULL_PERCENT;
        let taken = self.used.cpu_milli - unused + self.best_effort_cpu_milli;
        capacity_milli.saturating_sub(taken)
    }

    /// Computes the sums over all runs again.
    pub(super) fn recount(&mut self) {
        let (mut used, mut best_effort, mut long_running) = (ResourceVector::default(), 0, 0);
        for run in self.runs.values() {
            if run.is_best_effort {
                best_effort += run.size.cpu_milli;
            } else if run.is_long_running {
                long_running += run.size.cpu_milli;
            }
            used = used.plus(&run.reserved());
        }
        self.used = used;
        self.best_effort_cpu_milli = best_effort;
        self.long_running_cpu_milli = long_running;
    }
}

//! Spreading of long-running jobs over the cells.
//!
//! A job that has begun stays in its cell. Short tasks make room again soon, but a cell that
//! is full of long-running tasks cannot restart one of them when a worker leaves, though other
//! cells could.

use crate::owner::JobEntry;
use crate::owner::JobOwner;
use sapphirestile_core::MonoTime;

/// Share of a cell's processor time that long-running tasks may reserve before further jobs
/// with such tasks wait for another cell, in percent.
const LONG_RUNNING_SHARE_MAX_PERCENT: u64 = 75;

/// How long a job waits for another cell, in milliseconds. Its owner may have been replaced,
/// or its workers may not be known yet.
const SPREAD_WAIT_MS: u64 = 2_000;

const FULL_PERCENT: u64 = 100;

impl JobOwner {
    /// Whether a long-running job that has not begun should go to another cell, because this
    /// one needs the rest of its room to restart tasks. It waits for that only for a while
    /// after it was accepted, however often it moves.
    pub(super) fn waits_for_other_cell(
        &self,
        entry: &JobEntry,
        now: MonoTime,
        unix_ms: u64,
    ) -> bool {
        let is_untouched = entry.progress.is_untouched();
        if self.cells <= 1 || !is_untouched || !entry.spec.is_long_running() {
            return false;
        }
        let accepted_ms = unix_ms.saturating_sub(entry.spec.accepted_unix_ms);
        let waited_ms = entry.age.millis(now).max(accepted_ms);
        waited_ms < SPREAD_WAIT_MS && self.exceeds_long_running_share(entry, now)
    }

    /// Whether long-running tasks would reserve more than their share with those of the job.
    fn exceeds_long_running_share(&self, entry: &JobEntry, now: MonoTime) -> bool {
        let spec = &entry.spec;
        let service = self.service_of(&spec.queue, &spec.terms.service);
        let steps = spec.steps.iter().filter(|step| step.is_long_running);
        let need = steps.map(|step| u64::from(step.tasks).saturating_mul(step.size.cpu_milli));
        let mut reserved: u64 = need.fold(0, u64::saturating_add);
        let mut capacity: u64 = 0;
        let scorer = self.worker_scorer(now);
        for tracked in self.workers.values() {
            let Some(worker) = tracked.entry.as_ref() else {
                continue;
            };
            if *worker.service == *service && scorer.is_usable(tracked) {
                reserved = reserved.saturating_add(tracked.long_running_cpu_milli());
                capacity = capacity.saturating_add(worker.capacity.cpu_milli);
            }
        }
        reserved.saturating_mul(FULL_PERCENT)
            > capacity.saturating_mul(LONG_RUNNING_SHARE_MAX_PERCENT)
    }
}

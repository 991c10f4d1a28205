//! An attempt that runs.

use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;

/// The attempt runs: its work is a timer whose rate a throttle lowers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningPhase {
    pub(super) size: ResourceSize,
    pub(super) run_ms: u64,
    pub(super) first_checkpoint_ms: u64,
    pub(super) progress_ms: u64,
    pub(super) rated: MonoTime,
    pub(super) rate_permille: u64,
    /// The most processor time, when that is less than what was given.
    pub(super) limit_cpu_milli: Option<u64>,
}

impl RunningPhase {
    /// Work done at `now`, in milliseconds of run time.
    pub(super) fn progress(&self, now: MonoTime) -> u64 {
        let elapsed_ms = now.millis_since(self.rated);
        let done_ms = elapsed_ms.saturating_mul(self.rate_permille) / 1_000;
        self.progress_ms.saturating_add(done_ms).min(self.run_ms)
    }

    /// When all the work will be done; none while it stands still.
    pub(super) fn finish_time(&self) -> Option<MonoTime> {
        let left_ms = self.run_ms - self.progress_ms;
        if left_ms == 0 {
            return Some(self.rated);
        }
        if self.rate_permille == 0 {
            return None;
        }
        let wait_ms = left_ms.saturating_mul(1_000).div_ceil(self.rate_permille);
        Some(self.rated.plus_millis(wait_ms))
    }

    /// Work covered by the latest regular checkpoint at `now`.
    pub(super) fn checkpoint(&self, now: MonoTime, every_ms: u64) -> u64 {
        let progress_ms = self.progress(now);
        let since_ms = progress_ms.saturating_sub(self.first_checkpoint_ms);
        match since_ms.checked_rem(every_ms) {
            Some(uncovered_ms) => progress_ms - uncovered_ms,
            None => self.first_checkpoint_ms.min(self.run_ms),
        }
    }
}

//! The phase of an attempt that is running.

use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;

/// The attempt is running. Its work is a timer, whose rate is lowered by a throttle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningPhase {
    /// The declared size of the task.
    pub(super) size: ResourceSize,
    /// The total work of the task, in milliseconds of run time at the full rate.
    pub(super) run_ms: u64,
    /// Work covered by the checkpoint that the attempt started from.
    pub(super) start_checkpoint_ms: u64,
    /// Work done when the rate was last changed.
    pub(super) progress_ms: u64,
    /// When the rate was last changed.
    pub(super) rate_since: MonoTime,
    /// The progress rate, in thousandths of the full rate.
    pub(super) rate_permille: u64,
    /// The CPU limit, in thousandths of a core; `None` unless it is below the declared size.
    pub(super) limit_cpu_milli: Option<u64>,
}

impl RunningPhase {
    /// Work done by `now`, in milliseconds of run time.
    pub(super) fn progress(&self, now: MonoTime) -> u64 {
        let elapsed_ms = now.millis_since(self.rate_since);
        let done_ms = elapsed_ms.saturating_mul(self.rate_permille) / 1_000;
        self.progress_ms.saturating_add(done_ms).min(self.run_ms)
    }

    /// When all work will be done at the current rate; `None` when the rate is 0.
    pub(super) fn finish_time(&self) -> Option<MonoTime> {
        let remaining_ms = self.run_ms - self.progress_ms;
        if remaining_ms == 0 {
            return Some(self.rate_since);
        }
        if self.rate_permille == 0 {
            return None;
        }
        let wait_ms = remaining_ms
            .saturating_mul(1_000)
            .div_ceil(self.rate_permille);
        Some(self.rate_since.plus_millis(wait_ms))
    }

    /// Work covered by the latest regular checkpoint at `now`, in milliseconds of run time. With
    /// an interval of 0 there are no regular checkpoints.
    pub(super) fn checkpoint(&self, now: MonoTime, interval_ms: u64) -> u64 {
        let progress_ms = self.progress(now);
        let since_ms = progress_ms.saturating_sub(self.start_checkpoint_ms);
        match since_ms.checked_rem(interval_ms) {
            Some(uncovered_ms) => progress_ms - uncovered_ms,
            None => self.start_checkpoint_ms.min(self.run_ms),
        }
    }
}

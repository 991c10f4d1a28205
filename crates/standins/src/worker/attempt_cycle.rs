//! The life cycle of an attempt on a worker: running, then ended.

mod attempt_state;
mod ended_phase;
mod running_phase;

use crate::worker::LaggedUsage;
use crate::worker::PermittedCall;
use crate::worker::WorkerSettings;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_wire::worker::TaskPhase;
use sapphirestile_wire::worker::TaskStart;

pub use attempt_state::AttemptState;
pub use ended_phase::EndedPhase;
pub use running_phase::RunningPhase;

/// The progress rate of an attempt that is not throttled, in thousandths.
const FULL_RATE_PERMILLE: u64 = 1_000;

/// An attempt in one phase of its life cycle. It is a timer, advanced to times that the
/// caller passes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptCycle<Phase> {
    cell: CellNumber,
    usage: LaggedUsage,
    phase: Phase,
}

impl AttemptCycle<RunningPhase> {
    /// Starts an attempt at the time when its permit was checked, from the checkpoint of
    /// `start`.
    #[must_use]
    pub fn start(permitted: PermittedCall, start: &TaskStart, settings: &WorkerSettings) -> Self {
        let now = permitted.now();
        let usage = scaled(&start.size, settings.usage_permille);
        Self {
            cell: start.cell,
            usage: LaggedUsage::start(usage, now),
            phase: RunningPhase {
                size: start.size,
                run_ms: start.run_ms,
                start_checkpoint_ms: start.checkpoint_ms,
                progress_ms: start.checkpoint_ms.min(start.run_ms),
                rate_since: now,
                rate_permille: FULL_RATE_PERMILLE,
                limit_cpu_milli: None,
            },
        }
    }

    /// Returns the attempt as it is at `now`: finished when all its work was done within the
    /// lease, stopped with a checkpoint when the lease has expired, otherwise running.
    #[must_use]
    pub fn check(self, now: MonoTime, lease_until: MonoTime) -> AttemptState {
        match self.phase.finish_time() {
            Some(finish) if finish <= now && finish <= lease_until => {
                let done_ms = self.phase.run_ms;
                AttemptState::Ended(self.end(TaskPhase::Finished, done_ms, finish))
            }
            _ if lease_until <= now => {
                let done_ms = self.phase.progress(lease_until);
                AttemptState::Ended(self.end(TaskPhase::Stopped, done_ms, lease_until))
            }
            _ => AttemptState::Running(self),
        }
    }

    /// Stops the attempt at `now`. With `checkpoint`, all work done is saved; without, only the
    /// work up to the latest regular checkpoint, taken every `interval_ms` of run time.
    #[must_use]
    pub fn stop(
        self,
        now: MonoTime,
        interval_ms: u64,
        checkpoint: bool,
    ) -> AttemptCycle<EndedPhase> {
        let done_ms = if checkpoint {
            self.phase.progress(now)
        } else {
            self.phase.checkpoint(now, interval_ms)
        };
        self.end(TaskPhase::Stopped, done_ms, now)
    }

    /// Ends the attempt as failed, without any progress beyond the checkpoint that it started
    /// from.
    #[must_use]
    pub fn fail(self, now: MonoTime) -> AttemptCycle<EndedPhase> {
        let done_ms = self.phase.start_checkpoint_ms;
        self.end(TaskPhase::Failed, done_ms, now)
    }

    /// Limits the CPU time of the attempt to `cpu_milli` thousandths of a core from `now` on. A
    /// limit below its usage slows it down in proportion; one that is not below its declared
    /// size ends the throttling.
    pub fn throttle(&mut self, now: MonoTime, cpu_milli: u64, settings: &WorkerSettings) {
        let unthrottled = scaled(&self.phase.size, settings.usage_permille);
        let limited_cpu_milli = unthrottled.cpu_milli.min(cpu_milli);
        self.phase.progress_ms = self.phase.progress(now);
        self.phase.rate_since = now;
        let declared_cpu_milli = self.phase.size.cpu_milli;
        self.phase.limit_cpu_milli = Some(cpu_milli).filter(|limit| *limit < declared_cpu_milli);
        self.phase.rate_permille = match unthrottled.cpu_milli {
            0 => FULL_RATE_PERMILLE,
            needed => limited_cpu_milli.saturating_mul(FULL_RATE_PERMILLE) / needed,
        };
        let usage = ResourceSize {
            cpu_milli: limited_cpu_milli,
            ..unthrottled
        };
        self.usage.set(usage, now);
    }

    /// The CPU limit of a throttled attempt, in thousandths of a core; `None` when it is not
    /// throttled.
    #[must_use]
    pub const fn limit_cpu_milli(&self) -> Option<u64> {
        self.phase.limit_cpu_milli
    }

    /// The CPU time that the attempt uses now, in thousandths of a core.
    #[must_use]
    pub const fn used_cpu_milli(&self) -> u64 {
        self.usage.current().cpu_milli
    }

    /// The declared size of the task, which the attempt occupies on the worker.
    #[must_use]
    pub const fn size(&self) -> &ResourceSize {
        &self.phase.size
    }

    /// Work covered by the latest regular checkpoint at `now`, in milliseconds of run time. A
    /// checkpoint is taken every `interval_ms` of run time.
    #[must_use]
    pub fn checkpoint_ms(&self, now: MonoTime, interval_ms: u64) -> u64 {
        self.phase.checkpoint(now, interval_ms)
    }

    fn end(
        self,
        phase: TaskPhase,
        checkpoint_ms: u64,
        ended: MonoTime,
    ) -> AttemptCycle<EndedPhase> {
        AttemptCycle {
            cell: self.cell,
            usage: self.usage,
            phase: EndedPhase {
                phase,
                checkpoint_ms,
                ended,
            },
        }
    }
}

impl AttemptCycle<EndedPhase> {
    /// How the attempt ended; never [`TaskPhase::Running`].
    #[must_use]
    pub const fn outcome(&self) -> TaskPhase {
        self.phase.phase
    }

    /// Work covered by the last checkpoint, in milliseconds of run time.
    #[must_use]
    pub const fn checkpoint_ms(&self) -> u64 {
        self.phase.checkpoint_ms
    }

    /// When the attempt ended, on the worker's clock.
    #[must_use]
    pub const fn ended(&self) -> MonoTime {
        self.phase.ended
    }
}

impl<Phase> AttemptCycle<Phase> {
    /// The cell whose owner started the attempt.
    #[must_use]
    pub const fn cell(&self) -> CellNumber {
        self.cell
    }

    /// The resource usage of the attempt, which is reported with a lag.
    #[must_use]
    pub const fn usage(&self) -> &LaggedUsage {
        &self.usage
    }
}

fn scaled(size: &ResourceSize, permille: u64) -> ResourceSize {
    ResourceSize {
        cpu_milli: size.cpu_milli.saturating_mul(permille) / 1_000,
        memory_mb: size.memory_mb.saturating_mul(permille) / 1_000,
        accelerators: size.accelerators,
    }
}

//! The life of an attempt on a worker: running, then ended.

mod ended_phase;
mod running_phase;
mod task_entry;

use crate::worker::PermittedCall;
use crate::worker::UsageGauge;
use crate::worker::WorkerSettings;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_wire::worker::TaskPhase;
use sapphirestile_wire::worker::TaskStart;

pub use ended_phase::EndedPhase;
pub use running_phase::RunningPhase;
pub use task_entry::TaskEntry;

/// The rate of a task that is not throttled, in thousandths.
const FULL_RATE_PERMILLE: u64 = 1_000;

/// An attempt in one phase of its life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskCycle<Phase> {
    cell: CellNumber,
    usage: UsageGauge,
    phase: Phase,
}

impl TaskCycle<RunningPhase> {
    /// Begins an attempt whose start was permitted.
    #[must_use]
    pub fn begin(permitted: PermittedCall, start: &TaskStart, settings: &WorkerSettings) -> Self {
        let now = permitted.now();
        let usage = scaled(&start.size, settings.usage_permille);
        Self {
            cell: start.cell,
            usage: UsageGauge::begin(usage, now),
            phase: RunningPhase {
                size: start.size,
                run_ms: start.run_ms,
                first_checkpoint_ms: start.checkpoint_ms,
                progress_ms: start.checkpoint_ms.min(start.run_ms),
                rated: now,
                rate_permille: FULL_RATE_PERMILLE,
                limit_cpu_milli: None,
            },
        }
    }

    /// The attempt, ended when its work is done or its lease has lapsed.
    #[must_use]
    pub fn check(self, now: MonoTime, lease_until: MonoTime) -> TaskEntry {
        match self.phase.finish_time() {
            Some(finish) if finish <= now && finish <= lease_until => {
                let done_ms = self.phase.run_ms;
                TaskEntry::Ended(self.end(TaskPhase::Finished, done_ms, finish))
            }
            _ if lease_until <= now => {
                let done_ms = self.phase.progress(lease_until);
                TaskEntry::Ended(self.end(TaskPhase::Stopped, done_ms, lease_until))
            }
            _ => TaskEntry::Running(self),
        }
    }

    /// Stops the attempt, with a checkpoint of all its work or without.
    #[must_use]
    pub fn stop(self, now: MonoTime, every_ms: u64, checkpoint: bool) -> TaskCycle<EndedPhase> {
        let done_ms = if checkpoint {
            self.phase.progress(now)
        } else {
            self.phase.checkpoint(now, every_ms)
        };
        self.end(TaskPhase::Stopped, done_ms, now)
    }

    /// Ends the attempt with an error of its own.
    #[must_use]
    pub fn fail(self, now: MonoTime) -> TaskCycle<EndedPhase> {
        let done_ms = self.phase.first_checkpoint_ms;
        self.end(TaskPhase::Failed, done_ms, now)
    }

    /// Limits the processor time of the attempt from `now` on.
    pub fn throttle(&mut self, now: MonoTime, cpu_milli: u64, settings: &WorkerSettings) {
        let used = scaled(&self.phase.size, settings.usage_permille);
        let limited = used.cpu_milli.min(cpu_milli);
        self.phase.progress_ms = self.phase.progress(now);
        self.phase.rated = now;
        let given = self.phase.size.cpu_milli;
        self.phase.limit_cpu_milli = Some(cpu_milli).filter(|limit| *limit < given);
        self.phase.rate_permille = match used.cpu_milli {
            0 => FULL_RATE_PERMILLE,
            needed => limited.saturating_mul(FULL_RATE_PERMILLE) / needed,
        };
        let usage = ResourceSize {
            cpu_milli: limited,
            ..used
        };
        self.usage.change(usage, now);
    }

    /// The most processor time that a throttle leaves the attempt.
    #[must_use]
    pub const fn limit_cpu_milli(&self) -> Option<u64> {
        self.phase.limit_cpu_milli
    }

    /// The processor time that the attempt takes now, in thousandths of a core.
    #[must_use]
    pub const fn taken_cpu_milli(&self) -> u64 {
        self.usage.current().cpu_milli
    }

    /// The room that the attempt takes.
    #[must_use]
    pub const fn size(&self) -> &ResourceSize {
        &self.phase.size
    }

    /// Work covered by the latest checkpoint, in milliseconds of run time.
    #[must_use]
    pub fn checkpoint_ms(&self, now: MonoTime, every_ms: u64) -> u64 {
        self.phase.checkpoint(now, every_ms)
    }

    fn end(self, phase: TaskPhase, checkpoint_ms: u64, ended: MonoTime) -> TaskCycle<EndedPhase> {
        TaskCycle {
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

impl TaskCycle<EndedPhase> {
    /// How the attempt ended.
    #[must_use]
    pub const fn outcome(&self) -> TaskPhase {
        self.phase.phase
    }

    /// Work covered by the latest checkpoint, in milliseconds of run time.
    #[must_use]
    pub const fn checkpoint_ms(&self) -> u64 {
        self.phase.checkpoint_ms
    }

    /// When the attempt ended.
    #[must_use]
    pub const fn ended(&self) -> MonoTime {
        self.phase.ended
    }
}

impl<Phase> TaskCycle<Phase> {
    /// The cell whose owner started the attempt.
    #[must_use]
    pub const fn cell(&self) -> CellNumber {
        self.cell
    }

    /// What the attempt was seen to use.
    #[must_use]
    pub const fn usage(&self) -> &UsageGauge {
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

//! A run on a worker.

use crate::pacing::BestEffortRun;
use crate::pacing::ImageNumber;
use crate::pacing::ServingRun;
use crate::spec::ResourceVector;
use crate::spec::TaskIdentity;
use crate::worker::RunState;
use crate::worker::WorkerEntry;
use crate::worker::WorkerIncarnation;
use sapphirestile_core::MonoTime;

/// A run younger than this can restart elsewhere without a checkpoint at little loss, in
/// milliseconds.
const RESTART_LOSS_MAX_MS: u64 = 700;

/// A run paused for longer than this is better restarted elsewhere, in milliseconds.
const PAUSED_MAX_MS: u64 = 1_000;

/// A task with more runs than this is slowed down before it is moved again.
const MOVED_RUNS_MAX: u32 = 3;

const MILLI: f64 = 1_000.0;

/// A run that occupies capacity of a worker.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent properties of the run"
)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEntry {
    /// Number of the run within its task.
    pub run: u32,
    /// Incarnation of the worker that the run was assigned to; the default if not known.
    pub incarnation: WorkerIncarnation,
    /// Resources that the run needs.
    pub size: ResourceVector,
    /// Whether the run uses idle processor time instead of reserving its own.
    pub is_best_effort: bool,
    /// Whether the run goes on until its job is cancelled.
    pub is_long_running: bool,
    /// Whether another run can resume from its checkpoints.
    pub has_checkpoints: bool,
    /// Whether a second run of the task may be started beside it.
    pub is_speculative: bool,
    /// Whether a second run of the task was started.
    pub has_copy: bool,
    /// Whether the run was placed because its job had waited too long.
    pub is_overdue: bool,
    /// Upper limit for the latency that callers of the run see, in milliseconds; `None` if
    /// it serves no callers.
    pub latency_target_ms: Option<u64>,
    /// Image of the task, if its step names one.
    pub image: Option<ImageNumber>,
    /// State of the run, as far as the owner knows.
    pub state: RunState,
    /// When the run was assigned, sent to its worker or inherited, whichever was last.
    pub since: MonoTime,
    /// When the next stop request is due, while none was accepted.
    pub stop_retry_at: MonoTime,
    /// Pace that the run gets once its worker has it, in percent of its full speed.
    pub start_percent: u32,
    /// Pace that the run is limited to, in percent of its full speed.
    pub pace_percent: u32,
    /// Whether the latest order to change the pace had no good answer, so that it is repeated.
    pub is_pace_lost: bool,
    /// When the pace was last changed, or the run was assigned.
    pub pace_changed: MonoTime,
    /// Latest measured value: a latency or processor time, as in a
    /// [`RunningRun`](crate::RunningRun).
    pub measurement: u64,
}

impl RunEntry {
    /// Resources that the run reserves: a best-effort run reserves no processor time.
    #[must_use]
    pub const fn reserved(&self) -> ResourceVector {
        let mut size = self.size;
        if self.is_best_effort {
            size.cpu_milli = 0;
        }
        size
    }

    /// View of the run for the interference model; `None` if it serves no callers or has
    /// no image.
    #[must_use]
    pub fn as_serving(&self, task: TaskIdentity) -> Option<ServingRun> {
        Some(ServingRun {
            job: task.job,
            image: self.image?,
            latency_ms: self.measurement,
            target_ms: self.latency_target_ms?,
        })
    }

    /// View of the run for the interference model; `None` if it is not a best-effort run,
    /// has no image or is being stopped.
    #[must_use]
    pub fn as_best_effort(&self, task: TaskIdentity, now: MonoTime) -> Option<BestEffortRun> {
        if !self.is_best_effort || self.is_ending() {
            return None;
        }
        let is_young = now.millis_since(self.since) <= RESTART_LOSS_MAX_MS;
        let is_stalled =
            self.pace_percent == 0 && now.millis_since(self.pace_changed) >= PAUSED_MAX_MS;
        Some(BestEffortRun {
            task,
            image: self.image?,
            processors: processors(self.size.cpu_milli),
            used_processors: processors(self.measurement),
            pace_percent: self.pace_percent,
            can_move: self.has_checkpoints || is_young || is_stalled,
            is_slowed_first: Self::is_slowed_first(self.run),
        })
    }

    /// Whether a task has had so many runs, the given one included, that it is slowed down
    /// before it is moved again: where it slows others at full pace it would never end.
    #[must_use]
    pub const fn is_slowed_first(run: u32) -> bool {
        run > MOVED_RUNS_MAX
    }

    /// Whether a poll with this number, answered at an address that only `incarnation` had
    /// before, must have shown the run if it still existed.
    #[must_use]
    pub fn is_covered_by(&self, poll_number: u64, incarnation: WorkerIncarnation) -> bool {
        let was_known = match self.state {
            RunState::Running { poll } | RunState::Stopping { poll, .. } => poll_number > poll,
            RunState::Inherited => true,
            RunState::Planned | RunState::Starting | RunState::StopPending => false,
        };
        let says_start = incarnation != WorkerIncarnation::default();
        was_known && says_start && self.incarnation == incarnation
    }

    /// Whether the run was assigned to another incarnation than the one that has written the
    /// entry, where both are known.
    #[must_use]
    pub fn is_earlier_than(&self, entry: &WorkerEntry) -> bool {
        let unknown = WorkerIncarnation::default();
        self.incarnation != entry.incarnation
            && self.incarnation != unknown
            && entry.incarnation != unknown
    }

    /// Whether the run is being stopped.
    #[must_use]
    pub const fn is_ending(&self) -> bool {
        matches!(
            self.state,
            RunState::StopPending | RunState::Stopping { .. }
        )
    }
}

#[expect(clippy::cast_precision_loss, reason = "a worker has few processors")]
fn processors(milli: u64) -> f64 {
    milli as f64 / MILLI
}

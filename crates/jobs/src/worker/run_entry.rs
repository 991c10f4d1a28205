//! A run at a worker.

use crate::order::TaskAddress;
use crate::order::TaskSize;
use crate::pacing::FillingRun;
use crate::pacing::ImageNumber;
use crate::pacing::ServingRun;
use crate::worker::RunStanding;
use sapphirestile_core::MonoTime;

/// A run that loses less than this when it begins anew is as good as one that saved
/// its progress, in milliseconds.
const LOST_MAX_MS: u64 = 700;

/// A run that stands still for so long had better begin anew elsewhere, in
/// milliseconds.
const STILL_MAX_MS: u64 = 1_000;

const MILLI: f64 = 1_000.0;

/// A run that takes room at a worker.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each says something of its own about the run"
)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEntry {
    /// The number of the run.
    pub run: u32,
    /// What it needs.
    pub size: TaskSize,
    /// Whether its processor time is what others leave.
    pub uses_leftover: bool,
    /// Whether it runs until its job is cancelled.
    pub is_lasting: bool,
    /// Whether it can go on elsewhere from what it saved.
    pub saves_progress: bool,
    /// Whether a copy of it may run elsewhere.
    pub allows_copies: bool,
    /// Whether one does.
    pub has_copy: bool,
    /// The latency that its callers must see, in milliseconds.
    pub latency_target_ms: Option<u64>,
    /// What it runs.
    pub image: Option<ImageNumber>,
    /// What is known of it.
    pub standing: RunStanding,
    /// When it was assigned, or found.
    pub since: MonoTime,
    /// When it is told to stop again, if it has not said yes by then.
    pub stop_due: MonoTime,
    /// The pace that it was told, in percent.
    pub pace_percent: u32,
    /// When it was told that pace.
    pub paced: MonoTime,
    /// Its latest figure: a latency or processor time, as in a
    /// [`RunningRun`](crate::RunningRun).
    pub figure: u64,
}

impl RunEntry {
    /// The run as its neighbours see it, if it has callers.
    #[must_use]
    pub fn as_serving(&self, task: TaskAddress) -> Option<ServingRun> {
        Some(ServingRun {
            job: task.job,
            image: self.image?,
            latency_ms: self.figure,
            target_ms: self.latency_target_ms?,
        })
    }

    /// The run as its neighbours see it, if it uses leftover processor time.
    #[must_use]
    pub fn as_filling(&self, task: TaskAddress, now: MonoTime) -> Option<FillingRun> {
        if !self.uses_leftover || self.is_ending() {
            return None;
        }
        let is_young = now.millis_since(self.since) <= LOST_MAX_MS;
        let stands_still = self.pace_percent == 0 && now.millis_since(self.paced) >= STILL_MAX_MS;
        Some(FillingRun {
            task,
            image: self.image?,
            processors: processors(self.size.cpu_milli),
            used_processors: processors(self.figure),
            pace_percent: self.pace_percent,
            can_move: self.saves_progress || is_young || stands_still,
        })
    }

    /// Whether it is to end.
    #[must_use]
    pub const fn is_ending(&self) -> bool {
        matches!(
            self.standing,
            RunStanding::Unstopped | RunStanding::Stopping { .. }
        )
    }
}

#[expect(clippy::cast_precision_loss, reason = "a worker has few processors")]
fn processors(milli: u64) -> f64 {
    milli as f64 / MILLI
}

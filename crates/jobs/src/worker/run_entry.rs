//! A run at a worker.

use crate::order::TaskSize;
use crate::worker::RunStanding;
use sapphirestile_core::MonoTime;

/// A run that takes room at a worker.
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
    /// The latency that its callers must see, in milliseconds.
    pub latency_target_ms: Option<u64>,
    /// What is known of it.
    pub standing: RunStanding,
    /// When it was assigned, or found.
    pub since: MonoTime,
    /// When it is told to stop again, if it has not said yes by then.
    pub stop_due: MonoTime,
    /// The pace that it was told, in percent.
    pub pace_percent: u32,
    /// Its latest figure: a latency or processor time, as in a
    /// [`RunningRun`](crate::RunningRun).
    pub figure: u64,
}

impl RunEntry {
    /// Whether it is to end.
    #[must_use]
    pub const fn is_ending(&self) -> bool {
        matches!(
            self.standing,
            RunStanding::Unstopped | RunStanding::Stopping { .. }
        )
    }
}

//! View of a best-effort run.

use crate::pacing::ImageNumber;
use crate::planner::TaskDemand;
use crate::spec::TaskIdentity;

const MILLI: f64 = 1_000.0;

/// A run that uses idle processor time, as the interference model sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BestEffortRun {
    /// Task that the run executes.
    pub task: TaskIdentity,
    /// Image of the task.
    pub image: ImageNumber,
    /// Number of processors that the run uses at full pace.
    pub processors: f64,
    /// Number of processors in use at the latest measurement.
    pub used_processors: f64,
    /// Pace that the run is limited to, in percent of its full speed.
    pub pace_percent: u32,
    /// Whether the run can be moved to another worker at little loss.
    pub can_move: bool,
    /// Whether the task has had so many runs that it is slowed down before it is moved again.
    pub is_slowed_first: bool,
}

impl BestEffortRun {
    /// Creates the view of a run that is to be placed, at full pace.
    #[must_use]
    pub fn at_full_pace(demand: &TaskDemand<'_>, image: ImageNumber) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "a worker has few processors")]
        let processors = demand.step.size.cpu_milli as f64 / MILLI;
        Self {
            task: demand.task,
            image,
            processors,
            used_processors: 0.0,
            pace_percent: 100,
            can_move: true,
            is_slowed_first: false,
        }
    }
}

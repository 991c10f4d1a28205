//! A run that uses leftover processor time.

use crate::order::TaskAddress;
use crate::pacing::ImageNumber;
use crate::planner::TaskDemand;

const MILLI: f64 = 1_000.0;

/// A run that uses leftover processor time, as its neighbours see it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FillingRun {
    /// The task.
    pub task: TaskAddress,
    /// What it runs.
    pub image: ImageNumber,
    /// The processors that it uses at its full pace.
    pub processors: f64,
    /// The processors that it was seen to use lately.
    pub used_processors: f64,
    /// Its pace, in percent.
    pub pace_percent: u32,
    /// Whether little is lost when it goes on elsewhere.
    pub can_move: bool,
}

impl FillingRun {
    /// The run that a task would be at its full pace.
    #[must_use]
    pub fn wanted(demand: &TaskDemand<'_>, image: ImageNumber) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "a worker has few processors")]
        let processors = demand.step.size.cpu_milli as f64 / MILLI;
        Self {
            task: demand.task,
            image,
            processors,
            used_processors: 0.0,
            pace_percent: 100,
            can_move: true,
        }
    }
}

//! Size of a task that could not be placed.

use crate::pacing::ImageNumber;
use crate::planner::RunHistory;
use crate::planner::TaskDemand;
use crate::spec::ResourceVector;

/// Size of a task that could not be placed, and what else decides which workers it may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnplacedSize {
    service: Box<str>,
    size: ResourceVector,
    is_best_effort: bool,
    /// Some workers are kept for long-running tasks, and some for those that have run before.
    is_long_running: bool,
    /// Whether a long-running task has run before; `None` for other tasks.
    history: Option<RunHistory>,
    /// Image of a best-effort task; a worker takes it by what it adds to the others.
    image: Option<ImageNumber>,
}

impl UnplacedSize {
    /// Whether a task needs at least as much of the same workers.
    pub fn is_within(&self, demand: &TaskDemand<'_>) -> bool {
        let step = demand.step;
        *self.service == *demand.service
            && self.is_best_effort == step.is_best_effort
            && self.is_long_running == step.is_long_running
            && self.history == long_running_history(demand)
            && (!self.is_best_effort || self.image == demand.image)
            && self.size.fits(&step.size)
    }
}

impl From<&TaskDemand<'_>> for UnplacedSize {
    fn from(demand: &TaskDemand<'_>) -> Self {
        Self {
            service: demand.service.into(),
            size: demand.step.size,
            is_best_effort: demand.step.is_best_effort,
            is_long_running: demand.step.is_long_running,
            history: long_running_history(demand),
            image: demand.image,
        }
    }
}

fn long_running_history(demand: &TaskDemand<'_>) -> Option<RunHistory> {
    demand.step.is_long_running.then_some(demand.history)
}

//! Tasks that could not be placed.

use crate::advice::StepIdentity;
use crate::planner::TaskDemand;
use crate::planner::UnplacedSize;

/// Tasks that could not be placed in a planning pass, to skip tasks that are at least as
/// hard to place.
///
/// # Examples
///
/// ```
/// use sapphirestile_jobs::RunHistory;
/// use sapphirestile_jobs::StepSpec;
/// use sapphirestile_jobs::TaskDemand;
/// use sapphirestile_jobs::TaskIdentity;
/// use sapphirestile_jobs::UnplacedDemands;
///
/// let step = StepSpec { tasks: 2, ..StepSpec::default() };
/// let demand = |task| TaskDemand {
///     task: TaskIdentity::try_from(task).unwrap(),
///     service: "sizing",
///     step: &step,
///     image: None,
///     needs_ticket: true,
///     history: RunHistory::New,
///     is_overdue: false,
/// };
/// let mut unplaced = UnplacedDemands::default();
/// unplaced.record(&demand("5c0e7a21d94b36f8.0.1.0"));
/// assert!(unplaced.rules_out(&demand("5c0e7a21d94b36f8.0.1.1")));
/// assert!(!unplaced.rules_out(&demand("5c0e7a21d94b36f8.0.2.0")), "needs other tickets");
/// ```
#[derive(Clone, Debug, Default)]
pub struct UnplacedDemands {
    sizes: Vec<UnplacedSize>,
    /// Steps whose tickets allow no suitable worker; this applies to all their tasks.
    steps: Vec<StepIdentity>,
}

impl UnplacedDemands {
    /// Records a task that could not be placed. A task with a required label or a limit per
    /// worker is not recorded: its failure says nothing about other tasks.
    pub fn record(&mut self, demand: &TaskDemand<'_>) {
        let step = demand.step;
        if demand.needs_ticket {
            self.steps.push(demand.task.into());
        } else if step.required_label.is_none() && step.per_worker_max.is_none() {
            self.sizes.push(demand.into());
        }
    }

    /// Whether a task cannot be placed either: it needs at least as much as a recorded one of
    /// the same workers, or the same tickets.
    #[must_use]
    pub fn rules_out(&self, demand: &TaskDemand<'_>) -> bool {
        if demand.needs_ticket && self.steps.contains(&demand.task.into()) {
            return true;
        }
        self.sizes.iter().any(|size| size.is_within(demand))
    }
}

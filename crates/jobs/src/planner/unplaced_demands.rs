//! Tasks that found no worker in a pass.

use crate::advice::StepAddress;
use crate::order::TaskSize;
use crate::pacing::ImageNumber;
use crate::planner::TaskDemand;

/// The tasks that found no worker in a pass: one that needs as much and is as hard to
/// place need not be tried.
///
/// # Examples
///
/// ```
/// use sapphirestile_jobs::StepOrder;
/// use sapphirestile_jobs::TaskAddress;
/// use sapphirestile_jobs::TaskDemand;
/// use sapphirestile_jobs::UnplacedDemands;
///
/// let step = StepOrder { tasks: 2, ..StepOrder::default() };
/// let demand = |task| TaskDemand {
///     task: TaskAddress::try_from(task).unwrap(),
///     service: "sizing",
///     step: &step,
///     image: None,
///     needs_ticket: true,
/// };
/// let mut unplaced = UnplacedDemands::default();
/// unplaced.note(&demand("5c0e7a21d94b36f8.0.1.0"));
/// assert!(unplaced.rule_out(&demand("5c0e7a21d94b36f8.0.1.1")));
/// assert!(!unplaced.rule_out(&demand("5c0e7a21d94b36f8.0.2.0")), "other tickets");
/// ```
#[derive(Clone, Debug, Default)]
pub struct UnplacedDemands {
    rows: Vec<(TaskSize, bool, Option<ImageNumber>)>,
    /// Steps without a worker that their tickets allow: they hold for all tasks.
    steps: Vec<StepAddress>,
}

impl UnplacedDemands {
    /// Takes note of a task that found no worker. One that asks for more than room
    /// says nothing of others.
    pub fn note(&mut self, demand: &TaskDemand<'_>) {
        let step = demand.step;
        if demand.needs_ticket {
            self.steps.push(demand.task.into());
        } else if step.required_label.is_none() && step.per_worker_max.is_none() {
            self.rows
                .push((step.size, step.uses_leftover, demand.image));
        }
    }

    /// Whether a task needs at least as much as one that found no worker, or waits for
    /// the same tickets.
    #[must_use]
    pub fn rule_out(&self, demand: &TaskDemand<'_>) -> bool {
        let step = demand.step;
        if demand.needs_ticket && self.steps.contains(&demand.task.into()) {
            return true;
        }
        self.rows.iter().any(|(size, uses_leftover, image)| {
            *uses_leftover == step.uses_leftover
                && (!uses_leftover || *image == demand.image)
                && size.fits(&step.size)
        })
    }
}

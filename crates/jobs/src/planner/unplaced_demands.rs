//! Tasks that found no worker in a pass.

use crate::order::TaskSize;
use crate::pacing::ImageNumber;
use crate::planner::TaskDemand;

/// The tasks that found no worker in a pass: one that needs as much and is as hard to
/// place need not be tried.
#[derive(Clone, Debug, Default)]
pub struct UnplacedDemands {
    rows: Vec<(TaskSize, bool, Option<ImageNumber>)>,
}

impl UnplacedDemands {
    /// Takes note of a task that found no worker. One that asks for more than room
    /// says nothing of others.
    pub fn note(&mut self, demand: &TaskDemand<'_>) {
        let step = demand.step;
        let asks_for_room = step.required_label.is_none() && step.per_worker_max.is_none();
        if asks_for_room && !demand.needs_ticket {
            self.rows
                .push((step.size, step.uses_leftover, demand.image));
        }
    }

    /// Whether a task needs at least as much as one that found no worker.
    #[must_use]
    pub fn rule_out(&self, demand: &TaskDemand<'_>) -> bool {
        let step = demand.step;
        self.rows.iter().any(|(size, uses_leftover, image)| {
            *uses_leftover == step.uses_leftover
                && (!uses_leftover || *image == demand.image)
                && size.fits(&step.size)
        })
    }
}

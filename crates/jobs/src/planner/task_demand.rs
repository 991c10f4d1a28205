//! Demand of a task that can start.

use crate::pacing::ImageNumber;
use crate::planner::RunHistory;
use crate::spec::ResourceVector;
use crate::spec::StepSpec;
use crate::spec::TaskIdentity;

/// A task that can start, and what it requires of a worker.
#[derive(Clone, Copy, Debug)]
pub struct TaskDemand<'a> {
    /// Task to be placed.
    pub task: TaskIdentity,
    /// Service whose workers can run the task.
    pub service: &'a str,
    /// Specification of the step that the task belongs to.
    pub step: &'a StepSpec,
    /// Image of the task, if its step names one.
    pub image: Option<ImageNumber>,
    /// Whether the task can start only with a ticket of the advisor.
    pub needs_ticket: bool,
    /// Whether the task has run before.
    pub history: RunHistory,
    /// Whether the job has waited too long with nothing running, so that the task may share
    /// processor time that is not idle.
    pub is_overdue: bool,
}

impl TaskDemand<'_> {
    /// Resources that the task reserves: a best-effort task reserves no processor time.
    #[must_use]
    pub const fn reserved(&self) -> ResourceVector {
        let mut size = self.step.size;
        if self.step.is_best_effort {
            size.cpu_milli = 0;
        }
        size
    }
}

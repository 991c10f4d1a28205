//! What a task that can start asks for.

use crate::order::StepOrder;
use crate::order::TaskAddress;
use crate::pacing::ImageNumber;

/// A task that can start, as the choice of its worker sees it.
#[derive(Clone, Copy, Debug)]
pub struct TaskDemand<'a> {
    /// The task.
    pub task: TaskAddress,
    /// The service whose workers run it.
    pub service: &'a str,
    /// Its step.
    pub step: &'a StepOrder,
    /// What it runs.
    pub image: Option<ImageNumber>,
    /// Whether it starts with a ticket only.
    pub needs_ticket: bool,
}

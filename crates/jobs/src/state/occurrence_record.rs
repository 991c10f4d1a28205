//! What lasts of an occurrence.

use serde::Deserialize;
use serde::Serialize;

use crate::order::JobOrder;
use crate::state::StepRecord;
use crate::state::TaskRecord;

/// One run of a job's steps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceRecord {
    /// The occurrence, from 0.
    pub number: u32,
    /// The steps, in their order.
    pub steps: Vec<StepRecord>,
}

impl OccurrenceRecord {
    /// An occurrence of which nothing has started.
    #[must_use]
    pub fn new(number: u32, order: &JobOrder) -> Self {
        let steps = order.steps.iter().map(|step| StepRecord {
            tasks: vec![TaskRecord::default(); step.tasks as usize],
        });
        Self {
            number,
            steps: steps.collect(),
        }
    }

    /// Whether every task of every step is done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepRecord::is_done)
    }

    /// Whether the steps that a step waits for are done.
    #[must_use]
    pub fn is_step_open(&self, order: &JobOrder, step: usize) -> bool {
        let after = &order.steps[step].after;
        after
            .iter()
            .all(|&before| self.steps[before as usize].is_done())
    }
}

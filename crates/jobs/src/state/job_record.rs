//! What lasts of a job beside its order.

use serde::Deserialize;
use serde::Serialize;

use crate::order::TaskAddress;
use crate::state::JobStanding;
use crate::state::OccurrenceRecord;
use crate::state::TaskRecord;

/// What lasts of a job beside its order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// How the job stands.
    pub standing: JobStanding,
    /// How many occurrences have begun.
    pub begun: u32,
    /// The occurrences that have begun and are not done.
    pub occurrences: Vec<OccurrenceRecord>,
}

impl JobRecord {
    /// A task of the job, while its occurrence is not done.
    #[must_use]
    pub fn task(&self, address: &TaskAddress) -> Option<&TaskRecord> {
        self.occurrences
            .iter()
            .find(|occurrence| occurrence.number == address.occurrence)?
            .steps
            .get(address.step as usize)?
            .tasks
            .get(address.index as usize)
    }

    /// How many runs of a task's step failed.
    #[must_use]
    pub fn failures_of_step(&self, address: &TaskAddress) -> u32 {
        let occurrence = self
            .occurrences
            .iter()
            .find(|occurrence| occurrence.number == address.occurrence);
        let step = occurrence.and_then(|occurrence| occurrence.steps.get(address.step as usize));
        step.map_or(0, |step| step.tasks.iter().map(|task| task.failures).sum())
    }

    /// A task of the job, to change in place.
    pub fn task_mut(&mut self, address: &TaskAddress) -> Option<&mut TaskRecord> {
        self.occurrences
            .iter_mut()
            .find(|occurrence| occurrence.number == address.occurrence)?
            .steps
            .get_mut(address.step as usize)?
            .tasks
            .get_mut(address.index as usize)
    }
}

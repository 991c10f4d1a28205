//! Need of a long-running task that has to run again.

use serde::Deserialize;
use serde::Serialize;

use crate::spec::ResourceVector;
use crate::worker::WorkerEntry;

/// Need of a long-running task that has run, was stopped or failed, and finds no worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartNeed {
    /// Service of the workers that may run it.
    pub service: Box<str>,
    /// Size of the task.
    pub size: ResourceVector,
    /// Label that the worker must have.
    pub required_label: Option<Box<str>>,
}

impl RestartNeed {
    /// Whether the worker could run the task if nothing else ran there.
    #[must_use]
    pub fn could_run_on(&self, worker: &WorkerEntry) -> bool {
        let label = self.required_label.as_ref();
        *self.service == *worker.service
            && self.size.fits(&worker.capacity)
            && label.is_none_or(|label| worker.labels.contains(label))
    }
}

//! Room of a cell for the tasks of one service.

use serde::Deserialize;
use serde::Serialize;

use crate::division::JobNeed;
use crate::spec::ResourceVector;
use crate::spec::StepSpec;

/// Room of a cell for the tasks of one service, over its usable workers. Processor times are
/// in thousandths of a processor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRoom {
    /// Service of the workers.
    pub service: Box<str>,
    /// Number of workers.
    pub workers: u32,
    /// Largest amount of each resource on any worker.
    pub largest: ResourceVector,
    /// Labels of the workers other than their racks, sorted.
    pub labels: Vec<Box<str>>,
    /// Processor time that is not reserved.
    pub free_milli: u64,
    /// Processor time that best-effort tasks can use in addition to those that run.
    pub idle_milli: u64,
    /// Processor time that waiting tasks will reserve.
    pub queued_milli: u64,
    /// Processor time that waiting best-effort tasks will use.
    pub queued_best_effort_milli: u64,
}

impl ServiceRoom {
    /// Whether some worker is large enough for a task of the step and has its label, and there
    /// are enough workers if only some tasks of the step may run on each.
    #[must_use]
    pub fn can_host(&self, step: &StepSpec) -> bool {
        let label = step.required_label.as_ref();
        let limit = step.per_worker_max;
        step.size.fits(&self.largest)
            && label.is_none_or(|label| self.labels.contains(label))
            && limit.is_none_or(|limit| limit.saturating_mul(self.workers) >= step.tasks)
    }

    /// Demand of a job and of what waits before it, in multiples of the room; above 1 the
    /// job has to wait.
    #[must_use]
    pub fn pressure(&self, need: &JobNeed) -> f64 {
        let reserved = (need.reserved_milli > 0)
            .then(|| ratio(self.queued_milli + need.reserved_milli, self.free_milli));
        let best_effort = (need.best_effort_milli > 0).then(|| {
            let demand = self.queued_best_effort_milli + need.best_effort_milli;
            ratio(demand, self.idle_milli)
        });
        reserved.unwrap_or(0.0).max(best_effort.unwrap_or(0.0))
    }
}

#[expect(clippy::cast_precision_loss, reason = "a cell has few processors")]
fn ratio(demand: u64, room: u64) -> f64 {
    demand as f64 / room.max(1) as f64
}

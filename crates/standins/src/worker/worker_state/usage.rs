//! What the running attempts of a worker use.

use sapphirestile_core::ResourceSize;

use crate::worker::AttemptCycle;
use crate::worker::AttemptState;
use crate::worker::RunningPhase;
use crate::worker::WorkerState;
use crate::worker::worker_state::AttemptKey;

impl WorkerState {
    pub(super) fn running_attempts(
        &self,
    ) -> impl Iterator<Item = (&AttemptKey, &AttemptCycle<RunningPhase>)> {
        self.attempts
            .iter()
            .filter_map(|(key, attempt)| match attempt {
                AttemptState::Running(cycle) => Some((key, cycle)),
                AttemptState::Ended(_) => None,
            })
    }

    pub(super) fn used_size_total(&self) -> ResourceSize {
        let sizes = self.running_attempts().map(|(_, cycle)| cycle.size());
        sizes.fold(ResourceSize::default(), |sum, size| sum.plus(size))
    }

    pub(super) fn free_size(&self) -> ResourceSize {
        self.settings.size.minus(&self.used_size_total())
    }
}

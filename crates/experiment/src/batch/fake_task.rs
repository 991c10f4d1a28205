//! A task and how far it has come.

use crate::batch::TaskPlace;
use crate::plan::TaskTruth;

/// A task and how far it has come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FakeTask {
    pub(crate) job: usize,
    pub(crate) truth: TaskTruth,
    /// Work done, in milliseconds of run time.
    pub(crate) progress_ms: f64,
    /// Work covered by the latest checkpoint.
    pub(crate) saved_ms: f64,
    pub(crate) place: Option<TaskPlace>,
}

impl FakeTask {
    /// The work of `run_ms` milliseconds, in core milliseconds.
    pub(crate) fn work(&self, run_ms: f64) -> f64 {
        run_ms * self.truth.cpu_milli / 1_000.0
    }

    /// Memory grows to its peak over the first quarter of the run.
    pub(crate) fn memory_mb(&self) -> f64 {
        let grown = (self.progress_ms / self.truth.run_ms * 4.0).min(1.0);
        self.truth.memory_mb * (0.3 + 0.7 * grown)
    }

    /// Processor time that it would use now, in thousandths of a core.
    pub(crate) fn wanted_milli(&self) -> f64 {
        let wave = (self.progress_ms / 90_000.0).sin();
        let wanted = self.truth.cpu_milli * (0.85 + 0.15 * wave);
        let cap = self.place.and_then(|place| place.cap_milli);
        cap.map_or(wanted, |cap| wanted.min(cap))
    }

    /// Whether it works at all.
    pub(crate) fn is_working(&self) -> bool {
        self.place
            .is_some_and(|place| !place.fetching && !place.sending)
    }
}

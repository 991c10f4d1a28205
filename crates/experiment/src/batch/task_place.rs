//! Where a task runs.

use sapphirestile_core::ResourceSize;

/// Where a task runs, and what it was given there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskPlace {
    pub(crate) worker: usize,
    pub(crate) given: ResourceSize,
    /// Its inputs or its checkpoint are still on their way.
    pub(crate) fetching: bool,
    /// Its checkpoint is on its way out of the zone.
    pub(crate) sending: bool,
    /// The most processor time it may use, in thousandths of a core.
    pub(crate) cap_milli: Option<f64>,
    /// Work done on this worker, in milliseconds of run time.
    pub(crate) done_here_ms: f64,
}

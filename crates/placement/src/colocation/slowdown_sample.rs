//! A measurement of interference.

use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;

/// A measured slowdown of work on a worker, and the jobs running there at that time.
#[derive(Clone, Copy, Debug)]
pub struct SlowdownSample<'a> {
    /// When it was measured, not when it was received.
    pub measured: MonoTime,
    /// The additional time that work took, in thousandths of the time without
    /// interference.
    pub slowdown_permille: u64,
    /// The jobs of the tasks on the worker, with one entry for each task.
    pub jobs: &'a [&'a JobName],
}

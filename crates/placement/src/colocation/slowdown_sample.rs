//! A late measurement of interference.

use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;

/// By how much work on a worker was slowed, and what ran there then.
#[derive(Clone, Copy, Debug)]
pub struct SlowdownSample<'a> {
    /// When it was measured, not when it arrived.
    pub measured: MonoTime,
    /// How much longer work took than undisturbed, in thousandths; 0 is undisturbed.
    pub slowdown_permille: u64,
    /// The jobs that had a task there, one entry a task.
    pub jobs: &'a [&'a JobName],
}

//! An attempt in either phase.

use crate::worker::AttemptCycle;
use crate::worker::EndedPhase;
use crate::worker::RunningPhase;

/// An attempt in either phase of its life cycle, as kept by a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// The attempt occupies its size on the worker.
    Running(AttemptCycle<RunningPhase>),
    /// The attempt occupies nothing, and is reported until the owner settles it.
    Ended(AttemptCycle<EndedPhase>),
}

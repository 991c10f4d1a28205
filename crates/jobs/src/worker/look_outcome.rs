//! What came of a look.

use crate::worker::LookAnswer;

/// What came of a look at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookOutcome {
    /// The worker answered.
    Seen(LookAnswer),
    /// There was no whole answer.
    Silent,
    /// Another owner with a higher epoch was there.
    Fenced,
    /// Another life of the worker answered.
    OtherLife,
}

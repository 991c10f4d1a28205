//! How far a sighted task has come.

/// How far an attempt has come, by its worker's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SightedPhase {
    /// It runs.
    Running,
    /// It did all its work.
    Finished,
    /// It ended with an error of its own.
    Failed,
    /// It was stopped, or its lease lapsed.
    Stopped,
}

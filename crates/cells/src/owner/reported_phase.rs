//! Phases of attempts, as reported by workers.

/// Phase of an attempt, as its worker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedPhase {
    /// Still running.
    Running,
    /// Completed all its work.
    Finished,
    /// Failed on its own.
    Failed,
    /// Was stopped, or its lease expired.
    Stopped,
}

//! How far a try has come.

/// The phase of a try at its entry daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TryPhase {
    /// The caller has not come yet.
    #[default]
    Idle,
    /// The owner is asked for the record.
    Asking,
    /// The record is this try's.
    Granted,
    /// The first byte has left.
    Sent,
    /// The caller has the runner's answer.
    Answered,
    /// The caller was told that nothing ran.
    ToldNotRun,
    /// The caller was told that the outcome is unknown, or told nothing.
    ToldUnknown,
}

//! Phase of an attempt.

/// Phase of an attempt at its entry daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AttemptPhase {
    /// The caller has not sent the request to this entry daemon.
    #[default]
    Idle,
    /// The entry daemon asks the owner for the record.
    AwaitingRecord,
    /// The entry daemon knows that the record belongs to this attempt.
    Granted,
    /// The entry daemon has sent the first byte to the runner.
    Sent,
    /// The caller has received the runner's answer.
    Answered,
    /// The caller was told that the request did not run.
    ReportedNotRun,
    /// The caller was told that the outcome is unknown, or got no answer.
    ReportedUnknown,
}

//! What a caller knows of its request in the end.

/// What a caller knows of its request in the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It has the whole answer.
    Answered,
    /// It was not run, for this reason.
    NotRun(String),
    /// It may have been run; the reason.
    Unknown(String),
}

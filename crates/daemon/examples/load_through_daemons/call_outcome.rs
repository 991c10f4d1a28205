//! Outcome of a request.

/// Outcome of a request, as far as the caller knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Answered with status 200 and the expected body.
    Answered,
    /// Known not to have been run: there was no connection, or the response says so. Holds the
    /// status and the body, or the error.
    NotRun(String),
    /// May have been run: there was no response, or it does not rule that out. Holds the
    /// status and the body, or the error.
    Unknown(String),
}

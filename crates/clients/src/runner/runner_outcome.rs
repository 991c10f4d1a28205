//! What came of a forwarded request.

use error_stack::Report;

use crate::http::CallError;
use crate::http::HttpAnswer;

/// What is known of a forwarded request.
#[derive(Debug)]
pub enum RunnerOutcome {
    /// The runner's whole answer to this request.
    Answered(HttpAnswer),
    /// The request was not run: it was not sent, or the runner said so.
    NotRun(Report<CallError>),
    /// The request may have been run and has no whole answer.
    Unknown(Report<CallError>),
}

//! The outcome of a forwarded request.

use error_stack::Report;

use crate::http::CallError;
use crate::http::HttpResponse;

/// The outcome of a forwarded request.
#[derive(Debug)]
pub enum RunnerOutcome {
    /// The runner's complete response to this request.
    Answered(HttpResponse),
    /// The request was not run: it was not sent, or the runner reported that it did not run
    /// it.
    NotRun(Report<CallError>),
    /// The request may have been run, but there is no complete response to it.
    Unknown(Report<CallError>),
}

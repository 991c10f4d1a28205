//! Forwards requests to one runner.

use error_stack::Report;

use crate::http::CallError;
use crate::http::CallLimits;
use crate::http::CallRequest;
use crate::http::HttpAnswer;
use crate::http::HttpClient;
use crate::http::PeerAddress;
use crate::http::PeerConnections;
use crate::runner::RunnerOutcome;
use crate::runner::RunnerRequest;
use crate::runner::forwarded_headers::forwarded_headers;
use sapphirestile_core::StepError;

/// The header with which a runner echoes the number of the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The header with which a runner says that it did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

const STEP: &str = "forward request";
const STATUS_UNAVAILABLE: u16 = 503;

/// A client of one runner. It sends each request once at the most.
#[derive(Clone, Debug)]
pub struct RunnerClient {
    client: HttpClient,
}

impl RunnerClient {
    /// A client of the runner at `peer` with connections of its own. Nothing is
    /// sent yet.
    #[must_use]
    pub fn new(peer: PeerAddress, limits: CallLimits) -> Self {
        Self {
            client: HttpClient::new(peer, limits),
        }
    }

    /// A client over connections that it shares. Nothing is sent yet.
    #[must_use]
    pub const fn over(connections: PeerConnections, limits: CallLimits) -> Self {
        Self {
            client: HttpClient::over(connections, limits),
        }
    }

    /// Forwards a request and waits for the whole answer.
    ///
    /// # Panics
    ///
    /// When the request has no number: any answer without one would be its own.
    #[must_use]
    pub fn forward(&self, request: &RunnerRequest<'_>) -> RunnerOutcome {
        assert!(!request.id.is_empty(), "a forwarded request has a number");
        let headers = forwarded_headers(request);
        let call = CallRequest {
            method: request.method,
            path: request.path,
            headers: &headers,
            body: request.body,
        };
        match self.client.call(STEP, &call) {
            Ok(answer) => self.judge(request, answer),
            Err(report) => match report.current_context() {
                CallError::NotSent => RunnerOutcome::NotRun(report),
                CallError::Unknown => RunnerOutcome::Unknown(report),
            },
        }
    }

    fn judge(&self, request: &RunnerRequest<'_>, answer: HttpAnswer) -> RunnerOutcome {
        if answer.sole_header(REQUEST_ID_HEADER) != Some(request.id.as_bytes()) {
            return RunnerOutcome::Unknown(self.report(CallError::Unknown));
        }
        let refused = answer.sole_header(NOT_RUN_HEADER) == Some(b"true");
        if refused && answer.status == STATUS_UNAVAILABLE {
            return RunnerOutcome::NotRun(self.report(CallError::NotSent));
        }
        RunnerOutcome::Answered(answer)
    }

    fn report(&self, error: CallError) -> Report<CallError> {
        let peer = self.client.peer().to_string();
        Report::new(StepError::new(STEP, &peer)).change_context(error)
    }
}

//! The client of one runner.

use error_stack::Report;

use crate::http::CallError;
use crate::http::CallLimits;
use crate::http::CallRequest;
use crate::http::HttpClient;
use crate::http::HttpResponse;
use crate::http::PeerAddress;
use crate::http::PeerConnections;
use crate::runner::RunnerOutcome;
use crate::runner::RunnerRequest;
use crate::runner::forwarded_headers::forwarded_headers;
use sapphirestile_core::StepError;

/// The header that carries the request id, which the runner echoes in its response.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The response header that states, with the value `true`, that the runner did not run the
/// request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

const STEP: &str = "forward request";
const STATUS_UNAVAILABLE: u16 = 503;

/// A client of one runner. It sends each request at most once.
#[derive(Clone, Debug)]
pub struct RunnerClient {
    client: HttpClient,
}

impl RunnerClient {
    /// Creates a client of the runner at `peer` with its own connections, without
    /// connecting yet.
    #[must_use]
    pub fn new(peer: PeerAddress, limits: CallLimits) -> Self {
        Self {
            client: HttpClient::new(peer, limits),
        }
    }

    /// Creates a client that uses shared connections.
    #[must_use]
    pub const fn with_connections(connections: PeerConnections, limits: CallLimits) -> Self {
        Self {
            client: HttpClient::with_connections(connections, limits),
        }
    }

    /// Forwards a request and waits for the complete response.
    ///
    /// # Panics
    ///
    /// When the request id is empty, since the response could then not be matched to the
    /// request.
    #[must_use]
    pub fn forward(&self, request: &RunnerRequest<'_>) -> RunnerOutcome {
        assert!(
            !request.id.is_empty(),
            "the id of a forwarded request must not be empty"
        );
        let headers = forwarded_headers(request);
        let call = CallRequest {
            method: request.method,
            path: request.path,
            headers: &headers,
            body: request.body,
        };
        match self.client.call(STEP, &call) {
            Ok(response) => self.classify(request, response),
            Err(report) => match report.current_context() {
                CallError::NotSent => RunnerOutcome::NotRun(report),
                CallError::Unknown => RunnerOutcome::Unknown(report),
            },
        }
    }

    fn classify(&self, request: &RunnerRequest<'_>, response: HttpResponse) -> RunnerOutcome {
        if response.sole_header(REQUEST_ID_HEADER) != Some(request.id.as_bytes()) {
            return RunnerOutcome::Unknown(self.report(CallError::Unknown));
        }
        let refused = response.sole_header(NOT_RUN_HEADER) == Some(b"true");
        if refused && response.status == STATUS_UNAVAILABLE {
            return RunnerOutcome::NotRun(self.report(CallError::NotSent));
        }
        RunnerOutcome::Answered(response)
    }

    fn report(&self, error: CallError) -> Report<CallError> {
        let peer = self.client.peer().to_string();
        Report::new(StepError::new(STEP, &peer)).change_context(error)
    }
}

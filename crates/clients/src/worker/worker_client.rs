//! The client of one worker.

use std::time::Duration;

use error_stack::Report;
use serde::Serialize;

use crate::http::CallError;
use crate::http::CallLimits;
use crate::http::CallRequest;
use crate::http::HttpClient;
use crate::http::HttpResponse;
use crate::http::PeerAddress;
use crate::http::PeerConnections;
use crate::worker::WorkerError;
use sapphirestile_core::StepError;
use sapphirestile_wire::worker::SessionReport;
use sapphirestile_wire::worker::SessionRequest;
use sapphirestile_wire::worker::TaskStart;
use sapphirestile_wire::worker::TaskStop;
use sapphirestile_wire::worker::TaskThrottle;
use sapphirestile_wire::worker::WorkerRefusal;

/// The maximum size of a worker's response, in bytes.
pub const WORKER_RESPONSE_MAX_BYTES: usize = 2 * 1024 * 1024;

const STATUS_OK: u16 = 200;
const STATUS_CONFLICT: u16 = 409;

/// A client of one worker. It never retries.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    client: HttpClient,
}

impl WorkerClient {
    /// Creates a client of the worker at `peer` with its own connections, without
    /// connecting yet.
    #[must_use]
    pub fn new(peer: PeerAddress, timeout: Duration) -> Self {
        Self::with_connections(PeerConnections::new(peer), timeout)
    }

    /// Creates a client that uses shared connections.
    #[must_use]
    pub const fn with_connections(connections: PeerConnections, timeout: Duration) -> Self {
        let limits = CallLimits {
            timeout,
            response_max_bytes: WORKER_RESPONSE_MAX_BYTES,
        };
        Self {
            client: HttpClient::with_connections(connections, limits),
        }
    }

    /// Opens or renews the session of a cell's owner with the worker.
    ///
    /// # Errors
    ///
    /// [`WorkerError`]; after `Unknown`, earlier permits may be invalid.
    pub fn session(&self, request: &SessionRequest) -> Result<SessionReport, Report<WorkerError>> {
        const STEP: &str = "renew session";
        let response = self.call(STEP, "/v1/session", request)?;
        serde_json::from_slice(&response.body)
            .map_err(|error| self.failed(STEP, error, WorkerError::Unknown))
    }

    /// Starts one attempt of a task.
    ///
    /// # Errors
    ///
    /// [`WorkerError`]; after `Unknown`, the next session report shows whether the attempt
    /// runs.
    pub fn start(&self, start: &TaskStart) -> Result<(), Report<WorkerError>> {
        self.call("start task", "/v1/start", start).map(drop)
    }

    /// Stops one attempt of a task.
    ///
    /// # Errors
    ///
    /// [`WorkerError`].
    pub fn stop(&self, stop: &TaskStop) -> Result<(), Report<WorkerError>> {
        self.call("stop task", "/v1/stop", stop).map(drop)
    }

    /// Limits the CPU time of one attempt of a task.
    ///
    /// # Errors
    ///
    /// [`WorkerError`].
    pub fn throttle(&self, throttle: &TaskThrottle) -> Result<(), Report<WorkerError>> {
        self.call("throttle task", "/v1/throttle", throttle)
            .map(drop)
    }

    fn call(
        &self,
        step: &'static str,
        path: &str,
        body: &impl Serialize,
    ) -> Result<HttpResponse, Report<WorkerError>> {
        let bytes = serde_json::to_vec(body)
            .map_err(|error| self.failed(step, error, WorkerError::NotSent))?;
        let response = self
            .client
            .call(step, &CallRequest::post_json(path, &bytes))
            .map_err(to_worker_error)?;
        match response.status {
            STATUS_OK => Ok(response),
            STATUS_CONFLICT => Err(self.refused(step, &response.body)),
            _ => Err(Report::new(self.step(step)).change_context(WorkerError::Unknown)),
        }
    }

    fn refused(&self, step: &'static str, body: &[u8]) -> Report<WorkerError> {
        match serde_json::from_slice::<WorkerRefusal>(body) {
            Ok(refusal) => {
                Report::new(self.step(step)).change_context(WorkerError::Refused(refusal))
            }
            Err(error) => self.failed(step, error, WorkerError::Unknown),
        }
    }

    fn failed(
        &self,
        step: &'static str,
        error: serde_json::Error,
        outcome: WorkerError,
    ) -> Report<WorkerError> {
        Report::new(error)
            .change_context(self.step(step))
            .change_context(outcome)
    }

    fn step(&self, step: &'static str) -> StepError {
        StepError::new(step, &self.client.peer().to_string())
    }
}

fn to_worker_error(report: Report<CallError>) -> Report<WorkerError> {
    let error = match report.current_context() {
        CallError::NotSent => WorkerError::NotSent,
        CallError::Unknown => WorkerError::Unknown,
    };
    report.change_context(error)
}

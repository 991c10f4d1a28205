//! Calls one worker.

use std::time::Duration;

use error_stack::Report;
use serde::Serialize;

use crate::http::CallError;
use crate::http::CallLimits;
use crate::http::CallRequest;
use crate::http::HttpAnswer;
use crate::http::HttpClient;
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

/// The largest answer of a worker that is read, in bytes.
pub const WORKER_ANSWER_MAX_BYTES: usize = 2 * 1024 * 1024;

const STATUS_DONE: u16 = 200;
const STATUS_REFUSED: u16 = 409;

/// A client of one worker. It repeats no call.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    client: HttpClient,
}

impl WorkerClient {
    /// A client of the worker at `peer` with connections of its own. Nothing is
    /// sent yet.
    #[must_use]
    pub fn new(peer: PeerAddress, timeout: Duration) -> Self {
        Self::over(PeerConnections::new(peer), timeout)
    }

    /// A client over connections that it shares. Nothing is sent yet.
    #[must_use]
    pub const fn over(connections: PeerConnections, timeout: Duration) -> Self {
        let limits = CallLimits {
            timeout,
            answer_max_bytes: WORKER_ANSWER_MAX_BYTES,
        };
        Self {
            client: HttpClient::over(connections, limits),
        }
    }

    /// Opens or renews a session.
    ///
    /// # Errors
    ///
    /// [`WorkerError`]; after `Unknown`, earlier permits may be void.
    pub fn session(&self, request: &SessionRequest) -> Result<SessionReport, Report<WorkerError>> {
        const STEP: &str = "renew session";
        let answer = self.call(STEP, "/v1/session", request)?;
        serde_json::from_slice(&answer.body)
            .map_err(|error| self.failed(STEP, error, WorkerError::Unknown))
    }

    /// Starts one attempt of a task.
    ///
    /// # Errors
    ///
    /// [`WorkerError`]; after `Unknown`, the next session report settles whether
    /// the attempt runs.
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

    /// Limits the processor time of one attempt.
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
    ) -> Result<HttpAnswer, Report<WorkerError>> {
        let bytes = serde_json::to_vec(body)
            .map_err(|error| self.failed(step, error, WorkerError::NotSent))?;
        let answer = self
            .client
            .call(step, &CallRequest::post_json(path, &bytes))
            .map_err(change_error)?;
        match answer.status {
            STATUS_DONE => Ok(answer),
            STATUS_REFUSED => Err(self.refused(step, &answer.body)),
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

fn change_error(report: Report<CallError>) -> Report<WorkerError> {
    let outcome = match report.current_context() {
        CallError::NotSent => WorkerError::NotSent,
        CallError::Unknown => WorkerError::Unknown,
    };
    report.change_context(outcome)
}

//! Sends requests to one peer.

use std::time::Duration;

use error_stack::Report;
use ureq::Body;
use ureq::Timeout;
use ureq::http::Method;
use ureq::http::Response;
use ureq::http::StatusCode;

use crate::http::CallError;
use crate::http::CallLimits;
use crate::http::CallRequest;
use crate::http::HttpAnswer;
use crate::http::LineReader;
use crate::http::PeerAddress;
use crate::http::PeerConnections;
use crate::http::answer_framing::AnswerFraming;
use crate::http::connect_fault::ConnectFault;
use crate::http::request_sender::RequestSender;
use sapphirestile_core::StepError;

/// Sends requests to one peer over connections that are kept open.
///
/// It follows no redirect, takes every status as an answer and sends no request
/// a second time: a connection that the peer has closed in the meantime makes
/// the call [`CallError::Unknown`]. Clones share their connections, and so do
/// clients made [`over`](Self::over) the same [`PeerConnections`].
#[derive(Clone, Debug)]
pub struct HttpClient {
    connections: PeerConnections,
    limits: CallLimits,
}

impl HttpClient {
    /// A client of `peer` with connections of its own. Nothing is sent yet.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use sapphirestile_clients::http::CallLimits;
    /// use sapphirestile_clients::http::HttpClient;
    /// use sapphirestile_clients::http::PeerAddress;
    ///
    /// let peer = PeerAddress::try_from("127.0.0.1:2379").unwrap();
    /// let limits = CallLimits { timeout: Duration::from_secs(2), answer_max_bytes: 4_096 };
    /// let client = HttpClient::new(peer, limits);
    /// assert_eq!(client.peer(), peer);
    /// ```
    #[must_use]
    pub fn new(peer: PeerAddress, limits: CallLimits) -> Self {
        Self::over(PeerConnections::new(peer), limits)
    }

    /// A client over connections that it shares. Nothing is sent yet.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use sapphirestile_clients::http::CallLimits;
    /// use sapphirestile_clients::http::ConnectionTable;
    /// use sapphirestile_clients::http::HttpClient;
    /// use sapphirestile_clients::http::PeerAddress;
    ///
    /// let table = ConnectionTable::new();
    /// let peer = PeerAddress::try_from("127.0.0.1:8080").unwrap();
    /// let limits = CallLimits { timeout: Duration::from_secs(2), answer_max_bytes: 4_096 };
    /// let client = HttpClient::over(table.connections(peer), limits);
    /// assert_eq!(client.peer(), peer);
    /// ```
    #[must_use]
    pub const fn over(connections: PeerConnections, limits: CallLimits) -> Self {
        Self {
            connections,
            limits,
        }
    }

    /// The peer.
    #[must_use]
    pub const fn peer(&self) -> PeerAddress {
        self.connections.peer()
    }

    /// Sends a request and reads the whole answer, whatever its status.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] when the peer could not be reached at all, and
    /// [`CallError::Unknown`] when there is no whole answer within the limits.
    pub fn call(
        &self,
        step: &'static str,
        request: &CallRequest<'_>,
    ) -> Result<HttpAnswer, Report<CallError>> {
        let sender = self.prepare(step, request)?;
        let method = sender.method().clone();
        let response = sender
            .send(self.limits.timeout)
            .map_err(|error| self.unsent_or_lost(step, error))?;
        self.read_whole(step, &method, response)
    }

    /// Sends a request and returns the lines of the answer as they arrive; none
    /// when the peer took the request and said nothing within `wait`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::call`]; a status other than 200 is [`CallError::Unknown`].
    pub fn call_lines(
        &self,
        step: &'static str,
        request: &CallRequest<'_>,
        wait: Duration,
    ) -> Result<Option<LineReader>, Report<CallError>> {
        let sender = self.prepare(step, request)?;
        let response = match sender.send_and_wait(self.limits.timeout, wait) {
            Ok(response) => response,
            Err(ureq::Error::Timeout(Timeout::RecvResponse)) => return Ok(None),
            Err(error) => return Err(self.unsent_or_lost(step, error)),
        };
        if response.status() != StatusCode::OK {
            return Err(self.lost(step, "the peer refused to stream"));
        }
        let lines = response.into_body().into_reader();
        let max = self.limits.answer_max_bytes;
        Ok(Some(LineReader::new(lines, max)))
    }

    fn prepare<'a>(
        &'a self,
        step: &'static str,
        request: &CallRequest<'a>,
    ) -> Result<RequestSender<'a>, Report<CallError>> {
        RequestSender::build(&self.connections, request)
            .map_err(|error| self.failed(step, Report::new(error), CallError::NotSent))
    }

    fn read_whole(
        &self,
        step: &'static str,
        method: &Method,
        response: Response<Body>,
    ) -> Result<HttpAnswer, Report<CallError>> {
        let (parts, body) = response.into_parts();
        if parts.status.is_informational() {
            return Err(self.lost(step, "the answer is not a final one"));
        }
        let body = match AnswerFraming::of(method, &parts) {
            AnswerFraming::Unclear => {
                return Err(self.lost(step, "the answer does not say where it ends"));
            }
            AnswerFraming::Bodyless => Vec::new(),
            AnswerFraming::Announced | AnswerFraming::Chunked => self.read_body(step, body)?,
        };
        Ok(HttpAnswer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
        })
    }

    fn read_body(&self, step: &'static str, body: Body) -> Result<Vec<u8>, Report<CallError>> {
        let max = self.limits.answer_max_bytes as u64;
        if body.content_length().is_some_and(|length| length > max) {
            return Err(self.lost(step, "the answer is too large"));
        }
        body.into_with_config()
            .limit(max)
            .read_to_vec()
            .map_err(|error| self.failed(step, Report::new(error), CallError::Unknown))
    }

    fn unsent_or_lost(&self, step: &'static str, error: ureq::Error) -> Report<CallError> {
        let outcome = if ConnectFault::is_behind(&error) {
            CallError::NotSent
        } else {
            CallError::Unknown
        };
        let report = Report::new(ConnectFault::system_error(error));
        self.failed(step, report, outcome)
    }

    fn lost(&self, step: &'static str, reason: &'static str) -> Report<CallError> {
        let report = Report::new(std::io::Error::other(reason));
        self.failed(step, report, CallError::Unknown)
    }

    fn failed<E>(
        &self,
        step: &'static str,
        report: Report<E>,
        outcome: CallError,
    ) -> Report<CallError>
    where
        E: std::error::Error + Send + Sync + 'static,
    {
        report
            .change_context(StepError::new(step, &self.peer().to_string()))
            .change_context(outcome)
    }
}

//! Sends requests to one peer.

use std::io::ErrorKind;
use std::io::Read;
use std::time::Duration;

use error_stack::Report;
use oxhttp::Client;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;
use oxhttp::model::StatusCode;
use oxhttp::model::header::CONTENT_LENGTH;
use oxhttp::model::header::TRANSFER_ENCODING;

use crate::http::CallError;
use crate::http::CallLimits;
use crate::http::CallRequest;
use crate::http::HttpAnswer;
use crate::http::LineReader;
use crate::http::PeerAddress;
use crate::http::line_reader::is_read_timeout;
use sapphirestile_core::StepError;

/// Sends requests to one peer and follows no redirect.
#[derive(Clone, Debug)]
pub struct HttpClient {
    peer: PeerAddress,
    limits: CallLimits,
}

impl HttpClient {
    /// A client of `peer`, within `limits`. Nothing is sent yet.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use sapphirestile_platform::http::CallLimits;
    /// use sapphirestile_platform::http::HttpClient;
    /// use sapphirestile_platform::http::PeerAddress;
    ///
    /// let peer = PeerAddress::try_from("127.0.0.1:2379").unwrap();
    /// let limits = CallLimits { timeout: Duration::from_secs(2), answer_max_bytes: 4_096 };
    /// let client = HttpClient::new(peer, limits);
    /// assert_eq!(client.peer(), peer);
    /// ```
    #[must_use]
    pub const fn new(peer: PeerAddress, limits: CallLimits) -> Self {
        Self { peer, limits }
    }

    /// The peer.
    #[must_use]
    pub const fn peer(&self) -> PeerAddress {
        self.peer
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
        let response = self.send(step, request)?;
        let (parts, body) = response.into_parts();
        if parts.status.is_informational() {
            return Err(self.lost(step, "the answer is not a final one"));
        }
        let framed = parts.headers.contains_key(CONTENT_LENGTH)
            || parts.headers.contains_key(TRANSFER_ENCODING);
        let bodyless = request.method == "HEAD" || has_no_body(parts.status);
        if !framed && !bodyless {
            return Err(self.lost(step, "the answer does not say where it ends"));
        }
        let body = if bodyless {
            Vec::new()
        } else {
            self.read_whole(step, body)?
        };
        Ok(HttpAnswer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
        })
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
        let response = match self.open(step, request, wait)? {
            Ok(response) => response,
            Err(error) if is_read_timeout(&error) => return Ok(None),
            Err(error) => return Err(self.unsent_or_lost(step, error)),
        };
        if response.status() != StatusCode::OK {
            return Err(self.lost(step, "the peer refused to stream"));
        }
        let max = self.limits.answer_max_bytes;
        Ok(Some(LineReader::new(response.into_body(), max)))
    }

    fn send(
        &self,
        step: &'static str,
        request: &CallRequest<'_>,
    ) -> Result<Response<Body>, Report<CallError>> {
        self.open(step, request, self.limits.timeout)?
            .map_err(|error| self.unsent_or_lost(step, error))
    }

    fn open(
        &self,
        step: &'static str,
        request: &CallRequest<'_>,
        timeout: Duration,
    ) -> Result<std::io::Result<Response<Body>>, Report<CallError>> {
        let request = self.build(step, request)?;
        let client = Client::new().with_global_timeout(timeout);
        Ok(client.request(request))
    }

    fn unsent_or_lost(&self, step: &'static str, error: std::io::Error) -> Report<CallError> {
        let outcome = match error.kind() {
            ErrorKind::ConnectionRefused => CallError::NotSent,
            _ => CallError::Unknown,
        };
        self.failed(step, Report::new(error), outcome)
    }

    fn build(
        &self,
        step: &'static str,
        request: &CallRequest<'_>,
    ) -> Result<Request<Body>, Report<CallError>> {
        let mut builder = Request::builder()
            .method(request.method)
            .uri(format!("http://{}{}", self.peer, request.path));
        for header in request.headers {
            builder = builder.header(header.name, header.value);
        }
        builder
            .body(Body::from(request.body.to_vec()))
            .map_err(|error| self.failed(step, Report::new(error), CallError::NotSent))
    }

    fn read_whole(&self, step: &'static str, body: Body) -> Result<Vec<u8>, Report<CallError>> {
        let max = self.limits.answer_max_bytes;
        let announced = body.len().map_or(Ok(0), usize::try_from);
        if announced.is_err() || announced.is_ok_and(|length| length > max) {
            return Err(self.lost(step, "the answer is too large"));
        }
        let mut bytes = Vec::new();
        body.take(max as u64 + 1)
            .read_to_end(&mut bytes)
            .map_err(|error| self.failed(step, Report::new(error), CallError::Unknown))?;
        if bytes.len() > max {
            return Err(self.lost(step, "the answer is too large"));
        }
        Ok(bytes)
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
            .change_context(StepError::new(step, &self.peer.to_string()))
            .change_context(outcome)
    }
}

fn has_no_body(status: StatusCode) -> bool {
    status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}

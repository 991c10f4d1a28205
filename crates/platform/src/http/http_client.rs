//! Sends requests to one peer.

use std::io::ErrorKind;
use std::time::Duration;

use error_stack::Report;
use ureq::Agent;
use ureq::Body;
use ureq::Timeout;
use ureq::config::AutoHeaderValue;
use ureq::http::Method;
use ureq::http::Response;
use ureq::http::StatusCode;

use crate::http::CallError;
use crate::http::CallLimits;
use crate::http::CallRequest;
use crate::http::HttpAnswer;
use crate::http::LineReader;
use crate::http::PeerAddress;
use crate::http::answer_framing::AnswerFraming;
use crate::http::request_sender::RequestSender;
use sapphirestile_core::StepError;

/// The most idle connections to a peer.
const IDLE_CONNECTIONS_MAX: usize = 64;

/// How long a connection may be idle before it is closed rather than used again.
const IDLE_AGE_MAX: Duration = Duration::from_secs(10);

/// The largest head of an answer, in bytes.
const ANSWER_HEAD_MAX_BYTES: usize = 16 * 1024;

/// Sends requests to one peer over connections that are kept open.
///
/// It follows no redirect, takes every status as an answer and sends no request
/// a second time: a connection that the peer has closed in the meantime makes
/// the call [`CallError::Unknown`]. Clones share their connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    peer: PeerAddress,
    limits: CallLimits,
    agent: Agent,
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
    pub fn new(peer: PeerAddress, limits: CallLimits) -> Self {
        // Connecting has a shorter limit of its own, since a call that could
        // not connect is known not to be sent.
        let agent = Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .allow_non_standard_methods(true)
            .user_agent(AutoHeaderValue::None)
            .accept(AutoHeaderValue::None)
            .accept_encoding(AutoHeaderValue::None)
            .max_response_header_size(ANSWER_HEAD_MAX_BYTES)
            .max_idle_connections(IDLE_CONNECTIONS_MAX)
            .max_idle_connections_per_host(IDLE_CONNECTIONS_MAX)
            .max_idle_age(IDLE_AGE_MAX)
            .timeout_connect(Some(limits.timeout / 2))
            .timeout_global(Some(limits.timeout))
            .build()
            .new_agent();
        Self {
            peer,
            limits,
            agent,
        }
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
        let sender = self.prepare(step, request)?;
        let method = sender.method().clone();
        let response = sender
            .send()
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
        let response = match sender.send_and_wait(wait) {
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
        RequestSender::build(&self.agent, self.peer, request)
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
        let outcome = if is_unsent(&error) {
            CallError::NotSent
        } else {
            CallError::Unknown
        };
        self.failed(step, Report::new(error), outcome)
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

/// Whether an error proves that there was never a connection for the request.
fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Timeout(Timeout::Connect) | ureq::Error::ConnectionFailed => true,
        // An open connection is never refused, so this kind comes from connecting.
        ureq::Error::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}

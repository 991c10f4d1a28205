//! The HTTP client of one peer.

mod reading;

use std::io::ErrorKind;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use ureq::Body;
use ureq::Timeout;
use ureq::http::Response;
use ureq::http::StatusCode;

use crate::http::CallError;
use crate::http::CallLimits;
use crate::http::CallRequest;
use crate::http::DownloadOutcome;
use crate::http::HttpResponse;
use crate::http::LineReader;
use crate::http::PeerAddress;
use crate::http::PeerConnections;
use crate::http::connect_error::ConnectError;
use crate::http::peer_connection::PeerConnection;
use crate::http::request_sender::RequestSender;
use sapphirestile_core::StepError;

/// The maximum time of a [`HttpClient::download`].
const DOWNLOAD_MAX: Duration = Duration::from_secs(20);

/// Sends requests to one peer over pooled connections.
///
/// It follows no redirects, returns responses of every status and never retries: a
/// call on a pooled connection that the peer has closed fails with
/// [`CallError::Unknown`]. Clones share their connections, as do clients that are
/// created by [`with_connections`](Self::with_connections) from the same
/// [`PeerConnections`].
#[derive(Clone, Debug)]
pub struct HttpClient {
    connections: PeerConnections,
    limits: CallLimits,
}

impl HttpClient {
    /// Creates a client of `peer` with its own connections, without connecting yet.
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
    /// let limits = CallLimits { timeout: Duration::from_secs(2), response_max_bytes: 4_096 };
    /// let client = HttpClient::new(peer, limits);
    /// assert_eq!(client.peer(), peer);
    /// ```
    #[must_use]
    pub fn new(peer: PeerAddress, limits: CallLimits) -> Self {
        Self::with_connections(PeerConnections::new(peer), limits)
    }

    /// Creates a client that uses shared connections.
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
    /// let limits = CallLimits { timeout: Duration::from_secs(2), response_max_bytes: 4_096 };
    /// let client = HttpClient::with_connections(table.connections(peer), limits);
    /// assert_eq!(client.peer(), peer);
    /// ```
    #[must_use]
    pub const fn with_connections(connections: PeerConnections, limits: CallLimits) -> Self {
        Self {
            connections,
            limits,
        }
    }

    /// Returns the address of the peer.
    #[must_use]
    pub const fn peer(&self) -> PeerAddress {
        self.connections.peer()
    }

    /// Sends a request and reads the complete response, whatever its status.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] when no connection could be established or the request is
    /// malformed, and [`CallError::Unknown`] when no complete response arrived within the
    /// limits.
    pub fn call(
        &self,
        step: &'static str,
        request: &CallRequest<'_>,
    ) -> Result<HttpResponse, Report<CallError>> {
        let timeout = self.limits.timeout;
        let outcome = self.exchange(step, request, |sender, connection| {
            sender.send(connection, timeout)
        })?;
        match outcome {
            DownloadOutcome::Complete(response) => Ok(response),
            DownloadOutcome::TooLarge => {
                Err(self.unknown(step, "the response body exceeds the size limit"))
            }
        }
    }

    /// Sends a request and reads a response that may be large for the connection: the
    /// timeout limits each wait for the next bytes, and the whole call
    /// takes 20 s at most.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// use std::time::Duration;
    ///
    /// use sapphirestile_clients::http::CallLimits;
    /// use sapphirestile_clients::http::CallRequest;
    /// use sapphirestile_clients::http::DownloadOutcome;
    /// use sapphirestile_clients::http::HttpClient;
    /// use sapphirestile_clients::http::PeerAddress;
    ///
    /// let peer = PeerAddress::try_from("127.0.0.1:8080").unwrap();
    /// let limits = CallLimits { timeout: Duration::from_secs(1), response_max_bytes: 1_048_576 };
    /// let client = HttpClient::new(peer, limits);
    /// match client.download("read document", &CallRequest::get("/document")).unwrap() {
    ///     DownloadOutcome::Complete(response) => println!("{} bytes", response.body.len()),
    ///     DownloadOutcome::TooLarge => println!("the document is too large"),
    /// }
    /// ```
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] when no connection could be established or the request is
    /// malformed, and [`CallError::Unknown`] when no complete response arrived in time.
    pub fn download(
        &self,
        step: &'static str,
        request: &CallRequest<'_>,
    ) -> Result<DownloadOutcome, Report<CallError>> {
        self.download_within(step, request, DOWNLOAD_MAX)
    }

    /// Like [`download`](Self::download), and the whole call takes `total` at most.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use sapphirestile_clients::http::CallRequest;
    /// use sapphirestile_clients::http::HttpClient;
    ///
    /// fn answers(client: &HttpClient, total: Duration) -> bool {
    ///     client.download_within("read", &CallRequest::get("/rows"), total).is_ok()
    /// }
    /// ```
    ///
    /// # Errors
    ///
    /// See [`HttpClient::download`].
    pub fn download_within(
        &self,
        step: &'static str,
        request: &CallRequest<'_>,
        total: Duration,
    ) -> Result<DownloadOutcome, Report<CallError>> {
        let (pause, total) = (self.limits.timeout, total.min(DOWNLOAD_MAX));
        self.exchange(step, request, |sender, connection| {
            sender.send_and_download(connection, pause, total)
        })
    }

    /// Sends a request and returns a reader of the response's lines as they arrive, or
    /// `None` when the peer accepted the request but sent no response within `wait`.
    ///
    /// # Errors
    ///
    /// See [`HttpClient::call`]. A status other than 200 is [`CallError::Unknown`].
    pub fn call_lines(
        &self,
        step: &'static str,
        request: &CallRequest<'_>,
        wait: Duration,
    ) -> Result<Option<LineReader>, Report<CallError>> {
        let sender = self.prepare(step, request)?;
        let connection = self.take_connection(step)?;
        let response = match sender.send_and_wait(&connection, self.limits.timeout, wait) {
            Ok(response) => response,
            Err(ureq::Error::Timeout(Timeout::RecvResponse)) => return Ok(None),
            Err(error) => return Err(self.send_error(step, error)),
        };
        if response.status() != StatusCode::OK {
            return Err(self.unknown(step, "the status of the streamed response is not 200"));
        }
        let lines = response.into_body().into_reader();
        let max_bytes = self.limits.response_max_bytes;
        Ok(Some(LineReader::new(lines, max_bytes)))
    }

    fn prepare<'a>(
        &'a self,
        step: &'static str,
        request: &CallRequest<'a>,
    ) -> Result<RequestSender<'a>, Report<CallError>> {
        RequestSender::build(self.peer(), request)
            .map_err(|error| self.failed(step, Report::new(error), CallError::NotSent))
    }

    fn take_connection(&self, step: &'static str) -> Result<PeerConnection, Report<CallError>> {
        self.connections.pool().take(self.peer()).ok_or_else(|| {
            let closed = std::io::Error::from(ErrorKind::NotConnected);
            self.failed(step, Report::new(closed), CallError::NotSent)
        })
    }

    /// Sends a request by `send` and reads its response. The connection is kept for other calls
    /// if the response is complete; if there is none, the idle ones may have failed too.
    fn exchange<'a>(
        &'a self,
        step: &'static str,
        request: &CallRequest<'a>,
        send: impl FnOnce(RequestSender<'a>, &PeerConnection) -> Result<Response<Body>, ureq::Error>,
    ) -> Result<DownloadOutcome, Report<CallError>> {
        let sender = self.prepare(step, request)?;
        let method = sender.method().clone();
        let connection = self.take_connection(step)?;
        let started = Instant::now();
        let result = send(sender, &connection)
            .map_err(|error| self.send_error(step, error))
            .and_then(|response| self.read_response(step, &method, response));
        let pool = self.connections.pool();
        match &result {
            Ok(DownloadOutcome::Complete(_)) => pool.put(connection),
            Err(report) if *report.current_context() == CallError::Unknown => {
                pool.record_silence(started);
            }
            Ok(DownloadOutcome::TooLarge) | Err(_) => {}
        }
        result
    }

    fn send_error(&self, step: &'static str, error: ureq::Error) -> Report<CallError> {
        let outcome = if ConnectError::is_cause_of(&error) {
            CallError::NotSent
        } else {
            CallError::Unknown
        };
        let report = Report::new(ConnectError::into_io_error(error));
        self.failed(step, report, outcome)
    }

    fn unknown(&self, step: &'static str, reason: &'static str) -> Report<CallError> {
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

//! Sending of a validated request.

use std::time::Duration;

use ureq::Agent;
use ureq::Body;
use ureq::http::Error;
use ureq::http::Method;
use ureq::http::Request;
use ureq::http::Response;

use crate::http::CallRequest;
use crate::http::PeerAddress;
use crate::http::peer_connection::PeerConnection;

/// A validated request that can be sent once.
pub(crate) struct RequestSender<'a> {
    request: Request<&'a [u8]>,
}

impl<'a> RequestSender<'a> {
    /// Validates a request to `peer`.
    pub(crate) fn build(peer: PeerAddress, request: &CallRequest<'a>) -> Result<Self, Error> {
        let mut builder = Request::builder()
            .method(request.method)
            .uri(format!("http://{peer}{}", request.path));
        for header in request.headers {
            builder = builder.header(header.name, header.value);
        }
        Ok(Self {
            request: builder.body(request.body)?,
        })
    }

    /// Returns the HTTP method of the request.
    pub(crate) fn method(&self) -> &Method {
        self.request.method()
    }

    /// Sends the request. `timeout` limits the time until the end of the response.
    pub(crate) fn send(
        self,
        connection: &PeerConnection,
        timeout: Duration,
    ) -> Result<Response<Body>, ureq::Error> {
        let agent = connection.agent();
        let request = agent
            .configure_request(self.request)
            .timeout_connect(Some(connect_timeout(timeout)))
            .timeout_global(Some(timeout))
            .build();
        run(agent, request)
    }

    /// Sends the request and accepts a response of any duration up to `total`, as long as
    /// no wait for its next bytes takes longer than `pause`.
    pub(crate) fn send_and_download(
        self,
        connection: &PeerConnection,
        pause: Duration,
        total: Duration,
    ) -> Result<Response<Body>, ureq::Error> {
        let agent = connection.agent();
        let request = agent
            .configure_request(self.request)
            .timeout_connect(Some(connect_timeout(pause)))
            .timeout_send_request(Some(pause))
            .timeout_recv_response(Some(pause))
            .timeout_per_read(Some(pause))
            .timeout_global(Some(total))
            .build();
        run(agent, request)
    }

    /// Sends the request within `timeout`, then waits up to `wait` for the response head
    /// and up to `wait` for the body.
    pub(crate) fn send_and_wait(
        self,
        connection: &PeerConnection,
        timeout: Duration,
        wait: Duration,
    ) -> Result<Response<Body>, ureq::Error> {
        let agent = connection.agent();
        let request = agent
            .configure_request(self.request)
            .timeout_connect(Some(connect_timeout(timeout)))
            .timeout_send_request(Some(timeout))
            .timeout_send_body(Some(timeout))
            .timeout_recv_response(Some(wait))
            .timeout_recv_body(Some(wait))
            .build();
        agent.run(request)
    }
}

/// Sends a request, without a body if it is empty and the method does not call for one.
fn run(agent: &Agent, request: Request<&[u8]>) -> Result<Response<Body>, ureq::Error> {
    if request.body().is_empty() && !sends_content_length(request.method()) {
        return agent.run(request.map(|_| ()));
    }
    agent.run(request)
}

/// Returns the time limit for connecting.
///
/// It is shorter than that of the call, so that an unreachable peer is detected as a
/// failure to connect, which proves that nothing was sent.
fn connect_timeout(timeout: Duration) -> Duration {
    timeout / 2
}

/// Whether a request has a `Content-Length` header even if its body is empty.
fn sends_content_length(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

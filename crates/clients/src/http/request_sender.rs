//! A request that is ready to be sent.

use std::time::Duration;

use ureq::Agent;
use ureq::Body;
use ureq::http::Error;
use ureq::http::Method;
use ureq::http::Request;
use ureq::http::Response;

use crate::http::CallRequest;
use crate::http::PeerConnections;

/// A request that is ready to be sent, once.
pub(crate) struct RequestSender<'a> {
    agent: &'a Agent,
    request: Request<&'a [u8]>,
}

impl<'a> RequestSender<'a> {
    /// Checks a request to the peer of `connections`.
    pub(crate) fn build(
        connections: &'a PeerConnections,
        request: &CallRequest<'a>,
    ) -> Result<Self, Error> {
        let mut builder = Request::builder().method(request.method).uri(format!(
            "http://{}{}",
            connections.peer(),
            request.path
        ));
        for header in request.headers {
            builder = builder.header(header.name, header.value);
        }
        Ok(Self {
            agent: connections.agent(),
            request: builder.body(request.body)?,
        })
    }

    /// The method of the request.
    pub(crate) fn method(&self) -> &Method {
        self.request.method()
    }

    /// Sends the request and waits up to `timeout` for the end of the answer.
    pub(crate) fn send(self, timeout: Duration) -> Result<Response<Body>, ureq::Error> {
        let request = self
            .agent
            .configure_request(self.request)
            .timeout_connect(Some(connect_timeout(timeout)))
            .timeout_global(Some(timeout))
            .build();
        if request.body().is_empty() && !announces_body(request.method()) {
            return self.agent.run(request.map(|_| ()));
        }
        self.agent.run(request)
    }

    /// Sends the request within `timeout`, then waits up to `wait` for the head
    /// of the answer and up to `wait` for its body.
    pub(crate) fn send_and_wait(
        self,
        timeout: Duration,
        wait: Duration,
    ) -> Result<Response<Body>, ureq::Error> {
        let request = self
            .agent
            .configure_request(self.request)
            .timeout_connect(Some(connect_timeout(timeout)))
            .timeout_send_request(Some(timeout))
            .timeout_send_body(Some(timeout))
            .timeout_recv_response(Some(wait))
            .timeout_recv_body(Some(wait))
            .build();
        self.agent.run(request)
    }
}

/// Connecting has a shorter limit of its own, since a call that could not
/// connect is known not to be sent.
fn connect_timeout(timeout: Duration) -> Duration {
    timeout / 2
}

/// Whether a request announces its body even when that is empty.
fn announces_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

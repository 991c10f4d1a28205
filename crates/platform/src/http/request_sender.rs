//! A request that is ready to be sent.

use std::time::Duration;

use ureq::Agent;
use ureq::Body;
use ureq::http::Error;
use ureq::http::Method;
use ureq::http::Request;
use ureq::http::Response;

use crate::http::CallRequest;
use crate::http::PeerAddress;

/// A request that is ready to be sent, once.
pub(crate) struct RequestSender<'a> {
    agent: &'a Agent,
    request: Request<&'a [u8]>,
}

impl<'a> RequestSender<'a> {
    /// Checks a request to `peer`.
    pub(crate) fn build(
        agent: &'a Agent,
        peer: PeerAddress,
        request: &CallRequest<'a>,
    ) -> Result<Self, Error> {
        let mut builder = Request::builder()
            .method(request.method)
            .uri(format!("http://{peer}{}", request.path));
        for header in request.headers {
            builder = builder.header(header.name, header.value);
        }
        Ok(Self {
            agent,
            request: builder.body(request.body)?,
        })
    }

    /// The method of the request.
    pub(crate) fn method(&self) -> &Method {
        self.request.method()
    }

    /// Sends the request within the limits of the agent.
    pub(crate) fn send(self) -> Result<Response<Body>, ureq::Error> {
        let Self { agent, request } = self;
        if request.body().is_empty() && !announces_body(request.method()) {
            return agent.run(request.map(|_| ()));
        }
        agent.run(request)
    }

    /// Sends the request and waits up to `wait` for the head of the answer and
    /// up to `wait` for its body.
    pub(crate) fn send_and_wait(self, wait: Duration) -> Result<Response<Body>, ureq::Error> {
        let request = self
            .agent
            .configure_request(self.request)
            .timeout_global(None)
            .timeout_recv_response(Some(wait))
            .timeout_recv_body(Some(wait))
            .build();
        self.agent.run(request)
    }
}

/// Whether a request announces its body even when that is empty.
fn announces_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

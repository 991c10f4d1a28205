//! Makes calls.

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use oxhttp::Client;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::header::AUTHORIZATION;
use oxhttp::model::header::CONTENT_TYPE;

use crate::CallOptions;
use crate::client::CallAnswer;
use crate::client::CallFailure;
use crate::client::CallRequest;
use sapphirestile_core::StepError;

const ANSWER_BYTES_MAX: u64 = 64 * 1_048_576;
const UNAVAILABLE_STATUS: u16 = 503;

/// Calls the daemons of the options, one after the other.
pub struct OperatorClient<'o> {
    options: &'o CallOptions,
    timeout: Duration,
    client: Client,
}

impl<'o> OperatorClient<'o> {
    /// A client of the daemons in `options`.
    #[must_use]
    pub fn new(options: &'o CallOptions) -> Self {
        let timeout = Duration::from_millis(options.timeout_ms);
        Self {
            options,
            timeout,
            client: Client::new().with_global_timeout(timeout),
        }
    }

    /// Makes a call of the first daemon that can be reached.
    ///
    /// A read goes on to the next daemon after any failure, and after status
    /// 503. A change goes on only as long as nothing was sent.
    ///
    /// # Errors
    ///
    /// [`CallFailure`] when no daemon answered, with the step and the daemon.
    pub fn call(&self, request: &CallRequest<'_>) -> Result<CallAnswer, Report<CallFailure>> {
        let mut last = Err(Report::new(CallFailure::Unreachable));
        for daemon in &self.options.daemons {
            last = self.call_daemon(*daemon, request);
            let settled = match &last {
                Ok(answer) => request.changes() || answer.status != UNAVAILABLE_STATUS,
                Err(report) => {
                    request.changes() && *report.current_context() != CallFailure::Unreachable
                }
            };
            if settled {
                break;
            }
        }
        last
    }

    fn call_daemon(
        &self,
        daemon: SocketAddr,
        request: &CallRequest<'_>,
    ) -> Result<CallAnswer, Report<CallFailure>> {
        // A failed request does not say whether it was sent; a failed connection does.
        TcpStream::connect_timeout(&daemon, self.timeout)
            .change_context_lazy(|| StepError::new("connect", &daemon.to_string()))
            .change_context(CallFailure::Unreachable)?;
        self.exchange(daemon, request)
            .change_context(CallFailure::AnswerLost)
    }

    fn exchange(
        &self,
        daemon: SocketAddr,
        request: &CallRequest<'_>,
    ) -> Result<CallAnswer, Report<StepError>> {
        let failed = || StepError::new("call", &daemon.to_string());
        let mut builder = Request::builder()
            .method(request.method.clone())
            .uri(format!("http://{daemon}{}", request.path))
            .header(CONTENT_TYPE, "application/json");
        if let (true, Some(token)) = (request.changes(), &self.options.token) {
            builder = builder.header(AUTHORIZATION, format!("Bearer {}", token.as_str()));
        }
        let message = builder
            .body(Body::from(request.body.clone()))
            .change_context_lazy(failed)?;
        let response = self.client.request(message).change_context_lazy(failed)?;
        let status = response.status().as_u16();
        let mut body = Vec::new();
        response
            .into_body()
            .take(ANSWER_BYTES_MAX)
            .read_to_end(&mut body)
            .change_context_lazy(failed)?;
        Ok(CallAnswer {
            daemon,
            status,
            body,
        })
    }
}

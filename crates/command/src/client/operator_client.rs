//! Makes calls.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;

use crate::CallOptions;
use crate::client::CallAnswer;
use crate::client::CallFailure;
use crate::client::CallRequest;
use sapphirestile_clients::http::CallError;
use sapphirestile_clients::http::CallLimits;
use sapphirestile_clients::http::CallRequest as HttpRequest;
use sapphirestile_clients::http::HeaderView;
use sapphirestile_clients::http::HttpClient;
use sapphirestile_clients::http::PeerAddress;
use sapphirestile_core::StepError;

const STEP: &str = "call";
const ANSWER_BYTES_MAX: usize = 64 * 1_048_576;
const UNAVAILABLE_STATUS: u16 = 503;

/// Calls the daemons of the options, one after the other.
pub struct OperatorClient<'o> {
    options: &'o CallOptions,
    limits: CallLimits,
}

impl<'o> OperatorClient<'o> {
    /// A client of the daemons in `options`.
    #[must_use]
    pub const fn new(options: &'o CallOptions) -> Self {
        let limits = CallLimits {
            timeout: Duration::from_millis(options.timeout_ms),
            response_max_bytes: ANSWER_BYTES_MAX,
        };
        Self { options, limits }
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
        let peer = PeerAddress::try_from(daemon)
            .change_context_lazy(|| StepError::new(STEP, &daemon.to_string()))
            .change_context(CallFailure::Unreachable)?;
        let authorization = self.authorization(request);
        let headers = header_views(authorization.as_deref());
        let message = HttpRequest {
            method: request.method,
            path: request.path,
            headers: &headers,
            body: &request.body,
        };
        let answer = HttpClient::new(peer, self.limits)
            .call(STEP, &message)
            .map_err(failure_of)?;
        Ok(CallAnswer {
            daemon,
            status: answer.status,
            body: answer.body,
        })
    }

    fn authorization(&self, request: &CallRequest<'_>) -> Option<String> {
        let token = self.options.token.as_ref().filter(|_| request.changes())?;
        Some(format!("Bearer {}", token.as_str()))
    }
}

fn header_views(authorization: Option<&str>) -> Vec<HeaderView<'_>> {
    let mut headers = vec![HeaderView {
        name: "content-type",
        value: b"application/json",
    }];
    headers.extend(authorization.map(|value| HeaderView {
        name: "authorization",
        value: value.as_bytes(),
    }));
    headers
}

fn failure_of(report: Report<CallError>) -> Report<CallFailure> {
    let failure = match report.current_context() {
        CallError::NotSent => CallFailure::Unreachable,
        CallError::Unknown => CallFailure::AnswerLost,
    };
    report.change_context(failure)
}

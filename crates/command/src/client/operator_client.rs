//! Client that tries several daemons in order.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;

use crate::GlobalOptions;
use crate::client::ClientError;
use crate::client::OperatorRequest;
use crate::client::OperatorResponse;
use sapphirestile_clients::http::CallError;
use sapphirestile_clients::http::CallLimits;
use sapphirestile_clients::http::CallRequest;
use sapphirestile_clients::http::HeaderView;
use sapphirestile_clients::http::HttpClient;
use sapphirestile_clients::http::PeerAddress;
use sapphirestile_core::StepError;

const STEP: &str = "call";
const RESPONSE_BYTES_MAX: usize = 64 * 1_048_576;
const UNAVAILABLE_STATUS: u16 = 503;

/// Sends requests to the daemons in [`GlobalOptions`], one after the other.
pub struct OperatorClient<'o> {
    options: &'o GlobalOptions,
    limits: CallLimits,
}

impl<'o> OperatorClient<'o> {
    /// A client with the daemons, the token and the timeout in `options`. It opens no
    /// connection.
    #[must_use]
    pub const fn new(options: &'o GlobalOptions) -> Self {
        let limits = CallLimits {
            timeout: Duration::from_millis(options.timeout_ms),
            response_max_bytes: RESPONSE_BYTES_MAX,
        };
        Self { options, limits }
    }

    /// Sends a request to the first daemon that can be reached.
    ///
    /// A read is sent to the next daemon after any error and after status 503. A
    /// change is sent to the next daemon only if it was not sent to this one, so that
    /// it is not carried out twice.
    ///
    /// # Errors
    ///
    /// The [`ClientError`] of the daemon that was tried last, with the step and the
    /// address. [`ClientError::Unreachable`] means that no daemon received a change.
    pub fn call(
        &self,
        request: &OperatorRequest<'_>,
    ) -> Result<OperatorResponse, Report<ClientError>> {
        let mut result = Err(Report::new(ClientError::Unreachable));
        for daemon in &self.options.daemons {
            result = self.call_daemon(*daemon, request);
            let is_final = match &result {
                Ok(response) => request.is_write() || response.status != UNAVAILABLE_STATUS,
                Err(report) => {
                    request.is_write() && *report.current_context() != ClientError::Unreachable
                }
            };
            if is_final {
                break;
            }
        }
        result
    }

    fn call_daemon(
        &self,
        daemon: SocketAddr,
        request: &OperatorRequest<'_>,
    ) -> Result<OperatorResponse, Report<ClientError>> {
        let peer = PeerAddress::try_from(daemon)
            .change_context_lazy(|| StepError::new(STEP, &daemon.to_string()))
            .change_context(ClientError::Unreachable)?;
        let authorization = self.authorization(request);
        let headers = request_headers(authorization.as_deref());
        let http_request = CallRequest {
            method: request.method,
            path: request.path,
            headers: &headers,
            body: &request.body,
        };
        let response = HttpClient::new(peer, self.limits)
            .call(STEP, &http_request)
            .map_err(client_error)?;
        Ok(OperatorResponse {
            daemon,
            status: response.status,
            body: response.body,
        })
    }

    fn authorization(&self, request: &OperatorRequest<'_>) -> Option<String> {
        let token = self.options.token.as_ref().filter(|_| request.is_write())?;
        Some(format!("Bearer {}", token.as_str()))
    }
}

fn request_headers(authorization: Option<&str>) -> Vec<HeaderView<'_>> {
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

fn client_error(report: Report<CallError>) -> Report<ClientError> {
    let error = match report.current_context() {
        CallError::NotSent => ClientError::Unreachable,
        CallError::Unknown => ClientError::ResponseLost,
    };
    report.change_context(error)
}

//! Conversion of responses into results and errors.

use error_stack::Report;
use serde::Deserialize;

use crate::client::ClientError;
use crate::client::OperatorResponse;
use crate::operations::OperationError;
use sapphirestile_core::StepError;
use sapphirestile_wire::api::CallRefusal;

const OK_STATUS: u16 = 200;
/// Statuses of refusals that may succeed later: the body arrived too slowly (408), too
/// many wrong tokens were sent (429), the daemon cannot do it now (503).
const RETRYABLE_STATUSES: [u16; 3] = [408, 429, 503];

/// Decodes the body of a response with status 200; converts any other response into an
/// error that names the daemon.
///
/// `specific_error` decodes error bodies that only this kind of request has. When it
/// returns `None`, the body is decoded as a [`CallRefusal`]. A body that cannot be
/// decoded does not tell what was done: [`OperationError::Unknown`].
pub(super) fn interpret_response<T: for<'de> Deserialize<'de>>(
    response: &OperatorResponse,
    specific_error: impl FnOnce(&OperatorResponse) -> Option<OperationError>,
) -> Result<T, Report<OperationError>> {
    if response.status == OK_STATUS {
        return serde_json::from_slice(&response.body).map_err(|error| {
            let reason = format!("response with status 200 could not be decoded: {error}");
            report_at(response, OperationError::Unknown { reason })
        });
    }
    let error = specific_error(response).unwrap_or_else(|| interpret_refusal(response));
    Err(report_at(response, error))
}

/// Converts the error of a request without a response.
pub(super) fn interpret_client_error(report: Report<ClientError>) -> Report<OperationError> {
    let error = match report.current_context() {
        ClientError::Unreachable => OperationError::Unreachable,
        ClientError::ResponseLost => OperationError::Unknown {
            reason: "no complete response arrived".to_owned(),
        },
    };
    report.change_context(error)
}

fn interpret_refusal(response: &OperatorResponse) -> OperationError {
    match serde_json::from_slice::<CallRefusal>(&response.body) {
        Ok(refusal) => classify_refusal(response.status, refusal),
        Err(_) => OperationError::Unknown {
            reason: format!(
                "response with status {} has no valid error body",
                response.status
            ),
        },
    }
}

fn classify_refusal(status: u16, refusal: CallRefusal) -> OperationError {
    let reason = refusal.reason;
    let is_retryable = RETRYABLE_STATUSES.contains(&status);
    match (refusal.not_run, is_retryable) {
        (false, _) => OperationError::Unknown { reason },
        (true, true) => OperationError::NotRun { reason },
        (true, false) => OperationError::Refused { reason },
    }
}

fn report_at(response: &OperatorResponse, error: OperationError) -> Report<OperationError> {
    let step = StepError::new("read response", &response.daemon.to_string());
    Report::new(step).change_context(error)
}

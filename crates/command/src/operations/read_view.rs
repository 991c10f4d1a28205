//! Reads of a view.

use error_stack::Report;
use serde::Deserialize;

use crate::client::OperatorClient;
use crate::client::OperatorRequest;
use crate::operations::OperationError;
use crate::operations::interpret_response::interpret_client_error;
use crate::operations::interpret_response::interpret_response;

/// Sends a `GET` of `path` and decodes the JSON response.
///
/// # Errors
///
/// [`OperationError`], never [`OperationError::Unknown`]: a read changes nothing, so a
/// lost or invalid response is reported as [`OperationError::Unreachable`].
pub fn read_view<T: for<'de> Deserialize<'de>>(
    client: &OperatorClient<'_>,
    path: &str,
) -> Result<T, Report<OperationError>> {
    let response = client
        .call(&OperatorRequest::get(path))
        .map_err(interpret_client_error);
    let view = response.and_then(|response| interpret_response(&response, |_| None));
    view.map_err(|report| match report.current_context() {
        OperationError::Unknown { .. } => report.change_context(OperationError::Unreachable),
        _ => report,
    })
}

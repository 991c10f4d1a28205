//! Reads one view.

use error_stack::Report;
use serde::Deserialize;

use crate::client::CallRequest;
use crate::client::OperatorClient;
use crate::operations::OperationFault;
use crate::operations::judge_answer::judge_answer;
use crate::operations::judge_answer::judge_failure;

/// Reads the view at `path`.
///
/// # Errors
///
/// [`OperationFault`]; a read changes nothing, so a lost answer counts as a
/// daemon that could not be reached.
pub fn read_view<T: for<'de> Deserialize<'de>>(
    client: &OperatorClient<'_>,
    path: &str,
) -> Result<T, Report<OperationFault>> {
    let answer = client.call(&CallRequest::read(path)).map_err(judge_failure);
    let view = answer.and_then(|answer| judge_answer(&answer, |_| None));
    view.map_err(|report| match report.current_context() {
        OperationFault::Unknown { .. } => report.change_context(OperationFault::Unreachable),
        _ => report,
    })
}

//! Cancellation of a job.

use error_stack::Report;

use crate::client::OperatorClient;
use crate::client::OperatorRequest;
use crate::operations::OperationError;
use crate::operations::change_document::is_outcome_unknown;
use crate::operations::interpret_response::interpret_client_error;
use crate::operations::interpret_response::interpret_response;
use crate::operations::read_view;
use sapphirestile_core::JobName;
use sapphirestile_wire::api::JobState;
use sapphirestile_wire::api::JobView;

/// Cancels a job. When the outcome is unknown, reads the job back: a cancelled job
/// counts as success. Repeating a cancellation has no further effect.
///
/// # Errors
///
/// [`OperationError`]; [`OperationError::Unknown`] when the job cannot be read back or
/// is not cancelled yet.
pub fn cancel_job(
    client: &OperatorClient<'_>,
    job: &JobName,
) -> Result<JobView, Report<OperationError>> {
    let path = format!("/v1/jobs/{job}/cancel");
    let outcome = client
        .call(&OperatorRequest::post(&path, Vec::new()))
        .map_err(interpret_client_error);
    match outcome.and_then(|response| interpret_response(&response, |_| None)) {
        Err(report) if is_outcome_unknown(&report) => resolve_unknown(client, job).ok_or(report),
        outcome => outcome,
    }
}

fn resolve_unknown(client: &OperatorClient<'_>, job: &JobName) -> Option<JobView> {
    let view = read_view::<JobView>(client, &format!("/v1/jobs/{job}")).ok()?;
    (view.state == JobState::Cancelled).then_some(view)
}

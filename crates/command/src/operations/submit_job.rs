//! Submission of a job.

use error_stack::Report;

use crate::client::OperatorClient;
use crate::client::OperatorRequest;
use crate::client::OperatorResponse;
use crate::operations::OperationError;
use crate::operations::change_document::is_outcome_unknown;
use crate::operations::interpret_response::interpret_client_error;
use crate::operations::interpret_response::interpret_response;
use crate::operations::read_view;
use sapphirestile_wire::api::JobConflict;
use sapphirestile_wire::api::JobSubmission;
use sapphirestile_wire::api::JobView;

const CONFLICT_STATUS: u16 = 409;

/// Submits a job. When the outcome is unknown, reads the job back: a job with an
/// identical submission counts as success, another submission as
/// [`OperationError::NameTaken`].
///
/// # Errors
///
/// [`OperationError`]; [`OperationError::Unknown`] only when the job cannot be read
/// back. The same submission may then be sent again: it creates no second job.
///
/// # Panics
///
/// Never: texts and numbers always encode as JSON.
pub fn submit_job(
    client: &OperatorClient<'_>,
    submission: &JobSubmission,
) -> Result<JobView, Report<OperationError>> {
    let body = serde_json::to_vec(submission).expect("a submission always encodes as JSON");
    let request = OperatorRequest::post("/v1/jobs", body);
    let outcome = client.call(&request).map_err(interpret_client_error);
    match outcome.and_then(|response| interpret_response(&response, name_taken_error)) {
        Err(report) if is_outcome_unknown(&report) => resolve_unknown(client, submission, report),
        outcome => outcome,
    }
}

fn name_taken_error(response: &OperatorResponse) -> Option<OperationError> {
    if response.status != CONFLICT_STATUS {
        return None;
    }
    let conflict = serde_json::from_slice::<JobConflict>(&response.body).ok()?;
    let current = conflict.current;
    Some(OperationError::NameTaken { current })
}

fn resolve_unknown(
    client: &OperatorClient<'_>,
    submission: &JobSubmission,
    report: Report<OperationError>,
) -> Result<JobView, Report<OperationError>> {
    let path = format!("/v1/jobs/{}", submission.job);
    match read_view::<JobView>(client, &path) {
        Ok(view) if view.submission == *submission => Ok(view),
        Ok(view) => {
            let current = view.submission;
            Err(report.change_context(OperationError::NameTaken { current }))
        }
        Err(_) => Err(report),
    }
}

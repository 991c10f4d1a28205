//! Submits a job.

use error_stack::Report;

use crate::client::CallAnswer;
use crate::client::CallRequest;
use crate::client::OperatorClient;
use crate::operations::OperationFault;
use crate::operations::change_document::is_unknown;
use crate::operations::judge_answer::judge_answer;
use crate::operations::judge_answer::judge_failure;
use crate::operations::read_view;
use sapphirestile_wire::api::JobConflict;
use sapphirestile_wire::api::JobSubmission;
use sapphirestile_wire::api::JobView;

const CONFLICT_STATUS: u16 = 409;

/// Submits a job; a lost answer is settled by reading the job back.
///
/// # Errors
///
/// [`OperationFault`]; it is unknown only when the job cannot be read back. The
/// same submission may then be sent again: it is one job.
///
/// # Panics
///
/// Never: texts and numbers always encode.
pub fn submit_job(
    client: &OperatorClient<'_>,
    submission: &JobSubmission,
) -> Result<JobView, Report<OperationFault>> {
    let body = serde_json::to_vec(submission).expect("a submission always encodes");
    let request = CallRequest::post("/v1/jobs", body);
    let outcome = client.call(&request).map_err(judge_failure);
    match outcome.and_then(|answer| judge_answer(&answer, name_taken)) {
        Err(report) if is_unknown(&report) => read_back(client, submission, report),
        outcome => outcome,
    }
}

fn name_taken(answer: &CallAnswer) -> Option<OperationFault> {
    if answer.status != CONFLICT_STATUS {
        return None;
    }
    let conflict = serde_json::from_slice::<JobConflict>(&answer.body).ok()?;
    let current = conflict.current;
    Some(OperationFault::NameTaken { current })
}

fn read_back(
    client: &OperatorClient<'_>,
    submission: &JobSubmission,
    report: Report<OperationFault>,
) -> Result<JobView, Report<OperationFault>> {
    let path = format!("/v1/jobs/{}", submission.job);
    match read_view::<JobView>(client, &path) {
        Ok(view) if view.submission == *submission => Ok(view),
        Ok(view) => {
            let current = view.submission;
            Err(report.change_context(OperationFault::NameTaken { current }))
        }
        Err(_) => Err(report),
    }
}

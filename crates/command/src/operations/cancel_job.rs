//! Cancels a job.

use error_stack::Report;

use crate::client::CallRequest;
use crate::client::OperatorClient;
use crate::operations::OperationFault;
use crate::operations::change_document::is_unknown;
use crate::operations::judge_answer::judge_answer;
use crate::operations::judge_answer::judge_failure;
use crate::operations::read_view;
use sapphirestile_core::JobName;
use sapphirestile_wire::api::JobState;
use sapphirestile_wire::api::JobView;

/// Cancels a job; a lost answer is settled by reading the job back.
///
/// # Errors
///
/// [`OperationFault`]; it is unknown when the job is not seen cancelled. Cancelling
/// twice does no harm.
pub fn cancel_job(
    client: &OperatorClient<'_>,
    job: &JobName,
) -> Result<JobView, Report<OperationFault>> {
    let path = format!("/v1/jobs/{job}/cancel");
    let outcome = client
        .call(&CallRequest::post(&path, Vec::new()))
        .map_err(judge_failure);
    match outcome.and_then(|answer| judge_answer(&answer, |_| None)) {
        Err(report) if is_unknown(&report) => read_back(client, job).ok_or(report),
        outcome => outcome,
    }
}

fn read_back(client: &OperatorClient<'_>, job: &JobName) -> Option<JobView> {
    let view = read_view::<JobView>(client, &format!("/v1/jobs/{job}")).ok()?;
    (view.state == JobState::Cancelled).then_some(view)
}

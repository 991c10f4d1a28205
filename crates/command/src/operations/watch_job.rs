//! Follows a job to its end.

use error_stack::Report;

use crate::client::OperatorClient;
use crate::operations::OperationFault;
use crate::operations::WatchPace;
use crate::operations::read_view;
use sapphirestile_core::JobName;
use sapphirestile_wire::api::JobState;
use sapphirestile_wire::api::JobView;

/// Reads a job until it has ended, and hands each view that differs from the one
/// before to `progress`.
///
/// # Errors
///
/// [`OperationFault`] when a read is refused, or when too many in a row fail.
pub fn watch_job(
    client: &OperatorClient<'_>,
    job: &JobName,
    pace: &WatchPace,
    mut progress: impl FnMut(&JobView),
) -> Result<JobView, Report<OperationFault>> {
    let path = format!("/v1/jobs/{job}");
    let mut failures = 0;
    let mut last = None;
    loop {
        match read_view::<JobView>(client, &path) {
            Ok(view) => {
                failures = 0;
                if last.as_ref() != Some(&view) {
                    progress(&view);
                }
                if has_ended(view.state) {
                    return Ok(view);
                }
                last = Some(view);
            }
            Err(report) => {
                failures += 1;
                if failures > pace.failures_max || !may_pass(report.current_context()) {
                    return Err(report);
                }
            }
        }
        std::thread::sleep(pace.every);
    }
}

const fn has_ended(state: JobState) -> bool {
    matches!(
        state,
        JobState::Finished | JobState::Failed | JobState::Cancelled
    )
}

const fn may_pass(fault: &OperationFault) -> bool {
    matches!(
        fault,
        OperationFault::Unreachable | OperationFault::NotRun { .. }
    )
}

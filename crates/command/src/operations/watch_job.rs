//! Polling of a job until it ends.

use error_stack::Report;

use crate::client::OperatorClient;
use crate::operations::OperationError;
use crate::operations::PollSettings;
use crate::operations::read_view;
use sapphirestile_core::JobName;
use sapphirestile_wire::api::JobState;
use sapphirestile_wire::api::JobView;

/// Reads a job repeatedly until it finishes, fails or is cancelled, and returns the
/// last view. Calls `progress` with each view that differs from the previous one.
///
/// # Errors
///
/// [`OperationError`] when a read is refused, or when more reads in a row fail than
/// `settings` allow.
pub fn watch_job(
    client: &OperatorClient<'_>,
    job: &JobName,
    settings: &PollSettings,
    mut progress: impl FnMut(&JobView),
) -> Result<JobView, Report<OperationError>> {
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
                if failures > settings.consecutive_failures_max
                    || !is_retryable(report.current_context())
                {
                    return Err(report);
                }
            }
        }
        std::thread::sleep(settings.interval);
    }
}

const fn has_ended(state: JobState) -> bool {
    matches!(
        state,
        JobState::Finished | JobState::Failed | JobState::Cancelled
    )
}

const fn is_retryable(error: &OperationError) -> bool {
    matches!(
        error,
        OperationError::Unreachable | OperationError::NotRun { .. }
    )
}

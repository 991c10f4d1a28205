//! Comparison of merged reports with the attempts on the worker.

use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::FullReport;
use sapphirestile_cells::MergeError;
use sapphirestile_cells::ReportChanges;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;

/// The reported checkpoint of a running attempt differs by less than this from the one on the
/// worker, in milliseconds of run time. Checkpoints of ended attempts have to be equal.
const CHECKPOINT_LAG_MAX_MS: u64 = 60_000;

/// Checks that a merged report lists the attempts that were on the worker when it answered.
/// Skipped when the owner holds another report than the one of this answer.
pub(super) fn check_merged_report(
    merged: Result<(), MergeError>,
    report: Option<&FullReport>,
    changes: &ReportChanges,
    attempts: &[AttemptReport],
) -> Result<(), String> {
    if let Err(error) = merged {
        return Err(format!("merging a worker's answer failed: {error}"));
    }
    let current = report.filter(|report| report.mark() == Some(changes.mark));
    let Some(report) = current else {
        return Ok(());
    };
    let same_attempts = report
        .tasks()
        .iter()
        .map(attempt_key)
        .eq(attempts.iter().map(attempt_key));
    if !same_attempts {
        return Err(format!(
            "merged report has {:?}, but the worker had {attempts:?}",
            report.tasks()
        ));
    }
    let mut rows = report.tasks().iter().zip(attempts);
    if rows.any(|(reported, actual)| is_outdated(reported, actual)) {
        return Err(format!(
            "checkpoints in the merged report {:?} lag too far behind those on the worker \
             {attempts:?}",
            report.tasks()
        ));
    }
    Ok(())
}

const fn attempt_key(report: &AttemptReport) -> (&TaskName, AttemptNumber, ReportedPhase) {
    (&report.task, report.attempt, report.phase)
}

fn is_outdated(reported: &AttemptReport, actual: &AttemptReport) -> bool {
    let running = actual.phase == ReportedPhase::Running;
    let allowed_ms = if running { CHECKPOINT_LAG_MAX_MS } else { 1 };
    actual.checkpoint_ms.abs_diff(reported.checkpoint_ms) >= allowed_ms
}

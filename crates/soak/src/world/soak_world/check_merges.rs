//! Merged reports against what was on the worker.

use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::FullReport;
use sapphirestile_cells::MergeError;
use sapphirestile_cells::ReportChanges;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;

const CHECKPOINT_LAG_MAX_MS: u64 = 60_000;

/// Checks that a merged report shows what the worker held when it answered.
pub(super) fn check_merge(
    merged: Result<(), MergeError>,
    whole: Option<&FullReport>,
    changes: &ReportChanges,
    held: &[AttemptReport],
) -> Result<(), String> {
    if let Err(fault) = merged {
        return Err(format!("an answer was not merged: {fault}"));
    }
    let taken = whole.filter(|whole| whole.mark() == Some(changes.mark));
    let Some(whole) = taken else {
        return Ok(());
    };
    let same = whole.tasks().iter().map(key_of).eq(held.iter().map(key_of));
    if !same {
        return Err(format!("merged to {:?}, and held {held:?}", whole.tasks()));
    }
    let mut rows = whole.tasks().iter().zip(held);
    if rows.any(|(shown, real)| lags(shown, real)) {
        return Err(format!(
            "merged to {:?}, long after {held:?}",
            whole.tasks()
        ));
    }
    Ok(())
}

const fn key_of(sighting: &AttemptReport) -> (&TaskName, AttemptNumber, ReportedPhase) {
    (&sighting.task, sighting.attempt, sighting.phase)
}

fn lags(shown: &AttemptReport, real: &AttemptReport) -> bool {
    let running = real.phase == ReportedPhase::Running;
    let allowed_ms = if running { CHECKPOINT_LAG_MAX_MS } else { 1 };
    real.checkpoint_ms.abs_diff(shown.checkpoint_ms) >= allowed_ms
}

//! Paces of a run whose job had waited too long.

use sapphirestile_jobs::BestEffortRun;
use sapphirestile_jobs::ImageTable;
use sapphirestile_jobs::InterferenceModel;
use sapphirestile_jobs::PaceAction;
use sapphirestile_jobs::PacePlan;
use sapphirestile_jobs::PairEstimate;
use sapphirestile_jobs::ServingRun;
use test_case::test_case;

use crate::test_values::task_identity;

/// The model cannot find out that it is wrong while a run is paused.
#[test_case(true, Some(30); "overdue")]
#[test_case(false, None; "other")]
fn paused_run_goes_on_slowly_whatever_is_predicted_only_if_overdue(
    is_overdue: bool,
    expected: Option<u32>,
) {
    let mut images = ImageTable::default();
    let (resize, desk) = (images.number("resize"), images.number("desk"));
    let mut model = InterferenceModel::default();
    let estimate = PairEstimate {
        load: 3.0,
        measurements: 10,
    };
    model.restore_estimate((resize, desk), estimate);
    model.restore_lowest(desk, 20);
    let task = task_identity("aaaaaaaaaaaaaaaa.0.0.0");
    let paused = BestEffortRun {
        task,
        image: resize,
        processors: 1.0,
        used_processors: 0.0,
        pace_percent: 0,
        can_move: false,
        is_overdue,
    };
    let serving = ServingRun {
        job: task_identity("dddddddddddddddd.0.0.0").job,
        image: desk,
        latency_ms: 40,
        target_ms: 100,
    };
    let plan = PacePlan {
        model: &model,
        serving: &[serving],
        best_effort: &[paused],
    };
    let pace = |percent| PaceAction::Pace { task, percent };
    assert_eq!(
        plan.actions(),
        expected.map(pace).into_iter().collect::<Vec<_>>()
    );
}

//! Plans of paces, from measurements of one worker.

use sapphirestile_jobs::BestEffortRun;
use sapphirestile_jobs::ImageTable;
use sapphirestile_jobs::InterferenceModel;
use sapphirestile_jobs::PaceAction;
use sapphirestile_jobs::PacePlan;
use sapphirestile_jobs::PairEstimate;
use sapphirestile_jobs::ServingRun;
use sapphirestile_jobs::TaskIdentity;

/// Guards against a latency that stays high while runs are slowed down one at a time.
#[test]
fn runs_that_are_slowed_down_first_count_only_for_what_that_removes() {
    let mut images = ImageTable::default();
    let (resize, desk) = (images.number("resize"), images.number("desk"));
    let mut model = InterferenceModel::default();
    model.restore_lowest(desk, 20);
    let estimate = PairEstimate {
        load: 0.05,
        measurements: 100,
    };
    model.restore_estimate((resize, desk), estimate);
    let run_of = |task| BestEffortRun {
        task: TaskIdentity::try_from(task).unwrap(),
        image: resize,
        processors: 3.0,
        used_processors: 3.0,
        pace_percent: 100,
        can_move: true,
        is_slowed_first: true,
    };
    let best_effort = ["aaaaaaaaaaaaaaaa.0.0.0", "bbbbbbbbbbbbbbbb.0.0.0"].map(run_of);
    let serving = [ServingRun {
        job: TaskIdentity::try_from("dddddddddddddddd.0.0.0")
            .unwrap()
            .job,
        image: desk,
        latency_ms: 100,
        target_ms: 100,
    }];
    let plan = PacePlan {
        model: &model,
        serving: &serving,
        best_effort: &best_effort,
    };
    let expected = best_effort.each_ref().map(|run| PaceAction::Pace {
        task: run.task,
        percent: PacePlan::LOWEST_PERCENT,
    });
    assert_eq!(plan.actions(), expected);
}

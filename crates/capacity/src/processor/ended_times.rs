//! What ended tasks cost that are not forgotten yet.

use crate::ResultTable;
use crate::processor::cell_times::observe;
use crate::processor::cell_times::plan;
use crate::report::TimeSample;
use crate::report::nanos_of;
use crate::scenes::CellScene;
use crate::scenes::CellSize;

const WORKERS: usize = 140;
const RUNNING: u32 = 3_000;

pub fn ended_times(rounds: usize) -> ResultTable {
    let mut table = ResultTable::new(
        "Cell of 3,000 running tasks by its other tasks, us: median (least to most)",
        &[
            "ended",
            "waiting",
            "a report",
            "a plan",
            "look for old jobs",
            "look for waiting",
            "clone the state",
        ],
    );
    let sizes = [
        (0, 0),
        (2_500, 0),
        (5_000, 0),
        (0, 1_000),
        (0, 3_000),
        (0, 10_000),
    ];
    for (ended, waiting) in sizes {
        let mut scene = CellScene::build(CellSize {
            workers: WORKERS,
            running: RUNNING,
            waiting,
            ended,
        });
        let report = TimeSample::gather(rounds, || observe(&mut scene));
        let plan = TimeSample::gather(rounds, || plan_and_settle(&mut scene));
        let now = scene.now;
        let forget = TimeSample::gather(rounds, || nanos_of(1, || scene.owner.forget_old(now, 0)));
        let look = TimeSample::gather(rounds, || nanos_of(1, || scene.owner.has_waiting()));
        let state = scene.owner.state();
        let clone = TimeSample::gather(rounds, || nanos_of(1, || state.clone()));
        table.add(&[&ended, &waiting, &report, &plan, &forget, &look, &clone]);
    }
    table
}

/// Nanoseconds of one plan; what it starts is committed outside the measurement.
fn plan_and_settle(scene: &mut CellScene) -> u128 {
    let nanos = plan(scene);
    scene.commit();
    nanos
}

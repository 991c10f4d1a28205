//! Processor time of a cell owner by its ended and waiting tasks. The owner keeps ended
//! tasks until it forgets their job.

use crate::ResultTable;
use crate::fixtures::CellFixture;
use crate::fixtures::CellSize;
use crate::processor::cell_times::time_plan;
use crate::processor::cell_times::time_report;
use crate::report::TimingSummary;
use crate::report::nanos_per_unit;

const WORKERS: usize = 140;
const RUNNING: u32 = 3_000;

/// Measures a cell of 3,000 running tasks with different numbers of ended or waiting tasks.
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
        let mut fixture = CellFixture::build(CellSize {
            workers: WORKERS,
            running: RUNNING,
            waiting,
            ended,
        });
        let report = TimingSummary::measure(rounds, || time_report(&mut fixture));
        let plan = TimingSummary::measure(rounds, || time_plan_and_commit(&mut fixture));
        let now = fixture.now;
        let forget = TimingSummary::measure(rounds, || {
            nanos_per_unit(1, || fixture.owner.forget_old(now, 0))
        });
        let find_waiting =
            TimingSummary::measure(rounds, || nanos_per_unit(1, || fixture.owner.has_waiting()));
        let state = fixture.owner.state();
        let clone = TimingSummary::measure(rounds, || nanos_per_unit(1, || state.clone()));
        table.add(&[
            &ended,
            &waiting,
            &report,
            &plan,
            &forget,
            &find_waiting,
            &clone,
        ]);
    }
    table
}

/// Returns the nanoseconds of one planning run. Its starts are committed outside the
/// measured time.
fn time_plan_and_commit(fixture: &mut CellFixture) -> u128 {
    let nanos = time_plan(fixture);
    fixture.commit();
    nanos
}

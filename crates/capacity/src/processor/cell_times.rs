//! Processor time of the owner of a cell, by running tasks and workers.

use crate::ResultTable;
use crate::fixtures::CellFixture;
use crate::fixtures::CellSize;
use crate::processor::start_times::StartTimes;
use crate::report::TimingSummary;
use crate::report::nanos_per_unit;

const STARTS_MAX: usize = 200;

/// Measures planning, reports, commits and snapshots of a cell owner over several sizes.
pub fn cell_times(rounds: usize) -> ResultTable {
    let mut table = ResultTable::new(
        "Owner of a cell, us: median (least to most)",
        &[
            "running",
            "workers",
            "set workers",
            "a report",
            "a plan, none waiting",
            "a plan of 3 starts",
            "take and settle a batch",
            "clone a snapshot",
            "encode a snapshot",
        ],
    );
    let sizes = [
        (300, 35),
        (1_000, 70),
        (3_000, 140),
        (1_500, 70),
        (6_000, 280),
    ];
    for (running, workers) in sizes {
        let size = CellSize {
            workers,
            running,
            ..CellSize::default()
        };
        let mut fixture = CellFixture::build(size);
        let set = TimingSummary::measure(rounds, || time_set_workers(&mut fixture));
        let report = TimingSummary::measure(rounds, || time_report(&mut fixture));
        let idle_plan = TimingSummary::measure(rounds, || time_plan(&mut fixture));
        let rows = (0..rounds).map(|round| StartTimes::measure(&mut fixture, round));
        let rows: Vec<StartTimes> = rows.collect();
        let column = |field: fn(&StartTimes) -> u128| {
            let mut values = rows.iter().map(field);
            TimingSummary::measure(rounds, || values.next().expect("every round has one value"))
        };
        table.add(&[
            &running,
            &workers,
            &set,
            &report,
            &idle_plan,
            &column(|row| row.planning),
            &column(|row| row.settling),
            &column(|row| row.cloning),
            &column(|row| row.encoding),
        ]);
    }
    table
}

/// Returns the mean nanoseconds to process one worker report, over the reports of one
/// second.
pub fn time_report(fixture: &mut CellFixture) -> u128 {
    let reports = fixture.due_reports();
    nanos_per_unit(reports.len(), || {
        for report in &reports {
            fixture.owner.observe_report(&report.view());
        }
    })
}

/// Returns the nanoseconds of one planning run.
pub fn time_plan(fixture: &mut CellFixture) -> u128 {
    let now = fixture.now;
    nanos_per_unit(1, || fixture.owner.plan_starts(now, STARTS_MAX))
}

/// Returns the nanoseconds to pass an unchanged worker list to the owner.
fn time_set_workers(fixture: &mut CellFixture) -> u128 {
    let (workers, now) = (fixture.workers.clone(), fixture.now);
    nanos_per_unit(1, || fixture.owner.set_workers(&workers, now))
}

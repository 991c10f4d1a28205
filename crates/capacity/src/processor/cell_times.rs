//! The owner of a cell.

use crate::ResultTable;
use crate::processor::start_times::StartTimes;
use crate::report::TimeSample;
use crate::report::nanos_of;
use crate::scenes::CellScene;
use crate::scenes::CellSize;

const STARTS_LIMIT: usize = 200;

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
        let mut scene = CellScene::build(size);
        let set = TimeSample::gather(rounds, || set_workers(&mut scene));
        let report = TimeSample::gather(rounds, || observe(&mut scene));
        let idle = TimeSample::gather(rounds, || plan(&mut scene));
        let rows = (0..rounds).map(|round| StartTimes::measure(&mut scene, round));
        let rows: Vec<StartTimes> = rows.collect();
        let column = |pick: fn(&StartTimes) -> u128| {
            let mut values = rows.iter().map(pick);
            TimeSample::gather(rounds, || values.next().expect("one value a round"))
        };
        table.add(&[
            &running,
            &workers,
            &set,
            &report,
            &idle,
            &column(|row| row.planning),
            &column(|row| row.settling),
            &column(|row| row.cloning),
            &column(|row| row.encoding),
        ]);
    }
    table
}

/// Nanoseconds of taking one report, over the reports of one second.
pub fn observe(scene: &mut CellScene) -> u128 {
    let reports = scene.due_reports();
    nanos_of(reports.len(), || {
        for report in &reports {
            scene.owner.observe_report(&report.view());
        }
    })
}

/// Nanoseconds of one plan.
pub fn plan(scene: &mut CellScene) -> u128 {
    let now = scene.now;
    nanos_of(1, || scene.owner.plan_starts(now, STARTS_LIMIT))
}

fn set_workers(scene: &mut CellScene) -> u128 {
    let (facts, now) = (scene.facts.clone(), scene.now);
    nanos_of(1, || scene.owner.set_workers(&facts, now))
}

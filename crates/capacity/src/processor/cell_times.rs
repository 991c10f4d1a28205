//! The owner of a cell.

use crate::ResultTable;
use crate::report::TimeSample;
use crate::report::nanos_of;
use crate::scenes::CellScene;
use crate::scenes::CellSize;

/// About what a cell starts between two commits at the peak: 630 starts a second
/// over 64 cells, a commit each 250 ms.
const STARTS: u32 = 3;
const STARTS_LIMIT: usize = 200;
const JOBS_FROM: usize = 700_000;

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
        let mut rows = (0..rounds).map(|round| starts(&mut scene, round));
        let rows: Vec<(u128, u128, u128, u128)> = rows.by_ref().collect();
        let column = |pick: fn(&(u128, u128, u128, u128)) -> u128| {
            let mut values = rows.iter().map(pick);
            TimeSample::gather(rounds, || values.next().expect("one value a round"))
        };
        table.add(&[
            &running,
            &workers,
            &set,
            &report,
            &idle,
            &column(|row| row.0),
            &column(|row| row.1),
            &column(|row| row.2),
            &column(|row| row.3),
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

/// Nanoseconds of a plan with tasks waiting, of its batch, of the snapshot taken
/// with it and of the snapshot's encoding.
fn starts(scene: &mut CellScene, round: usize) -> (u128, u128, u128, u128) {
    scene.submit(JOBS_FROM + round, STARTS);
    scene.commit();
    let planned = plan(scene);
    let nonce = u64::try_from(round).expect("a count fits");
    let mut encoding = 0;
    let mut cloning = 0;
    let mut settling = nanos_of(1, || scene.owner.take_batch(nonce).is_some());
    if scene.owner.has_flight() {
        cloning = nanos_of(1, || scene.owner.snapshot_in_flight());
        let state = scene.owner.snapshot_in_flight();
        encoding = nanos_of(1, || postcard::to_stdvec(&state));
        settling += nanos_of(1, || scene.settle());
    }
    (planned, settling, cloning, encoding)
}

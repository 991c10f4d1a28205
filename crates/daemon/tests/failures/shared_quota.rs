use std::net::SocketAddr;

use crate::support::Stage;
use crate::support::show_job;
use crate::support::submit;
use crate::support::wait_job;
use sapphirestile_cells::CellMap;
use sapphirestile_core::CellNumber;
use sapphirestile_core::ResourceSize;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::worker::HistoryRow;
use sapphirestile_standins::worker::WorkerSettings;
use sapphirestile_test_support::wait_until;

const CELLS: u16 = 4;
/// The quota, in tasks of a job.
const QUOTA_TASKS: usize = 8;

/// A job gets the customer's whole quota, four times an even part, in a cell that
/// does not lend it. Its owner is killed, and a job in a third cell gets shares
/// too: each task runs once, and never more at a time than the quota allows.
#[test]
fn one_job_gets_more_than_an_even_part_of_a_quota() {
    let mut stage = Stage::set("shared_quota", plan());
    let map = CellMap::new(CELLS);
    let mut borrowers = map.cells().filter(|cell| *cell != map.lender_of("kennels"));
    let first = job_in(map, borrowers.next().expect("there are four cells"));
    let second = job_in(map, borrowers.next().expect("there are four cells"));
    submit(stage.daemons[0].operators(), &first, 24, 4_000);
    wait_until("the whole quota is used", || {
        (running(stage.daemons[0].operators(), &first) == QUOTA_TASKS).then_some(())
    });

    submit(stage.daemons[0].operators(), &second, 8, 1_000);
    stage.take_owner(&first).kill();

    wait_job(stage.daemons[0].operators(), &second, "finished");
    wait_job(stage.daemons[0].operators(), &first, "finished");
    let history = stage.history();
    assert_eq!(history.len(), 24 + 8, "each task ran once");
    assert!(most_at_once(&history) <= QUOTA_TASKS, "{history:?}");
    stage.assert_never_twice();
}

/// Workers for each cell, which report what was declared as used, so that each
/// task takes an equal part of the quota.
fn plan() -> FleetPlan {
    let worker = WorkerSettings {
        usage_permille: 1_000,
        ..WorkerSettings::default()
    };
    FleetPlan {
        workers: 6,
        worker,
        cells: CELLS,
        quota: ResourceSize {
            cpu_milli: 8_000,
            memory_mb: 16_000_000,
            accelerators: 0,
        },
        ..FleetPlan::default()
    }
}

/// The name of a job that belongs to `cell`.
fn job_in(map: CellMap, cell: CellNumber) -> String {
    let mut names = (0..).map(|place| format!("patterns-{place}"));
    names
        .find(|name| map.cell_of_job(name) == cell)
        .expect("some name belongs to the cell")
}

fn running(operators: SocketAddr, job: &str) -> usize {
    let view = show_job(operators, job).unwrap_or_default();
    let tasks = view["tasks"].as_array().cloned().unwrap_or_default();
    let running = tasks.iter().filter(|task| task["state"] == "running");
    running.count()
}

/// The most attempts that ran at a time, by the workers' own record.
fn most_at_once(history: &[HistoryRow]) -> usize {
    let at = |time| {
        let runs = |row: &&HistoryRow| {
            row.started_ms <= time && row.ended_ms.is_none_or(|ended| ended > time)
        };
        history.iter().filter(runs).count()
    };
    let starts = history.iter().map(|row| at(row.started_ms));
    starts.max().unwrap_or_default()
}

use std::net::SocketAddr;

use crate::support::TestCluster;
use crate::support::job_view;
use crate::support::submit;
use crate::support::wait_job_state;
use sapphirestile_cells::CellMap;
use sapphirestile_core::CellNumber;
use sapphirestile_core::ResourceSize;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::worker::HistoryRow;
use sapphirestile_standins::worker::WorkerSettings;
use sapphirestile_test_support::wait_until;

const CELLS: u16 = 4;
/// The customer's quota, as the number of tasks that may run at the same time.
const QUOTA_TASKS: usize = 8;

/// A job gets the customer's whole quota, four times the even share of its cell, although its
/// cell is not the one that lends shares of the quota. Then the owner of the job's cell is
/// killed, and a job in a third cell borrows shares too. Every task must run once, and never
/// more at the same time than the quota allows.
#[test]
fn one_job_can_use_more_than_an_even_share_of_a_quota() {
    let mut cluster = TestCluster::start("shared_quota", quota_plan());
    let map = CellMap::new(CELLS);
    let mut borrowing_cells = map.cells().filter(|cell| *cell != map.lender_of("kennels"));
    let first = job_name_in(
        map,
        borrowing_cells
            .next()
            .expect("three of the four cells borrow"),
    );
    let second = job_name_in(
        map,
        borrowing_cells
            .next()
            .expect("three of the four cells borrow"),
    );
    submit(cluster.daemons[0].operators(), &first, 24, 4_000);
    wait_until("the first job uses the whole quota", || {
        (running_tasks(cluster.daemons[0].operators(), &first) == QUOTA_TASKS).then_some(())
    });

    submit(cluster.daemons[0].operators(), &second, 8, 1_000);
    cluster.remove_owner(&first).kill();

    wait_job_state(cluster.daemons[0].operators(), &second, "finished");
    wait_job_state(cluster.daemons[0].operators(), &first, "finished");
    let history = cluster.history();
    assert_eq!(history.len(), 24 + 8, "every task ran exactly once");
    assert!(
        max_concurrent_attempts(&history) <= QUOTA_TASKS,
        "{history:?}"
    );
    cluster.assert_no_overlapping_attempts();
}

/// A plan with workers for each cell. The workers report the declared size as used, so that
/// every task takes an equal part of the quota.
fn quota_plan() -> FleetPlan {
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

/// A job name that belongs to `cell`.
fn job_name_in(map: CellMap, cell: CellNumber) -> String {
    let mut names = (0..).map(|number| format!("patterns-{number}"));
    names
        .find(|name| map.cell_of_job(name) == cell)
        .expect("some name belongs to the cell")
}

/// The number of running tasks of a job; 0 when the daemon does not respond.
fn running_tasks(operators: SocketAddr, job: &str) -> usize {
    let view = job_view(operators, job).unwrap_or_default();
    let tasks = view["tasks"].as_array().cloned().unwrap_or_default();
    let running = tasks.iter().filter(|task| task["state"] == "running");
    running.count()
}

/// The maximum number of attempts that ran at the same time, by the workers' history.
fn max_concurrent_attempts(history: &[HistoryRow]) -> usize {
    let running_at = |time_ms| {
        let runs = |row: &&HistoryRow| {
            row.started_ms <= time_ms && row.ended_ms.is_none_or(|ended| ended > time_ms)
        };
        history.iter().filter(runs).count()
    };
    let starts = history.iter().map(|row| running_at(row.started_ms));
    starts.max().unwrap_or_default()
}

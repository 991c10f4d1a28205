use crate::support::CELLS;
use crate::support::TestCluster;
use crate::support::submit;
use crate::support::wait_all_running;
use crate::support::wait_job_state;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::FaultProxy;
use sapphirestile_test_support::call;
use sapphirestile_test_support::wait_until;

/// The owner of the cell loses its connection to the store, and only that. Another daemon must
/// take over the cell, the running tasks must continue at their workers, and the disconnected
/// daemon must still answer requests. Once reconnected, it must start no task on its own.
#[test]
fn a_daemon_without_the_store_loses_only_its_cells() {
    let plan = FleetPlan {
        workers: 2,
        ..FleetPlan::default()
    };
    let (mut cluster, links) = TestCluster::start_with_links("store_partition", plan);
    submit(cluster.daemons[0].operators(), "patterns", 4, 12_000);
    wait_all_running(cluster.daemons[0].operators(), "patterns");

    let index = cluster.owner_index("patterns");
    let disconnected = cluster.daemons.remove(index);
    let link: &FaultProxy = &links[index];
    link.disconnect();
    cluster.fleet.wait_until_owned(&cluster.operators(), CELLS);
    wait_until("a request is answered without the store", || {
        call(
            disconnected.callers(),
            "POST",
            "/sizing/fit",
            &[],
            b"neck 41 cm",
        )
        .filter(|answer| answer.status == 200)
    });
    submit(cluster.daemons[0].operators(), "later", 4, 300);
    wait_job_state(cluster.daemons[0].operators(), "later", "finished");
    link.restore();

    let view = wait_job_state(cluster.daemons[0].operators(), "patterns", "finished");
    let tasks = view["tasks"]
        .as_array()
        .expect("the view of a job has the array `tasks`");
    assert!(tasks.iter().all(|task| task["attempt"] == 1), "{view}");
    cluster.daemons.push(disconnected);
    cluster.fleet.wait_until_owned(&cluster.operators(), CELLS);
    cluster.assert_no_overlapping_attempts();
    assert_eq!(cluster.history().len(), 8, "every task ran exactly once");
}

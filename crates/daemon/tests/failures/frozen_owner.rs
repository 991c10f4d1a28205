use crate::support::CELLS;
use crate::support::TestCluster;
use crate::support::submit;
use crate::support::wait_all_running;
use crate::support::wait_job_state;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::wait_until;

/// The owner of a cell is frozen until another daemon has taken over the cell, and is then
/// resumed. It must notice that it lost the cell, and no task must run twice.
#[test]
fn a_resumed_owner_that_was_replaced_changes_nothing() {
    let plan = FleetPlan {
        workers: 3,
        ..FleetPlan::default()
    };
    let mut cluster = TestCluster::start("frozen_owner", plan);
    submit(cluster.daemons[0].operators(), "patterns", 4, 5_000);
    wait_all_running(cluster.daemons[0].operators(), "patterns");

    let frozen = cluster.remove_owner("patterns");
    frozen.suspend();
    cluster.fleet.wait_until_owned(&cluster.operators(), CELLS);
    submit(cluster.daemons[0].operators(), "later", 4, 500);
    frozen.resume();

    wait_job_state(cluster.daemons[0].operators(), "later", "finished");
    wait_job_state(cluster.daemons[0].operators(), "patterns", "finished");
    cluster.assert_no_overlapping_attempts();
    assert_eq!(cluster.history().len(), 8, "every task ran exactly once");

    // The resumed daemon has learnt by now that another owns its cell.
    cluster.daemons.push(frozen);
    wait_until("every cell has exactly one owner", || {
        cluster.fleet.wait_until_owned(&cluster.operators(), CELLS);
        Some(())
    });
}

use crate::support::TestCluster;
use crate::support::submit;
use crate::support::wait_all_running;
use crate::support::wait_job_state;
use sapphirestile_standins::fleet::FleetPlan;

/// The owner of a cell is killed while tasks of the cell run. Another daemon must take over
/// the cell, and every running task must finish without being started again.
#[test]
fn no_task_is_restarted_when_its_owner_is_killed() {
    let plan = FleetPlan {
        workers: 3,
        ..FleetPlan::default()
    };
    let mut cluster = TestCluster::start("killed_owner", plan);
    submit(cluster.daemons[0].operators(), "patterns", 4, 6_000);
    wait_all_running(cluster.daemons[0].operators(), "patterns");

    cluster.remove_owner("patterns").kill();

    let view = wait_job_state(cluster.daemons[0].operators(), "patterns", "finished");
    let tasks = view["tasks"]
        .as_array()
        .expect("the view of a job has the array `tasks`");
    assert!(tasks.iter().all(|task| task["attempt"] == 1), "{view}");
    assert_eq!(cluster.history().len(), 4, "no task was started again");
    cluster.assert_no_overlapping_attempts();
}

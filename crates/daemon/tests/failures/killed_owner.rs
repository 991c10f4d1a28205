use crate::support::Stage;
use crate::support::submit;
use crate::support::wait_job;
use crate::support::wait_running;
use sapphirestile_standins::fleet::FleetPlan;

/// The owner of a cell is killed while its tasks run: another daemon takes the
/// cell over, and every task ends once without having been started again.
#[test]
fn a_killed_owner_costs_no_task() {
    let plan = FleetPlan {
        workers: 3,
        ..FleetPlan::default()
    };
    let mut stage = Stage::set("killed_owner", plan);
    submit(stage.daemons[0].operators(), "patterns", 4, 6_000);
    wait_running(stage.daemons[0].operators(), "patterns");

    stage.take_owner("patterns").kill();

    let view = wait_job(stage.daemons[0].operators(), "patterns", "finished");
    let tasks = view["tasks"].as_array().expect("a view has tasks");
    assert!(tasks.iter().all(|task| task["attempt"] == 1), "{view}");
    assert_eq!(stage.history().len(), 4, "no task was started again");
    stage.assert_never_twice();
}

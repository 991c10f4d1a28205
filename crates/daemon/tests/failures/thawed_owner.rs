use crate::support::CELLS;
use crate::support::Stage;
use crate::support::submit;
use crate::support::wait_job;
use crate::support::wait_running;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::wait_until;

/// The owner of a cell is frozen until others have taken its cells, and thawed
/// again: it finds that it was deposed, and no task runs in two places.
#[test]
fn a_thawed_owner_changes_nothing() {
    let plan = FleetPlan {
        workers: 3,
        ..FleetPlan::default()
    };
    let mut stage = Stage::set("thawed_owner", plan);
    submit(stage.daemons[0].operators(), "patterns", 4, 5_000);
    wait_running(stage.daemons[0].operators(), "patterns");

    let frozen = stage.take_owner("patterns");
    frozen.suspend();
    stage.scene.wait_until_owned(&stage.operators(), CELLS);
    submit(stage.daemons[0].operators(), "later", 4, 500);
    frozen.resume();

    wait_job(stage.daemons[0].operators(), "later", "finished");
    wait_job(stage.daemons[0].operators(), "patterns", "finished");
    stage.assert_never_twice();
    assert_eq!(stage.history().len(), 8, "each task ran once");

    // The one that was frozen knows by now who owns what.
    stage.daemons.push(frozen);
    wait_until("every cell has one owner again", || {
        stage.scene.wait_until_owned(&stage.operators(), CELLS);
        Some(())
    });
}

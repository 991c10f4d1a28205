use crate::support::CELLS;
use crate::support::Stage;
use crate::support::submit;
use crate::support::wait_job;
use crate::support::wait_running;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::FaultProxy;
use sapphirestile_test_support::call;
use sapphirestile_test_support::wait_until;

/// The owner of the cell is cut off from the store alone: others take the cell,
/// the running tasks go on where they are, and the one that is cut off still
/// answers requests. Mended, it starts nothing on its own.
#[test]
fn a_daemon_cut_off_from_the_store_loses_its_cells_only() {
    let plan = FleetPlan {
        workers: 2,
        ..FleetPlan::default()
    };
    let (mut stage, links) = Stage::set_linked("store_cut", plan);
    submit(stage.daemons[0].operators(), "patterns", 4, 12_000);
    wait_running(stage.daemons[0].operators(), "patterns");

    let place = stage.owner_of("patterns");
    let cut_off = stage.daemons.remove(place);
    let link: &FaultProxy = &links[place];
    link.disconnect();
    stage.scene.wait_until_owned(&stage.operators(), CELLS);
    wait_until("a request is answered without the store", || {
        call(cut_off.callers(), "POST", "/sizing/fit", &[], b"neck 41 cm")
            .filter(|answer| answer.status == 200)
    });
    submit(stage.daemons[0].operators(), "later", 4, 300);
    wait_job(stage.daemons[0].operators(), "later", "finished");
    link.restore();

    let view = wait_job(stage.daemons[0].operators(), "patterns", "finished");
    let tasks = view["tasks"].as_array().expect("a view has tasks");
    assert!(tasks.iter().all(|task| task["attempt"] == 1), "{view}");
    stage.daemons.push(cut_off);
    stage.scene.wait_until_owned(&stage.operators(), CELLS);
    stage.assert_never_twice();
    assert_eq!(stage.history().len(), 8, "each task ran once");
}

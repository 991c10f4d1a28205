//! A real daemon whose workers tell what has changed.

use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::worker::WorkerFaults;
use sapphirestile_standins::worker::WorkerService;
use sapphirestile_test_support::SceneFleet;
use sapphirestile_test_support::wait_until;

const DAEMON: &str = env!("CARGO_BIN_EXE_sapphirestiled");
const FOLDER: &str = concat!(env!("CARGO_TARGET_TMPDIR"), "/session_reports");

/// Waits for two more sessions that are answered with what has changed.
fn wait_changes(worker: &WorkerService) {
    let before = worker.session_counts().changes;
    wait_until("changes are told", || {
        (worker.session_counts().changes >= before + 2).then_some(())
    });
}

#[test]
fn a_worker_tells_all_once_in_each_of_its_lives() {
    let plan = FleetPlan {
        runners: 1,
        workers: 1,
        ..FleetPlan::default()
    };
    let scene = SceneFleet::start(DAEMON, FOLDER, plan);
    let daemon = scene.daemon("entry-1", "near-a", &[]);
    scene.put_document(daemon.operators());
    scene.wait_owned(&[daemon.operators()], 1);
    let worker = scene.platform().workers()[0].service();
    wait_changes(worker);
    assert_eq!(worker.session_counts().all, 1);

    worker.set_faults(WorkerFaults {
        lose_answers: 1,
        ..WorkerFaults::default()
    });
    wait_changes(worker);
    assert_eq!(worker.session_counts().all, 1);

    worker.restart();
    wait_changes(worker);
    assert_eq!(worker.session_counts().all, 2);
}

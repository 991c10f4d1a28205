use crate::support::Stage;
use crate::support::submit;
use crate::support::wait_job;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::worker::WorkerFaults;
use sapphirestile_wire::worker::TaskPhase;

/// Until the worker is set aside, and one more.
const WAVES_MAX: usize = 4;
const JOBS: usize = 6;
const TASKS: u32 = 6;

/// A worker fails everything that it starts: jobs finish on the others all the
/// same, and once it is set aside it is given nothing more.
#[test]
fn a_worker_that_fails_everything_is_set_aside() {
    let stage = Stage::set("failing_worker", FleetPlan::default());
    let failing = stage.scene.platform().workers()[0].service();
    failing.set_faults(WorkerFaults {
        fail_all: true,
        ..WorkerFaults::default()
    });
    let mut waves = 0;
    let mut failed = 0;
    while waves < WAVES_MAX && (waves == 0 || failing.history().len() > failed) {
        failed = failing.history().len();
        waves += 1;
        run_wave(&stage, &format!("wave-{waves}"));
    }
    assert!(failed > 0, "it was given work");
    assert_eq!(failing.history().len(), failed, "it was given more");
    let history = stage.history();
    let finished = history
        .iter()
        .filter(|row| row.phase == TaskPhase::Finished);
    let tasks = waves * JOBS * TASKS as usize;
    assert_eq!(finished.count(), tasks, "each task finished once");
    assert_eq!(history.len(), tasks + failed, "nothing else was started");
    stage.assert_never_twice();
}

fn run_wave(stage: &Stage, wave: &str) {
    let operators = stage.operators();
    let names: Vec<String> = (0..JOBS).map(|number| format!("{wave}-{number}")).collect();
    for (number, name) in names.iter().enumerate() {
        submit(operators[number % operators.len()], name, TASKS, 200);
    }
    for name in &names {
        wait_job(operators[0], name, "finished");
    }
}

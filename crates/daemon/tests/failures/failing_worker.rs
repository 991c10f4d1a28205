use crate::support::Stage;
use crate::support::submit;
use crate::support::wait_job;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::worker::WorkerFaults;
use sapphirestile_test_support::wait_until;
use sapphirestile_wire::worker::TaskPhase;

const JOBS: usize = 6;
const TASKS: u32 = 6;

/// A worker fails everything that it starts: jobs finish on the others all the
/// same, and once it is set aside it is given nothing more.
#[test]
fn a_worker_that_fails_everything_is_set_aside() {
    let stage = Stage::set("failing_worker", FleetPlan::default());
    let operators = stage.operators();
    let failing = stage.scene.platform().workers()[0].service();
    failing.set_faults(WorkerFaults {
        fail_all: true,
        ..WorkerFaults::default()
    });
    let mut wave = 0;
    wait_until(
        "the worker has failed several jobs and gets no more",
        || {
            let before = failing.history().len();
            wave += 1;
            run_wave(&stage, &format!("wave-{wave}"));
            let after = failing.history().len();
            (before > 0 && after == before).then_some(())
        },
    );
    let failed = failing.history().len();
    run_wave(&stage, "later");
    assert_eq!(failing.history().len(), failed, "it was given more");
    let history = stage.history();
    let finished = history
        .iter()
        .filter(|row| row.phase == TaskPhase::Finished);
    let tasks = (wave + 1) * JOBS * TASKS as usize;
    assert_eq!(finished.count(), tasks, "each task finished once");
    assert_eq!(history.len(), tasks + failed, "nothing else was started");
    assert!(
        operators.len() == 3 && wave <= 3,
        "{wave} waves until it was set aside"
    );
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

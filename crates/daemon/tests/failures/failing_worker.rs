use crate::support::TestCluster;
use crate::support::submit;
use crate::support::wait_job_state;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::worker::WorkerFaults;
use sapphirestile_wire::worker::TaskPhase;

/// The maximum number of waves of jobs until the worker is quarantined, and one more that
/// checks that it gets no more work.
const WAVES_MAX: usize = 4;
const JOBS_PER_WAVE: usize = 6;
const TASKS_PER_JOB: u32 = 6;

/// A worker fails every task that it starts. Jobs must finish on the other workers, and once
/// the failing worker is quarantined it must get no more tasks.
#[test]
fn a_worker_that_fails_every_task_is_quarantined() {
    let cluster = TestCluster::start("failing_worker", FleetPlan::default());
    let failing = cluster.fleet.platform().workers()[0].service();
    failing.set_faults(WorkerFaults {
        fail_all: true,
        ..WorkerFaults::default()
    });
    let mut waves = 0;
    let mut failed = 0;
    while waves < WAVES_MAX && (waves == 0 || failing.history().len() > failed) {
        failed = failing.history().len();
        waves += 1;
        run_wave(&cluster, &format!("wave-{waves}"));
    }
    assert!(failed > 0, "the failing worker got no task");
    assert_eq!(
        failing.history().len(),
        failed,
        "the failing worker got tasks until the last wave"
    );
    let history = cluster.history();
    let finished = history
        .iter()
        .filter(|row| row.phase == TaskPhase::Finished);
    let tasks = waves * JOBS_PER_WAVE * TASKS_PER_JOB as usize;
    assert_eq!(finished.count(), tasks, "every task finished exactly once");
    assert_eq!(
        history.len(),
        tasks + failed,
        "tasks were started again without a failure"
    );
    cluster.assert_no_overlapping_attempts();
}

fn run_wave(cluster: &TestCluster, wave: &str) {
    let operators = cluster.operators();
    let names: Vec<String> = (0..JOBS_PER_WAVE)
        .map(|index| format!("{wave}-{index}"))
        .collect();
    for (index, name) in names.iter().enumerate() {
        submit(operators[index % operators.len()], name, TASKS_PER_JOB, 200);
    }
    for name in &names {
        wait_job_state(operators[0], name, "finished");
    }
}

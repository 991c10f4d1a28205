use serde_json::Value;

use crate::support::Stage;
use crate::support::history_of;
use crate::support::job_of;
use crate::support::submit_body;
use crate::support::wait_job;
use crate::support::wait_running;
use sapphirestile_core::ResourceSize;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::worker::WorkerFaults;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

/// Of which four fit a worker.
const LARGE_MILLI: u64 = 16_000;
const SMALL_MILLI: u64 = 2_000;
/// Between the two, however what is learnt is rounded.
const LEARNT_MILLI: u64 = 8_000;
const RUN_MS: u64 = 2_000;
/// Three times as long as declared.
const RUN_PERMILLE: u64 = 3_000;

/// Tasks use an eighth of what they declare, and run three times as long: once that
/// is known, three times as many run at once, and each ends once.
#[test]
fn tasks_that_declare_too_much_make_room_for_more() {
    let stage = stage_of("declared_too_much", SMALL_MILLI);
    let operators = stage.operators()[0];
    submit_body(operators, &job_of("first", 12, RUN_MS, LARGE_MILLI));
    wait_job(operators, "first", "finished");
    submit_body(operators, &job_of("second", 36, 2 * RUN_MS, LARGE_MILLI));
    wait_running(operators, "second");
    assert_ended_once(&stage, "second", 36);
}

/// Tasks use eight times what they declare: once that is known, they are given more
/// room, so that fewer of them share a worker.
#[test]
fn tasks_that_declare_too_little_are_given_more() {
    let stage = stage_of("declared_too_little", LARGE_MILLI);
    let operators = stage.operators()[0];
    submit_body(operators, &job_of("first", 12, RUN_MS, SMALL_MILLI));
    wait_job(operators, "first", "finished");
    submit_body(operators, &job_of("second", 24, RUN_MS, SMALL_MILLI));
    let given = wait_until("tasks of the second job are assigned", || {
        let given = given_milli(&stage, "second");
        (!given.is_empty()).then_some(given)
    });
    assert!(given.iter().all(|milli| *milli > LEARNT_MILLI), "{given:?}");
    assert!(
        given.len() <= 12,
        "more than fit at what they use: {given:?}"
    );
    assert_ended_once(&stage, "second", 24);
}

fn assert_ended_once(stage: &Stage, job: &str, tasks: usize) {
    wait_job(stage.operators()[0], job, "finished");
    assert_eq!(history_of(stage, job).len(), tasks, "each started once");
    stage.assert_never_twice();
}

fn stage_of(name: &str, used_milli: u64) -> Stage {
    let stage = Stage::set(name, FleetPlan::default());
    for worker in stage.scene.platform().workers() {
        worker.service().set_faults(WorkerFaults {
            used_size: Some(ResourceSize {
                cpu_milli: used_milli,
                memory_mb: 512,
                accelerators: 0,
            }),
            run_permille: Some(RUN_PERMILLE),
            ..WorkerFaults::default()
        });
    }
    stage
}

/// The processor time that the assigned tasks of a job are given.
fn given_milli(stage: &Stage, job: &str) -> Vec<u64> {
    let owner = stage.operators()[stage.owner_of(job)];
    let dump = call_json(owner, "GET", "/v1/dump", &Value::Null);
    let tasks = dump.map_or(Value::Null, |(_, dump)| {
        dump["cells"][0]["state"]["tasks"].clone()
    });
    let rows = tasks.as_array().cloned().unwrap_or_default();
    rows.iter()
        .filter(|row| row[0]["job"] == job)
        .filter_map(|row| row[1]["Assigned"]["phase"]["size"]["cpu_milli"].as_u64())
        .collect()
}

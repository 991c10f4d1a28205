use serde_json::Value;
use serde_json::json;

use crate::support::Stage;
use crate::support::history_of;
use crate::support::job_of;
use crate::support::show_job;
use crate::support::submit;
use crate::support::submit_body;
use crate::support::wait_job;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

/// More than any worker has.
const HUGE_MILLI: u64 = 1_000_000;
const IMPOSSIBLE: [&str; 3] = ["huge", "stranger", "nowhere"];

/// Jobs that can never run wait with a reason, ahead of others in the queue, under
/// the owner and under the one that takes over from it; the others run, and the
/// impossible ones can be cancelled.
#[test]
fn jobs_that_can_never_run_hold_up_no_other() {
    let mut stage = Stage::set("never_running", FleetPlan::default());
    let mut huge = job_of("huge", 4, 500, HUGE_MILLI);
    huge["urgent"] = json!(true);
    let mut stranger = job_of("stranger", 4, 500, 1_000);
    stranger["customer"] = json!("nobody");
    let mut nowhere = job_of("nowhere", 4, 500, 1_000);
    nowhere["zones"] = json!(["atlantis"]);
    for body in [&huge, &stranger, &nowhere] {
        submit_body(stage.daemons[0].operators(), body);
    }
    submit(stage.daemons[1].operators(), "beside", 6, 300);
    wait_job(stage.daemons[1].operators(), "beside", "finished");
    assert_waiting(&stage);

    stage.take_owner("huge").kill();
    submit(stage.daemons[0].operators(), "after", 6, 300);
    wait_job(stage.daemons[0].operators(), "after", "finished");
    assert_waiting(&stage);
    for job in IMPOSSIBLE {
        let path = format!("/v1/jobs/{job}/cancel");
        let operators = stage.daemons[1].operators();
        wait_until("the job is cancelled", || {
            call_json(operators, "POST", &path, &Value::Null).filter(|(status, _)| *status == 200)
        });
        wait_job(operators, job, "cancelled");
        assert_eq!(history_of(&stage, job).len(), 0, "{job} never ran");
    }
}

fn assert_waiting(stage: &Stage) {
    let operators = stage.daemons[0].operators();
    for job in IMPOSSIBLE {
        let view = wait_until("the job waits with a reason", || {
            show_job(operators, job).filter(|view| view["tasks"][0]["reason"].is_string())
        });
        let tasks = view["tasks"].as_array().expect("a view has tasks");
        assert!(
            tasks.iter().all(|task| task["state"] == "waiting"),
            "{view}"
        );
        let path = format!("/v1/explain/{job}");
        let (status, told) = call_json(operators, "GET", &path, &Value::Null).expect("an answer");
        assert_eq!(status, 200, "{told}");
        let reason = view["tasks"][0]["reason"]
            .as_str()
            .expect("a reason is a text");
        assert!(told.to_string().contains(reason), "{told}");
    }
}

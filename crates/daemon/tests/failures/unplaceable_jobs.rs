use serde_json::Value;
use serde_json::json;

use crate::support::TestCluster;
use crate::support::job_body;
use crate::support::job_history;
use crate::support::job_view;
use crate::support::submit;
use crate::support::submit_job;
use crate::support::wait_job_state;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

/// More milli-cores than any worker has.
const HUGE_MILLI: u64 = 1_000_000;
/// The jobs that can never run: their tasks are too large, their customer is unknown, or
/// their zone does not exist.
const UNPLACEABLE_JOBS: [&str; 3] = ["huge", "stranger", "nowhere"];

/// Jobs that can never run are ahead of others in the queue. Under the first owner and under
/// the one that takes over from it, they must wait with a reason while the other jobs run,
/// and it must be possible to cancel them.
#[test]
fn jobs_that_can_never_run_do_not_block_others() {
    let mut cluster = TestCluster::start("unplaceable_jobs", FleetPlan::default());
    let mut huge = job_body("huge", 4, 500, HUGE_MILLI);
    huge["urgent"] = json!(true);
    let mut stranger = job_body("stranger", 4, 500, 1_000);
    stranger["customer"] = json!("nobody");
    let mut nowhere = job_body("nowhere", 4, 500, 1_000);
    nowhere["zones"] = json!(["atlantis"]);
    for body in [&huge, &stranger, &nowhere] {
        submit_job(cluster.daemons[0].operators(), body);
    }
    submit(cluster.daemons[1].operators(), "beside", 6, 300);
    wait_job_state(cluster.daemons[1].operators(), "beside", "finished");
    assert_waiting_with_reason(&cluster);

    cluster.remove_owner("huge").kill();
    submit(cluster.daemons[0].operators(), "after", 6, 300);
    wait_job_state(cluster.daemons[0].operators(), "after", "finished");
    assert_waiting_with_reason(&cluster);
    for job in UNPLACEABLE_JOBS {
        let path = format!("/v1/jobs/{job}/cancel");
        let operators = cluster.daemons[1].operators();
        wait_until("the cancellation is accepted", || {
            call_json(operators, "POST", &path, &Value::Null).filter(|(status, _)| *status == 200)
        });
        wait_job_state(operators, job, "cancelled");
        assert_eq!(
            job_history(&cluster, job).len(),
            0,
            "a task of {job} was started"
        );
    }
}

fn assert_waiting_with_reason(cluster: &TestCluster) {
    let operators = cluster.daemons[0].operators();
    for job in UNPLACEABLE_JOBS {
        let view = wait_until("the job has a reason for waiting", || {
            job_view(operators, job).filter(|view| view["tasks"][0]["reason"].is_string())
        });
        let tasks = view["tasks"]
            .as_array()
            .expect("the view of a job has the array `tasks`");
        assert!(
            tasks.iter().all(|task| task["state"] == "waiting"),
            "{view}"
        );
        let path = format!("/v1/explain/{job}");
        let (status, explanation) =
            call_json(operators, "GET", &path, &Value::Null).expect("the daemon responds");
        assert_eq!(status, 200, "{explanation}");
        let reason = view["tasks"][0]["reason"]
            .as_str()
            .expect("the reason in the view is a string");
        assert!(explanation.to_string().contains(reason), "{explanation}");
    }
}

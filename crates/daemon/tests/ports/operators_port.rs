use serde_json::Value;
use serde_json::json;

use crate::support::DaemonFixture;
use crate::support::job_body;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::TOKEN;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;

/// The limit of the body of an operator's call.
const BODY_MAX_BYTES: usize = 2 * 1_024 * 1_024;

/// Every invalid call must be refused with the documented status, and must create no job and
/// change no document.
#[test]
fn invalid_calls_are_refused_and_change_nothing() {
    let fixture = DaemonFixture::start("operators", FleetPlan::default());
    let revision = revision(&fixture);
    let good = job_body("good", 1).to_string();
    for token in ["", "Bearer wrong-token-of-24-characters", "Basic abc"] {
        let headers = [("authorization", token)];
        for (method, path) in [
            ("POST", "/v1/jobs"),
            ("POST", "/v1/jobs/good/cancel"),
            ("POST", "/v1/zones/near-a"),
            ("PUT", "/v1/document"),
        ] {
            let answer = call(
                fixture.daemon.operators(),
                method,
                path,
                &headers,
                good.as_bytes(),
            );
            assert_refused(answer.map(|answer| (answer.status, answer.body)), 401, path);
        }
    }
    let large = "x".repeat(BODY_MAX_BYTES + 1);
    let larger = "x".repeat(3 * BODY_MAX_BYTES);
    let unknown_field = with("surprise", json!(1));
    let deep = "[".repeat(100_000);
    let rows: [(&str, &str, &str, u16); 22] = [
        ("POST", "/v1/jobs", "", 400),
        ("POST", "/v1/jobs", "{", 400),
        ("POST", "/v1/jobs", "[]", 400),
        ("POST", "/v1/jobs", &deep, 400),
        ("POST", "/v1/jobs", &unknown_field, 400),
        ("POST", "/v1/jobs", &large, 413),
        ("POST", "/v1/jobs", &larger, 413),
        ("POST", "/v1/jobs", &with("tasks", json!(0)), 400),
        ("POST", "/v1/jobs", &with("tasks", json!(10_001)), 400),
        ("POST", "/v1/jobs", &with("tasks", json!(-1)), 400),
        ("POST", "/v1/jobs", &with("job", json!("Not A Name")), 400),
        ("POST", "/v1/jobs", &with("job", json!("")), 400),
        ("POST", "/v1/jobs", &with("customer", json!("../etc")), 400),
        ("POST", "/v1/jobs", &with("zones", json!(["Near A"])), 400),
        ("POST", "/v1/jobs", &with("run_ms", json!("long")), 400),
        ("POST", "/v1/jobs/Not-A-Name/cancel", "", 404),
        ("POST", "/v1/jobs/nobody/cancel", "", 404),
        ("GET", "/v1/explain/nobody/0", "", 404),
        ("GET", "/v1/explain/nobody/-1", "", 404),
        ("DELETE", "/v1/jobs", "", 404),
        ("PUT", "/v1/document", "{\"based_on\":0}", 400),
        (
            "POST",
            "/v1/zones/near-a",
            "{\"state\":\"gone\",\"author\":\"a\"}",
            400,
        ),
    ];
    for (method, path, body, status) in rows {
        let what = format!("{method} {path} {}", &body[..body.len().min(80)]);
        let authorization = format!("Bearer {TOKEN}");
        let headers = [("authorization", authorization.as_str())];
        let answer = call(
            fixture.daemon.operators(),
            method,
            path,
            &headers,
            body.as_bytes(),
        );
        assert_refused(
            answer.map(|answer| (answer.status, answer.body)),
            status,
            &what,
        );
    }
    assert_faults_are_listed(&fixture);
    let (_, jobs) = call_operators(&fixture, "GET", "/v1/jobs", &Value::Null);
    assert_eq!(jobs, json!([]), "a refused submission created a job");
    assert_eq!(
        self::revision(&fixture),
        revision,
        "a refused change is in force"
    );
    fixture.assert_serves("after-bad-calls");
}

/// A job that can never run must be accepted, must have a reason for waiting, and must not
/// block other jobs.
#[test]
fn jobs_that_can_never_run_do_not_block_others() {
    let fixture = DaemonFixture::start("never_run", FleetPlan::default());
    let mut huge = job_body("huge", 3);
    huge["size"] =
        json!({ "cpu_milli": u64::MAX, "memory_mb": u64::MAX, "accelerators": u32::MAX });
    huge["run_ms"] = json!(u64::MAX);
    let mut stranger = job_body("stranger", 1);
    stranger["customer"] = json!("nobody");
    let mut nowhere = job_body("nowhere", 1);
    nowhere["zones"] = json!(["atlantis"]);
    for job in [&huge, &stranger, &nowhere] {
        let (status, view) = call_operators(&fixture, "POST", "/v1/jobs", job);
        assert_eq!(status, 200, "{view}");
    }
    fixture.assert_serves("beside-jobs-that-never-run");
    for job in ["huge", "stranger", "nowhere"] {
        let (status, explanation) =
            call_operators(&fixture, "GET", &format!("/v1/explain/{job}"), &Value::Null);
        assert_eq!(status, 200, "{explanation}");
        let lines = explanation["lines"]
            .as_array()
            .expect("the explanation has the array `lines`");
        assert!(!lines.is_empty(), "the explanation of {job} has no line");
        let (_, view) = call_operators(&fixture, "GET", &format!("/v1/jobs/{job}"), &Value::Null);
        assert_eq!(view["tasks"][0]["state"], "waiting", "{view}");
    }
}

/// A submission may be a retry of one that a cell has accepted. When no cell can take it, the
/// refusal must say that this attempt did nothing, and nothing about earlier ones.
#[test]
fn a_refused_submission_says_not_run_of_its_own_attempt_only() {
    let fixture = DaemonFixture::start_without_document("undecided", FleetPlan::default());

    let (status, refusal) = call_operators(&fixture, "POST", "/v1/jobs", &job_body("early", 1));

    let reason = "no configuration is in force yet; \
                  this try did nothing, earlier ones were not looked for";
    assert_eq!(status, 503);
    assert_eq!(refusal, json!({ "not_run": true, "reason": reason }));
}

/// Checks that an invalid document and an unknown zone are refused with their faults.
fn assert_faults_are_listed(fixture: &DaemonFixture) {
    let change = json!({ "based_on": 0, "text": "[zone", "author": "operator-1" });
    let zone = json!({ "state": "out", "author": "operator-1" });
    for (method, path, body) in [
        ("PUT", "/v1/document", &change),
        ("POST", "/v1/zones/atlantis", &zone),
    ] {
        let (status, answer) = call_operators(fixture, method, path, body);
        assert_eq!(status, 422, "{path}: {answer}");
        let faults = answer["faults"]
            .as_array()
            .expect("the refusal has the array `faults`");
        assert!(!faults.is_empty(), "{path}: {answer}");
    }
}

fn assert_refused(answer: Option<(u16, Vec<u8>)>, status: u16, what: &str) {
    let (actual, body) = answer.unwrap_or_else(|| panic!("{what}: no response"));
    let text = String::from_utf8_lossy(&body).into_owned();
    assert_eq!(actual, status, "{what}: {text}");
    let refusal: Value = serde_json::from_slice(&body).expect("a refusal is JSON");
    assert_eq!(refusal["not_run"], true, "{what}: {text}");
    assert!(refusal["reason"].is_string(), "{what}: {text}");
}

/// The body of a submission with one key replaced or added.
fn with(key: &str, value: Value) -> String {
    let mut body = job_body("bad", 1);
    body[key] = value;
    body.to_string()
}

fn call_operators(fixture: &DaemonFixture, method: &str, path: &str, body: &Value) -> (u16, Value) {
    call_json(fixture.daemon.operators(), method, path, body).expect("the daemon responds")
}

fn revision(fixture: &DaemonFixture) -> Value {
    call_operators(fixture, "GET", "/v1/status", &Value::Null).1["revision"].clone()
}

use serde_json::Value;
use serde_json::json;

use crate::support::PortScene;
use crate::support::submission;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::TOKEN;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;

const BODY_MAX_BYTES: usize = 2 * 1_024 * 1_024;

/// Every refusal has the documented status and leaves no job and no change behind.
#[test]
fn a_bad_call_is_refused_and_changes_nothing() {
    let scene = PortScene::set("operators", FleetPlan::default());
    let revision = revision(&scene);
    let good = submission("good", 1).to_string();
    for token in ["", "Bearer wrong-token-of-24-characters", "Basic abc"] {
        let headers = [("authorization", token)];
        for (method, path) in [
            ("POST", "/v1/jobs"),
            ("POST", "/v1/jobs/good/cancel"),
            ("POST", "/v1/zones/near-a"),
            ("PUT", "/v1/document"),
        ] {
            let answer = call(
                scene.daemon.operators(),
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
            scene.daemon.operators(),
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
    assert_faults_are_named(&scene);
    let (_, jobs) = ask(&scene, "GET", "/v1/jobs", &Value::Null);
    assert_eq!(jobs, json!([]), "a refused job is not there");
    assert_eq!(
        self::revision(&scene),
        revision,
        "a refused change is not in force"
    );
    scene.assert_serves("after-bad-calls");
}

/// A job that can never run is taken, says why it waits, and holds up no other.
#[test]
fn a_job_that_can_never_run_holds_up_no_other() {
    let scene = PortScene::set("never_run", FleetPlan::default());
    let mut huge = submission("huge", 3);
    huge["size"] =
        json!({ "cpu_milli": u64::MAX, "memory_mb": u64::MAX, "accelerators": u32::MAX });
    huge["run_ms"] = json!(u64::MAX);
    let mut stranger = submission("stranger", 1);
    stranger["customer"] = json!("nobody");
    let mut nowhere = submission("nowhere", 1);
    nowhere["zones"] = json!(["atlantis"]);
    for job in [&huge, &stranger, &nowhere] {
        let (status, view) = ask(&scene, "POST", "/v1/jobs", job);
        assert_eq!(status, 200, "{view}");
    }
    scene.assert_serves("beside-jobs-that-never-run");
    for job in ["huge", "stranger", "nowhere"] {
        let (status, told) = ask(&scene, "GET", &format!("/v1/explain/{job}"), &Value::Null);
        assert_eq!(status, 200, "{told}");
        let lines = told["lines"].as_array().expect("an explanation has lines");
        assert!(!lines.is_empty(), "{job} says why it waits");
        let (_, view) = ask(&scene, "GET", &format!("/v1/jobs/{job}"), &Value::Null);
        assert_eq!(view["tasks"][0]["state"], "waiting", "{view}");
    }
}

/// A document or a zone that is not valid is answered with its faults.
/// A refused submission may be a second try, so its refusal speaks of itself only.
#[test]
fn a_submission_that_no_cell_takes_says_not_run_of_this_try_alone() {
    let scene = PortScene::set_without_document("undecided", FleetPlan::default());

    let (status, refusal) = ask(&scene, "POST", "/v1/jobs", &submission("early", 1));

    let reason = "no configuration is in force yet; \
                  this try did nothing, earlier ones were not looked for";
    assert_eq!(status, 503);
    assert_eq!(refusal, json!({ "not_run": true, "reason": reason }));
}

fn assert_faults_are_named(scene: &PortScene) {
    let change = json!({ "based_on": 0, "text": "[zone", "author": "operator-1" });
    let zone = json!({ "state": "out", "author": "operator-1" });
    for (method, path, body) in [
        ("PUT", "/v1/document", &change),
        ("POST", "/v1/zones/atlantis", &zone),
    ] {
        let (status, answer) = ask(scene, method, path, body);
        assert_eq!(status, 422, "{path}: {answer}");
        let faults = answer["faults"].as_array().expect("faults are named");
        assert!(!faults.is_empty(), "{path}: {answer}");
    }
}

fn assert_refused(answer: Option<(u16, Vec<u8>)>, status: u16, what: &str) {
    let (answered, body) = answer.unwrap_or_else(|| panic!("{what}: no answer"));
    let text = String::from_utf8_lossy(&body).into_owned();
    assert_eq!(answered, status, "{what}: {text}");
    let refusal: Value = serde_json::from_slice(&body).expect("a refusal is JSON");
    assert_eq!(refusal["not_run"], true, "{what}: {text}");
    assert!(refusal["reason"].is_string(), "{what}: {text}");
}

fn with(key: &str, value: Value) -> String {
    let mut body = submission("bad", 1);
    body[key] = value;
    body.to_string()
}

fn ask(scene: &PortScene, method: &str, path: &str, body: &Value) -> (u16, Value) {
    call_json(scene.daemon.operators(), method, path, body).expect("the call is answered")
}

fn revision(scene: &PortScene) -> Value {
    ask(scene, "GET", "/v1/status", &Value::Null).1["revision"].clone()
}

//! A daemon that follows the platform's list of VMs.

use serde_json::Value;

use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::DaemonProcess;
use sapphirestile_test_support::TestFleet;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const DAEMON: &str = env!("CARGO_BIN_EXE_sapphirestiled");
const FOLDER: &str = concat!(env!("CARGO_TARGET_TMPDIR"), "/list_polling");
const RUNNER_GONE: &str = "runner-near-a-0";

fn tokens(daemon: &DaemonProcess) -> Option<u64> {
    let answer = call_json(daemon.operators(), "GET", "/v1/status", &Value::Null);
    let (_, status) = answer?;
    status["services"][0]["tokens"].as_u64()
}

fn wait_for_tokens(daemon: &DaemonProcess, wanted: u64) {
    wait_until("the daemon holds the tokens of the list", || {
        (tokens(daemon)? == wanted).then_some(())
    });
}

fn wait_for_unchanged(scene: &TestFleet) {
    let counts = || scene.platform().vms().service().counts();
    let before = counts().unchanged;
    wait_until("the list is asked for by its tag", || {
        (counts().unchanged >= before + 2).then_some(())
    });
}

#[test]
fn a_list_is_sent_once_and_followed_when_it_changes() {
    let scene = TestFleet::start(DAEMON, FOLDER, FleetPlan::default());
    let daemon = scene.start_daemon("entry-1", "near-a", &[]);
    scene.put_document(daemon.operators());
    let all = wait_until("the daemon holds tokens", || {
        tokens(&daemon).filter(|tokens| *tokens > 0)
    });
    wait_for_unchanged(&scene);

    scene.platform().remove(RUNNER_GONE);
    let slots = u64::from(FleetPlan::default().runner.slots);
    wait_for_tokens(&daemon, all - slots);
    wait_for_unchanged(&scene);

    // An empty list is not believed, and its tag is not kept: the list that comes
    // after it is read.
    scene.platform().vms().service().replace(Vec::new());
    let reads = || scene.platform().vms().service().counts().reads;
    let before = reads();
    wait_until("the empty list is read", || {
        (reads() >= before + 2).then_some(())
    });
    assert_eq!(tokens(&daemon), Some(all - slots));
}

//! A real daemon that polls the platform's list of VMs: an unchanged list is not sent again,
//! and an empty list is not used.

use serde_json::Value;

use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::DaemonProcess;
use sapphirestile_test_support::TestFleet;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const DAEMON: &str = env!("CARGO_BIN_EXE_sapphirestiled");
const FOLDER: &str = concat!(env!("CARGO_TARGET_TMPDIR"), "/list_polling");
const REMOVED_RUNNER: &str = "runner-near-a-0";

fn tokens(daemon: &DaemonProcess) -> Option<u64> {
    let answer = call_json(daemon.operators(), "GET", "/v1/status", &Value::Null);
    let (_, status) = answer?;
    status["services"][0]["tokens"].as_u64()
}

fn wait_for_tokens(daemon: &DaemonProcess, expected: u64) {
    wait_until("the daemon holds the tokens of the listed runners", || {
        (tokens(daemon)? == expected).then_some(())
    });
}

/// Waits for two more reads that the platform answers as unchanged.
fn wait_for_unchanged(fleet: &TestFleet) {
    let counts = || fleet.platform().vms().service().counts();
    let before = counts().unchanged;
    wait_until("two more reads answered as unchanged", || {
        (counts().unchanged >= before + 2).then_some(())
    });
}

#[test]
fn an_unchanged_list_is_sent_once_and_changes_are_applied() {
    let fleet = TestFleet::start(DAEMON, FOLDER, FleetPlan::default());
    let daemon = fleet.start_daemon("entry-1", "near-a", &[]);
    fleet.put_document(daemon.operators());
    let initial = wait_until("the daemon holds tokens", || {
        tokens(&daemon).filter(|tokens| *tokens > 0)
    });
    wait_for_unchanged(&fleet);

    fleet.platform().remove(REMOVED_RUNNER);
    let slots = u64::from(FleetPlan::default().runner.slots);
    wait_for_tokens(&daemon, initial - slots);
    wait_for_unchanged(&fleet);

    // An empty list is not used and its tag is not kept, so the next list is read in full.
    fleet.platform().vms().service().replace(Vec::new());
    let reads = || fleet.platform().vms().service().counts().reads;
    let before = reads();
    wait_until("the empty list is read", || {
        (reads() >= before + 2).then_some(())
    });
    assert_eq!(tokens(&daemon), Some(initial - slots));
}

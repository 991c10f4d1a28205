use serde_json::Value;

use crate::support::Stage;
use crate::support::submit;
use crate::support::wait_job;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;
use sapphirestile_wire::vms::VmState;

/// A runner and a worker are listed as leaving: once the daemons have read the
/// list, neither is given anything new.
#[test]
fn a_leaving_target_is_given_nothing_new() {
    let stage = Stage::set("leaving_target", FleetPlan::default());
    let operators = stage.operators();
    let platform = stage.scene.platform();
    platform.set_state("runner-near-a-0", VmState::Leaving);
    platform.set_state("worker-near-a-0", VmState::Leaving);
    for address in &operators {
        wait_until("the list is read", || {
            let (_, listing) = call_json(*address, "GET", "/v1/vms", &Value::Null)?;
            let leaving = listing["vms"]
                .as_array()?
                .iter()
                .filter(|vm| vm["state"] == "leaving");
            (leaving.count() == 2).then_some(())
        });
        // The routing table follows in the same step of the same thread.
        wait_until("the table is made", || {
            let (_, dump) = call_json(*address, "GET", "/v1/dump", &Value::Null)?;
            let runners = dump["runners"].as_array()?.clone();
            runners
                .iter()
                .any(|runner| runner["leaving"] == true)
                .then_some(())
        });
    }
    let runs = platform.runners()[0].service().counts().runs;
    for daemon in &stage.daemons {
        for _ in 0..20 {
            wait_until("a request is answered", || {
                call(daemon.callers(), "POST", "/sizing/fit", &[], b"neck 41 cm")
                    .filter(|answer| answer.status == 200)
            });
        }
    }
    submit(operators[0], "patterns", 12, 200);
    wait_job(operators[1], "patterns", "finished");
    assert_eq!(platform.runners()[0].service().counts().runs, runs);
    assert!(platform.workers()[0].service().history().is_empty());
}

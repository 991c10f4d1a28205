use serde_json::Value;

use crate::support::TestCluster;
use crate::support::submit;
use crate::support::wait_job_state;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;
use sapphirestile_wire::vms::VmState;

/// A runner and a worker are listed as leaving. Once the daemons have read the list, the
/// runner must get no new request and the worker no new task.
#[test]
fn leaving_targets_get_no_new_work() {
    let cluster = TestCluster::start("leaving_target", FleetPlan::default());
    let operators = cluster.operators();
    let platform = cluster.fleet.platform();
    platform.set_state("runner-near-a-0", VmState::Leaving);
    platform.set_state("worker-near-a-0", VmState::Leaving);
    for address in &operators {
        wait_until("the daemon shows two VMs as leaving", || {
            let (_, listing) = call_json(*address, "GET", "/v1/vms", &Value::Null)?;
            let leaving = listing["vms"]
                .as_array()?
                .iter()
                .filter(|vm| vm["state"] == "leaving");
            (leaving.count() == 2).then_some(())
        });
        // The thread that reads the list publishes the routing table right after it.
        wait_until("the routing table has a leaving runner", || {
            let (_, dump) = call_json(*address, "GET", "/v1/dump", &Value::Null)?;
            let runners = dump["runners"].as_array()?.clone();
            runners
                .iter()
                .any(|runner| runner["leaving"] == true)
                .then_some(())
        });
    }
    let runs = platform.runners()[0].service().counts().runs;
    for daemon in &cluster.daemons {
        for _ in 0..20 {
            wait_until("a request is answered", || {
                call(daemon.callers(), "POST", "/sizing/fit", &[], b"neck 41 cm")
                    .filter(|answer| answer.status == 200)
            });
        }
    }
    submit(operators[0], "patterns", 12, 200);
    wait_job_state(operators[1], "patterns", "finished");
    assert_eq!(platform.runners()[0].service().counts().runs, runs);
    assert!(platform.workers()[0].service().history().is_empty());
}

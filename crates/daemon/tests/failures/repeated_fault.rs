use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::support::Stage;
use crate::support::submit;
use crate::support::wait_job;
use crate::support::wait_running;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::store::StoreFaults;
use sapphirestile_standins::vms::VmListFaults;
use sapphirestile_standins::worker::WorkerFaults;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const NAME: &str = "repeated_fault";
const HEARTBEAT: Duration = Duration::from_millis(100);
const HEARTBEATS: usize = 120;
/// A line at once from each of a few places, and another with a count.
const LINES_MAX: usize = 16;
/// As JSON writes it.
const ESCAPE: &str = "\\u001b";
const SILENT_MS: u64 = 60_000;

/// The store, the list of VMs, a worker and the owner are away for many heartbeats:
/// each of the others writes a bounded number of lines, with the count of those
/// held back, and every line carries its step and its peer.
#[test]
fn a_fault_that_repeats_does_not_flood_the_log() {
    Stage::clear_logs(NAME);
    let plan = FleetPlan {
        workers: 2,
        ..FleetPlan::default()
    };
    let stage = Stage::set(NAME, plan);
    submit(stage.daemons[0].operators(), "patterns", 4, 4_000);
    wait_running(stage.daemons[0].operators(), "patterns");
    let before: Vec<usize> = log_lengths(&stage);

    let platform = stage.scene.platform();
    let owner = stage.owner_of("patterns");
    stage.daemons[owner].suspend();
    platform.workers()[0].service().set_faults(WorkerFaults {
        slow_ms: SILENT_MS,
        ..WorkerFaults::default()
    });
    platform.vms().service().set_faults(VmListFaults {
        down: true,
        ..VmListFaults::default()
    });
    platform.store().service().set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    for _ in 0..HEARTBEATS {
        thread::sleep(HEARTBEAT);
    }
    let others: Vec<usize> = (0..stage.daemons.len())
        .filter(|place| *place != owner)
        .collect();
    for place in &others {
        let address = stage.daemons[*place].operators();
        wait_until("the daemon knows that the store is away", || {
            let (_, status) = call_json(address, "GET", "/v1/status", &Value::Null)?;
            (status["store_reachable"] == false).then_some(())
        });
    }
    for place in others {
        let lines = stage.log_lines(place).split_off(before[place]);
        assert!(
            lines.len() <= LINES_MAX,
            "{} lines: {lines:#?}",
            lines.len()
        );
        let held_back = lines
            .iter()
            .filter_map(|line| line["fields"]["repeats"].as_u64());
        assert!(held_back.sum::<u64>() > 0, "no line counts: {lines:#?}");
    }

    platform
        .store()
        .service()
        .set_faults(StoreFaults::default());
    platform.vms().service().set_faults(VmListFaults::default());
    platform.workers()[0]
        .service()
        .set_faults(WorkerFaults::default());
    stage.daemons[owner].resume();
    wait_job(stage.operators()[0], "patterns", "finished");
    for place in 0..stage.daemons.len() {
        for line in stage.log_lines(place) {
            let fields = &line["fields"];
            assert!(fields["step"].is_string(), "{line}");
            assert!(fields["peer"].is_string(), "{line}");
            assert!(!line.to_string().contains(ESCAPE), "{line}");
        }
    }
}

fn log_lengths(stage: &Stage) -> Vec<usize> {
    let places = 0..stage.daemons.len();
    places.map(|place| stage.log_lines(place).len()).collect()
}

use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::support::TestCluster;
use crate::support::submit;
use crate::support::wait_all_running;
use crate::support::wait_job_state;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::store::StoreFaults;
use sapphirestile_standins::vms::VmListFaults;
use sapphirestile_standins::worker::WorkerFaults;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const NAME: &str = "repeated_errors";
const HEARTBEAT: Duration = Duration::from_millis(100);
/// The length of the outage in heartbeats.
const OUTAGE_HEARTBEATS: usize = 120;
/// The maximum number of log lines of a daemon during the outage: one at once from each of
/// the few sources of errors, and a later one with the count of suppressed lines.
const LINES_MAX: usize = 16;
/// The start of a terminal's escape sequence, as JSON writes it.
const ESCAPE: &str = "\\u001b";
/// The delay of the worker's responses, longer than the outage.
const WORKER_DELAY_MS: u64 = 60_000;

/// The store, the list of VMs, a worker and the owner do not respond for many heartbeats. Each
/// of the other daemons must write a bounded number of log lines, with the count of those
/// that were suppressed, and every line must name its step and its peer.
#[test]
fn repeated_errors_do_not_flood_the_log() {
    TestCluster::clear_logs(NAME);
    let plan = FleetPlan {
        workers: 2,
        ..FleetPlan::default()
    };
    let cluster = TestCluster::start(NAME, plan);
    submit(cluster.daemons[0].operators(), "patterns", 4, 4_000);
    wait_all_running(cluster.daemons[0].operators(), "patterns");
    let lengths_before: Vec<usize> = log_lengths(&cluster);

    let platform = cluster.fleet.platform();
    let owner = cluster.owner_index("patterns");
    cluster.daemons[owner].suspend();
    platform.workers()[0].service().set_faults(WorkerFaults {
        slow_ms: WORKER_DELAY_MS,
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
    for _ in 0..OUTAGE_HEARTBEATS {
        thread::sleep(HEARTBEAT);
    }
    let others: Vec<usize> = (0..cluster.daemons.len())
        .filter(|index| *index != owner)
        .collect();
    for index in &others {
        let address = cluster.daemons[*index].operators();
        wait_until("the daemon reports that the store is unreachable", || {
            let (_, status) = call_json(address, "GET", "/v1/status", &Value::Null)?;
            (status["store_reachable"] == false).then_some(())
        });
    }
    for index in others {
        let lines = cluster.log_lines(index).split_off(lengths_before[index]);
        assert!(
            lines.len() <= LINES_MAX,
            "{} log lines, expected at most 16: {lines:#?}",
            lines.len()
        );
        let suppressed = lines
            .iter()
            .filter_map(|line| line["fields"]["repeats"].as_u64());
        assert!(
            suppressed.sum::<u64>() > 0,
            "no line has a count of suppressed lines: {lines:#?}"
        );
    }

    platform
        .store()
        .service()
        .set_faults(StoreFaults::default());
    platform.vms().service().set_faults(VmListFaults::default());
    platform.workers()[0]
        .service()
        .set_faults(WorkerFaults::default());
    cluster.daemons[owner].resume();
    wait_job_state(cluster.operators()[0], "patterns", "finished");
    for index in 0..cluster.daemons.len() {
        for line in cluster.log_lines(index) {
            let fields = &line["fields"];
            assert!(fields["step"].is_string(), "{line}");
            assert!(fields["peer"].is_string(), "{line}");
            assert!(!line.to_string().contains(ESCAPE), "{line}");
        }
    }
}

fn log_lengths(cluster: &TestCluster) -> Vec<usize> {
    let indexes = 0..cluster.daemons.len();
    indexes
        .map(|index| cluster.log_lines(index).len())
        .collect()
}

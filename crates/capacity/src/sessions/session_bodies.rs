//! Bodies of a session.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::ResourceSize;
use sapphirestile_wire::worker::SessionReport;
use sapphirestile_wire::worker::SessionRequest;
use sapphirestile_wire::worker::TaskPhase;
use sapphirestile_wire::worker::TaskReport;
use sapphirestile_wire::worker::TaskSettled;

use crate::scenes::task_name;

const EPOCH: u64 = 1_000_000;
const LEASE_MS: u64 = 3_600_000;
const PERMIT: u64 = 1_000_000;
const CHECKPOINT_MS: u64 = 120_000;
const USAGE_LAG_MS: u64 = 2_000;
const USAGE: ResourceSize = ResourceSize {
    cpu_milli: 700,
    memory_mb: 1_024,
    accelerators: 0,
};

/// The body of a renewal that settles some ended tasks.
pub fn session_request(settled: u32) -> Vec<u8> {
    let settled = (0..settled).map(|index| TaskSettled {
        task: task_name(0, index),
        attempt: AttemptNumber::new(1),
    });
    let request = SessionRequest {
        cell: CellNumber::new(17),
        epoch: CellEpoch::new(EPOCH),
        lease_ms: LEASE_MS,
        settled: settled.collect(),
    };
    serde_json::to_vec(&request).expect("a session is encodable")
}

/// The body of a report of running tasks.
pub fn session_report(tasks: u32) -> Vec<u8> {
    let tasks = (0..tasks).map(|index| TaskReport {
        task: task_name(0, index),
        attempt: AttemptNumber::new(1),
        phase: TaskPhase::Running,
        checkpoint_ms: CHECKPOINT_MS,
        usage: USAGE,
        usage_age_ms: USAGE_LAG_MS,
        throttle_cpu_milli: None,
    });
    let report = SessionReport {
        permit: PERMIT,
        size: USAGE,
        tasks: tasks.collect(),
    };
    serde_json::to_vec(&report).expect("a report is encodable")
}

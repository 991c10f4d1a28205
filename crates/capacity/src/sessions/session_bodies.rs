//! Requests and reports of a worker session, and their JSON bodies.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::ResourceSize;
use sapphirestile_wire::worker::KnownReport;
use sapphirestile_wire::worker::SessionReport;
use sapphirestile_wire::worker::SessionRequest;
use sapphirestile_wire::worker::TaskPhase;
use sapphirestile_wire::worker::TaskReport;
use sapphirestile_wire::worker::TaskSettled;

use crate::fixtures::task_name;

// Realistic values: the length of a number in JSON counts.
const EPOCH: u64 = 1_000_000;
const LEASE_MS: u64 = 3_600_000;
const INCARNATION: u64 = 1_800_000_000_000;
const PERMIT: u64 = INCARNATION + 1_000_000;
const CHECKPOINT_MS: u64 = 120_000;
const USAGE_LAG_MS: u64 = 2_000;
const USAGE: ResourceSize = ResourceSize {
    cpu_milli: 700,
    memory_mb: 1_024,
    accelerators: 0,
};

/// Returns the incarnation number of the worker process.
pub const fn incarnation() -> IncarnationNumber {
    IncarnationNumber::new(INCARNATION)
}

/// Returns a request for all tasks, as an owner sends it first; it settles `settled` ended
/// tasks.
pub fn full_request(settled: u32) -> SessionRequest {
    let settled = (0..settled).map(|index| TaskSettled {
        task: task_name(0, index),
        attempt: AttemptNumber::new(1),
    });
    SessionRequest {
        cell: CellNumber::new(17),
        epoch: CellEpoch::new(EPOCH),
        lease_ms: LEASE_MS,
        settled: settled.collect(),
        known: None,
    }
}

/// Returns a request for the changes since the previous report.
pub fn incremental_request() -> SessionRequest {
    let known = KnownReport {
        incarnation: incarnation(),
        permit: PERMIT - 1,
    };
    SessionRequest {
        known: Some(known),
        ..full_request(0)
    }
}

/// Returns a report of all tasks; they run.
pub fn full_report(tasks: u32) -> SessionReport {
    let rows = (0..tasks).map(|index| TaskReport {
        task: task_name(0, index),
        attempt: AttemptNumber::new(1),
        phase: TaskPhase::Running,
        checkpoint_ms: CHECKPOINT_MS,
        usage: USAGE,
        usage_age_ms: USAGE_LAG_MS,
        throttle_cpu_milli: None,
    });
    SessionReport {
        permit: PERMIT,
        incarnation: incarnation(),
        base: None,
        count: tasks,
        size: Some(USAGE),
        tasks: rows.collect(),
        gone: Vec::new(),
    }
}

/// Returns a report of a worker with `tasks` tasks that lists only the `changed` ones.
pub fn incremental_report(tasks: u32, changed: u32) -> SessionReport {
    SessionReport {
        base: Some(PERMIT - 1),
        count: tasks,
        size: None,
        ..full_report(changed)
    }
}

/// Encodes a request as JSON.
pub fn request_body(request: &SessionRequest) -> Vec<u8> {
    serde_json::to_vec(request).expect("a session request can be encoded")
}

/// Encodes a report as JSON.
pub fn response_body(report: &SessionReport) -> Vec<u8> {
    serde_json::to_vec(report).expect("a session report can be encoded")
}

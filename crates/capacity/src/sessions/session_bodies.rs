//! Bodies of a session.

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

use crate::scenes::task_name;

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

/// The life of a worker's program.
pub const fn incarnation() -> IncarnationNumber {
    IncarnationNumber::new(INCARNATION)
}

/// The first request to a worker, which settles some ended tasks.
pub fn first_request(settled: u32) -> SessionRequest {
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

/// A renewal by an owner that has the report before whole.
pub fn later_request() -> SessionRequest {
    let known = KnownReport {
        incarnation: incarnation(),
        permit: PERMIT - 1,
    };
    SessionRequest {
        known: Some(known),
        ..first_request(0)
    }
}

/// A report of all running tasks.
pub fn whole_report(tasks: u32) -> SessionReport {
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

/// A report of a worker with `tasks` of which `changed` have changed.
pub fn change_report(tasks: u32, changed: u32) -> SessionReport {
    SessionReport {
        base: Some(PERMIT - 1),
        count: tasks,
        size: None,
        ..whole_report(changed)
    }
}

/// The body of a request.
pub fn request_body(request: &SessionRequest) -> Vec<u8> {
    serde_json::to_vec(request).expect("a session is encodable")
}

/// The body of an answer.
pub fn report_body(report: &SessionReport) -> Vec<u8> {
    serde_json::to_vec(report).expect("a report is encodable")
}

//! Names as an installation of the two-year size would have.

use sapphirestile_cells::JobSpec;
use sapphirestile_core::CustomerName;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskIndex;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

const TASK_SIZE: ResourceSize = ResourceSize {
    cpu_milli: 1_000,
    memory_mb: 1_024,
    accelerators: 0,
};
const RUN_MS: u64 = 600_000;
const INCARNATION: u64 = 1_000_000;

/// The daemon at one place.
pub fn identity(place: usize) -> DaemonIdentity {
    DaemonIdentity {
        daemon: DaemonName::try_from(format!("entry-{place}")).expect("a valid name"),
        incarnation: IncarnationNumber::new(INCARNATION),
    }
}

/// The worker at one place.
pub fn worker_name(place: usize) -> WorkerName {
    WorkerName::try_from(format!("worker-near-a-{place:05}")).expect("a valid name")
}

/// The job at one place.
pub fn job_order(place: usize, tasks: u32) -> JobSpec {
    JobSpec {
        job: JobName::try_from(format!("pattern-{place:06}")).expect("a valid name"),
        customer: CustomerName::try_from("kennels").expect("a valid name"),
        tasks,
        size: TASK_SIZE,
        run_ms: RUN_MS,
        urgent: false,
        zones: Vec::new(),
    }
}

/// A task of the job at one place.
pub fn task_name(place: usize, index: u32) -> TaskName {
    TaskName {
        job: job_order(place, 1).job,
        index: TaskIndex::new(index),
    }
}

//! Values for tests: workers, jobs and loads.

use std::net::SocketAddr;

use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;
use sapphirestile_jobs::CellLoad;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::QueueTerms;
use sapphirestile_jobs::ResourceVector;
use sapphirestile_jobs::ServiceRoom;
use sapphirestile_jobs::StepSpec;
use sapphirestile_jobs::WorkerEntry;
use sapphirestile_jobs::WorkerIncarnation;

pub const SERVICE: &str = "sizing";

pub const SIZE: ResourceVector = ResourceVector {
    cpu_milli: 1_000,
    memory_mib: 100,
    accelerators: 0,
};

pub fn worker(name: &str, zone: &str, rack: &str) -> WorkerEntry {
    WorkerEntry {
        name: WorkerName::try_from(name).unwrap(),
        service: SERVICE.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8_000)),
        zone: ZoneName::try_from(zone).unwrap(),
        labels: vec!["a".into(), rack.into()],
        capacity: SIZE,
        is_leaving: false,
        incarnation: WorkerIncarnation::from_unix_ms(1),
    }
}

pub fn job_spec(tasks: u32) -> JobSpec {
    JobSpec {
        queue: "charts".into(),
        terms: QueueTerms {
            service: SERVICE.into(),
            priority: 0,
            attempts: 3,
        },
        text: "".into(),
        steps: vec![StepSpec {
            tasks,
            size: SIZE,
            ..StepSpec::default()
        }],
        repeat: None,
        accepted_unix_ms: 0,
    }
}

/// A cell with room for `free` tasks of [`SIZE`], for which `queued` are waiting.
pub fn load(free: u64, queued: u64) -> CellLoad {
    CellLoad {
        rooms: vec![ServiceRoom {
            service: SERVICE.into(),
            workers: 10,
            largest: SIZE,
            labels: vec!["a".into()],
            free_milli: free * SIZE.cpu_milli,
            idle_milli: free * SIZE.cpu_milli,
            queued_milli: queued * SIZE.cpu_milli,
            queued_best_effort_milli: 0,
        }],
    }
}

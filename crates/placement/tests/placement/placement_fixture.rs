//! Workers, customers and jobs for tests.

use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::RackName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskIndex;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;
use sapphirestile_placement::CandidateWorker;
use sapphirestile_placement::CustomerQuota;
use sapphirestile_placement::PlacedTasks;
use sapphirestile_placement::PlacementPolicy;
use sapphirestile_placement::PlacementRefusal;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::UsageSample;
use sapphirestile_placement::WaitingJob;
use sapphirestile_placement::choose_worker;

/// Workers, one customer and the placed tasks of one job.
pub struct PlacementFixture {
    pub workers: Vec<CandidateWorker>,
    pub customer: CustomerQuota,
    pub placed: PlacedTasks,
    pub policy: PlacementPolicy,
}

impl PlacementFixture {
    /// Creates workers, given as `zone/rack/name`, with 4 cores and 8,000 MiB each.
    pub fn new(workers: &[&str]) -> Self {
        Self {
            workers: workers.iter().map(|text| read_worker(text)).collect(),
            customer: CustomerQuota {
                name: CustomerName::try_from("tailors").unwrap(),
                quota: size(1_000_000, 1_000_000, 100),
                allocated: ResourceSize::default(),
                priority: 100,
            },
            placed: PlacedTasks::default(),
            policy: PlacementPolicy::default(),
        }
    }

    /// Places a task and returns the name of its worker. All tasks belong to one job.
    pub fn place(&mut self, requested: ResourceSize) -> Result<String, PlacementRefusal> {
        let request = PlacementRequest::new(requested, &self.customer, &self.placed);
        let choice = choose_worker(&self.workers, &request, &self.policy)?;
        let worker = &mut self.workers[choice.index];
        worker.allocate(&self.policy, &requested);
        self.placed.add(&worker.rack, &worker.zone);
        Ok(worker.name.to_string())
    }

    pub fn set_measured_cpu(&mut self, index: usize, cpu_milli: u64, age_ms: u64) {
        self.workers[index].measured = Some(UsageSample {
            usage: size(cpu_milli, 0, 0),
            age_ms,
        });
    }
}

pub fn size(cpu_milli: u64, memory_mb: u64, accelerators: u32) -> ResourceSize {
    ResourceSize {
        cpu_milli,
        memory_mb,
        accelerators,
    }
}

fn read_worker(text: &str) -> CandidateWorker {
    let mut parts = text.split('/');
    let zone = ZoneName::try_from(parts.next().unwrap()).unwrap();
    let rack = RackName::try_from(parts.next().unwrap()).unwrap();
    let name = WorkerName::try_from(parts.next().unwrap()).unwrap();
    CandidateWorker::new(name, zone, rack, size(4_000, 8_000, 0))
}

pub fn job_name(text: &str) -> JobName {
    JobName::try_from(text).unwrap()
}

pub fn worker_name(text: &str) -> WorkerName {
    WorkerName::try_from(text).unwrap()
}

pub fn customer(name: &str, priority: u32) -> CustomerQuota {
    CustomerQuota {
        name: CustomerName::try_from(name).unwrap(),
        quota: size(1_000_000, 1_000_000, 100),
        allocated: ResourceSize::default(),
        priority,
    }
}

pub fn waiting(name: &str, customer: &str, declared: ResourceSize, tasks: u32) -> WaitingJob {
    WaitingJob {
        name: job_name(name),
        customer: CustomerName::try_from(customer).unwrap(),
        urgent: false,
        declared,
        zones: Vec::new(),
        submitted: MonoTime::from_millis(0),
        not_before: MonoTime::from_millis(0),
        tasks: (0..tasks).rev().map(TaskIndex::new).collect(),
    }
}

//! A few workers and one customer.

use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::RackName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskIndex;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;
use sapphirestile_placement::CustomerRoom;
use sapphirestile_placement::PlacedTasks;
use sapphirestile_placement::PlacementRefusal;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::RoomPolicy;
use sapphirestile_placement::UsageMeasure;
use sapphirestile_placement::WaitingJob;
use sapphirestile_placement::WorkerRoom;
use sapphirestile_placement::choose_worker;

pub struct Scene {
    pub rooms: Vec<WorkerRoom>,
    pub customer: CustomerRoom,
    pub placed: PlacedTasks,
    pub policy: RoomPolicy,
}

impl Scene {
    /// Workers given as `zone/rack/name`, 4 cores and 8,000 MiB each.
    pub fn new(workers: &[&str]) -> Self {
        Self {
            rooms: workers.iter().map(|text| read_worker(text)).collect(),
            customer: CustomerRoom {
                name: CustomerName::try_from("tailors").unwrap(),
                quota: size(1_000_000, 1_000_000, 100),
                given: ResourceSize::default(),
                priority: 100,
            },
            placed: PlacedTasks::default(),
            policy: RoomPolicy::default(),
        }
    }

    /// Places a task of the scene's one job and answers with its worker.
    pub fn place(&mut self, asked: ResourceSize) -> Result<String, PlacementRefusal> {
        let request = PlacementRequest::new(asked, &self.customer, &self.placed);
        let choice = choose_worker(&self.rooms, &request, &self.policy)?;
        let room = &mut self.rooms[choice.place];
        room.give(&self.policy, &asked);
        self.placed.add(&room.rack, &room.zone);
        Ok(room.name.to_string())
    }

    pub fn measure(&mut self, place: usize, cpu_milli: u64, age_ms: u64) {
        self.rooms[place].measured = Some(UsageMeasure {
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

fn read_worker(text: &str) -> WorkerRoom {
    let mut parts = text.split('/');
    let zone = ZoneName::try_from(parts.next().unwrap()).unwrap();
    let rack = RackName::try_from(parts.next().unwrap()).unwrap();
    let name = WorkerName::try_from(parts.next().unwrap()).unwrap();
    WorkerRoom::new(name, zone, rack, size(4_000, 8_000, 0))
}

pub fn job_name(text: &str) -> JobName {
    JobName::try_from(text).unwrap()
}

pub fn worker_name(text: &str) -> WorkerName {
    WorkerName::try_from(text).unwrap()
}

pub fn customer(name: &str, priority: u32) -> CustomerRoom {
    CustomerRoom {
        name: CustomerName::try_from(name).unwrap(),
        quota: size(1_000_000, 1_000_000, 100),
        given: ResourceSize::default(),
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

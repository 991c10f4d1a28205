//! Measures the time to place one task, in nanoseconds.
//!
//! `cargo bench -p sapphirestile-placement --bench placement_decision`

use std::hint::black_box;
use std::time::Instant;

use sapphirestile_core::CustomerName;
use sapphirestile_core::RackName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;
use sapphirestile_placement::CandidateWorker;
use sapphirestile_placement::CustomerQuota;
use sapphirestile_placement::PlacedTasks;
use sapphirestile_placement::PlacementPolicy;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::choose_worker;

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
const WORKERS_PER_RACK: usize = 8;
const ROUNDS: usize = 5;
/// The number of workers examined in each round.
const WORKERS_PER_ROUND: usize = 50_000_000;
const WHOLE: ResourceSize = ResourceSize {
    cpu_milli: 64_000,
    memory_mb: 256_000,
    accelerators: 1,
};
const TASK: ResourceSize = ResourceSize {
    cpu_milli: 1_500,
    memory_mb: 4_000,
    accelerators: 0,
};

fn worker(number: usize) -> CandidateWorker {
    CandidateWorker::new(
        WorkerName::try_from(format!("worker-{number}")).unwrap(),
        ZoneName::try_from(ZONES[number % ZONES.len()]).unwrap(),
        RackName::try_from(format!("rack-{}", number / WORKERS_PER_RACK)).unwrap(),
        WHOLE,
    )
}

fn customer() -> CustomerQuota {
    CustomerQuota {
        name: CustomerName::try_from("tailors").unwrap(),
        quota: ResourceSize {
            cpu_milli: u64::MAX,
            memory_mb: u64::MAX,
            accelerators: u32::MAX,
        },
        allocated: ResourceSize::default(),
        priority: 100,
    }
}

/// Workers with `running` tasks distributed evenly.
fn filled(worker_count: usize, running: usize, policy: &PlacementPolicy) -> Vec<CandidateWorker> {
    let mut workers = (0..worker_count).map(worker).collect::<Vec<_>>();
    for task in 0..running {
        workers[task % worker_count].allocate(policy, &TASK);
    }
    workers
}

/// The mean time to choose a worker, allocate and release a task, in nanoseconds.
fn measure_round(workers: &mut [CandidateWorker], policy: &PlacementPolicy) -> u128 {
    let customer = customer();
    let mut placed = PlacedTasks::default();
    let placements = WORKERS_PER_ROUND / workers.len();
    let begin = Instant::now();
    for _ in 0..placements {
        let request = PlacementRequest::new(TASK, &customer, &placed);
        let choice = choose_worker(black_box(workers), &request, policy).unwrap();
        let worker = &mut workers[choice.index];
        worker.allocate(policy, &TASK);
        placed.add(&worker.rack, &worker.zone);
        placed.remove(&worker.rack, &worker.zone);
        worker.release(&TASK);
    }
    begin.elapsed().as_nanos() / placements as u128
}

fn main() {
    let policy = PlacementPolicy::default();
    println!("workers running least median most placements/s");
    for (worker_count, running) in [(48, 1_000), (140, 3_000), (2_000, 43_000), (8_700, 190_000)] {
        let mut workers = filled(worker_count, running, &policy);
        let mut times = (0..ROUNDS)
            .map(|_| measure_round(&mut workers, &policy))
            .collect::<Vec<_>>();
        times.sort_unstable();
        let (least, median, most) = (times[0], times[ROUNDS / 2], times[ROUNDS - 1]);
        let rate = 1_000_000_000 / median;
        println!("{worker_count} {running} {least} {median} {most} {rate}");
    }
}

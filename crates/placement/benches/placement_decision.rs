//! Prints the time of placing one task, in nanoseconds.
//!
//! `cargo bench -p sapphirestile-placement --bench placement_decision`

use std::hint::black_box;
use std::time::Instant;

use sapphirestile_core::CustomerName;
use sapphirestile_core::RackName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;
use sapphirestile_placement::CustomerRoom;
use sapphirestile_placement::PlacedTasks;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::RoomPolicy;
use sapphirestile_placement::WorkerRoom;
use sapphirestile_placement::choose_worker;

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
const WORKERS_PER_RACK: usize = 8;
const ROUNDS: usize = 5;
/// Worker rooms that each round looks at.
const LOOKS_PER_ROUND: usize = 50_000_000;
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

fn room(number: usize) -> WorkerRoom {
    WorkerRoom::new(
        WorkerName::try_from(format!("worker-{number}")).unwrap(),
        ZoneName::try_from(ZONES[number % ZONES.len()]).unwrap(),
        RackName::try_from(format!("rack-{}", number / WORKERS_PER_RACK)).unwrap(),
        WHOLE,
    )
}

fn customer() -> CustomerRoom {
    CustomerRoom {
        name: CustomerName::try_from("tailors").unwrap(),
        quota: ResourceSize {
            cpu_milli: u64::MAX,
            memory_mb: u64::MAX,
            accelerators: u32::MAX,
        },
        given: ResourceSize::default(),
        priority: 100,
    }
}

/// Workers with `running` tasks placed by the decision itself.
fn filled(workers: usize, running: usize, policy: &RoomPolicy) -> Vec<WorkerRoom> {
    let mut rooms = (0..workers).map(room).collect::<Vec<_>>();
    for task in 0..running {
        rooms[task % workers].give(policy, &TASK);
    }
    rooms
}

/// Nanoseconds for a task chosen, given and taken back.
fn round(rooms: &mut [WorkerRoom], policy: &RoomPolicy) -> u128 {
    let customer = customer();
    let mut placed = PlacedTasks::default();
    let placements = LOOKS_PER_ROUND / rooms.len();
    let begin = Instant::now();
    for _ in 0..placements {
        let request = PlacementRequest::new(TASK, &customer, &placed);
        let choice = choose_worker(black_box(rooms), &request, policy).unwrap();
        let room = &mut rooms[choice.place];
        room.give(policy, &TASK);
        placed.add(&room.rack, &room.zone);
        placed.remove(&room.rack, &room.zone);
        room.take_back(&TASK);
    }
    begin.elapsed().as_nanos() / placements as u128
}

fn main() {
    let policy = RoomPolicy::default();
    println!("workers running least median most placements/s");
    for (workers, running) in [(48, 1_000), (140, 3_000), (2_000, 43_000), (8_700, 190_000)] {
        let mut rooms = filled(workers, running, &policy);
        let mut times = (0..ROUNDS)
            .map(|_| round(&mut rooms, &policy))
            .collect::<Vec<_>>();
        times.sort_unstable();
        let (least, median, most) = (times[0], times[ROUNDS / 2], times[ROUNDS - 1]);
        let rate = 1_000_000_000 / median;
        println!("{workers} {running} {least} {median} {most} {rate}");
    }
}

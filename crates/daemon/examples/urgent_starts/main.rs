//! Measures the start delay of urgent tasks, with daemons as separate processes.
//!
//! Worker stand-ins run inside this process. An [`UrgentFleet`](urgent_fleet::UrgentFleet)
//! submits urgent jobs one after the other and reads from the workers when they started: first
//! on empty workers, then on workers filled by a backlog, then after the owner of the cell was
//! killed. [`StartDelays`](start_delays::StartDelays) summarizes the delays. Build the daemon
//! first:
//!
//! ```text
//! cargo build --release -p sapphirestile-daemon
//! cargo run --release -p sapphirestile-daemon --example urgent_starts
//! ```

mod start_delays;
mod urgent_fleet;

use crate::start_delays::StartDelays;
use crate::urgent_fleet::UrgentFleet;

const ROUNDS: usize = 3;
const JOBS: usize = 30;

fn main() {
    for round in 1..=ROUNDS {
        let mut fleet = UrgentFleet::start(round);
        println!("round {round}, empty workers: {}", measure(&fleet, "empty"));
        fleet.fill_workers();
        println!("round {round}, full workers: {}", measure(&fleet, "full"));
        fleet.kill_owner();
        println!(
            "round {round}, full workers after the owner was killed: {}",
            measure(&fleet, "killed")
        );
    }
}

fn measure(fleet: &UrgentFleet, prefix: &str) -> StartDelays {
    (0..JOBS)
        .map(|number| fleet.measure_urgent_start(&format!("{prefix}-{number}")))
        .collect()
}

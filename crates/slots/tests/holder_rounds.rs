//! Randomised simulation of token holders under faults.
//!
//! `SLOTS_SEED=7 cargo test -p sapphirestile-slots --test holder_rounds` replays
//! one seed; `SLOTS_SEEDS=5000` runs that many seeds.

#[path = "holder_rounds/event_counts.rs"]
mod event_counts;
#[path = "holder_rounds/gauge_set.rs"]
mod gauge_set;
#[path = "holder_rounds/holder_process.rs"]
mod holder_process;
#[path = "holder_rounds/simulation_faults.rs"]
mod simulation_faults;
#[path = "holder_rounds/simulation_invariants.rs"]
mod simulation_invariants;
#[path = "holder_rounds/simulation_network.rs"]
mod simulation_network;
#[path = "holder_rounds/simulation_recovery.rs"]
mod simulation_recovery;
#[path = "holder_rounds/token_simulation.rs"]
mod token_simulation;

use event_counts::EventCounts;
use token_simulation::TokenSimulation;

const SEEDS_DEFAULT: u64 = 300;
const STEPS: u32 = 600;

fn env_number(variable: &str) -> Option<u64> {
    let text = std::env::var(variable).ok()?;
    Some(
        text.parse()
            .expect("SLOTS_SEED and SLOTS_SEEDS must be numbers"),
    )
}

fn run_seed(seed: u64) -> EventCounts {
    println!("SLOTS_SEED={seed}");
    let mut simulation = TokenSimulation::new(seed);
    for _ in 0..STEPS {
        simulation.step();
        simulation.assert_slot_limits();
    }
    simulation.recover();
    simulation.assert_all_usable();
    simulation.counts
}

#[test]
fn slot_limits_hold_and_all_tokens_are_recovered() {
    if let Some(seed) = env_number("SLOTS_SEED") {
        println!("{:?}", run_seed(seed));
        return;
    }
    let mut counts = EventCounts::default();
    for seed in 0..env_number("SLOTS_SEEDS").unwrap_or(SEEDS_DEFAULT) {
        counts.add(&run_seed(seed));
    }
    println!("{counts:?}");
    counts.assert_all_happened();
}

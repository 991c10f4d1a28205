//! Randomised rounds of holders under faults.
//!
//! `SLOTS_SEED=7 cargo test -p sapphirestile-slots --test holder_rounds` replays
//! one seed; `SLOTS_SEEDS=5000` runs as many.

#[path = "holder_rounds/event_counts.rs"]
mod event_counts;
#[path = "holder_rounds/gauge_set.rs"]
mod gauge_set;
#[path = "holder_rounds/holder_life.rs"]
mod holder_life;
#[path = "holder_rounds/round_world.rs"]
mod round_world;
#[path = "holder_rounds/world_bounds.rs"]
mod world_bounds;
#[path = "holder_rounds/world_faults.rs"]
mod world_faults;
#[path = "holder_rounds/world_healing.rs"]
mod world_healing;
#[path = "holder_rounds/world_network.rs"]
mod world_network;

use event_counts::EventCounts;
use round_world::RoundWorld;

const SEEDS_DEFAULT: u64 = 300;
const STEPS: u32 = 600;

fn number(variable: &str) -> Option<u64> {
    let text = std::env::var(variable).ok()?;
    Some(text.parse().expect("a seed is a number"))
}

fn run_seed(seed: u64) -> EventCounts {
    println!("SLOTS_SEED={seed}");
    let mut world = RoundWorld::new(seed);
    for _ in 0..STEPS {
        world.step();
        world.assert_bounds();
    }
    world.heal();
    world.assert_whole();
    world.counts
}

#[test]
fn tokens_stay_bounded_and_all_come_back() {
    if let Some(seed) = number("SLOTS_SEED") {
        println!("{:?}", run_seed(seed));
        return;
    }
    let mut counts = EventCounts::default();
    for seed in 0..number("SLOTS_SEEDS").unwrap_or(SEEDS_DEFAULT) {
        counts.add(&run_seed(seed));
    }
    println!("{counts:?}");
    counts.assert_all_happened();
}

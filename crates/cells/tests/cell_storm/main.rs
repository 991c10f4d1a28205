//! Long randomised runs of the owner's decisions behind small fakes.
//!
//! A [`StormWorld`] has three daemons with the real `CellOwner`, a store, two to six
//! workers in two zones and a network, all in virtual time. Faults are drawn
//! from the seed; a run that fails prints it, and the same seed replays it. The
//! [`RunLedger`](run_ledger::RunLedger) asserts what must hold at each commit, start and end.

mod claim_try;
mod daemon_role;
mod event_queue;
mod fake_commit;
mod fake_store;
mod fake_task;
mod fake_worker;
mod fault_counts;
mod flight_try;
mod owned_cell;
mod owner_term;
mod run_ledger;
mod session_answer;
mod store_answer;
mod storm_daemon;
mod storm_event;
mod storm_world;

use fault_counts::FaultCounts;
use storm_world::StormWorld;
use test_case::test_case;

const STORM_MS: u64 = 180_000;
const SEEDS: u64 = 24;

fn run_storm(seed: u64) -> FaultCounts {
    println!("seed {seed}");
    let mut world = StormWorld::new(seed);
    world.storm(STORM_MS);
    world.calm();
    println!("seed {seed}: {:?}", world.counts());
    world.counts().clone()
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn every_task_runs_to_its_end_once(first: u64) {
    let mut total = FaultCounts::default();
    for seed in (first..=SEEDS).step_by(4) {
        total.add(&run_storm(seed));
    }
    println!("in all: {total:?}");
    assert!(total.has_every_kind(), "a kind of fault was never drawn");
}

#[test]
fn a_seed_replays_its_run() {
    assert_eq!(run_storm(7), run_storm(7));
}

/// A longer run: `STORM_SEEDS=1000..2000 cargo test -p sapphirestile-cells`.
#[test]
fn seeds_of_the_environment_hold() {
    let range = std::env::var("STORM_SEEDS").unwrap_or_default();
    let Some((first, end)) = range.split_once("..") else {
        return;
    };
    let first: u64 = first.parse().expect("the first seed is a number");
    let end: u64 = end.parse().expect("the end of the seeds is a number");
    let mut total = FaultCounts::default();
    for seed in first..end {
        total.add(&run_storm(seed));
    }
    println!("seeds {first} to {end}: {total:?}");
}

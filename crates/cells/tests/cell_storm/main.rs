//! Randomised simulation of owners of one cell behind small fakes.
//!
//! A [`SimulatedCluster`] has three daemons with the real `CellOwner`, a store, two to
//! six workers in two zones and a network, all in virtual time. Faults are drawn from
//! the seed; a failing run prints it, and the same seed replays the run. The
//! [`InvariantChecker`](invariant_checker::InvariantChecker) checks the invariants at each
//! commit, start and end.

mod claim_attempt;
mod commit_attempt;
mod daemon_role;
mod event_queue;
mod fake_commit;
mod fake_store;
mod fake_task;
mod fake_worker;
mod fault_counts;
mod invariant_checker;
mod owned_cell;
mod owner_term;
mod session_answer;
mod simulated_cluster;
mod simulated_daemon;
mod simulated_event;
mod store_answer;

use fault_counts::FaultCounts;
use simulated_cluster::SimulatedCluster;
use test_case::test_case;

const FAULTS_MS: u64 = 180_000;
const SEEDS: u64 = 24;

fn run_simulation(seed: u64) -> FaultCounts {
    println!("seed {seed}");
    let mut cluster = SimulatedCluster::new(seed);
    cluster.run_with_faults(FAULTS_MS);
    cluster.run_without_faults();
    println!("seed {seed}: {:?}", cluster.counts());
    cluster.counts().clone()
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn every_task_finishes_once_despite_faults(first: u64) {
    let mut total = FaultCounts::default();
    for seed in (first..=SEEDS).step_by(4) {
        total.add(&run_simulation(seed));
    }
    println!("total: {total:?}");
    assert!(
        total.has_every_kind(),
        "a kind of fault never occurred: {total:?}"
    );
}

#[test]
fn the_same_seed_replays_the_same_run() {
    assert_eq!(run_simulation(7), run_simulation(7));
}

/// Runs more seeds: `STORM_SEEDS=1000..2000 cargo test -p sapphirestile-cells`.
#[test]
fn seeds_from_the_environment_pass() {
    let range = std::env::var("STORM_SEEDS").unwrap_or_default();
    let Some((first, end)) = range.split_once("..") else {
        return;
    };
    let first: u64 = first
        .parse()
        .expect("STORM_SEEDS is FIRST..END and FIRST is a number");
    let end: u64 = end
        .parse()
        .expect("STORM_SEEDS is FIRST..END and END is a number");
    let mut total = FaultCounts::default();
    for seed in first..end {
        total.add(&run_simulation(seed));
    }
    println!("seeds {first} to {end}: {total:?}");
}

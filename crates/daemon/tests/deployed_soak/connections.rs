//! Connections that are open and of no use: silent ones, and those of daemons that stand still.

use std::panic;

use crate::SEEDS_VARIABLE;
use crate::gap_check::GapCheck;
use crate::seeds_of;
use crate::soak_scenario::SoakScenario;

/// The seeds of a run without given seeds, as in CI.
const SEEDS_DEFAULT: &str = "801..801";

/// The number of faults of a run without given seeds, as in CI.
const FAULTS_DEFAULT: u32 = 2;

/// The number of faults of a run with given seeds.
const FAULTS_GIVEN_SEEDS: u32 = 5;

/// Guards against connections that are handed out although they have failed, and against owners
/// that leave no connection to a worker for the next one. Without seeds in the environment, only
/// what must happen in the end is checked, and by hand how soon.
#[test]
fn jobs_are_cancelled_and_begun_in_spite_of_dead_connections() {
    let Ok(range) = std::env::var(SEEDS_VARIABLE) else {
        for seed in seeds_of(SEEDS_DEFAULT) {
            play_seed(seed, FAULTS_DEFAULT, GapCheck::Order);
        }
        return;
    };
    let plays = seeds_of(&range).map(|seed| {
        let play = || play_seed(seed, FAULTS_GIVEN_SEEDS, GapCheck::Bound);
        (seed, panic::catch_unwind(play))
    });
    let failed = plays.filter(|(_, result)| result.is_err());
    let failed: Vec<u64> = failed.map(|(seed, _)| seed).collect();
    assert!(failed.is_empty(), "seeds {failed:?} failed");
}

fn play_seed(seed: u64, faults: u32, check: GapCheck) {
    println!("seed {seed}");
    SoakScenario::start(seed).run_connection_faults(faults, check);
}

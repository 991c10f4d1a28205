//! Real daemons on stand-ins of the users' platform, through faults from outside.
//!
//! A [`SoakWorld`] starts three daemons as processes, each with a link of its own to
//! the store, and four workers behind links. Callers hand jobs in over connections
//! that they keep. A [`SoakFault`] a moment is drawn from the seed: signals to
//! processes, links that are cut, silent, held one way or slow, a store that is away
//! or loses answers; several may overlap. Then all is mended, and every job that was
//! accepted has to end as it should. What callers and workers saw is checked, not
//! what daemons say of themselves.
//!
//! `SOAK_SEEDS=4..50 cargo test -p sapphirestile-daemon --test deployed_soak environment`
//! runs seeds by hand.

mod job_ledger;
mod soak_caller;
mod soak_daemon;
mod soak_fault;
mod soak_world;

use test_case::test_case;

use crate::soak_world::SoakWorld;

/// How many faults a run of CI draws.
const FAULTS_SHORT: u32 = 8;

/// How many faults a run by hand draws.
const FAULTS_LONG: u32 = 16;

/// Each failed once, or had a daemon fail; the cause stands beside it.
#[test_case(1; "a reload during the start ended the daemon")]
#[test_case(2; "links that are silent to the end")]
#[test_case(20; "a port that became a connection, and a group that lost its parents")]
fn promises_hold_through_a_few_faults(seed: u64) {
    SoakWorld::start(seed).run(FAULTS_SHORT);
}

/// Without seeds in the environment, one seed and few faults.
#[test]
fn promises_hold_for_seeds_of_the_environment() {
    let given = std::env::var("SOAK_SEEDS").ok();
    let faults = given.as_ref().map_or(FAULTS_SHORT, |_| FAULTS_LONG);
    let span = given.unwrap_or_else(|| "3..3".to_owned());
    let (first, last) = span.split_once("..").expect("seeds are given as 1..50");
    let number = |text: &str| text.parse::<u64>().expect("a seed is a number");
    for seed in number(first)..=number(last) {
        println!("seed {seed}");
        SoakWorld::start(seed).run(faults);
    }
}

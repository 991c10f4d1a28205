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
//! `SOAK_SEEDS=1..50 cargo test -p sapphirestile-daemon --test deployed_soak -- --ignored`
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

#[test_case(1)]
#[test_case(2)]
fn promises_hold_through_a_few_faults(seed: u64) {
    SoakWorld::start(seed).run(FAULTS_SHORT);
}

#[test]
#[ignore = "takes minutes: seeds are given by hand"]
fn promises_hold_for_seeds_by_hand() {
    let span = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..3".to_owned());
    let (first, last) = span.split_once("..").expect("seeds are given as 1..50");
    let number = |text: &str| text.parse::<u64>().expect("a seed is a number");
    for seed in number(first)..=number(last) {
        println!("seed {seed}");
        SoakWorld::start(seed).run(FAULTS_LONG);
    }
}

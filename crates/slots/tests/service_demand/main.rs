//! Tests of the distribution of tokens over regions.

mod region_simulation;

use region_simulation::RegionSimulation;
use test_case::test_case;

/// The number of rounds within which the distribution must become stable.
const STABLE_ROUNDS_MAX: usize = 12;

/// Four members on the coast and three inland, for twelve runners of eight slots each.
const LARGE: [&str; 7] = [
    "coast", "coast", "coast", "coast", "inland", "inland", "inland",
];

#[test]
fn tokens_move_to_the_members_of_their_region() {
    let mut simulation =
        RegionSimulation::new(&["coast", "coast", "inland"], &["coast", "coast", "inland"]);
    simulation.set_weights(&[20_000, 20_000, 20_000]);
    let first = simulation.step();
    assert_eq!(
        first,
        [
            "runner-0: vm-2 gives 1 to vm-0",
            "runner-1: vm-2 gives 1 to vm-1",
            "runner-1: vm-2 gives 1 to vm-0",
            "runner-2: vm-1 gives 1 to vm-2",
            "runner-2: vm-1 gives 1 to vm-2",
            "runner-2: vm-1 gives 1 to vm-2",
            "runner-2: vm-0 gives 1 to vm-2",
        ]
    );
    assert!(simulation.step().is_empty());
}

#[test]
fn region_that_meets_its_demand_keeps_one_token_at_each_runner_of_the_other() {
    let mut simulation = RegionSimulation::with_twelve_runners(&LARGE);
    simulation.set_weights(&[5_000; 7]);
    simulation.step_until_stable(STABLE_ROUNDS_MAX);
    assert_eq!(simulation.held_by_region("coast", "inland"), 6);
    assert_eq!(simulation.held_by_region("inland", "coast"), 6);
    assert!(simulation.held().iter().all(|held| *held > 0));
}

#[test_case(&[20_000, 20_000, 20_000, 20_000, 50, 50, 50], "coast"; "coast is busy")]
#[test_case(&[50, 50, 50, 50, 30_000, 30_000, 30_000], "inland"; "inland is busy")]
#[test_case(&[50, 50, 50, 50, 90_000, 50, 50], "inland"; "one member inland is busy")]
fn demand_above_the_own_supply_gets_tokens_of_the_other_region(weights: &[u32], busy: &str) {
    let mut simulation = RegionSimulation::with_twelve_runners(&LARGE);
    simulation.set_weights(weights);
    simulation.step_until_stable(STABLE_ROUNDS_MAX);
    let other = if busy == "coast" { "inland" } else { "coast" };
    let least = if weights.contains(&90_000) { 9 } else { 20 };
    assert!(
        simulation.held_by_region(busy, other) >= least,
        "{}",
        simulation.held_by_region(busy, other)
    );
    assert!(
        simulation.held().iter().all(|held| *held > 0),
        "{:?}",
        simulation.held()
    );
}

#[test]
fn runners_of_a_region_without_members_are_shared_by_all() {
    let mut simulation = RegionSimulation::new(&["coast"; 4], &["inland"; 6]);
    simulation.set_weights(&[50, 50, 50, 30_000]);
    simulation.step_until_stable(STABLE_ROUNDS_MAX);
    assert_eq!(simulation.held(), [6, 6, 6, 30]);
}

#[test]
fn plans_from_the_same_reports_are_equal() {
    let mut simulation = RegionSimulation::with_twelve_runners(&LARGE);
    simulation.set_weights(&[9_000, 100, 40_000, 50, 20_000, 50, 50]);
    assert_eq!(simulation.orders(), simulation.orders());
    simulation.step_until_stable(STABLE_ROUNDS_MAX);
    assert_eq!(simulation.total_tokens(), 96);
}

#[test]
fn distribution_becomes_stable_after_members_saw_different_documents() {
    let mut simulation = RegionSimulation::with_twelve_runners(&LARGE);
    simulation.set_weights(&[9_000, 100, 40_000, 50, 20_000, 50, 50]);
    (0..20).for_each(|_| simulation.step_with_divided_view());
    assert_eq!(simulation.total_tokens(), 96);
    simulation.step_until_stable(STABLE_ROUNDS_MAX);
    let mut agreed = RegionSimulation::with_twelve_runners(&LARGE);
    agreed.set_weights(&[9_000, 100, 40_000, 50, 20_000, 50, 50]);
    agreed.step_until_stable(STABLE_ROUNDS_MAX);
    let apart = simulation.held().into_iter().zip(agreed.held());
    let apart: Vec<u32> = apart.map(|(held, wanted)| held.abs_diff(wanted)).collect();
    assert!(apart.iter().all(|tokens| *tokens <= 2), "{apart:?}");
}

/// With random demand the distribution must become stable, no token may be lost, and
/// fluctuations of less than one request must move at most one token for each runner
/// afterwards.
#[test]
fn distribution_becomes_stable_at_random_demand() {
    for seed in 1..=300 {
        let mut simulation = RegionSimulation::random(seed);
        let slots = simulation.total_tokens();
        for _ in 0..4 {
            simulation.draw_weights();
            simulation.step_until_stable(STABLE_ROUNDS_MAX);
            assert_eq!(simulation.total_tokens(), slots, "seed {seed}");
            let moved = simulation.step_with_noise(20);
            assert!(
                moved <= simulation.runners(),
                "seed {seed}: {moved} tokens moved by fluctuations"
            );
        }
    }
}

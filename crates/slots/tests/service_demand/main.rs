//! Scenes of tokens that move towards the region of their runner.

mod region_world;

use region_world::RegionWorld;
use test_case::test_case;

/// Rounds in which tokens have come to rest.
const REST_ROUNDS: usize = 12;

/// Four members on the coast, three inland; twelve runners of eight slots each.
const LARGE: [&str; 7] = [
    "coast", "coast", "coast", "coast", "inland", "inland", "inland",
];

#[test]
fn tokens_move_to_the_members_of_their_region() {
    let mut world = RegionWorld::new(&["coast", "coast", "inland"], &["coast", "coast", "inland"]);
    world.set_weights(&[20_000, 20_000, 20_000]);
    let first = world.step();
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
    assert!(world.step().is_empty());
}

#[test]
fn demand_met_near_leaves_one_token_a_region_at_the_others() {
    let mut world = RegionWorld::twelve(&LARGE);
    world.set_weights(&[5_000; 7]);
    world.step_until_rest(REST_ROUNDS);
    assert_eq!(world.held_by_region("coast", "inland"), 6);
    assert_eq!(world.held_by_region("inland", "coast"), 6);
    assert!(world.held().iter().all(|held| *held > 0));
}

#[test_case(&[20_000, 20_000, 20_000, 20_000, 50, 50, 50], "coast"; "coast is busy")]
#[test_case(&[50, 50, 50, 50, 30_000, 30_000, 30_000], "inland"; "inland is busy")]
#[test_case(&[50, 50, 50, 50, 90_000, 50, 50], "inland"; "one member inland is busy")]
fn demand_above_the_own_slots_gets_tokens_of_the_other_region(weights: &[u32], busy: &str) {
    let mut world = RegionWorld::twelve(&LARGE);
    world.set_weights(weights);
    world.step_until_rest(REST_ROUNDS);
    let other = if busy == "coast" { "inland" } else { "coast" };
    let least = if weights.contains(&90_000) { 9 } else { 20 };
    assert!(
        world.held_by_region(busy, other) >= least,
        "{}",
        world.held_by_region(busy, other)
    );
    assert!(
        world.held().iter().all(|held| *held > 0),
        "{:?}",
        world.held()
    );
}

#[test]
fn runners_of_a_region_without_members_are_shared_by_all() {
    let mut world = RegionWorld::new(&["coast"; 4], &["inland"; 6]);
    world.set_weights(&[50, 50, 50, 30_000]);
    world.step_until_rest(REST_ROUNDS);
    assert_eq!(world.held(), [6, 6, 6, 30]);
}

#[test]
fn members_that_plan_from_the_same_reports_agree() {
    let mut world = RegionWorld::twelve(&LARGE);
    world.set_weights(&[9_000, 100, 40_000, 50, 20_000, 50, 50]);
    assert_eq!(world.orders(), world.orders());
    world.step_until_rest(REST_ROUNDS);
    assert_eq!(world.all(), 96);
}

#[test]
fn members_that_saw_different_documents_come_to_rest() {
    let mut world = RegionWorld::twelve(&LARGE);
    world.set_weights(&[9_000, 100, 40_000, 50, 20_000, 50, 50]);
    (0..20).for_each(|_| world.step_divided());
    assert_eq!(world.all(), 96);
    world.step_until_rest(REST_ROUNDS);
    let mut agreed = RegionWorld::twelve(&LARGE);
    agreed.set_weights(&[9_000, 100, 40_000, 50, 20_000, 50, 50]);
    agreed.step_until_rest(REST_ROUNDS);
    let apart = world.held().into_iter().zip(agreed.held());
    let apart: Vec<u32> = apart.map(|(held, wanted)| held.abs_diff(wanted)).collect();
    assert!(apart.iter().all(|tokens| *tokens <= 2), "{apart:?}");
}

/// Random demands: tokens come to rest, none is lost, and noise of one request moves
/// none afterwards.
#[test]
fn tokens_come_to_rest_at_random_demands() {
    for seed in 1..=300 {
        let mut world = RegionWorld::random(seed);
        let slots = world.all();
        for _ in 0..4 {
            world.draw_weights();
            world.step_until_rest(REST_ROUNDS);
            assert_eq!(world.all(), slots, "seed {seed}");
            let moved = world.step_with_noise(20);
            assert!(
                moved <= world.runners(),
                "seed {seed}: {moved} moved by noise"
            );
        }
    }
}

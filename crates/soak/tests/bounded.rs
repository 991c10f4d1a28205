//! Runs a fixed range of seeds until all their tasks have ended.

use test_case::test_case;

use sapphirestile_soak::FaultCounts;
use sapphirestile_soak::FaultKind;
use sapphirestile_soak::run_seed;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=36;

#[test]
fn seeds_hold_every_invariant_under_each_kind_of_fault() {
    let mut counts = FaultCounts::default();
    for seed in SEEDS {
        let result = run_seed(seed);
        assert_eq!(
            result.violation, None,
            "reproduce with: cargo run --release -p sapphirestile-soak -- --seeds {seed}"
        );
        assert!(
            result.attempts_started > 0,
            "seed {seed} started no attempt"
        );
        counts.add(&result.fault_counts);
    }
    let missing = FaultKind::ALL
        .into_iter()
        .filter(|kind| counts.count(*kind) == 0);
    assert_eq!(missing.collect::<Vec<_>>(), []);
}

#[test_case(2)]
#[test_case(7)]
fn same_seed_gives_the_same_result(seed: u64) {
    assert_eq!(run_seed(seed), run_seed(seed));
}

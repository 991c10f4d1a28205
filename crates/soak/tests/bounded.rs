//! A bounded set of seeds, each run to the end of its work.

use test_case::test_case;

use sapphirestile_soak::FaultCounts;
use sapphirestile_soak::FaultKind;
use sapphirestile_soak::run_seed;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=36;

#[test]
fn owners_keep_every_promise_under_each_kind_of_fault() {
    let mut counts = FaultCounts::default();
    for seed in SEEDS {
        let verdict = run_seed(seed);
        assert_eq!(
            verdict.violation, None,
            "again: cargo run --release -p sapphirestile-soak -- --seeds {seed}"
        );
        assert!(verdict.starts > 0, "seed {seed} started nothing");
        counts.add(&verdict.counts);
    }
    let missing = FaultKind::ALL
        .into_iter()
        .filter(|kind| counts.of(*kind) == 0);
    assert_eq!(missing.collect::<Vec<_>>(), []);
}

#[test_case(2)]
#[test_case(7)]
fn a_seed_runs_the_same_twice(seed: u64) {
    assert_eq!(run_seed(seed), run_seed(seed));
}

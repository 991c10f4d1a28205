//! Names that are used again.

use crate::owner_bench::OwnerBench;
use crate::owner_bench::sighting;
use sapphirestile_cells::SightedPhase;
use sapphirestile_core::AttemptNumber;

const HOUR_MS: u64 = 3_600_000;
const UNIX_S: u64 = 1_000_000;

#[test]
fn a_name_used_again_goes_on_with_later_attempts_and_replays() {
    let mut bench = OwnerBench::new();
    bench.run("spins", 1);
    bench.owner.start_answered("w1");
    bench.renew(&[("w1", sighting("spins", 1, SightedPhase::Finished, 90_000))]);
    bench.commit();
    bench.owner.forget_old(bench.now, UNIX_S);
    bench.wait(HOUR_MS);
    bench.owner.forget_old(bench.now, UNIX_S);
    bench.commit();
    assert!(bench.journal.jobs().is_empty());
    let again = bench.run("spins", 1);
    assert_eq!(again[0].attempt, AttemptNumber::new(2));
    assert_eq!(again[0].checkpoint_ms, 0);
}

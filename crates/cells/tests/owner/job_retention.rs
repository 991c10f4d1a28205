//! Job names that are reused after their job was forgotten.

use crate::owner_harness::OwnerHarness;
use crate::owner_harness::attempt_report;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_core::AttemptNumber;

const HOUR_MS: u64 = 3_600_000;
const UNIX_S: u64 = 1_000_000;

#[test]
fn a_reused_name_continues_the_attempt_numbers_and_replays() {
    let mut harness = OwnerHarness::new();
    harness.run("spins", 1);
    harness.owner.start_answered("w1");
    harness.renew(&[(
        "w1",
        attempt_report("spins", 1, ReportedPhase::Finished, 90_000),
    )]);
    harness.commit();
    harness.owner.forget_old(harness.now, UNIX_S);
    harness.wait(HOUR_MS);
    harness.owner.forget_old(harness.now, UNIX_S);
    harness.commit();
    assert!(harness.journal.jobs().is_empty());
    let again = harness.run("spins", 1);
    assert_eq!(again[0].attempt, AttemptNumber::new(2));
    assert_eq!(again[0].checkpoint_ms, 0);
}

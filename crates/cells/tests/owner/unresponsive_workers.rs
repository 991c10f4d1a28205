//! Workers that do not answer.

use crate::owner_harness::OwnerHarness;

/// Checks at which seconds of a minute a worker that never answers is asked.
#[test]
fn a_worker_that_does_not_answer_is_asked_with_exponential_backoff() {
    let mut harness = OwnerHarness::new();
    let mut asked = Vec::new();
    for second in 0..60 {
        harness.wait(1_000);
        for session in harness.sessions() {
            if session.worker.as_str() == "w1" {
                asked.push(second);
                harness.owner.session_lost("w1", session.ordinal);
            } else {
                harness.report("w2", session.ordinal, &[]);
            }
        }
    }
    assert_eq!(asked, [0, 2, 6, 14, 30, 46]);
}

#[test]
fn an_answer_resets_the_backoff() {
    let mut harness = OwnerHarness::new();
    for _ in 0..3 {
        harness.wait(20_000);
        for session in harness.sessions() {
            harness
                .owner
                .session_lost(session.worker.as_str(), session.ordinal);
        }
    }
    harness.wait(20_000);
    for session in harness.sessions() {
        harness.report(session.worker.as_str(), session.ordinal, &[]);
    }
    harness.wait(1_000);
    assert_eq!(harness.sessions().len(), 2);
}

#[test]
fn a_worker_counts_as_silent_from_a_lost_session_until_its_next_answer() {
    let mut harness = OwnerHarness::new();
    assert!(!harness.owner.is_silent("w1"));
    for lost in [true, false] {
        harness.wait(2_000);
        let mut sessions = harness.sessions().into_iter();
        let session = sessions.find(|session| session.worker.as_str() == "w1");
        let ordinal = session.unwrap().ordinal;
        if lost {
            harness.owner.session_lost("w1", ordinal);
        } else {
            harness.report("w1", ordinal, &[]);
        }
        assert_eq!(harness.owner.is_silent("w1"), lost);
    }
}

//! Workers that do not answer.

use crate::owner_bench::OwnerBench;

/// The seconds after which a silent worker was asked, out of a minute.
#[test]
fn a_silent_worker_is_asked_less_and_less_often() {
    let mut bench = OwnerBench::new();
    let mut asked = Vec::new();
    for second in 0..60 {
        bench.wait(1_000);
        for session in bench.sessions() {
            if session.worker.as_str() == "w1" {
                asked.push(second);
                bench.owner.session_lost("w1", session.ordinal);
            } else {
                bench.report("w2", session.ordinal, &[]);
            }
        }
    }
    assert_eq!(asked, [0, 2, 6, 14, 30, 46]);
}

#[test]
fn a_worker_that_answers_again_is_asked_as_often_as_others() {
    let mut bench = OwnerBench::new();
    for _ in 0..3 {
        bench.wait(20_000);
        for session in bench.sessions() {
            bench
                .owner
                .session_lost(session.worker.as_str(), session.ordinal);
        }
    }
    bench.wait(20_000);
    for session in bench.sessions() {
        bench.report(session.worker.as_str(), session.ordinal, &[]);
    }
    bench.wait(1_000);
    assert_eq!(bench.sessions().len(), 2);
}

#[test]
fn a_worker_is_silent_from_its_first_lost_session_to_its_next_answer() {
    let mut bench = OwnerBench::new();
    assert!(!bench.owner.is_silent("w1"));
    for lost in [true, false] {
        bench.wait(2_000);
        let mut sessions = bench.sessions().into_iter();
        let session = sessions.find(|session| session.worker.as_str() == "w1");
        let ordinal = session.unwrap().ordinal;
        if lost {
            bench.owner.session_lost("w1", ordinal);
        } else {
            bench.report("w1", ordinal, &[]);
        }
        assert_eq!(bench.owner.is_silent("w1"), lost);
    }
}

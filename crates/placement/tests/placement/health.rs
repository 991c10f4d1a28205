//! Tests of the detection of faulty workers and jobs.

use crate::placement_fixture::job_name;
use crate::placement_fixture::worker_name;
use sapphirestile_core::MonoTime;
use sapphirestile_placement::FailureHistory;
use sapphirestile_placement::FailureVerdict;
use sapphirestile_placement::WorkerHealth;

const NOW: MonoTime = MonoTime::from_millis(1_000);

/// Records failures, given as `worker job`, and returns the verdicts.
fn verdicts(history: &mut FailureHistory, failures: &[&str]) -> Vec<String> {
    let record = |text: &&str| {
        let (worker, job) = text.split_once(' ').unwrap();
        let verdict = history.record_failure(&worker_name(worker), &job_name(job), NOW);
        verdict.to_string()
    };
    failures.iter().map(record).collect()
}

#[test]
fn failures_of_different_jobs_on_one_worker_indicate_a_faulty_worker() {
    let mut history = FailureHistory::default();
    let verdicts = verdicts(&mut history, &["w1 a", "w1 a", "w1 b", "w1 c"]);
    assert_eq!(
        verdicts,
        [
            "retried after 2000 ms",
            "retried after 4000 ms",
            "retried after 2000 ms",
            "worker quarantined: different jobs fail on it"
        ]
    );
    assert!(
        history.is_empty(),
        "failures on a quarantined worker must not count against its jobs"
    );
}

#[test]
fn failures_of_one_job_on_different_workers_indicate_a_faulty_job() {
    let mut history = FailureHistory::default();
    let verdicts = verdicts(&mut history, &["w1 a", "w2 a", "w3 a", "w4 a"]);
    assert_eq!(verdicts[2], "retried after 8000 ms");
    assert_eq!(verdicts[3], "not retried: the job failed on 4 workers");
}

#[test]
fn faulty_jobs_do_not_count_against_a_worker() {
    let mut history = FailureHistory::default();
    let failures = [
        "w1 a", "w2 a", "w1 b", "w3 b", "w1 c", "w2 c", "w1 d", "w3 d",
    ];
    let verdicts = verdicts(&mut history, &failures);
    let blamed = |verdict: &&String| verdict.starts_with("worker quarantined");
    assert_eq!(verdicts.iter().filter(blamed).count(), 0, "{verdicts:?}");
}

#[test]
fn success_clears_the_failures_of_the_worker() {
    let mut history = FailureHistory::default();
    verdicts(&mut history, &["w1 a", "w1 b"]);
    history.record_success(&worker_name("w1"), &job_name("d"));
    assert_eq!(
        history.record_failure(&worker_name("w1"), &job_name("c"), NOW),
        FailureVerdict::Retry { delay_ms: 2_000 }
    );
}

#[test]
fn old_failures_are_dropped() {
    let mut history = FailureHistory::default();
    verdicts(&mut history, &["w1 a", "w1 b"]);
    let later = NOW.plus_millis(3_600_001);
    history.record_failure(&worker_name("w1"), &job_name("c"), later);
    assert_eq!(history.len(), 1);
}

#[test]
fn quarantine_ends_in_probation_and_doubles_after_another_failure() {
    let mut health = WorkerHealth::default();
    let mut states = Vec::new();
    health.quarantine(NOW);
    states.push(health.to_string());
    health.advance_to(NOW.plus_millis(299_999));
    states.push(health.to_string());
    health.advance_to(NOW.plus_millis(300_000));
    states.push(health.to_string());
    health.quarantine(NOW.plus_millis(300_000));
    states.push(health.to_string());
    assert_eq!(
        states,
        [
            "quarantined for 300000 ms because different jobs fail on it",
            "quarantined for 300000 ms because different jobs fail on it",
            "on probation, one task at a time",
            "quarantined for 600000 ms because different jobs fail on it",
        ]
    );
}

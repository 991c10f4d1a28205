//! Scenes of bad workers and bad jobs.

use crate::scene::job_name;
use crate::scene::worker_name;
use sapphirestile_core::MonoTime;
use sapphirestile_placement::FailureBook;
use sapphirestile_placement::FailureVerdict;
use sapphirestile_placement::WorkerStanding;

const NOW: MonoTime = MonoTime::from_millis(1_000);

/// Notes failures given as `worker job` and lists the verdicts.
fn verdicts(book: &mut FailureBook, failures: &[&str]) -> Vec<String> {
    let note = |text: &&str| {
        let (worker, job) = text.split_once(' ').unwrap();
        let verdict = book.note_failure(&worker_name(worker), &job_name(job), NOW);
        verdict.to_string()
    };
    failures.iter().map(note).collect()
}

#[test]
fn different_jobs_on_one_worker_speak_against_the_worker() {
    let mut book = FailureBook::default();
    let verdicts = verdicts(&mut book, &["w1 a", "w1 a", "w1 b", "w1 c"]);
    assert_eq!(
        verdicts,
        [
            "tried again after 2000 ms",
            "tried again after 4000 ms",
            "tried again after 2000 ms",
            "the worker fails different jobs"
        ]
    );
    assert!(book.is_empty(), "the jobs start afresh");
}

#[test]
fn one_job_on_different_workers_speaks_against_the_job() {
    let mut book = FailureBook::default();
    let verdicts = verdicts(&mut book, &["w1 a", "w2 a", "w3 a", "w4 a"]);
    assert_eq!(verdicts[2], "tried again after 8000 ms");
    assert_eq!(verdicts[3], "given up: the job failed on 4 workers");
}

#[test]
fn bad_jobs_do_not_speak_against_a_good_worker() {
    let mut book = FailureBook::default();
    let failures = [
        "w1 a", "w2 a", "w1 b", "w3 b", "w1 c", "w2 c", "w1 d", "w3 d",
    ];
    let verdicts = verdicts(&mut book, &failures);
    let blamed = |verdict: &&String| verdict.starts_with("the worker");
    assert_eq!(verdicts.iter().filter(blamed).count(), 0, "{verdicts:?}");
}

#[test]
fn a_success_clears_the_worker() {
    let mut book = FailureBook::default();
    verdicts(&mut book, &["w1 a", "w1 b"]);
    book.note_success(&worker_name("w1"), &job_name("d"));
    assert_eq!(
        book.note_failure(&worker_name("w1"), &job_name("c"), NOW),
        FailureVerdict::Retry { delay_ms: 2_000 }
    );
}

#[test]
fn old_failures_are_forgotten() {
    let mut book = FailureBook::default();
    verdicts(&mut book, &["w1 a", "w1 b"]);
    let later = NOW.plus_millis(3_600_001);
    book.note_failure(&worker_name("w1"), &job_name("c"), later);
    assert_eq!(book.len(), 1);
}

#[test]
fn a_worker_comes_back_by_probation_and_waits_longer_each_time() {
    let mut standing = WorkerStanding::default();
    let mut story = Vec::new();
    standing.blame(NOW);
    story.push(standing.to_string());
    standing.pass_time(NOW.plus_millis(299_999));
    story.push(standing.to_string());
    standing.pass_time(NOW.plus_millis(300_000));
    story.push(standing.to_string());
    standing.blame(NOW.plus_millis(300_000));
    story.push(standing.to_string());
    assert_eq!(
        story,
        [
            "set aside for 300000 ms because different jobs fail there",
            "set aside for 300000 ms because different jobs fail there",
            "on probation, one task at a time",
            "set aside for 600000 ms because different jobs fail there",
        ]
    );
}

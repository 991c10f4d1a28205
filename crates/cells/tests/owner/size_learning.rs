//! Learning of task sizes from running and ended tasks.

use crate::owner_harness::OwnerHarness;
use crate::owner_harness::WORKER;
use crate::owner_harness::attempt_report;
use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::AttemptStart;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_core::ResourceSize;

/// A quarter of the declared memory.
const USED_MB: u64 = 250;
/// Upper end of the step of ratios that a quarter falls into.
const LEARNED_MB: u64 = 256;
const DECLARED_MB: u64 = 1_000;
/// The declared memory with a margin of one half.
const DEFAULT_ALLOCATED_MB: u64 = 1_500;
/// Three times the declared memory.
const GROWN_MB: u64 = 3_000;
/// Upper end of the step that a ratio of three falls into, 3,158, plus a margin of 5%.
const GROWN_ALLOCATED_MB: u64 = 3_315;

#[test]
fn a_task_that_uses_nearly_a_whole_worker_can_still_be_placed() {
    let mut harness = OwnerHarness::new();
    harness.run("spins", 1);
    harness.owner.start_answered("w1");
    let mut running = attempt_report("spins", 1, ReportedPhase::Running, 0);
    running.usage = ResourceSize {
        cpu_milli: 900,
        memory_mb: 15_900,
        accelerators: 0,
    };
    harness.renew(&[("w1", running)]);
    harness.renew(&[]);
    harness.plan();
    let batch = harness.take();
    let started = crate::owner_harness::starts(harness.settle(&batch));
    assert_eq!(started[0].size.memory_mb, WORKER.memory_mb);
}

#[test]
fn usage_of_a_throttled_task_is_not_learned() {
    let mut harness = OwnerHarness::new();
    let first = harness.run("spins", 1);
    harness.owner.start_answered("w1");
    let mut running = attempt_report("spins", 1, ReportedPhase::Running, 0);
    running.throttle_cpu_milli = Some(300);
    running.usage = ResourceSize {
        cpu_milli: 300,
        memory_mb: 15_900,
        accelerators: 0,
    };
    harness.renew(&[("w1", running)]);
    harness.renew(&[]);
    harness.plan();
    let batch = harness.take();
    let started = crate::owner_harness::starts(harness.settle(&batch));
    assert_eq!(started[0].size, first[0].size);
}

#[test]
fn a_new_job_gets_the_learned_size_of_its_customers_ended_tasks() {
    let mut harness = OwnerHarness::new();
    finish_jobs(&mut harness, &["a", "b", "c"]);
    let started = start(&mut harness, "d", 5);
    report_all(&mut harness, &started, ReportedPhase::Running, USED_MB);
    report_ends(&mut harness, &started, ReportedPhase::Running);
    assert_eq!(
        memory_of(&start(&mut harness, "e", 1)),
        [DEFAULT_ALLOCATED_MB]
    );
    let mut harness = OwnerHarness::new();
    finish_jobs(&mut harness, &["a", "b", "c", "d"]);
    assert_eq!(memory_of(&start(&mut harness, "e", 2)), [LEARNED_MB; 2]);
}

#[test]
fn peaks_of_failed_and_stopped_attempts_are_not_learned() {
    for last in [ReportedPhase::Failed, ReportedPhase::Stopped] {
        let mut harness = OwnerHarness::new();
        finish_jobs(&mut harness, &["a", "b", "c"]);
        let started = start(&mut harness, "d", 5);
        report_all(&mut harness, &started, ReportedPhase::Running, USED_MB);
        report_ends(&mut harness, &started, last);
        assert_eq!(
            memory_of(&start(&mut harness, "e", 1)),
            [DEFAULT_ALLOCATED_MB]
        );
    }
}

#[test]
fn after_a_failure_with_less_than_declared_the_job_gets_its_declared_size() {
    let mut harness = OwnerHarness::new();
    finish_jobs(&mut harness, &["a", "b", "c", "d"]);
    let mut started = start(&mut harness, "e", 1);
    assert_eq!(memory_of(&started), [LEARNED_MB]);
    report_all(&mut harness, &started, ReportedPhase::Failed, LEARNED_MB);
    harness.plan();
    started = commit_starts(&mut harness);
    assert_eq!(
        memory_of(&started),
        [DECLARED_MB],
        "retried at once with the declared size"
    );
    assert_eq!(started[0].attempt.get(), 2);
    report_all(&mut harness, &started, ReportedPhase::Failed, LEARNED_MB);
    harness.plan();
    assert!(
        commit_starts(&mut harness).is_empty(),
        "a failure with the declared size delays the job"
    );
}

#[test]
fn peaks_of_resumed_attempts_are_not_learned() {
    let mut harness = OwnerHarness::new();
    finish_jobs(&mut harness, &["a", "b", "c"]);
    let started = start(&mut harness, "d", 5);
    report_all(&mut harness, &started, ReportedPhase::Running, USED_MB);
    let mut reports = reports_of(&started, ReportedPhase::Stopped, USED_MB);
    for (_, report) in &mut reports {
        report.checkpoint_ms = 1_000;
    }
    harness.renew(&reports);
    harness.plan();
    let resumed = commit_starts(&mut harness);
    assert_eq!(resumed.len(), 5);
    report_all(&mut harness, &resumed, ReportedPhase::Running, USED_MB);
    report_all(&mut harness, &resumed, ReportedPhase::Finished, USED_MB);
    assert_eq!(
        memory_of(&start(&mut harness, "e", 1)),
        [DEFAULT_ALLOCATED_MB]
    );
}

#[test]
fn a_job_with_growing_tasks_gets_more_than_their_peak() {
    let mut harness = OwnerHarness::new();
    harness.renew(&[]);
    harness.submit("grows", 4);
    harness.owner.plan_starts(harness.now, 3);
    let started = commit_starts(&mut harness);
    assert_eq!(memory_of(&started), [DEFAULT_ALLOCATED_MB; 3]);
    for memory_mb in [400, GROWN_MB, 800] {
        report_all(&mut harness, &started, ReportedPhase::Running, memory_mb);
    }
    report_all(&mut harness, &started, ReportedPhase::Finished, 800);
    harness.plan();
    assert_eq!(
        memory_of(&commit_starts(&mut harness)),
        [GROWN_ALLOCATED_MB]
    );
}

#[test]
fn the_peak_memory_of_a_throttled_task_is_learned_once_it_finished() {
    let mut harness = OwnerHarness::new();
    harness.renew(&[]);
    harness.submit("spins", 20);
    harness.owner.plan_starts(harness.now, 3);
    let started = commit_starts(&mut harness);
    for _ in 0..8 {
        let mut reports = reports_of(&started, ReportedPhase::Running, GROWN_MB);
        for (_, report) in &mut reports {
            report.throttle_cpu_milli = Some(300);
            report.usage.cpu_milli = 300;
        }
        harness.renew(&reports);
    }
    report_all(&mut harness, &started, ReportedPhase::Finished, 800);
    harness.owner.plan_starts(harness.now, 1);
    let next = commit_starts(&mut harness);
    assert_eq!(memory_of(&next), [GROWN_ALLOCATED_MB]);
    assert_eq!(next[0].size.cpu_milli, 1_000);
}

#[test]
fn a_new_owner_starts_from_the_declared_sizes() {
    let mut harness = OwnerHarness::new();
    finish_jobs(&mut harness, &["a", "b", "c", "d"]);
    let started = start(&mut harness, "e", 20);
    assert_eq!(memory_of(&started), [LEARNED_MB; 16]);
    let mut next = OwnerHarness::adopt(harness.journal.clone(), 2);
    report_all(&mut next, &started, ReportedPhase::Running, USED_MB);
    report_all(&mut next, &started, ReportedPhase::Finished, USED_MB);
    next.plan();
    assert_eq!(
        memory_of(&commit_starts(&mut next)),
        [DEFAULT_ALLOCATED_MB; 4]
    );
}

/// Runs jobs of five tasks each until they are finished.
fn finish_jobs(harness: &mut OwnerHarness, jobs: &[&str]) {
    for job in jobs {
        let started = start(harness, job, 5);
        report_all(harness, &started, ReportedPhase::Running, USED_MB);
        report_all(harness, &started, ReportedPhase::Finished, 0);
        harness.commit();
    }
}

/// Reports four tasks as finished, and the fifth in phase `last`.
fn report_ends(harness: &mut OwnerHarness, started: &[AttemptStart], last: ReportedPhase) {
    let mut reports = reports_of(started, ReportedPhase::Finished, 0);
    if let Some((_, report)) = reports.last_mut() {
        report.phase = last;
    }
    harness.renew(&reports);
    harness.commit();
}

fn start(harness: &mut OwnerHarness, job: &str, tasks: u32) -> Vec<AttemptStart> {
    harness.renew(&[]);
    harness.submit(job, tasks);
    harness.plan();
    let mut started = commit_starts(harness);
    started.retain(|start| start.task.job.as_str() == job);
    started
}

/// Commits the planned starts and answers them.
fn commit_starts(harness: &mut OwnerHarness) -> Vec<AttemptStart> {
    let started = crate::owner_harness::starts(harness.commit());
    for start in &started {
        harness.owner.start_answered(start.worker.as_str());
    }
    started
}

fn report_all(
    harness: &mut OwnerHarness,
    started: &[AttemptStart],
    phase: ReportedPhase,
    memory_mb: u64,
) {
    harness.renew(&reports_of(started, phase, memory_mb));
}

fn reports_of(
    started: &[AttemptStart],
    phase: ReportedPhase,
    memory_mb: u64,
) -> Vec<(&str, AttemptReport)> {
    let report = |start| report_of(start, phase, memory_mb);
    started.iter().map(report).collect()
}

fn report_of(start: &AttemptStart, phase: ReportedPhase, memory_mb: u64) -> (&str, AttemptReport) {
    let report = AttemptReport {
        task: start.task.clone(),
        attempt: start.attempt,
        phase,
        checkpoint_ms: 0,
        usage: ResourceSize {
            memory_mb,
            ..ResourceSize::default()
        },
        throttle_cpu_milli: None,
    };
    (start.worker.as_str(), report)
}

fn memory_of(started: &[AttemptStart]) -> Vec<u64> {
    started.iter().map(|start| start.size.memory_mb).collect()
}

//! What running tasks teach of sizes.

use crate::owner_bench::OwnerBench;
use crate::owner_bench::WORKER;
use crate::owner_bench::sighting;
use sapphirestile_cells::SightedPhase;
use sapphirestile_cells::StartOrder;
use sapphirestile_cells::TaskSighting;
use sapphirestile_core::ResourceSize;

/// A quarter of what is declared.
const USED_MB: u64 = 250;
/// The end of the step of ratios that a quarter falls into.
const LEARNT_MB: u64 = 256;
const DECLARED_MB: u64 = 1_000;
/// What is declared, with a margin of half.
const UNKNOWN_MB: u64 = 1_500;
/// Three times what is declared.
const GROWN_MB: u64 = 3_000;
/// The end of the step that three falls into, 3,158, with a margin of a twentieth.
const GROWN_GIVEN_MB: u64 = 3_315;

#[test]
fn a_task_seen_to_use_nearly_a_whole_worker_is_still_given_one() {
    let mut bench = OwnerBench::new();
    bench.run("spins", 1);
    bench.owner.start_answered("w1");
    let mut running = sighting("spins", 1, SightedPhase::Running, 0);
    running.usage = ResourceSize {
        cpu_milli: 900,
        memory_mb: 15_900,
        accelerators: 0,
    };
    bench.renew(&[("w1", running)]);
    bench.renew(&[]);
    bench.plan();
    let batch = bench.take();
    let begun = crate::owner_bench::starts(bench.done(&batch));
    assert_eq!(begun[0].size.memory_mb, WORKER.memory_mb);
}

#[test]
fn what_a_throttled_task_uses_is_not_learnt() {
    let mut bench = OwnerBench::new();
    let first = bench.run("spins", 1);
    bench.owner.start_answered("w1");
    let mut running = sighting("spins", 1, SightedPhase::Running, 0);
    running.throttle_cpu_milli = Some(300);
    running.usage = ResourceSize {
        cpu_milli: 300,
        memory_mb: 15_900,
        accelerators: 0,
    };
    bench.renew(&[("w1", running)]);
    bench.renew(&[]);
    bench.plan();
    let batch = bench.take();
    let begun = crate::owner_bench::starts(bench.done(&batch));
    assert_eq!(begun[0].size, first[0].size);
}

#[test]
fn a_new_job_is_given_what_enough_ended_tasks_of_its_customer_used() {
    let mut bench = OwnerBench::new();
    finish_jobs(&mut bench, &["a", "b", "c"]);
    let begun = start(&mut bench, "d", 5);
    show(&mut bench, &begun, SightedPhase::Running, USED_MB);
    show_ends(&mut bench, &begun, SightedPhase::Running);
    assert_eq!(memory_of(&start(&mut bench, "e", 1)), [UNKNOWN_MB]);
    let mut bench = OwnerBench::new();
    finish_jobs(&mut bench, &["a", "b", "c", "d"]);
    assert_eq!(memory_of(&start(&mut bench, "e", 2)), [LEARNT_MB; 2]);
}

#[test]
fn failed_and_stopped_attempts_do_not_show_what_a_task_needs() {
    for last in [SightedPhase::Failed, SightedPhase::Stopped] {
        let mut bench = OwnerBench::new();
        finish_jobs(&mut bench, &["a", "b", "c"]);
        let begun = start(&mut bench, "d", 5);
        show(&mut bench, &begun, SightedPhase::Running, USED_MB);
        show_ends(&mut bench, &begun, last);
        assert_eq!(memory_of(&start(&mut bench, "e", 1)), [UNKNOWN_MB]);
    }
}

#[test]
fn a_failure_with_less_than_declared_gives_the_job_what_it_declared() {
    let mut bench = OwnerBench::new();
    finish_jobs(&mut bench, &["a", "b", "c", "d"]);
    let mut begun = start(&mut bench, "e", 1);
    assert_eq!(memory_of(&begun), [LEARNT_MB]);
    show(&mut bench, &begun, SightedPhase::Failed, LEARNT_MB);
    bench.plan();
    begun = begin(&mut bench);
    assert_eq!(memory_of(&begun), [DECLARED_MB], "again at once");
    assert_eq!(begun[0].attempt.get(), 2);
    show(&mut bench, &begun, SightedPhase::Failed, LEARNT_MB);
    bench.plan();
    assert!(begin(&mut bench).is_empty(), "this failure counts");
}

#[test]
fn a_resumed_attempt_does_not_show_what_its_task_needs() {
    let mut bench = OwnerBench::new();
    finish_jobs(&mut bench, &["a", "b", "c"]);
    let begun = start(&mut bench, "d", 5);
    show(&mut bench, &begun, SightedPhase::Running, USED_MB);
    let mut rows = rows_of(&begun, SightedPhase::Stopped, USED_MB);
    for (_, row) in &mut rows {
        row.checkpoint_ms = 1_000;
    }
    bench.renew(&rows);
    bench.plan();
    let resumed = begin(&mut bench);
    assert_eq!(resumed.len(), 5);
    show(&mut bench, &resumed, SightedPhase::Running, USED_MB);
    show(&mut bench, &resumed, SightedPhase::Finished, USED_MB);
    assert_eq!(memory_of(&start(&mut bench, "e", 1)), [UNKNOWN_MB]);
}

#[test]
fn a_job_whose_tasks_grow_is_given_more_than_their_most() {
    let mut bench = OwnerBench::new();
    bench.renew(&[]);
    bench.submit("grows", 4);
    bench.owner.plan_starts(bench.now, 3);
    let begun = begin(&mut bench);
    assert_eq!(memory_of(&begun), [UNKNOWN_MB; 3]);
    for memory_mb in [400, GROWN_MB, 800] {
        show(&mut bench, &begun, SightedPhase::Running, memory_mb);
    }
    show(&mut bench, &begun, SightedPhase::Finished, 800);
    bench.plan();
    assert_eq!(memory_of(&begin(&mut bench)), [GROWN_GIVEN_MB]);
}

#[test]
fn the_memory_of_a_throttled_task_counts_once_it_has_ended() {
    let mut bench = OwnerBench::new();
    bench.renew(&[]);
    bench.submit("spins", 20);
    bench.owner.plan_starts(bench.now, 3);
    let begun = begin(&mut bench);
    for _ in 0..8 {
        let mut rows = rows_of(&begun, SightedPhase::Running, GROWN_MB);
        for (_, row) in &mut rows {
            row.throttle_cpu_milli = Some(300);
            row.usage.cpu_milli = 300;
        }
        bench.renew(&rows);
    }
    show(&mut bench, &begun, SightedPhase::Finished, 800);
    bench.owner.plan_starts(bench.now, 1);
    let next = begin(&mut bench);
    assert_eq!(memory_of(&next), [GROWN_GIVEN_MB]);
    assert_eq!(next[0].size.cpu_milli, 1_000);
}

#[test]
fn a_new_owner_starts_from_what_was_declared() {
    let mut bench = OwnerBench::new();
    finish_jobs(&mut bench, &["a", "b", "c", "d"]);
    let begun = start(&mut bench, "e", 20);
    assert_eq!(memory_of(&begun), [LEARNT_MB; 16]);
    let mut next = OwnerBench::adopt(bench.journal.clone(), 2);
    show(&mut next, &begun, SightedPhase::Running, USED_MB);
    show(&mut next, &begun, SightedPhase::Finished, USED_MB);
    next.plan();
    assert_eq!(memory_of(&begin(&mut next)), [UNKNOWN_MB; 4]);
}

/// Runs jobs of five tasks to their ends.
fn finish_jobs(bench: &mut OwnerBench, jobs: &[&str]) {
    for job in jobs {
        let begun = start(bench, job, 5);
        show(bench, &begun, SightedPhase::Running, USED_MB);
        show(bench, &begun, SightedPhase::Finished, 0);
        bench.commit();
    }
}

/// Shows that four tasks have finished, and what became of the fifth.
fn show_ends(bench: &mut OwnerBench, begun: &[StartOrder], last: SightedPhase) {
    let mut rows = rows_of(begun, SightedPhase::Finished, 0);
    if let Some((_, row)) = rows.last_mut() {
        row.phase = last;
    }
    bench.renew(&rows);
    bench.commit();
}

fn start(bench: &mut OwnerBench, job: &str, tasks: u32) -> Vec<StartOrder> {
    bench.renew(&[]);
    bench.submit(job, tasks);
    bench.plan();
    let mut begun = begin(bench);
    begun.retain(|start| start.task.job.as_str() == job);
    begun
}

/// Commits what was planned; the starts are taken as received.
fn begin(bench: &mut OwnerBench) -> Vec<StartOrder> {
    let begun = crate::owner_bench::starts(bench.commit());
    for start in &begun {
        bench.owner.start_answered(start.worker.as_str());
    }
    begun
}

fn show(bench: &mut OwnerBench, begun: &[StartOrder], phase: SightedPhase, memory_mb: u64) {
    bench.renew(&rows_of(begun, phase, memory_mb));
}

fn rows_of(begun: &[StartOrder], phase: SightedPhase, memory_mb: u64) -> Vec<(&str, TaskSighting)> {
    let row = |start| row_of(start, phase, memory_mb);
    begun.iter().map(row).collect()
}

fn row_of(start: &StartOrder, phase: SightedPhase, memory_mb: u64) -> (&str, TaskSighting) {
    let row = TaskSighting {
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
    (start.worker.as_str(), row)
}

fn memory_of(begun: &[StartOrder]) -> Vec<u64> {
    begun.iter().map(|start| start.size.memory_mb).collect()
}

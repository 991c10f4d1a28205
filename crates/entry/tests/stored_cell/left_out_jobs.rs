//! Jobs that an owner leaves out, and the ends of their runs.

use std::net::SocketAddr;

use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;
use sapphirestile_entry::BatchRows;
use sapphirestile_entry::RowKeys;
use sapphirestile_entry::StoredCell;
use sapphirestile_entry::StoredRow;
use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::EndList;
use sapphirestile_jobs::EndedRun;
use sapphirestile_jobs::JobProgress;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::JobStanding;
use sapphirestile_jobs::OwnerEffect;
use sapphirestile_jobs::PollOutcome;
use sapphirestile_jobs::PollResponse;
use sapphirestile_jobs::RunningRun;
use sapphirestile_jobs::UnappliedEnd;
use sapphirestile_jobs::WorkerEntry;
use sapphirestile_jobs::WorkerIncarnation;

use crate::cell_rows::CELL;
use crate::cell_rows::MALFORMED;
use crate::cell_rows::NOW;
use crate::cell_rows::begun;
use crate::cell_rows::encoded;
use crate::cell_rows::job;
use crate::cell_rows::jobs_of_owner;
use crate::cell_rows::new_owner;
use crate::cell_rows::read;
use crate::cell_rows::row;
use crate::cell_rows::spec;
use crate::cell_rows::spec_row;
use crate::cell_rows::task;

fn worker_name() -> WorkerName {
    WorkerName::try_from("w-1").unwrap()
}

/// The end of run 3 of the first task, of which an owner has left out the job.
fn stored_end() -> UnappliedEnd {
    UnappliedEnd {
        worker: worker_name(),
        ended: EndedRun {
            number: 1,
            task: task(),
            run: 3,
            kind: EndKind::Done,
            checkpoint: "".into(),
        },
    }
}

/// The progress of a job with one task, whose run 3 was assigned.
fn only_task_begun(spec: &mut JobSpec) -> JobProgress {
    spec.steps[0].tasks = 1;
    let mut progress = begun(spec);
    progress.occurrences[0].steps[0].tasks[0].run = 3;
    progress
}

/// Guards against a task that runs again though an owner which could not read its job had
/// acknowledged its end.
#[test]
fn end_that_was_stored_for_a_job_is_applied_and_removed_with_its_progress() {
    let mut earlier = new_owner();
    let mut batch = earlier.take_batch(true, NOW).unwrap();
    batch.unapplied_ends = vec![stored_end()];
    let (writes, _, _) = BatchRows::of(CELL, &batch, &mut None).take_commit();
    let end_rows = writes.into_iter().map(|write| row(write.key, write.value));
    let mut spec = spec();
    let progress = only_task_begun(&mut spec);
    let mut rows: Vec<StoredRow> = end_rows.collect();
    rows.push(row(RowKeys::progress(CELL, &job()), encoded(&progress)));
    let intake = read(vec![row(RowKeys::spec(CELL, &job()), encoded(&spec))]);

    let mut owner = new_owner();
    StoredCell::join(intake, &rows).restore_into(&mut owner, NOW, 0);
    let batch = owner.take_batch(false, NOW).unwrap();
    assert_eq!(batch.progress[0].1.standing, JobStanding::Completed);
    let (writes, removals, _) = BatchRows::of(CELL, &batch, &mut None).take_commit();
    let keys: Vec<String> = writes.into_iter().map(|write| write.key).collect();
    assert!(keys.contains(&RowKeys::progress(CELL, &job())), "{keys:?}");
    assert_eq!(removals, [RowKeys::unapplied_end(CELL, &task(), 3)]);
}

/// Guards against the end of a run that is lost with the first owner which cannot read its job.
#[test]
fn end_that_was_stored_for_a_job_stays_while_the_job_cannot_be_read() {
    let rows = [
        row(RowKeys::progress(CELL, &job()), MALFORMED),
        row(
            RowKeys::unapplied_end(CELL, &task(), 3),
            encoded(&stored_end()),
        ),
    ];
    let mut owner = new_owner();
    StoredCell::join(read(vec![spec_row()]), &rows).restore_into(&mut owner, NOW, 0);
    let batch = owner.take_batch(true, NOW).unwrap();
    assert!(batch.applied_ends.is_empty(), "{:?}", batch.applied_ends);
}

/// Guards against a task that runs again though it may be done.
#[test]
fn job_with_the_end_of_a_run_that_cannot_be_read_is_not_taken() {
    let mut spec = spec();
    let progress = only_task_begun(&mut spec);
    let rows = [
        row(RowKeys::progress(CELL, &job()), encoded(&progress)),
        row(RowKeys::unapplied_end(CELL, &task(), 3), MALFORMED),
    ];
    let intake = vec![row(RowKeys::spec(CELL, &job()), encoded(&spec))];
    assert_eq!(jobs_of_owner(intake, &rows), 0);
}

/// The stops that an owner of unreadable progress sends when a worker shows a run of the job.
fn stops_of_run(mut intake: Vec<StoredRow>) -> usize {
    let progress = row(RowKeys::progress(CELL, &job()), MALFORMED);
    let mut owner = new_owner();
    owner.replace_workers(vec![worker_entry()], NOW);
    intake.insert(0, spec_row());
    StoredCell::join(read(intake), &[progress]).restore_into(&mut owner, NOW, 0);
    owner.poll_due_workers(NOW);
    let response = PollResponse {
        clock_ms: 1,
        incarnation: WorkerIncarnation::from_unix_ms(1),
        running: vec![RunningRun {
            task: task(),
            run: 3,
            checkpoint: "".into(),
            pace_percent: 100,
            measurement: 0,
        }],
        ended: EndList::Complete(Vec::new()),
    };
    let outcome = PollOutcome::Responded(response);
    owner.handle_poll_outcome(&worker_name(), 1, outcome, NOW, 0);
    let effects = owner.take_effects().into_iter();
    let stops = effects.filter(|effect| matches!(effect, OwnerEffect::Stop(_)));
    stops.count()
}

fn worker_entry() -> WorkerEntry {
    WorkerEntry {
        name: worker_name(),
        service: "sizing".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8_000)),
        zone: ZoneName::try_from("near-a").unwrap(),
        labels: Vec::new(),
        capacity: spec().steps[0].size,
        is_leaving: false,
        incarnation: WorkerIncarnation::from_unix_ms(1),
    }
}

/// Guards against work of a live job that is stopped by an owner that cannot read the job.
#[test]
fn run_of_a_job_that_cannot_be_read_is_stopped_only_if_the_job_was_cancelled() {
    assert_eq!(stops_of_run(Vec::new()), 0);
    let cancellation = row(RowKeys::cancellation(CELL, &job()), []);
    assert_eq!(stops_of_run(vec![cancellation]), 1);
}

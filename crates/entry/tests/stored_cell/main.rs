//! What a new owner takes from the rows of its cell.

mod cell_rows;
mod left_out_jobs;

use sapphirestile_core::CellNumber;
use sapphirestile_entry::IntakeEvent;
use sapphirestile_entry::RowKeys;
use sapphirestile_entry::StoredCell;
use sapphirestile_jobs::DelegatedTask;
use sapphirestile_jobs::ReturnedTask;
use sapphirestile_jobs::StepSpec;

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

#[test]
fn job_with_readable_rows_is_taken() {
    let progress = row(RowKeys::progress(CELL, &job()), encoded(&begun(&spec())));
    assert_eq!(jobs_of_owner(vec![spec_row()], &[progress]), 1);
}

/// Guards against a job that runs again from its beginning.
#[test]
fn job_whose_progress_cannot_be_read_is_not_begun_anew() {
    let progress = row(RowKeys::progress(CELL, &job()), MALFORMED);
    assert_eq!(jobs_of_owner(vec![spec_row()], &[progress]), 0);
}

/// Guards against a row that ends each daemon which claims the cell.
#[test]
fn job_whose_progress_is_that_of_another_specification_is_not_taken() {
    let mut larger = spec();
    larger.steps.push(StepSpec {
        tasks: 1,
        ..StepSpec::default()
    });
    let progress = row(RowKeys::progress(CELL, &job()), encoded(&begun(&larger)));
    assert_eq!(jobs_of_owner(vec![spec_row()], &[progress]), 0);
}

/// Guards against a task that runs again although its first run is unknown.
#[test]
fn delegated_task_whose_progress_cannot_be_read_is_not_begun_anew() {
    let delegated = DelegatedTask {
        task: task(),
        run: 3,
        checkpoint: "".into(),
        home: CellNumber::new(1),
        spec: spec(),
        idle_ms: 0,
    };
    let intake = row(RowKeys::delegated(CELL, &task(), 3), encoded(&delegated));
    let progress = row(RowKeys::guest_progress(CELL, &job()), MALFORMED);
    assert_eq!(jobs_of_owner(vec![intake], &[progress]), 0);
}

/// Guards against a job that stops for a task which another cell gives back.
#[test]
fn job_goes_on_without_a_transfer_that_cannot_be_read() {
    let returned = row(RowKeys::returned(CELL, &task(), 3), MALFORMED);
    assert_eq!(jobs_of_owner(vec![spec_row(), returned], &[]), 1);
}

/// Guards against a cancelled job that runs once a daemon can read it.
#[test]
fn cancellation_of_a_job_whose_specification_cannot_be_read_is_kept() {
    let intake = vec![
        row(RowKeys::spec(CELL, &job()), MALFORMED),
        row(RowKeys::cancellation(CELL, &job()), []),
    ];
    let mut owner = new_owner();
    StoredCell::join(read(intake), &[]).restore_into(&mut owner, NOW, 0);
    let batch = owner.take_batch(true, NOW).expect("a batch is due");
    assert!(batch.forgotten_guests.is_empty());
}

/// Guards against a row whose tasks take more memory than there is.
#[test]
fn job_whose_specification_no_caller_could_submit_is_not_taken() {
    let mut huge = spec();
    huge.steps[0].tasks = u32::MAX;
    let events = read(vec![row(RowKeys::spec(CELL, &job()), encoded(&huge))]);
    let submitted = events
        .iter()
        .any(|event| matches!(event, IntakeEvent::Submitted { .. }));
    assert!(!submitted, "{events:?}");
}

/// Guards against a row that ends each daemon which claims the cell.
#[test]
fn job_whose_runs_leave_no_number_for_the_next_is_not_taken() {
    let mut progress = begun(&spec());
    progress.occurrences[0].steps[0].tasks[1].run = u32::MAX;
    let row = row(RowKeys::progress(CELL, &job()), encoded(&progress));
    assert_eq!(jobs_of_owner(vec![spec_row()], &[row]), 0);
}

/// The same, for tasks that other cells transfer.
#[test]
fn transfer_whose_run_leaves_no_number_for_the_next_is_not_taken() {
    let delegated = DelegatedTask {
        task: task(),
        run: u32::MAX,
        checkpoint: "".into(),
        home: CellNumber::new(1),
        spec: spec(),
        idle_ms: 0,
    };
    let returned = ReturnedTask {
        task: task(),
        run: u32::MAX,
        checkpoint: "".into(),
        from: CellNumber::new(1),
        idle_ms: 0,
    };
    let rows = vec![
        row(RowKeys::delegated(CELL, &task(), 3), encoded(&delegated)),
        row(RowKeys::returned(CELL, &task(), 3), encoded(&returned)),
    ];
    let unreadable = IntakeEvent::Unreadable(job());
    assert_eq!(read(rows), [unreadable.clone(), unreadable]);
}

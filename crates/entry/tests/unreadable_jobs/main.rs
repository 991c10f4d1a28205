//! What callers learn of jobs whose rows this version cannot read.

mod memory_store;

use std::sync::Arc;

use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_entry::CancelOutcome;
use sapphirestile_entry::EntryContext;
use sapphirestile_entry::EntrySettings;
use sapphirestile_entry::HomeRow;
use sapphirestile_entry::JobFrontend;
use sapphirestile_entry::RowKeys;
use sapphirestile_entry::StateOutcome;
use sapphirestile_entry::SubmitOutcome;
use sapphirestile_entry::WaitingOutcome;
use sapphirestile_jobs::CellLayout;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::QueueCount;

use crate::memory_store::MemoryStore;

const CELL: CellNumber = CellNumber::new(0);

/// When callers stop waiting.
const DEADLINE: MonoTime = MonoTime::from_millis(4_000);

/// The first byte of a longer number, whose rest is missing.
const MALFORMED: [u8; 1] = [0xff];

const SETTINGS: &str = "[node]\nname = entry-1\nzone = near-a\n\
    [ports]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\nmetrics = 127.0.0.1:3\n\
    [targets]\nstore = 127.0.0.1:4\n\
    [bounds]\nlease_max_ms = 6000\nremember_s = 60\ngrace_s = 6\n";

fn job() -> JobIdentity {
    JobIdentity::try_from("5c0e7a21d94b36f8").unwrap()
}

/// A front end before a store with the rows, and the store.
fn frontend(rows: &[(String, Vec<u8>)]) -> (JobFrontend, Arc<MemoryStore>) {
    let store = Arc::new(MemoryStore::with_rows(rows));
    let settings = EntrySettings::try_from(SETTINGS).unwrap();
    let context = Arc::new(EntryContext::new(settings, store.clone(), 1));
    let layout: CellLayout = serde_json::from_str(r#"{"cells": 3, "racks": []}"#).unwrap();
    context.cells.update(|table| {
        let mut table = table.clone();
        table.layout = Arc::new(layout);
        table
    });
    (JobFrontend::new(context), store)
}

fn home_row() -> (String, Vec<u8>) {
    (RowKeys::home(&job()), HomeRow::stored(CELL).encode())
}

fn malformed(key: String) -> (String, Vec<u8>) {
    (key, MALFORMED.to_vec())
}

/// Guards against a stored job that is denied or said to wait.
#[test]
fn job_whose_progress_cannot_be_read_is_neither_denied_nor_said_to_wait() {
    let rows = [home_row(), malformed(RowKeys::progress(CELL, &job()))];
    let (frontend, _) = frontend(&rows);
    // The front end knows the cell of the job from the first answer on.
    for _ in 0..2 {
        let outcome = frontend.state(&job(), DEADLINE);
        assert_eq!(outcome, StateOutcome::Unreadable);
    }
}

/// Guards against a caller that waits in vain.
#[test]
fn job_whose_home_cannot_be_read_is_not_denied() {
    let (frontend, store) = frontend(&[malformed(RowKeys::home(&job()))]);
    let outcome = frontend.state(&job(), DEADLINE);
    assert_eq!(outcome, StateOutcome::Unreadable);
    let outcome = frontend.cancel(&job(), DEADLINE);
    assert_eq!(outcome, CancelOutcome::Unreadable);
    let spec = JobSpec::without_steps();
    let outcome = frontend.submit(&job(), &spec, DEADLINE);
    assert_eq!(outcome, SubmitOutcome::Unknown);
    assert_eq!(store.keys(), [RowKeys::home(&job())]);
}

/// Guards against tasks that go on in other cells after their job was cancelled.
#[test]
fn cancellation_of_a_job_whose_progress_cannot_be_read_is_stored_in_every_cell() {
    let rows = [home_row(), malformed(RowKeys::progress(CELL, &job()))];
    let (frontend, store) = frontend(&rows);
    let outcome = frontend.cancel(&job(), DEADLINE);
    assert_eq!(outcome, CancelOutcome::Cancelled);
    for cell in [0, 1, 2].map(CellNumber::new) {
        let key = RowKeys::cancellation(cell, &job());
        assert!(store.keys().contains(&key), "{key}");
    }
}

/// Guards against a count that leaves out the jobs of a cell.
#[test]
fn counts_that_cannot_be_read_are_not_taken_for_none() {
    let counts = vec![QueueCount {
        queue: "charts".into(),
        waiting: 3,
    }];
    let counted = (RowKeys::counts(CELL), postcard::to_stdvec(&counts).unwrap());
    let (readable, _) = frontend(std::slice::from_ref(&counted));
    let outcome = readable.waiting("charts", DEADLINE);
    assert_eq!(outcome, WaitingOutcome::Counted(3));
    let other = malformed(RowKeys::counts(CellNumber::new(1)));
    let (frontend, _) = frontend(&[counted, other]);
    let outcome = frontend.waiting("charts", DEADLINE);
    assert_eq!(outcome, WaitingOutcome::Unreadable);
}

//! What a new owner takes from the rows of its cell.

use std::sync::Arc;
use std::time::Duration;

use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;
use sapphirestile_entry::EventListing;
use sapphirestile_entry::EventSource;
use sapphirestile_entry::IntakeEvent;
use sapphirestile_entry::IntakeSource;
use sapphirestile_entry::RowChange;
use sapphirestile_entry::RowKeys;
use sapphirestile_entry::StoreCallError;
use sapphirestile_entry::StoredCell;
use sapphirestile_entry::StoredRow;
use sapphirestile_jobs::Assignment;
use sapphirestile_jobs::DelegatedTask;
use sapphirestile_jobs::DeployedConfig;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobOwner;
use sapphirestile_jobs::JobProgress;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::LeaseBounds;
use sapphirestile_jobs::OccurrenceProgress;
use sapphirestile_jobs::OwnerLimits;
use sapphirestile_jobs::QueueTerms;
use sapphirestile_jobs::StepSpec;
use sapphirestile_jobs::TaskIdentity;
use sapphirestile_jobs::TaskStage;
use sapphirestile_jobs::WorkerIncarnation;
use serde::Serialize;

const CELL: CellNumber = CellNumber::new(0);
const NOW: MonoTime = MonoTime::from_millis(1_000);
const LIMITS: OwnerLimits = OwnerLimits {
    lease_ms: 5_000,
    lease_max_ms: 6_000,
    authority_ms: 6_200,
    retention_ms: 60_000,
};

/// The first byte of a longer number, whose rest is missing.
const MALFORMED: [u8; 1] = [0xff];

/// A listing of rows that a test has chosen.
struct FixedRows(Vec<StoredRow>);

impl EventSource<RowChange> for FixedRows {
    fn name(&self) -> &'static str {
        "rows"
    }

    fn list(&self) -> Result<EventListing<RowChange>, StoreCallError> {
        Ok(EventListing {
            events: self.0.iter().cloned().map(RowChange::Written).collect(),
            revision: 1,
        })
    }

    fn watch(&self, _: u64, _: Duration) -> Result<EventListing<RowChange>, StoreCallError> {
        Err(StoreCallError::Unknown)
    }
}

fn job() -> JobIdentity {
    JobIdentity::try_from("5c0e7a21d94b36f8").unwrap()
}

fn task() -> TaskIdentity {
    TaskIdentity::try_from("5c0e7a21d94b36f8.0.0.0").unwrap()
}

fn spec() -> JobSpec {
    JobSpec {
        queue: "charts".into(),
        text: "".into(),
        steps: vec![StepSpec {
            tasks: 2,
            ..StepSpec::default()
        }],
        repeat: None,
        accepted_unix_ms: 0,
        terms: QueueTerms {
            service: "sizing".into(),
            priority: 1,
            attempts: 2,
        },
    }
}

/// The progress of a job whose first task was assigned.
fn begun(spec: &JobSpec) -> JobProgress {
    let mut occurrence = OccurrenceProgress::new(0, spec);
    let assignment = Assignment {
        worker: WorkerName::try_from("w-1").unwrap(),
        incarnation: WorkerIncarnation::from_unix_ms(1),
    };
    let last = occurrence.steps.last_mut().unwrap();
    last.tasks[0].stage = TaskStage::Assigned(assignment);
    JobProgress {
        begun: 1,
        occurrences: vec![occurrence],
        ..JobProgress::default()
    }
}

fn row(key: String, value: impl Into<Vec<u8>>) -> StoredRow {
    StoredRow {
        key,
        value: value.into(),
        revision: 1,
    }
}

fn encoded(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap()
}

/// The intake events that an owner reads from the rows.
fn read(rows: Vec<StoredRow>) -> Vec<IntakeEvent> {
    let source = IntakeSource::new(Arc::new(FixedRows(rows)));
    source.list().unwrap().events
}

fn new_owner() -> JobOwner {
    let config = Arc::new(DeployedConfig::default());
    let bounds = LeaseBounds::of_all(0);
    JobOwner::new(CellEpoch::new(2), LIMITS, config, Vec::new(), bounds, NOW)
}

/// The number of jobs that a new owner takes from the rows of its cell.
fn jobs_of_owner(intake: Vec<StoredRow>, progress: &[StoredRow]) -> usize {
    let mut owner = new_owner();
    StoredCell::join(read(intake), progress).restore_into(&mut owner, NOW, 0);
    owner.counts().0
}

fn spec_row() -> StoredRow {
    row(RowKeys::spec(CELL, &job()), encoded(&spec()))
}

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

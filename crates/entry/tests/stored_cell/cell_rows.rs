//! Rows of a cell, and the owner that starts from them.

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

pub const CELL: CellNumber = CellNumber::new(0);
pub const NOW: MonoTime = MonoTime::from_millis(1_000);
pub const LIMITS: OwnerLimits = OwnerLimits {
    lease_ms: 5_000,
    lease_max_ms: 6_000,
    authority_ms: 6_200,
    retention_ms: 60_000,
};

/// The first byte of a longer number, whose rest is missing.
pub const MALFORMED: [u8; 1] = [0xff];

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

pub fn job() -> JobIdentity {
    JobIdentity::try_from("5c0e7a21d94b36f8").unwrap()
}

pub fn task() -> TaskIdentity {
    TaskIdentity::try_from("5c0e7a21d94b36f8.0.0.0").unwrap()
}

pub fn spec() -> JobSpec {
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
pub fn begun(spec: &JobSpec) -> JobProgress {
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

pub fn row(key: String, value: impl Into<Vec<u8>>) -> StoredRow {
    StoredRow {
        key,
        value: value.into(),
        revision: 1,
    }
}

pub fn encoded(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap()
}

/// The intake events that an owner reads from the rows.
pub fn read(rows: Vec<StoredRow>) -> Vec<IntakeEvent> {
    let source = IntakeSource::new(Arc::new(FixedRows(rows)));
    source.list().unwrap().events
}

pub fn new_owner() -> JobOwner {
    let config = Arc::new(DeployedConfig::default());
    let bounds = LeaseBounds::of_all(0);
    JobOwner::new(CellEpoch::new(2), LIMITS, config, Vec::new(), bounds, NOW)
}

/// The number of jobs that a new owner takes from the rows of its cell.
pub fn jobs_of_owner(intake: Vec<StoredRow>, progress: &[StoredRow]) -> usize {
    let mut owner = new_owner();
    StoredCell::join(read(intake), progress).restore_into(&mut owner, NOW, 0);
    owner.counts().0
}

pub fn spec_row() -> StoredRow {
    row(RowKeys::spec(CELL, &job()), encoded(&spec()))
}

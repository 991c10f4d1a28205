//! The rows that cancel a job.

use sapphirestile_core::CellNumber;
use sapphirestile_entry::CancellationRows;
use sapphirestile_entry::RowKeys;
use sapphirestile_entry::StoredRow;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobProgress;
use sapphirestile_jobs::JobStanding;
use sapphirestile_jobs::OccurrenceProgress;
use sapphirestile_jobs::StepProgress;
use sapphirestile_jobs::TaskProgress;
use sapphirestile_jobs::TaskStage;

const HOME: CellNumber = CellNumber::new(2);

fn task(stage: TaskStage) -> TaskProgress {
    TaskProgress {
        run: 1,
        stage,
        ..TaskProgress::default()
    }
}

/// The owner of the home may have failed together with the caller's wish to end the job. The
/// other cells would start its tasks until the next owner has told them.
#[test]
fn every_cell_with_a_task_of_the_job_is_told() {
    let elsewhere = |cell: u16| task(TaskStage::Elsewhere(CellNumber::new(cell)));
    let tasks = vec![
        elsewhere(7),
        task(TaskStage::Waiting),
        elsewhere(4),
        elsewhere(7),
    ];
    let progress = JobProgress {
        standing: JobStanding::Running,
        begun: 1,
        occurrences: vec![OccurrenceProgress {
            number: 0,
            steps: vec![StepProgress { tasks }],
        }],
    };
    let job = JobIdentity::try_from("5c0e7a21d94b36f8").unwrap();
    let record = StoredRow {
        key: RowKeys::progress(HOME, &job),
        value: postcard::to_stdvec(&progress).unwrap(),
        revision: 9,
    };
    let rows = CancellationRows::of(HOME, &job, Some(&record)).unwrap();
    let keys: Vec<String> = rows.into_iter().map(|row| row.key).collect();
    let expected = [2, 4, 7].map(|cell| RowKeys::cancellation(CellNumber::new(cell), &job));
    assert_eq!(keys, expected);
}

//! Rows that a daemon of an earlier version has written.

use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_entry::CellTable;
use sapphirestile_entry::DocumentReport;
use sapphirestile_entry::HomeRow;
use sapphirestile_entry::OwnershipRow;
use sapphirestile_entry::RowKeys;
use sapphirestile_entry::StoredRow;
use sapphirestile_entry::TransferRow;
use sapphirestile_jobs::CellLoad;
use sapphirestile_jobs::DelegatedTask;
use sapphirestile_jobs::IdleTask;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::LeaseBounds;
use sapphirestile_jobs::ResourceVector;
use sapphirestile_jobs::RestartNeed;
use sapphirestile_jobs::ReturnedTask;
use sapphirestile_jobs::TaskIdentity;
use sapphirestile_jobs::WorkerVacancy;
use serde::Deserialize;
use serde::Serialize;

/// The row of a cell as it was before it had bounds on leases.
#[derive(Deserialize, Serialize)]
struct EarlierRow {
    epoch: u64,
    daemon: Box<str>,
    incarnation: u64,
    write: u64,
    is_released: bool,
    load: CellLoad,
}

/// The row of a cell as it was before it had tasks that wait to run again.
#[derive(Deserialize, Serialize)]
struct RowWithVacancies {
    earlier: EarlierRow,
    lease_bounds: LeaseBounds,
    vacancies: Vec<WorkerVacancy>,
}

/// The row of a cell as it was before it told late tasks from others.
#[derive(Deserialize, Serialize)]
struct RowWithRestarts {
    with_vacancies: RowWithVacancies,
    restarts: Vec<RestartNeed>,
}

/// The row of a cell as it was before it had the time for which tasks have waited.
#[derive(Deserialize, Serialize)]
struct RowWithLateRestarts {
    with_restarts: RowWithRestarts,
    late_restarts: Vec<RestartNeed>,
}

fn restart_need() -> RestartNeed {
    RestartNeed {
        service: "sizing".into(),
        size: ResourceVector {
            cpu_milli: 20_000,
            ..ResourceVector::default()
        },
        required_label: None,
    }
}

fn stored(cell: u16, row: &impl Serialize) -> StoredRow {
    StoredRow {
        key: RowKeys::ownership(CellNumber::new(cell)),
        value: postcard::to_stdvec(row).unwrap(),
        revision: 12,
    }
}

/// Otherwise a daemon of one version does not find the jobs that one of another has stored.
#[test]
fn home_rows_of_both_versions_can_be_read_by_either() {
    let cell = CellNumber::new(300);
    let earlier = postcard::to_stdvec(&cell).unwrap();
    assert_eq!(HomeRow::decode(&earlier), Some(HomeRow::stored(cell)));
    assert_eq!(HomeRow::stored(cell).encode(), earlier);
    let cancelled = HomeRow::cancelled_early(cell).encode();
    assert_eq!(postcard::from_bytes(&cancelled), Ok(cell));
}

/// Otherwise no daemon of this version can claim the cell once its owner has stopped.
#[test]
fn row_of_an_earlier_version_is_read_with_its_longest_bound() {
    let row = EarlierRow {
        epoch: 7,
        daemon: "entry-1".into(),
        incarnation: 3,
        write: 40,
        is_released: true,
        load: CellLoad::default(),
    };
    let stored = stored(0, &row);
    let table = CellTable::default().with_rows(&[stored], MonoTime::from_millis(0));
    let head = table.heads.get(&CellNumber::new(0));
    let head = head.expect("the row of the earlier version can be read");
    assert_eq!(head.row.lease_bounds, LeaseBounds::unstated());
}

/// A daemon of the earlier version must go on reading the row while it is replaced.
#[test]
fn row_of_this_version_can_be_read_by_an_earlier_one() {
    let row = OwnershipRow {
        epoch: 8,
        daemon: "entry-2".into(),
        incarnation: 4,
        write: 1,
        is_released: false,
        load: CellLoad::default(),
        lease_bounds: LeaseBounds::of_all(6_355),
        vacancies: Vec::new(),
        restarts: vec![restart_need()],
        late_restarts: Vec::new(),
        idle_tasks: Vec::new(),
        document: DocumentReport::default(),
    };
    let value = postcard::to_stdvec(&row).unwrap();
    let read: EarlierRow = postcard::from_bytes(&value).unwrap();
    assert_eq!((read.epoch, read.write), (8, 1));
    let again: OwnershipRow = postcard::from_bytes(&value).unwrap();
    assert_eq!(again, row);
}

/// Daemons of both versions own cells while the earlier one is replaced.
#[test]
fn tasks_that_wait_to_run_again_are_read_beside_a_row_without_them() {
    let earlier = RowWithVacancies {
        earlier: EarlierRow {
            epoch: 7,
            daemon: "entry-1".into(),
            incarnation: 3,
            write: 40,
            is_released: false,
            load: CellLoad::default(),
        },
        lease_bounds: LeaseBounds::of_all(1),
        vacancies: vec![WorkerVacancy::default()],
    };
    let row = OwnershipRow {
        epoch: 8,
        daemon: "entry-2".into(),
        incarnation: 4,
        write: 1,
        is_released: false,
        load: CellLoad::default(),
        lease_bounds: LeaseBounds::of_all(1),
        vacancies: vec![WorkerVacancy::default()],
        restarts: vec![restart_need()],
        late_restarts: Vec::new(),
        idle_tasks: Vec::new(),
        document: DocumentReport::default(),
    };
    let now = MonoTime::from_millis(0);
    let rows = [stored(0, &earlier), stored(1, &row)];
    let table = CellTable::default().with_rows(&rows, now);
    assert_eq!(table.heads.len(), 2);
    let elsewhere = |cell| table.restarts_elsewhere(CellNumber::new(cell), now);
    assert_eq!(elsewhere(0).0, [restart_need()]);
    assert_eq!(elsewhere(1).0, []);
    let value = postcard::to_stdvec(&row).unwrap();
    let read: RowWithVacancies = postcard::from_bytes(&value).unwrap();
    assert_eq!(
        read.vacancies.len(),
        1,
        "the earlier version reads its part"
    );
}

/// Otherwise tasks that have waited for long are lost from the reports while one version
/// replaces the other, or the whole row is.
#[test]
fn late_tasks_are_read_beside_a_row_without_them() {
    let earlier = RowWithRestarts {
        with_vacancies: RowWithVacancies {
            earlier: EarlierRow {
                epoch: 7,
                daemon: "entry-1".into(),
                incarnation: 3,
                write: 40,
                is_released: false,
                load: CellLoad::default(),
            },
            lease_bounds: LeaseBounds::of_all(1),
            vacancies: Vec::new(),
        },
        restarts: vec![restart_need()],
    };
    let row = OwnershipRow {
        epoch: 8,
        daemon: "entry-2".into(),
        incarnation: 4,
        write: 1,
        is_released: false,
        load: CellLoad::default(),
        lease_bounds: LeaseBounds::of_all(1),
        vacancies: Vec::new(),
        restarts: Vec::new(),
        late_restarts: vec![restart_need()],
        idle_tasks: Vec::new(),
        document: DocumentReport::default(),
    };
    let now = MonoTime::from_millis(0);
    let rows = [stored(0, &earlier), stored(1, &row)];
    let table = CellTable::default().with_rows(&rows, now);
    let elsewhere = |cell| table.restarts_elsewhere(CellNumber::new(cell), now);
    assert_eq!(elsewhere(0), (Vec::new(), vec![restart_need()]));
    assert_eq!(elsewhere(1), (vec![restart_need()], Vec::new()));
    let value = postcard::to_stdvec(&row).unwrap();
    let read: RowWithRestarts = postcard::from_bytes(&value).unwrap();
    assert!(
        read.restarts.is_empty(),
        "the earlier version reads its part"
    );
}

fn delegated(idle_ms: u64) -> DelegatedTask {
    DelegatedTask {
        task: TaskIdentity::try_from("aaaaaaaaaaaaaaaa.0.0.0").unwrap(),
        run: 3,
        checkpoint: "a".into(),
        home: CellNumber::new(2),
        spec: JobSpec::without_steps(),
        idle_ms,
    }
}

/// Otherwise a task is in no cell whose transfer one version stored and another reads.
#[test]
fn rows_of_transfers_of_both_versions_can_be_read_by_either() {
    let earlier = postcard::to_stdvec(&delegated(7_000)).unwrap();
    let without = TransferRow::decode_delegated(&earlier);
    assert_eq!(without, Some(delegated(0)));
    let row = TransferRow::encode_delegated(&delegated(7_000));
    assert_eq!(postcard::from_bytes(&row), Ok(delegated(0)));
    assert_eq!(TransferRow::decode_delegated(&row), Some(delegated(7_000)));
    let returned = ReturnedTask {
        task: delegated(0).task,
        run: 4,
        checkpoint: "".into(),
        from: CellNumber::new(1),
        idle_ms: 300,
    };
    let row = TransferRow::encode_returned(&returned);
    assert_eq!(TransferRow::decode_returned(&row), Some(returned.clone()));
    let earlier = postcard::to_stdvec(&returned).unwrap();
    let without = TransferRow::decode_returned(&earlier).map(|task| task.idle_ms);
    assert_eq!(without, Some(0));
    assert_eq!(TransferRow::decode_returned(&earlier[..2]), None);
}

/// Otherwise waits begin anew while one version replaces the other, or the row is lost.
#[test]
fn waits_are_read_behind_what_earlier_versions_read() {
    let idle = IdleTask {
        task: delegated(0).task,
        idle_ms: 12_000,
    };
    let row = OwnershipRow {
        epoch: 8,
        daemon: "entry-2".into(),
        incarnation: 4,
        write: 1,
        is_released: false,
        load: CellLoad::default(),
        lease_bounds: LeaseBounds::of_all(1),
        vacancies: Vec::new(),
        restarts: Vec::new(),
        late_restarts: vec![restart_need()],
        idle_tasks: vec![idle],
        document: DocumentReport::default(),
    };
    let value = postcard::to_stdvec(&row).unwrap();
    assert_eq!(OwnershipRow::decode(&value), Some(row.clone()));
    let earlier: RowWithLateRestarts = postcard::from_bytes(&value).unwrap();
    assert_eq!(earlier.late_restarts, row.late_restarts);
    let value = postcard::to_stdvec(&earlier).unwrap();
    let read = OwnershipRow::decode(&value).expect("the earlier row is read");
    assert!(read.idle_tasks.is_empty());
    assert_eq!(read.late_restarts, row.late_restarts);
}

/// The row of a cell as it was before it had a report about the operators' document.
#[derive(Deserialize, Serialize)]
struct RowWithIdleTasks {
    with_late_restarts: RowWithLateRestarts,
    idle_tasks: Vec<IdleTask>,
}

/// Daemons of both versions own cells while the earlier one is replaced.
#[test]
fn reports_about_the_document_are_read_beside_a_row_without_them() {
    let with_vacancies = RowWithVacancies {
        earlier: EarlierRow {
            epoch: 7,
            daemon: "entry-1".into(),
            incarnation: 3,
            write: 40,
            is_released: false,
            load: CellLoad::default(),
        },
        lease_bounds: LeaseBounds::of_all(1),
        vacancies: vec![WorkerVacancy::default()],
    };
    let earlier = RowWithIdleTasks {
        with_late_restarts: RowWithLateRestarts {
            with_restarts: RowWithRestarts {
                with_vacancies,
                restarts: vec![restart_need()],
            },
            late_restarts: Vec::new(),
        },
        idle_tasks: Vec::new(),
    };
    let report = DocumentReport {
        copied: 12,
        followed: 900,
    };
    let row = OwnershipRow {
        epoch: 8,
        daemon: "entry-2".into(),
        incarnation: 4,
        write: 1,
        is_released: false,
        load: CellLoad::default(),
        lease_bounds: LeaseBounds::of_all(1),
        vacancies: vec![WorkerVacancy::default()],
        restarts: vec![restart_need()],
        late_restarts: vec![restart_need()],
        idle_tasks: Vec::new(),
        document: report,
    };
    let now = MonoTime::from_millis(0);
    let rows = [stored(0, &earlier), stored(1, &row)];
    let table = CellTable::default().with_rows(&rows, now);
    let reports = [(3, DocumentReport::default()), (4, report)];
    assert_eq!(table.document_reports(now), reports);
    let value = postcard::to_stdvec(&row).unwrap();
    let read: RowWithIdleTasks = postcard::from_bytes(&value).unwrap();
    let with_restarts = read.with_late_restarts.with_restarts;
    assert_eq!(with_restarts.restarts, row.restarts);
}

//! Free workers that an owner reports to the other cells.

use sapphirestile_core::CellNumber;
use sapphirestile_jobs::CellReport;
use sapphirestile_jobs::StepSpec;
use sapphirestile_jobs::VacancyTable;
use sapphirestile_jobs::WorkerEntry;
use sapphirestile_jobs::WorkerVacancy;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::step;
use crate::test_values::worker;

const CELL: CellNumber = CellNumber::new(1);

/// What a cell reports that has eight workers with more processors than another one.
fn report_with(other: WorkerEntry) -> Vec<WorkerVacancy> {
    let mut workers: Vec<WorkerEntry> = (0..8)
        .map(|number| worker(&format!("w-{number}"), 8_000))
        .collect();
    workers.push(other);
    let mut fixture = OwnerFixture::with_workers(workers);
    fixture.owner.set_cells(2);
    fixture.owner.vacancies(fixture.time())
}

fn has_room(vacancies: &[WorkerVacancy], step: &StepSpec) -> bool {
    let report = CellReport {
        cell: CELL,
        vacancies,
        age_ms: 0,
    };
    let table = VacancyTable::new(&[report]);
    table.has_other(CellNumber::new(0), step, "sizing")
}

/// A task that needs a label never left its cell: the eight workers of the report had none.
#[test]
fn worker_with_a_label_that_larger_ones_lack_is_reported() {
    let mut labelled = worker("w-9", 4_000);
    labelled.labels = vec!["b".into(), "r1-1".into()];
    let mut needy = step(1, 4_000);
    needy.required_label = Some("b".into());
    assert!(has_room(&report_with(labelled), &needy));
}

/// Nor did one that needs much memory.
#[test]
fn worker_with_more_memory_than_larger_ones_is_reported() {
    let mut roomy = worker("w-9", 4_000);
    roomy.capacity.memory_mib = 128_000;
    let mut needy = step(1, 4_000);
    needy.size.memory_mib = 100_000;
    assert!(has_room(&report_with(roomy), &needy));
}

/// Nor did one that needs an accelerator.
#[test]
fn worker_with_an_accelerator_that_larger_ones_lack_is_reported() {
    let mut accelerated = worker("w-9", 4_000);
    accelerated.capacity.accelerators = 1;
    let mut needy = step(1, 4_000);
    needy.size.accelerators = 1;
    assert!(has_room(&report_with(accelerated), &needy));
}

/// Every daemon reads the report.
#[test]
fn report_has_few_workers_however_many_labels_there_are() {
    let workers = (0..60).map(|number| {
        let mut worker = worker(&format!("w-{number}"), 8_000 + number);
        worker.labels = vec![format!("kind-{number}").into(), "r1-1".into()];
        worker
    });
    let mut fixture = OwnerFixture::with_workers(workers.collect());
    fixture.owner.set_cells(2);
    let reported = fixture.owner.vacancies(fixture.time());
    assert!(reported.len() <= 16, "got {}", reported.len());
    let largest = reported.iter().map(|vacancy| vacancy.free.cpu_milli).max();
    assert_eq!(largest, Some(8_059));
}

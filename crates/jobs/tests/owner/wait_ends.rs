//! Reports of how long a task waited to run again, and of what kept it.

use sapphirestile_core::CellNumber;
use sapphirestile_jobs::CellReport;
use sapphirestile_jobs::DecisionEvent;
use sapphirestile_jobs::StoredJob;
use sapphirestile_jobs::TaskStage;
use sapphirestile_jobs::VacancyTable;
use sapphirestile_jobs::WaitCauses;
use sapphirestile_jobs::WorkerVacancy;

use crate::owner_fixture::OwnerFixture;
use crate::restarts::FIRST;
use crate::restarts::LASTING;
use crate::restarts::lasting;
use crate::restarts::leave;
use crate::restarts::place;
use crate::restarts::store_end;
use crate::test_values::long_running_job;
use crate::test_values::task_identity;
use crate::test_values::worker;

const HOME: CellNumber = CellNumber::new(0);
const OTHER: CellNumber = CellNumber::new(1);

/// A cell with one worker, which is full, and a task that has run on another one.
fn full_cell() -> (OwnerFixture, String) {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_000)]);
    place(&mut fixture, FIRST, lasting(2_000), "w-1");
    let workers = vec![worker("w-1", 2_000), worker("w-2", 2_000)];
    fixture.owner.replace_workers(workers, fixture.time());
    fixture.step();
    fixture.answer("w-2", &[], &[]);
    let task = place(&mut fixture, LASTING, lasting(2_000), "w-2");
    leave(&mut fixture, "w-2", 2_000, &task);
    store_end(&mut fixture);
    let _ = fixture.owner.take_decisions();
    (fixture, task)
}

/// Lets the task wait, a planning pass each 100 ms.
fn wait(fixture: &mut OwnerFixture, wait_ms: u64) {
    for _ in 0..wait_ms / 100 {
        fixture.now += 100;
        fixture.step();
    }
}

fn add_worker(fixture: &mut OwnerFixture) {
    let workers = vec![worker("w-1", 2_000), worker("w-3", 2_000)];
    fixture.owner.replace_workers(workers, fixture.time());
    fixture.step();
    fixture.answer("w-3", &[], &[]);
    fixture.step();
}

fn wait_ends(fixture: &mut OwnerFixture) -> Vec<DecisionEvent> {
    let decisions = fixture.owner.take_decisions().into_iter();
    decisions
        .filter(|decision| matches!(decision, DecisionEvent::WaitEnded { .. }))
        .collect()
}

/// Plans transfers by a report of a worker with that much free.
fn plan_transfers(fixture: &mut OwnerFixture, free_milli: u64) {
    let idle = worker("w-9", free_milli);
    let vacancy = WorkerVacancy {
        service: idle.service,
        free: idle.capacity,
        labels: Vec::new(),
    };
    let mut vacancies = VacancyTable::new(&[CellReport {
        cell: OTHER,
        vacancies: std::slice::from_ref(&vacancy),
        age_ms: 0,
    }]);
    let now = fixture.time();
    fixture.owner.plan_transfers(HOME, &mut vacancies, now);
}

#[test]
fn wait_that_ends_with_an_assignment_is_reported() {
    let (mut fixture, task) = full_cell();
    wait(&mut fixture, 1_500);
    add_worker(&mut fixture);
    let reports = wait_ends(&mut fixture);
    let causes = WaitCauses {
        occupied_by_long: 5,
        ..WaitCauses::default()
    };
    let expected = DecisionEvent::WaitEnded {
        task: task_identity(&task),
        run: 2,
        target: None,
        waited_ms: 1_500,
        idle_ms: Some(1_500),
        causes,
    };
    assert_eq!(reports, [expected]);
}

#[test]
fn wait_that_ends_with_a_transfer_is_reported() {
    let (mut fixture, task) = full_cell();
    fixture.owner.set_cells(2);
    wait(&mut fixture, 1_200);
    plan_transfers(&mut fixture, 1_000);
    assert!(wait_ends(&mut fixture).is_empty(), "too little room");
    plan_transfers(&mut fixture, 2_000);
    let reports = wait_ends(&mut fixture);
    let causes = WaitCauses {
        occupied_by_long: 4,
        views: 2,
        views_without_room: 1,
        ..WaitCauses::default()
    };
    let expected = DecisionEvent::WaitEnded {
        task: task_identity(&task),
        run: 2,
        target: Some(OTHER),
        waited_ms: 1_200,
        idle_ms: Some(1_200),
        causes,
    };
    assert_eq!(reports, [expected]);
}

#[test]
fn short_wait_is_not_reported() {
    let (mut fixture, _) = full_cell();
    wait(&mut fixture, 900);
    add_worker(&mut fixture);
    assert!(!fixture.store().is_empty(), "the task starts");
    assert!(wait_ends(&mut fixture).is_empty());
}

/// The tasks that had waited under the earlier owner were in no line of the next one.
#[test]
fn new_owner_reports_the_tasks_that_wait() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_000)]);
    let mut waiting: StoredJob = long_running_job(LASTING, 1);
    let progress = waiting.progress.as_mut().expect("it has begun");
    progress.occurrences[0].steps[0].tasks[0].stage = TaskStage::Waiting;
    let running = long_running_job(FIRST, 1);
    let now = fixture.time();
    fixture.owner.restore_job(waiting, now, fixture.now);
    fixture.owner.restore_job(running, now, fixture.now);
    fixture.owner.report_restored_waits(now);
    let restored = DecisionEvent::WaitsRestored {
        tasks: 1,
        longest: task_identity(&format!("{LASTING}.0.0.0")),
        idle_ms: None,
    };
    assert_eq!(fixture.owner.take_decisions(), [restored]);
}

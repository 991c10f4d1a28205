//! Waits that go on in another cell and under another owner.

use sapphirestile_core::CellNumber;
use sapphirestile_jobs::CellReport;
use sapphirestile_jobs::DelegatedTask;
use sapphirestile_jobs::IdleTask;
use sapphirestile_jobs::ReturnedTask;
use sapphirestile_jobs::TaskStage;
use sapphirestile_jobs::TaskTransfer;
use sapphirestile_jobs::VacancyTable;
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

/// An owner whose only worker is full.
fn full_cell() -> OwnerFixture {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_000)]);
    place(&mut fixture, FIRST, lasting(2_000), "w-1");
    fixture
}

fn needs(fixture: &OwnerFixture) -> usize {
    fixture.owner.restart_needs(fixture.time()).len()
}

fn vacancies() -> VacancyTable {
    let idle = worker("w-9", 4_000);
    let vacancy = WorkerVacancy {
        service: idle.service,
        free: idle.capacity,
        labels: Vec::new(),
    };
    VacancyTable::new(&[CellReport {
        cell: OTHER,
        vacancies: std::slice::from_ref(&vacancy),
        age_ms: 0,
    }])
}

/// The home of a job whose task has waited for 1.2 s, and the transfer of the task.
fn home_and_transfer() -> (OwnerFixture, TaskTransfer) {
    let mut home = full_cell();
    let workers = vec![worker("w-1", 2_000), worker("w-2", 2_000)];
    home.owner.replace_workers(workers, home.time());
    home.step();
    home.answer("w-2", &[], &[]);
    let task = place(&mut home, LASTING, lasting(2_000), "w-2");
    leave(&mut home, "w-2", 2_000, &task);
    store_end(&mut home);
    home.now += 1_200;
    home.step();
    home.owner.set_cells(2);
    let now = home.time();
    home.owner.plan_transfers(HOME, &mut vacancies(), now);
    let batch = home.owner.take_batch(false, now).expect("a transfer");
    let transfer = batch.transfers[0].transfers[0].clone();
    home.owner.confirm_batch(now, home.now);
    home.owner.finish_transfers(&[], now, home.now);
    (home, transfer)
}

fn delegated_of(transfer: &TaskTransfer) -> DelegatedTask {
    let TaskTransfer::Delegate { delegated, .. } = transfer else {
        panic!("the task is delegated, got {transfer:?}");
    };
    delegated.clone()
}

/// No worker was held for a task that had come, and first runs went before it, until it had
/// waited for a second there.
#[test]
fn task_that_has_waited_in_one_cell_has_precedence_in_the_next_at_once() {
    let (_, transfer) = home_and_transfer();
    let delegated = delegated_of(&transfer);
    assert_eq!(delegated.idle_ms, 1_200);
    let mut host = full_cell();
    let now = host.time();
    host.owner.receive_task(delegated, now, host.now);
    host.step();
    assert_eq!(needs(&host), 1);
}

/// It had precedence nowhere if it went to and fro often enough.
#[test]
fn task_that_comes_home_has_waited_before() {
    let (mut home, transfer) = home_and_transfer();
    let returned = ReturnedTask {
        task: transfer.task(),
        run: transfer.run() + 1,
        checkpoint: "".into(),
        from: OTHER,
        idle_ms: 3_000,
    };
    let now = home.time();
    home.owner.take_back_task(returned, now, home.now);
    home.step();
    assert_eq!(needs(&home), 1);
    assert_eq!(home.owner.idle_tasks(now)[0].idle_ms, 3_000);
}

/// Its wait began anew with each owner.
#[test]
fn task_that_has_waited_under_an_owner_has_precedence_under_the_next() {
    let mut fixture = full_cell();
    let mut stored = long_running_job(LASTING, 1);
    stored.spec = lasting(2_000);
    let progress = stored.progress.as_mut().expect("it has begun");
    progress.occurrences[0].steps[0].tasks[0].stage = TaskStage::Waiting;
    let now = fixture.time();
    fixture.owner.restore_job(stored, now, fixture.now);
    let idle = IdleTask {
        task: task_identity(&format!("{LASTING}.0.0.0")),
        idle_ms: 2_500,
    };
    fixture.owner.restore_idle_tasks(&[idle], now);
    fixture.step();
    assert_eq!(needs(&fixture), 1);
    fixture.now += 400;
    let now = fixture.time();
    let batch = fixture.owner.take_batch(true, now).expect("a heartbeat");
    let later = IdleTask {
        idle_ms: 2_900,
        ..idle
    };
    assert_eq!(batch.idle_tasks, [later], "a later owner learns of it, too");
}

/// A task that fits nowhere kept first runs off for 30 s under each owner.
#[test]
fn precedence_ends_after_the_wait_under_all_owners() {
    let mut host = full_cell();
    let (_, transfer) = home_and_transfer();
    let delegated = DelegatedTask {
        idle_ms: 29_500,
        ..delegated_of(&transfer)
    };
    let now = host.time();
    host.owner.receive_task(delegated, now, host.now);
    host.step();
    assert_eq!(needs(&host), 1);
    host.now += 600;
    assert_eq!(needs(&host), 0);
    assert_eq!(host.owner.late_restart_needs(host.time()).len(), 1);
}

/// The workers that other cells held for it were let go before its next cell had reported it,
/// and short tasks took them.
#[test]
fn need_of_a_task_is_reported_while_it_is_on_its_way() {
    let (mut home, _) = home_and_transfer();
    assert_eq!(needs(&home), 1);
    home.now += 900;
    home.step();
    assert_eq!(needs(&home), 1);
    home.now += 100;
    assert_eq!(needs(&home), 0);
}

//! Transfers of tasks between cells.

use sapphirestile_core::CellNumber;
use sapphirestile_jobs::CellReport;
use sapphirestile_jobs::CommitBatch;
use sapphirestile_jobs::DecisionEvent;
use sapphirestile_jobs::DelegatedTask;
use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::JobStanding;
use sapphirestile_jobs::ReturnedTask;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::TaskStage;
use sapphirestile_jobs::TaskTransfer;
use sapphirestile_jobs::VacancyCensus;
use sapphirestile_jobs::VacancyTable;
use sapphirestile_jobs::WorkerVacancy;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::ended;
use crate::test_values::job_spec;
use crate::test_values::step;
use crate::test_values::task_identity;
use crate::test_values::worker;

const JOB: &str = "aaaaaaaaaaaaaaaa";
const TASK: &str = "aaaaaaaaaaaaaaaa.0.0.0";
const HOME: CellNumber = CellNumber::new(0);
const OTHER: CellNumber = CellNumber::new(1);

fn identity() -> JobIdentity {
    JobIdentity::try_from(JOB).unwrap()
}

/// A job of two tasks that run until it is cancelled.
fn long_running_job() -> JobSpec {
    let mut step = step(2, 1_000);
    step.is_long_running = true;
    job_spec(vec![step])
}

/// The home of the job, whose only two workers run a task each. The worker of task 0 leaves,
/// and the task has ended there.
fn home_without_room() -> OwnerFixture {
    home_without_room_for(long_running_job())
}

fn home_without_room_for(spec: JobSpec) -> OwnerFixture {
    let workers = vec![worker("w-1", 1_000), worker("w-2", 1_000)];
    let mut fixture = OwnerFixture::with_workers(workers);
    fixture.owner.set_cells(2);
    fixture.accept(JOB, spec);
    // The job waits for another cell before it begins.
    fixture.now += 2_100;
    for name in ["w-1", "w-2"] {
        fixture.answer(name, &[], &[]);
    }
    fixture.step();
    let starts = fixture.store();
    let of_task = format!("start {TASK}#1 at ");
    let leaving = starts
        .iter()
        .find_map(|line| line.strip_prefix(&of_task))
        .expect("task 0 starts");
    let leaving = leaving.to_owned();
    for line in &starts {
        let (task, at) = line
            .strip_prefix("start ")
            .unwrap()
            .split_once("#1 at ")
            .unwrap();
        fixture.started(at, task, 1, StartOutcome::Accepted);
    }
    let mut entry = worker(&leaving, 1_000);
    entry.is_leaving = true;
    let now = fixture.time();
    fixture
        .owner
        .apply_worker_event(sapphirestile_jobs::WorkerEvent::Present(entry), now);
    fixture.step();
    fixture.answer(&leaving, &[], &[ended(1, TASK, 1, EndKind::Stopped)]);
    fixture.step();
    fixture.store();
    fixture
}

/// The report of an idle worker in the other cell.
fn vacancies(cell: CellNumber) -> VacancyTable {
    let idle = worker("w-9", 4_000);
    let vacancy = WorkerVacancy {
        service: idle.service,
        free: idle.capacity,
        labels: vec!["a".into()],
    };
    VacancyTable::new(&[CellReport {
        cell,
        vacancies: std::slice::from_ref(&vacancy),
        age_ms: 40,
    }])
}

/// Lets the owner of a cell plan transfers, and takes the batch that has them.
fn plan(fixture: &mut OwnerFixture, own: CellNumber, room: CellNumber) -> Option<CommitBatch> {
    let now = fixture.time();
    fixture.owner.plan_transfers(own, &mut vacancies(room), now);
    let batch = fixture.owner.take_batch(false, now)?;
    if batch.transfers.is_empty() {
        fixture.owner.confirm_batch(now, fixture.now);
        return None;
    }
    Some(batch)
}

/// Lets the home delegate the task, and returns what the other cell gets.
fn delegate(fixture: &mut OwnerFixture) -> DelegatedTask {
    fixture.now += 400;
    fixture.step();
    let batch = plan(fixture, HOME, OTHER).expect("the task is delegated");
    let [transfer] = &*batch.transfers else {
        panic!("one job has transfers, got {:?}", batch.transfers);
    };
    let [TaskTransfer::Delegate { target, delegated }] = &*transfer.transfers else {
        panic!("one task is delegated, got {:?}", transfer.transfers);
    };
    assert_eq!(*target, OTHER);
    delegated.clone()
}

fn finish(fixture: &mut OwnerFixture, refused: &[JobIdentity]) {
    let now = fixture.time();
    fixture.owner.confirm_batch(now, fixture.now);
    fixture.owner.finish_transfers(refused, now, fixture.now);
}

/// The other cell, which has one idle worker.
fn host() -> OwnerFixture {
    let mut host = OwnerFixture::with_workers(vec![worker("w-9", 4_000)]);
    host.owner.set_cells(2);
    host
}

fn receive(host: &mut OwnerFixture, delegated: &DelegatedTask) {
    let now = host.time();
    host.owner.receive_task(delegated.clone(), now, host.now);
}

/// A worker leaves, and its cell is full with long-running tasks. A job that has begun could
/// not leave its cell, so its task never ran again though another cell had room.
#[test]
fn task_of_a_job_that_has_begun_runs_in_a_cell_with_room() {
    let mut home = home_without_room();
    let delegated = delegate(&mut home);
    assert!(delegated.run > 1, "later than every run at home");
    assert!(home.owner.is_departing(&identity()));
    finish(&mut home, &[]);
    assert!(!home.owner.is_departing(&identity()));
    let mut host = host();
    receive(&mut host, &delegated);
    host.step();
    assert_eq!(host.store(), [format!("start {TASK}#3 at w-9")]);
}

/// Both owners would start it.
#[test]
fn task_does_not_start_at_home_from_the_decision_on() {
    let mut home = home_without_room();
    delegate(&mut home);
    home.owner
        .replace_workers(vec![worker("w-3", 4_000)], home.time());
    home.step();
    home.answer("w-3", &[], &[]);
    assert!(home.step().is_empty(), "started while it is transferred");
    finish(&mut home, &[]);
    assert!(home.step().is_empty());
    assert!(home.batch().is_none(), "started after the transfer");
}

/// If its record said so before the commit that gives the other cell the task, an owner that
/// dies between the two would leave the task in no cell.
#[test]
fn record_of_the_batch_still_has_the_task_at_home() {
    let mut home = home_without_room();
    home.now += 400;
    home.step();
    let now = home.time();
    home.owner.plan_transfers(HOME, &mut vacancies(OTHER), now);
    // Another change of the job is stored with the same batch.
    home.answer(
        "w-2",
        &[],
        &[ended(1, &format!("{JOB}.0.0.1"), 1, EndKind::Failed)],
    );
    let batch = home.owner.take_batch(false, now).unwrap();
    let task = task_identity(TASK);
    let stage = |progress: &sapphirestile_jobs::JobProgress| {
        progress.task(&task).expect("the task").stage.clone()
    };
    for (_, progress) in &batch.progress {
        assert_eq!(stage(progress), TaskStage::Waiting);
    }
    let transfer = batch.transfers[0].progress.as_ref().unwrap();
    assert_eq!(stage(transfer), TaskStage::Elsewhere(OTHER));
}

/// The caller cancelled the job while the transfer was being stored.
#[test]
fn refused_transfer_leaves_the_task_at_home() {
    let mut home = home_without_room();
    delegate(&mut home);
    finish(&mut home, &[identity()]);
    home.owner
        .replace_workers(vec![worker("w-3", 4_000)], home.time());
    home.step();
    home.answer("w-3", &[], &[]);
    home.step();
    assert_eq!(home.store(), [format!("start {TASK}#2 at w-3")]);
}

/// Its run would go on for ever.
#[test]
fn cancelled_job_ends_in_every_cell() {
    let mut home = home_without_room();
    let delegated = delegate(&mut home);
    finish(&mut home, &[]);
    home.cancel(JOB);
    let batch = home.batch().expect("the end is to be stored");
    assert_eq!(batch.revoked, [(identity(), OTHER)]);
    let mut host = host();
    receive(&mut host, &delegated);
    host.step();
    host.store();
    host.started("w-9", TASK, 3, StartOutcome::Accepted);
    host.cancel(JOB);
    assert_eq!(host.step(), [format!("stop {TASK}#3 at w-9")]);
}

/// The job ends by another step while the transfer is being stored, and no cancellation
/// refuses it.
#[test]
fn job_that_ends_during_a_transfer_is_revoked_afterwards() {
    let mut home = home_without_room();
    delegate(&mut home);
    home.cancel(JOB);
    finish(&mut home, &[]);
    let batch = home.batch().expect("the revocation is to be stored");
    assert_eq!(batch.revoked, [(identity(), OTHER)]);
}

/// A listing that was read before the task left again would bring it back, beside the run
/// that its home has started since.
#[test]
fn outdated_row_does_not_bring_a_task_back() {
    let mut home = home_without_room();
    let delegated = delegate(&mut home);
    finish(&mut home, &[]);
    let mut host = host();
    host.owner.replace_workers(Vec::new(), host.time());
    receive(&mut host, &delegated);
    host.step();
    host.now += 1_600;
    host.step();
    let batch = plan(&mut host, OTHER, HOME).expect("the task returns");
    assert_eq!(batch.transfers[0].progress, None, "nothing is left here");
    finish(&mut host, &[]);
    receive(&mut host, &delegated);
    host.owner
        .replace_workers(vec![worker("w-9", 4_000)], host.time());
    host.step();
    host.answer("w-9", &[], &[]);
    host.step();
    assert!(host.batch().is_none(), "started again");
}

/// Nothing told why a task waited 17 s: every other cell was full, or its report was missing.
#[test]
fn task_that_waits_is_reported_with_what_the_other_cells_report() {
    let mut home = home_without_room();
    let report = |home: &mut OwnerFixture, wait_ms| {
        home.now += wait_ms;
        home.step();
        let _ = home.owner.take_decisions();
        plan(home, HOME, HOME);
        let decisions = home.owner.take_decisions().into_iter();
        let delays = decisions.filter_map(|decision| match decision {
            DecisionEvent::TaskDelayed {
                waited_ms, census, ..
            } => Some((waited_ms, census)),
            _ => None,
        });
        delays.collect::<Vec<_>>()
    };
    assert_eq!(report(&mut home, 400), [], "most find a worker sooner");
    assert_eq!(
        report(&mut home, 700),
        [(1_100, VacancyCensus::default())],
        "no cell but its own has a report"
    );
    assert_eq!(report(&mut home, 900), [], "one a second at most");
    let step = &long_running_job().steps[0];
    let census = vacancies(OTHER).census(HOME, step, "sizing");
    let with_room = VacancyCensus {
        cells: 1,
        cells_with_room: 1,
        largest_free_cpu_milli: 4_000,
        newest_ms: 40,
        oldest_ms: 40,
    };
    assert_eq!(census, with_room);
}

/// A cell that the report showed as free may be full when the task arrives.
#[test]
fn task_that_finds_no_room_returns_and_goes_elsewhere() {
    let mut home = home_without_room();
    let delegated = delegate(&mut home);
    finish(&mut home, &[]);
    let returned = ReturnedTask {
        task: delegated.task,
        run: delegated.run + 1,
        checkpoint: "".into(),
        from: OTHER,
        idle_ms: 0,
    };
    let now = home.time();
    home.owner.take_back_task(returned.clone(), now, home.now);
    let batch = home.batch().expect("the return is to be stored");
    assert_eq!(batch.absorbed, [(returned.task, returned.run)]);
    home.owner.confirm_batch(now, home.now);
    home.now += 400;
    home.step();
    assert!(
        plan(&mut home, HOME, OTHER).is_none(),
        "not to the cell that gave it back"
    );
    let batch = plan(&mut home, HOME, CellNumber::new(2)).expect("it goes to a third cell");
    assert_eq!(batch.transfers[0].transfers[0].run(), returned.run + 1);
}

/// It waited as long again as after its run, while the room that it came home for was taken.
#[test]
fn task_that_was_given_back_goes_on_at_once() {
    let mut home = home_without_room();
    let delegated = delegate(&mut home);
    finish(&mut home, &[]);
    let returned = ReturnedTask {
        task: delegated.task,
        run: delegated.run + 1,
        checkpoint: "".into(),
        from: OTHER,
        idle_ms: 900,
    };
    let now = home.time();
    home.owner.take_back_task(returned, now, home.now);
    home.batch().expect("the return is to be stored");
    home.owner.confirm_batch(now, home.now);
    let third = CellNumber::new(2);
    assert!(plan(&mut home, HOME, third).is_none(), "not tried at home");
    home.now += 20;
    home.step();
    assert!(plan(&mut home, HOME, third).is_some());
}

/// It kept to a full cell for long, while others took the new room.
#[test]
fn guest_without_a_worker_goes_home_for_newer_room() {
    let mut host = host();
    host.owner.replace_workers(Vec::new(), host.time());
    let mut home = home_without_room();
    let delegated = delegate(&mut home);
    receive(&mut host, &delegated);
    host.step();
    host.now += 30;
    host.step();
    assert!(plan(&mut host, OTHER, HOME).is_none(), "reported earlier");
    host.now += 400;
    host.step();
    assert!(plan(&mut host, OTHER, HOME).is_some());
}

/// The cell that took the task would give it back as often as it came.
#[test]
fn task_stays_while_no_other_cell_has_room() {
    let mut host = host();
    host.owner.replace_workers(Vec::new(), host.time());
    let mut home = home_without_room();
    let delegated = delegate(&mut home);
    receive(&mut host, &delegated);
    host.step();
    host.now += 5_000;
    host.step();
    assert!(plan(&mut host, OTHER, OTHER).is_none());
}

#[test]
fn only_tasks_that_need_no_other_task_leave() {
    let mut gang = long_running_job();
    gang.steps[0].is_gang = true;
    let mut short = long_running_job();
    short.steps[0].is_long_running = false;
    for spec in [gang, short] {
        let workers = vec![worker("w-1", 1_000)];
        let mut fixture = OwnerFixture::with_workers(workers);
        fixture.owner.set_cells(2);
        fixture.accept(JOB, spec);
        fixture.step();
        fixture.now += 3_000;
        fixture.step();
        assert!(plan(&mut fixture, HOME, OTHER).is_none());
    }
}

/// A job is counted where its callers ask for it.
#[test]
fn delegated_task_does_not_count_as_a_waiting_job() {
    let mut host = host();
    host.owner.replace_workers(Vec::new(), host.time());
    let mut home = home_without_room();
    let delegated = delegate(&mut home);
    receive(&mut host, &delegated);
    host.cancel(JOB);
    let batch = host.batch().expect("the end is to be stored");
    assert!(batch.counts.is_empty());
    assert!(
        batch.progress.is_empty(),
        "its home says how the job stands"
    );
    assert_eq!(batch.guests[0].1.standing, JobStanding::Cancelled);
}

/// Its row would be listed by every later owner.
#[test]
fn cancellation_that_came_after_the_last_task_had_left_is_deleted() {
    let mut host = host();
    host.owner.forget_ended_elsewhere(identity());
    let now = host.time();
    let batch = host.owner.take_batch(false, now).expect("a row is deleted");
    assert_eq!(batch.forgotten_guests.len(), 1);
    assert_eq!(batch.forgotten_guests[0].job, identity());
    assert!(batch.forgotten.is_empty(), "its home keeps its rows");
}

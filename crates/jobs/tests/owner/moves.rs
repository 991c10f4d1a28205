//! Moves of waiting jobs to other cells.

use sapphirestile_core::CellNumber;
use sapphirestile_jobs::CellChoice;
use sapphirestile_jobs::CellLayout;
use sapphirestile_jobs::CellLoad;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::StartOutcome;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::job_spec;
use crate::test_values::step;
use crate::test_values::worker;

const RUNNING: &str = "aaaaaaaaaaaaaaaa";
const WAITING: &str = "bbbbbbbbbbbbbbbb";
const OWN: CellNumber = CellNumber::new(0);
const OTHER: CellNumber = CellNumber::new(1);

fn identity(job: &str) -> JobIdentity {
    JobIdentity::try_from(job).unwrap()
}

/// A cell that is full with two of the first job's three tasks, and in which a second job
/// waits.
fn full_cell() -> OwnerFixture {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_000)]);
    fixture.accept(RUNNING, job_spec(vec![step(3, 1_000)]));
    fixture.step();
    assert_eq!(fixture.store().len(), 2);
    for index in 0..2 {
        let task = format!("{RUNNING}.0.0.{index}");
        fixture.started("w-1", &task, 1, StartOutcome::Accepted);
    }
    fixture.accept(WAITING, job_spec(vec![step(1, 1_000)]));
    fixture
}

/// Lets the owner plan moves, with another cell that is idle.
fn plan_moves(fixture: &mut OwnerFixture) {
    let idle = OwnerFixture::with_workers(vec![worker("w-9", 90_000)]);
    let idle_load = idle.owner.cell_load(idle.time());
    let own_load = fixture.owner.cell_load(fixture.time());
    let loads: [(CellNumber, &CellLoad); 2] = [(OWN, &own_load), (OTHER, &idle_load)];
    let choice = CellChoice {
        layout: &CellLayout::default(),
        loads: &loads,
    };
    let now = fixture.time();
    fixture.owner.plan_moves(OWN, &choice, now, fixture.now);
}

#[test]
fn only_a_job_without_a_run_moves_and_only_after_it_has_waited() {
    let mut fixture = full_cell();
    plan_moves(&mut fixture);
    assert!(fixture.batch().is_none_or(|batch| batch.moves.is_empty()));
    let mut fixture = full_cell();
    fixture.now += 400;
    fixture.answer("w-1", &[], &[]);
    plan_moves(&mut fixture);
    let batch = fixture.batch().expect("a move is to be stored");
    let moves: Vec<(JobIdentity, CellNumber)> = batch
        .moves
        .iter()
        .map(|job_move| (job_move.job, job_move.target))
        .collect();
    assert_eq!(moves, [(identity(WAITING), OTHER)]);
}

#[test]
fn old_job_that_has_just_come_does_not_move_on_at_once() {
    let mut fixture = full_cell();
    fixture.now += 60_000;
    fixture.answer("w-1", &[], &[]);
    let come = "eeeeeeeeeeeeeeee";
    let accepted_unix_ms = fixture.now - 30_000;
    let spec = JobSpec {
        accepted_unix_ms,
        ..job_spec(vec![step(1, 1_000)])
    };
    fixture.accept(come, spec);
    let moves = |fixture: &mut OwnerFixture| {
        plan_moves(fixture);
        let batch = fixture.batch().expect("moves are to be stored");
        let moves = batch.moves.iter().map(|job_move| job_move.job);
        moves.collect::<Vec<JobIdentity>>()
    };
    assert_eq!(moves(&mut fixture), [identity(WAITING)]);
    let now = fixture.time();
    fixture.owner.confirm_batch(now, fixture.now);
    fixture.owner.finish_moves(&[], fixture.now);
    fixture.now += 400;
    fixture.answer("w-1", &[], &[]);
    assert_eq!(moves(&mut fixture), [identity(come)]);
}

/// A job that both owners held would run in both cells.
#[test]
fn nothing_of_a_moving_job_starts_and_it_is_gone_afterwards() {
    let mut fixture = full_cell();
    fixture.now += 400;
    plan_moves(&mut fixture);
    assert!(!fixture.owner.is_departing(&identity(WAITING)));
    fixture.batch().expect("a move is to be stored");
    assert!(fixture.owner.is_departing(&identity(WAITING)));
    fixture.owner.replace_workers(
        vec![worker("w-1", 2_000), worker("w-2", 4_000)],
        fixture.time(),
    );
    fixture.step();
    fixture.answer("w-2", &[], &[]);
    fixture.step();
    let now = fixture.time();
    fixture.owner.confirm_batch(now, fixture.now);
    fixture.owner.finish_moves(&[], fixture.now);
    fixture.step();
    let starts = fixture.store();
    assert_eq!(starts, [format!("start {RUNNING}.0.0.2#1 at w-2")]);
    assert!(!fixture.owner.is_departing(&identity(WAITING)));
    assert_eq!(fixture.owner.counts().0, 1);
}

/// The caller cancelled the job while it was to move. It stays, and its owner ends it.
#[test]
fn a_refused_move_leaves_the_job() {
    let mut fixture = full_cell();
    fixture.now += 400;
    plan_moves(&mut fixture);
    fixture.batch().expect("a move is to be stored");
    let now = fixture.time();
    fixture.owner.confirm_batch(now, fixture.now);
    fixture
        .owner
        .finish_moves(&[identity(WAITING)], fixture.now);
    fixture.cancel(WAITING);
    let batch = fixture.batch().expect("the end is to be stored");
    let ended = batch
        .progress
        .iter()
        .find(|(job, _)| *job == identity(WAITING));
    assert!(ended.expect("the job is still here").1.standing.is_final());
}

/// A job with two tasks that go on until it is cancelled, which need a worker of
/// [`cell_for_long_running_jobs`].
fn long_running_job() -> JobSpec {
    let mut step = step(2, 1_000);
    step.is_long_running = true;
    let mut spec = job_spec(vec![step]);
    spec.accepted_unix_ms = 1_000;
    spec
}

/// A cell with room for four jobs of [`long_running_job`], beside `cells - 1` others, to which
/// all four are handed in.
fn cell_for_long_running_jobs(cells: u16) -> OwnerFixture {
    let workers = ["w-1", "w-2", "w-3", "w-4"].map(|name| worker(name, 2_000));
    let mut fixture = OwnerFixture::with_workers(workers.to_vec());
    fixture.owner.set_cells(cells);
    for digit in ["a", "b", "c", "d"] {
        fixture.accept(&digit.repeat(16), long_running_job());
    }
    fixture.step();
    fixture
}

/// A worker leaves while its cell is full of long-running tasks, and other cells have room.
/// Jobs do not move once they have begun, so the tasks of that worker would never start again.
#[test]
fn long_running_jobs_leave_room_in_a_cell_while_others_can_take_them() {
    let mut fixture = cell_for_long_running_jobs(2);
    assert_eq!(fixture.store().len(), 6, "the fourth job does not begin");
    fixture.now += 400;
    plan_moves(&mut fixture);
    let batch = fixture.batch().expect("a move is to be stored");
    let moves: Vec<&JobIdentity> = batch.moves.iter().map(|job_move| &job_move.job).collect();
    assert_eq!(moves, [&identity(&"d".repeat(16))]);
}

/// Many short jobs wait in a full cell as well. A long-running job that waits for another cell
/// begins here after a while, and can never leave then.
#[test]
fn long_running_job_that_waits_for_another_cell_moves_before_others() {
    let mut fixture = cell_for_long_running_jobs(2);
    for digit in 1..=9 {
        let job = format!("{digit}").repeat(16);
        fixture.accept(&job, job_spec(vec![step(20, 2_000)]));
    }
    fixture.step();
    fixture.store();
    fixture.now += 400;
    plan_moves(&mut fixture);
    let batch = fixture.batch().expect("moves are to be stored");
    assert_eq!(batch.moves[0].job, identity(&"d".repeat(16)));
}

#[test]
fn long_running_job_that_no_other_cell_takes_begins_after_a_while() {
    let mut fixture = cell_for_long_running_jobs(2);
    assert_eq!(fixture.store().len(), 6);
    for _ in 0..19 {
        fixture.wait(100);
        assert!(fixture.batch().is_none(), "begun after {} ms", fixture.now);
        for name in ["w-1", "w-2", "w-3", "w-4"] {
            fixture.answer(name, &[], &[]);
        }
    }
    fixture.wait(200);
    assert_eq!(fixture.store().len(), 2);
}

#[test]
fn long_running_jobs_fill_the_only_cell() {
    let mut fixture = cell_for_long_running_jobs(1);
    assert_eq!(fixture.store().len(), 8);
}

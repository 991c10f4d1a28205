//! Simulation of several cells that transfer tasks to each other, in virtual time.
//!
//! A [`CellSimulation`] runs a real owner for each cell against [`CellRows`] in a
//! [`SharedStore`], and [`FakeWorker`](fake_worker::FakeWorker)s. One cell gets most jobs and
//! loses most of its workers for good. Owners die at any point of a batch and are replaced,
//! answers are lost, requests are late, listings are out of date, and callers cancel jobs.
//! After each commit every task must be in one cell exactly; no task may ever run twice. With
//! tasks of several sizes beside short ones, a task that has run must begin again within a
//! bound while a worker of any cell has room for it, and one of a job that came later must begin
//! within that bound while two workers have.

mod cell_rows;
mod cell_simulation;
#[path = "../fault_simulation/fake_end.rs"]
#[expect(dead_code, reason = "the simulation of one cell uses more of it")]
mod fake_end;
#[path = "../fault_simulation/fake_worker.rs"]
#[expect(dead_code, reason = "the simulation of one cell uses more of it")]
mod fake_worker;
mod shared_store;
mod simulated_cell;
mod simulation_event;
mod store_commit;
mod task_mixture;

use std::ops::Range;

use crate::cell_simulation::CellSimulation;
use crate::task_mixture::TaskMixture;
use test_case::test_case;

/// Number of seeds for each case.
const SEEDS: u64 = 8;

/// Longest time for which a task may search while a worker has room for it, in milliseconds.
const SEARCH_MAX_MS: u64 = 2_500;

#[test_case(0; "workers that leave")]
#[test_case(1; "owners that die at any point of a batch")]
#[test_case(2; "late requests and lost answers")]
#[test_case(3; "outdated listings and cancelled jobs")]
#[test_case(4; "all faults")]
fn every_task_is_in_one_cell_and_runs_once(faults: u32) {
    for seed in 0..SEEDS {
        let mut simulation = CellSimulation::new(seed, faults);
        simulation.run();
        simulation.check_end();
    }
}

#[test_case(TaskMixture::SIZES; "several sizes in cells with little room")]
#[test_case(TaskMixture::SHORT_JOBS; "short jobs that take what is free")]
#[test_case(TaskMixture::LIMITS; "labels and limits per worker")]
#[test_case(TaskMixture::ALL; "owners that die in a row")]
#[test_case(TaskMixture::LATE_JOBS; "new jobs beside larger tasks without room")]
fn task_that_has_run_begins_again_while_a_worker_has_room(mixture: TaskMixture) {
    for seed in seeds() {
        CellSimulation::with_mixture(seed, mixture).run();
    }
}

#[test]
fn tasks_that_wait_in_full_cells_find_new_room_of_a_few_cells() {
    for seed in seeds() {
        let mut simulation = CellSimulation::with_mixture(seed, TaskMixture::RETURNING_WORKERS);
        simulation.run();
        simulation.check_longest_search(SEARCH_MAX_MS);
    }
}

/// A guest went home, as a third cell had room; the worker there was held for it no more before
/// its home had reported it.
#[test]
fn worker_stays_held_while_a_task_goes_home() {
    CellSimulation::with_mixture(42, TaskMixture::ALL).run();
}

/// Seeds of a case; `RESTART_SEEDS=first..end` sets others.
fn seeds() -> Range<u64> {
    let given = std::env::var("RESTART_SEEDS");
    let Ok(text) = given else {
        return 0..SEEDS;
    };
    let (first, end) = text.split_once("..").expect("RESTART_SEEDS is first..end");
    let number = |text: &str| text.parse::<u64>().expect("a seed is a number");
    number(first)..number(end)
}

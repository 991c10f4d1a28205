//! Randomised simulation of the real owners of several cells that share one quota.
//!
//! After each event all journals are checked together: the tasks that they assign stay
//! within the quota, and neither side of a pair of cells has recorded more than the
//! other side has committed.

mod event_queue;
mod fake_task;
mod fake_worker;
mod pending_answer;
mod share_event;
mod simulated_cell;
mod simulated_cells;

use sapphirestile_core::CellNumber;
use sapphirestile_core::ResourceSize;
use test_case::test_case;

use crate::simulated_cells::CELLS;
use crate::simulated_cells::QUOTA;
use crate::simulated_cells::SimulatedCells;

const ROUNDS: u32 = 12;
const ROUND_MS: u64 = 8_000;
const RECOVERY_MS: u64 = 200_000;
const IDLE_MS: u64 = 130_000;

/// Submits jobs to random cells while messages and owners fail. After the faults end, all
/// tasks must end, every share must return to its lender, and nothing more may be written.
#[test_case(1..7)]
#[test_case(7..13)]
#[test_case(13..19)]
#[test_case(19..25)]
fn shares_are_returned_after_faults(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        run_simulation(seed);
    }
}

/// Runs more seeds: `SHARE_SEEDS=1000..1200 cargo test -p sapphirestile-cells`.
#[test]
fn seeds_from_the_environment_pass() {
    let range = std::env::var("SHARE_SEEDS").unwrap_or_default();
    let Some((first, end)) = range.split_once("..") else {
        return;
    };
    let first: u64 = first
        .parse()
        .expect("SHARE_SEEDS is FIRST..END and FIRST is a number");
    let end: u64 = end
        .parse()
        .expect("SHARE_SEEDS is FIRST..END and END is a number");
    let (mut kills, mut repeats) = (0, 0);
    for seed in first..end {
        let cells = run_simulation(seed);
        kills += cells.kills;
        repeats += cells.repeats;
    }
    println!("seeds {first} to {end}: {kills} kills, {repeats} messages repeated");
}

fn run_simulation(seed: u64) -> SimulatedCells {
    println!("seed {seed}");
    let mut cells = SimulatedCells::new(seed);
    for round in 0..ROUNDS {
        let cell = cells.random_cell();
        cells.submit(cell, &format!("job-{round}"), 10);
        cells.run(ROUND_MS);
    }
    assert!(
        cells.kills > 5 && cells.repeats > 5,
        "seed {seed}: too few faults: {} kills, {} repeats",
        cells.kills,
        cells.repeats
    );
    cells.injects_faults = false;
    cells.run(RECOVERY_MS);
    assert_eq!(cells.open_tasks(), 0, "seed {seed}: tasks never ended");
    let held = cells.lent_out();
    assert_eq!(
        held,
        ResourceSize::default(),
        "seed {seed}: shares were not returned"
    );
    let entries = cells.entries();
    cells.run(IDLE_MS);
    assert_eq!(
        cells.entries(),
        entries,
        "seed {seed}: entries were written while idle"
    );
    cells
}

/// A job in a single cell, whichever it is, gets to use the whole quota.
#[test]
fn one_job_gets_the_whole_quota() {
    for cell in 0..CELLS {
        let mut cells = SimulatedCells::new(100 + u64::from(cell));
        cells.injects_faults = false;
        cells.submit(CellNumber::new(cell), "large", 60);
        cells.run(60_000);
        let peak = cells.peaks[usize::from(cell)];
        assert_eq!(peak.accelerators, QUOTA.accelerators, "cell {cell}");
        assert_eq!(cells.open_tasks(), 0);
    }
}

/// A cell whose tasks arrive when another cell uses the whole quota gets its part while
/// the other cell still has waiting tasks.
#[test]
fn a_late_cell_gets_its_part_of_a_quota_in_use() {
    for seed in 200..206 {
        let mut cells = SimulatedCells::new(seed);
        cells.injects_faults = false;
        let first = cells.random_cell();
        let second = CellNumber::new((first.get() + 1) % CELLS);
        cells.submit(first, "large", 400);
        cells.run(10_000);
        cells.submit(second, "late", 40);
        cells.run(25_000);
        let peak = cells.peaks[usize::from(second.get())];
        let part = QUOTA.accelerators / u32::from(CELLS);
        assert!(peak.accelerators >= part, "seed {seed}: {peak:?}");
        assert!(
            cells.cell_mut(first).open_tasks() > 0,
            "seed {seed}: the first job ended before the second got its part"
        );
    }
}

/// Halves a quota while every cell uses its part. Once the running tasks have ended, all
/// cells together must stay within the half and continue to run tasks.
#[test]
fn a_quota_reduced_while_in_use_is_respected() {
    for seed in 300..306 {
        let mut cells = SimulatedCells::new(seed);
        cells.injects_faults = false;
        for cell in 0..CELLS {
            cells.submit(CellNumber::new(cell), &format!("job-{cell}"), 100);
        }
        cells.run(20_000);
        cells.quota = QUOTA.divided_by(2);
        cells.run(30_000);
        cells.bound = cells.quota;
        let open = cells.open_tasks();
        cells.run(30_000);
        assert!(
            cells.open_tasks() < open,
            "seed {seed}: no task ended under the reduced quota"
        );
        cells.quota = QUOTA;
        cells.bound = QUOTA;
        cells.run(RECOVERY_MS);
        assert_eq!(cells.open_tasks(), 0, "seed {seed}: tasks never ended");
    }
}

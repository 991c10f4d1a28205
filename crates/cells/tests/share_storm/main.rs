//! Random runs of the real owners of several cells that share one quota.
//!
//! After each event the journals are checked together: what they assign keeps to
//! the quota, and no side of a pair has counted what the other has not committed.

mod event_queue;
mod fake_task;
mod fake_worker;
mod share_event;
mod share_seat;
mod share_world;
mod waiting_answer;

use sapphirestile_core::CellNumber;
use sapphirestile_core::ResourceSize;
use test_case::test_case;

use crate::share_world::CELLS;
use crate::share_world::QUOTA;
use crate::share_world::ShareWorld;

const ROUNDS: u32 = 12;
const ROUND_MS: u64 = 8_000;
const HEAL_MS: u64 = 200_000;
const REST_MS: u64 = 130_000;

/// Jobs come to cells at random while messages and owners fail. Then nothing
/// fails any more: all tasks end, every share returns to its lender, and nothing
/// more is written.
#[test_case(1..7)]
#[test_case(7..13)]
#[test_case(13..19)]
#[test_case(19..25)]
fn shares_outlive_every_fault(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        run_storm(seed);
    }
}

/// A longer run: `SHARE_SEEDS=1000..1200 cargo test -p sapphirestile-cells`.
#[test]
fn seeds_of_the_environment_hold() {
    let range = std::env::var("SHARE_SEEDS").unwrap_or_default();
    let Some((first, end)) = range.split_once("..") else {
        return;
    };
    let first: u64 = first.parse().expect("the first seed is a number");
    let end: u64 = end.parse().expect("the end of the seeds is a number");
    let (mut kills, mut repeats) = (0, 0);
    for seed in first..end {
        let world = run_storm(seed);
        kills += world.kills;
        repeats += world.repeats;
    }
    println!("seeds {first} to {end}: {kills} kills, {repeats} messages repeated");
}

fn run_storm(seed: u64) -> ShareWorld {
    println!("seed {seed}");
    let mut world = ShareWorld::new(seed);
    for round in 0..ROUNDS {
        let cell = world.draw_cell();
        world.submit(cell, &format!("job-{round}"), 10);
        world.run(ROUND_MS);
    }
    assert!(world.kills > 5 && world.repeats > 5, "seed {seed} is calm");
    world.faulty = false;
    world.run(HEAL_MS);
    assert_eq!(world.open_tasks(), 0, "seed {seed}: tasks wait for good");
    let held = world.lent_out();
    assert_eq!(
        held,
        ResourceSize::default(),
        "seed {seed}: shares are lost"
    );
    let entries = world.entries();
    world.run(REST_MS);
    assert_eq!(world.entries(), entries, "seed {seed}: written at rest");
    world
}

/// One job in one cell, whichever it is, comes to use the whole quota.
#[test]
fn one_job_gets_the_whole_quota() {
    for cell in 0..CELLS {
        let mut world = ShareWorld::new(100 + u64::from(cell));
        world.faulty = false;
        world.submit(CellNumber::new(cell), "large", 60);
        world.run(60_000);
        let peak = world.peaks[usize::from(cell)];
        assert_eq!(peak.accelerators, QUOTA.accelerators, "cell {cell}");
        assert_eq!(world.open_tasks(), 0);
    }
}

/// A cell whose tasks came after another had the whole quota gets its turn while
/// the other still has tasks waiting.
#[test]
fn a_late_cell_gets_its_part_of_a_quota_in_use() {
    for seed in 200..206 {
        let mut world = ShareWorld::new(seed);
        world.faulty = false;
        let first = world.draw_cell();
        let second = CellNumber::new((first.get() + 1) % CELLS);
        world.submit(first, "large", 400);
        world.run(10_000);
        world.submit(second, "late", 40);
        world.run(25_000);
        let peak = world.peaks[usize::from(second.get())];
        let part = QUOTA.accelerators / u32::from(CELLS);
        assert!(peak.accelerators >= part, "seed {seed}: {peak:?}");
        assert!(world.seat(first).open_tasks() > 0, "seed {seed}: too late");
    }
}

/// A quota is cut to half while every cell uses its part of it: once what ran has
/// ended, all cells together keep to the half, and go on within it.
#[test]
fn a_quota_cut_in_use_is_kept_to() {
    for seed in 300..306 {
        let mut world = ShareWorld::new(seed);
        world.faulty = false;
        for cell in 0..CELLS {
            world.submit(CellNumber::new(cell), &format!("job-{cell}"), 100);
        }
        world.run(20_000);
        world.quota = QUOTA.divided_by(2);
        world.run(30_000);
        world.bound = world.quota;
        let open = world.open_tasks();
        world.run(30_000);
        assert!(world.open_tasks() < open, "seed {seed}: nothing goes on");
        world.quota = QUOTA;
        world.bound = QUOTA;
        world.run(HEAL_MS);
        assert_eq!(world.open_tasks(), 0, "seed {seed}: tasks wait for good");
    }
}

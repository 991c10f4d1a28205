//! Choice of a cell for a job.

use sapphirestile_core::CellNumber;
use sapphirestile_jobs::CellChoice;
use sapphirestile_jobs::CellLayout;
use sapphirestile_jobs::CellLoad;
use sapphirestile_jobs::JobSpec;

use crate::test_values::SERVICE;
use crate::test_values::job_spec;
use crate::test_values::load;

const OWN: CellNumber = CellNumber::new(0);

fn choose(loads: &[CellLoad], spec: &JobSpec, draws: [u32; 2]) -> u16 {
    let loads: Vec<(CellNumber, &CellLoad)> = (0..).map(CellNumber::new).zip(loads).collect();
    let choice = CellChoice {
        layout: &CellLayout::default(),
        loads: &loads,
    };
    choice.for_new_job(spec, SERVICE, draws).get()
}

fn target(loads: &[CellLoad], spec: &JobSpec) -> Option<u16> {
    let loads: Vec<(CellNumber, &CellLoad)> = (0..).map(CellNumber::new).zip(loads).collect();
    let choice = CellChoice {
        layout: &CellLayout::default(),
        loads: &loads,
    };
    let cell = choice.for_waiting_job(spec, SERVICE, OWN, loads[0].1);
    cell.map(CellNumber::get)
}

/// Of 1,000 jobs, one of ten tasks each, none may be sent to the cell that has no room.
#[test]
fn a_new_job_avoids_a_full_cell() {
    let loads = [load(100, 0), load(0, 50), load(100, 0), load(100, 0)];
    for draw in 0..1_000 {
        let cell = choose(&loads, &job_spec(10), [draw, draw / 7]);
        assert_ne!(cell, 1, "draw {draw}");
    }
}

/// Loads are up to a second old. If every daemon sent its jobs to the best cell, that cell
/// would get all jobs of this second.
#[test]
fn new_jobs_are_spread_over_cells_of_similar_load() {
    let loads = [load(100, 0), load(99, 0), load(98, 0), load(97, 0)];
    let mut counts = [0; 4];
    for draw in 0..1_200 {
        counts[usize::from(choose(&loads, &job_spec(1), [draw, draw / 4]))] += 1;
    }
    assert!(counts.iter().all(|&count| count < 700), "{counts:?}");
    assert!(counts[..3].iter().all(|&count| count > 100), "{counts:?}");
}

#[test]
fn a_job_goes_only_where_every_step_fits() {
    let mut small = load(100, 0);
    small.rooms[0].largest.cpu_milli = 500;
    let mut other_service = load(100, 0);
    other_service.rooms[0].service = "other".into();
    let loads = [small, other_service, load(1, 90)];
    for draw in 0..12 {
        assert_eq!(choose(&loads, &job_spec(10), [draw, draw]), 2);
    }
    let mut labelled = job_spec(1);
    labelled.steps[0].required_label = Some("b".into());
    assert!(choose(&loads, &labelled, [1, 1]) < 3, "none fits");
}

/// Tasks that must not share a worker need as many workers. A smaller cell would never run
/// the last of them.
#[test]
fn a_job_whose_tasks_run_apart_goes_to_a_cell_with_enough_workers() {
    let mut large = load(1, 90);
    large.rooms[0].workers = 12;
    let loads = [load(100, 0), large, load(100, 0)];
    let mut apart = job_spec(12);
    apart.steps[0].per_worker_max = Some(1);
    for draw in 0..12 {
        assert_eq!(choose(&loads, &apart, [draw, draw]), 1);
    }
    apart.steps[0].tasks = 13;
    assert_eq!(
        choose(&loads, &apart, [0, 0]),
        1,
        "none fits, and it is the largest"
    );
}

#[test]
fn a_waiting_job_moves_to_a_cell_with_room_for_it() {
    let spec = job_spec(10);
    assert_eq!(
        target(&[load(0, 40), load(30, 0), load(90, 0)], &spec),
        Some(2)
    );
    assert_eq!(
        target(&[load(0, 40), load(5, 0), load(9, 0)], &spec),
        None,
        "it would wait there"
    );
    assert_eq!(
        target(&[load(20, 0), load(90, 0)], &spec),
        None,
        "its own cell has room"
    );
    assert_eq!(
        target(&[load(0, 40)], &spec),
        None,
        "there is no other cell"
    );
}

//! Tests of the choice of a worker.

use test_case::test_case;

use crate::placement_fixture::PlacementFixture;
use crate::placement_fixture::size;
use sapphirestile_core::ResourceSize;
use sapphirestile_placement::PlacementPolicy;
use sapphirestile_placement::PlacementRefusal;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::SizeDimension;
use sapphirestile_placement::choose_worker;

#[test]
fn tasks_of_a_job_are_spread_over_zones_and_racks() {
    let mut fixture = PlacementFixture::new(&["a/a-1/w1", "a/a-1/w2", "a/a-2/w3", "b/b-1/w4"]);
    let workers = (0..4)
        .map(|_| fixture.place(size(1_000, 1_000, 0)).unwrap())
        .collect::<Vec<_>>();
    assert_eq!(workers, ["w1", "w4", "w3", "w2"]);
}

#[test_case(size(4_000, 8_000, 0), None; "whole worker")]
#[test_case(size(4_001, 8_000, 0), Some(SizeDimension::Cpu); "CPU time")]
#[test_case(size(4_000, 8_001, 0), Some(SizeDimension::Memory); "memory")]
#[test_case(size(1, 1, 1), Some(SizeDimension::Accelerators); "accelerators")]
fn task_larger_than_every_worker_never_fits(
    requested: ResourceSize,
    exceeded: Option<SizeDimension>,
) {
    let mut fixture = PlacementFixture::new(&["a/a-1/w1", "b/b-1/w2"]);
    fixture.workers[0].zone_out = true;
    let result = fixture.place(requested);
    let expected = match exceeded {
        None => Ok("w2".to_owned()),
        Some(_) => Err(PlacementRefusal::NeverFits {
            size: requested,
            largest: size(4_000, 8_000, 0),
        }),
    };
    assert_eq!(result, expected);
    assert_eq!(
        SizeDimension::short_of(&requested, &size(4_000, 8_000, 0)),
        exceeded
    );
}

#[test]
fn refusal_because_a_zone_is_out_is_not_final() {
    let mut fixture = PlacementFixture::new(&["a/a-1/w1"]);
    fixture.workers[0].zone_out = true;
    let refusal = fixture.place(size(1_000, 1_000, 0)).unwrap_err();
    assert_eq!(refusal, PlacementRefusal::NoWorker);
    assert!(!refusal.is_final());
}

#[test]
fn memory_is_never_overcommitted_and_cpu_only_up_to_its_bound() {
    let mut fixture = PlacementFixture::new(&["a/a-1/w1"]);
    fixture.policy = PlacementPolicy {
        cpu_bound_permille: 1_500,
        ..PlacementPolicy::default()
    };
    fixture.place(size(4_000, 4_000, 0)).unwrap();
    let memory = fixture.place(size(1_000, 4_001, 0)).unwrap_err();
    assert_eq!(
        memory.to_string(),
        "no capacity now: 1 workers are large enough, most lack memory"
    );
    fixture.place(size(2_000, 4_000, 0)).unwrap();
    let cpu = fixture.place(size(1, 0, 0)).unwrap_err();
    assert_eq!(
        cpu.to_string(),
        "no capacity now: 1 workers are large enough, most lack CPU time"
    );
}

#[test]
#[should_panic(expected = "allocation on worker w1 exceeds its free resources")]
fn allocating_more_than_the_free_resources_panics() {
    let mut fixture = PlacementFixture::new(&["a/a-1/w1"]);
    fixture.workers[0].allocate(&PlacementPolicy::default(), &size(4_000, 8_001, 0));
}

#[test_case(size(4_000, 1_000, 0), false; "waits for running tasks")]
#[test_case(size(4_000, 40_000, 0), true; "larger than the whole quota")]
fn refusal_for_quota_is_explained(requested: ResourceSize, larger_than_quota: bool) {
    let mut fixture = PlacementFixture::new(&["a/a-1/w1"]);
    fixture.customer.quota = size(4_000, 8_000, 0);
    fixture.customer.allocated = size(1_000, 1_000, 0);
    let refusal = fixture.place(requested).unwrap_err();
    assert_eq!(refusal.is_final(), larger_than_quota);
    let prefix = "quota reached: the ";
    assert!(refusal.to_string().starts_with(prefix), "{refusal}");
}

#[test]
fn overloaded_worker_gets_only_urgent_tasks_until_its_report_is_old() {
    let mut fixture = PlacementFixture::new(&["a/a-1/w1", "a/a-2/w2"]);
    fixture.set_measured_cpu(0, 3_900, 1_000);
    assert_eq!(fixture.place(size(100, 100, 0)).unwrap(), "w2");
    let mut urgent = PlacementRequest::new(size(10, 10, 0), &fixture.customer, &fixture.placed);
    urgent.urgent = true;
    let choice = choose_worker(&fixture.workers[..1], &urgent, &fixture.policy);
    assert_eq!(choice.unwrap().index, 0);
    fixture.set_measured_cpu(0, 3_900, 500_000);
    assert_eq!(fixture.place(size(100, 100, 0)).unwrap(), "w1");
}

#[test]
fn interfering_task_avoids_workers_with_interference() {
    let mut fixture = PlacementFixture::new(&["a/a-1/w1", "a/a-1/w2"]);
    fixture.policy.interference_bound_permille = 2_000;
    fixture.workers[0].interference_permille = 800;
    let placed = sapphirestile_placement::PlacedTasks::default();
    let mut request = PlacementRequest::new(size(100, 100, 0), &fixture.customer, &placed);
    let without = choose_worker(&fixture.workers, &request, &fixture.policy).unwrap();
    request.interference_permille = 500;
    let with = choose_worker(&fixture.workers, &request, &fixture.policy).unwrap();
    assert_eq!((without.index, with.index), (0, 1));
    assert_eq!(
        with.reason.to_string(),
        "lowest cost of 2 eligible workers out of 2: 25 permille allocated, 0 tasks of the job \
         in its rack and 0 in its zone, interference 0 permille"
    );
}

#[test]
fn workers_with_accelerators_are_left_to_tasks_that_need_them() {
    let mut fixture = PlacementFixture::new(&["a/a-1/w1", "a/a-1/w2"]);
    fixture.workers[0].size.accelerators = 2;
    assert_eq!(fixture.place(size(100, 100, 0)).unwrap(), "w2");
    assert_eq!(fixture.place(size(100, 100, 2)).unwrap(), "w1");
}

#[test]
fn total_interference_is_bounded_except_for_urgent_tasks() {
    let mut fixture = PlacementFixture::new(&["a/a-1/w1"]);
    fixture.policy.interference_bound_permille = 300;
    let placed = sapphirestile_placement::PlacedTasks::default();
    let mut request = PlacementRequest::new(size(100, 100, 0), &fixture.customer, &placed);
    request.interference_permille = 200;
    let mut takes = |interference_permille, urgent| {
        fixture.workers[0].interference_permille = interference_permille;
        request.urgent = urgent;
        choose_worker(&fixture.workers, &request, &fixture.policy).is_ok()
    };
    assert!(takes(100, false));
    assert!(!takes(101, false));
    assert!(takes(101, true));
}

//! Scenes of the choice of a worker.

use test_case::test_case;

use crate::scene::Scene;
use crate::scene::size;
use sapphirestile_core::ResourceSize;
use sapphirestile_placement::PlacementRefusal;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::RoomPolicy;
use sapphirestile_placement::SizeDimension;
use sapphirestile_placement::choose_worker;

#[test]
fn tasks_of_a_job_spread_over_zones_and_racks() {
    let mut scene = Scene::new(&["a/a-1/w1", "a/a-1/w2", "a/a-2/w3", "b/b-1/w4"]);
    let places = (0..4)
        .map(|_| scene.place(size(1_000, 1_000, 0)).unwrap())
        .collect::<Vec<_>>();
    assert_eq!(places, ["w1", "w4", "w3", "w2"]);
}

#[test_case(size(4_000, 8_000, 0), None; "whole worker")]
#[test_case(size(4_001, 8_000, 0), Some(SizeDimension::Cpu); "processor time")]
#[test_case(size(4_000, 8_001, 0), Some(SizeDimension::Memory); "memory")]
#[test_case(size(1, 1, 1), Some(SizeDimension::Accelerators); "accelerators")]
fn larger_than_every_worker_is_answered_at_once(asked: ResourceSize, over: Option<SizeDimension>) {
    let mut scene = Scene::new(&["a/a-1/w1", "b/b-1/w2"]);
    scene.rooms[0].zone_out = true;
    let answer = scene.place(asked);
    let expected = match over {
        None => Ok("w2".to_owned()),
        Some(_) => Err(PlacementRefusal::NeverFits {
            size: asked,
            largest: size(4_000, 8_000, 0),
        }),
    };
    assert_eq!(answer, expected);
    assert_eq!(
        SizeDimension::short_of(&asked, &size(4_000, 8_000, 0)),
        over
    );
}

#[test]
fn a_zone_that_is_out_is_no_reason_to_say_never() {
    let mut scene = Scene::new(&["a/a-1/w1"]);
    scene.rooms[0].zone_out = true;
    let answer = scene.place(size(1_000, 1_000, 0)).unwrap_err();
    assert_eq!(answer, PlacementRefusal::NoZone);
    assert!(!answer.is_final());
}

#[test]
fn memory_is_never_overcommitted_and_processor_time_within_its_bound() {
    let mut scene = Scene::new(&["a/a-1/w1"]);
    scene.policy = RoomPolicy {
        cpu_bound_permille: 1_500,
        ..RoomPolicy::default()
    };
    scene.place(size(4_000, 4_000, 0)).unwrap();
    let memory = scene.place(size(1_000, 4_001, 0)).unwrap_err();
    assert_eq!(
        memory.to_string(),
        "no room now: 1 workers are large enough, most are short of memory"
    );
    scene.place(size(2_000, 4_000, 0)).unwrap();
    let cpu = scene.place(size(1, 0, 0)).unwrap_err();
    assert_eq!(
        cpu.to_string(),
        "no room now: 1 workers are large enough, most are short of processor time"
    );
}

#[test]
#[should_panic(expected = "worker w1 was given more work than it has room for")]
fn giving_more_than_the_room_panics() {
    let mut scene = Scene::new(&["a/a-1/w1"]);
    scene.rooms[0].give(&RoomPolicy::default(), &size(4_000, 8_001, 0));
}

#[test_case(size(4_000, 1_000, 0), false; "waits for running tasks")]
#[test_case(size(4_000, 40_000, 0), true; "larger than the whole quota")]
fn a_quota_is_explained(asked: ResourceSize, larger_than_quota: bool) {
    let mut scene = Scene::new(&["a/a-1/w1"]);
    scene.customer.quota = size(4_000, 8_000, 0);
    scene.customer.given = size(1_000, 1_000, 0);
    let answer = scene.place(asked).unwrap_err();
    assert_eq!(answer.is_final(), larger_than_quota);
    let start = "quota reached: the ";
    assert!(answer.to_string().starts_with(start), "{answer}");
}

#[test]
fn a_worker_seen_to_be_hot_gets_only_urgent_work_until_the_report_is_old() {
    let mut scene = Scene::new(&["a/a-1/w1", "a/a-2/w2"]);
    scene.measure(0, 3_900, 1_000);
    assert_eq!(scene.place(size(100, 100, 0)).unwrap(), "w2");
    let mut urgent = PlacementRequest::new(size(10, 10, 0), &scene.customer, &scene.placed);
    urgent.urgent = true;
    let choice = choose_worker(&scene.rooms[..1], &urgent, &scene.policy);
    assert_eq!(choice.unwrap().place, 0);
    scene.measure(0, 3_900, 500_000);
    assert_eq!(scene.place(size(100, 100, 0)).unwrap(), "w1");
}

#[test]
fn a_disturbing_task_goes_where_little_is_disturbed() {
    let mut scene = Scene::new(&["a/a-1/w1", "a/a-1/w2"]);
    scene.policy.noise_bound_permille = 2_000;
    scene.rooms[0].noise_permille = 800;
    let placed = sapphirestile_placement::PlacedTasks::default();
    let mut request = PlacementRequest::new(size(100, 100, 0), &scene.customer, &placed);
    let quiet = choose_worker(&scene.rooms, &request, &scene.policy).unwrap();
    request.noise_permille = 500;
    let loud = choose_worker(&scene.rooms, &request, &scene.policy).unwrap();
    assert_eq!((quiet.place, loud.place), (0, 1));
    assert_eq!(
        loud.reason.to_string(),
        "best of 2 workers with room among 2: 25 permille given away, 0 tasks of the job \
         in its rack and 0 in its zone, disturbance 0 permille"
    );
}

#[test]
fn workers_with_accelerators_are_kept_for_tasks_that_need_them() {
    let mut scene = Scene::new(&["a/a-1/w1", "a/a-1/w2"]);
    scene.rooms[0].size.accelerators = 2;
    assert_eq!(scene.place(size(100, 100, 0)).unwrap(), "w2");
    assert_eq!(scene.place(size(100, 100, 2)).unwrap(), "w1");
}

#[test]
fn disturbance_adds_up_to_a_bound_but_for_urgent_work() {
    let mut scene = Scene::new(&["a/a-1/w1"]);
    scene.policy.noise_bound_permille = 300;
    let placed = sapphirestile_placement::PlacedTasks::default();
    let mut request = PlacementRequest::new(size(100, 100, 0), &scene.customer, &placed);
    request.noise_permille = 200;
    let mut takes = |noise_permille, urgent| {
        scene.rooms[0].noise_permille = noise_permille;
        request.urgent = urgent;
        choose_worker(&scene.rooms, &request, &scene.policy).is_ok()
    };
    assert!(takes(100, false));
    assert!(!takes(101, false));
    assert!(takes(101, true));
}

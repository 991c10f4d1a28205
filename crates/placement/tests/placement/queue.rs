//! Scenes of the queue.

use crate::scene::Scene;
use crate::scene::customer;
use crate::scene::job_name;
use crate::scene::size;
use crate::scene::waiting;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_placement::CustomerRoom;
use sapphirestile_placement::PlacementRefusal;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::QueuePass;
use sapphirestile_placement::SizeDimension;
use sapphirestile_placement::TaskQueue;
use sapphirestile_placement::WaitingJob;
use sapphirestile_placement::choose_held_worker;
use sapphirestile_placement::choose_worker;

/// Places what it can and lists the jobs in the order of their starts.
fn start_all(queue: &TaskQueue, customers: &mut [CustomerRoom], scene: &mut Scene) -> Vec<String> {
    let whole = scene
        .rooms
        .iter()
        .fold(ResourceSize::default(), |sum, room| sum.plus(&room.size));
    let mut started = Vec::new();
    let mut pass = QueuePass::new(queue, whole, MonoTime::from_millis(0));
    while let Some(job) = pass.next_job(customers) {
        let place = customers.iter().position(|room| room.name == job.customer);
        let customer = &mut customers[place.unwrap()];
        let mut request = PlacementRequest::new(job.declared, customer, &scene.placed);
        request.job = Some(&job.name);
        match choose_worker(&scene.rooms, &request, &scene.policy) {
            Ok(choice) => {
                scene.rooms[choice.place].give(&scene.policy, &job.declared);
                customer.given = customer.given.plus(&job.declared);
                started.push(job.name.to_string());
                pass.placed();
            }
            Err(refusal) => pass.refused(&job.declared, &refusal),
        }
    }
    started
}

fn queue_of(jobs: impl IntoIterator<Item = WaitingJob>) -> TaskQueue {
    let mut queue = TaskQueue::default();
    for job in jobs {
        queue.add(job);
    }
    queue
}

#[test]
fn urgent_work_goes_first_and_shares_follow_priority() {
    let mut scene = Scene::new(&["a/a-1/w1", "a/a-1/w2"]);
    let mut customers = [customer("kennels", 100), customer("tailors", 200)];
    let one = size(1_000, 1_000, 0);
    customers[0].given = one;
    let mut urgent = waiting("now", "kennels", one, 1);
    urgent.urgent = true;
    let queue = queue_of([
        waiting("k", "kennels", one, 9),
        waiting("t", "tailors", one, 9),
        urgent,
    ]);
    let started = start_all(&queue, &mut customers, &mut scene);
    assert_eq!(started, ["now", "t", "t", "t", "t", "k", "t", "t"]);
}

#[test]
fn a_job_that_never_fits_does_not_block_those_behind_it() {
    let mut scene = Scene::new(&["a/a-1/w1"]);
    let mut customers = [customer("kennels", 100)];
    let queue = queue_of([
        waiting("a-huge", "kennels", size(64_000, 1_000, 0), 3),
        waiting("b-wide", "kennels", size(3_000, 1_000, 0), 2),
        waiting("c-thin", "kennels", size(1_000, 1_000, 0), 1),
    ]);
    let started = start_all(&queue, &mut customers, &mut scene);
    assert_eq!(started, ["b-wide", "c-thin"]);
}

#[test]
fn a_reached_quota_leaves_the_room_to_other_customers() {
    let mut scene = Scene::new(&["a/a-1/w1"]);
    let mut customers = [customer("kennels", 1_000), customer("tailors", 1)];
    customers[0].quota = size(2_000, 8_000, 0);
    let one = size(1_000, 1_000, 0);
    let queue = queue_of([
        waiting("k1", "kennels", one, 3),
        waiting("t1", "tailors", one, 3),
    ]);
    let started = start_all(&queue, &mut customers, &mut scene);
    assert_eq!(started, ["k1", "t1", "k1", "t1"]);
}

#[test]
fn a_held_worker_waits_for_its_job() {
    let mut scene = Scene::new(&["a/a-1/w1", "a/a-1/w2"]);
    scene.rooms[0].give(&scene.policy.clone(), &size(3_500, 100, 0));
    scene.rooms[1].give(&scene.policy.clone(), &size(500, 100, 0));
    let mut customers = [customer("kennels", 100)];
    let wide = job_name("wide");
    let request = PlacementRequest::new(size(4_000, 100, 0), &scene.customer, &scene.placed);
    let place = choose_held_worker(&scene.rooms, &request, &scene.policy).unwrap();
    assert_eq!(scene.rooms[place].name.as_str(), "w2");
    scene.rooms[place].held_for = Some(wide);
    let queue = queue_of([
        waiting("thin", "kennels", size(500, 100, 0), 4),
        waiting("wide", "kennels", size(4_000, 100, 0), 1),
    ]);
    assert_eq!(start_all(&queue, &mut customers, &mut scene), ["thin"]);
    scene.rooms[place].take_back(&size(500, 100, 0));
    assert_eq!(start_all(&queue, &mut customers, &mut scene), ["wide"]);
}

#[test]
fn a_burst_of_cancellations_is_one_pass() {
    let names = (0..2_000).map(|number| format!("j{number:04}"));
    let one = size(1_000, 1_000, 0);
    let mut queue = queue_of(names.map(|name| waiting(&name, "kennels", one, 2)));
    let cancelled = (0..1_500).map(|number| job_name(&format!("j{number:04}")));
    assert_eq!(queue.cancel(&cancelled.collect::<Vec<_>>()), 1_500);
    assert_eq!(queue.len(), 500);
    assert_eq!(queue.jobs().next().unwrap().name.as_str(), "j1500");
    assert!(queue.get(&job_name("j0001")).is_none());
}

#[test]
fn a_delayed_job_waits_for_its_time() {
    let one = size(1_000, 1_000, 0);
    let mut queue = queue_of([waiting("j", "kennels", one, 1)]);
    queue.delay(&job_name("j"), MonoTime::from_millis(500));
    let customers = [customer("kennels", 100)];
    let next = |now| {
        let mut pass = QueuePass::new(&queue, one, MonoTime::from_millis(now));
        pass.next_job(&customers).map(|job| job.name.to_string())
    };
    assert_eq!((next(499), next(500)), (None, Some("j".to_owned())));
}

#[test]
fn sizes_that_found_no_room_cover_larger_ones() {
    let queue = queue_of([waiting("j", "kennels", size(2_000, 100, 0), 1)]);
    let customers = [customer("kennels", 100)];
    let whole = size(4_000, 8_000, 0);
    let mut pass = QueuePass::new(&queue, whole, MonoTime::from_millis(0));
    pass.next_job(&customers).unwrap();
    let refusal = PlacementRefusal::NoRoomNow {
        large_enough: 1,
        short_of: SizeDimension::Cpu,
    };
    pass.refused(&size(2_000, 100, 0), &refusal);
    let covered = [
        size(2_000, 100, 0),
        size(3_000, 50, 0),
        size(1_999, 9_000, 0),
    ]
    .map(|asked| pass.found_no_room(&asked));
    assert_eq!(covered, [true, false, false]);
}

#[test]
fn a_task_that_never_fits_holds_nobody_behind_a_reached_quota() {
    let mut scene = Scene::new(&["a/a-1/w1"]);
    let mut customers = [customer("tailors", 100)];
    customers[0].quota = size(10_000, 10_000, 0);
    customers[0].given = size(2_000, 2_000, 0);
    let mut huge = waiting("huge", "tailors", size(4_000, 9_000, 0), 1);
    let mut small = waiting("small", "tailors", size(1_000, 1_000, 0), 1);
    (huge.urgent, small.urgent) = (true, true);
    small.submitted = MonoTime::from_millis(1);
    let queue = queue_of([huge, small]);
    let started = start_all(&queue, &mut customers, &mut scene);
    assert_eq!(started, ["small"]);
}

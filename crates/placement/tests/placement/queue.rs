//! Tests of the queue.

use crate::placement_fixture::PlacementFixture;
use crate::placement_fixture::customer;
use crate::placement_fixture::job_name;
use crate::placement_fixture::size;
use crate::placement_fixture::waiting;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_placement::CustomerQuota;
use sapphirestile_placement::PlacementRefusal;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::QueuePass;
use sapphirestile_placement::SizeDimension;
use sapphirestile_placement::TaskQueue;
use sapphirestile_placement::WaitingJob;
use sapphirestile_placement::choose_reserved_worker;
use sapphirestile_placement::choose_worker;

/// Places as many tasks as possible and returns their jobs in the order of placement.
fn start_all(
    queue: &TaskQueue,
    customers: &mut [CustomerQuota],
    fixture: &mut PlacementFixture,
) -> Vec<String> {
    let total = fixture
        .workers
        .iter()
        .fold(ResourceSize::default(), |sum, worker| {
            sum.plus(&worker.size)
        });
    let mut started = Vec::new();
    let mut pass = QueuePass::new(queue, total, MonoTime::from_millis(0));
    while let Some(job) = pass.next_job(customers) {
        let index = customers
            .iter()
            .position(|customer| customer.name == job.customer);
        let customer = &mut customers[index.unwrap()];
        let mut request = PlacementRequest::new(job.declared, customer, &fixture.placed);
        request.job = Some(&job.name);
        match choose_worker(&fixture.workers, &request, &fixture.policy) {
            Ok(choice) => {
                fixture.workers[choice.index].allocate(&fixture.policy, &job.declared);
                customer.allocated = customer.allocated.plus(&job.declared);
                started.push(job.name.to_string());
                pass.mark_placed();
            }
            Err(refusal) => pass.mark_refused(&job.declared, &refusal),
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
fn urgent_jobs_go_first_and_shares_follow_priority() {
    let mut fixture = PlacementFixture::new(&["a/a-1/w1", "a/a-1/w2"]);
    let mut customers = [customer("kennels", 100), customer("tailors", 200)];
    let one = size(1_000, 1_000, 0);
    customers[0].allocated = one;
    let mut urgent = waiting("now", "kennels", one, 1);
    urgent.urgent = true;
    let queue = queue_of([
        waiting("k", "kennels", one, 9),
        waiting("t", "tailors", one, 9),
        urgent,
    ]);
    let started = start_all(&queue, &mut customers, &mut fixture);
    assert_eq!(started, ["now", "t", "t", "t", "t", "k", "t", "t"]);
}

#[test]
fn job_that_never_fits_does_not_block_later_ones() {
    let mut fixture = PlacementFixture::new(&["a/a-1/w1"]);
    let mut customers = [customer("kennels", 100)];
    let queue = queue_of([
        waiting("a-huge", "kennels", size(64_000, 1_000, 0), 3),
        waiting("b-wide", "kennels", size(3_000, 1_000, 0), 2),
        waiting("c-thin", "kennels", size(1_000, 1_000, 0), 1),
    ]);
    let started = start_all(&queue, &mut customers, &mut fixture);
    assert_eq!(started, ["b-wide", "c-thin"]);
}

#[test]
fn reached_quota_leaves_capacity_to_other_customers() {
    let mut fixture = PlacementFixture::new(&["a/a-1/w1"]);
    let mut customers = [customer("kennels", 1_000), customer("tailors", 1)];
    customers[0].quota = size(2_000, 8_000, 0);
    let one = size(1_000, 1_000, 0);
    let queue = queue_of([
        waiting("k1", "kennels", one, 3),
        waiting("t1", "tailors", one, 3),
    ]);
    let started = start_all(&queue, &mut customers, &mut fixture);
    assert_eq!(started, ["k1", "t1", "k1", "t1"]);
}

#[test]
fn reserved_worker_takes_only_its_job() {
    let mut fixture = PlacementFixture::new(&["a/a-1/w1", "a/a-1/w2"]);
    fixture.workers[0].allocate(&fixture.policy.clone(), &size(3_500, 100, 0));
    fixture.workers[1].allocate(&fixture.policy.clone(), &size(500, 100, 0));
    let mut customers = [customer("kennels", 100)];
    let wide = job_name("wide");
    let request = PlacementRequest::new(size(4_000, 100, 0), &fixture.customer, &fixture.placed);
    let index = choose_reserved_worker(&fixture.workers, &request, &fixture.policy).unwrap();
    assert_eq!(fixture.workers[index].name.as_str(), "w2");
    fixture.workers[index].reserved_for = Some(wide);
    let queue = queue_of([
        waiting("thin", "kennels", size(500, 100, 0), 4),
        waiting("wide", "kennels", size(4_000, 100, 0), 1),
    ]);
    assert_eq!(start_all(&queue, &mut customers, &mut fixture), ["thin"]);
    fixture.workers[index].release(&size(500, 100, 0));
    assert_eq!(start_all(&queue, &mut customers, &mut fixture), ["wide"]);
}

#[test]
fn many_jobs_are_cancelled_at_once() {
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
fn delayed_job_is_not_tried_early() {
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
fn refused_size_rules_out_larger_ones() {
    let queue = queue_of([waiting("j", "kennels", size(2_000, 100, 0), 1)]);
    let customers = [customer("kennels", 100)];
    let total = size(4_000, 8_000, 0);
    let mut pass = QueuePass::new(&queue, total, MonoTime::from_millis(0));
    pass.next_job(&customers).unwrap();
    let refusal = PlacementRefusal::NoCapacity {
        large_enough: 1,
        short_of: SizeDimension::Cpu,
    };
    pass.mark_refused(&size(2_000, 100, 0), &refusal);
    let exceeds = [
        size(2_000, 100, 0),
        size(3_000, 50, 0),
        size(1_999, 9_000, 0),
    ]
    .map(|size| pass.exceeds_refused_size(&size));
    assert_eq!(exceeds, [true, false, false]);
}

#[test]
fn reached_quota_does_not_hide_that_a_task_never_fits() {
    let mut fixture = PlacementFixture::new(&["a/a-1/w1"]);
    let mut customers = [customer("tailors", 100)];
    customers[0].quota = size(10_000, 10_000, 0);
    customers[0].allocated = size(2_000, 2_000, 0);
    let mut huge = waiting("huge", "tailors", size(4_000, 9_000, 0), 1);
    let mut small = waiting("small", "tailors", size(1_000, 1_000, 0), 1);
    (huge.urgent, small.urgent) = (true, true);
    small.submitted = MonoTime::from_millis(1);
    let queue = queue_of([huge, small]);
    let started = start_all(&queue, &mut customers, &mut fixture);
    assert_eq!(started, ["small"]);
}

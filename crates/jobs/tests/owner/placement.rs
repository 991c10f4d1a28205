//! Placement of tasks on workers.

use sapphirestile_core::ZoneName;
use sapphirestile_jobs::StepSpec;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::job_spec;
use crate::test_values::step;
use crate::test_values::worker;

const JOB: &str = "aaaaaaaaaaaaaaaa";

fn starts(fixture: &mut OwnerFixture, steps: Vec<StepSpec>) -> Vec<String> {
    fixture.accept(JOB, job_spec(steps));
    fixture.step();
    let Some(_) = fixture.batch() else {
        return Vec::new();
    };
    let now = fixture.time();
    fixture.owner.confirm_batch(now, fixture.now);
    let lines = fixture.step();
    let worker_of = |line: &String| line.rsplit(' ').next().unwrap().to_owned();
    lines.iter().map(worker_of).collect()
}

#[test]
fn worker_capacity_is_not_exceeded() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_500), worker("w-2", 1_000)]);
    let mut workers = starts(&mut fixture, vec![step(5, 1_000)]);
    workers.sort();
    assert_eq!(workers, ["w-1", "w-1", "w-2"]);
}

#[test]
fn drained_zone_gets_no_starts() {
    let mut far = worker("w-2", 9_000);
    far.zone = ZoneName::try_from("far-a").unwrap();
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000), far]);
    fixture
        .owner
        .set_zones_out(&[ZoneName::try_from("far-a").unwrap()]);
    assert_eq!(starts(&mut fixture, vec![step(3, 1_000)]), ["w-1"]);
}

#[test]
fn zone_drained_before_the_start_was_stored_gets_none() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    fixture.accept(JOB, job_spec(vec![step(1, 1_000)]));
    fixture.step();
    fixture
        .owner
        .set_zones_out(&[ZoneName::try_from("near-a").unwrap()]);
    assert!(fixture.store().is_empty());
}

#[test]
fn leaving_worker_gets_no_starts() {
    let mut leaving = worker("w-1", 9_000);
    leaving.is_leaving = true;
    let mut fixture = OwnerFixture::with_workers(vec![leaving]);
    assert!(starts(&mut fixture, vec![step(1, 1_000)]).is_empty());
}

#[test]
fn labels_services_and_limits_per_worker_are_respected() {
    let mut labelled = worker("w-2", 9_000);
    labelled.labels = vec!["b".into(), "r2-1".into()];
    let mut other = worker("w-3", 9_000);
    other.service = "permits".into();
    let entries = vec![worker("w-1", 9_000), labelled, other];
    let mut fixture = OwnerFixture::with_workers(entries);
    let mut needs = step(3, 1_000);
    needs.required_label = Some("b".into());
    needs.per_worker_max = Some(2);
    assert_eq!(starts(&mut fixture, vec![needs]), ["w-2", "w-2"]);
}

#[test]
fn tasks_prefer_the_rack_of_their_data() {
    let mut near = worker("w-9", 2_000);
    near.labels = vec!["a".into(), "r2-1".into()];
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 9_000), near]);
    let mut data = step(3, 1_000);
    data.data_rack = Some("r2-1".into());
    let mut workers = starts(&mut fixture, vec![data]);
    workers.sort();
    assert_eq!(workers, ["w-1", "w-9", "w-9"]);
}

#[test]
fn best_effort_tasks_reserve_no_processor_time() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 2_000)]);
    let mut best_effort = step(2, 1_000);
    best_effort.is_best_effort = true;
    best_effort.image = Some("patterns".into());
    let workers = starts(&mut fixture, vec![best_effort, step(2, 1_000)]);
    assert_eq!(workers.len(), 4);
}

/// A task that found no room in its service kept tasks of the same size of another service from
/// being looked at, in every pass in which it came first.
#[test]
fn service_without_room_does_not_stop_another_one() {
    let mut other = worker("w-2", 4_000);
    other.service = "permits".into();
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000), other]);
    fixture.accept(JOB, job_spec(vec![step(2, 1_000)]));
    let mut spec = job_spec(vec![step(1, 1_000)]);
    spec.queue = "permits".into();
    spec.terms.service = "permits".into();
    spec.terms.priority = 2;
    fixture.accept("bbbbbbbbbbbbbbbb", spec);
    fixture.step();
    let mut lines = fixture.store();
    lines.sort();
    assert_eq!(
        lines,
        [
            "start aaaaaaaaaaaaaaaa.0.0.0#1 at w-1",
            "start bbbbbbbbbbbbbbbb.0.0.0#1 at w-2"
        ]
    );
}

//! Where tasks start.

use sapphirestile_core::ZoneName;
use sapphirestile_jobs::StepOrder;

use crate::owner_scene::OwnerScene;
use crate::scene_parts::order;
use crate::scene_parts::step;
use crate::scene_parts::worker;

const JOB: &str = "aaaaaaaaaaaaaaaa";

fn starts(scene: &mut OwnerScene, steps: Vec<StepOrder>) -> Vec<String> {
    scene.accept(JOB, order(steps));
    scene.step();
    let Some(_) = scene.batch() else {
        return Vec::new();
    };
    let now = scene.time();
    scene.owner.batch_stored(now, scene.now);
    let lines = scene.step();
    let place = |line: &String| line.rsplit(' ').next().unwrap().to_owned();
    lines.iter().map(place).collect()
}

#[test]
fn no_worker_is_given_more_than_it_has_room_for() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 2_500), worker("w-2", 1_000)]);
    let mut places = starts(&mut scene, vec![step(5, 1_000)]);
    places.sort();
    assert_eq!(places, ["w-1", "w-1", "w-2"]);
}

#[test]
fn a_zone_that_is_out_gets_no_starts() {
    let mut far = worker("w-2", 9_000);
    far.zone = ZoneName::try_from("far-a").unwrap();
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 1_000), far]);
    scene
        .owner
        .set_zones_out(&[ZoneName::try_from("far-a").unwrap()]);
    assert_eq!(starts(&mut scene, vec![step(3, 1_000)]), ["w-1"]);
}

#[test]
fn a_zone_that_goes_out_before_the_start_was_stored_gets_none() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 1_000)]);
    scene.accept(JOB, order(vec![step(1, 1_000)]));
    scene.step();
    scene
        .owner
        .set_zones_out(&[ZoneName::try_from("near-a").unwrap()]);
    assert!(scene.store().is_empty());
}

#[test]
fn a_worker_that_leaves_gets_no_starts() {
    let mut leaving = worker("w-1", 9_000);
    leaving.is_leaving = true;
    let mut scene = OwnerScene::with_workers(vec![leaving]);
    assert!(starts(&mut scene, vec![step(1, 1_000)]).is_empty());
}

#[test]
fn labels_services_and_counts_a_worker_are_kept() {
    let mut labelled = worker("w-2", 9_000);
    labelled.labels = vec!["b".into(), "r2-1".into()];
    let mut other = worker("w-3", 9_000);
    other.service = "permits".into();
    let entries = vec![worker("w-1", 9_000), labelled, other];
    let mut scene = OwnerScene::with_workers(entries);
    let mut needs = step(3, 1_000);
    needs.required_label = Some("b".into());
    needs.per_worker_max = Some(2);
    assert_eq!(starts(&mut scene, vec![needs]), ["w-2", "w-2"]);
}

#[test]
fn tasks_go_to_the_rack_of_their_data_while_it_has_room() {
    let mut near = worker("w-9", 2_000);
    near.labels = vec!["a".into(), "r2-1".into()];
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 9_000), near]);
    let mut data = step(3, 1_000);
    data.data_rack = Some("r2-1".into());
    let mut places = starts(&mut scene, vec![data]);
    places.sort();
    assert_eq!(places, ["w-1", "w-9", "w-9"]);
}

#[test]
fn tasks_of_leftover_time_take_no_room_from_others() {
    let mut scene = OwnerScene::with_workers(vec![worker("w-1", 2_000)]);
    let mut filling = step(2, 1_000);
    filling.uses_leftover = true;
    filling.image = Some("patterns".into());
    let places = starts(&mut scene, vec![filling, step(2, 1_000)]);
    assert_eq!(places.len(), 4);
}

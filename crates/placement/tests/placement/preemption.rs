//! Scenes of room for urgent work.

use crate::scene::Scene;
use crate::scene::size;

use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::RunningTask;
use sapphirestile_placement::VictimChoice;
use sapphirestile_placement::choose_victims;

/// Two full workers, their tasks given as `(worker, cpu_milli, urgent)`.
fn victims(tasks: &[(usize, u64, bool)], asked: u64) -> Option<VictimChoice> {
    let mut scene = Scene::new(&["a/a-1/w1", "a/a-1/w2"]);
    let running = tasks.iter().map(|(worker, cpu_milli, urgent)| RunningTask {
        worker: *worker,
        given: size(*cpu_milli, 1_000, 0),
        urgent: *urgent,
    });
    let running = running.collect::<Vec<_>>();
    for task in &running {
        scene.rooms[task.worker].give(&scene.policy, &task.given);
    }
    let request = PlacementRequest::new(size(asked, 1_000, 0), &scene.customer, &scene.placed);
    choose_victims(&scene.rooms, &running, &request, &scene.policy)
}

fn choice(worker: usize, tasks: &[usize]) -> VictimChoice {
    VictimChoice {
        worker,
        tasks: tasks.to_vec(),
    }
}

#[test]
fn the_smallest_task_that_makes_room_is_stopped() {
    let tasks = [(0, 4_000, false), (1, 1_500, false), (1, 2_500, false)];
    assert_eq!(victims(&tasks, 1_000), Some(choice(1, &[1])));
    assert_eq!(victims(&tasks, 2_000), Some(choice(1, &[2])));
    assert_eq!(victims(&tasks, 3_000), Some(choice(0, &[0])));
}

#[test]
fn several_tasks_are_stopped_only_when_no_single_one_helps() {
    let tasks = [(0, 4_000, true), (1, 1_500, false), (1, 2_500, false)];
    assert_eq!(victims(&tasks, 3_000), Some(choice(1, &[2, 1])));
}

#[test]
fn urgent_tasks_are_never_stopped() {
    let tasks = [(0, 4_000, true), (1, 4_000, true)];
    assert_eq!(victims(&tasks, 1_000), None);
}

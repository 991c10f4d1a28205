//! Tests of preemption.

use crate::placement_fixture::PlacementFixture;
use crate::placement_fixture::size;

use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::RunningTask;
use sapphirestile_placement::VictimChoice;
use sapphirestile_placement::choose_victims;

/// The victims on two workers for a task of `requested` thousandths of a core. Running tasks are
/// given as `(worker_index, cpu_milli, urgent)`.
fn victims(tasks: &[(usize, u64, bool)], requested: u64) -> Option<VictimChoice> {
    let mut fixture = PlacementFixture::new(&["a/a-1/w1", "a/a-1/w2"]);
    let running = tasks
        .iter()
        .map(|(worker_index, cpu_milli, urgent)| RunningTask {
            worker_index: *worker_index,
            allocated: size(*cpu_milli, 1_000, 0),
            urgent: *urgent,
        });
    let running = running.collect::<Vec<_>>();
    for task in &running {
        fixture.workers[task.worker_index].allocate(&fixture.policy, &task.allocated);
    }
    let request = PlacementRequest::new(
        size(requested, 1_000, 0),
        &fixture.customer,
        &fixture.placed,
    );
    choose_victims(&fixture.workers, &running, &request, &fixture.policy)
}

fn choice(worker_index: usize, tasks: &[usize]) -> VictimChoice {
    VictimChoice {
        worker_index,
        tasks: tasks.to_vec(),
    }
}

#[test]
fn smallest_sufficient_task_is_preempted() {
    let tasks = [(0, 4_000, false), (1, 1_500, false), (1, 2_500, false)];
    assert_eq!(victims(&tasks, 1_000), Some(choice(1, &[1])));
    assert_eq!(victims(&tasks, 2_000), Some(choice(1, &[2])));
    assert_eq!(victims(&tasks, 3_000), Some(choice(0, &[0])));
}

#[test]
fn several_tasks_are_preempted_only_if_no_single_one_suffices() {
    let tasks = [(0, 4_000, true), (1, 1_500, false), (1, 2_500, false)];
    assert_eq!(victims(&tasks, 3_000), Some(choice(1, &[2, 1])));
}

#[test]
fn urgent_tasks_are_never_preempted() {
    let tasks = [(0, 4_000, true), (1, 4_000, true)];
    assert_eq!(victims(&tasks, 1_000), None);
}

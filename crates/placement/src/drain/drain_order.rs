//! The order in which a zone's tasks are moved.

use crate::DrainStep;
use crate::DrainTask;

/// Tasks with less unsaved work than this are restarted rather than moved, in
/// core-microseconds.
const UNSAVED_MIN_CPU_US: u64 = 5_000_000;
/// Tasks expected to end within this part of the remaining time may finish, in
/// thousandths.
const FINISH_SHARE_PERMILLE: u64 = 600;
const WHOLE_PERMILLE: u64 = 1_000;

/// Sorts the tasks of a zone that becomes unavailable in `remaining_ms` milliseconds.
///
/// Urgent tasks come first, then those with the most unsaved work for each byte
/// sent. Tasks that are expected to end in time come last.
///
/// # Examples
///
/// ```
/// use sapphirestile_placement::DrainStep;
/// use sapphirestile_placement::DrainTask;
/// use sapphirestile_placement::drain_order;
///
/// let small = DrainTask {
///     unsaved_cpu_us: 60_000_000,
///     checkpoint_bytes: 1_000_000,
///     remaining_ms: None,
///     urgent: false,
/// };
/// let large = DrainTask { checkpoint_bytes: 90_000_000, ..small };
/// let ending = DrainTask { remaining_ms: Some(20_000), ..small };
/// let order = drain_order(&[large, small, ending], 120_000);
/// assert_eq!(order[0], DrainStep::Move { index: 1 });
/// assert_eq!(order[1], DrainStep::Move { index: 0 });
/// assert_eq!(order[2], DrainStep::LetFinish { index: 2 });
/// ```
#[must_use]
pub fn drain_order(tasks: &[DrainTask], remaining_ms: u64) -> Vec<DrainStep> {
    let mut ranked = tasks.iter().enumerate().collect::<Vec<_>>();
    ranked.sort_by_key(|(index, task)| (rank_of(task, remaining_ms), *index));
    ranked
        .into_iter()
        .map(|(index, task)| step_of(index, task, remaining_ms))
        .collect()
}

fn step_of(index: usize, task: &DrainTask, remaining_ms: u64) -> DrainStep {
    if ends_in_time(task, remaining_ms) {
        return DrainStep::LetFinish { index };
    }
    if task.unsaved_cpu_us < UNSAVED_MIN_CPU_US {
        return DrainStep::Restart { index };
    }
    DrainStep::Move { index }
}

fn rank_of(task: &DrainTask, remaining_ms: u64) -> (bool, bool, std::cmp::Reverse<u64>) {
    let work_per_byte =
        task.unsaved_cpu_us.saturating_mul(WHOLE_PERMILLE) / task.checkpoint_bytes.max(1);
    (
        ends_in_time(task, remaining_ms),
        !task.urgent,
        std::cmp::Reverse(work_per_byte),
    )
}

fn ends_in_time(task: &DrainTask, remaining_ms: u64) -> bool {
    let limit_ms = remaining_ms * FINISH_SHARE_PERMILLE / WHOLE_PERMILLE;
    task.remaining_ms.is_some_and(|task_ms| task_ms <= limit_ms)
}

//! The order in which a zone is emptied.

use crate::DrainStep;
use crate::DrainTask;

/// Less unsaved work than this is done again rather than sent, in thousandths
/// of a core times milliseconds.
const UNSAVED_MIN: u64 = 5_000_000;
/// Tasks expected to end within this part of the time left may finish, in thousandths.
const FINISH_SHARE_PERMILLE: u64 = 600;
const WHOLE_PERMILLE: u64 = 1_000;

/// Ranks the tasks of a zone that ends in `left_ms` milliseconds.
///
/// Urgent tasks go first, then the most unsaved work for each byte sent.
///
/// # Examples
///
/// ```
/// use sapphirestile_placement::DrainStep;
/// use sapphirestile_placement::DrainTask;
/// use sapphirestile_placement::drain_order;
///
/// let small = DrainTask {
///     unsaved_work: 60_000_000,
///     checkpoint_bytes: 1_000_000,
///     remaining_ms: None,
///     urgent: false,
/// };
/// let large = DrainTask { checkpoint_bytes: 90_000_000, ..small };
/// let ending = DrainTask { remaining_ms: Some(20_000), ..small };
/// let order = drain_order(&[large, small, ending], 120_000);
/// assert_eq!(order[0], DrainStep::Move { place: 1 });
/// assert_eq!(order[1], DrainStep::Move { place: 0 });
/// assert_eq!(order[2], DrainStep::LetFinish { place: 2 });
/// ```
#[must_use]
pub fn drain_order(tasks: &[DrainTask], left_ms: u64) -> Vec<DrainStep> {
    let mut ranked = tasks.iter().enumerate().collect::<Vec<_>>();
    ranked.sort_by_key(|(place, task)| (rank_of(task, left_ms), *place));
    ranked
        .into_iter()
        .map(|(place, task)| step_of(place, task, left_ms))
        .collect()
}

fn step_of(place: usize, task: &DrainTask, left_ms: u64) -> DrainStep {
    if ends_in_time(task, left_ms) {
        return DrainStep::LetFinish { place };
    }
    if task.unsaved_work < UNSAVED_MIN {
        return DrainStep::Restart { place };
    }
    DrainStep::Move { place }
}

fn rank_of(task: &DrainTask, left_ms: u64) -> (bool, bool, std::cmp::Reverse<u64>) {
    let value_per_byte =
        task.unsaved_work.saturating_mul(WHOLE_PERMILLE) / task.checkpoint_bytes.max(1);
    (
        ends_in_time(task, left_ms),
        !task.urgent,
        std::cmp::Reverse(value_per_byte),
    )
}

fn ends_in_time(task: &DrainTask, left_ms: u64) -> bool {
    let bound = left_ms * FINISH_SHARE_PERMILLE / WHOLE_PERMILLE;
    task.remaining_ms
        .is_some_and(|remaining| remaining <= bound)
}

//! The search for tasks to stop.

use crate::PlacementRequest;
use crate::RoomPolicy;
use crate::RunningTask;
use crate::VictimChoice;
use crate::WorkerRoom;
use sapphirestile_core::ResourceSize;

/// Chooses the worker on which the fewest tasks of the backlog, and among
/// those the least processor time, make room for an urgent task.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::CustomerName;
/// use sapphirestile_core::ResourceSize;
/// use sapphirestile_placement::CustomerRoom;
/// use sapphirestile_placement::PlacedTasks;
/// use sapphirestile_placement::PlacementRequest;
/// use sapphirestile_placement::RoomPolicy;
/// use sapphirestile_placement::choose_victims;
///
/// let customer = CustomerRoom {
///     name: CustomerName::try_from("tailors").unwrap(),
///     quota: ResourceSize::default(),
///     given: ResourceSize::default(),
///     priority: 100,
/// };
/// let placed = PlacedTasks::default();
/// let request = PlacementRequest::new(ResourceSize::default(), &customer, &placed);
/// assert_eq!(choose_victims(&[], &[], &request, &RoomPolicy::default()), None);
/// ```
#[must_use]
pub fn choose_victims(
    rooms: &[WorkerRoom],
    tasks: &[RunningTask],
    request: &PlacementRequest<'_>,
    policy: &RoomPolicy,
) -> Option<VictimChoice> {
    let mut by_worker = vec![Vec::new(); rooms.len()];
    for (place, task) in tasks.iter().enumerate() {
        if !task.urgent {
            by_worker[task.worker].push(place);
        }
    }
    let mut best = None;
    for (worker, room) in rooms.iter().enumerate() {
        let takes = room.takes_work() && !room.is_held_from(request.job);
        if !takes || !request.allows(&room.zone) {
            continue;
        }
        let missing = request.size.minus(&room.left(policy));
        let Some(chosen) = cover(&missing, &by_worker[worker], tasks) else {
            continue;
        };
        let stopped = chosen.iter().map(|place| tasks[*place].given.cpu_milli);
        let cost = (chosen.len(), stopped.sum::<u64>());
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            let choice = VictimChoice {
                worker,
                tasks: chosen,
            };
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// The smallest single task that covers `missing`, or else the largest ones together.
fn cover(missing: &ResourceSize, places: &[usize], tasks: &[RunningTask]) -> Option<Vec<usize>> {
    let covers = |place: &&usize| missing.fits_in(&tasks[**place].given);
    let single = places
        .iter()
        .filter(covers)
        .min_by_key(|place| tasks[**place].given.cpu_milli);
    if let Some(place) = single {
        return Some(vec![*place]);
    }
    let mut largest = places.to_vec();
    largest.sort_by_key(|place| std::cmp::Reverse(tasks[*place].given.cpu_milli));
    let mut freed = ResourceSize::default();
    let mut chosen = Vec::new();
    for place in largest {
        freed = freed.plus(&tasks[place].given);
        chosen.push(place);
        if missing.fits_in(&freed) {
            return Some(chosen);
        }
    }
    None
}

//! Selection of the tasks to preempt.

use crate::CandidateWorker;
use crate::PlacementPolicy;
use crate::PlacementRequest;
use crate::RunningTask;
use crate::VictimChoice;
use sapphirestile_core::ResourceSize;

/// Chooses the worker on which preempting the fewest tasks frees enough resources for
/// an urgent task. Among equals, the tasks with the least allocated CPU time are
/// chosen.
///
/// Returns `None` if preemption does not help on any worker.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::CustomerName;
/// use sapphirestile_core::ResourceSize;
/// use sapphirestile_placement::CustomerQuota;
/// use sapphirestile_placement::PlacedTasks;
/// use sapphirestile_placement::PlacementPolicy;
/// use sapphirestile_placement::PlacementRequest;
/// use sapphirestile_placement::choose_victims;
///
/// let customer = CustomerQuota {
///     name: CustomerName::try_from("tailors").unwrap(),
///     quota: ResourceSize::default(),
///     allocated: ResourceSize::default(),
///     priority: 100,
/// };
/// let placed = PlacedTasks::default();
/// let request = PlacementRequest::new(ResourceSize::default(), &customer, &placed);
/// assert_eq!(choose_victims(&[], &[], &request, &PlacementPolicy::default()), None);
/// ```
#[must_use]
pub fn choose_victims(
    workers: &[CandidateWorker],
    tasks: &[RunningTask],
    request: &PlacementRequest<'_>,
    policy: &PlacementPolicy,
) -> Option<VictimChoice> {
    let mut by_worker = vec![Vec::new(); workers.len()];
    for (index, task) in tasks.iter().enumerate() {
        if !task.urgent {
            by_worker[task.worker_index].push(index);
        }
    }
    let mut best = None;
    for (worker_index, worker) in workers.iter().enumerate() {
        let is_usable = worker.takes_work() && !worker.is_reserved_for_other(request.job);
        if !is_usable || !request.allows(&worker.zone) {
            continue;
        }
        let missing = request.size.minus(&worker.free(policy));
        let Some(chosen) = select_tasks(&missing, &by_worker[worker_index], tasks) else {
            continue;
        };
        let stopped = chosen.iter().map(|index| tasks[*index].allocated.cpu_milli);
        let cost = (chosen.len(), stopped.sum::<u64>());
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            let choice = VictimChoice {
                worker_index,
                tasks: chosen,
            };
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Selects the task with the least CPU time that alone frees `missing`, or else tasks
/// in descending order of CPU time until they free it together.
fn select_tasks(
    missing: &ResourceSize,
    indices: &[usize],
    tasks: &[RunningTask],
) -> Option<Vec<usize>> {
    let covers = |index: &&usize| missing.fits_in(&tasks[**index].allocated);
    let single = indices
        .iter()
        .filter(covers)
        .min_by_key(|index| tasks[**index].allocated.cpu_milli);
    if let Some(index) = single {
        return Some(vec![*index]);
    }
    let mut largest = indices.to_vec();
    largest.sort_by_key(|index| std::cmp::Reverse(tasks[*index].allocated.cpu_milli));
    let mut freed = ResourceSize::default();
    let mut chosen = Vec::new();
    for index in largest {
        freed = freed.plus(&tasks[index].allocated);
        chosen.push(index);
        if missing.fits_in(&freed) {
            return Some(chosen);
        }
    }
    None
}

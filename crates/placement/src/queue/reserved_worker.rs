//! Reservation of a worker for a job that has waited long.

use crate::CandidateWorker;
use crate::PlacementPolicy;
use crate::PlacementRequest;

/// How long a job cannot be placed before a worker is reserved for it, in milliseconds.
pub const RESERVE_AFTER_MS: u64 = 120_000;

/// Chooses the worker to reserve for a task that cannot be placed, and returns its
/// index in `workers`.
///
/// Of the unreserved workers that are large enough it is the one on which the
/// fewest resources have to be freed: accelerators first, then the larger share of
/// CPU time and memory. Returns `None` if no worker is large enough.
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
/// use sapphirestile_placement::choose_reserved_worker;
///
/// let customer = CustomerQuota {
///     name: CustomerName::try_from("tailors").unwrap(),
///     quota: ResourceSize::default(),
///     allocated: ResourceSize::default(),
///     priority: 100,
/// };
/// let placed = PlacedTasks::default();
/// let request = PlacementRequest::new(ResourceSize::default(), &customer, &placed);
/// assert_eq!(choose_reserved_worker(&[], &request, &PlacementPolicy::default()), None);
/// ```
#[must_use]
pub fn choose_reserved_worker(
    workers: &[CandidateWorker],
    request: &PlacementRequest<'_>,
    policy: &PlacementPolicy,
) -> Option<usize> {
    let is_usable = |worker: &CandidateWorker| {
        worker.takes_work() && worker.reserved_for.is_none() && request.allows(&worker.zone)
    };
    let is_large_enough = |worker: &CandidateWorker| request.size.fits_in(&worker.size);
    let to_free = |worker: &CandidateWorker| {
        let missing = request.size.minus(&worker.free(policy));
        let cpu = missing.cpu_milli * 1_000 / worker.size.cpu_milli.max(1);
        let memory = missing.memory_mb * 1_000 / worker.size.memory_mb.max(1);
        (missing.accelerators, cpu.max(memory))
    };
    workers
        .iter()
        .enumerate()
        .filter(|(_, worker)| is_usable(worker) && is_large_enough(worker))
        .min_by_key(|(_, worker)| to_free(worker))
        .map(|(index, _)| index)
}

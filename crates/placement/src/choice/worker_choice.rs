//! The choice among workers.

use crate::CandidateWorker;
use crate::ChoiceReason;
use crate::PlacementChoice;
use crate::PlacementPolicy;
use crate::PlacementRefusal;
use crate::PlacementRequest;
use crate::SizeDimension;
use crate::capacity::WHOLE_PERMILLE;
use sapphirestile_core::ResourceSize;

/// Interference below this cannot be told apart from none, in thousandths.
const INTERFERENCE_MIN_PERMILLE: u64 = 40;

/// Chooses the worker with the lowest cost among those that meet all limits.
///
/// The cost is a weighted sum of the allocated share of the worker, the number of
/// tasks of the same job in its rack and zone, the interference, and the use of a
/// worker with accelerators for a task that needs none. The first of several
/// workers with equal cost is chosen.
///
/// # Errors
///
/// A [`PlacementRefusal`] if the customer's quota is too small or no worker meets
/// all limits.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::CustomerName;
/// use sapphirestile_core::RackName;
/// use sapphirestile_core::ResourceSize;
/// use sapphirestile_core::WorkerName;
/// use sapphirestile_core::ZoneName;
/// use sapphirestile_placement::CandidateWorker;
/// use sapphirestile_placement::CustomerQuota;
/// use sapphirestile_placement::PlacedTasks;
/// use sapphirestile_placement::PlacementPolicy;
/// use sapphirestile_placement::PlacementRequest;
/// use sapphirestile_placement::choose_worker;
///
/// let whole = ResourceSize { cpu_milli: 4_000, memory_mb: 8_192, accelerators: 0 };
/// let workers = [CandidateWorker::new(
///     WorkerName::try_from("w1").unwrap(),
///     ZoneName::try_from("a").unwrap(),
///     RackName::try_from("a-1").unwrap(),
///     whole,
/// )];
/// let customer = CustomerQuota {
///     name: CustomerName::try_from("tailors").unwrap(),
///     quota: whole,
///     allocated: ResourceSize::default(),
///     priority: 100,
/// };
/// let placed = PlacedTasks::default();
/// let policy = PlacementPolicy::default();
///
/// let request = PlacementRequest::new(whole, &customer, &placed);
/// assert_eq!(choose_worker(&workers, &request, &policy).unwrap().index, 0);
///
/// let half = ResourceSize { cpu_milli: 2_000, ..whole };
/// let request = PlacementRequest::new(half, &customer, &placed);
/// let reason = choose_worker(&workers, &request, &policy).unwrap().reason;
/// assert_eq!(reason.load_permille, 1_000);
/// ```
pub fn choose_worker(
    workers: &[CandidateWorker],
    request: &PlacementRequest<'_>,
    policy: &PlacementPolicy,
) -> Result<PlacementChoice, PlacementRefusal> {
    check_quota(workers, request)?;
    let mut eligible = 0;
    let mut best = None;
    for (index, worker) in workers.iter().enumerate() {
        if !is_eligible(worker, request, policy) {
            continue;
        }
        eligible += 1;
        let reason = reason_for(worker, request);
        let cost = cost_of(worker, &reason, request, policy);
        if best.is_none_or(|(lowest, _, _)| cost < lowest) {
            best = Some((cost, index, reason));
        }
    }
    let Some((_, index, reason)) = best else {
        return Err(refusal_of(workers, request, policy));
    };
    let reason = ChoiceReason {
        eligible,
        examined: workers.len(),
        ..reason
    };
    Ok(PlacementChoice { index, reason })
}

/// Checks the customer's quota.
///
/// `NeverFits` takes precedence over a quota that is only reached for now, because
/// the latter makes the customer's other tasks wait behind this one, which could
/// never run.
fn check_quota(
    workers: &[CandidateWorker],
    request: &PlacementRequest<'_>,
) -> Result<(), PlacementRefusal> {
    let customer = request.customer;
    let remaining = customer.remaining();
    let Some(short_of) = SizeDimension::short_of(&request.size, &remaining) else {
        return Ok(());
    };
    let larger_than_quota = !request.size.fits_in(&customer.quota);
    if !larger_than_quota && let Some(refusal) = never_fits(workers, request) {
        return Err(refusal);
    }
    Err(PlacementRefusal::QuotaReached {
        customer: customer.name.clone(),
        remaining,
        short_of,
        larger_than_quota,
    })
}

/// Whether the worker meets all limits for the request.
fn is_eligible(
    worker: &CandidateWorker,
    request: &PlacementRequest<'_>,
    policy: &PlacementPolicy,
) -> bool {
    worker.fits(policy, &request.size)
        && worker.takes_work()
        && !worker.is_reserved_for_other(request.job)
        && (request.urgent || !worker.is_overloaded(policy))
        && request.allows(&worker.zone)
        && is_interference_acceptable(worker, request, policy)
}

/// Whether the total interference stays within the bound.
///
/// A task above the bound may run on a worker with negligible interference, as it
/// could run nowhere otherwise.
const fn is_interference_acceptable(
    worker: &CandidateWorker,
    request: &PlacementRequest<'_>,
    policy: &PlacementPolicy,
) -> bool {
    let sum = worker.interference_permille + request.interference_permille;
    request.urgent
        || request.interference_permille < INTERFERENCE_MIN_PERMILLE
        || worker.interference_permille < INTERFERENCE_MIN_PERMILLE
        || sum <= policy.interference_bound_permille
}

fn reason_for(worker: &CandidateWorker, request: &PlacementRequest<'_>) -> ChoiceReason {
    ChoiceReason {
        eligible: 0,
        examined: 0,
        load_permille: load_permille(&worker.allocated.plus(&request.size), &worker.size),
        same_rack: request.placed.in_rack(&worker.rack),
        same_zone: request.placed.in_zone(&worker.zone),
        interference_permille: worker.interference_permille,
    }
}

fn cost_of(
    worker: &CandidateWorker,
    reason: &ChoiceReason,
    request: &PlacementRequest<'_>,
    policy: &PlacementPolicy,
) -> u64 {
    let wastes_accelerators = worker.size.accelerators > 0 && request.size.accelerators == 0;
    let interference = reason
        .interference_permille
        .saturating_mul(request.interference_permille)
        / WHOLE_PERMILLE;
    reason.load_permille * policy.load_weight
        + u64::from(reason.same_rack) * policy.rack_weight
        + u64::from(reason.same_zone) * policy.zone_weight
        + interference * policy.interference_weight
        + u64::from(wastes_accelerators) * policy.accelerator_weight
}

/// The larger of the allocated shares of CPU time and memory, in thousandths.
fn load_permille(allocated: &ResourceSize, size: &ResourceSize) -> u64 {
    let cpu = allocated.cpu_milli * WHOLE_PERMILLE / size.cpu_milli.max(1);
    let memory = allocated.memory_mb * WHOLE_PERMILLE / size.memory_mb.max(1);
    cpu.max(memory)
}

fn refusal_of(
    workers: &[CandidateWorker],
    request: &PlacementRequest<'_>,
    policy: &PlacementPolicy,
) -> PlacementRefusal {
    if let Some(refusal) = never_fits(workers, request) {
        return refusal;
    }
    let usable = || {
        workers
            .iter()
            .filter(|worker| request.allows(&worker.zone) && worker.takes_work())
    };
    if usable().next().is_none() {
        return PlacementRefusal::NoWorker;
    }
    let large_enough = || usable().filter(|worker| request.size.fits_in(&worker.size));
    PlacementRefusal::NoCapacity {
        large_enough: large_enough().count(),
        short_of: most_short(large_enough(), request, policy),
    }
}

/// Returns `NeverFits` if workers exist in the task's zones but none is large enough
/// even when empty.
fn never_fits(
    workers: &[CandidateWorker],
    request: &PlacementRequest<'_>,
) -> Option<PlacementRefusal> {
    let allowed = || workers.iter().filter(|worker| request.allows(&worker.zone));
    let fits = allowed().any(|worker| request.size.fits_in(&worker.size));
    if fits || allowed().next().is_none() {
        return None;
    }
    Some(PlacementRefusal::NeverFits {
        size: request.size,
        largest: allowed().fold(ResourceSize::default(), largest_of),
    })
}

fn largest_of(largest: ResourceSize, worker: &CandidateWorker) -> ResourceSize {
    ResourceSize {
        cpu_milli: largest.cpu_milli.max(worker.size.cpu_milli),
        memory_mb: largest.memory_mb.max(worker.size.memory_mb),
        accelerators: largest.accelerators.max(worker.size.accelerators),
    }
}

fn most_short<'a>(
    workers: impl Iterator<Item = &'a CandidateWorker>,
    request: &PlacementRequest<'_>,
    policy: &PlacementPolicy,
) -> SizeDimension {
    let mut counts = [
        (SizeDimension::Cpu, 0),
        (SizeDimension::Memory, 0),
        (SizeDimension::Accelerators, 0),
    ];
    for worker in workers {
        let short = SizeDimension::short_of(&request.size, &worker.free(policy));
        let short = short.unwrap_or(SizeDimension::Cpu);
        for (dimension, count) in &mut counts {
            *count += usize::from(*dimension == short);
        }
    }
    let most = counts.iter().max_by_key(|(_, count)| *count);
    most.map_or(SizeDimension::Cpu, |(dimension, _)| *dimension)
}

//! The choice among workers.

use crate::ChoiceReason;
use crate::PlacementChoice;
use crate::PlacementRefusal;
use crate::PlacementRequest;
use crate::RoomPolicy;
use crate::SizeDimension;
use crate::WorkerRoom;
use crate::room::WHOLE_PERMILLE;
use sapphirestile_core::ResourceSize;

/// Disturbance below this is not told from none, in thousandths.
const NOISE_MIN_PERMILLE: u64 = 40;

/// Chooses the worker with the lowest cost among those with room.
///
/// The cost adds the share of the worker given away, tasks of the same job in
/// its rack and zone, and disturbance. Equal costs go to the first worker.
///
/// # Errors
///
/// A [`PlacementRefusal`] that says why no worker was chosen.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::CustomerName;
/// use sapphirestile_core::RackName;
/// use sapphirestile_core::ResourceSize;
/// use sapphirestile_core::WorkerName;
/// use sapphirestile_core::ZoneName;
/// use sapphirestile_placement::CustomerRoom;
/// use sapphirestile_placement::PlacedTasks;
/// use sapphirestile_placement::PlacementRequest;
/// use sapphirestile_placement::RoomPolicy;
/// use sapphirestile_placement::WorkerRoom;
/// use sapphirestile_placement::choose_worker;
///
/// let whole = ResourceSize { cpu_milli: 4_000, memory_mb: 8_192, accelerators: 0 };
/// let rooms = [WorkerRoom::new(
///     WorkerName::try_from("w1").unwrap(),
///     ZoneName::try_from("a").unwrap(),
///     RackName::try_from("a-1").unwrap(),
///     whole,
/// )];
/// let customer = CustomerRoom {
///     name: CustomerName::try_from("tailors").unwrap(),
///     quota: whole,
///     given: ResourceSize::default(),
///     priority: 100,
/// };
/// let placed = PlacedTasks::default();
/// let policy = RoomPolicy::default();
///
/// let request = PlacementRequest::new(whole, &customer, &placed);
/// assert_eq!(choose_worker(&rooms, &request, &policy).unwrap().place, 0);
///
/// let half = ResourceSize { cpu_milli: 2_000, ..whole };
/// let request = PlacementRequest::new(half, &customer, &placed);
/// let reason = choose_worker(&rooms, &request, &policy).unwrap().reason;
/// assert_eq!(reason.load_permille, 1_000);
/// ```
pub fn choose_worker(
    rooms: &[WorkerRoom],
    request: &PlacementRequest<'_>,
    policy: &RoomPolicy,
) -> Result<PlacementChoice, PlacementRefusal> {
    check_quota(rooms, request)?;
    let mut with_room = 0;
    let mut best = None;
    for (place, room) in rooms.iter().enumerate() {
        if !can_take(room, request, policy) {
            continue;
        }
        with_room += 1;
        let reason = reason_for(room, request);
        let cost = cost_of(room, &reason, request, policy);
        if best.is_none_or(|(lowest, _, _)| cost < lowest) {
            best = Some((cost, place, reason));
        }
    }
    let Some((_, place, reason)) = best else {
        return Err(refusal_of(rooms, request, policy));
    };
    let reason = ChoiceReason {
        with_room,
        looked_at: rooms.len(),
        ..reason
    };
    Ok(PlacementChoice { place, reason })
}

/// A quota that is reached for now must not hide that the task never fits:
/// waiting would keep the customer's other tasks behind one that cannot run.
fn check_quota(
    rooms: &[WorkerRoom],
    request: &PlacementRequest<'_>,
) -> Result<(), PlacementRefusal> {
    let customer = request.customer;
    let left = customer.left();
    let Some(short_of) = SizeDimension::short_of(&request.size, &left) else {
        return Ok(());
    };
    let larger_than_quota = !request.size.fits_in(&customer.quota);
    if !larger_than_quota && let Some(refusal) = never_fits(rooms, request) {
        return Err(refusal);
    }
    Err(PlacementRefusal::QuotaReached {
        customer: customer.name.clone(),
        left,
        short_of,
        larger_than_quota,
    })
}

/// The hard check, in every policy: room in each dimension comes first.
fn can_take(room: &WorkerRoom, request: &PlacementRequest<'_>, policy: &RoomPolicy) -> bool {
    room.has_room(policy, &request.size)
        && room.takes_work()
        && !room.is_held_from(request.job)
        && (request.urgent || !room.is_hot(policy))
        && request.allows(&room.zone)
        && is_quiet_enough(room, request, policy)
}

/// Disturbance is bounded; a task too loud for any bound goes to a quiet worker.
const fn is_quiet_enough(
    room: &WorkerRoom,
    request: &PlacementRequest<'_>,
    policy: &RoomPolicy,
) -> bool {
    let sum = room.noise_permille + request.noise_permille;
    request.urgent
        || request.noise_permille < NOISE_MIN_PERMILLE
        || room.noise_permille < NOISE_MIN_PERMILLE
        || sum <= policy.noise_bound_permille
}

fn reason_for(room: &WorkerRoom, request: &PlacementRequest<'_>) -> ChoiceReason {
    ChoiceReason {
        with_room: 0,
        looked_at: 0,
        load_permille: load_permille(&room.given.plus(&request.size), &room.size),
        same_rack: request.placed.in_rack(&room.rack),
        same_zone: request.placed.in_zone(&room.zone),
        noise_permille: room.noise_permille,
    }
}

fn cost_of(
    room: &WorkerRoom,
    reason: &ChoiceReason,
    request: &PlacementRequest<'_>,
    policy: &RoomPolicy,
) -> u64 {
    let wasted = room.size.accelerators > 0 && request.size.accelerators == 0;
    let noise = reason.noise_permille.saturating_mul(request.noise_permille) / WHOLE_PERMILLE;
    reason.load_permille * policy.load_weight
        + u64::from(reason.same_rack) * policy.rack_weight
        + u64::from(reason.same_zone) * policy.zone_weight
        + noise * policy.noise_weight
        + u64::from(wasted) * policy.accelerator_weight
}

/// The larger of the shares of processor time and memory, in thousandths.
fn load_permille(given: &ResourceSize, size: &ResourceSize) -> u64 {
    let cpu = given.cpu_milli * WHOLE_PERMILLE / size.cpu_milli.max(1);
    let memory = given.memory_mb * WHOLE_PERMILLE / size.memory_mb.max(1);
    cpu.max(memory)
}

fn refusal_of(
    rooms: &[WorkerRoom],
    request: &PlacementRequest<'_>,
    policy: &RoomPolicy,
) -> PlacementRefusal {
    if let Some(refusal) = never_fits(rooms, request) {
        return refusal;
    }
    let taking = || {
        rooms
            .iter()
            .filter(|room| request.allows(&room.zone) && room.takes_work())
    };
    if taking().next().is_none() {
        return PlacementRefusal::NoZone;
    }
    let large = || taking().filter(|room| request.size.fits_in(&room.size));
    PlacementRefusal::NoRoomNow {
        large_enough: large().count(),
        short_of: most_short(large(), request, policy),
    }
}

/// The refusal of a task that no worker of its zones would have room for even
/// when empty.
fn never_fits(rooms: &[WorkerRoom], request: &PlacementRequest<'_>) -> Option<PlacementRefusal> {
    let allowed = || rooms.iter().filter(|room| request.allows(&room.zone));
    let fits = allowed().any(|room| request.size.fits_in(&room.size));
    if fits || allowed().next().is_none() {
        return None;
    }
    Some(PlacementRefusal::NeverFits {
        size: request.size,
        largest: allowed().fold(ResourceSize::default(), largest_of),
    })
}

fn largest_of(largest: ResourceSize, room: &WorkerRoom) -> ResourceSize {
    ResourceSize {
        cpu_milli: largest.cpu_milli.max(room.size.cpu_milli),
        memory_mb: largest.memory_mb.max(room.size.memory_mb),
        accelerators: largest.accelerators.max(room.size.accelerators),
    }
}

fn most_short<'a>(
    rooms: impl Iterator<Item = &'a WorkerRoom>,
    request: &PlacementRequest<'_>,
    policy: &RoomPolicy,
) -> SizeDimension {
    let mut counts = [
        (SizeDimension::Cpu, 0),
        (SizeDimension::Memory, 0),
        (SizeDimension::Accelerators, 0),
    ];
    for room in rooms {
        let short = SizeDimension::short_of(&request.size, &room.left(policy));
        let short = short.unwrap_or(SizeDimension::Cpu);
        for (dimension, count) in &mut counts {
            *count += usize::from(*dimension == short);
        }
    }
    let most = counts.iter().max_by_key(|(_, count)| *count);
    most.map_or(SizeDimension::Cpu, |(dimension, _)| *dimension)
}

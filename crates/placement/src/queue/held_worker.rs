//! A worker kept for a job that has waited long.

use crate::PlacementRequest;
use crate::RoomPolicy;
use crate::WorkerRoom;

/// How long a job finds no room before a worker is held for it, in milliseconds.
pub const HOLD_AFTER_MS: u64 = 120_000;

/// Chooses the worker to keep for a task that finds no room: the one that is
/// large enough and has the least to free.
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
/// use sapphirestile_placement::choose_held_worker;
///
/// let customer = CustomerRoom {
///     name: CustomerName::try_from("tailors").unwrap(),
///     quota: ResourceSize::default(),
///     given: ResourceSize::default(),
///     priority: 100,
/// };
/// let placed = PlacedTasks::default();
/// let request = PlacementRequest::new(ResourceSize::default(), &customer, &placed);
/// assert_eq!(choose_held_worker(&[], &request, &RoomPolicy::default()), None);
/// ```
#[must_use]
pub fn choose_held_worker(
    rooms: &[WorkerRoom],
    request: &PlacementRequest<'_>,
    policy: &RoomPolicy,
) -> Option<usize> {
    let free = |room: &WorkerRoom| {
        room.takes_work() && room.held_for.is_none() && request.allows(&room.zone)
    };
    let large = |room: &WorkerRoom| request.size.fits_in(&room.size);
    let to_free = |room: &WorkerRoom| {
        let missing = request.size.minus(&room.left(policy));
        let cpu = missing.cpu_milli * 1_000 / room.size.cpu_milli.max(1);
        let memory = missing.memory_mb * 1_000 / room.size.memory_mb.max(1);
        (missing.accelerators, cpu.max(memory))
    };
    rooms
        .iter()
        .enumerate()
        .filter(|(_, room)| free(room) && large(room))
        .min_by_key(|(_, room)| to_free(room))
        .map(|(place, _)| place)
}

//! Baselines of the choice of a worker.

use sapphirestile_core::ResourceSize;
use sapphirestile_placement::RoomPolicy;
use sapphirestile_placement::WorkerRoom;

fn takes(room: &WorkerRoom, policy: &RoomPolicy, size: &ResourceSize) -> bool {
    room.takes_work() && room.has_room(policy, size)
}

/// The first worker with room from `start` on.
pub(super) fn first_with_room(
    rooms: &[WorkerRoom],
    policy: &RoomPolicy,
    size: &ResourceSize,
    start: usize,
) -> usize {
    let places = (0..rooms.len()).map(|step| (start + step) % rooms.len());
    let mut with_room = places.filter(|place| takes(&rooms[*place], policy, size));
    with_room
        .next()
        .expect("a worker was chosen, so one has room")
}

/// The worker with room that has the least processor time given away.
pub(super) fn least_loaded(
    rooms: &[WorkerRoom],
    policy: &RoomPolicy,
    size: &ResourceSize,
) -> usize {
    let with_room = (0..rooms.len()).filter(|place| takes(&rooms[*place], policy, size));
    let least = with_room.min_by_key(|place| rooms[*place].given.cpu_milli);
    least.expect("a worker was chosen, so one has room")
}

//! Baselines of the choice of a worker.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::PlacementMode;
use sapphirestile_core::ResourceSize;
use sapphirestile_placement::CandidateWorker;
use sapphirestile_placement::PlacementPolicy;

const SEED_SALT: u64 = 0x706c_6163;

/// Chooses a worker by the mode of the run.
#[derive(Clone, Debug)]
pub(super) struct BaselineChoice {
    mode: PlacementMode,
    rng: SmallRng,
    turn: usize,
}

impl BaselineChoice {
    /// Begins the random sequence of `seed`.
    pub(super) fn new(mode: PlacementMode, seed: u64) -> Self {
        Self {
            mode,
            rng: SmallRng::seed_from_u64(seed ^ SEED_SALT),
            turn: 0,
        }
    }

    /// The worker to take; `chosen` is the one that the placement crate chose.
    pub(super) fn pick(
        &mut self,
        rooms: &[CandidateWorker],
        policy: &PlacementPolicy,
        size: &ResourceSize,
        chosen: usize,
    ) -> usize {
        match self.mode {
            PlacementMode::Chosen => chosen,
            PlacementMode::Random => {
                let draw = self.rng.random_range(0..rooms.len());
                first_with_room(rooms, policy, size, draw)
            }
            PlacementMode::RoundRobin => {
                self.turn += 1;
                first_with_room(rooms, policy, size, self.turn)
            }
            PlacementMode::LeastLoaded => least_loaded(rooms, policy, size),
        }
    }
}

fn takes(room: &CandidateWorker, policy: &PlacementPolicy, size: &ResourceSize) -> bool {
    room.takes_work() && room.fits(policy, size)
}

fn first_with_room(
    rooms: &[CandidateWorker],
    policy: &PlacementPolicy,
    size: &ResourceSize,
    start: usize,
) -> usize {
    let places = (0..rooms.len()).map(|step| (start + step) % rooms.len());
    let mut with_room = places.filter(|place| takes(&rooms[*place], policy, size));
    with_room
        .next()
        .expect("a worker was chosen, so one has room")
}

fn least_loaded(rooms: &[CandidateWorker], policy: &PlacementPolicy, size: &ResourceSize) -> usize {
    let with_room = (0..rooms.len()).filter(|place| takes(&rooms[*place], policy, size));
    let least = with_room.min_by_key(|place| rooms[*place].allocated.cpu_milli);
    least.expect("a worker was chosen, so one has room")
}

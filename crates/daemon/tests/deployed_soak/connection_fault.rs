//! Faults of connections.

use std::ops::RangeInclusive;

use rand::Rng;
use rand::rngs::StdRng;

/// How long a daemon is frozen, in milliseconds.
const FROZEN_MS: RangeInclusive<u64> = 1_000..=4_000;

/// A fault that leaves connections behind which are open and of no use.
#[derive(Clone, Copy, Debug)]
pub enum ConnectionFault {
    /// The open connections of all daemons to the workers go silent.
    SilentWorkers,
    /// The open connections of all daemons to the store go silent.
    SilentStore,
    /// Both.
    AllSilent,
    /// A daemon stands still for some time, and keeps its connections.
    Frozen {
        /// Index of the daemon, modulo their number.
        daemon: usize,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// Two daemons stand still, one after the other.
    FrozenInTurn {
        /// Index of the first daemon, modulo their number.
        daemon: usize,
        /// For how long each, in milliseconds.
        for_ms: u64,
    },
}

impl ConnectionFault {
    /// Draws the next fault.
    pub fn draw(random: &mut StdRng) -> Self {
        let daemon = random.random_range(0..12);
        let for_ms = random.random_range(FROZEN_MS);
        match random.random_range(0..5) {
            0 => Self::SilentWorkers,
            1 => Self::SilentStore,
            2 => Self::AllSilent,
            3 => Self::Frozen { daemon, for_ms },
            _ => Self::FrozenInTurn { daemon, for_ms },
        }
    }
}

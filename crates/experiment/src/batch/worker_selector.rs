//! Baselines for the choice of a worker.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::PlacementMode;
use sapphirestile_core::ResourceSize;
use sapphirestile_placement::CandidateWorker;
use sapphirestile_placement::PlacementPolicy;

const SEED_SALT: u64 = 0x706c_6163;

/// Replaces the choice of the placement crate if the run uses a baseline.
#[derive(Clone, Debug)]
pub(super) struct WorkerSelector {
    mode: PlacementMode,
    rng: SmallRng,
    last_start: usize,
}

impl WorkerSelector {
    /// Creates a selector for `mode`; `seed` starts its random sequence.
    pub(super) fn new(mode: PlacementMode, seed: u64) -> Self {
        Self {
            mode,
            rng: SmallRng::seed_from_u64(seed ^ SEED_SALT),
            last_start: 0,
        }
    }

    /// Returns the index of the worker for a task of `size`.
    ///
    /// `production_index` is the choice of the placement crate.
    pub(super) fn select(
        &mut self,
        candidates: &[CandidateWorker],
        policy: &PlacementPolicy,
        size: &ResourceSize,
        production_index: usize,
    ) -> usize {
        match self.mode {
            PlacementMode::Production => production_index,
            PlacementMode::Random => {
                let start = self.rng.random_range(0..candidates.len());
                first_fit(candidates, policy, size, start)
            }
            PlacementMode::RoundRobin => {
                self.last_start += 1;
                first_fit(candidates, policy, size, self.last_start)
            }
            PlacementMode::LeastLoaded => least_loaded(candidates, policy, size),
        }
    }
}

fn can_take(candidate: &CandidateWorker, policy: &PlacementPolicy, size: &ResourceSize) -> bool {
    candidate.takes_work() && candidate.fits(policy, size)
}

fn first_fit(
    candidates: &[CandidateWorker],
    policy: &PlacementPolicy,
    size: &ResourceSize,
    start: usize,
) -> usize {
    let indices = (0..candidates.len()).map(|step| (start + step) % candidates.len());
    let mut fitting = indices.filter(|index| can_take(&candidates[*index], policy, size));
    fitting
        .next()
        .expect("at least the worker chosen by the placement crate fits")
}

fn least_loaded(
    candidates: &[CandidateWorker],
    policy: &PlacementPolicy,
    size: &ResourceSize,
) -> usize {
    let fitting = (0..candidates.len()).filter(|index| can_take(&candidates[*index], policy, size));
    let least = fitting.min_by_key(|index| candidates[*index].allocated.cpu_milli);
    least.expect("at least the worker chosen by the placement crate fits")
}

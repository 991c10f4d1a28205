//! What makes jobs wait in a simulation.

use rand::Rng;
use rand::rngs::StdRng;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::RepeatRule;
use sapphirestile_jobs::ResourceVector;
use sapphirestile_jobs::StepSpec;

use crate::test_values::accepted_at;
use crate::test_values::step;

/// What makes jobs wait in a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitCase {
    /// Interference is expected on every worker, wrongly.
    ExpectedInterference,
    /// Interference is expected and real, and half of the workers have high latencies all the
    /// time.
    HighLatencies,
    /// Best-effort gangs.
    Gangs,
    /// Repeated jobs.
    Repeated,
    /// Three owners end one after the other.
    OwnersInRow,
    /// Jobs that come from other cells up to 3 s after the traffic.
    Moved,
    /// Interference is not expected, and is there at full pace.
    Interference,
    /// Tasks that reserve most of a worker's memory.
    MuchMemory,
}

impl WaitCase {
    /// Load that a processor used by a best-effort run is taken to add, and really adds.
    pub fn loads(self, random: &mut StdRng) -> (f64, f64) {
        match self {
            Self::Interference => (0.0, random.random_range(0.1..0.2)),
            Self::HighLatencies => (1.0, random.random_range(0.05..0.1)),
            _ => (
                random.random_range(0.8..2.0),
                random.random_range(0.0..0.005),
            ),
        }
    }

    /// Load of a worker by callers, from 0 to 1.
    pub fn own_load(self, worker: usize, random: &mut StdRng) -> f64 {
        if self == Self::HighLatencies && !worker.is_multiple_of(2) {
            return random.random_range(0.73..0.8);
        }
        random.random_range(0.0..0.2)
    }

    /// A best-effort job that is accepted at this time.
    pub fn job(self, accepted: u64, workers: usize, random: &mut StdRng) -> JobSpec {
        let mut step = StepSpec {
            is_best_effort: true,
            has_checkpoints: random.random_range(0..2) == 0,
            image: Some("resize".into()),
            ..step(1, 1_000 * random.random_range(1..=4))
        };
        step.estimate_ms = random.random_range(1_000..3_000);
        if self == Self::MuchMemory {
            step.size = ResourceVector {
                memory_mib: 40_000,
                ..step.size
            };
        }
        if self == Self::Gangs {
            step.is_gang = true;
            step.tasks = u32::try_from(random.random_range(2..=workers / 2)).unwrap();
        }
        let mut spec = accepted_at(accepted, vec![step]);
        if self == Self::Repeated {
            spec.repeat = Some(RepeatRule {
                first_unix_ms: accepted,
                interval_ms: 1_000,
                occurrences: 2,
            });
        }
        spec
    }

    /// Number of best-effort jobs: as many as can run at the same time, one on a worker.
    pub const fn jobs(self, workers: usize) -> usize {
        match self {
            Self::Gangs => 1,
            Self::HighLatencies => workers / 2,
            _ => workers,
        }
    }

    /// Time from the acceptance of a job until it comes to the cell, in milliseconds.
    pub fn delay_ms(self, left_ms: u64, random: &mut StdRng) -> u64 {
        if self == Self::Moved {
            random.random_range(0..=left_ms + 3_000)
        } else {
            0
        }
    }

    /// Number of owners that end.
    pub const fn owners_that_end(self) -> u64 {
        match self {
            Self::OwnersInRow => 3,
            _ => 0,
        }
    }
}

//! Slowdown next to one worker.

use crate::pressure::WorkerSamples;
use sapphirestile_core::MonoTime;
use sapphirestile_placement::PressureState;

/// Minimum time between two decisions about a worker.
const DECISION_INTERVAL_MS: u64 = 5_000;

/// What is known about the slowdown next to one worker.
#[derive(Clone, Debug)]
pub struct PressureRecord {
    /// State of the decision rules.
    pub state: PressureState,
    /// The latest measurement of each daemon.
    pub samples: WorkerSamples,
    /// When the last change was first confirmed to be in effect; earlier measurements do
    /// not show its effect.
    pub changed: MonoTime,
    /// When a measurement last arrived, or a throttle was first seen.
    pub last_heard: MonoTime,
    /// When the last decision was made; `None` before the first.
    pub decided: Option<MonoTime>,
    /// Whether a measurement arrived since the workers due were last decided about.
    pub has_new_sample: bool,
}

impl PressureRecord {
    /// A worker of which nothing is known yet at `now`.
    #[must_use]
    pub fn new(now: MonoTime) -> Self {
        Self {
            state: PressureState::default(),
            samples: WorkerSamples::default(),
            changed: MonoTime::default(),
            last_heard: now,
            decided: None,
            has_new_sample: false,
        }
    }

    /// Whether a decision is due at `now`.
    #[must_use]
    pub fn is_due(&self, now: MonoTime) -> bool {
        let interval_elapsed =
            |decided: MonoTime| now.millis_since(decided) >= DECISION_INTERVAL_MS;
        self.has_new_sample && self.decided.is_none_or(interval_elapsed)
    }
}

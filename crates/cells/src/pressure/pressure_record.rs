//! The pressure on one worker.

use crate::pressure::WorkerSamples;
use sapphirestile_core::MonoTime;
use sapphirestile_placement::PressureState;

const DECISION_INTERVAL_MS: u64 = 5_000;

/// What is known of the pressure on one worker.
#[derive(Clone, Debug)]
pub struct PressureRecord {
    /// Where the pressure stands.
    pub state: PressureState,
    /// What daemons measured.
    pub samples: WorkerSamples,
    /// When the effect of the last change was first certain: what was measured
    /// before says nothing about it.
    pub changed: MonoTime,
    /// When a daemon was last heard of, or a throttle first seen.
    pub heard: MonoTime,
    /// When the last decision was made.
    pub decided: Option<MonoTime>,
    /// Whether a measurement came since.
    pub fresh: bool,
}

impl PressureRecord {
    /// A worker of which nothing is known at `now`.
    #[must_use]
    pub fn new(now: MonoTime) -> Self {
        Self {
            state: PressureState::default(),
            samples: WorkerSamples::default(),
            changed: MonoTime::default(),
            heard: now,
            decided: None,
            fresh: false,
        }
    }

    /// Whether `now` is time to decide.
    #[must_use]
    pub fn is_due(&self, now: MonoTime) -> bool {
        let rested = |decided: MonoTime| now.millis_since(decided) >= DECISION_INTERVAL_MS;
        self.fresh && self.decided.is_none_or(rested)
    }
}

//! One decision that can be left out.

/// A decision that a run can leave out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyFeature {
    /// Sizes are estimated from usage instead of taken as declared.
    MeasuredSizes,
    /// The choice of a worker weighs disturbance.
    NoiseChoice,
    /// Disturbing tasks are throttled and stopped.
    Pressure,
    /// Workers that fail different jobs are set aside.
    Standing,
    /// A leaving zone is emptied in order, paced over the link.
    DrainOrder,
    /// A worker is held for a job that waits long.
    HeldWorker,
    /// Tasks of the backlog are stopped for urgent ones.
    Preemption,
    /// Batch tasks and runners share machines.
    Colocation,
}

impl PolicyFeature {
    /// Every feature.
    pub const ALL: [Self; 8] = [
        Self::MeasuredSizes,
        Self::NoiseChoice,
        Self::Pressure,
        Self::Standing,
        Self::DrainOrder,
        Self::HeldWorker,
        Self::Preemption,
        Self::Colocation,
    ];
}

impl std::fmt::Display for PolicyFeature {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::MeasuredSizes => "measured sizes",
            Self::NoiseChoice => "noise in the choice",
            Self::Pressure => "throttling",
            Self::Standing => "setting workers aside",
            Self::DrainOrder => "drain order",
            Self::HeldWorker => "held workers",
            Self::Preemption => "preemption",
            Self::Colocation => "colocation",
        })
    }
}
